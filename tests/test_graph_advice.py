"""Asks for advice: when they are made, and through which process."""

import asyncio
from typing import Any

from returns.result import Failure, Result, Success

from fuchsiarill.actor import Mailbox
from fuchsiarill.clock import run_paused, sleep_ms
from fuchsiarill.cluster.peer_port import PeerFailure
from fuchsiarill.graphs.advice import AdviceRequest, Advisor
from fuchsiarill.graphs.effects import RequestAdvice
from fuchsiarill.graphs.model import (
    BornMs,
    EndKind,
    Step,
    StepKey,
    Ticket,
)
from fuchsiarill.graphs.owner_messages import AdviceAnswered
from fuchsiarill.graphs.peer_links import PeerLinks
from fuchsiarill.graphs.ports import BusyTrackingAdvisor
from fuchsiarill.ids import JobId, ProcessId, WorkerId
from fuchsiarill.ports.agents import AgentFailure
from tests.graph_owner import (
    ADVISED,
    CAPACITY,
    SIZE,
    Owner,
    ended,
    running,
    task,
)

W0 = WorkerId('w0')
GRANT = {W0: Ticket('t')}
LIVES = {W0: BornMs(1)}
STEP = StepKey(JobId('a'), 0, 0)
_VALID_MS = 60_000
_LOST_MS = 30_000


def asks(owner: Owner) -> list[RequestAdvice]:
    """Decide and return the asks."""
    return [one for one in owner.decide() if isinstance(one, RequestAdvice)]


def grant(
    owner: Owner,
    step: StepKey = STEP,
    valid_ms: int = _VALID_MS,
) -> None:
    """Let the advice service allow the worker."""
    owner.core.advice_received(step, LIVES, GRANT, owner.now_ms + valid_ms)


def test_lost_answer_does_not_end_the_asking() -> None:
    """Guards against a step that waits for ever for an answer."""
    owner = Owner('w0')
    owner.report('w0')
    owner.add_job('a', Step(1, SIZE), queue=ADVISED)
    assert len(asks(owner)) == 1
    assert not asks(owner)
    owner.now_ms += _LOST_MS
    owner.report('w0')
    assert len(asks(owner)) == 1


def test_answer_about_a_former_life_says_nothing() -> None:
    """Guards against a worker that is excluded by the life before."""
    owner = Owner('w0')
    owner.report('w0')
    owner.add_job('a', Step(1, SIZE), queue=ADVISED)
    assert len(asks(owner)) == 1
    owner.report('w0', born_ms=9)
    owner.core.advice_received(STEP, LIVES, {}, owner.now_ms + _VALID_MS)
    assert len(asks(owner)) == 1


def test_preempted_task_starts_again_on_its_only_worker() -> None:
    """Guards against a task that is lost after it was preempted."""
    owner = Owner('w0')
    owner.report('w0')
    saving = Step(1, SIZE, estimate_ms=60000, is_checkpointing=True)
    owner.add_job('a', saving, queue=ADVISED)
    assert len(asks(owner)) == 1
    grant(owner)
    assert len(owner.starts()) == 1
    owner.report('w0', (running(task('a')),))
    owner.report('w0', (), (ended(task('a'), kind=EndKind.STOPPED),))
    assert [one.attempt for one in owner.starts()] == [2]


def test_room_is_kept_while_tickets_are_asked_for() -> None:
    """Guards against a later step that takes the room, again and again.

    The earlier step has to renew its ticket while the later one holds one by
    chance.
    """
    owner = Owner('w0')
    owner.report('w0')
    owner.add_job('a', Step(2, CAPACITY, estimate_ms=100), queue=ADVISED)
    asks(owner)
    grant(owner, valid_ms=500)
    assert len(owner.starts()) == 1
    owner.now_ms += 600
    owner.report('w0', (running(task('a')),))
    owner.add_job('b', Step(1, SIZE), queue=ADVISED)
    assert {one.step.job for one in asks(owner)} == {'a', 'b'}
    grant(owner, StepKey(JobId('b'), 0, 0))
    owner.report('w0', (), (ended(task('a')),))
    assert not owner.starts()
    grant(owner)
    assert [one.task.job for one in owner.starts()] == ['a']


class _Service:
    """An advice service that answers after a while."""

    def __init__(self) -> None:
        self.calls_count = 0

    async def advise(
        self,
        step: StepKey,
        workers: tuple[WorkerId, ...],
        timeout_ms: int,
    ) -> Result[dict[WorkerId, Ticket], AgentFailure]:
        self.calls_count += 1
        await sleep_ms(100)
        return Success(dict(GRANT))


class _Links(PeerLinks):
    """Links to processes that answer as a test says."""

    def __init__(self, *processes: str, is_failing: bool = False) -> None:
        super().__init__()
        self._names = tuple(ProcessId(name) for name in processes)
        self._is_failing = is_failing

    @property
    def processes(self) -> tuple[ProcessId, ...]:
        return self._names

    async def call(
        self,
        process: ProcessId,
        method: str,
        request: dict[str, Any],
        timeout_ms: int,
    ) -> Result[Any, PeerFailure]:
        await sleep_ms(10)
        if self._is_failing:
            raise ValueError(method)
        return Failure(PeerFailure.NO_ANSWER)


def ask_once(
    links: PeerLinks,
    port: BusyTrackingAdvisor,
    receiver: Mailbox,
) -> Advisor:
    """Start an advisor that is asked once."""
    advisor = Advisor(ProcessId('p0'), port, links, 1000)
    advisor.start()
    advisor.mailbox.send(
        AdviceRequest(
            RequestAdvice(STEP, (W0,), 0), LIVES, receiver, lambda: True
        ),
    )
    return advisor


def test_ask_waits_until_the_own_process_is_free() -> None:
    """Guards against an ask that is forgotten while no lane is free.

    Another process asks through this one, and there are no peers to go to.
    """

    async def main() -> None:
        port = BusyTrackingAdvisor(_Service())
        other = asyncio.create_task(port.advise(STEP, (W0,), 1000))
        await sleep_ms(10)
        receiver = Mailbox()
        advisor = ask_once(_Links(), port, receiver)
        await other
        async with asyncio.timeout(2):
            assert await receiver.receive() == AdviceAnswered(
                STEP, LIVES, GRANT
            )
        await advisor.stop()

    run_paused(main())


def test_lane_that_fails_is_used_again() -> None:
    """Guards against an ask, and its lane, lost with an unforeseen error."""

    async def main() -> None:
        receiver = Mailbox()
        service = _Service()
        port = BusyTrackingAdvisor(service)
        links = _Links('p1', is_failing=True)
        other = asyncio.create_task(port.advise(STEP, (W0,), 1000))
        await sleep_ms(10)
        advisor = ask_once(links, port, receiver)
        async with asyncio.timeout(2):
            assert await receiver.receive() == AdviceAnswered(STEP, LIVES, None)
        await other
        assert advisor.snapshot()['busy_lanes_count'] == 0
        await advisor.stop()

    run_paused(main())
