"""Requests for advice: when they are sent, and through which process."""

import asyncio
from types import SimpleNamespace
from typing import Any

from returns.result import Failure, Result, Success

from fuchsiarill.actor import Mailbox
from fuchsiarill.clock import run_paused, sleep_ms
from fuchsiarill.cluster.peer_port import PeerFailure
from fuchsiarill.graphs.advice import AdviceRequest, Advisor
from fuchsiarill.graphs.advice_requests import choose_workers
from fuchsiarill.graphs.effects import RequestAdvice
from fuchsiarill.graphs.model import (
    AdvicePolicy,
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
INCARNATIONS = {W0: BornMs(1)}
STEP = StepKey(JobId('a'), 0, 0)
_VALID_MS = 60_000
_AFTER_ANSWER_TIMEOUT_MS = 30_000


def advice_requests(owner: Owner) -> list[RequestAdvice]:
    """Decide and return the requests for advice."""
    return [
        effect for effect in owner.decide() if isinstance(effect, RequestAdvice)
    ]


def named_workers(owner: Owner, request: RequestAdvice) -> set[WorkerId]:
    """Return the workers that a call for the request names now."""
    return set(choose_workers(owner.core.state, request.step, owner.now_ms))


def grant(
    owner: Owner,
    step: StepKey = STEP,
    valid_ms: int = _VALID_MS,
) -> None:
    """Grant `W0` a ticket for a step."""
    owner.core.advice_received(
        step, INCARNATIONS, GRANT, owner.now_ms + valid_ms, owner.now_ms
    )


def test_request_is_repeated_after_a_lost_answer() -> None:
    """Guards against a step that waits forever for a lost answer."""
    owner = Owner('w0')
    owner.report('w0')
    owner.add_job('a', Step(1, SIZE), queue=ADVISED)
    assert len(advice_requests(owner)) == 1
    assert not advice_requests(owner)
    owner.now_ms += _AFTER_ANSWER_TIMEOUT_MS
    owner.report('w0')
    assert len(advice_requests(owner)) == 1


def test_answer_for_an_earlier_incarnation_is_ignored() -> None:
    """Guards against an outdated answer that denies a restarted worker."""
    owner = Owner('w0')
    owner.report('w0')
    owner.add_job('a', Step(1, SIZE), queue=ADVISED)
    assert len(advice_requests(owner)) == 1
    owner.report('w0', born_ms=9)
    owner.core.advice_received(
        STEP, INCARNATIONS, {}, owner.now_ms + _VALID_MS, owner.now_ms
    )
    assert len(advice_requests(owner)) == 1


def test_preempted_task_starts_again_on_its_only_worker() -> None:
    """Guards against a task that never starts again after a preemption.

    The ticket of the worker is still valid, so no new request is needed.
    """
    owner = Owner('w0')
    owner.report('w0')
    checkpointing_step = Step(1, SIZE, estimate_ms=60000, is_checkpointing=True)
    owner.add_job('a', checkpointing_step, queue=ADVISED)
    assert len(advice_requests(owner)) == 1
    grant(owner)
    assert len(owner.starts()) == 1
    owner.report('w0', (running(task('a')),))
    owner.report('w0', (), (ended(task('a'), kind=EndKind.STOPPED),))
    assert [start.attempt for start in owner.starts()] == [2]


def test_capacity_is_kept_while_tickets_are_requested() -> None:
    """Guards against a later step that takes the capacity of an earlier one.

    The ticket of the earlier step has expired, while the later step holds a
    valid ticket.
    """
    owner = Owner('w0')
    owner.report('w0')
    owner.add_job('a', Step(2, CAPACITY, estimate_ms=100), queue=ADVISED)
    advice_requests(owner)
    grant(owner, valid_ms=500)
    assert len(owner.starts()) == 1
    owner.now_ms += 600
    owner.report('w0', (running(task('a')),))
    owner.add_job('b', Step(1, SIZE), queue=ADVISED)
    assert {request.step.job for request in advice_requests(owner)} == {
        'a',
        'b',
    }
    grant(owner, StepKey(JobId('b'), 0, 0))
    owner.report('w0', (), (ended(task('a')),))
    assert not owner.starts()
    grant(owner)
    assert [start.task.job for start in owner.starts()] == ['a']


class _Service:
    """An advice service that answers after 100 ms."""

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
    """Links to processes that do not answer, or raise if `is_failing`."""

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


class _RefusedLinks(_Links):
    """Links to processes whose calls the service refuses at once."""

    def __init__(self, *processes: str) -> None:
        super().__init__(*processes)
        self.refusals_count = 0

    async def call(
        self,
        process: ProcessId,
        method: str,
        request: dict[str, Any],
        timeout_ms: int,
    ) -> Result[Any, PeerFailure]:
        self.refusals_count += 1
        await sleep_ms(10)
        return Success(SimpleNamespace(answered=False, isBusy=False))


class _SilentLinks(_Links):
    """Links to processes that answer after 5 s, as frozen ones do."""

    async def call(
        self,
        process: ProcessId,
        method: str,
        request: dict[str, Any],
        timeout_ms: int,
    ) -> Result[Any, PeerFailure]:
        await sleep_ms(5000)
        return Failure(PeerFailure.NO_ANSWER)


def start_with_request(
    links: PeerLinks,
    port: BusyTrackingAdvisor,
    receiver: Mailbox,
) -> Advisor:
    """Start an advisor and send it one request."""
    advisor = Advisor(ProcessId('p0'), port, links, 1000)
    advisor.start()
    advisor.mailbox.send(
        AdviceRequest(
            RequestAdvice(STEP, 0),
            AdvicePolicy(100, 0, 2000),
            receiver,
            lambda: INCARNATIONS,
        ),
    )
    return advisor


def test_request_waits_until_the_local_route_is_free() -> None:
    """Guards against a request that is lost while no route is free.

    Another process calls the service through this one, and there are no peers.
    """

    async def main() -> None:
        port = BusyTrackingAdvisor(_Service())
        other_call = asyncio.create_task(port.advise(STEP, (W0,), 1000))
        await sleep_ms(10)
        receiver = Mailbox()
        advisor = start_with_request(_Links(), port, receiver)
        await other_call
        async with asyncio.timeout(2):
            assert await receiver.receive() == AdviceAnswered(
                STEP, INCARNATIONS, GRANT
            )
        await advisor.stop()

    run_paused(main())


def test_route_is_released_after_an_unexpected_error() -> None:
    """Guards against an unexpected error that loses a request and its route."""

    async def main() -> None:
        receiver = Mailbox()
        service = _Service()
        port = BusyTrackingAdvisor(service)
        links = _Links('p1', is_failing=True)
        other_call = asyncio.create_task(port.advise(STEP, (W0,), 1000))
        await sleep_ms(10)
        advisor = start_with_request(links, port, receiver)
        async with asyncio.timeout(2):
            assert await receiver.receive() == AdviceAnswered(
                STEP, INCARNATIONS, None
            )
        await other_call
        assert advisor.snapshot()['busy_lanes_count'] == 0
        await advisor.stop()

    run_paused(main())


def test_request_through_a_silent_process_is_sent_through_another() -> None:
    """Guards against urgent steps that wait seconds for a frozen process."""

    async def main() -> None:
        port = BusyTrackingAdvisor(_Service())
        other_call = asyncio.create_task(port.advise(STEP, (W0,), 1000))
        await sleep_ms(10)
        receiver = Mailbox()
        advisor = start_with_request(_SilentLinks('p1'), port, receiver)
        await other_call
        async with asyncio.timeout(2):
            assert await receiver.receive() == AdviceAnswered(
                STEP, INCARNATIONS, GRANT
            )
        await sleep_ms(6000)
        assert not len(receiver)
        await advisor.stop()

    run_paused(main())


def test_refused_calls_through_a_process_are_spaced() -> None:
    """Guards against calls that follow each other at once while all fail.

    The service refuses calls while too many of other processes wait. Each call
    costs time of both processes, and the owner chooses the workers anew.
    """

    async def main() -> None:
        port = BusyTrackingAdvisor(_Service())
        links = _RefusedLinks('p1')
        other_calls = asyncio.create_task(_call_in_turn(port, 10))
        await sleep_ms(10)
        receiver = Mailbox()
        advisor = start_with_request(links, port, receiver)
        await sleep_ms(900)
        assert 5 <= links.refusals_count <= 20
        await other_calls
        await advisor.stop()

    run_paused(main())


async def _call_in_turn(port: BusyTrackingAdvisor, count: int) -> None:
    for _ in range(count):
        await port.advise(STEP, (W0,), 1000)


def test_advice_for_the_next_step_is_requested_early() -> None:
    """Guards against a chain that waits for advice at each of its steps.

    On the large site the second step of a quote waited 1.7 s at the median.
    """
    owner = Owner('w0')
    owner.report('w0')
    step = Step(1, SIZE, estimate_ms=800)
    later = Step(1, SIZE, estimate_ms=800, after=(0,))
    owner.add_job('a', step, later, queue=ADVISED)
    assert len(advice_requests(owner)) == 1
    grant(owner)
    assert len(owner.starts()) == 1
    assert not advice_requests(owner)
    owner.now_ms += 600
    request = advice_requests(owner)[0]
    assert request.step == StepKey(JobId('a'), 0, 1)
    grant(owner, request.step)
    assert not advice_requests(owner)
    owner.report('w0', ended=(ended(task('a')),))
    start = owner.starts()[0]
    assert start.task == task('a', step=1)
    assert start.ticket == 't'


def test_early_advice_starts_no_step_early() -> None:
    """Guards against a step that starts before its predecessors have ended."""
    owner = Owner('w0')
    owner.report('w0')
    owner.add_job(
        'a',
        Step(2, SIZE, estimate_ms=100),
        Step(1, SIZE, after=(0,)),
        queue=ADVISED,
    )
    owner.decide()
    grant(owner)
    assert len(owner.starts()) == 2
    owner.decide()
    grant(owner, StepKey(JobId('a'), 0, 1))
    owner.report('w0', ended=(ended(task('a')),))
    assert not owner.starts()


def test_request_names_workers_with_room() -> None:
    """Guards against new workers that stay idle while jobs wait for others.

    The request named the first hundred workers of the table, which were full,
    and a worker that is added comes last in it.
    """
    names = [f'w{number:03}' for number in range(120)]
    owner = Owner(*names)
    for name in names[:110]:
        owner.report(name)
    owner.add_job('full', Step(220, SIZE))
    assert len(owner.starts()) == 220
    for name in names[110:]:
        owner.report(name)
    owner.add_job('a', Step(1, SIZE), queue=ADVISED)
    named = named_workers(owner, advice_requests(owner)[0])
    assert set(names[110:]) <= named
    assert len(named) <= 30


def test_requests_of_steps_name_different_workers() -> None:
    """Guards against steps that compete for the same few workers."""
    names = [f'w{number:03}' for number in range(120)]
    owner = Owner(*names)
    for name in names:
        owner.report(name)
    for number in range(20):
        owner.add_job(f'job-{number}', Step(1, SIZE), queue=ADVISED)
    requests = advice_requests(owner)
    named = {
        worker
        for request in requests
        for worker in named_workers(owner, request)
    }
    assert len(named) > 100


def test_inherited_step_gets_tickets_before_it_may_start() -> None:
    """Guards against a request that is sent only when the step may start.

    A lasting task of a lost worker then waited for the task leases of that
    worker and after it for the advice service.
    """
    owner = Owner('w0', 'w1', term=2)
    for name in ('w0', 'w1'):
        owner.core.add_inherited_worker(WorkerId(name), f'{name}:1', 9000)
    lasting = Step(1, SIZE, is_lasting=True)
    owner.add_job('a', lasting, queue=ADVISED, is_inherited=True)
    owner.report('w0')
    assert not advice_requests(owner)
    owner.now_ms = 8500
    owner.core.renewal_sent(W0, owner.now_ms)
    owner.report('w0')
    requests = advice_requests(owner)
    assert [named_workers(owner, request) for request in requests] == [{W0}]
    assert not advice_requests(owner)
    grant(owner)
    owner.now_ms = 8980
    assert not owner.decide()
    owner.now_ms = 9000
    assert [start.task.job for start in owner.starts()] == ['a']
