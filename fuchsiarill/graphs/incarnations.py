"""Later incarnations of workers that are not fenced yet.

Until such an incarnation has answered a renewal with a token of its own, it may
execute calls that were sent before. See `worker_contact.py`.
"""

from fuchsiarill.graphs import reports
from fuchsiarill.graphs.effects import FenceIncarnation
from fuchsiarill.graphs.state import PoolState
from fuchsiarill.graphs.states import AvailabilityEvent, RestartSource
from fuchsiarill.graphs.worker_table import WorkerView
from fuchsiarill.ids import WorkerId


def apply_listed(state: PoolState, worker: WorkerId, now_ms: int) -> None:
    """Apply a directory entry with a later incarnation than the known one."""
    view = state.workers.find(worker)
    if view is None or view.entry is None:
        return
    if not view.born_ms:
        _expect_inherited_calls(state, view)
        return
    reports.apply_restart(
        state, view, view.entry.born_ms, RestartSource.DIRECTORY, now_ms
    )
    expect_late_calls(state, view, now_ms)
    state.effects.append(FenceIncarnation(worker, view.entry.born_ms))
    state.workers.apply_event(view, AvailabilityEvent.WENT_SILENT)


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


def _expect_inherited_calls(state: PoolState, view: WorkerView) -> None:
    """Expect late calls of previous owners on an incarnation unknown to them.

    `confirmed_expiry_ms` is the longest lease after the last of these calls.
    """
    if view.entry is None or not view.recorded_born_ms:
        return
    if view.entry.born_ms > view.recorded_born_ms:
        view.extend_unconfirmed(
            view.confirmed_expiry_ms + state.leases.late_call_ms
        )
