"""Taking the reports of workers into account."""

from typing import Final

from fuchsiarill import events
from fuchsiarill.graphs import worker_suspension
from fuchsiarill.graphs.job_entries import JobEntry, StepEntry, Unit, unit_of
from fuchsiarill.graphs.model import (
    NO_END,
    EndRow,
    RunningRow,
    Step,
    WorkerReport,
)
from fuchsiarill.graphs.run_actions import (
    hold_run,
    order_stop,
    step_run,
    stop_others,
)
from fuchsiarill.graphs.run_ends import apply_run_end
from fuchsiarill.graphs.runs import AT_WORK_PERCENT, Run
from fuchsiarill.graphs.state import PoolState
from fuchsiarill.graphs.states import AvailabilityEvent, RunEvent, RunState
from fuchsiarill.graphs.worker_table import FailureRecord, WorkerView
from fuchsiarill.resources import NOTHING

_BEING_STOPPED: Final = frozenset((RunState.UNCERTAIN, RunState.STOPPING))
_UNKNOWN_STEP: Final = Step(1, NOTHING)


def apply_report(
    state: PoolState,
    view: WorkerView,
    report: WorkerReport,
    requested_ms: int,
    now_ms: int,
) -> None:
    """Bring the view of a worker up to date.

    `requested_ms` is when the renewal left that the report answers.
    """
    if report.born_ms > view.born_ms:
        apply_restart(state, view, now_ms)
        view.born_ms = report.born_ms
    elif report.born_ms < view.born_ms or report.clock_ms < view.clock_ms:
        # Answers on different connections overtake each other.
        return
    view.clock_ms = report.clock_ms
    view.is_accounted = True
    view.reported_ms = now_ms
    state.workers.step(view, AvailabilityEvent.REPORTED)
    for row in report.running:
        _take_running(state, view, row, now_ms)
    for end in report.ended:
        _take_unseen_end(state, view, end, now_ms)
    _find_absent(state, view, report, requested_ms, now_ms)


def apply_restart(state: PoolState, view: WorkerView, now_ms: int) -> None:
    """Take everything of a worker's life before as ended.

    A run that the former life has not listed may be one of the new life: the
    order to start it can arrive after the restart.
    """
    for run in list(view.runs.values()):
        if run.is_listed:
            _lose(state, view, run, now_ms)
        else:
            _rule_out(state, run, now_ms)
    view.seen_end = NO_END
    view.durable_end = NO_END
    view.clock_ms = 0
    view.failure_record = FailureRecord()
    state.tickets.forget_worker(view.worker)
    state.free_version += 1


def lose_runs(state: PoolState, view: WorkerView, now_ms: int) -> None:
    """Take everything on a worker as ended without a report."""
    for run in list(view.runs.values()):
        _lose(state, view, run, now_ms)


def _lose(state: PoolState, view: WorkerView, run: Run, now_ms: int) -> None:
    events.emit(
        events.RUN_LOST,
        job=run.task.job,
        task=run.task.label,
        attempt=run.attempt,
        worker=view.worker,
    )
    drop_run(state, run, RunEvent.WORKER_LOST, now_ms)


def _rule_out(state: PoolState, run: Run, now_ms: int) -> None:
    """Stop a run of which it is not known whether the worker has it."""
    run.listed_from_ms = None
    _stop_gang(state, run, now_ms)
    if run.state in _BEING_STOPPED:
        order_stop(state, run, now_ms)
    else:
        step_run(state, run, RunEvent.STOP_ASKED, now_ms)


def drop_run(
    state: PoolState,
    run: Run,
    event: RunEvent,
    now_ms: int,
) -> None:
    """End a run without a reported end, and stop the rest of its gang."""
    _stop_gang(state, run, now_ms)
    step_run(state, run, event, now_ms)


def _stop_gang(state: PoolState, run: Run, now_ms: int) -> None:
    """Stop the other members of a run's gang."""
    unit = state.active_unit(run)
    if unit is not None:
        stop_others(state, unit, run.attempt, run, now_ms)


def _take_running(
    state: PoolState,
    view: WorkerView,
    row: RunningRow,
    now_ms: int,
) -> None:
    run = view.runs.get((row.task, row.attempt))
    if run is None:
        run = _adopt(state, view, row, now_ms)
    if run.progress_percent != row.progress_percent:
        run.progress_percent = row.progress_percent
        run.progress_changed_ms = now_ms
    run.is_listed = True
    run.checkpoint = row.checkpoint
    run.usage = row.usage
    if run.listed_from_ms is None:
        run.listed_from_ms = now_ms
    step_run(state, run, RunEvent.LISTED, now_ms)
    found = state.find_step(row.task)
    if found is None:
        return
    step = found[1]
    unit = step.active.get(run.unit)
    if unit is not None and row.checkpoint:
        unit.checkpoint = row.checkpoint
    if step.step.is_lasting and row.progress_percent == AT_WORK_PERCENT:
        worker_suspension.record_at_work(view, run)


def _adopt(
    state: PoolState,
    view: WorkerView,
    row: RunningRow,
    now_ms: int,
) -> Run:
    """Take over a run of the owner before, or stop one that is not needed."""
    entry = state.jobs.get(row.task.job)
    # Nothing is known of the size of a job that has been forgotten.
    spec = entry.graph.steps[row.task.step] if entry else _UNKNOWN_STEP
    run = Run(
        row.task,
        row.attempt,
        unit_of(spec, row.task),
        view.worker,
        spec.charge,
        spec.filler_milli,
        ordered_ms=now_ms,
        progress_changed_ms=now_ms,
        listed_from_ms=now_ms,
    )
    hold_run(state, run)
    wanted = _wanted_unit(state, entry, run)
    events.emit(
        events.RUN_FOUND,
        job=row.task.job,
        task=row.task.label,
        attempt=row.attempt,
        worker=view.worker,
        is_kept=wanted is not None,
    )
    if wanted is None:
        step_run(state, run, RunEvent.STOP_ASKED, now_ms)
        return run
    step, unit = wanted
    unit.runs[run.key] = run
    unit.last_attempt = max(unit.last_attempt, run.attempt)
    step.activate(unit)
    step.runs_per_worker[view.worker] += 1
    return run


def _wanted_unit(
    state: PoolState,
    entry: JobEntry | None,
    run: Run,
) -> tuple[StepEntry, Unit] | None:
    if entry is None or not entry.is_active:
        return None
    occurrence = run.task.occurrence
    if entry.graph.schedule is not None:
        for due in range(entry.opened_occurrences, occurrence + 1):
            entry.open_occurrence(due)
    found = state.find_step(run.task)
    if found is None:
        return None
    unit = found[1].find_unit(run.unit)
    if unit is None:
        return None
    for other in unit.runs.values():
        if other.task == run.task or other.attempt != run.attempt:
            return None
    return found[1], unit


def _take_unseen_end(
    state: PoolState,
    view: WorkerView,
    end: EndRow,
    now_ms: int,
) -> None:
    if end.sequence <= view.seen_end:
        return
    view.seen_end = end.sequence
    apply_run_end(state, view, end, now_ms)


def _find_absent(
    state: PoolState,
    view: WorkerView,
    report: WorkerReport,
    requested_ms: int,
    now_ms: int,
) -> None:
    listed = {(row.task, row.attempt) for row in report.running}
    for run in list(view.runs.values()):
        if run.key in listed or run.listed_from_ms is None:
            continue
        if run.listed_from_ms >= requested_ms or run.state is RunState.STARTING:
            continue
        drop_run(state, run, RunEvent.ABSENT, now_ms)
