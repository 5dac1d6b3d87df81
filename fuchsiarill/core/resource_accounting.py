"""Accounting of the resources that attempts reserve.

Every change keeps the worker, the index, the account of the customer and its
blocked groups consistent.
"""

from typing import Final

from fuchsiarill.core.accounts import Account
from fuchsiarill.core.quotas import account_of, share_of
from fuchsiarill.core.state import CoreState
from fuchsiarill.core.wait_queue import mark_unranked, unblock_account
from fuchsiarill.core.worker_view import WorkerView
from fuchsiarill.job import (
    Attempt,
    Execution,
    JobRecord,
    StopReason,
    Urgency,
    Workload,
)
from fuchsiarill.resources import NO_RESOURCES, Resources
from fuchsiarill.states import WorkerState

# Maximum number of tasks that a worker on probation gets at once, doubled with
# each success.
_FIRST_PROBES_MAX_COUNT: Final = 1


def reserve_attempt(state: CoreState, job: JobRecord, attempt: Attempt) -> None:
    """Reserve resources for an attempt on its worker and its account.

    Also used for attempts that a worker reports after a takeover. These may
    exceed the capacity of the worker, which then gets no tasks until enough
    of them have ended.
    """
    state.attempts[attempt.attempt_id] = attempt
    job.attempts[attempt.attempt_id] = attempt
    account = account_of(state, job.spec.customer)
    _add_to_account(state, account, job, attempt.reserved)
    account.served_at_ms = max(account.served_at_ms, attempt.placed_at_ms)
    _add_preemptible(account, job, attempt)
    mark_unranked(state, account)
    worker = state.workers.get(attempt.worker_id)
    if worker is not None:
        reserve_on_worker(state, worker, attempt, attempt.placed_at_ms)


def reserve_on_worker(
    state: CoreState,
    worker: WorkerView,
    attempt: Attempt,
    now_ms: int,
) -> None:
    """Reserve an attempt on its worker; a repeated call changes nothing."""
    if attempt.attempt_id in worker.attempts:
        return
    worker.attempts.add(attempt.attempt_id)
    worker.reserve(attempt.reserved)
    refresh_index(state, worker, now_ms)


def release_attempt(state: CoreState, attempt: Attempt, now_ms: int) -> None:
    """Release an attempt's resources; a repeated call changes nothing."""
    if state.attempts.pop(attempt.attempt_id, None) is None:
        return
    state.unrenewed.pop(attempt.attempt_id, None)
    job = state.jobs[attempt.job_id]
    job.attempts.pop(attempt.attempt_id, None)
    account = account_of(state, job.spec.customer)
    decrease = NO_RESOURCES - attempt.reserved
    _add_to_account(state, account, job, decrease)
    if attempt.stop_reason is StopReason.RECLAIMED:
        account.being_reclaimed -= attempt.reserved
    account.preemptible_batch.pop(attempt.attempt_id, None)
    account.preemptible_services.pop(attempt.attempt_id, None)
    unblock_account(state, account)
    mark_unranked(state, account)
    worker = state.workers.get(attempt.worker_id)
    if worker is None or attempt.attempt_id not in worker.attempts:
        return
    worker.attempts.discard(attempt.attempt_id)
    worker.reserve(decrease)
    refresh_index(state, worker, now_ms)
    mark_released(state, worker)


def resize_attempt(
    state: CoreState,
    attempt: Attempt,
    size: Resources,
    now_ms: int,
) -> None:
    """Change the reservation of an attempt."""
    old_size = attempt.reserved
    attempt.reserved = size
    job = state.jobs[attempt.job_id]
    account = account_of(state, job.spec.customer)
    _add_to_account(state, account, job, size - old_size)
    mark_unranked(state, account)
    worker = state.workers.get(attempt.worker_id)
    if worker is None:
        return
    worker.reserve(size - old_size)
    refresh_index(state, worker, now_ms)
    if not old_size.fits_in(size):
        unblock_account(state, account)
        mark_released(state, worker)


def refresh_index(state: CoreState, worker: WorkerView, now_ms: int) -> None:
    """Update the index entry of a worker, or remove it if it gets no tasks."""
    if accepts_tasks(worker, now_ms):
        state.index.update(worker)
    else:
        state.index.remove(worker)


def mark_released(state: CoreState, worker: WorkerView) -> None:
    """Let the next decision offer the free capacity of a worker.

    Only workers in `READY` or `PROBATION` are offered.
    """
    if worker.state not in {WorkerState.READY, WorkerState.PROBATION}:
        return
    state.released[worker.worker_id] = None


def accepts_tasks(worker: WorkerView, now_ms: int) -> bool:
    """Tell whether a worker belongs in the index, apart from its capacity.

    Held workers do not; `placement.find_held_worker` examines them.
    """
    if worker.holds:
        return False
    if worker.state is WorkerState.READY:
        return True
    if worker.state is not WorkerState.PROBATION:
        return False
    if now_ms < worker.probe_after_ms:
        return False
    allowed_count = _FIRST_PROBES_MAX_COUNT << worker.probes_count
    return len(worker.attempts) < allowed_count


def _add_to_account(
    state: CoreState,
    account: Account,
    job: JobRecord,
    change: Resources,
) -> None:
    account.reserved += change
    account.share = share_of(state, account)
    if job.spec.urgency is Urgency.URGENT:
        account.urgent_reserved += change


def _add_preemptible(
    account: Account,
    job: JobRecord,
    attempt: Attempt,
) -> None:
    spec = job.spec
    if spec.execution is Execution.AT_MOST_ONCE:
        return
    if spec.urgency is Urgency.URGENT:
        return
    if spec.workload is Workload.SERVICE:
        account.preemptible_services[attempt.attempt_id] = None
    elif spec.workload is Workload.BATCH:
        account.preemptible_batch[attempt.attempt_id] = None
