"""What the contracts of the customers mean for the order of their work.

Load: a full pool, in which some customers use more than the share of their
weight, or send more jobs a second than their contract guarantees. Without
contracts nothing here applies.
"""

from typing import Final

from fuchsiarill.contracts.contract import CustomerContracts
from fuchsiarill.contracts.shares import is_within_share
from fuchsiarill.graphs.job_entries import JobEntry, StepEntry
from fuchsiarill.graphs.model import JobGraph
from fuchsiarill.graphs.ordering import has_value
from fuchsiarill.graphs.placement import could_ever_fit
from fuchsiarill.graphs.state import PoolState
from fuchsiarill.ids import CustomerId
from fuchsiarill.resources import NO_RESOURCES

# Waiting steps of one customer that are examined for a lack of room.
_EXAMINED_MAX_COUNT: Final = 2
# With this many customers in want of room each has another one beside it.
_WANTING_MAX_COUNT: Final = 2


def is_beyond_rate(state: PoolState, graph: JobGraph, now_ms: int) -> bool:
    """Count a job that this owner sees first; tell whether it is excess."""
    config = state.config
    if config is None or graph.customer is None:
        return False
    contract = config.contracts.find(graph.customer)
    if contract is None:
        return False
    return not state.job_rates.count(graph.customer, contract.weight, now_ms)


def is_excess(entry: JobEntry, step: StepEntry, now_ms: int) -> bool:
    """Tell whether a step has no guarantee.

    Lasting tasks keep theirs. Work without value has none in any case, and is
    ordered with that of others.
    """
    if not entry.is_beyond_rate or step.spec.is_lasting:
        return False
    return has_value(entry, step, now_ms)


def may_have_room(
    state: PoolState, entry: JobEntry, step: StepEntry, now_ms: int
) -> bool:
    """Tell whether a step may start: excess does while no other work waits."""
    wanting = state.order.wanting_room
    if not wanting or not is_excess(entry, step, now_ms):
        return True
    return wanting == {entry.graph.customer}


def update_shares(state: PoolState) -> None:
    """Find the customers that use more than their share of the pool.

    Done once a round, for each customer with runs.
    """
    config = state.config
    order = state.order
    if config is None or not config.contracts or not order.weights_sum:
        order.over_share = frozenset()
        return
    over_share: set[CustomerId] = set()
    for customer, use in state.customers.uses().items():
        weight = _weight_of(config.contracts, customer)
        if not is_within_share(
            use, order.total_capacity, weight, order.weights_sum
        ):
            over_share.add(customer)
    order.over_share = frozenset(over_share)


def survey_customers(
    state: PoolState, waiting: list[tuple[JobEntry, StepEntry]], now_ms: int
) -> None:
    """Find the capacity, the competing customers and those that want room."""
    config = state.config
    order = state.order
    if config is None or not config.contracts:
        order.weights_sum = 0
        order.wanting_room = frozenset()
        return
    competing = {entry.graph.customer for entry, _ in waiting}
    competing.update(state.customers.uses())
    order.weights_sum = sum(
        _weight_of(config.contracts, customer) for customer in competing
    )
    order.total_capacity = sum(
        (
            view.entry.capacity
            for view in state.workers
            if view.is_listed and view.entry is not None
        ),
        NO_RESOURCES,
    )
    order.wanting_room = _find_wanting(state, waiting, now_ms)


def _weight_of(
    contracts: CustomerContracts, customer: CustomerId | None
) -> float:
    """Return the weight of a customer, 0 without a contract."""
    contract = None if customer is None else contracts.find(customer)
    return 0 if contract is None else contract.weight


def _find_wanting(
    state: PoolState, waiting: list[tuple[JobEntry, StepEntry]], now_ms: int
) -> frozenset[CustomerId | None]:
    """Return customers whose guaranteed work waits for room.

    Work that waits for other causes (advice, the ceiling of its customer) does
    not want the room that excess would use. Two customers are enough to know.
    """
    wanting: set[CustomerId | None] = set()
    if not any(is_excess(*row, now_ms) for row in waiting):
        return frozenset()
    for customer, steps in _guaranteed_work(waiting, now_ms).items():
        if any(_wants_room(state, step) for step in steps):
            wanting.add(customer)
        if len(wanting) >= _WANTING_MAX_COUNT:
            break
    return frozenset(wanting)


def _guaranteed_work(
    waiting: list[tuple[JobEntry, StepEntry]], now_ms: int
) -> dict[CustomerId | None, list[StepEntry]]:
    """Return the first steps of each customer that may want room.

    They have a value, are no excess and do not wait for a ceiling.
    """
    found: dict[CustomerId | None, list[StepEntry]] = {}
    for entry, step in waiting:
        steps = found.setdefault(entry.graph.customer, [])
        if len(steps) >= _EXAMINED_MAX_COUNT or entry.is_beyond_rate:
            continue
        if step.wait.ceiling_since_ms is not None:
            continue
        if has_value(entry, step, now_ms):
            steps.append(step)
    return found


def _wants_room(state: PoolState, step: StepEntry) -> bool:
    """Tell whether a step waits for room on a worker.

    A step that fits on no worker, even an empty one, would keep excess out for
    as long as it has a value.
    """
    listed = [view for view in state.workers if view.is_listed]
    charge = step.spec.charge
    if any(charge.fits_in(view.free) for view in listed):
        return False
    return any(could_ever_fit(step.spec, view) for view in listed)
