"""What a worker reports, turned into events of attempts."""

from typing import Final

from fuchsiarill.core.learning import note_usage
from fuchsiarill.core.leases import renew_leases
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
    TaskOutcome.RUNNING: AttemptEvent.CONFIRMED,
    TaskOutcome.SUCCEEDED: AttemptEvent.SUCCEEDED,
    TaskOutcome.FAILED: AttemptEvent.FAILED,
    TaskOutcome.STOPPED: AttemptEvent.STOPPED,
    TaskOutcome.REFUSED: AttemptEvent.REFUSED,
}
# A start may have been sent after the exchange of a report began, so that
# only the second report without it shows that it is not there.
_MISSED_MAX_COUNT: Final = 2


def take_over_report(
    state: CoreState,
    worker: WorkerView,
    report: WorkerReport,
    now_ms: int,
    asked_at_ms: int,
) -> None:
    """Step the attempts of a worker by its report."""
    worker.reported_at_ms = now_ms
    step_worker(state, worker, WorkerEvent.REPORTED, now_ms)
    reported = {task.attempt_id for task in report.tasks}
    renew_leases(state, worker, reported, asked_at_ms)
    for task in report.tasks:
        _task_reported(state, task, now_ms)
    for attempt_id in worker.attempts - reported:
        _note_missing(state, state.attempts[attempt_id], asked_at_ms, now_ms)
    if worker.state is WorkerState.LEAVING:
        move_services(state, worker, now_ms)


def _task_reported(state: CoreState, task: TaskReport, now_ms: int) -> None:
    attempt = state.attempts.get(task.attempt_id)
    if attempt is None:
        return
    attempt.missed_count = 0
    event = _EVENT_OF_OUTCOME[task.outcome]
    step_attempt(state, attempt, event, now_ms, task)
    if task.outcome is TaskOutcome.RUNNING:
        note_usage(state, attempt, task, now_ms)


def _note_missing(
    state: CoreState,
    attempt: Attempt,
    asked_at_ms: int,
    now_ms: int,
) -> None:
    """Treat as lost what a worker no longer has, as after its restart."""
    if attempt.state is AttemptState.PLACED:
        return
    if attempt.placed_at_ms >= asked_at_ms:
        return
    attempt.missed_count += 1
    if attempt.missed_count >= _MISSED_MAX_COUNT:
        step_attempt(state, attempt, AttemptEvent.LEASE_LAPSED, now_ms)
