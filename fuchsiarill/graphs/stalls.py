"""Stops stalled runs, which make no progress on their worker."""

from typing import Final

from fuchsiarill import events, graph_events
from fuchsiarill.graphs import failure_blame
from fuchsiarill.graphs.job_entries import JobEntry, StepEntry, Unit
from fuchsiarill.graphs.run_actions import apply_run_event
from fuchsiarill.graphs.runs import INITIALIZED_PERCENT, NEVER_MS, Run
from fuchsiarill.graphs.state import PoolState
from fuchsiarill.graphs.states import RunEvent, RunState
from fuchsiarill.graphs.worker_table import WorkerView

# Reports arrive at least once a second; progress shows within two reports.
_STALL_MS: Final = 3500
# A unit that has stalled this often may be one that shows progress seldom, such
# as a task of over 350 s, whose percentage changes every 3.5 s. The time is
# doubled for each further stall, up to this number of times.
_STALLS_WITH_USUAL_TIME_COUNT: Final = 2
_DOUBLINGS_MAX_COUNT: Final = 4
# A run shows progress at each percent. Two such intervals of a run that takes
# longer than nearly all others show that it does not move.
_SLOW_SHARE: Final = 0.99
_SLOW_INTERVALS_COUNT: Final = 2


def stop_stalled(state: PoolState, now_ms: int) -> None:
    """Stop runs that a worker keeps reporting without progress.

    Each stop counts as a failure on the worker. Time without reports does not
    count, so runs on a silent worker are not stopped. Exempt are fillers,
    gangs, and runs that report full progress, as lasting tasks do once they are
    initialized.
    """
    for view in state.workers:
        for run in list(view.runs.values()):
            if _is_stalled(state, view, run):
                _stop_run(state, view, run, now_ms)


def _stop_run(
    state: PoolState, view: WorkerView, run: Run, now_ms: int
) -> None:
    events.emit(
        graph_events.RUN_STALLED,
        job=run.task.job,
        task=run.task.label,
        attempt=run.attempt,
        worker=view.worker,
        percent=run.progress_percent,
    )
    job_and_step = state.find_step(run.task)
    unit = state.active_unit(run)
    if job_and_step is not None and unit is not None:
        unit.stalls_count += 1
        ran_ms = now_ms - run.start_ordered_ms
        failure = failure_blame.RunFailure(
            job_and_step[1], unit, run.task, ran_ms
        )
        failure_blame.record_failure(state, view, failure, now_ms)
    apply_run_event(state, run, RunEvent.STOP_ASKED, now_ms)


def _is_stalled(state: PoolState, view: WorkerView, run: Run) -> bool:
    if run.state is not RunState.RUNNING or run.filler_milli:
        return False
    job_and_step = state.find_step(run.task)
    if job_and_step is None or job_and_step[1].spec.is_gang:
        return False
    if run.progress_percent >= INITIALIZED_PERCENT:
        return False
    unchanged_ms = view.reported_ms - run.progress_changed_ms
    unit = job_and_step[1].active.get(run.unit_key)
    if unchanged_ms <= _stall_ms(unit):
        return False
    return unchanged_ms > _slow_interval_ms(state, view, job_and_step)


def _stall_ms(unit: Unit | None) -> int:
    """Return for how long the progress of a unit may stay unchanged."""
    stalls_count = 0 if unit is None else unit.stalls_count
    doublings = max(0, stalls_count + 1 - _STALLS_WITH_USUAL_TIME_COUNT)
    return _STALL_MS << min(doublings, _DOUBLINGS_MAX_COUNT)


def _slow_interval_ms(
    state: PoolState,
    view: WorkerView,
    job_and_step: tuple[JobEntry, StepEntry],
) -> float:
    """Return the time in which a very slow run still shows progress.

    It is 0 while nothing has been learned about the queue, and bounded, so that
    a stalled run is found even if the learned times are far too long.
    """
    entry, step = job_and_step
    high_ms = state.quantile_ms(_SLOW_SHARE, entry, step.spec, view)
    if high_ms >= NEVER_MS:
        return 0
    return min(
        _SLOW_INTERVALS_COUNT * high_ms / INITIALIZED_PERCENT,
        _STALL_MS << _DOUBLINGS_MAX_COUNT,
    )
