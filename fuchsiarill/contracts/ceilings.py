"""Arithmetic of claims: how pools share the ceilings of customers.

Handles the load of customers whose work waits in several pools at once, and
together would use more than the ceiling. A component of a ceiling that is 0 has
no limit, and claims do not count it.
"""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from typing import Final

from fuchsiarill.contracts.contract import CustomerContract
from fuchsiarill.resources import NO_RESOURCES, Resources, higher_of, lower_of

# Stands for no limit; more than any sum of resources.
_UNLIMITED: Final = 1 << 60


@dataclass(frozen=True, slots=True)
class PoolDemand:
    """What one pool claims of a customer's ceiling, and would like to claim.

    `wanted` is the demand beyond `claimed`. With a claim of `needed` the next
    unit, which has waited since `waiting_since_ms`, can start. `weight` is the
    capacity of the pool.
    """

    claimed: Resources = NO_RESOURCES
    wanted: Resources = NO_RESOURCES
    needed: Resources = NO_RESOURCES
    waiting_since_ms: int = 0
    weight: Resources = NO_RESOURCES

    @property
    def is_waiting(self) -> bool:
        """Return whether the pool would use more than it claims."""
        return self.wanted != NO_RESOURCES


def limited(amount: Resources, ceiling: Resources) -> Resources:
    """Return an amount without the components that have no limit."""
    rows = zip(amount.as_tuple(), ceiling.as_tuple(), strict=True)
    return Resources(*(part if limit else 0 for part, limit in rows))


def without_limit(limit: Resources, ceiling: Resources) -> Resources:
    """Return a limit in which everything fits that the ceiling leaves free."""
    rows = zip(limit.as_tuple(), ceiling.as_tuple(), strict=True)
    return Resources(*(part if top else _UNLIMITED for part, top in rows))


def excess(amount: Resources, limit: Resources) -> Resources:
    """Return by how much each component is above a limit, 0 if it is not."""
    return higher_of(amount - limit, NO_RESOURCES)


def never_fits(
    contract: CustomerContract | None, units: Iterable[Resources]
) -> bool:
    """Tell whether a unit, which starts at once, is above the whole ceiling."""
    return contract is not None and any(map(contract.exceeds_ceiling, units))


def divide(
    ceiling: Resources, demands: Sequence[PoolDemand]
) -> list[Resources]:
    """Return what each pool should claim while the ceiling is too low for all.

    Pools get up to their demand, in proportion to their capacity. The pool that
    has waited longest gets at least what its next unit needs, since otherwise a
    gang larger than each share would never start.
    """
    shares = _fill(ceiling, demands)
    waiting = [
        (demand.waiting_since_ms, position)
        for position, demand in enumerate(demands)
        if demand.is_waiting
    ]
    if not waiting:
        return shares
    first = min(waiting)[1]
    needed = lower_of(demands[first].needed, ceiling)
    if needed.fits_in(shares[first]):
        return shares
    granted = higher_of(shares[first], needed)
    others = [*demands[:first], *demands[first + 1 :]]
    shares = _fill(excess(ceiling, granted), others)
    shares.insert(first, granted)
    return shares


def _fill(limit: Resources, demands: Sequence[PoolDemand]) -> list[Resources]:
    wanted = [(demand.claimed + demand.wanted).as_tuple() for demand in demands]
    weights = [demand.weight.as_tuple() for demand in demands]
    columns = [
        _fill_component(
            component_limit,
            [min(row[position], component_limit) for row in wanted],
            [max(1, row[position]) for row in weights],
        )
        for position, component_limit in enumerate(limit.as_tuple())
    ]
    return [
        Resources(*(column[position] for column in columns))
        for position, _ in enumerate(demands)
    ]


def _fill_component(
    limit: int, wanted: list[int], weights: list[int]
) -> list[int]:
    """Divide a limit in proportion to weights, at most what each wants.

    What a pool does not want is left for the others.
    """
    shares = [0 for _ in wanted]
    weight_left = sum(weights)
    ascending = sorted(
        range(len(wanted)),
        key=lambda position: (wanted[position] / weights[position], position),
    )
    for position in ascending:
        share = limit * weights[position] // weight_left
        shares[position] = min(wanted[position], share)
        limit -= shares[position]
        weight_left -= weights[position]
    return shares
