"""Keeps workers for a gang that waits for others to become free.

Without this, tasks that need one worker take each worker that becomes free,
and a gang that needs several at once starves.
"""

from typing import Final

from fuchsiarill.graphs.placement import Request
from fuchsiarill.graphs.state import PoolState
from fuchsiarill.graphs.worker_table import WorkerView
from fuchsiarill.graphs.worker_waits import NEVER_MS, wait_ms

# Renewed at each decision about the gang, which ticks bring about.
_HOLD_MS: Final = 250
# A gang that has not started by then lets others have the workers for a
# while: what it waits for may never end. Most runs are over by then.
_HOLDING_MAX_MS: Final = 6000
_PAUSE_MS: Final = 2000


def hold_for_gang(
    state: PoolState,
    request: Request,
    candidates: list[WorkerView],
) -> None:
    """Keep room on the workers that are free for the gang first."""
    step = request.step
    for former in state.workers:
        former.drop_reservations(step.key)
    if step.held_since_ms is None:
        step.held_since_ms = request.now_ms
    if _is_pausing(request.now_ms - step.held_since_ms):
        return
    waits = sorted(
        (wait_ms(state, request, candidate), position)
        for position, candidate in enumerate(candidates)
    )
    if len(waits) < step.step.tasks_count:
        return
    for candidate_ms, position in waits[: step.step.tasks_count]:
        if candidate_ms >= NEVER_MS:
            return
        candidates[position].reserve(step, request.now_ms + _HOLD_MS)


def _is_pausing(waited_ms: int) -> bool:
    return waited_ms % (_HOLDING_MAX_MS + _PAUSE_MS) >= _HOLDING_MAX_MS
