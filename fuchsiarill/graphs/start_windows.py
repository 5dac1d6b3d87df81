"""Until when a start order without an answer may still be executed.

The worker may execute such an order seconds later. The incarnation that has
answered a stop refuses it then, but may end before, and the next one knows
nothing of the stop. So one rule covers all unanswered starts: until the order
can't be executed any more, no report shows that its run is absent, and the
task starts nowhere else. If the worker stops reporting, the leases that the
order may grant have to end too. A run that a worker has started, refused or
listed has no such order. A ticket bounds the time: a worker refuses one that
has expired, also one of an incarnation that has ended. The rule holds for the
next owner of the pool too, which finds the unanswered starts in the progress
of the jobs.
"""

import math

from fuchsiarill import events, graph_events
from fuchsiarill.graphs import incarnations
from fuchsiarill.graphs.effects import RequestReport
from fuchsiarill.graphs.job_entries import JobEntry, Unit
from fuchsiarill.graphs.progress import UnitKey
from fuchsiarill.graphs.runs import Run
from fuchsiarill.graphs.settings import TaskLeaseSettings
from fuchsiarill.graphs.state import PoolState
from fuchsiarill.graphs.worker_table import WorkerView
from fuchsiarill.ids import WorkerId


def open_window(
    leases: TaskLeaseSettings,
    run: Run,
    ticket_expiry_ms: int | None,
    now_ms: int,
) -> None:
    """Open the window of a start order that is being sent.

    `ticket_expiry_ms` is `None` for an order without a ticket.
    """
    run.is_start_pending = True
    run.ticket_expiry_ms = ticket_expiry_ms
    _extend(leases, run, now_ms)


def start_timed_out(state: PoolState, run: Run, now_ms: int) -> None:
    """Note that a start order has got no answer."""
    if run.is_listed:
        return
    _extend(state.leases, run, now_ms)
    view = state.workers.find(run.worker)
    if view is not None:
        _bound_leases(state, view, run, now_ms)
    _record(state, run)
    events.emit(
        graph_events.START_UNANSWERED,
        job=run.task.job,
        task=run.task.label,
        attempt=run.attempt,
        worker=run.worker,
        ordered_ms=now_ms - run.start_ordered_ms,
        executable_ms=run.executable_until_ms - now_ms,
        has_ticket=run.ticket_expiry_ms is not None,
        held_ms=_held_ms(view, run, now_ms),
        bound=_bound_name(view, run),
    )


def close_window(run: Run) -> None:
    """Note that the worker has executed or refused a start order."""
    run.executable_until_ms = 0


def close_due_windows(state: PoolState, now_ms: int) -> None:
    """Close the windows that have ended, and request reports of their runs."""
    for view in state.workers:
        for run in view.runs.values():
            if 0 < run.executable_until_ms <= now_ms:
                _close_due_window(state, view, run, now_ms)


def is_inherited_open(
    state: PoolState, entry: JobEntry, unit: Unit, now_ms: int
) -> bool:
    """Tell whether a start order of the previous owner may still act.

    It may be executed until the end of its window, and its run may last on a
    worker that has not reported since.
    """
    workers = entry.progress.unanswered_starts.get(unit.key)
    if workers is None:
        return False
    window_end_ms = _inherited_window_end_ms(state, entry, unit.key)
    if now_ms <= window_end_ms:
        return True
    if now_ms > _inherited_expiry_ms(state, entry, unit.key):
        return False
    return not all(
        _has_reported_since(state, worker, window_end_ms) for worker in workers
    )


def log_inherited(state: PoolState, entry: JobEntry, now_ms: int) -> None:
    """Log the units of a job whose starts the previous owner left open."""
    for unit_key, workers in entry.progress.unanswered_starts.items():
        events.emit(
            graph_events.INHERITED_START_UNANSWERED,
            job=entry.job,
            unit=unit_key.label,
            workers=','.join(sorted(workers)),
            held_ms=_inherited_expiry_ms(state, entry, unit_key) - now_ms,
        )


def has_open_starts(state: PoolState) -> bool:
    """Tell whether a start order has got neither an answer nor a time-out."""
    return any(
        run.is_start_pending
        for view in state.workers
        for run in view.runs.values()
    )


def forget_starts(state: PoolState, entry: JobEntry, unit: Unit) -> None:
    """Remove the record of start orders that can't be executed any more."""
    if entry.progress.forget_unanswered(unit.key):
        state.mark_dirty(entry.job)


def _inherited_window_end_ms(
    state: PoolState, entry: JobEntry, unit: UnitKey
) -> int:
    """Return until when a start order of the previous owner may be executed.

    Without a recorded time the present policy tells whether it had a ticket.
    """
    leases = state.leases
    window_ms = entry.progress.unanswered_ms.get(unit)
    if window_ms is None:
        window_ms = leases.late_call_ms
        if entry.policy.advice is not None:
            validity_ms = entry.policy.advice.validity_ms
            ticket_ms = validity_ms + _clock_slack_ms(leases)
            window_ms = min(window_ms, ticket_ms)
    return state.previous_owner_stop_ms + window_ms


def _inherited_expiry_ms(
    state: PoolState, entry: JobEntry, unit: UnitKey
) -> int:
    """Return until when a run that such an order has started may last.

    A recorded time is that of a ticket, which may be of an incarnation that the
    previous owner did not know. Late calls extend the leases of one that is
    listed.
    """
    progress = entry.progress
    window_end_ms = state.previous_owner_stop_ms + state.leases.late_call_ms
    is_restart_excluded = not state.is_directory_lost and not any(
        _lists_later_incarnation(state, worker)
        for worker in progress.unanswered_starts[unit]
    )
    if unit in progress.unanswered_ms and is_restart_excluded:
        window_end_ms = _inherited_window_end_ms(state, entry, unit)
    return window_end_ms + state.leases.longest_allowed_ms


def _lists_later_incarnation(state: PoolState, worker: WorkerId) -> bool:
    """Tell whether the directory lists one that the previous owner missed."""
    view = state.workers.find(worker)
    if view is None or view.entry is None or not view.recorded_born_ms:
        return False
    return view.entry.born_ms != view.recorded_born_ms


def _has_reported_since(
    state: PoolState, worker: WorkerId, since_ms: int
) -> bool:
    """Tell whether the present incarnation was asked for a report since then.

    One that reported before may have ended, and the next one executed a start.
    """
    view = state.workers.find(worker)
    if view is None or not view.in_touch_since_ms:
        return False
    return view.report_requested_ms > since_ms


def _record(state: PoolState, run: Run) -> None:
    """Record an unanswered start for the next owner of the pool.

    Its time counts from the order, not from the time-out: this owner may send
    other starts to the worker, whose late execution extends the lease too.
    """
    job_and_step = state.find_step(run.task)
    if job_and_step is None:
        return
    entry = job_and_step[0]
    executable_ms = run.executable_until_ms - run.start_ordered_ms
    if run.is_restart_suspected:
        executable_ms = state.leases.late_call_ms
    entry.progress.add_unanswered(run.unit_key, run.worker, executable_ms)
    state.mark_dirty(entry.job)


def _close_due_window(
    state: PoolState, view: WorkerView, run: Run, now_ms: int
) -> None:
    close_window(run)
    events.emit(
        graph_events.START_EXPIRED,
        job=run.task.job,
        task=run.task.label,
        attempt=run.attempt,
        worker=run.worker,
        held_ms=_held_ms(view, run, now_ms),
        bound=_bound_name(view, run),
        report_age_ms=now_ms - view.reported_ms,
    )
    if run.visible_since_ms is not None:
        run.visible_since_ms = max(run.visible_since_ms, now_ms)
        state.effects.append(RequestReport(run.worker))


def _bound_leases(
    state: PoolState, view: WorkerView, run: Run, now_ms: int
) -> None:
    """Bound the leases that a start order without an answer may grant."""
    if run.ticket_expiry_ms is None:
        incarnations.expect_late_calls(state, view, now_ms)
        return
    leases = state.leases
    # The clock of the incarnation that executes the order is not known, so the
    # worker may grant the longest lease.
    view.extend_ticketed(run.executable_until_ms + leases.longest_allowed_ms)
    run.late_calls_expiry_ms = (
        now_ms + leases.late_call_ms + leases.longest_allowed_ms
    )
    if state.is_directory_lost:
        incarnations.suspect_without_directory(state, view, run)


def _held_ms(view: WorkerView | None, run: Run, now_ms: int) -> int:
    """Return for how long a run counts as present if nothing is reported."""
    if view is None:
        return 0
    return max(run.executable_until_ms, view.expiry_of(run)) - now_ms


def _bound_name(view: WorkerView | None, run: Run) -> str | None:
    return None if view is None else view.lease_bound(run).value


def _extend(leases: TaskLeaseSettings, run: Run, now_ms: int) -> None:
    until_ms = now_ms + leases.late_call_ms
    if run.ticket_expiry_ms is not None:
        expiry_ms = run.ticket_expiry_ms + _clock_slack_ms(leases)
        until_ms = min(until_ms, expiry_ms)
    run.executable_until_ms = max(run.executable_until_ms, until_ms)


def _clock_slack_ms(leases: TaskLeaseSettings) -> int:
    """Return by how much a slow clock of a worker may prolong a ticket."""
    return math.ceil(leases.late_call_ms * leases.clock_slowness)
