"""Turns the reports of workers into events of attempts."""

from typing import Final

from fuchsiarill.core.adoption import adopt_tasks
from fuchsiarill.core.learning import record_usage
from fuchsiarill.core.leases import renew_leases
from fuchsiarill.core.resource_accounting import resize_attempt
from fuchsiarill.core.state import CoreState
from fuchsiarill.core.steps import step_attempt, step_worker
from fuchsiarill.core.worker_actions import move_services
from fuchsiarill.core.worker_view import WorkerView
from fuchsiarill.job import Attempt
from fuchsiarill.resources import higher_of
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
    """Adopt unknown tasks, renew leases, and apply outcomes and usage.

    The services of a leaving worker are moved to other workers.
    """
    worker.reported_at_ms = now_ms
    step_worker(state, worker, WorkerEvent.REPORTED, now_ms)
    adopt_tasks(state, worker, report, now_ms)
    reported_ids = {task.attempt_id for task in report.tasks}
    renew_leases(state, reported_ids, requested_at_ms)
    for task in report.tasks:
        _apply_task_report(state, task, now_ms)
    if worker.state is WorkerState.LEAVING:
        move_services(state, worker, now_ms)


def _adopt_reserved_size(
    state: CoreState,
    attempt: Attempt,
    task: TaskReport,
    now_ms: int,
) -> None:
    """Reserve at least what the owner that started the attempt reserved.

    The journal has the declared size only, which may be far too small.
    """
    if attempt.usage_reports_count or task.reserved.fits_in(attempt.reserved):
        return
    size = higher_of(task.reserved, attempt.reserved)
    resize_attempt(state, attempt, size, now_ms)


def _apply_task_report(state: CoreState, task: TaskReport, now_ms: int) -> None:
    attempt = state.attempts.get(task.attempt_id)
    if attempt is None:
        return
    if task.outcome is TaskOutcome.RUNNING:
        # Most reports concern attempts that are running already.
        if attempt.state is not AttemptState.RUNNING:
            _adopt_reserved_size(state, attempt, task, now_ms)
            step_attempt(state, attempt, AttemptEvent.CONFIRMED, now_ms, task)
        record_usage(state, attempt, task, now_ms)
        return
    event = _EVENT_OF_OUTCOME[task.outcome]
    step_attempt(state, attempt, event, now_ms, task)
