"""One round of decisions: what starts now, and on which worker."""

from itertools import islice
from typing import Final

from fuchsiarill.core.accelerators import accelerators_wait
from fuchsiarill.core.accounts import Account, Group, Obstacle
from fuchsiarill.core.admission import starts_restricted
from fuchsiarill.core.gangs import first_gangs, place_gang, take_released_room
from fuchsiarill.core.ordering import ordering_of
from fuchsiarill.core.placement import (
    find_held_worker,
    find_released_worker,
    find_worker,
)
from fuchsiarill.core.quotas import is_guaranteed, is_owed_urgently, may_hold
from fuchsiarill.core.reclaim import reclaim_for
from fuchsiarill.core.reservations import has_room, is_valid
from fuchsiarill.core.sizes import group_size, group_size_at_once
from fuchsiarill.core.starting import start_next
from fuchsiarill.core.state import CoreState
from fuchsiarill.core.timers import run_due
from fuchsiarill.core.waiting import (
    block,
    dequeue,
    offer_room,
    rank_accounts,
    reorder,
    retry_some,
    unblock,
)
from fuchsiarill.core.worker_view import WorkerView
from fuchsiarill.job import JobRecord
from fuchsiarill.resources import Resources

# Steps of one call; the owner answers other messages in between.
STEPS_MAX_COUNT: Final = 32
_GANG_RETRY_INTERVAL_MS: Final = 500
_SIZES_REMEMBERED_COUNT: Final = 16
# Time after which room is looked for again where none could be reclaimed.
_RECLAIM_INTERVAL_MS: Final = 100
# Waiting jobs of one group for which room is reclaimed at a time.
_RECLAIMED_JOBS_COUNT: Final = 8
# Room that ends of tasks give back in this time costs no lost work.
_GUARANTEED_PATIENCE_MS: Final = 5_000


def decide(state: CoreState, now_ms: int) -> bool:
    """Start what can start; returns `True` when there may be more to do."""
    run_due(state, now_ms)
    retry_some(state, now_ms)
    take_released_room(state, now_ms)
    _wake_gangs(state, now_ms)
    steps_count = 0
    while steps_count < STEPS_MAX_COUNT:
        steps_count += 1
        offer_room(state)
        rank_accounts(state)
        if not state.order or not _advance(state, now_ms):
            return False
    return True


def _advance(state: CoreState, now_ms: int) -> bool:
    """Start or set aside the next task; `False` ends the round."""
    account = state.accounts[state.order[0][1]]
    ordering = ordering_of(state)
    group = ordering.first(account.ready)
    job = state.jobs[group.head()]
    if not job.waiting:
        # Its tasks were found running after a takeover.
        dequeue(state, job)
        return True
    size = group_size(state, group)
    obstacle = _standing_obstacle(state, account, group)
    if obstacle is not None:
        block(state, account, group, obstacle)
        if obstacle is Obstacle.QUOTA and group.urgent:
            _reclaim(state, account, group, 'urgent', now_ms)
        return True
    placed = _place(state, group, job, size, now_ms)
    if placed is not None:
        _after_start(state, account, group, placed)
        return True
    rank = state.order[0][0]
    block(state, account, group, Obstacle.ROOM, size)
    if ordering.strict:
        unblock(state, account, group)
        return False
    policy = ordering.preemptions.get(int(rank[0]))
    if policy is not None:
        _reclaim(state, account, group, policy, now_ms)
    return True


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
) -> Obstacle | None:
    if account.contract is None:
        return Obstacle.NO_CONTRACT
    if state.restricted and not starts_restricted(state, group.spec):
        return Obstacle.OWNERSHIP
    if not may_hold(account, group_size_at_once(state, group)):
        return Obstacle.QUOTA
    return None


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
    worker = _search(state, job, size, now_ms)
    if worker is None:
        return None
    start_next(state, job, worker, size, now_ms)
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
    for group in tuple(state.blocked_gangs):
        if retried or _may_start(state, group):
            unblock(state, state.accounts[group.customer], group)


def _may_start(state: CoreState, group: Group) -> bool:
    for job_id in first_gangs(group):
        reservation = state.reservations.get(job_id)
        if reservation is None:
            continue
        if not is_valid(state, reservation) or has_room(state, reservation):
            return True
    return False


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
    waited_ms = now_ms - state.jobs[group.head()].accepted_at_ms
    if not group.urgent and waited_ms < _GUARANTEED_PATIENCE_MS:
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
