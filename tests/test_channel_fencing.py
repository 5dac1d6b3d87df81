"""Calls of a channel around the restart of its worker, in paused time."""

from typing import TypeVar

import pytest

from fuchsiarill import events, graph_events
from fuchsiarill.actor import Mailbox
from fuchsiarill.clock import run_paused, sleep_ms
from fuchsiarill.graphs.effects import (
    FenceIncarnation,
    RequestReport,
    StopRun,
)
from fuchsiarill.graphs.fencing import FencingTokenSource
from fuchsiarill.graphs.model import (
    BornMs,
)
from fuchsiarill.graphs.owner_messages import (
    OwnershipLost,
    StartAnswered,
    WorkerReported,
)
from fuchsiarill.ids import (
    TOKENS_PER_EPOCH,
    Epoch,
    FencingToken,
)
from fuchsiarill.ports.agents import (
    AgentFailure,
)
from tests.graph_owner import task

from tests.scripted_agent import (
    WORKER,
    ScriptedAgent,
    open_channel,
    start_order,
)

_Message = TypeVar('_Message')


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
        agent = ScriptedAgent()
        owner = Mailbox()
        channel = open_channel(agent, owner=owner)
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
        agent = ScriptedAgent()
        owner = Mailbox()
        channel = open_channel(agent, owner=owner)
        await sleep_ms(2500)
        agent.restart()
        channel.mailbox.send(FenceIncarnation(WORKER, agent.born_ms))
        channel.mailbox.send(start_order())
        answer = await _next_message(owner, StartAnswered)
        assert answer.failure is AgentFailure.NOT_SENT
        await sleep_ms(100)
        channel.mailbox.send(start_order())
        answer = await _next_message(owner, StartAnswered)
        assert answer.failure is None
        await channel.stop()

    run_paused(scenario())


def _second_life_agent() -> ScriptedAgent:
    """Return an agent whose start time can be set back."""
    return ScriptedAgent(BornMs(1000))


@pytest.mark.parametrize('is_listed', [False, True])
def test_set_back_incarnation_is_fenced(*, is_listed: bool) -> None:
    """Guards against start times that are taken as the order of incarnations.

    The later one gets starts once it has answered a token of its own, whether
    its report or the directory tells of it.
    """

    async def scenario() -> None:
        agent = _second_life_agent()
        owner = Mailbox()
        channel = open_channel(agent, owner=owner)
        await sleep_ms(2500)
        former = agent.renewals[-1][1]
        agent.restart_set_back()
        if is_listed:
            channel.mailbox.send(FenceIncarnation(WORKER, agent.born_ms))
        await sleep_ms(100 if is_listed else 2500)
        channel.mailbox.send(start_order())
        answer = await _next_message(owner, StartAnswered)
        assert answer.failure is None
        assert agent.token > former.token
        await channel.stop()

    run_paused(scenario())


@pytest.mark.parametrize('is_set_back', [False, True])
@pytest.mark.parametrize('is_late', [False, True])
def test_overtaking_reports_keep_the_present_incarnation(
    *, is_set_back: bool, is_late: bool
) -> None:
    """Guards against a report of an ended incarnation that comes last.

    Both answer the first token. The owner gets the report of the ended one only
    if it comes first, and the present one answers a token of its own.
    """

    async def scenario() -> None:
        agent = _second_life_agent()
        former_born_ms = agent.born_ms
        agent.report_delays_ms = [400 if is_late else 100, 200]
        owner = Mailbox()
        channel = open_channel(agent, owner=owner)
        await sleep_ms(20)
        if is_set_back:
            agent.restart_set_back()
        else:
            agent.restart()
        channel.mailbox.send(RequestReport(WORKER))
        await sleep_ms(5000)
        await channel.stop()
        messages = [await owner.receive() for _ in range(len(owner))]
        answers = [
            message
            for message in messages
            if isinstance(message, WorkerReported)
        ]
        incarnations = [message.report.born_ms for message in answers]
        tokens = [message.token for message in answers]
        former_count = 0 if is_late else 1
        assert incarnations.count(former_born_ms) == former_count
        assert set(incarnations[former_count:]) == {agent.born_ms}
        assert tokens == sorted(tokens)
        assert tokens[-1] > tokens[0]
        assert not any(
            isinstance(message, OwnershipLost) for message in messages
        )

    run_paused(scenario())


@pytest.mark.parametrize('is_outdated', [True, False])
def test_refused_token_ends_ownership_unless_outdated(
    *, is_outdated: bool
) -> None:
    """Guards against an owner that steps down for its own higher token."""

    async def scenario() -> None:
        agent = ScriptedAgent()
        owner = Mailbox()
        channel = open_channel(agent, owner=owner)
        await sleep_ms(2500)
        channel.mailbox.send(start_order())
        # The order is on its way.
        await sleep_ms(1)
        if is_outdated:
            next_born_ms = BornMs(agent.born_ms + 1)
            channel.mailbox.send(FenceIncarnation(WORKER, next_born_ms))
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
        channel = open_channel(ScriptedAgent(), owner=owner, tokens=tokens)
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
        agent = ScriptedAgent()
        await sleep_ms(2500)
        agent.loses_reports = is_first_contact
        channel = open_channel(agent)
        if not is_first_contact:
            await sleep_ms(2500)
        agent.restart()
        agent.loses_reports = True
        channel.mailbox.send(FenceIncarnation(WORKER, agent.born_ms))
        await sleep_ms(30)
        channel.mailbox.send(StopRun(WORKER, task('b'), 1))
        await sleep_ms(30)
        await channel.stop()
        assert graph_events.ORDER_MISDIRECTED not in lines

    run_paused(scenario())
