"""Trials of suspects: tasks under which a worker has crashed.

A run of a suspect is on trial: its worker gets no new run until the trial has
passed or the run has ended. If the worker crashes in the trial, the suspect is
the only run that can be the cause. The other members of a gang are on trial
only if they are suspects themselves.
"""

from collections import Counter
from collections.abc import Iterator
from typing import Final

from fuchsiarill import events, graph_events
from fuchsiarill.graphs.effects import RequestReport
from fuchsiarill.graphs.job_entries import JobEntry, StepEntry, Unit
from fuchsiarill.graphs.model import TaskKey
from fuchsiarill.graphs.runs import INITIALIZED_PERCENT, Run
from fuchsiarill.graphs.state import PoolState
from fuchsiarill.graphs.states import RunState
from fuchsiarill.graphs.worker_table import WorkerView

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
# Any run that has been listed for this long does not crash its worker either.
# Shorter runs prove nothing: the same work may take several times as long on
# another worker, and the members of a gang wait for each other.
_LONG_PROOF_MS: Final = 60_000
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
    """Tell whether suspects may start beside runs that have just started.

    The wait begins with the first call and ends with the start of the unit.
    """
    if unit.trial_wait_since_ms is None:
        unit.trial_wait_since_ms = now_ms
    return now_ms - unit.trial_wait_since_ms >= _QUIET_WAIT_MS


def must_wait(unit: Unit, now_ms: int) -> bool:
    """Tell whether a unit has suspects that may not start beside such runs."""
    return unit.is_suspect and not has_waited_for_quiet(unit, now_ms)


def is_waiting_for_quiet(unit: Unit, now_ms: int) -> bool:
    """Tell whether a unit has begun to wait and has not waited long enough."""
    since_ms = unit.trial_wait_since_ms
    return since_ms is not None and now_ms - since_ms < _QUIET_WAIT_MS


def assign_workers(
    unit: Unit, tasks: list[TaskKey], workers: list[WorkerView], now_ms: int
) -> Iterator[tuple[TaskKey, WorkerView]]:
    """Pair the tasks of a unit with the workers chosen for it.

    Suspects get workers where nothing has just started, with the fewest other
    runs, so that a crash hits few and has few possible causes.
    """
    if not unit.suspects:
        return zip(tasks, workers, strict=True)
    members = Counter(view.worker for view in workers)
    return zip(
        sorted(tasks, key=lambda task: task not in unit.suspects),
        sorted(
            workers,
            key=lambda view: (
                not is_quiet(view, now_ms),
                members[view.worker] + len(view.runs),
            ),
        ),
        strict=True,
    )


def suspect_task(
    state: PoolState, entry: JobEntry, unit: Unit, task: TaskKey
) -> None:
    """Make a task a suspect and put its present runs on trial."""
    if task not in unit.suspects:
        unit.suspects.add(task)
        events.emit(
            graph_events.TASK_SUSPECTED,
            job=entry.job,
            task=task.label,
            crashes=entry.progress.crashes_under(unit.key, task.position),
        )
    for run in _runs_of(unit, task):
        view = state.workers.find(run.worker)
        if view is not None and run.state in _STARTED_STATES:
            view.begin_trial(run)


def clear_task(unit: Unit, task: TaskKey) -> None:
    """End the suspicion of a task; one that is no suspect is ignored."""
    if task not in unit.suspects:
        return
    unit.suspects.remove(task)
    unit.unconfirmed_losses = {
        lost for lost in unit.unconfirmed_losses if lost[0] != task
    }
    events.emit(graph_events.TASK_CLEARED, job=task.job, task=task.label)


def clear_unit(unit: Unit) -> None:
    """End the suspicion of all tasks of a unit."""
    for task in sorted(unit.suspects):
        clear_task(unit, task)


def end_trials(state: PoolState, unit: Unit, task: TaskKey) -> None:
    """End the trials of a task that has caused no crash."""
    for run in _runs_of(unit, task):
        view = state.workers.find(run.worker)
        if view is not None and run.is_on_trial:
            view.end_trial(run)
            state.room_changes.add(run.worker)
    clear_task(unit, task)


def review_listed_run(
    state: PoolState,
    job_and_step: tuple[JobEntry, StepEntry],
    view: WorkerView,
    run: Run,
) -> None:
    """End the trial of a run that a report lists, if it has passed.

    The task is cleared once all its runs have passed.
    """
    entry, step = job_and_step
    progress = entry.progress
    unit = step.active.get(run.unit_key)
    if unit is None:
        return
    if unit.key not in progress.crashed_attempts and not unit.suspects:
        return
    if run.attempt in progress.crashed_attempts.get(unit.key, ()):
        # Another member of the gang was lost in a crash.
        return
    position = run.task.position
    crashes_count = progress.crashes_under(unit.key, position)
    if crashes_count and _is_proved_sound(step, run):
        progress.clear_crashes(unit.key, position)
        state.mark_dirty(entry.job)
        crashes_count = 0
    if is_young(run) or crashes_count >= WHOLE_RUN_CRASHES_COUNT:
        return
    view.end_trial(run)
    if not any(is_young(other) for other in _runs_of(unit, run.task)):
        clear_task(unit, run.task)


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


def _runs_of(unit: Unit, task: TaskKey) -> list[Run]:
    return [run for run in unit.runs.values() if run.task == task]


def _is_proved_sound(step: StepEntry, run: Run) -> bool:
    if not step.spec.is_lasting:
        return run.listed_age_ms >= _LONG_PROOF_MS
    return (
        run.progress_percent == INITIALIZED_PERCENT
        and run.listed_age_ms >= _LASTING_PROOF_MS
    )


def _is_report_due(run: Run, now_ms: int) -> bool:
    if not run.is_on_trial or run.is_trial_report_requested:
        return False
    return is_young(run) and now_ms - run.start_ordered_ms >= TRIAL_MS
