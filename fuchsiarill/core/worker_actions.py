"""Actions that the worker chart names."""

from fuchsiarill.core.requeue import ask_to_stop, start_elsewhere
from fuchsiarill.core.resource_accounting import note_room, refresh
from fuchsiarill.core.state import CoreState
from fuchsiarill.core.steps import WORKER_ACTIONS, step_attempt
from fuchsiarill.core.worker_holds import drop_reservation
from fuchsiarill.core.worker_view import WorkerView
from fuchsiarill.job import Execution, StopReason, Workload
from fuchsiarill.states import AttemptEvent, AttemptState


@WORKER_ACTIONS.register('offer')
def _offer(state: CoreState, worker: WorkerView, now_ms: int) -> None:
    refresh(state, worker, now_ms)
    note_room(state, worker)


@WORKER_ACTIONS.register('withdraw')
def _withdraw(state: CoreState, worker: WorkerView, now_ms: int) -> None:
    refresh(state, worker, now_ms)
    for job_id in tuple(worker.holds):
        drop_reservation(state, job_id, now_ms)


@WORKER_ACTIONS.register('suspect_attempts')
def _suspect_attempts(
    state: CoreState,
    worker: WorkerView,
    now_ms: int,
) -> None:
    for attempt_id in sorted(worker.attempts):
        attempt = state.attempts[attempt_id]
        state.unrenewed[attempt_id] = None
        step_attempt(state, attempt, AttemptEvent.CONTACT_LOST, now_ms)


@WORKER_ACTIONS.register('move_services')
def move_services(
    state: CoreState,
    worker: WorkerView,
    now_ms: int,
) -> None:
    """Let the replicas on a worker run elsewhere.

    One that the worker does not confirm may have ended; it is started again
    when its lease has lapsed.
    """
    for attempt_id in sorted(worker.attempts):
        attempt = state.attempts[attempt_id]
        if attempt.state is not AttemptState.RUNNING:
            continue
        job = state.jobs[attempt.job_id]
        if job.spec.workload is not Workload.SERVICE:
            continue
        if job.spec.execution is Execution.AT_MOST_ONCE:
            ask_to_stop(state, attempt, StopReason.MOVED, now_ms)
        else:
            start_elsewhere(state, job, attempt, now_ms)
