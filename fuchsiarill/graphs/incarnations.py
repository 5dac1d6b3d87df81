"""Incarnations of workers that are not fenced yet.

Until such an incarnation has answered a renewal with a token of its own, it may
execute calls that were sent before. See `worker_contact.py`.
"""

from fuchsiarill import events, graph_events
from fuchsiarill.graphs.effects import FenceIncarnation
from fuchsiarill.graphs.fencing import BORN_UNKNOWN_MS
from fuchsiarill.graphs.runs import Run
from fuchsiarill.graphs.state import PoolState
from fuchsiarill.graphs.states import AvailabilityEvent
from fuchsiarill.graphs.worker_table import WorkerView


def apply_listed(state: PoolState, view: WorkerView, now_ms: int) -> None:
    """Apply a directory entry that is not of the present incarnation.

    The entry may be of a later incarnation or of one that has ended, so the
    worker is called under a new token, once for each listed incarnation. The
    answer tells which incarnation runs, and whether runs are lost.
    """
    if view.entry is None or view.entry.born_ms == BORN_UNKNOWN_MS:
        return
    if view.born_ms == BORN_UNKNOWN_MS:
        _expect_inherited_calls(state, view)
        return
    born_ms = view.entry.born_ms
    if born_ms in view.known_incarnations:
        return
    view.known_incarnations.add(born_ms)
    events.emit(
        graph_events.INCARNATION_LISTED,
        worker=view.worker,
        born_ms=born_ms,
        present_born_ms=view.born_ms,
    )
    suspect_restart(state, view, now_ms)
    state.effects.append(FenceIncarnation(view.worker, born_ms))
    state.workers.apply_event(view, AvailabilityEvent.WENT_SILENT)


def suspect_restart(state: PoolState, view: WorkerView, now_ms: int) -> None:
    """Expect late calls, sent until now, on an incarnation that is not fenced.

    The tickets of starts without an answer may be of that incarnation.
    """
    expect_late_calls(state, view, now_ms)
    for run in view.runs.values():
        run.is_restart_suspected = True
        _drop_recorded_window(state, run)


def apply_reachability(state: PoolState, *, is_directory_lost: bool) -> None:
    """Note whether the directory is read.

    While it is not, each worker with an unanswered start may have restarted:
    only its entry tells of an incarnation that can't be called.
    """
    state.is_directory_lost = is_directory_lost
    if not is_directory_lost:
        return
    for view in state.workers:
        for run in view.runs.values():
            suspect_without_directory(state, view, run)


def suspect_without_directory(
    state: PoolState, view: WorkerView, run: Run
) -> None:
    """Suspect a restart before an unanswered start with a ticket."""
    if run.is_confirmed or not run.late_calls_expiry_ms:
        return
    run.is_restart_suspected = True
    view.extend_unconfirmed(run.late_calls_expiry_ms)
    _drop_recorded_window(state, run)


def settle_suspicion(view: WorkerView) -> None:
    """Note that the incarnation which has answered is fenced.

    A report lists the runs that calls with earlier tokens have started there.
    """
    for run in view.runs.values():
        run.is_restart_suspected = False


def expect_late_calls(
    state: PoolState, view: WorkerView, sent_until_ms: int
) -> None:
    """Bound the leases that late calls grant on an unfenced incarnation.

    The calls were sent until `sent_until_ms`.
    """
    leases = state.leases
    view.extend_unconfirmed(
        sent_until_ms + leases.late_call_ms + leases.longest_allowed_ms
    )


def _drop_recorded_window(state: PoolState, run: Run) -> None:
    """Let the next owner wait for the longest time for an unanswered start."""
    entry = state.jobs.get(run.task.job)
    if entry is None:
        return
    if entry.progress.unanswered_ms.pop(run.unit_key, None) is not None:
        state.mark_dirty(entry.job)


def _expect_inherited_calls(state: PoolState, view: WorkerView) -> None:
    """Expect late calls of previous owners on an incarnation unknown to them.

    `confirmed_expiry_ms` is the longest lease after the last of these calls.
    """
    if view.entry is None or not view.recorded_born_ms:
        return
    if view.entry.born_ms != view.recorded_born_ms:
        view.extend_unconfirmed(
            view.confirmed_expiry_ms + state.leases.late_call_ms
        )
