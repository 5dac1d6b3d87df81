"""Periodic look at all waiting steps, on which their order depends.

Load: hundreds of waiting steps, of which each decision ranks only those that
may have room. What concerns all of them is found here, once a tick.
"""

from collections.abc import Iterator
from typing import Final

from fuchsiarill.graphs.job_entries import JobEntry, StepEntry
from fuchsiarill.graphs.order_state import WorkKind, kind_of
from fuchsiarill.graphs.ordering import OrderClass, class_of
from fuchsiarill.graphs.state import PoolState

# A kind of work that has waited so long without a start gets one. It is longer
# than nearly all runs, so that under usual load none needs it.
_FLOOR_MS: Final = 30_000


def survey_waiting(state: PoolState, now_ms: int) -> None:
    """Find the late work to which other work gives way, and starving work."""
    late_priorities: set[int] = set()
    oldest: dict[WorkKind, tuple[int, StepEntry]] = {}
    for entry, step in _waiting_steps(state):
        if _is_late_short(state, entry, step, now_ms):
            late_priorities.add(entry.policy.priority)
        if _has_had_floor(step, now_ms):
            continue
        kind = kind_of(entry.graph.queue, entry.graph.customer, step.spec)
        if kind not in oldest or entry.accepted_ms < oldest[kind][0]:
            oldest[kind] = (entry.accepted_ms, step)
    state.order.late_priority = min(late_priorities, default=None)
    _promote_starving(state, oldest, now_ms)


def _waiting_steps(state: PoolState) -> Iterator[tuple[JobEntry, StepEntry]]:
    """Yield the steps with units that could not be placed.

    Steps of lasting tasks are left out, which are never late.
    """
    for entry in state.active_jobs.values():
        if not entry.is_active:
            continue
        for step in entry.waiting_steps():
            if step.wait.since_ms is not None and not step.spec.is_lasting:
                yield entry, step


def _is_late_short(
    state: PoolState, entry: JobEntry, step: StepEntry, now_ms: int
) -> bool:
    order_class = class_of(state, entry, step, now_ms)
    return order_class is OrderClass.LATE_SHORT


def _has_had_floor(step: StepEntry, now_ms: int) -> bool:
    """Tell whether a step ranked first could not start all the same.

    It may fit nowhere; the next one of its kind does not wait for it.
    """
    since_ms = step.wait.floor_since_ms
    return since_ms is not None and now_ms - since_ms >= _FLOOR_MS


def _promote_starving(
    state: PoolState,
    oldest: dict[WorkKind, tuple[int, StepEntry]],
    now_ms: int,
) -> None:
    served_ms = state.order.served_ms
    # Kinds without waiting work are dropped, which bounds the table.
    state.order.served_ms = {
        kind: served_ms[kind] for kind in oldest if kind in served_ms
    }
    for kind, (_, step) in oldest.items():
        wait = step.wait
        if wait.floor_since_ms is not None or wait.since_ms is None:
            continue
        waited_since_ms = max(wait.since_ms, served_ms.get(kind, 0))
        if now_ms - waited_since_ms >= _FLOOR_MS:
            wait.floor_since_ms = now_ms
            wait.is_due = True
