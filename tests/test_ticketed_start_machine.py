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
_CUT_AFTER_MS: Final = 400


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

    @rule(
        name=st.sampled_from(('w0', 'w1', 'w2')),
        delay_ms=st.sampled_from([100, 400, 1500, 1850]),
        outage_ms=st.sampled_from([1500, 8000]),
    )
    def execute_late_behind_a_cut(
        self, name: str, delay_ms: int, outage_ms: int
    ) -> None:
        """Restart a worker unnoticed; cut it off before it starts tasks."""
        world = self.world
        self.restart(name, is_silent=True, is_listed=False)
        self.delay_calls(name, delay_ms)
        self.submit(3, _LONG_RUN_MS, is_gang=False)
        world.pass_time(_CUT_AFTER_MS)
        self.delay_calls(name, 0)
        world.workers[name].is_reachable = False
        world.pass_time(outage_ms)
        world.workers[name].is_reachable = True


TestTicketedStarts = TicketedStartMachine.TestCase
TestTicketedStarts.settings = settings(
    max_examples=40, stateful_step_count=12, deadline=None
)
