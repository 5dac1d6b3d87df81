"""Claims on one ceiling under kills, takeovers and faults of the store."""

from typing import Final

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from fuchsiarill.resources import Resources
from tests.claim_world import CAPACITY, ClaimWorld, Pool

_POOL_NAMES: Final = ('east', 'north', 'west')
_CEILING: Final = Resources(100, 200)
_CEILINGS: Final = st.sampled_from(
    [Resources(60, 200), _CEILING, Resources(100, 90), Resources(160, 300)]
)
# Units as large as the lowest ceiling are like gangs.
_SIZES: Final = st.sampled_from(
    [Resources(5, 10), Resources(25, 60), Resources(60, 90)]
)
_POOLS: Final = st.integers(0, len(_POOL_NAMES) - 1)
_ROUNDS_MAX_COUNT: Final = 600
_RUN_ROUNDS_COUNT: Final = 3


class ClaimMachine(RuleBasedStateMachine):
    """Guards against starts above a ceiling, and units that never start."""

    def __init__(self) -> None:
        """Create pools whose owners have made no claims."""
        super().__init__()
        self.world = ClaimWorld(list(_POOL_NAMES), _CEILING)

    @rule(number=_POOLS, size=_SIZES, count=st.integers(1, 4))
    def submit(self, number: int, size: Resources, count: int) -> None:
        """Let units wait in a pool."""
        pool = self.world.pools[number]
        pool.waiting.extend([size for _ in range(count)])
        self._start_all(pool)

    @rule(number=_POOLS, rounds=st.integers(1, 4))
    def work(self, number: int, rounds: int) -> None:
        """Let an owner plan, call the store and start units."""
        pool = self.world.pools[number]
        for _ in range(rounds):
            self.world.plan(pool)
            self.world.execute(pool)
            self._start_all(pool)

    @rule(number=_POOLS)
    def plan(self, number: int) -> None:
        """Let an owner send a call."""
        self.world.plan(self.world.pools[number])

    @rule(
        number=_POOLS,
        outcome=st.sampled_from(['execute', 'lose_answer', 'delay', 'refuse']),
    )
    def finish_call(self, number: int, outcome: str) -> None:
        """End the call of an owner in one of the ways of the store."""
        getattr(self.world, outcome)(self.world.pools[number])

    @rule(number=_POOLS)
    def start(self, number: int) -> None:
        """Let an owner start units, also while a call is in progress."""
        self._start_all(self.world.pools[number])

    @rule()
    def execute_late(self) -> None:
        """Execute the calls that got no answer."""
        self.world.execute_late()

    @rule(number=_POOLS, run=st.integers(0, 9))
    def end_run(self, number: int, run: int) -> None:
        """End a run; the owner does not know it yet."""
        self.world.end_run(self.world.pools[number], run)

    @rule(number=_POOLS)
    def report(self, number: int) -> None:
        """Let an owner learn of the ends."""
        self.world.report(self.world.pools[number])

    @rule(number=_POOLS, writes_late=st.booleans())
    def take_over(self, number: int, *, writes_late: bool) -> None:
        """Replace an owner, which may have been frozen and writes then."""
        pool = self.world.pools[number]
        previous = pool.owner
        self.world.take_over(pool)
        if writes_late:
            self.world.write_as_previous_owner(pool, previous)

    @rule(number=_POOLS)
    def settle(self, number: int) -> None:
        """Let an owner learn of the runs of the previous one."""
        self.world.settle(self.world.pools[number])

    @rule(ceiling=_CEILINGS)
    def change_ceiling(self, ceiling: Resources) -> None:
        """Write another ceiling."""
        self.world.set_ceiling(ceiling)

    @rule(number=_POOLS)
    def configure(self, number: int) -> None:
        """Put the latest ceiling in force in an owner."""
        self.world.configure(self.world.pools[number])

    @invariant()
    def no_start_above_the_ceiling(self) -> None:
        """No start raised the total allocation above the ceiling."""
        assert not self.world.violations

    @invariant()
    def claims_within_the_ceiling(self) -> None:
        """The claims never exceed the highest ceiling so far."""
        claims = self.world.claims_total()
        assert claims.fits_in(self.world.highest_ceiling()), claims

    def teardown(self) -> None:
        """Check that every unit starts once the faults have ended."""
        pools = self.world.pools
        for pool in pools:
            self.world.configure(pool)
            self.world.settle(pool)
            pool.owner.state.ceilings.is_call_pending = False
        round_number = 0
        while any(map(_has_waiting, pools)):
            round_number += 1
            assert round_number < _ROUNDS_MAX_COUNT, pools
            for pool in pools:
                self._start_all(pool)
                self.world.plan(pool)
                self.world.execute(pool)
                if round_number % _RUN_ROUNDS_COUNT == 0:
                    self.world.end_run(pool, 0)
                    self.world.report(pool)
        assert not self.world.violations

    def _start_all(self, pool: Pool) -> None:
        while self.world.start(pool):
            assert self.world.total().fits_in(CAPACITY.times(3))


def _has_waiting(pool: Pool) -> bool:
    return bool(pool.waiting)


TestClaimMachine = ClaimMachine.TestCase
TestClaimMachine.settings = settings(
    max_examples=200, stateful_step_count=40, deadline=None
)
