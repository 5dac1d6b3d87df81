"""Suspension of workers on which tasks fail repeatedly."""

from typing import Final

from fuchsiarill import events, graph_events
from fuchsiarill.graphs.model import TaskKey
from fuchsiarill.graphs.runs import Run
from fuchsiarill.graphs.states import AvailabilityState
from fuchsiarill.graphs.worker_table import WorkerView

# Two consecutive failures of different tasks are rare on a healthy worker,
# where at most a tenth of the runs fail through their own fault.
_FAILURES_TO_SUSPEND_COUNT: Final = 2
_FIRST_SUSPENSION_MS: Final = 2000
_SUSPENSION_MAX_MS: Final = 8000
# A faulty worker fails its tasks within this time, so a worker on probation may
# get another run when all its runs are this old. A task that only one worker
# may run waits at most this long for an earlier run on that worker.
_PROBATION_RUN_AGE_MS: Final = 2000


def record_success(view: WorkerView) -> None:
    """Reset the failures and end the probation after a success."""
    view.failure_record.consecutive_failures.clear()
    view.failure_record.suspensions_count = 0


def record_initialized(view: WorkerView, run: Run) -> None:
    """End the probation when a lasting task has been initialized.

    A lasting task never succeeds, so its initialization ends the probation
    instead. A task that was started before the end of the suspension proves
    nothing.
    """
    if run.start_ordered_ms >= view.failure_record.suspended_until_ms:
        view.failure_record.suspensions_count = 0


def record_failure(view: WorkerView, task: TaskKey, now_ms: int) -> None:
    """Suspend the worker after consecutive failures of different tasks.

    Every further failure without a success, and any failure on probation,
    suspends it again. Each suspension lasts twice as long as the one before, up
    to a maximum, unless the probation has ended in between.
    """
    record = view.failure_record
    record.consecutive_failures.add(task)
    is_suspect = len(record.consecutive_failures) >= _FAILURES_TO_SUSPEND_COUNT
    if not is_suspect and not is_on_probation(view):
        return
    duration_ms = min(
        _FIRST_SUSPENSION_MS * 2**record.suspensions_count,
        _SUSPENSION_MAX_MS,
    )
    record.suspensions_count += 1
    record.suspended_until_ms = now_ms + duration_ms
    events.emit(
        graph_events.WORKER_SUSPENDED,
        worker=view.worker,
        failures=len(record.consecutive_failures),
        duration_ms=duration_ms,
    )


def is_on_probation(view: WorkerView) -> bool:
    """Tell whether the worker is suspended, or has proved nothing since."""
    return view.failure_record.suspensions_count > 0


def withdraw_failures(
    view: WorkerView, tasks: set[TaskKey], now_ms: int
) -> bool:
    """Take failures off a worker that are the fault of the tasks.

    Returns whether that ends a suspension, because the failures that are left
    do not justify it. The worker stays on probation: nothing has shown yet that
    it is sound, and several faulty workers can fail the same tasks.
    """
    record = view.failure_record
    record.consecutive_failures -= tasks
    if len(record.consecutive_failures) >= _FAILURES_TO_SUSPEND_COUNT:
        return False
    if now_ms >= record.suspended_until_ms:
        return False
    record.suspensions_count = 1
    record.suspended_until_ms = now_ms
    events.emit(graph_events.SUSPENSION_ENDED, worker=view.worker)
    return True


def may_receive_runs(view: WorkerView, now_ms: int) -> bool:
    """Tell whether the worker may get a run.

    It gets none while it is suspended or has a run on trial.

    After a suspension it is on probation: it gets one task at a time until a
    task succeeds or a lasting task has been initialized. Runs that are at least
    `_PROBATION_RUN_AGE_MS` old do not count, since a lasting or long task would
    exclude the worker from all other tasks.
    """
    record = view.failure_record
    if view.trials_count:
        return False
    if now_ms < record.suspended_until_ms:
        return False
    if not is_on_probation(view):
        return True
    return all(
        now_ms - run.start_ordered_ms >= _PROBATION_RUN_AGE_MS
        for run in view.runs.values()
    )


def can_receive_runs(view: WorkerView, now_ms: int) -> bool:
    """Tell whether the worker is ready and not suspended."""
    return view.availability is AvailabilityState.READY and may_receive_runs(
        view, now_ms
    )
