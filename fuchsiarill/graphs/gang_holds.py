"""Keeps workers for a gang that waits for others to become free.

Without this, tasks that need one worker take each worker that becomes free,
and a gang that needs several at once starves.
"""

from operator import itemgetter
from typing import Final

from fuchsiarill.graphs.placement import Request
from fuchsiarill.graphs.runs import Run
from fuchsiarill.graphs.state import PoolState
from fuchsiarill.graphs.worker_book import Reservation, WorkerView

# Renewed at each decision about the gang, which ticks bring about.
_HOLD_MS: Final = 250
_NEVER_MS: Final = 10**9


def hold_for_gang(
    state: PoolState,
    request: Request,
    candidates: list[WorkerView],
) -> None:
    """Keep room on the workers that are free for the gang first."""
    step = request.step
    for former in state.workers:
        former.drop_reservations(step.key)
    waits = sorted(
        (_wait_ms(state, request, candidate), position)
        for position, candidate in enumerate(candidates)
    )
    if len(waits) < step.step.tasks_count:
        return
    for wait_ms, position in waits[: step.step.tasks_count]:
        if wait_ms >= _NEVER_MS:
            return
        candidates[position].reservations.append(
            Reservation(
                step.key,
                step.rank_ms,
                step.step.charge,
                request.now_ms + _HOLD_MS,
            ),
        )


def _wait_ms(state: PoolState, request: Request, view: WorkerView) -> float:
    """Return the expected time until a task of the gang fits."""
    step = request.step
    free = view.free_for(step.key, step.rank_ms)
    ends = [
        (_left_ms(state, request, run), run.charge)
        for run in view.runs.values()
    ]
    wait_ms = 0.0
    for left_ms, charge in sorted(ends, key=itemgetter(0)):
        if step.step.charge.fits_in(free):
            break
        free += charge
        wait_ms = left_ms
    return wait_ms if step.step.charge.fits_in(free) else _NEVER_MS


def _left_ms(state: PoolState, request: Request, run: Run) -> float:
    """Return the expected time until a run ends."""
    found = state.find_step(run.task)
    if found is None:
        return 0
    entry, step = found
    if step.step.is_lasting:
        return _NEVER_MS
    expected_ms = state.run_times.expected_ms(entry.graph.queue, step.step)
    return max(expected_ms - (request.now_ms - run.ordered_ms), 0)
