"""Expected time until a worker has room for a task."""

from operator import itemgetter
from typing import Final

from fuchsiarill.graphs.placement import PlacementRequest
from fuchsiarill.graphs.runs import Run
from fuchsiarill.graphs.state import PoolState
from fuchsiarill.graphs.worker_table import WorkerView

NEVER_MS: Final = 1_000_000_000


def expected_wait_ms(
    state: PoolState, request: PlacementRequest, view: WorkerView
) -> float:
    """Return the expected time until a task of the step fits on a worker.

    Returns `NEVER_MS` if the task fits only after a lasting run has ended, or
    not even when all runs have ended.
    """
    step = request.step
    free = view.free_for_step(step.key, step.rank_ms)
    ends = [
        (_run_remaining_ms(state, request, run), run.charge)
        for run in view.runs.values()
    ]
    wait_ms = 0.0
    for remaining_ms, charge in sorted(ends, key=itemgetter(0)):
        if step.spec.charge.fits_in(free):
            break
        free += charge
        wait_ms = remaining_ms
    return wait_ms if step.spec.charge.fits_in(free) else NEVER_MS


def _run_remaining_ms(
    state: PoolState, request: PlacementRequest, run: Run
) -> float:
    """Return the expected time until a run ends, `NEVER_MS` if lasting.

    It is 0 for a run whose job is unknown or whose step has succeeded.
    """
    job_and_step = state.find_step(run.task)
    if job_and_step is None:
        return 0
    entry, step = job_and_step
    if step.spec.is_lasting:
        return NEVER_MS
    expected_ms = state.run_times.expected_ms(entry.graph.queue, step.spec)
    return max(expected_ms - (request.now_ms - run.start_ordered_ms), 0)
