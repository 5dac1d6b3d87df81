"""Transitions of the job phase chart and the actions that it names."""

from collections.abc import Callable
from typing import Final

from fuchsiarill import events, graph_events
from fuchsiarill.graphs.job_entries import JobEntry
from fuchsiarill.graphs.run_actions import apply_run_event
from fuchsiarill.graphs.state import PoolState
from fuchsiarill.graphs.states import JobPhase, JobPhaseEvent, RunEvent
from fuchsiarill.registry import Registry
from fuchsiarill.state_chart import load_chart

_Action = Callable[[PoolState, JobEntry, int], None]

JOB_ACTIONS: Final[Registry[str, _Action]] = Registry('job phase actions')


@JOB_ACTIONS.register('stop_runs')
def stop_runs(state: PoolState, entry: JobEntry, now_ms: int) -> None:
    """Stop all runs of the job."""
    for run in list(entry.runs()):
        apply_run_event(state, run, RunEvent.STOP_ASKED, now_ms)


@JOB_ACTIONS.register('settle')
def settle(state: PoolState, entry: JobEntry, now_ms: int) -> None:
    """Record the time of the final phase; mark the phase to be made durable."""
    entry.settled_ms = now_ms
    state.mark_dirty(entry.job)
    events.emit(
        graph_events.GRAPH_SETTLED,
        job=entry.job,
        queue=entry.graph.queue,
        phase=entry.progress.phase.value,
        age_ms=now_ms - entry.accepted_ms,
        objective_ms=entry.objective_ms,
    )


_CHART: Final = load_chart('job_phase', JobPhase, JobPhaseEvent, JOB_ACTIONS)


def apply_job_event(
    state: PoolState,
    entry: JobEntry,
    event: JobPhaseEvent,
    now_ms: int,
) -> None:
    """Apply an event to a job and run the actions of the transition.

    An event without a transition in the current phase is ignored.
    """
    transition = _CHART.step(entry.progress.phase, event)
    if transition is None:
        return
    entry.progress.phase = transition.target
    for action in transition.actions:
        JOB_ACTIONS.lookup(action)(state, entry, now_ms)
