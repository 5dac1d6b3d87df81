"""What a worker reports, turned into events of attempts."""

from typing import Final

from fuchsiarill.core.adoption import adopt
from fuchsiarill.core.learning import note_usage
from fuchsiarill.core.leases import renew_leases
from fuchsiarill.core.resource_accounting import resize
from fuchsiarill.core.sizes import larger
from fuchsiarill.core.state import CoreState
from fuchsiarill.core.steps import step_attempt, step_worker
from fuchsiarill.core.worker_actions import move_services
from fuchsiarill.core.worker_view import WorkerView
from fuchsiarill.job import Attempt
from fuchsiarill.states import (
    AttemptEvent,
    AttemptState,
    WorkerEvent,
    WorkerState,
)
from fuchsiarill.workers import TaskOutcome, TaskReport, WorkerReport

_EVENT_OF_OUTCOME: Final = {
    TaskOutcome.SUCCEEDED: AttemptEvent.SUCCEEDED,
    TaskOutcome.FAILED: AttemptEvent.FAILED,
    TaskOutcome.STOPPED: AttemptEvent.STOPPED,
    TaskOutcome.REFUSED: AttemptEvent.REFUSED,
}


def apply_report(
    state: CoreState,
    worker: WorkerView,
    report: WorkerReport,
    now_ms: int,
    requested_at_ms: int,
) -> None:
    """Step the attempts of a worker by its report."""
    worker.reported_at_ms = now_ms
    step_worker(state, worker, WorkerEvent.REPORTED, now_ms)
    adopt(state, worker, report, now_ms)
    reported = {task.attempt_id for task in report.tasks}
    renew_leases(state, reported, requested_at_ms)
    for task in report.tasks:
        _task_reported(state, task, now_ms)
    if worker.state is WorkerState.LEAVING:
        move_services(state, worker, now_ms)


def _take_over_size(
    state: CoreState,
    attempt: Attempt,
    task: TaskReport,
    now_ms: int,
) -> None:
    """Reserve what a start of an older owner reserved.

    The journal has the declared size only, which may be far too small.
    """
    if attempt.usage_reports_count or task.reserved.fits_in(attempt.reserved):
        return
    needed = larger(task.reserved, attempt.reserved)
    resize(state, attempt, needed, now_ms)


def _task_reported(state: CoreState, task: TaskReport, now_ms: int) -> None:
    attempt = state.attempts.get(task.attempt_id)
    if attempt is None:
        return
    if task.outcome is TaskOutcome.RUNNING:
        # Most of what workers report is known already.
        if attempt.state is not AttemptState.RUNNING:
            _take_over_size(state, attempt, task, now_ms)
            step_attempt(state, attempt, AttemptEvent.CONFIRMED, now_ms, task)
        note_usage(state, attempt, task, now_ms)
        return
    event = _EVENT_OF_OUTCOME[task.outcome]
    step_attempt(state, attempt, event, now_ms, task)
