"""Suspension of workers that fail what they start."""

from typing import Final

from fuchsiarill import events
from fuchsiarill.graphs.model import TaskKey
from fuchsiarill.graphs.runs import Run
from fuchsiarill.graphs.worker_table import WorkerView

# Two tasks that fail one after the other are rare on a sound worker, where at
# most a tenth of the runs fail by their own fault.
_FAILURES_MAX_COUNT: Final = 2
_SUSPENSION_MS: Final = 2000
_SUSPENSION_MAX_MS: Final = 8000
# A worker that fails what it starts does so within this time. Where only one
# worker may run a task, the task waits this long at most for others there.
_PROOF_MS: Final = 2000


def record_success(view: WorkerView) -> None:
    """Trust the worker again."""
    view.failure_record.failures_in_row.clear()
    view.failure_record.suspensions_count = 0


def record_at_work(view: WorkerView, run: Run) -> None:
    """Trust the worker again when a task that lasts has begun its work.

    Such a task never succeeds. One from before a suspension proves nothing.
    """
    if run.ordered_ms >= view.failure_record.suspended_until_ms:
        view.failure_record.suspensions_count = 0


def record_failure(view: WorkerView, task: TaskKey, now_ms: int) -> None:
    """Suspend the worker when several tasks fail one after the other."""
    view.failure_record.failures_in_row.add(task)
    if len(view.failure_record.failures_in_row) < _FAILURES_MAX_COUNT:
        return
    duration_ms = min(
        _SUSPENSION_MS * 2**view.failure_record.suspensions_count,
        _SUSPENSION_MAX_MS,
    )
    view.failure_record.suspensions_count += 1
    view.failure_record.suspended_until_ms = now_ms + duration_ms
    events.emit(
        events.WORKER_SUSPENDED,
        worker=view.worker,
        failures=len(view.failure_record.failures_in_row),
        duration_ms=duration_ms,
    )


def may_receive_runs(view: WorkerView, now_ms: int) -> bool:
    """Tell whether the worker may be given work.

    After a suspension it is given one task at a time until one succeeds. Tasks
    that have run for a while do not count: one that lasts, or takes long,
    would shut the worker out.
    """
    failure_record = view.failure_record
    if now_ms < failure_record.suspended_until_ms:
        return False
    if failure_record.suspensions_count == 0:
        return True
    return all(
        now_ms - run.ordered_ms >= _PROOF_MS for run in view.runs.values()
    )
