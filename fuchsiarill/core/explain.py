"""Explains why a job waits."""

from dataclasses import dataclass
from enum import Enum

from fuchsiarill.core.accounts import Account, Group, Obstacle
from fuchsiarill.core.admission import excesses, first_excess
from fuchsiarill.core.sizes import group_size, group_size_at_once
from fuchsiarill.core.state import CoreState
from fuchsiarill.core.wait_queue import is_waiting, rank_accounts
from fuchsiarill.ids import JobId
from fuchsiarill.job import JobRecord
from fuchsiarill.resources import Resources
from fuchsiarill.states import JobState


class WaitReason(Enum):
    """Why a job does not run."""

    NOTHING = 'nothing'
    COMMIT = 'commit'
    BACKOFF = 'backoff'
    TURN = 'turn'
    CAPACITY = 'room'
    QUOTA = 'quota'
    CONTRACT = 'contract'
    OWNERSHIP = 'ownership'
    CONFIRMATION = 'confirmation'


@dataclass(frozen=True, slots=True)
class Explanation:
    """Why a job waits, and how many jobs and customers precede it.

    `field` is the limiting resource, of which the job needs `wanted` and
    only `available` is left. `ahead_own_count` counts the jobs of the same
    customer that precede this one, `ahead_customers_count` the customers that
    rank before this one.
    `starts_at_ms` is the expected start if workers are held for the job.
    """

    job_id: JobId
    state: JobState
    reason: WaitReason
    waited_ms: int
    field: str | None = None
    wanted: int = 0
    available: int = 0
    ahead_own_count: int = 0
    ahead_customers_count: int = 0
    starts_at_ms: int | None = None


_REASON_OF_STATE = {
    JobState.ACCEPTING: WaitReason.COMMIT,
    JobState.CANCELLING: WaitReason.CONFIRMATION,
}
_REASON_OF_OBSTACLE = {
    Obstacle.CAPACITY: WaitReason.CAPACITY,
    Obstacle.QUOTA: WaitReason.QUOTA,
    Obstacle.NO_CONTRACT: WaitReason.CONTRACT,
    Obstacle.OWNERSHIP: WaitReason.OWNERSHIP,
}


def explain(state: CoreState, job: JobRecord, now_ms: int) -> Explanation:
    """Return why a job waits; the reason is `NOTHING` if it does not."""
    waited_ms = now_ms - job.accepted_at_ms
    reason = _REASON_OF_STATE.get(job.state, WaitReason.NOTHING)
    if not is_waiting(state, job):
        if _awaits_restart(job):
            reason = WaitReason.BACKOFF
        return Explanation(job.job_id, job.state, reason, waited_ms)
    rank_accounts(state)
    account = state.accounts[job.spec.customer]
    group = account.groups[state.group_keys[job.job_id]]
    reason = WaitReason.TURN
    if group.obstacle is not None:
        reason = _REASON_OF_OBSTACLE[group.obstacle]
    field, wanted, available = _limiting_resource(state, account, group)
    reservation = state.reservations.get(job.job_id)
    return Explanation(
        job_id=job.job_id,
        state=job.state,
        reason=reason,
        waited_ms=waited_ms,
        field=field,
        wanted=wanted,
        available=available,
        ahead_own_count=_ahead_own_count(account, group, job),
        ahead_customers_count=_ahead_customers_count(state, account),
        starts_at_ms=None if reservation is None else reservation.starts_at_ms,
    )


def _awaits_restart(job: JobRecord) -> bool:
    if job.state not in {JobState.QUEUED, JobState.RUNNING}:
        return False
    return len(job.attempts) + len(job.results) < job.spec.tasks_count


def _limiting_resource(
    state: CoreState,
    account: Account,
    group: Group,
) -> tuple[str | None, int, int]:
    if group.obstacle is Obstacle.QUOTA:
        wanted = group_size_at_once(state, group)
        return _first_excess(wanted, account.quota - account.reserved)
    if group.obstacle is not Obstacle.CAPACITY:
        return None, 0, 0
    size = group_size(state, group)
    nearest_free = min(
        (worker.free for worker in state.workers.values()),
        key=lambda free: len(list(excesses(size, free))),
        default=state.total_capacity,
    )
    return _first_excess(size, nearest_free)


def _first_excess(
    wanted: Resources,
    available: Resources,
) -> tuple[str | None, int, int]:
    return first_excess(wanted, available) or (None, 0, 0)


def _ahead_own_count(account: Account, group: Group, job: JobRecord) -> int:
    ahead_count = 0
    for other in account.groups.values():
        if other.urgent is group.urgent:
            others = other.jobs.values()
            ahead_count += sum(
                other_job.acceptance_number < job.acceptance_number
                for other_job in others
            )
        elif other.urgent:
            ahead_count += len(other.jobs)
    return ahead_count


def _ahead_customers_count(state: CoreState, account: Account) -> int:
    if account.rank is None:
        return len(state.ready_order)
    return int(state.ready_order.index((account.rank, account.customer)))
