"""Periodic actions: registered functions that run at each tick."""

from collections.abc import Callable
from typing import Final

from fuchsiarill import events, graph_events
from fuchsiarill.graphs import (
    advice_prefetch,
    crash_trials,
    draining,
    pacing,
    reports,
    start_windows,
    stalls,
    worker_crashes,
)
from fuchsiarill.graphs.blocked_steps import report_blocked
from fuchsiarill.graphs.ceiling_limits import count_late_starts
from fuchsiarill.graphs.ceiling_reports import report_waits
from fuchsiarill.graphs.inherited_advice import request_inherited_advice
from fuchsiarill.graphs.job_entries import JobEntry
from fuchsiarill.graphs.run_actions import order_stop
from fuchsiarill.graphs.runs import Run
from fuchsiarill.graphs.state import PoolState
from fuchsiarill.graphs.states import AvailabilityEvent, LossCause
from fuchsiarill.graphs.worker_table import WorkerView
from fuchsiarill.graphs.waiting_survey import survey_waiting
from fuchsiarill.registry import Registry

_TickAction = Callable[[PoolState, int], None]

# Run in the order of their names, hence the numbers.
TICK_ACTIONS: Final[Registry[str, _TickAction]] = Registry('ticks')

# A stop order that the worker has not confirmed is repeated after this time.
_STOP_REPEAT_INTERVAL_MS: Final = 400

TICK_ACTIONS.register('3 close start windows')(start_windows.close_due_windows)
TICK_ACTIONS.register('4 drain workers')(draining.drain_workers)
TICK_ACTIONS.register('5 pace fillers')(pacing.pace_fillers)
TICK_ACTIONS.register('6 stop stalled runs')(stalls.stop_stalled)
TICK_ACTIONS.register('8 count late starts')(count_late_starts)
TICK_ACTIONS.register('8 report trials')(crash_trials.request_trial_reports)
TICK_ACTIONS.register('7 survey waiting steps')(survey_waiting)
TICK_ACTIONS.register('9 prefetch advice')(advice_prefetch.prefetch_advice)
TICK_ACTIONS.register('9 request inherited advice')(request_inherited_advice)
TICK_ACTIONS.register('9 report blocked steps')(report_blocked)
TICK_ACTIONS.register('9 report waits for ceilings')(report_waits)


@TICK_ACTIONS.register('1 expire leases')
def _expire_leases(state: PoolState, now_ms: int) -> None:
    """Mark runs as lost when their task leases have expired.

    A worker without leases counts as reconciled; it is gone if it is not listed
    either.
    """
    for view in state.workers:
        _expire_runs(state, view, now_ms)
        if now_ms <= view.lease_expiry_ms:
            continue
        view.is_reconciled = True
        if not view.is_listed:
            state.workers.apply_event(view, AvailabilityEvent.LAPSED)


def _expire_runs(state: PoolState, view: WorkerView, now_ms: int) -> None:
    expired = [
        run for run in view.runs.values() if now_ms > view.expiry_of(run)
    ]
    if not expired:
        return
    worker_crashes.remember_loss(state, view, expired, now_ms)
    for run in expired:
        reports.mark_run_lost(state, view, run, LossCause.LEASE_EXPIRED, now_ms)


@TICK_ACTIONS.register('2 open occurrences')
def _open_due_occurrences(state: PoolState, now_ms: int) -> None:
    """Open the due occurrences of scheduled jobs."""
    unix_ms = now_ms + state.unix_offset_ms
    for entry in state.jobs.values():
        if entry.is_active:
            _open_occurrences(entry, unix_ms)


def _open_occurrences(entry: JobEntry, unix_ms: int) -> None:
    schedule = entry.graph.schedule
    if schedule is None:
        return
    while entry.opened_occurrences < schedule.occurrences_count:
        occurrence = entry.opened_occurrences
        if unix_ms < schedule.start_at_ms + occurrence * schedule.period_ms:
            return
        entry.open_occurrence(occurrence)


@TICK_ACTIONS.register('3 repeat stops')
def _repeat_stops(state: PoolState, now_ms: int) -> None:
    """Repeat stop orders that were not confirmed."""
    for view in state.workers:
        for run in list(view.runs.values()):
            if _is_stop_overdue(run, now_ms):
                order_stop(state, run, now_ms)


def _is_stop_overdue(run: Run, now_ms: int) -> bool:
    if run.stop_ordered_ms is None or run.is_stop_answered:
        return False
    return now_ms - run.stop_ordered_ms >= _STOP_REPEAT_INTERVAL_MS


@TICK_ACTIONS.register('7 settle inheritance')
def _settle_inheritance(state: PoolState, now_ms: int) -> None:
    """Allow inherited jobs to start once all recorded workers are reconciled.

    Before that, a run that the previous owner started may be unknown to this
    owner, which would start its task again.
    """
    if state.is_inheritance_settled:
        return
    for view in state.workers:
        if view.is_recorded and not view.is_reconciled:
            return
    state.is_inheritance_settled = True
    events.emit(
        graph_events.INHERITANCE_SETTLED,
        pool=state.pool,
        epoch=state.epoch,
    )


@TICK_ACTIONS.register('8 drop reservations')
def _drop_expired_reservations(state: PoolState, now_ms: int) -> None:
    for view in state.workers:
        if view.reservations:
            view.reservations = [
                reservation
                for reservation in view.reservations
                if reservation.expiry_ms > now_ms
            ]
