"""Trials of suspects: units under which a worker has crashed.

A run of a suspect is on trial: its worker gets no new run until the trial has
passed or the run has ended. If the worker crashes in the trial, the suspect is
the only run that can be the cause.
"""

from typing import Final

from fuchsiarill import events, graph_events
from fuchsiarill.graphs.effects import RequestReport
from fuchsiarill.graphs.job_entries import JobEntry, StepEntry, Unit
from fuchsiarill.graphs.runs import INITIALIZED_PERCENT, Run
from fuchsiarill.graphs.state import PoolState
from fuchsiarill.graphs.states import RunState
from fuchsiarill.graphs.worker_table import WorkerView
from fuchsiarill.ids import JobId

# Tasks that crash their workers do so 10 to 50 ms after the start; the rest
# covers the delays of the start order and of the report. A longer trial makes
# suspects of many more neighbours and keeps more workers from other tasks.
TRIAL_MS: Final = 400
# From this number of crashes on, a trial lasts for the whole run, because the
# task may crash its worker late.
WHOLE_RUN_CRASHES_COUNT: Final = 3
# A lasting task that has been initialized, and has run for this long, does not
# crash its worker. Over a season unrelated crashes end many of its runs.
_LASTING_PROOF_MS: Final = 3000
# A suspect starts where no other run has started for this time, so that a crash
# has a single possible cause. It waits at most `_QUIET_WAIT_MS` for that.
QUIET_MS: Final = 150
_QUIET_WAIT_MS: Final = 1000
_STARTED_STATES: Final = frozenset((RunState.STARTING, RunState.RUNNING))


def is_young(run: Run) -> bool:
    """Tell whether no report shows that the run has outlived a trial."""
    return run.listed_age_ms < TRIAL_MS


def is_quiet(view: WorkerView, now_ms: int) -> bool:
    """Tell whether no run has just started on a worker."""
    return all(
        now_ms - run.start_ordered_ms >= QUIET_MS for run in view.runs.values()
    )


def has_waited_for_quiet(unit: Unit, now_ms: int) -> bool:
    """Tell whether a suspect may start beside runs that have just started.

    The wait begins with the first call and ends with the start of the unit.
    """
    if unit.trial_wait_since_ms is None:
        unit.trial_wait_since_ms = now_ms
    return now_ms - unit.trial_wait_since_ms >= _QUIET_WAIT_MS


def must_wait(unit: Unit, now_ms: int) -> bool:
    """Tell whether a unit is a suspect that may not start beside such runs."""
    return unit.is_suspect and not has_waited_for_quiet(unit, now_ms)


def is_waiting_for_quiet(unit: Unit, now_ms: int) -> bool:
    """Tell whether a unit has begun to wait and has not waited long enough."""
    since_ms = unit.trial_wait_since_ms
    return since_ms is not None and now_ms - since_ms < _QUIET_WAIT_MS


def suspect_unit(state: PoolState, entry: JobEntry, unit: Unit) -> None:
    """Make a unit a suspect and put its present runs on trial."""
    if not unit.is_suspect:
        unit.is_suspect = True
        events.emit(
            graph_events.UNIT_SUSPECTED,
            job=entry.job,
            task=unit.key.label,
            crashes=entry.progress.crashes_count(unit.key),
        )
    for run in unit.runs.values():
        view = state.workers.find(run.worker)
        if view is not None and run.state in _STARTED_STATES:
            view.begin_trial(run)


def clear_unit(job: JobId, unit: Unit) -> None:
    """End the suspicion of a unit; one that is no suspect is ignored."""
    if not unit.is_suspect:
        return
    unit.is_suspect = False
    unit.unconfirmed_losses.clear()
    events.emit(graph_events.UNIT_CLEARED, job=job, task=unit.key.label)


def end_trials(state: PoolState, entry: JobEntry, unit: Unit) -> None:
    """End the trials of a unit that has caused no crash."""
    for run in unit.runs.values():
        view = state.workers.find(run.worker)
        if view is not None and run.is_on_trial:
            view.end_trial(run)
            state.room_changes.add(run.worker)
    clear_unit(entry.job, unit)


def review_listed_run(
    state: PoolState,
    job_and_step: tuple[JobEntry, StepEntry],
    view: WorkerView,
    run: Run,
) -> None:
    """End the trial of a run that a report lists, if it has passed.

    The unit is cleared once all its runs have passed.
    """
    entry, step = job_and_step
    unit = step.active.get(run.unit_key)
    crashes_count = entry.progress.crashes_count(run.unit_key)
    if unit is None or not (crashes_count or unit.is_suspect):
        return
    if run.attempt in entry.progress.crashed_attempts.get(unit.key, ()):
        # Another member of the gang was lost in a crash.
        return
    if step.spec.is_lasting and _is_proved_sound(run):
        entry.progress.crashed_attempts.pop(run.unit_key, None)
        state.mark_dirty(entry.job)
        crashes_count = 0
    if is_young(run) or crashes_count >= WHOLE_RUN_CRASHES_COUNT:
        return
    view.end_trial(run)
    if not any(is_young(other) for other in unit.runs.values()):
        clear_unit(entry.job, unit)


def request_trial_reports(state: PoolState, now_ms: int) -> None:
    """Request a report of each run whose trial is over, once a run.

    A worker that waits for a run to end reports up to a second later, and gets
    no new run meanwhile.
    """
    for view in state.workers:
        if not view.trials_count:
            continue
        for run in view.runs.values():
            if _is_report_due(run, now_ms):
                run.is_trial_report_requested = True
                state.effects.append(RequestReport(view.worker))


def _is_proved_sound(run: Run) -> bool:
    return (
        run.progress_percent == INITIALIZED_PERCENT
        and run.listed_age_ms >= _LASTING_PROOF_MS
    )


def _is_report_due(run: Run, now_ms: int) -> bool:
    if not run.is_on_trial or run.is_trial_report_requested:
        return False
    return is_young(run) and now_ms - run.start_ordered_ms >= TRIAL_MS
