"""Expected time until a worker has room for a task."""

from operator import attrgetter
from typing import Final

from fuchsiarill.graphs.placement import PlacementRequest
from fuchsiarill.graphs.runs import NEVER_MS, Run
from fuchsiarill.graphs.worker_table import WorkerView

_by_expected_end: Final = attrgetter('expected_end_ms')


def expected_wait_ms(request: PlacementRequest, view: WorkerView) -> float:
    """Return the expected time until a task of the step fits on a worker.

    Returns `NEVER_MS` if the task fits only after a lasting run has ended, or
    not even when all runs have ended.
    """
    step = request.step
    charge = step.spec.charge
    free = view.free_for_step(step.key, step.rank_ms)
    if charge.fits_in(free):
        return 0
    wait_ms: float = 0
    for run in sorted(view.runs.values(), key=_by_expected_end):
        free += run.charge
        wait_ms = max(wait_ms, _run_remaining_ms(request, run))
        if charge.fits_in(free):
            return wait_ms
    return NEVER_MS


def _run_remaining_ms(request: PlacementRequest, run: Run) -> float:
    """Return the expected time until a run ends, `NEVER_MS` if lasting."""
    if run.expected_end_ms >= NEVER_MS:
        return NEVER_MS
    return max(run.expected_end_ms - request.now_ms, 0)
