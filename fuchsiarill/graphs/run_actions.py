"""Transitions of the run chart and the actions that it names."""

from collections.abc import Callable
from typing import Final

from fuchsiarill.graphs import start_windows
from fuchsiarill.graphs.effects import StopRun
from fuchsiarill.graphs.job_entries import Unit
from fuchsiarill.graphs.runs import Run
from fuchsiarill.graphs.state import PoolState
from fuchsiarill.graphs.states import RunEvent, RunState
from fuchsiarill.graphs.worker_table import WorkerView
from fuchsiarill.registry import Registry
from fuchsiarill.state_chart import load_chart

_Action = Callable[[PoolState, Run, int], None]

RUN_ACTIONS: Final[Registry[str, _Action]] = Registry('run actions')


@RUN_ACTIONS.register('order_stop')
def order_stop(state: PoolState, run: Run, now_ms: int) -> None:
    """Order the worker to end the run and to refuse later starts of it."""
    run.stop_ordered_ms = now_ms
    run.expected_end_ms = now_ms
    run.is_stop_answered = False
    state.effects.append(StopRun(run.worker, run.task, run.attempt))


@RUN_ACTIONS.register('release')
def release(state: PoolState, run: Run, now_ms: int) -> None:
    """Release the run's capacity; requeue an active unit without other runs."""
    view = state.workers.find(run.worker)
    job_and_step = state.find_step(run.task)
    if view is not None and run.key in view.runs:
        view.release(run, is_serving=_is_serving(state, run))
        state.customers.release(run)
    state.room_changes.add(run.worker)
    if job_and_step is None:
        return
    entry, step = job_and_step
    step.runs_per_worker[run.worker] -= 1
    unit = step.active.get(run.unit_key)
    if unit is None:
        return
    unit.runs.pop(run.key, None)
    if not unit.runs:
        # The end of an adopted run tells nothing of starts by its owner that
        # other workers got.
        if run.attempt > entry.attempt_floor:
            start_windows.forget_starts(state, entry, unit)
        step.requeue(unit)


_CHART: Final = load_chart('run', RunState, RunEvent, RUN_ACTIONS)


def apply_run_event(
    state: PoolState, run: Run, event: RunEvent, now_ms: int
) -> None:
    """Apply an event to a run and run the actions of the transition.

    An event without a transition in the current state is ignored.
    """
    transition = _CHART.step(run.state, event)
    if transition is None:
        return
    run.state = transition.target
    for action in transition.actions:
        RUN_ACTIONS.lookup(action)(state, run, now_ms)


def stop_attempt(
    state: PoolState,
    unit: Unit,
    attempt: int,
    excluded_run: Run | None,
    now_ms: int,
) -> None:
    """Stop the runs of one attempt of a unit except `excluded_run`."""
    for other in list(unit.runs.values()):
        if other is not excluded_run and other.attempt == attempt:
            apply_run_event(state, other, RunEvent.STOP_ASKED, now_ms)


def allocate_run(state: PoolState, run: Run) -> None:
    """Allocate the capacity of a new run on its worker."""
    view = state.workers.find(run.worker)
    if view is not None:
        view.allocate(run, is_serving=_is_serving(state, run))
        state.customers.allocate(run)


def extend_leases(state: PoolState, view: WorkerView, now_ms: int) -> None:
    """Extend all task leases of a worker: a renewal or start is sent to it."""
    view.confirmed_expiry_ms = max(
        view.confirmed_expiry_ms, now_ms + state.leases.longest_ms
    )
    view.extend_unconfirmed(now_ms + state.leases.longest_allowed_ms)


def _is_serving(state: PoolState, run: Run) -> bool:
    entry = state.jobs.get(run.task.job)
    if entry is None:
        return False
    step = entry.graph.steps[run.task.step]
    return step.target_tail_ms is not None
