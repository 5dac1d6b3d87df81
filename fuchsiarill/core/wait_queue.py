"""Queue of the waiting jobs, in groups that are ready or blocked.

Decisions try ready groups; a blocked group waits until its obstacle may have
been removed. An unplaceable group is one of single tasks that is blocked
because no worker was found with capacity; blocked gangs are kept separately.
"""

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
from fuchsiarill.resources import NO_RESOURCES, Resources

_RETRY_INTERVAL_MS: Final = 100
# Maximum number of unplaceable groups that are tried again after every
# interval; the key tells whether the groups are urgent.
_RETRIED_GROUPS_MAX_COUNTS: Final = MappingProxyType({True: 32, False: 4})


def enqueue(state: CoreState, job: JobRecord) -> None:
    """Queue a job for placement; a repeated call changes nothing.

    A job without a waiting task is not queued.
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
        # Capacity may have to be reclaimed for the added job.
        unblock(state, account, group)
    if group.obstacle is None:
        account.ready[group] = None
    mark_unranked(state, account)


def dequeue(state: CoreState, job: JobRecord) -> None:
    """Remove a job from the queue, if it waits."""
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
    mark_unranked(state, account)


def is_waiting(state: CoreState, job: JobRecord) -> bool:
    """Tell whether a job is queued for placement."""
    return job.job_id in state.group_keys


def block(
    state: CoreState,
    account: Account,
    group: Group,
    obstacle: Obstacle,
    size: Resources = NO_RESOURCES,
) -> None:
    """Block a group until `obstacle` may have been removed."""
    if group.obstacle is not None:
        _clear_obstacle(state, account, group)
    group.obstacle = obstacle
    account.ready.pop(group, None)
    if obstacle is Obstacle.QUOTA:
        account.over_quota[group] = None
    if obstacle is Obstacle.CAPACITY:
        group.blocked_size = size
        if group.is_gang:
            state.blocked_gangs[group] = None
        else:
            account.unplaceable[group] = None
            state.unplaceable[group.urgent][group] = None
            state.unplaceable_sizes[size] += 1
    mark_unranked(state, account)


def unblock(state: CoreState, account: Account, group: Group) -> None:
    """Make a blocked group ready again."""
    if group.obstacle is None:
        return
    _clear_obstacle(state, account, group)
    account.ready[group] = None
    mark_unranked(state, account)


def unblock_all(state: CoreState) -> None:
    """Make every group ready again, for instance with a new configuration."""
    state.failed_search_sizes.clear()
    for account in state.accounts.values():
        for group in account.groups.values():
            if group.obstacle is not None:
                _clear_obstacle(state, account, group)
                account.ready[group] = None
        mark_unranked(state, account)


def retry_unplaceable(state: CoreState, now_ms: int) -> None:
    """Make a few unplaceable groups ready again, longest blocked first.

    A search examines only a part of the workers, and attempts of other
    customers may have become reclaimable. Calls within `_RETRY_INTERVAL_MS`
    after a retry change nothing.
    """
    if now_ms - state.unplaceable_retried_at_ms < _RETRY_INTERVAL_MS:
        return
    state.unplaceable_retried_at_ms = now_ms
    state.failed_search_sizes.clear()
    for urgent, groups in state.unplaceable.items():
        for group in tuple(islice(groups, _RETRIED_GROUPS_MAX_COUNTS[urgent])):
            unblock(state, state.accounts[group.customer], group)


def unblock_account(state: CoreState, account: Account) -> None:
    """Make the groups of a customer ready again that its quota blocked."""
    for group in tuple(account.over_quota):
        unblock(state, account, group)


def group_for_released_capacity(state: CoreState) -> Group | None:
    """Return the next unplaceable group that fits a released worker.

    Workers are taken in the order of their release; groups to which a worker
    was offered already are left out. A worker that no further group fits is
    removed from `released`.
    """
    while state.released:
        worker = state.workers[next(iter(state.released))]
        group = None
        if worker.bucket is not None:
            group = _first_group_for_worker(state, worker)
        if group is not None:
            state.offered.add(group)
            return group
        state.released.pop(worker.worker_id)
        state.offered.clear()
        free = worker.free
        state.failed_search_sizes = [
            size for size in state.failed_search_sizes if not size.fits_in(free)
        ]
    return None


def mark_unranked(state: CoreState, account: Account) -> None:
    """Have the ranks of an account computed again before the next use."""
    state.unranked[account.customer] = None


def rank_accounts(state: CoreState) -> None:
    """Compute the ranks that may have changed since the last call."""
    while state.unranked:
        customer = state.unranked.popitem()[0]
        _update_ranks(state, state.accounts[customer])


def _update_ranks(state: CoreState, account: Account) -> None:
    """Update the ranks of an account by its ready and unplaceable groups."""
    ordering = ordering_of(state)
    rank = None
    if account.ready:
        first_group = ordering.first_group(account.ready)
        rank = ordering.rank(state, account, first_group)
    if rank != account.rank:
        _reposition(state.ready_order, account.customer, account.rank, rank)
        account.rank = rank
    rank = None
    if account.unplaceable:
        first_group = ordering.first_group(account.unplaceable)
        rank = ordering.rank(state, account, first_group)
    if rank != account.unplaceable_rank:
        _reposition(
            state.unplaceable_order,
            account.customer,
            account.unplaceable_rank,
            rank,
        )
        account.unplaceable_rank = rank


def _reposition(
    ranking: 'SortedList[tuple[Rank, CustomerId]]',
    customer: CustomerId,
    old_rank: Rank | None,
    new_rank: Rank | None,
) -> None:
    if old_rank is not None:
        ranking.remove((old_rank, customer))
    if new_rank is not None:
        ranking.add((new_rank, customer))


def _first_group_for_worker(
    state: CoreState, worker: WorkerView
) -> Group | None:
    """Return the first in rank of the unplaceable groups that fit a worker.

    Groups in `offered` are left out.
    """
    free = worker.free
    if not any(size.fits_in(free) for size in state.unplaceable_sizes):
        return None
    best_candidate: tuple[Rank, Group] | None = None
    for account_rank, customer in state.unplaceable_order:
        # `account_rank` is the rank of the first group of the account. Another
        # group of this or a later account may rank lower, for instance a
        # smaller group within the guarantee; such groups are not considered.
        if best_candidate is not None and best_candidate[0] <= account_rank:
            break
        candidate = _first_fitting_group(
            state, state.accounts[customer], worker
        )
        best_candidate = _lower_ranked(best_candidate, candidate)
    return None if best_candidate is None else best_candidate[1]


def _lower_ranked(
    left: tuple[Rank, Group] | None,
    right: tuple[Rank, Group] | None,
) -> tuple[Rank, Group] | None:
    if left is None or right is None:
        return left or right
    return left if left[0] <= right[0] else right


def _first_fitting_group(
    state: CoreState,
    account: Account,
    worker: WorkerView,
) -> tuple[Rank, Group] | None:
    free = worker.free
    fitting_groups = [
        group
        for group in account.unplaceable
        if group.blocked_size.fits_in(free) and group not in state.offered
    ]
    if worker.has_accelerators:
        fitting_groups = [
            group
            for group in fitting_groups
            if may_use_accelerated(
                state,
                account,
                group.blocked_size,
                group.urgent,
            )
        ]
    if not fitting_groups:
        return None
    ordering = ordering_of(state)
    group = ordering.first_group(fitting_groups)
    return ordering.rank(state, account, group), group


def _clear_obstacle(
    state: CoreState,
    account: Account,
    group: Group,
) -> None:
    group.obstacle = None
    state.blocked_gangs.pop(group, None)
    account.over_quota.pop(group, None)
    if account.unplaceable.pop(group, group) is None:
        state.unplaceable[group.urgent].pop(group)
        state.unplaceable_sizes[group.blocked_size] -= 1
        if not state.unplaceable_sizes[group.blocked_size]:
            state.unplaceable_sizes.pop(group.blocked_size)
