"""Decisions under random sequences of faults and changes of the capacity."""

from typing import Final

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import rule

from fuchsiarill.resources import Resources
from tests.graph_owner import CAPACITY
from tests.test_graph_machine import GraphMachine

_NAMES: Final = tuple(f'w{number}' for number in range(3))
_QUARTERS_COUNT: Final = 4
_QUARTER: Final = Resources(
    CAPACITY.processors_milli // _QUARTERS_COUNT,
    CAPACITY.memory_mb // _QUARTERS_COUNT,
)


class CapacityMachine(GraphMachine):
    """Guards against starts over a capacity that has shrunk.

    The workers run the jobs and have the faults of `GraphMachine`, and shrink
    and grow besides. Jobs must end after they have grown to their full
    capacity.
    """

    @rule(
        name=st.sampled_from(_NAMES), quarters=st.integers(0, _QUARTERS_COUNT)
    )
    def resize(self, name: str, quarters: int) -> None:
        """Change the capacity of a worker."""
        self.world.resize(name, _QUARTER.times(quarters))

    def teardown(self) -> None:
        """Restore the capacities before the checks."""
        for name in _NAMES:
            self.world.resize(name, CAPACITY)
        super().teardown()


TestCapacityMachine = CapacityMachine.TestCase
TestCapacityMachine.settings = settings(
    max_examples=40,
    stateful_step_count=30,
    deadline=None,
)
