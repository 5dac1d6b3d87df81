"""Requests advice for inherited steps before they may start.

A step of an inherited job waits until each worker of the previous owner has
reported or its task leases have expired. A request that is sent only then adds
the time of the advice service to that wait.
"""

from typing import Final

from fuchsiarill.graphs.advice_requests import (
    USUAL_WORKERS_COUNT,
    request_early_advice,
    time_to_start_ms,
)
from fuchsiarill.graphs.job_entries import JobEntry, StepEntry
from fuchsiarill.graphs.placement import UsableWorkers
from fuchsiarill.graphs.state import PoolState

# Time by which the tickets should arrive before the inheritance is settled.
# Many steps request advice at once, so their requests wait for each other. The
# tickets are valid for longer.
_EARLY_MS: Final = 700


def request_inherited_advice(state: PoolState, now_ms: int) -> None:
    """Request advice for the inherited steps that may start soon."""
    if state.is_inheritance_settled:
        return
    settled_ms = _expected_settlement_ms(state)
    usable = UsableWorkers(state, now_ms)
    for entry in state.active_jobs.values():
        policy = entry.policy.advice
        if policy is None or not entry.is_active or not entry.is_inherited:
            continue
        lead_ms = time_to_start_ms(policy, USUAL_WORKERS_COUNT) + _EARLY_MS
        if settled_ms - now_ms > lead_ms:
            continue
        for step in entry.waiting_steps():
            _request_for_step(state, entry, step, usable, now_ms)


def _expected_settlement_ms(state: PoolState) -> int:
    """Return when all task leases of workers without a report have expired."""
    expiries_ms = [
        view.lease_expiry_ms
        for view in state.workers
        if view.is_recorded and not view.is_reconciled
    ]
    return max(expiries_ms, default=0)


def _request_for_step(
    state: PoolState,
    entry: JobEntry,
    step: StepEntry,
    usable: UsableWorkers,
    now_ms: int,
) -> None:
    if not state.tickets.may_request(step.key, now_ms):
        return
    candidates = usable.for_step(step)
    if state.tickets.ticketed_workers(step.key, candidates, now_ms):
        return
    request_early_advice(state, entry, step, usable, now_ms)
