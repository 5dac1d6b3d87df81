"""One round of decisions: what starts now, and on which worker."""

from itertools import islice
from types import MappingProxyType
from typing import Final

from fuchsiarill.core.accelerators import accelerators_wait
from fuchsiarill.core.accounts import Account, Group, Obstacle, Rank
from fuchsiarill.core.admission import starts_restricted
from fuchsiarill.core.gangs import (
    hold_for_task,
    place_gang,
    start_held,
    take_released_room,
)
from fuchsiarill.core.ordering import ordering_of
from fuchsiarill.core.placement import (
    find_held_worker,
    find_released_worker,
    find_worker,
)
from fuchsiarill.core.preemption import reclaim_for
from fuchsiarill.core.quotas import is_guaranteed, is_owed_urgently, may_hold
from fuchsiarill.core.sizes import group_size, group_size_at_once
from fuchsiarill.core.starting import start_next
from fuchsiarill.core.state import CoreState
from fuchsiarill.core.timers import run_due
from fuchsiarill.core.wait_queue import (
    block,
    dequeue,
    next_taker,
    rank_accounts,
    reorder,
    retry_some,
    unblock,
)
from fuchsiarill.core.worker_holds import drop_reservation, has_room, is_valid
from fuchsiarill.core.worker_view import WorkerView
from fuchsiarill.job import JobRecord
from fuchsiarill.resources import Resources

# The group that is looked at, its customer, and the rank it has.
_Turn = tuple[Account, Group, Rank]
# Steps of one call; the owner answers other messages in between.
STEPS_MAX_COUNT: Final = 32
_GANG_RETRY_INTERVAL_MS: Final = 500
_SIZES_REMEMBERED_COUNT: Final = 16
# Time after which room is looked for again where none could be reclaimed.
_RECLAIM_INTERVAL_MS: Final = 100
# Waiting jobs of one group for which room is reclaimed at a time.
_RECLAIMED_JOBS_COUNT: Final = 8
# A group without a start for this time is taken to be kept out by smaller ones.
_STARVING_MS: Final = 20_000
# Time after which smaller jobs of a customer leave the quota to an older one.
_QUOTA_YIELD_AFTER_MS: Final = 10_000
# Room that ends of tasks give back in this time costs no lost work. Urgent work
# has to start within 1,100 ms, of which the stops take their part.
_PREEMPT_AFTER_MS: Final = MappingProxyType(
    {'urgent': 300, 'guaranteed': 5_000}
)


def decide(state: CoreState, now_ms: int) -> bool:
    """Start what can start; returns `True` when there may be more to do."""
    run_due(state, now_ms)
    retry_some(state, now_ms)
    take_released_room(state, now_ms)
    _wake_gangs(state, now_ms)
    steps_count = 0
    while steps_count < STEPS_MAX_COUNT:
        steps_count += 1
        turn = _next_turn(state)
        if turn is None or not _advance(state, turn, now_ms):
            return False
    return True


def _next_turn(state: CoreState) -> _Turn | None:
    """Return the group that is looked at next.

    Room that was released goes to a group that waits for it, unless others
    are ready; then the order decides between all of them.
    """
    rank_accounts(state)
    ordering = ordering_of(state)
    taker = next_taker(state)
    if taker is not None:
        account = state.accounts[taker.customer]
        if not state.order:
            return account, taker, ordering.rank(state, account, taker)
        unblock(state, account, taker)
        rank_accounts(state)
    if not state.order:
        return None
    rank, customer = state.order[0]
    account = state.accounts[customer]
    return account, ordering.first(account.ready), rank


def _advance(state: CoreState, turn: _Turn, now_ms: int) -> bool:
    """Start or set aside the next task; `False` ends the round."""
    account, group, rank = turn
    job = state.jobs[group.head()]
    if not job.waiting:
        # Its tasks were found running after a takeover.
        dequeue(state, job)
        return True
    size = group_size(state, group)
    obstacle = _standing_obstacle(state, account, group, now_ms)
    if obstacle is not None:
        block(state, account, group, obstacle)
        if obstacle is Obstacle.QUOTA and group.urgent:
            _reclaim(state, account, group, 'urgent', now_ms)
        return True
    placed = _place(state, group, job, size, now_ms)
    if placed is not None:
        _after_start(state, account, group, placed)
        return True
    return _without_room(state, turn, size, now_ms)


def _without_room(
    state: CoreState,
    turn: _Turn,
    size: Resources,
    now_ms: int,
) -> bool:
    account, group, rank = turn
    block(state, account, group, Obstacle.ROOM, size)
    ordering = ordering_of(state)
    if not ordering.strict and _starves(state, turn, now_ms):
        hold_for_task(state, state.jobs[group.head()], size, now_ms)
    if ordering.strict:
        unblock(state, account, group)
        return False
    policy = ordering.preemptions.get(int(rank[0]))
    if policy is not None:
        _reclaim(state, account, group, policy, now_ms)
    return True


def _starves(state: CoreState, turn: _Turn, now_ms: int) -> bool:
    """Tell whether the first group of all has not got any room for long."""
    account, group, _rank = turn
    since_ms = max(group.first_at_ms, group.served_at_ms)
    if group.is_gang or now_ms - since_ms < _STARVING_MS:
        return False
    rank_accounts(state)
    return bool(state.roomless_order[0][1] == account.customer)


def _after_start(
    state: CoreState,
    account: Account,
    group: Group,
    placed: JobRecord,
) -> None:
    """Go on with the group, or block it if it has taken the last room.

    Urgent groups go on, as room may have to be reclaimed for them.
    """
    if placed.waiting:
        reorder(state, account)
    else:
        dequeue(state, placed)
    if group.obstacle is not None:
        # It waits on for room, and may be offered that of the worker again.
        state.offered.discard(group)
        return
    size = group_size(state, group)
    if group.urgent or group.is_gang or not group.jobs:
        return
    if ordering_of(state).strict or state.reservations:
        return
    if not any(less.fits_in(size) for less in state.no_room_for):
        return
    if any(
        size.fits_in(state.workers[worker_id].free)
        for worker_id in state.released
    ):
        return
    block(state, account, group, Obstacle.ROOM, size)


def _standing_obstacle(
    state: CoreState,
    account: Account,
    group: Group,
    now_ms: int,
) -> Obstacle | None:
    if account.contract is None:
        return Obstacle.NO_CONTRACT
    if state.restricted and not starts_restricted(state, group.spec):
        return Obstacle.OWNERSHIP
    if state.jobs[group.head()].replaced_attempts:
        # A replacement holds the room of its replica twice for a moment.
        return None
    if not may_hold(account, group_size_at_once(state, group)):
        return Obstacle.QUOTA
    if account.over_quota and not group.urgent:
        if _yields_quota(state, account, group, now_ms):
            return Obstacle.QUOTA
    return None


def _yields_quota(
    state: CoreState,
    account: Account,
    group: Group,
    now_ms: int,
) -> bool:
    """Tell whether an older job has waited long for more of the quota.

    Smaller jobs of the same customer would otherwise use up each part of it
    that comes free.
    """
    for other in account.over_quota:
        if other.first_order > group.first_order:
            continue
        if now_ms - other.first_at_ms < _QUOTA_YIELD_AFTER_MS:
            continue
        if group_size_at_once(state, other).fits_in(account.quota):
            return True
    return False


def _place(
    state: CoreState,
    group: Group,
    job: JobRecord,
    size: Resources,
    now_ms: int,
) -> JobRecord | None:
    """Start a task or a gang; returns its job, `None` without room."""
    if group.is_gang:
        return place_gang(state, group, size, now_ms)
    if not start_held(state, job, now_ms):
        worker = _search(state, job, size, now_ms)
        if worker is None:
            return None
        start_next(state, job, worker, size, now_ms)
        drop_reservation(state, job.job_id, now_ms)
    group.served_at_ms = now_ms
    return job


def _search(
    state: CoreState,
    job: JobRecord,
    size: Resources,
    now_ms: int,
) -> WorkerView | None:
    if any(less.fits_in(size) for less in state.no_room_for):
        worker = find_released_worker(state, job, size)
    else:
        worker = find_worker(state, job, size)
        if worker is None and _looked_everywhere(state, job, size):
            _remember_no_room(state, size)
    if worker is None and state.reservations:
        worker = find_held_worker(state, job, size, now_ms)
    return worker


def _looked_everywhere(
    state: CoreState,
    job: JobRecord,
    size: Resources,
) -> bool:
    if job.failed_on:
        return False
    return bool(size.accelerators_count) or not accelerators_wait(state)


def _remember_no_room(state: CoreState, size: Resources) -> None:
    state.no_room_for = [
        other for other in state.no_room_for if not size.fits_in(other)
    ]
    if len(state.no_room_for) < _SIZES_REMEMBERED_COUNT:
        state.no_room_for.append(size)


def _wake_gangs(state: CoreState, now_ms: int) -> None:
    """Let gangs try again whose workers have room by now, or are lost.

    All try again after a time, as there may be room on other workers.
    """
    retried = now_ms - state.gangs_retried_at_ms >= _GANG_RETRY_INTERVAL_MS
    if retried:
        state.gangs_retried_at_ms = now_ms
    if retried:
        for group in tuple(state.blocked_gangs):
            unblock(state, state.accounts[group.customer], group)
    for job_id, reservation in tuple(state.reservations.items()):
        if is_valid(state, reservation) and not has_room(state, reservation):
            continue
        account = state.accounts[state.jobs[job_id].spec.customer]
        key = state.group_keys.get(job_id)
        if key is None:
            drop_reservation(state, job_id, now_ms)
        else:
            unblock(state, account, account.groups[key])


def _reclaim(
    state: CoreState,
    account: Account,
    group: Group,
    policy: str,
    now_ms: int,
) -> None:
    """Make room for the first jobs of a group that is owed it."""
    if group.is_gang or now_ms < group.reclaim_after_ms:
        return
    preempt_after_ms = _PREEMPT_AFTER_MS[policy]
    if now_ms - group.first_at_ms < preempt_after_ms:
        return
    size = group_size(state, group)
    owed = is_owed_urgently if policy == 'urgent' else _is_guaranteed
    for number, job_id in enumerate(
        islice(group.jobs, _RECLAIMED_JOBS_COUNT),
        start=1,
    ):
        if not owed(state, account, size.times(number)):
            break
        job = state.jobs[job_id]
        if not reclaim_for(state, job, size, policy, now_ms):
            group.reclaim_after_ms = now_ms + _RECLAIM_INTERVAL_MS
            break


def _is_guaranteed(
    state: CoreState,
    account: Account,
    more: Resources,
) -> bool:
    return is_guaranteed(account, more)
