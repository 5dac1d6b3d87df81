"""Applies the reports of workers to the state of the pool."""

from typing import Final

from fuchsiarill import events, graph_events
from fuchsiarill.graphs import (
    crash_trials,
    failure_blame,
    run_samples,
    start_windows,
    worker_crashes,
    worker_suspension,
)
from fuchsiarill.graphs.job_entries import JobEntry, StepEntry, Unit, unit_of
from fuchsiarill.graphs.model import (
    NO_END,
    BornMs,
    EndRow,
    RunningRow,
    Step,
    WorkerReport,
)
from fuchsiarill.graphs.run_actions import (
    allocate_run,
    apply_run_event,
    order_stop,
    stop_attempt,
)
from fuchsiarill.graphs.run_ends import apply_run_end
from fuchsiarill.graphs.runs import INITIALIZED_PERCENT, Run
from fuchsiarill.graphs.state import PoolState
from fuchsiarill.graphs.states import (
    AvailabilityEvent,
    LossCause,
    RestartSource,
    RunEvent,
    RunState,
)
from fuchsiarill.graphs.worker_ends import loss_of
from fuchsiarill.graphs.worker_table import FailureRecord, WorkerView
from fuchsiarill.resources import NO_RESOURCES

_STOP_ORDERED_STATES: Final = frozenset((RunState.UNCERTAIN, RunState.STOPPING))
_UNKNOWN_STEP: Final = Step(1, NO_RESOURCES)


def apply_report(
    state: PoolState,
    view: WorkerView,
    report: WorkerReport,
    requested_ms: int,
    now_ms: int,
) -> None:
    """Update a worker and its runs from a report.

    `requested_ms` is the time at which the renewal that the report answers was
    sent. A report of another incarnation than the known one is of a later one,
    see `worker_contact`. One of the same incarnation that is older than the
    last applied report is ignored.
    """
    if report.born_ms != view.born_ms:
        _apply_restart(state, view, report.born_ms, now_ms)
    elif report.clock_ms < view.clock_ms:
        # Reports on different connections can overtake each other.
        return
    if not view.in_touch_since_ms:
        _bound_leases_of_incarnation(state, view, now_ms)
    view.clock_ms = report.clock_ms
    view.reported_ms = now_ms
    view.report_requested_ms = requested_ms
    view.in_touch_since_ms = view.in_touch_since_ms or now_ms
    view.silent_since_ms = None
    worker_crashes.settle_loss(state, view.worker, report.born_ms, now_ms)
    for row in report.running:
        _apply_running_row(state, view, row, now_ms)
    for end in report.ended:
        _apply_new_end(state, view, end, now_ms)
    _apply_completeness(state, view, report)
    _end_absent_runs(state, view, report, requested_ms, now_ms)


def _bound_leases_of_incarnation(
    state: PoolState, view: WorkerView, now_ms: int
) -> None:
    """Bound the leases on an incarnation that has just reported first.

    Calls for earlier incarnations may have extended them until then.
    """
    expiry_ms = now_ms + state.leases.longest_allowed_ms
    view.confirmed_expiry_ms = max(view.confirmed_expiry_ms, expiry_ms)
    # A later incarnation may still execute a start without an answer.
    view.extend_unconfirmed(expiry_ms)


def _apply_restart(
    state: PoolState, view: WorkerView, born_ms: BornMs, now_ms: int
) -> None:
    """Mark the runs of a worker's previous incarnation as lost.

    A run that the previous incarnation has not reported is stopped instead: it
    may run in the new one, because the start order can arrive after the
    restart.
    """
    _log_restart(view, born_ms, now_ms)
    loss = loss_of(view, now_ms)
    for run in list(view.runs.values()):
        if run.is_listed:
            mark_run_lost(state, view, run, LossCause.RESTARTED, now_ms)
        else:
            _stop_unconfirmed_run(state, run, now_ms)
    view.known_incarnations |= {view.born_ms, born_ms}
    view.born_ms = born_ms
    view.seen_end = NO_END
    view.durable_end = NO_END
    view.clock_ms = 0
    view.in_touch_since_ms = 0
    view.leaving_since_ms = None
    view.failure_record = FailureRecord()
    state.tickets.remove_worker(view.worker)
    state.room_changes.add(view.worker)
    worker_crashes.count_end(state, loss, now_ms)


def end_worker(state: PoolState, view: WorkerView, now_ms: int) -> None:
    """Mark all runs of a worker as lost: its process has ended."""
    loss = loss_of(view, now_ms)
    for run in list(view.runs.values()):
        mark_run_lost(state, view, run, LossCause.REPLACED, now_ms)
    view.set_expiry(now_ms)
    worker_crashes.count_end(state, loss, now_ms)


def mark_run_lost(
    state: PoolState,
    view: WorkerView,
    run: Run,
    cause: LossCause,
    now_ms: int,
) -> None:
    """Mark a run as lost: it has ended without a report."""
    silent_since_ms = view.silent_since_ms
    events.emit(
        graph_events.RUN_LOST,
        job=run.task.job,
        task=run.task.label,
        attempt=run.attempt,
        worker=view.worker,
        cause=cause.value,
        report_age_ms=now_ms - view.reported_ms,
        silence_ms=None
        if silent_since_ms is None
        else now_ms - silent_since_ms,
        lease_left_ms=view.expiry_of(run) - now_ms,
        born_ms=view.born_ms,
        is_listed=run.is_listed,
    )
    run_samples.record_loss(state, run, now_ms)
    end_unreported_run(state, run, RunEvent.WORKER_LOST, now_ms)


def _log_restart(view: WorkerView, born_ms: BornMs, now_ms: int) -> None:
    """Log a restart; the first incarnation that the owner sees is none."""
    if not view.born_ms:
        return
    source = RestartSource.REPORT
    if born_ms in view.known_incarnations:
        source = RestartSource.DIRECTORY
    listed_count = sum(run.is_listed for run in view.runs.values())
    events.emit(
        graph_events.WORKER_RESTARTED,
        worker=view.worker,
        born_ms=born_ms,
        previous_born_ms=view.born_ms,
        source=source.value,
        report_age_ms=now_ms - view.reported_ms,
        listed=listed_count,
        unlisted=len(view.runs) - listed_count,
    )


def _stop_unconfirmed_run(state: PoolState, run: Run, now_ms: int) -> None:
    """Stop a run that the worker may or may not have started."""
    run.visible_since_ms = None
    run.is_start_confirmed = False
    _stop_gang_members(state, run, now_ms)
    if run.state in _STOP_ORDERED_STATES:
        order_stop(state, run, now_ms)
    else:
        apply_run_event(state, run, RunEvent.STOP_ASKED, now_ms)


def end_unreported_run(
    state: PoolState,
    run: Run,
    event: RunEvent,
    now_ms: int,
) -> None:
    """End a refused, lost or absent run; stop the rest of its gang."""
    _stop_gang_members(state, run, now_ms)
    apply_run_event(state, run, event, now_ms)


def _stop_gang_members(state: PoolState, run: Run, now_ms: int) -> None:
    """Stop the other members of a run's gang."""
    unit = state.active_unit(run)
    if unit is not None:
        stop_attempt(state, unit, run.attempt, run, now_ms)


def _apply_running_row(
    state: PoolState,
    view: WorkerView,
    row: RunningRow,
    now_ms: int,
) -> None:
    run = view.runs.get((row.task, row.attempt))
    if run is None:
        run = _adopt_run(state, view, row, now_ms)
    if run.progress_percent != row.progress_percent:
        run.progress_percent = row.progress_percent
        run.progress_changed_ms = now_ms
    run.is_listed = True
    state.record_start(run.task.job)
    start_windows.close_window(run)
    run.listed_age_ms = now_ms - run.start_ordered_ms
    run.checkpoint = row.checkpoint
    run.usage = row.usage
    if run.visible_since_ms is None:
        run.visible_since_ms = now_ms
    apply_run_event(state, run, RunEvent.LISTED, now_ms)
    job_and_step = state.find_step(row.task)
    if job_and_step is None:
        return
    crash_trials.review_listed_run(state, job_and_step, view, run)
    step = job_and_step[1]
    failure_blame.review_listed_run(step, run)
    unit = step.active.get(run.unit_key)
    if unit is not None and row.checkpoint:
        unit.checkpoint = row.checkpoint
    if step.spec.is_lasting and row.progress_percent == INITIALIZED_PERCENT:
        worker_suspension.record_initialized(view, run)


def _adopt_run(
    state: PoolState,
    view: WorkerView,
    row: RunningRow,
    now_ms: int,
) -> Run:
    """Adopt a reported run that is unknown, such as one of a previous owner.

    The run is stopped if its job is not active, its unit has succeeded, or the
    unit has another run of the task or runs of another attempt.
    """
    entry = state.jobs.get(row.task.job)
    # The size of a run is unknown if its job has been removed.
    spec = entry.graph.steps[row.task.step] if entry else _UNKNOWN_STEP
    run = Run(
        row.task,
        row.attempt,
        unit_of(spec, row.task),
        view.worker,
        spec.charge,
        spec.filler_milli,
        entry.graph.customer if entry else None,
        is_inherited=entry is not None
        and entry.is_inherited_attempt(row.attempt),
        start_ordered_ms=now_ms,
        expected_end_ms=(
            state.expected_end_ms(entry, spec, now_ms, view)
            if entry
            else now_ms
        ),
        is_partial=True,
        progress_changed_ms=now_ms,
        visible_since_ms=now_ms,
    )
    allocate_run(state, run)
    job_and_step = state.find_step(row.task)
    if job_and_step is not None:
        # Its end subtracts it, whether the run is kept or stopped.
        job_and_step[1].runs_per_worker[view.worker] += 1
    step_and_unit = _unit_for_adoption(state, entry, run)
    events.emit(
        graph_events.RUN_FOUND,
        job=row.task.job,
        task=row.task.label,
        attempt=row.attempt,
        worker=view.worker,
        is_kept=step_and_unit is not None,
    )
    if step_and_unit is None:
        apply_run_event(state, run, RunEvent.STOP_ASKED, now_ms)
        return run
    step, unit = step_and_unit
    if run.task in unit.suspects:
        view.begin_trial(run)
    unit.runs[run.key] = run
    unit.last_attempt = max(unit.last_attempt, run.attempt)
    step.activate(unit)
    return run


def _unit_for_adoption(
    state: PoolState,
    entry: JobEntry | None,
    run: Run,
) -> tuple[StepEntry, Unit] | None:
    """Return the step and the unit of a run, or `None` to stop the run.

    Opens the occurrences of a schedule up to that of the run, since the owner
    that started the run has found them due.
    """
    if entry is None or not entry.is_active:
        return None
    occurrence = run.task.occurrence
    if entry.graph.schedule is not None:
        for due_occurrence in range(entry.opened_occurrences, occurrence + 1):
            entry.open_occurrence(due_occurrence)
    job_and_step = state.find_step(run.task)
    if job_and_step is None:
        return None
    unit = job_and_step[1].find_unit(run.unit_key)
    if unit is None:
        return None
    for other in unit.runs.values():
        if other.task == run.task or other.attempt != run.attempt:
            return None
    return job_and_step[1], unit


def _apply_new_end(
    state: PoolState,
    view: WorkerView,
    end: EndRow,
    now_ms: int,
) -> None:
    """Apply an end unless an earlier report contained it."""
    if end.sequence <= view.seen_end:
        return
    view.seen_end = end.sequence
    apply_run_end(state, view, end, now_ms)


def _apply_completeness(
    state: PoolState, view: WorkerView, report: WorkerReport
) -> None:
    """Take the worker as reconciled and ready if the report is complete.

    Until then an inherited task may have succeeded there without a sign.
    """
    if report.has_more_ends:
        state.workers.apply_event(view, AvailabilityEvent.REPORTED_IN_PART)
        return
    view.is_reconciled = True
    state.workers.apply_event(view, AvailabilityEvent.REPORTED)


def _end_absent_runs(
    state: PoolState,
    view: WorkerView,
    report: WorkerReport,
    requested_ms: int,
    now_ms: int,
) -> None:
    """End the runs that the report would list if they had not ended.

    A report that lacks some ends shows only that a run does not run any more.
    """
    reported_keys = {(row.task, row.attempt) for row in report.running}
    for run in list(view.runs.values()):
        if run.key in reported_keys or not _is_visible(run, requested_ms):
            continue
        if not report.has_more_ends:
            _log_absence(run, report, requested_ms)
            end_unreported_run(state, run, RunEvent.ABSENT, now_ms)
            continue
        if run.state is not RunState.END_UNSEEN:
            _log_absence(run, report, requested_ms)
        apply_run_event(state, run, RunEvent.NOT_RUNNING, now_ms)


def _log_absence(run: Run, report: WorkerReport, requested_ms: int) -> None:
    events.emit(
        graph_events.RUN_ABSENT,
        job=run.task.job,
        task=run.task.label,
        attempt=run.attempt,
        worker=run.worker,
        visible_since_ms=run.visible_since_ms,
        requested_ms=requested_ms,
        is_complete=not report.has_more_ends,
    )


def _is_visible(run: Run, requested_ms: int) -> bool:
    """Tell whether a report requested then lists the run while it runs."""
    if run.visible_since_ms is None or run.state is RunState.STARTING:
        return False
    if run.executable_until_ms:
        return False
    return run.visible_since_ms < requested_ms
