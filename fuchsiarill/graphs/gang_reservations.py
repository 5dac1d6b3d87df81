"""Reserves workers for a gang, or a starving task, until they are free.

Without reservations, tasks that need one worker take each worker that becomes
free, and a gang that needs several at once starves. So does a large task among
small ones.
"""

from typing import Final

from fuchsiarill.graphs.failure_blame import may_receive_unit
from fuchsiarill.graphs.job_entries import StepEntry
from fuchsiarill.graphs.placement import PlacementRequest
from fuchsiarill.graphs.state import PoolState
from fuchsiarill.graphs.worker_table import WorkerView
from fuchsiarill.graphs.runs import NEVER_MS
from fuchsiarill.graphs.worker_waits import expected_wait_ms

# Longer than the interval of the ticks, each of which causes a decision that
# renews the reservations.
_RESERVATION_MS: Final = 250
# A waiting step is considered again after 500 ms at the latest.
_TASK_RESERVATION_MS: Final = 600
# A gang that has not started within this time releases the workers during a
# pause, because a run that it waits for may never end. Most runs take less
# time.
_RESERVING_MAX_MS: Final = 6000
_RESERVATION_PAUSE_MS: Final = 2000


def reserve_ahead(
    state: PoolState,
    request: PlacementRequest,
    candidates: list[WorkerView],
) -> None:
    """Reserve room for a gang, or for one task of a starving kind of work."""
    step = request.step
    if step.spec.is_gang:
        _reserve_for_gang(state, request, candidates)
    elif step.wait.floor_since_ms is not None:
        _reserve_for_task(state, request, candidates)


def _reserve_for_task(
    state: PoolState,
    request: PlacementRequest,
    candidates: list[WorkerView],
) -> None:
    step = request.step
    _drop_reservations(state, step)
    waits = [
        (expected_wait_ms(request, candidate), position)
        for position, candidate in enumerate(candidates)
        if _may_get_task(request, candidate)
    ]
    wait_ms, first = min(waits, default=(NEVER_MS, 0))
    if wait_ms < NEVER_MS:
        expiry_ms = request.now_ms + _TASK_RESERVATION_MS
        candidates[first].reserve(step, expiry_ms)


def _may_get_task(request: PlacementRequest, view: WorkerView) -> bool:
    """Tell whether room on a worker would be of use for the task."""
    step = request.step
    per_worker_max = step.spec.per_worker_max
    if per_worker_max is not None:
        if step.runs_per_worker[view.worker] >= per_worker_max:
            return False
    return may_receive_unit(view, step, request.unit, request.now_ms)


def _reserve_for_gang(
    state: PoolState,
    request: PlacementRequest,
    candidates: list[WorkerView],
) -> None:
    """Reserve room on the workers with the shortest expected wait.

    Replaces all earlier reservations of the step. Reserves nothing during a
    pause, or with fewer candidates than tasks. Workers that are never expected
    to have room are left out.
    """
    step = request.step
    _drop_reservations(state, step)
    if step.reserving_since_ms is None:
        step.reserving_since_ms = request.now_ms
    if _is_pausing(request.now_ms - step.reserving_since_ms):
        return
    waits = sorted(
        (expected_wait_ms(request, candidate), position)
        for position, candidate in enumerate(candidates)
    )
    if len(waits) < step.spec.tasks_count:
        return
    chosen = waits[: step.spec.tasks_count]
    start_ms = _usable_until_ms(request, chosen[-1][0])
    for wait_ms, position in chosen:
        if wait_ms >= NEVER_MS:
            return
        candidates[position].reserve(
            step, request.now_ms + _RESERVATION_MS, start_ms
        )


def _usable_until_ms(request: PlacementRequest, wait_ms: float) -> float:
    """Return until when tasks of other steps may use the reserved room.

    They may only while the first reservations last, so that a gang is delayed
    by one such task at most if run times are longer than expected.
    """
    since_ms = request.step.reserving_since_ms or request.now_ms
    if request.now_ms - since_ms >= _RESERVING_MAX_MS:
        return 0
    return 0 if wait_ms >= NEVER_MS else request.now_ms + wait_ms


def _drop_reservations(state: PoolState, step: StepEntry) -> None:
    for view in state.workers:
        view.drop_reservations(step.key)


def _is_pausing(waited_ms: int) -> bool:
    return (
        waited_ms % (_RESERVING_MAX_MS + _RESERVATION_PAUSE_MS)
        >= _RESERVING_MAX_MS
    )
