"""Decisions under calls that a later incarnation of a worker executes."""

from dataclasses import dataclass
from typing import Final

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
)

from fuchsiarill.graphs.model import Step
from tests.graph_owner import BATCH, SIZE
from tests.graph_world import World

_NAMES: Final = ('w0', 'w1', 'w2')
_NAME: Final = st.sampled_from(_NAMES)
_IS_SILENT: Final = st.booleans()
# Longer than all runs of an example one after the other on one worker.
_RECOVERY_MAX_MS: Final = 600_000
_CHECK_INTERVAL_MS: Final = 1000
# The clock of an incarnation is then ahead of that of the next one by more
# than the longest lease.
_FIRST_LIFE_MS: Final = 7000
# Longer than the longest lease.
_LONG_RUN_MS: Final = 15_000


@dataclass(frozen=True, slots=True)
class _Timing:
    """Times of a restart that is followed by a cut."""

    delay_ms: int
    before_ms: int
    connected_ms: int
    outage_ms: int


_TIMINGS: Final = st.builds(
    _Timing,
    delay_ms=st.sampled_from([0, 100, 400, 1500, 4000]),
    before_ms=st.sampled_from([50, 200, 500]),
    connected_ms=st.sampled_from([100, 300, 1000, 3000]),
    outage_ms=st.sampled_from([1500, 8000]),
)


class IncarnationMachine(RuleBasedStateMachine):
    """Guards against double runs by calls for former incarnations.

    Workers restart with or without an entry in the directory, are cut off soon
    after and come back. Calls are executed late, and clocks run slow. The
    runs are longer than the leases.
    """

    def __init__(self) -> None:
        """Start with live workers and no jobs."""
        super().__init__()
        self.world = World(*_NAMES)

    @initialize(
        clock_slowness=st.sampled_from([0, 0.01, 0.02]),
        lapse_delay_ms=st.sampled_from([0, 250]),
    )
    def start_workers(self, clock_slowness: float, lapse_delay_ms: int) -> None:
        """Let the clocks of all workers run slow, and runs lapse late."""
        self.world.clock_slowness = clock_slowness
        self.world.lapse_delay_ms = lapse_delay_ms
        for name in _NAMES:
            self.world.restart(name)
        self.world.pass_time(_FIRST_LIFE_MS)

    @rule(
        tasks_count=st.integers(1, 3),
        is_gang=st.booleans(),
        run_ms=st.sampled_from([900, 9000, _LONG_RUN_MS]),
    )
    def submit(self, tasks_count: int, run_ms: int, *, is_gang: bool) -> None:
        """Submit a job that fits on the workers when they are empty."""
        step = Step(tasks_count, SIZE, run_ms, is_gang=is_gang)
        self.world.submit(BATCH, [step], run_ms, failures=0)

    @rule(duration_ms=st.sampled_from([50, 100, 300, 1200, 6000]))
    def wait(self, duration_ms: int) -> None:
        """Let time pass."""
        self.world.pass_time(duration_ms)

    @rule(name=_NAME, is_silent=_IS_SILENT, is_listed=st.booleans())
    def restart(self, name: str, *, is_silent: bool, is_listed: bool) -> None:
        """Restart a worker; if it is listed, the owner knows at once."""
        self.world.replace_incarnation(name)
        if is_silent:
            self.world.silence_renewal(name)
        if is_listed:
            self.world.publish_directory()

    @rule()
    def publish_directory(self) -> None:
        """Tell the owner of all restarts."""
        self.world.publish_directory()

    @rule(name=_NAME, delay_ms=st.sampled_from([0, 100, 400, 1500, 4000]))
    def delay_calls(self, name: str, delay_ms: int) -> None:
        """Execute the calls to a worker late, or in time again."""
        self.world.delays_ms.pop(name, None)
        if delay_ms:
            self.world.delays_ms[name] = delay_ms

    @rule(name=_NAME, is_silent=_IS_SILENT)
    def cut(self, name: str, *, is_silent: bool) -> None:
        """Disconnect a worker, or connect it again."""
        worker = self.world.workers[name]
        worker.is_reachable = not worker.is_reachable
        if is_silent:
            self.world.silence_renewal(name)

    @rule(name=_NAME)
    def lose_answers(self, name: str) -> None:
        """Start or stop losing the answers of a worker to orders."""
        worker = self.world.workers[name]
        worker.loses_answers = not worker.loses_answers

    @rule(
        name=_NAME,
        tasks_count=st.sampled_from([0, 3, 6]),
        timing=_TIMINGS,
        is_silent=_IS_SILENT,
    )
    def restart_and_cut(
        self, name: str, tasks_count: int, timing: _Timing, *, is_silent: bool
    ) -> None:
        """Delay calls to a worker, restart it and cut it off soon after."""
        world = self.world
        if tasks_count:
            self.submit(tasks_count, _LONG_RUN_MS, is_gang=False)
        self.delay_calls(name, timing.delay_ms)
        world.pass_time(timing.before_ms)
        self.delay_calls(name, 0)
        self.restart(name, is_silent=is_silent, is_listed=False)
        world.pass_time(timing.connected_ms)
        world.workers[name].is_reachable = False
        world.pass_time(timing.outage_ms)
        world.workers[name].is_reachable = True

    @invariant()
    def runs_are_exclusive_and_fit(self) -> None:
        """No task runs twice, and no worker exceeds its capacity."""
        assert not self.world.violations

    @invariant()
    def allocated_capacity_matches_runs(self) -> None:
        """The allocated capacity of a worker is the sum of its runs."""
        for view in self.world.owner.core.state.workers:
            allocated = sum(
                run.charge.processors_milli for run in view.runs.values()
            )
            assert view.allocated.processors_milli == allocated

    def teardown(self) -> None:
        """Repair all faults; all jobs must end within the recovery time."""
        world = self.world
        world.delays_ms.clear()
        for worker in world.workers.values():
            worker.is_reachable = True
            worker.loses_answers = False
        world.publish_directory()
        waited_ms = 0
        while self._unfinished_jobs() and waited_ms < _RECOVERY_MAX_MS:
            world.pass_time(_CHECK_INTERVAL_MS)
            waited_ms += _CHECK_INTERVAL_MS
        assert not self._unfinished_jobs(), self._unfinished_jobs()
        assert not world.violations

    def _unfinished_jobs(self) -> list[str]:
        jobs = self.world.owner.core.state.jobs
        return [job for job, entry in jobs.items() if entry.is_active]


TestIncarnationMachine = IncarnationMachine.TestCase
TestIncarnationMachine.settings = settings(
    max_examples=40,
    stateful_step_count=12,
    deadline=None,
)
