"""Upper bounds of the task leases that the workers hold.

A worker stops a task whose lease has lapsed, so an attempt whose bound has
passed does not run. Leases are renewed in exchanges, which are requests to a
worker that the worker answers with a report.
"""

from typing import Final

from fuchsiarill.core.state import CoreState
from fuchsiarill.core.steps import step_attempt
from fuchsiarill.ids import AttemptId, WorkerId
from fuchsiarill.states import AttemptEvent

# A start waits in its link while an exchange is in progress, at most one call
# time-out (by default 2,000 ms); the rest covers clocks that differ by 1% over
# a lease.
LEASE_MARGIN_MS: Final = 2_500


def lease_end_ms(state: CoreState, requested_at_ms: int) -> int:
    """Return the latest end of a lease requested at `requested_at_ms`."""
    lease_ms = state.config.policies.task_lease_ms
    return requested_at_ms + lease_ms + LEASE_MARGIN_MS


def renew_leases(
    state: CoreState,
    reported_ids: set[AttemptId],
    requested_at_ms: int,
) -> None:
    """Extend the leases of attempts that a worker has reported."""
    ends_at_ms = lease_end_ms(state, requested_at_ms)
    for attempt_id in reported_ids:
        attempt = state.attempts.get(attempt_id)
        if attempt is None:
            continue
        attempt.lease_ends_at_ms = max(attempt.lease_ends_at_ms, ends_at_ms)
        state.unrenewed.pop(attempt_id, None)


def extend_leases(
    state: CoreState,
    worker_id: WorkerId,
    ends_at_ms: int,
) -> None:
    """Extend leases on a worker that end before `ends_at_ms` to that time."""
    worker = state.workers.get(worker_id)
    if worker is None:
        return
    for attempt_id in worker.attempts:
        attempt = state.attempts[attempt_id]
        attempt.lease_ends_at_ms = max(attempt.lease_ends_at_ms, ends_at_ms)


def expire_leases(state: CoreState, now_ms: int) -> None:
    """Apply `LEASE_LAPSED` to unrenewed attempts whose leases have ended."""
    for attempt_id in tuple(state.unrenewed):
        attempt = state.attempts[attempt_id]
        if now_ms < attempt.lease_ends_at_ms:
            continue
        state.unrenewed.pop(attempt_id)
        step_attempt(state, attempt, AttemptEvent.LEASE_LAPSED, now_ms)
