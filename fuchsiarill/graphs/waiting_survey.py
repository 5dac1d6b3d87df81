"""Periodic look at all waiting steps, on which their order depends.

Load: hundreds of waiting steps, of which each decision ranks only those that
may have room. What concerns all of them is found here, once a tick.
"""

from collections.abc import Iterator
from typing import Final

from fuchsiarill.graphs.customer_order import survey_customers
from fuchsiarill.graphs.job_entries import JobEntry, StepEntry
from fuchsiarill.graphs.order_state import WorkKind, kind_of
from fuchsiarill.graphs.ordering import OrderClass, class_of
from fuchsiarill.graphs.state import PoolState

# A kind of work that has waited so long without a start gets one. It is longer
# than nearly all runs, so that under usual load none needs it.
_FLOOR_MS: Final = 30_000


def survey_waiting(state: PoolState, now_ms: int) -> None:
    """Find the late work to which other work gives way, and starving work."""
    order = state.order
    order.no_room_until_ms = {
        key: until_ms
        for key, until_ms in order.no_room_until_ms.items()
        if until_ms > now_ms
    }
    waiting = list(_waiting_steps(state))
    classes = [class_of(state, *row, now_ms) for row in waiting]
    order.late_priority = min(
        (
            entry.policy.priority
            for (entry, _), order_class in zip(waiting, classes, strict=True)
            if order_class is OrderClass.LATE_SHORT
        ),
        default=None,
    )
    guaranteed = [
        row
        for row, order_class in zip(waiting, classes, strict=True)
        if order_class is not OrderClass.BEYOND_RATE
    ]
    _promote_starving(state, _oldest_of_kinds(guaranteed, now_ms), now_ms)
    survey_customers(state, waiting, now_ms)


def _oldest_of_kinds(
    rows: list[tuple[JobEntry, StepEntry]], now_ms: int
) -> dict[WorkKind, StepEntry]:
    oldest: dict[WorkKind, tuple[int, StepEntry]] = {}
    for entry, step in rows:
        if _has_had_floor(step, now_ms):
            continue
        kind = kind_of(entry.graph.queue, entry.graph.customer, step.spec)
        if kind not in oldest or entry.accepted_ms < oldest[kind][0]:
            oldest[kind] = (entry.accepted_ms, step)
    return {kind: row[1] for kind, row in oldest.items()}


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


def _has_had_floor(step: StepEntry, now_ms: int) -> bool:
    """Tell whether a step ranked first could not start all the same.

    It may fit nowhere; the next one of its kind does not wait for it.
    """
    since_ms = step.wait.floor_since_ms
    return since_ms is not None and now_ms - since_ms >= _FLOOR_MS


def _promote_starving(
    state: PoolState,
    oldest: dict[WorkKind, StepEntry],
    now_ms: int,
) -> None:
    served_ms = state.order.served_ms
    # Kinds without waiting work are dropped, which bounds the table.
    state.order.served_ms = {
        kind: served_ms[kind] for kind in oldest if kind in served_ms
    }
    for kind, step in oldest.items():
        wait = step.wait
        if wait.floor_since_ms is not None or wait.since_ms is None:
            continue
        waited_since_ms = max(wait.since_ms, served_ms.get(kind, 0))
        if now_ms - waited_since_ms >= _FLOOR_MS:
            wait.floor_since_ms = now_ms
            wait.is_due = True
