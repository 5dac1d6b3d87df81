"""A decision: one round that starts waiting tasks and chooses their workers.

Each step tries one group, the first in rank or one that fits released capacity.
It starts a task or a gang, or blocks the group until its obstacle may have been
removed. With a strict ordering, a group that lacks capacity stays ready and
ends the round.
"""

from itertools import islice
from types import MappingProxyType
from typing import Final

from fuchsiarill.core.accelerators import accelerator_jobs_wait
from fuchsiarill.core.accounts import Account, Group, Obstacle, Rank
from fuchsiarill.core.admission import may_start_while_restricted
from fuchsiarill.core.gangs import (
    move_holds_to_released,
    place_gang,
    reserve_for_task,
    start_if_reserved,
)
from fuchsiarill.core.ordering import ordering_of
from fuchsiarill.core.placement import (
    find_held_worker,
    find_released_worker,
    find_worker,
)
from fuchsiarill.core.preemption import reclaim_for
from fuchsiarill.core.quotas import (
    is_guaranteed,
    is_owed_urgently,
    quota_permits,
)
from fuchsiarill.core.sizes import group_size, group_size_at_once
from fuchsiarill.core.starting import start_next
from fuchsiarill.core.state import CoreState
from fuchsiarill.core.timers import run_due
from fuchsiarill.core.wait_queue import (
    block,
    dequeue,
    group_for_released_capacity,
    mark_unranked,
    rank_accounts,
    retry_unplaceable,
    unblock,
)
from fuchsiarill.core.worker_holds import (
    drop_reservation,
    has_capacity,
    is_reservation_valid,
)
from fuchsiarill.core.worker_view import WorkerView
from fuchsiarill.job import JobRecord
from fuchsiarill.resources import Resources

# The account and the group to try next, and the rank of that group.
_Candidate = tuple[Account, Group, Rank]
# Maximum number of steps of one call of `decide`; between calls, the owner
# handles other messages.
STEPS_MAX_COUNT: Final = 32
# Interval at which all blocked gangs are tried again.
_GANG_RETRY_INTERVAL_MS: Final = 500
# Maximum number of sizes recorded as fitting no worker.
_FAILED_SEARCH_SIZES_MAX_COUNT: Final = 16
# Delay before reclaiming is tried again for a group after no attempts to stop
# were found for one of its jobs.
_RECLAIM_INTERVAL_MS: Final = 100
# Maximum number of jobs of one group for which capacity is reclaimed at a time.
_RECLAIMING_JOBS_MAX_COUNT: Final = 8
# A group without a start for this time is considered starved by smaller jobs.
_STARVING_AFTER_MS: Final = 20_000
# Wait of an older job after which later jobs of its customer, apart from urgent
# ones, no longer use the quota that the older job needs.
_QUOTA_YIELD_AFTER_MS: Final = 10_000
# Wait of the first job of a group before attempts are stopped for the group, by
# preemption policy: if tasks end within this time, their capacity is used and
# no work is lost. Urgent jobs have to start within 1,100 ms, which includes the
# stops.
_PREEMPT_AFTER_MS: Final = MappingProxyType(
    {'urgent': 300, 'guaranteed': 5_000}
)


def decide(state: CoreState, now_ms: int) -> bool:
    """Start waiting tasks; `True` if `STEPS_MAX_COUNT` was reached."""
    run_due(state, now_ms)
    retry_unplaceable(state, now_ms)
    move_holds_to_released(state, now_ms)
    _unblock_gangs(state, now_ms)
    steps_count = 0
    while steps_count < STEPS_MAX_COUNT:
        steps_count += 1
        candidate = _next_candidate(state)
        if candidate is None or not _try_candidate(state, candidate, now_ms):
            return False
    return True


def _next_candidate(state: CoreState) -> _Candidate | None:
    """Return the group to try next.

    Released capacity is offered to an unplaceable group that fits. If other
    groups are ready, the ordering policy decides between all of them.
    """
    rank_accounts(state)
    ordering = ordering_of(state)
    offered_group = group_for_released_capacity(state)
    if offered_group is not None:
        account = state.accounts[offered_group.customer]
        if not state.ready_order:
            return (
                account,
                offered_group,
                ordering.rank(state, account, offered_group),
            )
        unblock(state, account, offered_group)
        rank_accounts(state)
    if not state.ready_order:
        return None
    rank, customer = state.ready_order[0]
    account = state.accounts[customer]
    return account, ordering.first_group(account.ready), rank


def _try_candidate(
    state: CoreState, candidate: _Candidate, now_ms: int
) -> bool:
    """Start the next task or block its group; `False` ends the round."""
    account, group, rank = candidate
    job = state.jobs[group.first_job_id()]
    if not job.waiting:
        # The tasks of the job were found running after a takeover.
        dequeue(state, job)
        return True
    size = group_size(state, group)
    obstacle = _find_obstacle(state, account, group, now_ms)
    if obstacle is not None:
        block(state, account, group, obstacle)
        if obstacle is Obstacle.QUOTA and group.urgent:
            _reclaim_for_group(state, account, group, 'urgent', now_ms)
        return True
    started_job = _start_first_job(state, group, job, size, now_ms)
    if started_job is not None:
        _update_started_group(state, account, group, started_job)
        return True
    return _handle_failed_search(state, candidate, size, now_ms)


def _handle_failed_search(
    state: CoreState,
    candidate: _Candidate,
    size: Resources,
    now_ms: int,
) -> bool:
    account, group, rank = candidate
    block(state, account, group, Obstacle.CAPACITY, size)
    ordering = ordering_of(state)
    if not ordering.strict and _is_starving(state, candidate, now_ms):
        reserve_for_task(state, state.jobs[group.first_job_id()], size, now_ms)
    if ordering.strict:
        unblock(state, account, group)
        return False
    policy = ordering.preemptions.get(int(rank[0]))
    if policy is not None:
        _reclaim_for_group(state, account, group, policy, now_ms)
    return True


def _is_starving(state: CoreState, candidate: _Candidate, now_ms: int) -> bool:
    """Tell whether the group starves and its customer has the first rank.

    Only customers with unplaceable groups are compared. `False` for gangs.
    """
    account, group, _rank = candidate
    waiting_since_ms = max(group.first_at_ms, group.served_at_ms)
    if group.is_gang or now_ms - waiting_since_ms < _STARVING_AFTER_MS:
        return False
    rank_accounts(state)
    return bool(state.unplaceable_order[0][1] == account.customer)


def _update_started_group(
    state: CoreState,
    account: Account,
    group: Group,
    started_job: JobRecord,
) -> None:
    """Keep the group ready, or block it if a failed search shows no capacity.

    Urgent groups stay ready, as capacity may have to be reclaimed for them.
    Gangs also stay ready, and all groups do with a strict ordering or while
    there are reservations.
    """
    if started_job.waiting:
        mark_unranked(state, account)
    else:
        dequeue(state, started_job)
    if group.obstacle is not None:
        # The group is still blocked; released capacity may be offered to it
        # again.
        state.offered.discard(group)
        return
    size = group_size(state, group)
    if group.urgent or group.is_gang or not group.jobs:
        return
    if ordering_of(state).strict or state.reservations:
        return
    if not any(
        failed_size.fits_in(size) for failed_size in state.failed_search_sizes
    ):
        return
    if any(
        size.fits_in(state.workers[worker_id].free)
        for worker_id in state.released
    ):
        return
    block(state, account, group, Obstacle.CAPACITY, size)


def _find_obstacle(
    state: CoreState,
    account: Account,
    group: Group,
    now_ms: int,
) -> Obstacle | None:
    if account.contract is None:
        return Obstacle.NO_CONTRACT
    if state.restricted and not may_start_while_restricted(state, group.spec):
        return Obstacle.OWNERSHIP
    if state.jobs[group.first_job_id()].replaced_attempts:
        # A replacement and its replica are counted together until the replica
        # stops, which may exceed the quota.
        return None
    if not quota_permits(account, group_size_at_once(state, group)):
        return Obstacle.QUOTA
    if account.over_quota and not group.urgent:
        if _must_yield_quota(state, account, group, now_ms):
            return Obstacle.QUOTA
    return None


def _must_yield_quota(
    state: CoreState,
    account: Account,
    group: Group,
    now_ms: int,
) -> bool:
    """Tell whether quota must be left to an older job of the customer.

    That is so once the older job has waited for `_QUOTA_YIELD_AFTER_MS`, if the
    whole quota is enough for it. Later jobs that need less could otherwise use
    up each part of the quota that is released.
    """
    for other_group in account.over_quota:
        if other_group.first_order > group.first_order:
            continue
        if now_ms - other_group.first_at_ms < _QUOTA_YIELD_AFTER_MS:
            continue
        if group_size_at_once(state, other_group).fits_in(account.quota):
            return True
    return False


def _start_first_job(
    state: CoreState,
    group: Group,
    job: JobRecord,
    size: Resources,
    now_ms: int,
) -> JobRecord | None:
    """Start a task or a gang; returns its job, `None` if none fits."""
    if group.is_gang:
        return place_gang(state, group, size, now_ms)
    if not start_if_reserved(state, job, now_ms):
        worker = _search_worker(state, job, size, now_ms)
        if worker is None:
            return None
        start_next(state, job, worker, size, now_ms)
        drop_reservation(state, job.job_id, now_ms)
    group.served_at_ms = now_ms
    return job


def _search_worker(
    state: CoreState,
    job: JobRecord,
    size: Resources,
    now_ms: int,
) -> WorkerView | None:
    if any(
        failed_size.fits_in(size) for failed_size in state.failed_search_sizes
    ):
        worker = find_released_worker(state, job, size)
    else:
        worker = find_worker(state, job, size)
        if worker is None and _searched_all_workers(state, job, size):
            _record_failed_search(state, size)
    if worker is None and state.reservations:
        worker = find_held_worker(state, job, size, now_ms)
    return worker


def _searched_all_workers(
    state: CoreState,
    job: JobRecord,
    size: Resources,
) -> bool:
    if job.failed_on:
        return False
    return bool(size.accelerators_count) or not accelerator_jobs_wait(state)


def _record_failed_search(state: CoreState, size: Resources) -> None:
    state.failed_search_sizes = [
        other_size
        for other_size in state.failed_search_sizes
        if not size.fits_in(other_size)
    ]
    if len(state.failed_search_sizes) < _FAILED_SEARCH_SIZES_MAX_COUNT:
        state.failed_search_sizes.append(size)


def _unblock_gangs(state: CoreState, now_ms: int) -> None:
    """Unblock gangs whose held workers all have capacity, or are not all ready.

    Single tasks with a reservation are handled in the same way; the reservation
    of a job that no longer waits is dropped. All gangs are unblocked at
    intervals, as other workers may have capacity.
    """
    is_retry_due = now_ms - state.gangs_retried_at_ms >= _GANG_RETRY_INTERVAL_MS
    if is_retry_due:
        state.gangs_retried_at_ms = now_ms
    if is_retry_due:
        for group in tuple(state.blocked_gangs):
            unblock(state, state.accounts[group.customer], group)
    for job_id, reservation in tuple(state.reservations.items()):
        if is_reservation_valid(state, reservation) and not has_capacity(
            state, reservation
        ):
            continue
        account = state.accounts[state.jobs[job_id].spec.customer]
        key = state.group_keys.get(job_id)
        if key is None:
            drop_reservation(state, job_id, now_ms)
        else:
            unblock(state, account, account.groups[key])


def _reclaim_for_group(
    state: CoreState,
    account: Account,
    group: Group,
    policy: str,
    now_ms: int,
) -> None:
    """Reclaim capacity for the first jobs of a group.

    The `urgent` policy applies up to the guarantee or the weighted share of the
    customer, the `guaranteed` policy up to the guarantee. Nothing is reclaimed
    for gangs.
    """
    if group.is_gang or now_ms < group.reclaim_after_ms:
        return
    preempt_after_ms = _PREEMPT_AFTER_MS[policy]
    if now_ms - group.first_at_ms < preempt_after_ms:
        return
    size = group_size(state, group)
    is_entitled = is_owed_urgently if policy == 'urgent' else _is_guaranteed
    for jobs_count, job_id in enumerate(
        islice(group.jobs, _RECLAIMING_JOBS_MAX_COUNT),
        start=1,
    ):
        if not is_entitled(state, account, size.times(jobs_count)):
            break
        job = state.jobs[job_id]
        if not reclaim_for(state, job, size, policy, now_ms):
            group.reclaim_after_ms = now_ms + _RECLAIM_INTERVAL_MS
            break


def _is_guaranteed(
    state: CoreState,
    account: Account,
    additional: Resources,
) -> bool:
    return is_guaranteed(account, additional)
