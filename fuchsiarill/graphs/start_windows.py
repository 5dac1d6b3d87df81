"""Until when a start order without an answer may still be executed.

The worker may execute such an order seconds later. The incarnation that has
answered a stop refuses it then, but may end before, and the next one knows
nothing of the stop. So one rule covers all unanswered starts: until the order
can't be executed any more, no report shows that its run is absent, and the
task starts nowhere else. A run that a worker has started, refused or listed has
no such order. A ticket bounds the time: a worker refuses one that has expired,
also one of an incarnation that has ended.
"""

from fuchsiarill import events, graph_events
from fuchsiarill.graphs import incarnations
from fuchsiarill.graphs.effects import RequestReport
from fuchsiarill.graphs.runs import Run
from fuchsiarill.graphs.settings import TaskLeaseSettings
from fuchsiarill.graphs.state import PoolState


def open_window(
    leases: TaskLeaseSettings,
    run: Run,
    ticket_expiry_ms: int | None,
    now_ms: int,
) -> None:
    """Open the window of a start order that is being sent.

    `ticket_expiry_ms` is `None` for an order without a ticket.
    """
    run.ticket_expiry_ms = ticket_expiry_ms
    _extend(leases, run, now_ms)


def start_timed_out(state: PoolState, run: Run, now_ms: int) -> None:
    """Note that a start order has got no answer."""
    if run.is_listed:
        return
    _extend(state.leases, run, now_ms)
    view = state.workers.find(run.worker)
    if view is not None:
        incarnations.expect_late_calls(state, view, now_ms)
    events.emit(
        graph_events.START_UNANSWERED,
        job=run.task.job,
        task=run.task.label,
        attempt=run.attempt,
        worker=run.worker,
        ordered_ms=now_ms - run.start_ordered_ms,
        executable_ms=run.executable_until_ms - now_ms,
        has_ticket=run.ticket_expiry_ms is not None,
    )


def close_window(run: Run) -> None:
    """Note that the worker has executed or refused a start order."""
    run.executable_until_ms = 0


def close_due_windows(state: PoolState, now_ms: int) -> None:
    """Close the windows that have ended, and request reports of their runs."""
    for view in state.workers:
        for run in view.runs.values():
            if 0 < run.executable_until_ms <= now_ms:
                _close_due_window(state, run, now_ms)


def _close_due_window(state: PoolState, run: Run, now_ms: int) -> None:
    close_window(run)
    if run.visible_since_ms is not None:
        run.visible_since_ms = max(run.visible_since_ms, now_ms)
        state.effects.append(RequestReport(run.worker))


def _extend(leases: TaskLeaseSettings, run: Run, now_ms: int) -> None:
    until_ms = now_ms + leases.late_call_ms
    if run.ticket_expiry_ms is not None:
        until_ms = min(until_ms, run.ticket_expiry_ms)
    run.executable_until_ms = max(run.executable_until_ms, until_ms)
