"""Single sequences of claims that random ones seldom reach."""

from typing import Final

import pytest

from fuchsiarill.contracts.ceilings import PoolDemand, divide
from fuchsiarill.graphs.model import TaskKey
from fuchsiarill.graphs.progress import UnitKey
from fuchsiarill.graphs.runs import Run
from fuchsiarill.ids import JobId, WorkerId
from fuchsiarill.resources import NO_RESOURCES, Resources
from tests.claim_world import CUSTOMER, ClaimWorld, Pool

_UNIT: Final = Resources(10, 10)
_CEILING: Final = _UNIT.times(10)
_LOWERED: Final = _UNIT.times(6)


def _claim(world: ClaimWorld, pool: Pool, units_count: int) -> None:
    """Let units wait and the owner list and raise its claims."""
    pool.waiting.extend([_UNIT for _ in range(units_count)])
    for _ in range(2):
        world.plan(pool)
        world.execute(pool)


def test_owner_learns_the_other_claims_before_it_uses_a_lowered_ceiling() -> (
    None
):
    """Guards against a start beside claims made before the ceiling fell."""
    world = ClaimWorld(['east', 'north'], _CEILING)
    east, north = world.pools
    _claim(world, north, 6)
    _claim(world, east, 4)
    while world.start(north):
        assert not world.violations
    assert world.total() == _UNIT.times(6)
    world.set_ceiling(_LOWERED)
    world.configure(east)
    assert not world.start(east)


def test_claim_under_an_earlier_configuration_is_not_raised() -> None:
    """Guards against an owner that does not know of a lower ceiling.

    It may not know of a pool either that the configuration has added.
    """
    world = ClaimWorld(['east', 'north'], _CEILING)
    east = world.pools[0]
    world.set_ceiling(_LOWERED)
    _claim(world, east, 8)
    assert world.claims_total() == NO_RESOURCES
    world.configure(east)
    _claim(world, east, 0)
    assert world.claims_total() == _LOWERED


def test_new_ceiling_waits_for_the_use_of_other_pools() -> None:
    """Guards against a start beside runs from a time without a ceiling.

    Nothing is claimed for them until their owner has the configuration.
    """
    world = ClaimWorld(['east', 'north'], NO_RESOURCES)
    east, north = world.pools
    task = TaskKey(JobId('earlier'), 0, 0, 0)
    run = Run(
        task, 1, UnitKey(0, 0, 0), WorkerId('w'), _UNIT.times(8), 0, CUSTOMER
    )
    north.runs.append(run)
    north.owner.state.customers.allocate(run)
    world.set_ceiling(_CEILING)
    world.configure(east)
    _claim(world, east, 6)
    assert not world.start(east)
    world.configure(north)
    for _ in range(30):
        for pool in (east, north):
            world.plan(pool)
            world.execute(pool)
            world.start(pool)
    assert not world.violations
    assert world.total() == _CEILING


@pytest.mark.parametrize(
    ('wanted', 'shares'),
    [
        # A pool gets no more than it wants.
        ((20, 90), (20, 80)),
        # In proportion to the capacity, 1 to 3.
        ((90, 90), (25, 75)),
        ((30, 40), (30, 40)),
    ],
)
def test_division_by_capacity(
    wanted: tuple[int, int], shares: tuple[int, int]
) -> None:
    """Guards against shares that waste a part of the ceiling."""
    demands = [
        PoolDemand(Resources(amount), weight=Resources(capacity))
        for amount, capacity in zip(wanted, (100, 300), strict=True)
    ]
    divided = divide(Resources(100), demands)
    assert [row.processors_milli for row in divided] == list(shares)


def test_gang_that_waits_longest_gets_what_it_needs() -> None:
    """Guards against two gangs that each hold half of the ceiling forever."""
    gang = Resources(60)
    demands = [
        PoolDemand(NO_RESOURCES, gang, gang, waiting_since_ms=since_ms)
        for since_ms in (2000, 1000)
    ]
    assert divide(Resources(100), demands) == [Resources(40), gang]


def test_next_job_of_a_customer_waits_for_no_write() -> None:
    """Guards against urgent work that waits for a write of the store.

    The headroom is given up once another pool waits.
    """
    world = ClaimWorld(['east', 'north'], _CEILING)
    east, north = world.pools
    _claim(world, east, 4)
    assert _UNIT.times(6).fits_in(world.claims_total())
    while east.waiting:
        assert world.start(east)
    east.waiting.append(_UNIT)
    assert world.start(east)
    _claim(world, north, 6)
    for _ in range(30):
        for pool in world.pools:
            world.plan(pool)
            world.execute(pool)
        world.start(north)
        assert not world.violations
    assert world.total() == _CEILING
