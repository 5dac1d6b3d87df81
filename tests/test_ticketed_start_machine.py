"""Decisions about starts with tickets that workers execute late."""

from typing import Final

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import rule

from fuchsiarill.graphs.model import Step
from tests.advised_world import AdvisedWorld
from tests.graph_owner import ADVISED, SIZE
from tests.test_incarnation_machine import IncarnationMachine

# Longer than the longest lease.
_LONG_RUN_MS: Final = 15_000


class TicketedStartMachine(IncarnationMachine):
    """Guards against double runs by late starts with tickets.

    A ticket is of the incarnation that runs when it is granted, which may be a
    later one than the owner knows.
    """

    def __init__(self) -> None:
        """Start with live workers and no jobs."""
        super().__init__()
        self.world = AdvisedWorld(*self.world.workers)

    @rule(
        tasks_count=st.integers(1, 3),
        is_gang=st.booleans(),
        run_ms=st.sampled_from([900, 9000, _LONG_RUN_MS]),
    )
    def submit(self, tasks_count: int, run_ms: int, *, is_gang: bool) -> None:
        """Submit a job whose starts need tickets."""
        step = Step(tasks_count, SIZE, run_ms, is_gang=is_gang)
        self.world.submit(ADVISED, [step], run_ms, failures=0)


TestTicketedStarts = TicketedStartMachine.TestCase
TestTicketedStarts.settings = settings(
    max_examples=60, stateful_step_count=25, deadline=None
)
