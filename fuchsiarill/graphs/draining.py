"""Moves runs away from workers that are listed as leaving."""

from typing import Final

from fuchsiarill.graphs.job_entries import JobEntry, StepEntry
from fuchsiarill.graphs.placement import has_capacity
from fuchsiarill.graphs.run_actions import apply_run_event
from fuchsiarill.graphs.runs import Run
from fuchsiarill.graphs.state import PoolState
from fuchsiarill.graphs.states import AvailabilityState, RunEvent, RunState
from fuchsiarill.graphs.worker_table import WorkerView
from fuchsiarill.resources import NO_RESOURCES

# A leaving worker without a stated notice runs tasks for at least this long
# after it has been listed as leaving.
_DEFAULT_NOTICE_MS: Final = 2000
# Time to stop a run, get its end reported and restore it on another worker.
_MOVE_MS: Final = 700


def drain_workers(state: PoolState, now_ms: int) -> None:
    """Stop runs that are not expected to end before their leaving worker.

    Runs of lasting tasks are stopped at once. Others are stopped as late as
    possible, and only if they save checkpoints. A run without room on another
    worker is left running.
    """
    for view in state.workers:
        if view.availability is not AvailabilityState.LEAVING:
            if not view.lists_other_incarnation:
                view.leaving_since_ms = None
            continue
        if view.leaving_since_ms is None:
            view.leaving_since_ms = now_ms
        _drain_worker(state, view, now_ms)


def _drain_worker(state: PoolState, view: WorkerView, now_ms: int) -> None:
    for run in list(view.runs.values()):
        job_and_step = state.find_step(run.task)
        if job_and_step is None or run.state is not RunState.RUNNING:
            continue
        if _must_move(state, view, run, job_and_step, now_ms):
            apply_run_event(state, run, RunEvent.STOP_ASKED, now_ms)


def _must_move(
    state: PoolState,
    view: WorkerView,
    run: Run,
    job_and_step: tuple[JobEntry, StepEntry],
    now_ms: int,
) -> bool:
    entry, step = job_and_step
    if not step.spec.is_lasting:
        if not step.spec.is_checkpointing:
            return False
        remaining_ms = _worker_remaining_ms(view, now_ms)
        end_ms = state.expected_end_ms(
            entry, step.spec, run.start_ordered_ms, view
        )
        if end_ms - now_ms <= remaining_ms:
            return False
        if remaining_ms >= _MOVE_MS:
            return False
    return _has_room_elsewhere(state, view, step)


def _worker_remaining_ms(view: WorkerView, now_ms: int) -> int:
    """Return the minimum time until the worker ends."""
    notice_ms = _DEFAULT_NOTICE_MS
    if view.entry is not None and view.entry.notice_left_ms is not None:
        notice_ms = view.entry.notice_left_ms
    return notice_ms - (now_ms - (view.leaving_since_ms or now_ms))


def _has_room_elsewhere(
    state: PoolState,
    view: WorkerView,
    step: StepEntry,
) -> bool:
    return any(
        has_capacity(step, other, NO_RESOURCES)
        for other in state.workers
        if other is not view
        and other.is_listed
        and other.availability is AvailabilityState.READY
    )
