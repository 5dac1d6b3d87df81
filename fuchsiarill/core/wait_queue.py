"""The waiting jobs: enter, leave, get blocked and become ready again."""

from itertools import islice
from types import MappingProxyType
from typing import Final

from sortedcontainers import SortedList

from fuchsiarill.core.accelerators import may_use_accelerated
from fuchsiarill.core.accounts import (
    Account,
    Group,
    Obstacle,
    Rank,
    group_key_of,
)
from fuchsiarill.core.ordering import ordering_of
from fuchsiarill.core.quotas import account_of
from fuchsiarill.core.sizes import estimate_of
from fuchsiarill.core.state import CoreState
from fuchsiarill.core.worker_view import WorkerView
from fuchsiarill.ids import CustomerId
from fuchsiarill.job import JobRecord
from fuchsiarill.resources import NOTHING, Resources

_RETRY_INTERVAL_MS: Final = 100
# Groups that are tried again after every interval, by whether they are urgent.
_RETRIED_COUNTS: Final = MappingProxyType({True: 32, False: 4})


def enqueue(state: CoreState, job: JobRecord) -> None:
    """Let a job wait for placement; a repeated call changes nothing.

    A job without a task that waits is left out.
    """
    if not job.waiting or job.job_id in state.group_keys:
        return
    account = account_of(state, job.spec.customer)
    key = group_key_of(job.spec, bool(job.failed_on))
    group = account.groups.get(key)
    if group is None:
        estimate = estimate_of(state, job.spec)
        group = Group(account.customer, job.spec, estimate)
        account.groups[key] = group
    state.group_keys[job.job_id] = key
    account.waiting_count += 1
    group.add(job)
    if group.urgent:
        # Room may have to be reclaimed for one job more.
        unblock(state, account, group)
    if group.obstacle is None:
        account.ready[group] = None
    reorder(state, account)


def dequeue(state: CoreState, job: JobRecord) -> None:
    """Take a job out, if it waits."""
    key = state.group_keys.pop(job.job_id, None)
    if key is None:
        return
    account = state.accounts[job.spec.customer]
    group = account.groups[key]
    group.remove(job)
    account.waiting_count -= 1
    if not group.jobs:
        _clear_obstacle(state, account, group)
        account.ready.pop(group, None)
        account.groups.pop(key)
    reorder(state, account)


def is_waiting(state: CoreState, job: JobRecord) -> bool:
    """Tell whether a job waits for placement."""
    return job.job_id in state.group_keys


def block(
    state: CoreState,
    account: Account,
    group: Group,
    obstacle: Obstacle,
    size: Resources = NOTHING,
) -> None:
    """Set a group aside until `obstacle` may have gone."""
    if group.obstacle is not None:
        _clear_obstacle(state, account, group)
    group.obstacle = obstacle
    account.ready.pop(group, None)
    if obstacle is Obstacle.QUOTA:
        account.over_quota[group] = None
    if obstacle is Obstacle.ROOM:
        group.blocked_size = size
        if group.is_gang:
            state.blocked_gangs[group] = None
        else:
            account.roomless[group] = None
            state.roomless[group.urgent][group] = None
            state.roomless_sizes[size] += 1
    reorder(state, account)


def unblock(state: CoreState, account: Account, group: Group) -> None:
    """Make a blocked group ready again."""
    if group.obstacle is None:
        return
    _clear_obstacle(state, account, group)
    account.ready[group] = None
    reorder(state, account)


def unblock_all(state: CoreState) -> None:
    """Make every group ready again, as after a change of configuration."""
    state.no_room_for.clear()
    for account in state.accounts.values():
        for group in account.groups.values():
            if group.obstacle is not None:
                _clear_obstacle(state, account, group)
                account.ready[group] = None
        reorder(state, account)


def retry_some(state: CoreState, now_ms: int) -> None:
    """Make a few groups ready again, those first that wait longest for it.

    A search looks at a part of the workers only, and what others hold may
    have become reclaimable.
    """
    if now_ms - state.retried_at_ms < _RETRY_INTERVAL_MS:
        return
    state.retried_at_ms = now_ms
    state.no_room_for.clear()
    for urgent, alike in state.roomless.items():
        for group in tuple(islice(alike, _RETRIED_COUNTS[urgent])):
            unblock(state, state.accounts[group.customer], group)


def unblock_account(state: CoreState, account: Account) -> None:
    """Make the groups ready that waited for the quota of their customer."""
    for group in tuple(account.over_quota):
        unblock(state, account, group)


def next_taker(state: CoreState) -> Group | None:
    """Return the group that comes first for the room of a worker.

    Goes through the released workers; one without a taker left is done with.
    """
    while state.released:
        worker = state.workers[next(iter(state.released))]
        group = None
        if worker.bucket is not None:
            group = _first_taker(state, worker)
        if group is not None:
            state.offered.add(group)
            return group
        state.released.pop(worker.worker_id)
        state.offered.clear()
        free = worker.free
        state.no_room_for = [
            size for size in state.no_room_for if not size.fits_in(free)
        ]
    return None


def reorder(state: CoreState, account: Account) -> None:
    """Note that the ranks of an account may have changed."""
    state.unranked[account.customer] = None


def rank_accounts(state: CoreState) -> None:
    """Compute the ranks that may have changed since the last call."""
    while state.unranked:
        customer = state.unranked.popitem()[0]
        _rank(state, state.accounts[customer])


def _rank(state: CoreState, account: Account) -> None:
    """Give an account its ranks among those with waiting groups."""
    ordering = ordering_of(state)
    rank = None
    if account.ready:
        first = ordering.first(account.ready)
        rank = ordering.rank(state, account, first)
    if rank != account.rank:
        _move(state.order, account.customer, account.rank, rank)
        account.rank = rank
    rank = None
    if account.roomless:
        first = ordering.first(account.roomless)
        rank = ordering.rank(state, account, first)
    if rank != account.roomless_rank:
        _move(
            state.roomless_order,
            account.customer,
            account.roomless_rank,
            rank,
        )
        account.roomless_rank = rank


def _move(
    order: 'SortedList[tuple[Rank, CustomerId]]',
    customer: CustomerId,
    before: Rank | None,
    after: Rank | None,
) -> None:
    if before is not None:
        order.remove((before, customer))
    if after is not None:
        order.add((after, customer))


def _first_taker(state: CoreState, worker: WorkerView) -> Group | None:
    """Return the group that comes first among those that fit."""
    free = worker.free
    if not any(size.fits_in(free) for size in state.roomless_sizes):
        return None
    found: tuple[Rank, Group] | None = None
    for account_rank, customer in state.roomless_order:
        # Later accounts have no group with a lower rank than this.
        if found is not None and found[0] <= account_rank:
            break
        candidate = _first_fitting(state, state.accounts[customer], worker)
        found = _earlier(found, candidate)
    return None if found is None else found[1]


def _earlier(
    one: tuple[Rank, Group] | None,
    other: tuple[Rank, Group] | None,
) -> tuple[Rank, Group] | None:
    if one is None or other is None:
        return one or other
    return one if one[0] <= other[0] else other


def _first_fitting(
    state: CoreState,
    account: Account,
    worker: WorkerView,
) -> tuple[Rank, Group] | None:
    free = worker.free
    fitting = [
        group
        for group in account.roomless
        if group.blocked_size.fits_in(free) and group not in state.offered
    ]
    if worker.has_accelerators:
        fitting = [
            group
            for group in fitting
            if may_use_accelerated(
                state,
                account,
                group.blocked_size,
                group.urgent,
            )
        ]
    if not fitting:
        return None
    ordering = ordering_of(state)
    group = ordering.first(fitting)
    return ordering.rank(state, account, group), group


def _clear_obstacle(
    state: CoreState,
    account: Account,
    group: Group,
) -> None:
    group.obstacle = None
    state.blocked_gangs.pop(group, None)
    account.over_quota.pop(group, None)
    if account.roomless.pop(group, group) is None:
        state.roomless[group.urgent].pop(group)
        state.roomless_sizes[group.blocked_size] -= 1
        if not state.roomless_sizes[group.blocked_size]:
            state.roomless_sizes.pop(group.blocked_size)
