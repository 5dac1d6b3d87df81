"""Actions of the worker chart, `charts/worker.yaml`."""

from fuchsiarill.core.requeue import request_replacement, request_stop
from fuchsiarill.core.resource_accounting import mark_released, refresh_index
from fuchsiarill.core.state import CoreState
from fuchsiarill.core.steps import WORKER_ACTIONS, step_attempt
from fuchsiarill.core.worker_holds import drop_reservation
from fuchsiarill.core.worker_view import WorkerView
from fuchsiarill.job import Execution, StopReason, Workload
from fuchsiarill.states import AttemptEvent, AttemptState


@WORKER_ACTIONS.register('offer_capacity')
def _offer_capacity(state: CoreState, worker: WorkerView, now_ms: int) -> None:
    refresh_index(state, worker, now_ms)
    mark_released(state, worker)


@WORKER_ACTIONS.register('withdraw_capacity')
def _withdraw_capacity(
    state: CoreState, worker: WorkerView, now_ms: int
) -> None:
    refresh_index(state, worker, now_ms)
    for job_id in tuple(worker.holds):
        drop_reservation(state, job_id, now_ms)


@WORKER_ACTIONS.register('mark_contact_lost')
def _mark_contact_lost(
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
    """Request replacements on other workers for the running replicas.

    An at-most-once replica is stopped before it is replaced. A replica that is
    not known to run is not replaced yet: it is replaced after a report that it
    runs, or becomes lost once its lease has lapsed, and is then started again
    if idempotent.
    """
    for attempt_id in sorted(worker.attempts):
        attempt = state.attempts[attempt_id]
        if attempt.state is not AttemptState.RUNNING:
            continue
        job = state.jobs[attempt.job_id]
        if job.spec.workload is not Workload.SERVICE:
            continue
        if job.spec.execution is Execution.AT_MOST_ONCE:
            request_stop(state, attempt, StopReason.MOVED, now_ms)
        else:
            request_replacement(state, job, attempt, now_ms)
