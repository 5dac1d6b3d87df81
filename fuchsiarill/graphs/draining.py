"""Moves work away from workers that leave."""

from typing import Final

from fuchsiarill.graphs.job_book import JobEntry, StepEntry
from fuchsiarill.graphs.placement import has_room
from fuchsiarill.graphs.run_actions import step_run
from fuchsiarill.graphs.runs import Run
from fuchsiarill.graphs.state import PoolState
from fuchsiarill.graphs.states import RunEvent, RunState, StandingState
from fuchsiarill.graphs.worker_book import WorkerView
from fuchsiarill.resources import NOTHING

# A leaving worker serves at least this long after its notice.
_DRAIN_LEFT_MS: Final = 2000
# A stopped run is listed, started elsewhere and restored meanwhile.
_MOVE_MS: Final = 700


def leave_workers(state: PoolState, now_ms: int) -> None:
    """Stop runs on leaving workers that would not end there in time."""
    for view in state.workers:
        if view.standing is not StandingState.LEAVING:
            view.leaving_since_ms = None
            continue
        if view.leaving_since_ms is None:
            view.leaving_since_ms = now_ms
        for run in list(view.runs.values()):
            found = state.find_step(run.task)
            if found is None or run.state is not RunState.RUNNING:
                continue
            if _has_to_move(state, view, run, found, now_ms):
                step_run(state, run, RunEvent.STOP_ASKED, now_ms)


def _has_to_move(
    state: PoolState,
    view: WorkerView,
    run: Run,
    found: tuple[JobEntry, StepEntry],
    now_ms: int,
) -> bool:
    entry, step = found
    if step.step.is_lasting:
        return _has_room_elsewhere(state, view, step)
    if not step.step.is_checkpointing:
        return False
    left_ms = _DRAIN_LEFT_MS
    if view.entry is not None and view.entry.drain_left_ms is not None:
        left_ms = view.entry.drain_left_ms
    since_ms = now_ms - (view.leaving_since_ms or now_ms)
    expected_ms = state.run_times.expected_ms(entry.graph.queue, step.step)
    remaining_ms = expected_ms - (now_ms - run.ordered_ms)
    if remaining_ms <= left_ms - since_ms:
        return False
    return left_ms - since_ms < _MOVE_MS and _has_room_elsewhere(
        state,
        view,
        step,
    )


def _has_room_elsewhere(
    state: PoolState,
    view: WorkerView,
    step: StepEntry,
) -> bool:
    for other in state.workers:
        if other is view or other.standing is not StandingState.READY:
            continue
        if other.is_listed and has_room(step, other, NOTHING):
            return True
    return False
