"""Suspension of workers that fail what they start."""

from typing import Final

from fuchsiarill import events
from fuchsiarill.graphs.model import TaskKey
from fuchsiarill.graphs.worker_book import WorkerView

# Two tasks that fail one after the other are rare on a sound worker, where at
# most a tenth of the runs fail by their own fault.
_FAILURES_MAX_COUNT: Final = 2
_SUSPENSION_MS: Final = 2000
_SUSPENSION_MAX_MS: Final = 8000


def note_success(view: WorkerView) -> None:
    """Trust the worker again."""
    view.trust.failures_in_row.clear()
    view.trust.suspensions_count = 0


def note_failure(view: WorkerView, task: TaskKey, now_ms: int) -> None:
    """Suspend the worker when several tasks fail one after the other."""
    view.trust.failures_in_row.add(task)
    if len(view.trust.failures_in_row) < _FAILURES_MAX_COUNT:
        return
    duration_ms = min(
        _SUSPENSION_MS * 2**view.trust.suspensions_count,
        _SUSPENSION_MAX_MS,
    )
    view.trust.suspensions_count += 1
    view.trust.suspended_until_ms = now_ms + duration_ms
    events.emit(
        events.WORKER_SUSPENDED,
        worker=view.worker,
        failures=len(view.trust.failures_in_row),
        duration_ms=duration_ms,
    )


def is_trusted(view: WorkerView, now_ms: int) -> bool:
    """Tell whether the worker may be given work.

    After a suspension it is given one task at a time until one succeeds. Tasks
    from before do not count: one that lasts would shut the worker out.
    """
    trust = view.trust
    if now_ms < trust.suspended_until_ms:
        return False
    if trust.suspensions_count == 0:
        return True
    return all(
        run.ordered_ms < trust.suspended_until_ms for run in view.runs.values()
    )
