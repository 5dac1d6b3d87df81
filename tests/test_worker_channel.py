"""Renewals and starts that the channel to a worker sends, in paused time."""

from dataclasses import dataclass, field
from typing import Final, TypeVar

import pytest
from returns.result import Failure, Result, Success

from fuchsiarill import events, graph_events
from fuchsiarill.actor import Mailbox
from fuchsiarill.clock import now_ms, run_paused, sleep_ms
from fuchsiarill.graphs.effects import (
    FenceIncarnation,
    RequestReport,
    StartRun,
    StopRun,
)
from fuchsiarill.graphs.fencing import FencingTokenSource
from fuchsiarill.graphs.lease_guard import LeaseGuard
from fuchsiarill.graphs.model import (
    NO_CHECKPOINT,
    BornMs,
    EndSequence,
    StartOrder,
    WorkerReport,
)
from fuchsiarill.graphs.owner_messages import (
    OwnershipLost,
    RunEndsDurable,
    StartAnswered,
    WorkerReported,
)
from fuchsiarill.graphs.settings import TaskLeaseSettings
from fuchsiarill.graphs.worker_channel import ChannelContext, WorkerChannel
from fuchsiarill.ids import (
    NO_TOKEN,
    TOKENS_PER_EPOCH,
    Epoch,
    FencingToken,
    WorkerId,
)
from fuchsiarill.ports.agents import (
    AgentAddress,
    AgentFailure,
    PaceOrder,
    RenewalOrder,
    StopOrder,
)
from tests.graph_cell import settings_of
from tests.graph_owner import ended, task

_WORKER: Final = WorkerId('w0')
_FOREVER_MS: Final = 10**9
_DELAY_MS: Final = 5

_Message = TypeVar('_Message')


@dataclass(slots=True)
class _ScriptedAgent:
    """An agent whose incarnation, clock and lost answers a test sets."""

    born_ms: BornMs = BornMs(1)
    started_ms: int = 0
    # Clock rate of the worker relative to the runtime clock.
    clock_rate: float = 1.0
    ends_count: int = 0
    ends_page_count: int = 500
    reports_count: int = 0
    loses_start_answers: bool = False
    token: FencingToken = NO_TOKEN
    discarded_end: int = 0
    loses_reports: bool = False
    renewals: list[tuple[int, RenewalOrder]] = field(default_factory=list)

    def clock_ms(self) -> int:
        """Return the time since the start of the incarnation."""
        return int((now_ms() - self.started_ms) * self.clock_rate)

    def restart(self) -> None:
        """Begin an incarnation without run ends."""
        self.born_ms = BornMs(self.born_ms + 1)
        self.started_ms = now_ms()
        self.ends_count = 0
        self.discarded_end = 0
        self.token = NO_TOKEN

    async def start(
        self, agent: AgentAddress, order: StartOrder, timeout_ms: int
    ) -> Result[int, AgentFailure]:
        """Execute a start."""
        await sleep_ms(_DELAY_MS)
        if order.token < self.token:
            return Failure(AgentFailure.FENCED)
        if self.loses_start_answers:
            await sleep_ms(timeout_ms)
            return Failure(AgentFailure.UNKNOWN)
        return Success(self.clock_ms())

    async def stop(
        self, agent: AgentAddress, order: StopOrder, timeout_ms: int
    ) -> Result[int, AgentFailure]:
        """Execute a stop."""
        return Success(self.clock_ms())

    async def pace(
        self, agent: AgentAddress, order: PaceOrder, timeout_ms: int
    ) -> Result[int, AgentFailure]:
        """Execute a change of pace."""
        return Success(self.clock_ms())

    async def renew(
        self, agent: AgentAddress, order: RenewalOrder, timeout_ms: int
    ) -> Result[WorkerReport, AgentFailure]:
        """Answer after `wait_ms` with all ends that are not acknowledged."""
        self.renewals.append((now_ms(), order))
        await sleep_ms(_DELAY_MS + order.wait_ms)
        if order.token < self.token:
            return Failure(AgentFailure.FENCED)
        self.token = order.token
        if self.loses_reports:
            return Failure(AgentFailure.UNKNOWN)
        self.reports_count += 1
        self.discarded_end = max(self.discarded_end, order.acknowledged)
        rows = tuple(
            ended(task('a', position=sequence), sequence)
            for sequence in range(self.discarded_end + 1, self.ends_count + 1)
        )
        page = rows[: self.ends_page_count]
        report = WorkerReport(
            self.clock_ms(),
            self.born_ms,
            (),
            page,
            has_more_ends=len(rows) >= self.ends_page_count,
        )
        return Success(report)


def _open_channel(
    agent: _ScriptedAgent,
    guard: LeaseGuard | None = None,
    owner: Mailbox | None = None,
    tokens: FencingTokenSource | None = None,
) -> WorkerChannel:
    context = ChannelContext(
        settings_of('p0'),
        agent,
        tokens or FencingTokenSource(Epoch(1)),
        guard or LeaseGuard(_FOREVER_MS),
        Mailbox() if owner is None else owner,
    )
    channel = WorkerChannel(AgentAddress(_WORKER, 'w0:1'), context)
    channel.start()
    return channel


def _start_order() -> StartRun:
    return StartRun(_WORKER, task('b'), 1, '', NO_CHECKPOINT, None)


def test_slow_clock_does_not_lengthen_leases() -> None:
    """Guards against leases that outlast the time the owner waits for them.

    A worker's clock may be 2% slow, so an offset computed a minute ago is over
    a second too large.
    """

    async def scenario() -> None:
        leases = TaskLeaseSettings()
        agent = _ScriptedAgent(clock_rate=1 - leases.clock_slowness)
        channel = _open_channel(agent)
        await sleep_ms(60_000)
        await channel.stop()
        for sent_ms, order in agent.renewals:
            if order.expiry_ms is None:
                continue
            expires_ms = order.expiry_ms / agent.clock_rate
            assert expires_ms - sent_ms <= leases.longest_ms - leases.wake_ms

    run_paused(scenario())


async def _wait_for_report(agent: _ScriptedAgent) -> None:
    reports_count = agent.reports_count
    while agent.reports_count == reports_count:
        await sleep_ms(1)
    await sleep_ms(1)


async def _make_first_end_durable(
    agent: _ScriptedAgent, channel: WorkerChannel
) -> None:
    await sleep_ms(2500)
    agent.ends_count = 1
    await sleep_ms(1200)
    channel.mailbox.send(RunEndsDurable(agent.born_ms, EndSequence(1)))
    await sleep_ms(1200)
    assert agent.discarded_end == 1


def test_end_of_a_new_incarnation_is_not_acknowledged_unread() -> None:
    """Guards against a success that a restarted worker discards unreported.

    The worker restarts between two renewals and executes a start. Ends of the
    new incarnation have the numbers that the old one's durable ends had.
    """

    async def scenario() -> None:
        agent = _ScriptedAgent()
        channel = _open_channel(agent)
        await _make_first_end_durable(agent, channel)
        # The channel delays the next renewal until the second end is durable.
        agent.ends_count = 2
        await _wait_for_report(agent)
        agent.restart()
        channel.mailbox.send(_start_order())
        sent_count = len(agent.renewals)
        while len(agent.renewals) == sent_count:
            await sleep_ms(1)
        await channel.stop()
        assert agent.renewals[sent_count][1].acknowledged == 0

    run_paused(scenario())


def test_unanswered_start_keeps_run_ends() -> None:
    """Guards against the same loss when the answer to the start is lost."""

    async def scenario() -> None:
        agent = _ScriptedAgent(loses_start_answers=True)
        channel = _open_channel(agent)
        await _make_first_end_durable(agent, channel)
        sent_count = len(agent.renewals)
        channel.mailbox.send(_start_order())
        while len(agent.renewals) == sent_count:
            await sleep_ms(1)
        assert agent.renewals[sent_count][1].acknowledged == 0
        await sleep_ms(3000)
        agent.ends_count = 2
        await sleep_ms(1200)
        channel.mailbox.send(RunEndsDurable(agent.born_ms, EndSequence(2)))
        await sleep_ms(1200)
        await channel.stop()
        assert agent.discarded_end == 2

    run_paused(scenario())


def test_former_owner_extends_no_lease() -> None:
    """Guards against task leases that a former owner extends.

    It was paused, and a stop that it sent before is answered afterwards. Where
    workers do not fence, the next owner starts the tasks of a worker that it
    can't reach again, once their leases should have ended.
    """

    async def scenario() -> None:
        agent = _ScriptedAgent()
        guard = LeaseGuard(_FOREVER_MS)
        channel = _open_channel(agent, guard)
        await sleep_ms(2500)
        guard.revoke()
        sent_count = len(agent.renewals)
        channel.mailbox.send(RequestReport(_WORKER))
        await sleep_ms(100)
        await channel.stop()
        assert len(agent.renewals) == sent_count + 1
        assert agent.renewals[-1][1].expiry_ms is None

    run_paused(scenario())


def test_next_page_of_ends_is_requested_at_once() -> None:
    """Guards against a worker that is caught up with by a page a second."""

    async def scenario() -> None:
        agent = _ScriptedAgent(ends_count=50, ends_page_count=5)
        channel = _open_channel(agent)
        started_ms = now_ms()
        for listed in range(5, 55, 5):
            await _wait_for_report(agent)
            sequence = EndSequence(min(listed, 50))
            channel.mailbox.send(RunEndsDurable(agent.born_ms, sequence))
        await _wait_for_report(agent)
        await channel.stop()
        assert agent.discarded_end == 50
        assert now_ms() - started_ms < 200

    run_paused(scenario())


@pytest.mark.parametrize('age_ms', [500, 2500])
@pytest.mark.parametrize(
    ('restarts', 'failure'), [(False, None), (True, AgentFailure.UNKNOWN)]
)
def test_answer_of_a_later_incarnation_confirms_no_start(
    age_ms: int, failure: AgentFailure | None, *, restarts: bool
) -> None:
    """Guards against a crash counted for a start that came after it.

    The clock of a later incarnation may be ahead of the last report of a young
    one.
    """

    async def scenario() -> None:
        agent = _ScriptedAgent(clock_rate=0.98)
        owner = Mailbox()
        channel = _open_channel(agent, owner=owner)
        await sleep_ms(age_ms)
        if restarts:
            agent.restart()
            await sleep_ms(100)
        channel.mailbox.send(_start_order())
        while True:
            message = await owner.receive()
            if isinstance(message, StartAnswered):
                break
        await channel.stop()
        assert message.failure is failure

    run_paused(scenario())


async def _next_message(owner: Mailbox, kind: type[_Message]) -> _Message:
    while True:
        message = await owner.receive()
        if isinstance(message, kind):
            return message


def test_incarnation_gets_no_effect_before_its_own_token() -> None:
    """Guards against calls for a former incarnation that act on the next one.

    The first renewal that the next incarnation answers was meant for the former
    one. The owner gets only the report that answers a higher token.
    """

    async def scenario() -> None:
        agent = _ScriptedAgent()
        owner = Mailbox()
        channel = _open_channel(agent, owner=owner)
        await sleep_ms(2500)
        sent_count = len(agent.renewals)
        former = agent.renewals[-1][1]
        agent.restart()
        while True:
            message = await _next_message(owner, WorkerReported)
            if message.report.born_ms == agent.born_ms:
                break
        await channel.stop()
        fencing = agent.renewals[sent_count][1]
        assert fencing.token > former.token
        assert fencing.expiry_ms is None
        assert not fencing.acknowledged
        assert agent.token == fencing.token

    run_paused(scenario())


def test_no_start_before_listed_incarnation_is_fenced() -> None:
    """Guards against a start with the clock of a former incarnation."""

    async def scenario() -> None:
        agent = _ScriptedAgent()
        owner = Mailbox()
        channel = _open_channel(agent, owner=owner)
        await sleep_ms(2500)
        agent.restart()
        channel.mailbox.send(FenceIncarnation(_WORKER, agent.born_ms))
        channel.mailbox.send(_start_order())
        answer = await _next_message(owner, StartAnswered)
        assert answer.failure is AgentFailure.NOT_SENT
        await sleep_ms(100)
        channel.mailbox.send(_start_order())
        answer = await _next_message(owner, StartAnswered)
        assert answer.failure is None
        await channel.stop()

    run_paused(scenario())


@pytest.mark.parametrize('is_outdated', [True, False])
def test_refused_token_ends_ownership_unless_outdated(
    *, is_outdated: bool
) -> None:
    """Guards against an owner that steps down for its own higher token."""

    async def scenario() -> None:
        agent = _ScriptedAgent()
        owner = Mailbox()
        channel = _open_channel(agent, owner=owner)
        await sleep_ms(2500)
        channel.mailbox.send(_start_order())
        # The order is on its way.
        await sleep_ms(1)
        if is_outdated:
            next_born_ms = BornMs(agent.born_ms + 1)
            channel.mailbox.send(FenceIncarnation(_WORKER, next_born_ms))
        agent.token = FencingToken(Epoch(1), 1)
        await sleep_ms(100)
        await channel.stop()
        messages = [await owner.receive() for _ in range(len(owner))]
        failures = [
            message.failure
            for message in messages
            if isinstance(message, StartAnswered)
        ]
        assert failures == [AgentFailure.FENCED]
        losses = [
            message
            for message in messages
            if isinstance(message, OwnershipLost)
        ]
        assert bool(losses) is not is_outdated

    run_paused(scenario())


def test_owner_without_further_tokens_steps_down() -> None:
    """Guards against a token that two incarnations of a worker share."""

    async def scenario() -> None:
        tokens = FencingTokenSource(Epoch(1))
        for _ in range(TOKENS_PER_EPOCH - 1):
            tokens.take()
        owner = Mailbox()
        channel = _open_channel(_ScriptedAgent(), owner=owner, tokens=tokens)
        await _next_message(owner, OwnershipLost)
        await channel.stop()

    run_paused(scenario())


@pytest.mark.parametrize('is_first_contact', [True, False])
def test_stop_with_the_present_token_is_not_misdirected(
    monkeypatch: pytest.MonkeyPatch, *, is_first_contact: bool
) -> None:
    """Guards against a log line that names a wrong incarnation, and a probe.

    The stop is sent to an incarnation before that has reported.
    """
    lines: list[object] = []
    monkeypatch.setattr(events, 'emit', lambda event, **_: lines.append(event))

    async def scenario() -> None:
        agent = _ScriptedAgent()
        await sleep_ms(2500)
        agent.loses_reports = is_first_contact
        channel = _open_channel(agent)
        if not is_first_contact:
            await sleep_ms(2500)
        agent.restart()
        agent.loses_reports = True
        channel.mailbox.send(FenceIncarnation(_WORKER, agent.born_ms))
        await sleep_ms(30)
        channel.mailbox.send(StopRun(_WORKER, task('b'), 1))
        await sleep_ms(30)
        await channel.stop()
        assert graph_events.ORDER_MISDIRECTED not in lines

    run_paused(scenario())
