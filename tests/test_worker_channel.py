"""Renewals and starts that the channel to a worker sends, in paused time."""

import pytest

from fuchsiarill.actor import Mailbox
from fuchsiarill.clock import now_ms, run_paused, sleep_ms
from fuchsiarill.graphs.effects import (
    RequestReport,
)
from fuchsiarill.graphs.lease_guard import LeaseGuard
from fuchsiarill.graphs.model import (
    EndSequence,
)
from fuchsiarill.graphs.owner_messages import (
    RunEndsDurable,
    StartAnswered,
)
from fuchsiarill.graphs.settings import TaskLeaseSettings
from fuchsiarill.graphs.worker_channel import WorkerChannel
from fuchsiarill.ports.agents import (
    AgentFailure,
)

from tests.scripted_agent import (
    FOREVER_MS,
    WORKER,
    ScriptedAgent,
    open_channel,
    start_order,
)


def test_slow_clock_does_not_lengthen_leases() -> None:
    """Guards against leases that outlast the time the owner waits for them.

    A worker's clock may be 2% slow, so an offset computed a minute ago is over
    a second too large.
    """

    async def scenario() -> None:
        leases = TaskLeaseSettings()
        agent = ScriptedAgent(clock_rate=1 - leases.clock_slowness)
        channel = open_channel(agent)
        await sleep_ms(60_000)
        await channel.stop()
        for sent_ms, order in agent.renewals:
            if order.expiry_ms is None:
                continue
            expires_ms = order.expiry_ms / agent.clock_rate
            assert expires_ms - sent_ms <= leases.longest_ms - leases.wake_ms

    run_paused(scenario())


async def _wait_for_report(agent: ScriptedAgent) -> None:
    reports_count = agent.reports_count
    while agent.reports_count == reports_count:
        await sleep_ms(1)
    await sleep_ms(1)


async def _make_first_end_durable(
    agent: ScriptedAgent, channel: WorkerChannel
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
        agent = ScriptedAgent()
        channel = open_channel(agent)
        await _make_first_end_durable(agent, channel)
        # The channel delays the next renewal until the second end is durable.
        agent.ends_count = 2
        await _wait_for_report(agent)
        agent.restart()
        channel.mailbox.send(start_order())
        sent_count = len(agent.renewals)
        while len(agent.renewals) == sent_count:
            await sleep_ms(1)
        await channel.stop()
        assert agent.renewals[sent_count][1].acknowledged == 0

    run_paused(scenario())


def test_unanswered_start_keeps_run_ends() -> None:
    """Guards against the same loss when the answer to the start is lost."""

    async def scenario() -> None:
        agent = ScriptedAgent(loses_start_answers=True)
        channel = open_channel(agent)
        await _make_first_end_durable(agent, channel)
        sent_count = len(agent.renewals)
        channel.mailbox.send(start_order())
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


def test_no_renewal_extends_leases_after_an_unanswered_start() -> None:
    """Guards against a lease that outlasts the bound of a late start.

    A later incarnation may execute the start and then the renewal. Leases are
    extended again once the worker has answered.
    """

    async def scenario() -> None:
        agent = ScriptedAgent()
        channel = open_channel(agent)
        await sleep_ms(1500)
        agent.loses_start_answers = True
        agent.loses_reports = True
        channel.mailbox.send(start_order())
        await sleep_ms(400)
        unanswered_ms = now_ms()
        channel.mailbox.send(RequestReport(WORKER))
        await sleep_ms(2000)
        agent.loses_reports = False
        answers_ms = now_ms()
        await sleep_ms(2000)
        await channel.stop()
        expiries = {
            sent_ms: order.expiry_ms
            for sent_ms, order in agent.renewals
            if sent_ms >= unanswered_ms
        }
        before = [at_ms for at_ms in expiries if at_ms < answers_ms]
        assert before
        assert not any(expiries[at_ms] for at_ms in before)
        assert any(expiries.values())

    run_paused(scenario())


def test_former_owner_extends_no_lease() -> None:
    """Guards against task leases that a former owner extends.

    It was paused, and a stop that it sent before is answered afterwards. Where
    workers do not fence, the next owner starts the tasks of a worker that it
    can't reach again, once their leases should have ended.
    """

    async def scenario() -> None:
        agent = ScriptedAgent()
        guard = LeaseGuard(FOREVER_MS)
        channel = open_channel(agent, guard)
        await sleep_ms(2500)
        guard.revoke()
        sent_count = len(agent.renewals)
        channel.mailbox.send(RequestReport(WORKER))
        await sleep_ms(100)
        await channel.stop()
        assert len(agent.renewals) == sent_count + 1
        assert agent.renewals[-1][1].expiry_ms is None

    run_paused(scenario())


def test_next_page_of_ends_is_requested_at_once() -> None:
    """Guards against a worker that is caught up with by a page a second."""

    async def scenario() -> None:
        agent = ScriptedAgent(ends_count=50, ends_page_count=5)
        channel = open_channel(agent)
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
        agent = ScriptedAgent(clock_rate=0.98)
        owner = Mailbox()
        channel = open_channel(agent, owner=owner)
        await sleep_ms(age_ms)
        if restarts:
            agent.restart()
            await sleep_ms(100)
        channel.mailbox.send(start_order())
        while True:
            message = await owner.receive()
            if isinstance(message, StartAnswered):
                break
        await channel.stop()
        assert message.failure is failure

    run_paused(scenario())
