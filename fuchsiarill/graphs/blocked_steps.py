"""Logs why a step has waited long for workers.

The counts tell apart a step without allowed workers, one whose workers are
full, suspended or reserved, one that waits for the advice service, and one
that waits for the ceiling of its customer.
"""

from typing import Final

from fuchsiarill import events, graph_events
from fuchsiarill.graphs.job_entries import JobEntry, StepEntry
from fuchsiarill.graphs.state import PoolState
from fuchsiarill.graphs.states import AvailabilityState
from fuchsiarill.graphs.worker_suspension import may_receive_runs

# Two renewals and a call for advice fit into this time.
_BLOCKED_MIN_MS: Final = 3000
_REPORT_INTERVAL_MS: Final = 3000
# Lines per tick, so that overload does not flood the log.
_REPORTS_MAX_COUNT: Final = 3


def report_blocked(state: PoolState, now_ms: int) -> None:
    """Log the longest waiting steps, each once an interval."""
    blocked = [
        (step.wait.since_ms, step.key, entry, step)
        for entry in state.active_jobs.values()
        if entry.is_active
        for step in entry.waiting_steps()
        if step.wait.since_ms is not None
        and now_ms - step.wait.since_ms >= _BLOCKED_MIN_MS
        and now_ms >= step.wait.next_report_ms
    ]
    blocked.sort(key=lambda row: row[:2])
    for since_ms, _, entry, step in blocked[:_REPORTS_MAX_COUNT]:
        step.wait.next_report_ms = now_ms + _REPORT_INTERVAL_MS
        _report_step(state, entry, step, now_ms - since_ms, now_ms)


def _report_step(
    state: PoolState,
    entry: JobEntry,
    step: StepEntry,
    waited_ms: int,
    now_ms: int,
) -> None:
    charge = step.spec.charge
    listed = [view for view in state.workers if view.is_listed]
    ready = [
        view for view in listed if view.availability is AvailabilityState.READY
    ]
    denied = state.tickets.denied_workers(step.key)
    with_room = [view for view in ready if charge.fits_in(view.free)]
    unreserved = [
        view
        for view in with_room
        if charge.fits_in(view.free_for_step(step.key, step.rank_ms))
    ]
    events.emit(
        graph_events.STEP_BLOCKED,
        job=step.key.job,
        step=f'{step.key.occurrence}.{step.key.step}',
        queue=entry.graph.queue,
        waited_ms=waited_ms,
        listed=len(listed),
        ready=len(ready),
        suspended=sum(not may_receive_runs(view, now_ms) for view in ready),
        denied=len(denied),
        with_room=len(with_room),
        unreserved=len(unreserved),
        ticketed=len(
            state.tickets.ticketed_workers(step.key, ready, now_ms),
        ),
        ceiling_ms=0
        if step.wait.ceiling_since_ms is None
        else now_ms - step.wait.ceiling_since_ms,
        advice_pending_ms=state.tickets.pending_ms(step.key, now_ms),
        epoch=state.epoch,
    )
