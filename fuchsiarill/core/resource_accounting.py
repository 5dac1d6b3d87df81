"""Reservations on workers: the only place that changes what is held.

Every change keeps the worker, the index, the account of the customer and the
groups that wait for room in step.
"""

from typing import Final

from fuchsiarill.core.accounts import Account
from fuchsiarill.core.quotas import account_of, share_of
from fuchsiarill.core.state import CoreState
from fuchsiarill.core.wait_queue import reorder, unblock_account
from fuchsiarill.core.worker_view import WorkerView
from fuchsiarill.job import (
    Attempt,
    Execution,
    JobRecord,
    StopReason,
    Urgency,
    Workload,
)
from fuchsiarill.resources import NOTHING, Resources
from fuchsiarill.states import WorkerState

# Tasks a worker on probation runs at once, doubled with each success.
_PROBES_FIRST_COUNT: Final = 1


def take(state: CoreState, job: JobRecord, attempt: Attempt) -> None:
    """Reserve for an attempt on its worker and on the customer's account.

    Also used for attempts found on a worker after a takeover; then the worker
    may be held above its capacity, and gets nothing until that has passed.
    """
    state.attempts[attempt.attempt_id] = attempt
    job.attempts[attempt.attempt_id] = attempt
    account = account_of(state, job.spec.customer)
    _count(state, account, job, attempt.reserved)
    account.served_at_ms = max(account.served_at_ms, attempt.placed_at_ms)
    _note_stoppable(account, job, attempt)
    reorder(state, account)
    worker = state.workers.get(attempt.worker_id)
    if worker is not None:
        attach(state, worker, attempt, attempt.placed_at_ms)


def attach(
    state: CoreState,
    worker: WorkerView,
    attempt: Attempt,
    now_ms: int,
) -> None:
    """Reserve on the worker, when it is known only after the attempt."""
    if attempt.attempt_id in worker.attempts:
        return
    worker.attempts.add(attempt.attempt_id)
    worker.reserve(attempt.reserved)
    refresh(state, worker, now_ms)


def give_back(state: CoreState, attempt: Attempt, now_ms: int) -> None:
    """Release what an attempt held; a repeated call changes nothing."""
    if state.attempts.pop(attempt.attempt_id, None) is None:
        return
    state.unrenewed.pop(attempt.attempt_id, None)
    job = state.jobs[attempt.job_id]
    job.attempts.pop(attempt.attempt_id, None)
    account = account_of(state, job.spec.customer)
    released = NOTHING - attempt.reserved
    _count(state, account, job, released)
    if attempt.stop_reason is StopReason.RECLAIMED:
        account.reclaimed -= attempt.reserved
    account.stoppable.pop(attempt.attempt_id, None)
    account.services.pop(attempt.attempt_id, None)
    unblock_account(state, account)
    reorder(state, account)
    worker = state.workers.get(attempt.worker_id)
    if worker is None or attempt.attempt_id not in worker.attempts:
        return
    worker.attempts.discard(attempt.attempt_id)
    worker.reserve(released)
    refresh(state, worker, now_ms)
    note_room(state, worker)


def resize(
    state: CoreState,
    attempt: Attempt,
    size: Resources,
    now_ms: int,
) -> None:
    """Change what a running attempt holds."""
    before = attempt.reserved
    attempt.reserved = size
    job = state.jobs[attempt.job_id]
    account = account_of(state, job.spec.customer)
    _count(state, account, job, size - before)
    reorder(state, account)
    worker = state.workers.get(attempt.worker_id)
    if worker is None:
        return
    worker.reserve(size - before)
    refresh(state, worker, now_ms)
    if not before.fits_in(size):
        unblock_account(state, account)
        note_room(state, worker)


def refresh(state: CoreState, worker: WorkerView, now_ms: int) -> None:
    """Put a worker into the index, or take it out if it gets no tasks."""
    if admits(worker, now_ms):
        state.index.place(worker)
    else:
        state.index.remove(worker)


def note_room(state: CoreState, worker: WorkerView) -> None:
    """Let the next decision offer the room of a worker."""
    if worker.state not in {WorkerState.READY, WorkerState.PROBATION}:
        return
    state.released[worker.worker_id] = None


def admits(worker: WorkerView, now_ms: int) -> bool:
    """Tell whether a worker may get further tasks of any job."""
    if worker.holds:
        return False
    if worker.state is WorkerState.READY:
        return True
    if worker.state is not WorkerState.PROBATION:
        return False
    if now_ms < worker.probe_after_ms:
        return False
    allowed_count = _PROBES_FIRST_COUNT << worker.probes_count
    return len(worker.attempts) < allowed_count


def _count(
    state: CoreState,
    account: Account,
    job: JobRecord,
    change: Resources,
) -> None:
    account.held += change
    account.share = share_of(state, account)
    if job.spec.urgency is Urgency.URGENT:
        account.urgent_held += change


def _note_stoppable(
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
        account.services[attempt.attempt_id] = None
    elif spec.workload is Workload.BATCH:
        account.stoppable[attempt.attempt_id] = None
