"""State machine tests with processes that pause, crash or lose messages.

All machines run in simulated time and with derandomized input, so that a
failure is reproducible.
"""

import asyncio
from collections.abc import Coroutine
from typing import Any

from hypothesis import Phase, settings, strategies
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
)

from fuchsiarill.answers import JobAnswer
from fuchsiarill.clock import PausedLoop, sleep_ms
from fuchsiarill.core.ledger import job_of
from fuchsiarill.ids import JobId
from fuchsiarill.job import Execution, Urgency
from fuchsiarill.owner.job_replies import FINAL_STATES
from fuchsiarill.states import JobState
from tests.builders import cell, spec
from tests.world import Process, World, is_accepted, job_id_of

_PROCESSES_COUNT = 3
_LONGEST_PAUSE_MS = 7_000
_SETTINGS = settings(
    max_examples=25,
    stateful_step_count=15,
    deadline=None,
    derandomize=True,
    # Shrinking takes minutes, so the first failing example is reported.
    phases=(Phase.generate,),
)

# Longer than the time-out of a call, so that a lost message is noticed.
_LOSS_DETECTION_MS = 1_500
_RUN_TIME_MS = 6_000
_WATCH_INTERVAL_MS = 50

_numbers = strategies.lists(strategies.integers(0, 40), max_size=4)
_some_numbers = strategies.lists(
    strategies.integers(0, 40), min_size=1, max_size=4
)
_pauses = strategies.integers(1, _LONGEST_PAUSE_MS)
_workers = strategies.sampled_from(('w1', 'w2'))
_short_delays = strategies.sampled_from((0, 1, 2, 3, 5, 12))
_indexes = strategies.integers(0, _PROCESSES_COUNT - 1)
_calls = strategies.sampled_from(('get', 'swap', 'lease', 'start', 'exchange'))


class _PartitionMachine(RuleBasedStateMachine):
    """Rules and invariants that all machines share."""

    def __init__(self) -> None:
        super().__init__()
        self.runner = asyncio.Runner(loop_factory=PausedLoop)
        self.world = World(cell(task_lease_ms=4_000))
        self.submissions: list[asyncio.Task[Any]] = []
        self.accepted: set[JobId] = set()
        self.violations: list[str] = []

    def teardown(self) -> None:
        self.watcher.cancel()
        self.run(self.world.stop())
        for submission in self.submissions:
            submission.cancel()
        self.runner.close()

    def run(self, step: Coroutine[Any, Any, Any]) -> Any:
        return self.runner.run(step)

    async def watch(self) -> None:
        """Check for violations at an interval, also while a rule runs."""
        while True:
            await sleep_ms(_WATCH_INTERVAL_MS)
            owners = [
                process.name
                for process in self.world.processes
                if process.owns()
            ]
            if len(owners) > 1:
                self.violations.append(f'several owners: {owners}')
            for task_id, count in self.world.running_copies().items():
                if count > 1:
                    self.violations.append(f'{count} copies of {task_id}')

    async def clear_faults(self) -> None:
        """Cancel the message losses that have not occurred yet."""
        for process in self.world.processes:
            process.link.lost_answers.clear()
            process.link.lost_requests.clear()

    @initialize()
    def begin(self) -> None:
        async def start() -> None:
            for _ in range(_PROCESSES_COUNT):
                self.world.start()
            await self.world.until_owned()
            await sleep_ms(_LOSS_DETECTION_MS)
            self.watcher = asyncio.create_task(self.watch())

        self.run(start())

    @rule(pause_ms=_pauses)
    def advance(self, pause_ms: int) -> None:
        self.run(sleep_ms(pause_ms))

    @rule(numbers=_numbers, pause_ms=_pauses)
    def submit(self, numbers: list[int], pause_ms: int) -> None:
        async def submit() -> None:
            self.submit_to_owners(numbers)
            await sleep_ms(pause_ms)

        self.run(submit())

    @rule(numbers=_numbers, sent_ms=_short_delays, pause_ms=_pauses)
    def pause_owners(
        self,
        numbers: list[int],
        sent_ms: int,
        pause_ms: int,
    ) -> None:
        """Hold the requests of every owner, as if it paused after a check."""

        async def pause() -> None:
            self.submit_to_owners(numbers)
            await sleep_ms(sent_ms)
            paused_processes = self.owners()
            for process in paused_processes:
                process.link.is_held = True
            await sleep_ms(pause_ms)
            for resumed_process in paused_processes:
                resumed_process.link.is_held = False
            await sleep_ms(sent_ms)

        self.run(pause())

    @rule(numbers=_numbers, sent_ms=_short_delays)
    def kill_owners(self, numbers: list[int], sent_ms: int) -> None:
        async def kill() -> None:
            self.submit_to_owners(numbers)
            await sleep_ms(sent_ms)
            for process in self.owners():
                await self.world.kill(process)
                self.world.start()

        self.run(kill())

    @rule(numbers=_numbers, name=_calls, answers=strategies.booleans())
    def lose(self, numbers: list[int], name: str, answers: bool) -> None:
        """Lose a request, or a response after its effect, of each process."""

        async def lose() -> None:
            for process in self.world.processes:
                link = process.link
                counts = link.lost_answers if answers else link.lost_requests
                counts[name] += 1
            self.submit_to_owners(numbers)
            await sleep_ms(_LOSS_DETECTION_MS)

        self.run(lose())

    @rule(numbers=_numbers, pause_ms=_pauses)
    def break_store(self, numbers: list[int], pause_ms: int) -> None:
        async def break_store() -> None:
            self.submit_to_owners(numbers)
            self.world.store.is_down = True
            await sleep_ms(pause_ms)
            self.world.store.is_down = False

        self.run(break_store())

    @rule(index=_indexes)
    def cut_off(self, index: int) -> None:
        """Disconnect one process for longer than its lease."""

        async def cut_off() -> None:
            process = self.world.processes[index]
            process.link.is_cut = True
            await sleep_ms(_LONGEST_PAUSE_MS)
            process.link.is_cut = False

        self.run(cut_off())

    def owners(self) -> list[Process]:
        """Return all processes that act as owner, rightly or not."""
        return [
            process
            for process in self.world.processes
            if process.owner_mailbox() is not None
        ]

    def submit_to_owners(self, numbers: list[int]) -> None:
        """Submit to all processes that act as owner; record accepted jobs.

        Odd numbers are at-most-once jobs.
        """
        specs = [
            spec(
                f'job {number}',
                tuple(Execution)[number % 2],
                urgency=tuple(Urgency)[number % 3 % 2],
                run_time_ms=_RUN_TIME_MS,
            )
            for number in numbers
        ]
        for process in self.owners():
            for job in specs:
                coroutine = self.world.submit_one(process, job)
                submission = asyncio.create_task(coroutine)
                submission.add_done_callback(self._record_answer)
                self.submissions.append(submission)

    @invariant()
    def no_violation_was_recorded(self) -> None:
        """Guards against two owners or two running copies of a task."""
        assert not self.violations, self.violations[:3]

    @invariant()
    def no_order_is_started_twice(self) -> None:
        """Guards against a second start of an at-most-once task."""
        at_most_once = {
            job_id
            for process in self.world.processes
            for job_id in process.at_most_once_jobs()
        }
        for task_id, count in self.world.accepted_starts().items():
            if JobId(task_id.rpartition('/')[0]) in at_most_once:
                assert count == 1, task_id

    def _record_answer(self, submission: asyncio.Task[JobAnswer]) -> None:
        if submission.cancelled() or submission.exception() is not None:
            return
        answer = submission.result()
        if is_accepted(answer):
            self.accepted.add(job_id_of(answer))


class OwnershipMachine(_PartitionMachine):
    """Guards against two owners whose starts are accepted at the same time."""

    @invariant()
    def starts_come_from_rising_epochs(self) -> None:
        """Guards against accepting a late start of a stale owner."""
        for worker in self.world.workers.values():
            epochs = [epoch for _attempt, epoch in worker.accepted]
            assert epochs == sorted(epochs)

    @rule(name=_workers, pause_ms=_pauses)
    def cut_worker(self, name: str, pause_ms: int) -> None:
        async def cut() -> None:
            self.world.workers[name].is_cut = True
            await sleep_ms(pause_ms)
            self.world.workers[name].is_cut = False

        self.run(cut())


class DurabilityMachine(_PartitionMachine):
    """Guards against the loss of an acknowledged job after any crash."""

    @rule(name=_workers)
    def restart_worker(self, name: str) -> None:
        self.world.workers[name].restart()

    def teardown(self) -> None:
        """Check that every accepted job ends once all faults are over."""

        async def recover() -> None:
            await self.clear_faults()
            await sleep_ms(20_000)
            owner = await self.world.until_owned()
            for job_id in sorted(self.accepted):
                answer = await self.world.query(owner, job_id, 60_000)
                assert answer.state in FINAL_STATES, (job_id, answer)

        try:
            self.run(recover())
        finally:
            super().teardown()


class IncarnationMachine(_PartitionMachine):
    """Guards against calls that act in a later incarnation of their worker."""

    @rule(
        numbers=_some_numbers,
        late_ms=_pauses,
        down_ms=_short_delays,
        cut_ms=_pauses,
    )
    def delay_across_restart(
        self, numbers: list[int], late_ms: int, down_ms: int, cut_ms: int
    ) -> None:
        """Deliver starts and renewals to restarted workers, then cut these."""

        async def delay() -> None:
            for process in self.world.processes:
                process.link.late_by_ms = late_ms
                for name in ('start', 'exchange'):
                    process.link.late_requests[name] += 2
            self.submit_to_owners(numbers)
            await sleep_ms(_WATCH_INTERVAL_MS + down_ms)
            for worker in self.world.workers.values():
                worker.restart()
            await sleep_ms(late_ms)
            self.world.workers['w1'].is_cut = True
            await sleep_ms(cut_ms)
            self.world.workers['w1'].is_cut = False

        self.run(delay())

    async def watch(self) -> None:
        await asyncio.gather(super().watch(), self.watch_unknown_jobs())

    async def watch_unknown_jobs(self) -> None:
        """Check that no task runs after its job has ended as unknown.

        Only the present owner's state counts: one that was replaced may take
        leases as expired that its successor renews, and nothing of this state
        is durable or answered.
        """
        while True:
            await sleep_ms(_WATCH_INTERVAL_MS)
            unknown = {
                job.job_id
                for process in self.world.processes
                if process.owns()
                for job in process.jobs()
                if job.state is JobState.UNKNOWN
            }
            for task_id in self.world.running_copies():
                if job_of(task_id) in unknown:
                    self.violations.append(f'{task_id} runs after its end')


OwnershipMachine.TestCase.settings = _SETTINGS
DurabilityMachine.TestCase.settings = _SETTINGS
IncarnationMachine.TestCase.settings = _SETTINGS
TestOwnership = OwnershipMachine.TestCase
TestDurability = DurabilityMachine.TestCase
TestIncarnation = IncarnationMachine.TestCase
