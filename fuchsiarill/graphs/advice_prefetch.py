"""Requests advice for steps that open soon.

Short urgent chains lose most of their slack when each step waits for advice
after the step before it has ended. The request is made so late that its
tickets are still valid when the runs take longer than expected.
"""

from collections.abc import Iterator
from typing import Final

from fuchsiarill.graphs.advice_requests import (
    USUAL_WORKERS_COUNT,
    request_early_advice,
    time_to_start_ms,
)
from fuchsiarill.graphs.job_entries import JobEntry, StepEntry
from fuchsiarill.graphs.model import AdvicePolicy
from fuchsiarill.graphs.placement import UsableWorkers
from fuchsiarill.graphs.state import PoolState

# Time by which the tickets should arrive before the step opens.
_EARLY_MS: Final = 300


def prefetch_advice(state: PoolState, now_ms: int) -> None:
    """Request advice for the steps whose predecessors should end soon."""
    usable = UsableWorkers(state, now_ms)
    for entry in state.active_jobs.values():
        policy = entry.policy.advice
        if policy is None or not entry.is_active:
            continue
        for step in _steps_opening_soon(entry, policy, now_ms):
            _request_early(state, entry, step, usable, now_ms)


def _steps_opening_soon(
    entry: JobEntry, policy: AdvicePolicy, now_ms: int
) -> Iterator[StepEntry]:
    lead_ms = time_to_start_ms(policy, USUAL_WORKERS_COUNT) + _EARLY_MS
    for step in list(entry.steps.values()):
        if not step.is_open or step.waiting or step.spec.is_lasting:
            continue
        if step.expected_end_ms - now_ms <= lead_ms:
            yield from entry.steps_opened_by(step)


def _request_early(
    state: PoolState,
    entry: JobEntry,
    step: StepEntry,
    usable: UsableWorkers,
    now_ms: int,
) -> None:
    if state.tickets.has_answer(step.key):
        return
    request_early_advice(state, entry, step, usable, now_ms)
