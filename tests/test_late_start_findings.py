"""Starts that may be executed late, around restarts and changes of the owner.

Found by a review of the windows of unanswered starts. KNOWN-RED.txt names those
that fail.
"""

import asyncio

import pytest

from fuchsiarill.actor import Mailbox
from fuchsiarill.clock import run_paused, sleep_ms
from fuchsiarill.graphs.effects import FenceIncarnation, StartRun
from fuchsiarill.graphs.owner_messages import StartAnswered
from fuchsiarill.graphs.model import BornMs, EndKind, JobGraph, Step
from fuchsiarill.graphs.pool_channels import Order, PoolChannels
from fuchsiarill.graphs.progress import JobProgress, UnitKey
from fuchsiarill.graphs.start_windows import has_open_starts
from fuchsiarill.graphs.states import JobPhase
from fuchsiarill.ids import JobId, WorkerId
from fuchsiarill.ports.agents import AgentFailure
from standins.outages import Outage
from standins.store_model import PathFault
from tests.graph_cell import (
    CAPACITY,
    P0,
    TASK_SIZE,
    GraphCell,
    owner_of,
    run_scenario,
)
from tests.graph_owner import BATCH, POOL, SIZE, Owner, ended, running, task
from tests.scripted_agent import ScriptedAgent, open_channel, start_order
from tests.worker_restarts import (
    FIRST_LIFE_MS,
    OTHER_WORKER,
    STEP,
    WORKER,
    submit_delayed,
)


def _restart_cut_off(cell: GraphCell) -> None:
    agent = cell.fleet.add(WORKER, CAPACITY, outage=Outage.SILENT)
    agent.is_silent = True


def test_lease_bound_of_second_incarnation_does_not_end_the_window() -> None:
    """Guards against a window cut short by the leases of an incarnation.

    The second incarnation reports, which moves the bound of unconfirmed runs
    back; the third one, of which nothing tells, executes the start.
    """

    async def scenario(cell: GraphCell) -> None:
        await submit_delayed(cell, 11_000)
        await sleep_ms(950)
        cell.add_worker(WORKER)
        await sleep_ms(1000)
        _restart_cut_off(cell)
        cell.add_worker(OTHER_WORKER)
        await cell.wait_phase('a', JobPhase.SUCCEEDED, 90_000)

    run_scenario(scenario, processes_count=1, workers_count=1)


def test_early_contact_does_not_settle_an_inherited_start() -> None:
    """Guards against a report before the end of an inherited window.

    The worker reports to the new owner, then restarts, is cut off and executes
    the start of the former owner just before the window ends.
    """

    async def scenario(cell: GraphCell) -> None:
        await submit_delayed(cell, 11_900)
        await sleep_ms(600)
        await cell.kill(owner_of(cell))
        await sleep_ms(4000)
        _restart_cut_off(cell)
        cell.add_worker(OTHER_WORKER)
        await cell.wait_phase('a', JobPhase.SUCCEEDED, 90_000)

    run_scenario(scenario, processes_count=2, workers_count=1)


def test_end_of_other_member_keeps_inherited_window_of_gang() -> None:
    """Guards against a record that the end of another run clears."""
    owner = Owner('w0', 'w1', 'w2', term=2)
    owner.core.state.previous_owner_stop_ms = owner.now_ms
    step = Step(2, SIZE, is_gang=True)
    progress = JobProgress(
        unanswered_starts={UnitKey(0, 0, 0): {WorkerId('w0')}}
    )
    owner.core.add_job(
        JobGraph(JobId('a'), BATCH, POOL, '', (step,)),
        progress,
        owner.now_ms,
        is_inherited=True,
    )
    owner.report('w0')
    owner.report('w1', (running(task('a', position=1)),))
    owner.report('w2')
    assert not owner.starts()
    end = ended(task('a', position=1), kind=EndKind.BROKEN)
    owner.report('w1', ended=(end,))
    assert not owner.starts()


def test_other_worker_at_the_address_keeps_the_window() -> None:
    """Guards against a proof of an end that is taken as the end of an order.

    The worker may start again under its id elsewhere and execute the order.
    """
    owner = Owner('w0', 'w1')
    owner.report('w0')
    owner.report('w1')
    owner.add_job('a', Step(1, SIZE))
    start = owner.starts()[0]
    owner.now_ms += 350
    owner.core.start_answered(
        start.worker,
        start.task,
        start.attempt,
        AgentFailure.UNKNOWN,
        owner.now_ms,
    )
    owner.core.worker_failed(
        start.worker, AgentFailure.OTHER_WORKER, owner.now_ms
    )
    orders: list[StartRun] = owner.starts()
    assert not orders


def test_other_worker_at_the_address_does_not_end_the_window() -> None:
    """Guards against a second run after an address had two other workers.

    Another worker answers at the address, which proves that the worker has
    ended. The worker then comes back there under its id, cut off.
    """

    async def scenario(cell: GraphCell) -> None:
        await submit_delayed(cell, 11_000)
        await sleep_ms(950)
        cell.fleet.add(WORKER, CAPACITY, WorkerId('w9'))
        cell.add_worker(OTHER_WORKER)
        await sleep_ms(3000)
        _restart_cut_off(cell)
        await cell.wait_phase('a', JobPhase.SUCCEEDED, 90_000)

    run_scenario(scenario, processes_count=1, workers_count=1)


def test_handover_waits_for_starts_whose_runs_are_being_stopped() -> None:
    """Guards against an unanswered start that a handover does not record.

    The run is stopped, as a member of a gang whose other member was refused,
    while the answer to its start is still due.
    """
    owner = Owner('w0', 'w1')
    owner.report('w0')
    owner.report('w1')
    owner.add_job('a', Step(2, SIZE, is_gang=True))
    first, _ = owner.starts()
    owner.core.start_answered(
        first.worker,
        first.task,
        first.attempt,
        AgentFailure.TICKET_INVALID,
        owner.now_ms,
    )
    assert has_open_starts(owner.core.state)


def test_start_is_answered_if_its_channel_is_replaced_at_once() -> None:
    """Guards against a run that waits for ever for the answer to its start.

    The channel is stopped before the call of the start has begun.
    """

    async def scenario() -> None:
        mailbox = Mailbox()
        channel = open_channel(ScriptedAgent(), owner=mailbox)
        await sleep_ms(500)
        while len(mailbox):
            await mailbox.receive()
        channel.mailbox.send(start_order())
        await asyncio.create_task(channel.stop())
        messages = [await mailbox.receive() for _ in range(len(mailbox))]
        assert any(isinstance(row, StartAnswered) for row in messages)

    run_paused(scenario())


def test_settled_inherited_start_is_not_recorded_for_the_next_owner() -> None:
    """Guards against a window that each further owner opens anew.

    The unit has no room at the end of the window.
    """
    owner = Owner('w0', 'w1', term=2)
    owner.core.state.previous_owner_stop_ms = owner.now_ms
    step = Step(1, SIZE + SIZE + SIZE, is_lasting=True)
    progress = JobProgress(
        unanswered_starts={UnitKey(0, 0, 0): {WorkerId('w0')}}
    )
    owner.core.add_job(
        JobGraph(JobId('a'), BATCH, POOL, '', (step,)),
        progress,
        owner.now_ms,
        is_inherited=True,
    )
    for _ in range(25):
        owner.now_ms += 1000
        owner.report('w0')
        owner.report('w1')
        assert not owner.starts()
    assert not progress.unanswered_starts


def test_task_runs_though_its_channel_is_replaced_at_once(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a task that never runs, on a worker that is sound.

    The owner handles a change of the address right after the decision that
    starts the task, so the channel is stopped before the call has begun.
    """
    send_order = PoolChannels.send_order
    replaced: list[Order] = []

    def send_and_replace(channels: PoolChannels, order: Order) -> None:
        send_order(channels, order)
        if isinstance(order, StartRun) and not replaced:
            replaced.append(order)
            channels.open_channel(order.worker, WORKER)

    monkeypatch.setattr(PoolChannels, 'send_order', send_and_replace)

    async def scenario(cell: GraphCell) -> None:
        await cell.submit(P0, 'a', (Step(1, TASK_SIZE),), duration_ms=20)
        await cell.wait_phase('a', JobPhase.SUCCEEDED, 120_000)

    run_scenario(scenario, processes_count=1, workers_count=1)


def test_answered_start_of_a_former_token_has_no_window() -> None:
    """Guards against a wait for late calls after a start that was executed.

    The worker answers the start with success, while the directory lists
    another incarnation. The order can't be executed again.
    """

    async def scenario() -> None:
        mailbox = Mailbox()
        channel = open_channel(ScriptedAgent(), owner=mailbox)
        await sleep_ms(500)
        channel.mailbox.send(start_order())
        await sleep_ms(2)
        channel.mailbox.send(FenceIncarnation(WorkerId(WORKER), BornMs(9)))
        await sleep_ms(100)
        await channel.stop()
        messages = [await mailbox.receive() for _ in range(len(mailbox))]
        answers = [row for row in messages if isinstance(row, StartAnswered)]
        assert [row.failure is AgentFailure.UNKNOWN for row in answers] == [
            False
        ]

    run_paused(scenario())


def test_record_of_an_unanswered_start_survives_a_store_outage() -> None:
    """Guards against a window that is not durable when the owner ends.

    The store is out of reach of the owner from before the time-out of the
    start until the owner is killed.
    """

    async def scenario(cell: GraphCell) -> None:
        await submit_delayed(cell, 8000)
        owner = owner_of(cell)
        cell.paths[owner].fault = PathFault.REFUSED
        _restart_cut_off(cell)
        cell.add_worker(OTHER_WORKER)
        await sleep_ms(1000)
        await cell.kill(owner)
        await cell.wait_phase('a', JobPhase.SUCCEEDED, 90_000)

    run_scenario(scenario, processes_count=2, workers_count=1)


def test_start_under_way_at_the_end_of_the_owner_is_waited_for() -> None:
    """Guards against an order of which only the owner that was killed knew."""

    async def scenario(cell: GraphCell) -> None:
        await submit_delayed(cell, 8000)
        owner = owner_of(cell)
        await sleep_ms(100)
        _restart_cut_off(cell)
        cell.add_worker(OTHER_WORKER)
        await cell.kill(owner)
        await cell.wait_phase('a', JobPhase.SUCCEEDED, 90_000)

    run_scenario(scenario, processes_count=2, workers_count=1)


def test_first_acknowledgement_discards_no_end_of_the_next_incarnation() -> (
    None
):
    """Guards against an end that a late acknowledgement discards unread.

    The renewal that acknowledges an end of the former incarnation first is
    executed late, by the next one, after a start.
    """

    async def scenario(cell: GraphCell) -> None:
        await sleep_ms(FIRST_LIFE_MS)
        delayed = cell.fleet.delayed_calls
        await cell.submit(P0, 'b', STEP, duration_ms=100)
        while not cell.fleet.succeeded:
            await sleep_ms(1)
        delayed.delays_ms[WORKER] = 1200
        while not delayed.calls_count:
            await sleep_ms(1)
        delayed.delays_ms.clear()
        await sleep_ms(850)
        agent = cell.fleet.add(WORKER, CAPACITY, outage=Outage.SILENT)
        agent.loses_answers = True
        await cell.submit(P0, 'a', STEP, duration_ms=20)
        await sleep_ms(340)
        await cell.wait_phase('a', JobPhase.SUCCEEDED, 60_000)

    run_scenario(scenario, processes_count=1, workers_count=1)
