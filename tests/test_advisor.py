"""Calls of the advice service: through which process, and how often."""

import asyncio
from types import SimpleNamespace
from typing import Any

from returns.result import Failure, Result, Success

from fuchsiarill import events, graph_events
from fuchsiarill.actor import Mailbox
from fuchsiarill.clock import now_ms, run_paused, sleep_ms
from fuchsiarill.cluster.peer_port import PeerFailure
from fuchsiarill.graphs.advice import AdviceRequest, Advisor, OwnerStopped
from fuchsiarill.graphs.effects import RequestAdvice
from fuchsiarill.graphs.model import AdvicePolicy, StepKey, Ticket
from fuchsiarill.graphs.owner_messages import (
    AdviceAnswered,
    ChooseAdvisedWorkers,
)
from fuchsiarill.graphs.peer_links import PeerLinks
from fuchsiarill.graphs.ports import BusyTrackingAdvisor
from fuchsiarill.ids import JobId, ProcessId, WorkerId
from fuchsiarill.log_event import LogEvent
from fuchsiarill.ports.agents import AgentFailure
from tests.advised_owner import GRANT, INCARNATIONS, STEP, W0

_POLICY = AdvicePolicy(100, 0, 2000)


class _OwnerMailbox(Mailbox):
    """Mailbox of an owner that names the same worker in each call."""

    def send(self, message: object) -> bool:
        if isinstance(message, ChooseAdvisedWorkers):
            message.reply.answer(INCARNATIONS)
            return True
        return super().send(message)


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
    advisor.mailbox.send(_request(receiver))
    return advisor


def _request(owner: Mailbox) -> AdviceRequest:
    return AdviceRequest(RequestAdvice(STEP, 0), _POLICY, owner)


def test_request_waits_until_the_local_route_is_free() -> None:
    """Guards against a request that is lost while no route is free.

    Another process calls the service through this one, and there are no peers.
    """

    async def main() -> None:
        port = BusyTrackingAdvisor(_Service())
        other_call = asyncio.create_task(port.advise(STEP, (W0,), 1000))
        await sleep_ms(10)
        receiver = _OwnerMailbox()
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
        receiver = _OwnerMailbox()
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
        receiver = _OwnerMailbox()
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
        receiver = _OwnerMailbox()
        advisor = start_with_request(links, port, receiver)
        await sleep_ms(900)
        assert 5 <= links.refusals_count <= 20
        await other_calls
        await advisor.stop()

    run_paused(main())


async def _call_in_turn(port: BusyTrackingAdvisor, count: int) -> None:
    for _ in range(count):
        await port.advise(STEP, (W0,), 1000)


def test_requests_of_a_stopped_owner_hold_up_no_other() -> None:
    """Guards against a new owner that waits for the requests of the former."""

    async def main() -> None:
        port = BusyTrackingAdvisor(_Service())
        former_owner = Mailbox()
        advisor = start_with_request(_Links(), port, former_owner)
        for _ in range(20):
            advisor.mailbox.send(_request(former_owner))
        advisor.mailbox.send(OwnerStopped(former_owner))
        receiver = _OwnerMailbox()
        advisor.mailbox.send(_request(receiver))
        async with asyncio.timeout(2):
            assert await receiver.receive() == AdviceAnswered(
                STEP, INCARNATIONS, GRANT
            )
        await advisor.stop()

    run_paused(main())


def test_long_wait_for_a_call_is_logged(monkeypatch: Any) -> None:
    """Guards against steps that wait for advice while no line tells why."""
    lines: list[dict[str, Any]] = []

    def emit(event: LogEvent, **fields: Any) -> None:
        if event is graph_events.ADVICE_QUEUED:
            event.template.format(**fields)
            lines.append(fields)

    async def main() -> None:
        port = BusyTrackingAdvisor(_Service())
        other_calls = asyncio.create_task(_call_in_turn(port, 40))
        await sleep_ms(10)
        advisor = start_with_request(_Links(), port, _OwnerMailbox())
        await other_calls
        await sleep_ms(2000)
        await advisor.stop()

    monkeypatch.setattr(events, 'emit', emit)
    run_paused(main())
    assert [line['job'] for line in lines] == [JobId('a'), JobId('a')]
    assert lines[0]['waited_ms'] >= 2000
    assert [lines[0][name] for name in ('calls', 'others')] == [0, 1]


def test_due_request_goes_before_more_urgent_ones() -> None:
    """Guards against a lasting task that waits as long as others ask first.

    On frostwick-rill-grown, 500 requests of a more urgent queue went first, and
    lasting tasks lost with their workers did not run again for 20 s.
    """

    async def main() -> None:
        port = BusyTrackingAdvisor(_Service())
        urgent_owner = _OwnerMailbox()
        advisor = start_with_request(_Links(), port, urgent_owner)
        receiver = _OwnerMailbox()
        started_ms = now_ms()
        lasting = RequestAdvice(STEP, rank_ms=1, due_ms=started_ms + 1000)
        advisor.mailbox.send(AdviceRequest(lasting, _POLICY, receiver))
        for _ in range(30):
            advisor.mailbox.send(_request(urgent_owner))
            advisor.mailbox.send(_request(urgent_owner))
            await sleep_ms(100)
            if len(receiver):
                break
        # Due after 1000 ms; the call before it and its own take 100 ms each.
        assert 1000 <= now_ms() - started_ms <= 1300
        await advisor.stop()

    run_paused(main())


def test_request_that_is_not_due_keeps_its_rank() -> None:
    """Guards against lasting tasks that delay urgent ones without need."""

    async def main() -> None:
        port = BusyTrackingAdvisor(_Service())
        urgent_owner = _OwnerMailbox()
        advisor = start_with_request(_Links(), port, urgent_owner)
        receiver = _OwnerMailbox()
        lasting = RequestAdvice(STEP, rank_ms=1, due_ms=now_ms() + 1000)
        advisor.mailbox.send(AdviceRequest(lasting, _POLICY, receiver))
        advisor.mailbox.send(_request(urgent_owner))
        await sleep_ms(250)
        assert len(urgent_owner) == 2
        assert not len(receiver)
        await sleep_ms(100)
        assert len(receiver) == 1
        await sleep_ms(1000)
        # The request is not handled again when it would have become due.
        assert len(receiver) == 1
        await advisor.stop()

    run_paused(main())
