"""Task leases, as the owner must assume that the workers see them."""

from typing import Final

from fuchsiarill.core.state import CoreState
from fuchsiarill.core.steps import step_attempt
from fuchsiarill.core.worker_view import WorkerView
from fuchsiarill.ids import AttemptId
from fuchsiarill.states import AttemptEvent

# A renewal reaches a worker at most one call time-out (2,000 ms) after it was
# asked for; the rest covers clocks that differ by 1% over a lease.
LEASE_MARGIN_MS: Final = 2_500


def renew_leases(
    state: CoreState,
    worker: WorkerView,
    reported: set[AttemptId],
    asked_at_ms: int,
) -> None:
    """Note that an answered exchange extended the leases of a worker."""
    ends_at_ms = asked_at_ms + state.config.policies.task_lease_ms
    for attempt_id in reported & worker.attempts:
        attempt = state.attempts[attempt_id]
        attempt.lease_ends_at_ms = max(attempt.lease_ends_at_ms, ends_at_ms)
        state.unrenewed.pop(attempt_id, None)


def lapse(state: CoreState, now_ms: int) -> None:
    """Move on what no worker can be running any longer."""
    for attempt_id in tuple(state.unrenewed):
        attempt = state.attempts[attempt_id]
        if now_ms < attempt.lease_ends_at_ms + LEASE_MARGIN_MS:
            continue
        state.unrenewed.pop(attempt_id)
        step_attempt(state, attempt, AttemptEvent.LEASE_LAPSED, now_ms)
