"""Keeps the runs of each customer in a pool within the claim of the pool.

Handles the load of hundreds of steps whose customers have used up their
ceilings: such a step costs one comparison in a decision round. It gets no
advice, reservation or preemption, since room on a worker would not help it.
"""

from collections import defaultdict
from collections.abc import Mapping
from dataclasses import dataclass, replace
from typing import Final

from fuchsiarill.contracts.ceilings import excess
from fuchsiarill.graphs import start_windows
from fuchsiarill.graphs.claim_planning import (
    CALL_INTERVAL_MS,
    CustomerNeed,
    PoolNeeds,
    plan_claims,
)
from fuchsiarill.graphs.customers import unit_hold
from fuchsiarill.graphs.job_entries import JobEntry, StepEntry
from fuchsiarill.graphs.pool_ceilings import CeilingWait
from fuchsiarill.graphs.state import PoolState
from fuchsiarill.graphs.states import AvailabilityState
from fuchsiarill.ids import CustomerId
from fuchsiarill.resources import (
    NO_RESOURCES,
    Resources,
    fitting_count,
    higher_of,
    lower_of,
)

# A step that has waited for this long for its ceiling keeps room under it from
# steps that are scheduled later. Otherwise small tasks would take each part of
# the ceiling that becomes free, and a gang would never start.
_RESERVE_AFTER_MS: Final = 1000


def admit(
    state: PoolState, entry: JobEntry, step: StepEntry, now_ms: int
) -> bool:
    """Tell whether the next unit of a step may start under the ceiling.

    Otherwise the step waits until there is room.
    """
    if has_room(state, entry, step):
        step.wait.ceiling_since_ms = None
        return True
    if step.wait.ceiling_since_ms is None:
        step.wait.ceiling_since_ms = now_ms
        state.ceilings.is_review_due = True
    return False


def has_room(state: PoolState, entry: JobEntry, step: StepEntry) -> bool:
    """Tell whether one more unit of a step fits in the customer's claim."""
    customer = entry.graph.customer
    if customer is None:
        return True
    limit = state.ceilings.limit_of(customer)
    if limit is None:
        return True
    wait = state.ceilings.waits.get(customer)
    if wait is not None and _has_precedence(wait, step):
        limit -= wait.charge
    return (unit_hold(step.spec) + used_of(state, customer)).fits_in(limit)


def tasks_with_room(state: PoolState, entry: JobEntry, step: StepEntry) -> int:
    """Return how many waiting tasks of a step fit in the customer's claim."""
    spec = step.spec
    tasks_count = spec.tasks_count if spec.is_gang else len(step.waiting)
    customer = entry.graph.customer
    limit = None if customer is None else state.ceilings.limit_of(customer)
    if customer is None or limit is None:
        return tasks_count
    free = limit - used_of(state, customer)
    if spec.is_gang:
        return tasks_count if unit_hold(spec).fits_in(free) else 0
    return fitting_count(unit_hold(spec), free, tasks_count)


def may_start_soon(state: PoolState, entry: JobEntry, step: StepEntry) -> bool:
    """Tell whether a step waits only until its claim has been raised."""
    customer = entry.graph.customer
    if step.wait.ceiling_since_ms is None or customer is None:
        return True
    if customer not in state.ceilings.known:
        return True
    if customer in state.ceilings.shares:
        return False
    ceiling = state.ceilings.known[customer]
    total = used_of(state, customer) + unit_hold(step.spec)
    # The room has no part for components without a limit.
    room = state.ceilings.room_beside_others(customer)
    rows = zip(
        total.as_tuple(), room.as_tuple(), ceiling.as_tuple(), strict=True
    )
    return all(part <= free for part, free, limit in rows if limit)


def used_of(state: PoolState, customer: CustomerId) -> Resources:
    """Return what a customer may have allocated in the pool.

    Until the runs of the previous owner are known, they may hold all that it
    has claimed, beside the runs that this owner has started.
    """
    used = state.customers.use_of(customer)
    if state.is_inheritance_settled:
        late = state.ceilings.late_uses.get(customer)
        return used if late is None else used + late
    inherited = state.ceilings.inherited.get(customer)
    if inherited is None:
        return used
    known = state.customers.inherited_use_of(customer)
    return used - known + higher_of(known, inherited)


def count_late_starts(state: PoolState, now_ms: int) -> None:
    """Count the start orders of the previous owner that may still act."""
    ceilings = state.ceilings
    if not ceilings.known or not ceilings.has_late_starts:
        return
    if not state.is_inheritance_settled:
        return
    uses: defaultdict[CustomerId, Resources] = defaultdict(Resources)
    for entry in state.jobs.values():
        customer = entry.graph.customer
        if customer is not None and entry.is_inherited:
            uses[customer] += _late_use(state, entry, now_ms)
    uses_of_customers = {
        customer: use for customer, use in uses.items() if use != NO_RESOURCES
    }
    ceilings.late_uses = uses_of_customers
    # No such order is recorded after the settlement.
    ceilings.has_late_starts = bool(uses_of_customers)


def review_claims(state: PoolState, now_ms: int) -> None:
    """Find what the customers need, and request the next call of the store."""
    ceilings = state.ceilings
    if not ceilings.known and ceilings.unlisted <= ceilings.configured:
        return
    if state.config is None or ceilings.is_call_pending:
        return
    if now_ms < ceilings.next_call_ms:
        return
    if not ceilings.is_review_due and now_ms < ceilings.next_review_ms:
        return
    ceilings.is_review_due = False
    ceilings.next_review_ms = now_ms + CALL_INTERVAL_MS
    needs = _find_needs(state, now_ms)
    call = plan_claims(ceilings, state.config, needs, now_ms)
    if call is not None:
        state.effects.append(call)


def _has_precedence(wait: CeilingWait, step: StepEntry) -> bool:
    """Tell whether a waiting step keeps room from another one."""
    return (
        wait.is_reserving
        and wait.step != step.key
        and wait.order < (step.rank_ms, step.key)
    )


def _late_use(state: PoolState, entry: JobEntry, now_ms: int) -> Resources:
    """Return what unanswered starts of the previous owner may allocate.

    A unit that runs is counted by its runs.
    """
    use = NO_RESOURCES
    for unit_key in entry.progress.unanswered_starts:
        step = entry.ensure_step(unit_key.occurrence, unit_key.step)
        unit = None if step is None else step.waiting.get(unit_key)
        if step is None or unit is None:
            continue
        if start_windows.is_inherited_open(state, entry, unit, now_ms):
            use += unit_hold(step.spec)
    return use


@dataclass(slots=True)
class _Demand:
    """Waiting work of a customer, and its first step at the ceiling."""

    waiting: Resources = NO_RESOURCES
    # The part of the most urgent queue among those of the waiting work.
    urgent: Resources = NO_RESOURCES
    urgent_priority: int | None = None
    largest_unit: Resources = NO_RESOURCES
    wait: CeilingWait | None = None


def _find_needs(state: PoolState, now_ms: int) -> PoolNeeds:
    demands = _find_demands(state)
    _update_waits(state, demands, now_ms)
    capacity, free = _capacity_and_free(state)
    needs: dict[CustomerId, CustomerNeed] = {}
    for customer in state.ceilings.known:
        need = CustomerNeed(used_of(state, customer))
        demand = demands.get(customer)
        if demand is not None:
            wait = state.ceilings.waits.get(customer)
            need = _need_of(need.used, demand, wait, free)
        needs[customer] = need
    return PoolNeeds(needs, capacity)


def _update_waits(
    state: PoolState, demands: Mapping[CustomerId, _Demand], now_ms: int
) -> None:
    """Note the first step of each customer that waits for its ceiling.

    The Unix time of a wait is kept, although the offset of the clocks changes
    by the millisecond: each change of it would be written.
    """
    previous_waits = state.ceilings.waits
    state.ceilings.waits = {}
    for customer, demand in demands.items():
        wait = demand.wait
        if wait is None:
            continue
        previous = previous_waits.get(customer, wait)
        if (previous.step, previous.since_ms) == (wait.step, wait.since_ms):
            wait = replace(wait, since_unix_ms=previous.since_unix_ms)
        state.ceilings.waits[customer] = replace(
            wait, is_reserving=now_ms - wait.since_ms >= _RESERVE_AFTER_MS
        )


def _need_of(
    used: Resources,
    demand: _Demand,
    wait: CeilingWait | None,
    free: Resources,
) -> CustomerNeed:
    """Return the need of a customer with waiting work.

    More than what is free in the pool can't start, except that the most urgent
    work may get room by preemptions, and a large unit by reservations, which it
    gets only while the claim allows it to start.
    """
    room = higher_of(free, demand.urgent + demand.largest_unit)
    waiting = lower_of(demand.waiting, room)
    if wait is None:
        return CustomerNeed(used, waiting)
    return CustomerNeed(used, waiting, wait.charge, wait.since_unix_ms)


def _find_demands(state: PoolState) -> dict[CustomerId, _Demand]:
    demands: defaultdict[CustomerId, _Demand] = defaultdict(_Demand)
    for entry in state.active_jobs.values():
        customer = entry.graph.customer
        if customer is None or not _may_start(state, entry):
            continue
        if customer not in state.ceilings.known:
            continue
        for step in entry.waiting_steps():
            _add_step(demands[customer], entry, step, state.unix_offset_ms)
    return demands


def _may_start(state: PoolState, entry: JobEntry) -> bool:
    if entry.is_inherited and not state.is_inheritance_settled:
        return False
    return entry.is_active


def _add_step(
    demand: _Demand, entry: JobEntry, step: StepEntry, unix_offset_ms: int
) -> None:
    charge = unit_hold(step.spec)
    waiting = charge.times(len(step.waiting))
    demand.waiting += waiting
    if step.waiting:
        demand.largest_unit = higher_of(demand.largest_unit, charge)
    priority = entry.policy.priority
    if demand.urgent_priority is None or priority < demand.urgent_priority:
        demand.urgent_priority = priority
        demand.urgent = NO_RESOURCES
    if priority == demand.urgent_priority:
        demand.urgent += waiting
    since_ms = step.wait.ceiling_since_ms
    if since_ms is None:
        return
    wait = CeilingWait(
        step.key, step.rank_ms, charge, since_ms, since_ms + unix_offset_ms
    )
    if demand.wait is None or wait.order < demand.wait.order:
        demand.wait = wait


def _capacity_and_free(state: PoolState) -> tuple[Resources, Resources]:
    capacity = NO_RESOURCES
    free = NO_RESOURCES
    for view in state.workers:
        if not view.is_listed or view.entry is None:
            continue
        capacity += view.entry.capacity
        if view.availability is AvailabilityState.READY:
            free += excess(view.free, NO_RESOURCES)
    return capacity, free
