"""State machines over processes that pause, die and lose what they send.

Both run in paused time and without random input of their own, so that a
failure has the same course at each run.
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
from fuchsiarill.ids import JobId
from fuchsiarill.job import Execution, Urgency
from fuchsiarill.owner.job_replies import FINAL_STATES
from tests.builders import cell, spec
from tests.world import Process, World, is_accepted, job_id_of

_PROCESSES_COUNT = 3
_LONGEST_PAUSE_MS = 7_000
_SETTINGS = settings(
    max_examples=25,
    stateful_step_count=15,
    deadline=None,
    derandomize=True,
    # A shorter course takes minutes to find; the first one found will do.
    phases=(Phase.generate,),
)

_LOSS_MS = 1_500
_RUN_TIME_MS = 6_000
_WATCH_INTERVAL_MS = 50

_numbers = strategies.lists(strategies.integers(0, 40), max_size=4)
_pauses = strategies.integers(1, _LONGEST_PAUSE_MS)
_workers = strategies.sampled_from(('w1', 'w2'))
_moments = strategies.sampled_from((0, 1, 2, 3, 5, 12))
_indexes = strategies.integers(0, _PROCESSES_COUNT - 1)
_calls = strategies.sampled_from(('get', 'swap', 'lease', 'start', 'exchange'))


class _Machine(RuleBasedStateMachine):
    """Rules that all machines share."""

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
        """Note what must not be at any time, also within a rule."""
        while True:
            await sleep_ms(_WATCH_INTERVAL_MS)
            owning = [one.name for one in self.world.processes if one.owns()]
            if len(owning) > 1:
                self.violations.append(f'several own: {owning}')
            for task_id, count in self.world.running_copies().items():
                if count > 1:
                    self.violations.append(f'{count} copies of {task_id}')

    async def heal(self) -> None:
        """End all faults."""
        for process in self.world.processes:
            process.line.lost_answers.clear()
            process.line.lost_requests.clear()

    @initialize()
    def begin(self) -> None:
        async def start() -> None:
            for _ in range(_PROCESSES_COUNT):
                self.world.start()
            await self.world.until_owned()
            await sleep_ms(_LOSS_MS)
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

    @rule(numbers=_numbers, sent_ms=_moments, pause_ms=_pauses)
    def pause_owners(
        self,
        numbers: list[int],
        sent_ms: int,
        pause_ms: int,
    ) -> None:
        """Pause every owner after its last check; what it sent comes late."""

        async def pause() -> None:
            self.submit_to_owners(numbers)
            await sleep_ms(sent_ms)
            paused = self.owners()
            for process in paused:
                process.line.is_held = True
            await sleep_ms(pause_ms)
            for resumed in paused:
                resumed.line.is_held = False
            await sleep_ms(sent_ms)

        self.run(pause())

    @rule(numbers=_numbers, sent_ms=_moments)
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
        """Lose a request, or an answer after its effect, of each owner."""

        async def lose() -> None:
            for process in self.world.processes:
                line = process.line
                counts = line.lost_answers if answers else line.lost_requests
                counts[name] += 1
            self.submit_to_owners(numbers)
            await sleep_ms(_LOSS_MS)

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
        """Cut one process off for longer than its lease."""

        async def cut_off() -> None:
            process = self.world.processes[index]
            process.line.is_cut = True
            await sleep_ms(_LONGEST_PAUSE_MS)
            process.line.is_cut = False

        self.run(cut_off())

    def owners(self) -> list[Process]:
        """Return all that serve, be it by mistake."""
        return [
            process
            for process in self.world.processes
            if process.owner_mailbox() is not None
        ]

    def submit_to_owners(self, numbers: list[int]) -> None:
        """Submit to all that serve, and note what they promise.

        Odd numbers are non-idempotent orders.
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
                asking = self.world.submit_one(process, job)
                submission = asyncio.create_task(asking)
                submission.add_done_callback(self._note_answer)
                self.submissions.append(submission)

    @invariant()
    def nothing_was_noted(self) -> None:
        assert not self.violations, self.violations[:3]

    @invariant()
    def no_order_is_placed_twice(self) -> None:
        """A non-idempotent task is never started a second time."""
        at_most_once = {
            job_id
            for process in self.world.processes
            for job_id in process.at_most_once_jobs()
        }
        for task_id, count in self.world.accepted_starts().items():
            if JobId(task_id.rpartition('/')[0]) in at_most_once:
                assert count == 1, task_id

    def _note_answer(self, submission: asyncio.Task[JobAnswer]) -> None:
        if submission.cancelled() or submission.exception() is not None:
            return
        answer = submission.result()
        if is_accepted(answer):
            self.accepted.add(job_id_of(answer))


class OwnershipMachine(_Machine):
    """Never two owners whose starts a worker takes at the same time."""

    @invariant()
    def starts_come_from_rising_epochs(self) -> None:
        """The late start of a stale owner is refused."""
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


class DurabilityMachine(_Machine):
    """An acknowledged job survives, whatever dies."""

    @rule(name=_workers)
    def restart_worker(self, name: str) -> None:
        self.world.workers[name].restart()

    def teardown(self) -> None:
        """After all faults every accepted job comes to its end."""

        async def recover() -> None:
            await self.heal()
            await sleep_ms(20_000)
            owner = await self.world.until_owned()
            for job_id in sorted(self.accepted):
                answer = await self.world.ask(owner, job_id, 60_000)
                assert answer.state in FINAL_STATES, (job_id, answer)

        try:
            self.run(recover())
        finally:
            super().teardown()


OwnershipMachine.TestCase.settings = _SETTINGS
DurabilityMachine.TestCase.settings = _SETTINGS
TestOwnership = OwnershipMachine.TestCase
TestDurability = DurabilityMachine.TestCase
