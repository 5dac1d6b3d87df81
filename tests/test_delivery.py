"""Calls to workers that other processes make for the owner of a pool."""

from collections.abc import Awaitable, Callable

from fuchsiarill.clock import now_ms, run_paused, sleep_ms
from fuchsiarill.graphs.deliverer import Deliverer, DeliverCalls
from fuchsiarill.graphs.delivery_messages import (
    AgentCall,
    CallNumber,
    SessionId,
)
from fuchsiarill.graphs.model import StartOrder
from fuchsiarill.graphs.settings import DeliverySettings
from fuchsiarill.graphs.states import JobPhase
from fuchsiarill.ids import Epoch, ProcessId, WorkerId
from fuchsiarill.ports.agents import AgentAddress
from standins.agent_model import Fleet
from tests.graph_cell import (
    CAPACITY,
    P0,
    TWO_STEPS,
    GraphCell,
    follower_of,
    owner_of,
)
from tests.graph_owner import task
from tests.local_peers import LocalNetwork

_JOBS_COUNT = 6


def run_in_large_cell(scenario: Callable[[GraphCell], Awaitable[None]]) -> None:
    """Run a scenario; then check that no worker saw a violation."""

    async def main() -> None:
        cell = GraphCell(4, 6)
        cell.network = LocalNetwork()
        await cell.start()
        await sleep_ms(2500)
        await scenario(cell)
        await cell.stop()
        assert not cell.fleet.violations

    run_paused(main())


async def _submit_jobs(cell: GraphCell, duration_ms: int) -> list[str]:
    names = [f'job-{number}' for number in range(_JOBS_COUNT)]
    for name in names:
        await cell.submit(P0, name, TWO_STEPS, duration_ms=duration_ms)
    return names


async def _wait_for_success(cell: GraphCell, names: list[str]) -> None:
    for name in names:
        await cell.wait_phase(name, JobPhase.SUCCEEDED, 20_000)


def _delivering_process(cell: GraphCell) -> ProcessId:
    assert cell.network is not None
    delivering = [
        process
        for process, method in cell.network.calls
        if method == 'deliver' and process != owner_of(cell)
    ]
    return delivering[-1]


def test_other_processes_make_the_calls() -> None:
    """Guards against an owner that makes all calls itself.

    On machines of 0.12 processors its calls filled the owner.
    """

    async def scenario(cell: GraphCell) -> None:
        names = await _submit_jobs(cell, 300)
        await _wait_for_success(cell, names)
        assert _delivering_process(cell) != owner_of(cell)
        assert len(cell.fleet.starts) == 5 * _JOBS_COUNT

    run_in_large_cell(scenario)


def test_killed_deliverer_loses_no_task() -> None:
    """Guards against calls that stay unanswered with the process."""

    async def scenario(cell: GraphCell) -> None:
        names = await _submit_jobs(cell, 900)
        await cell.kill(_delivering_process(cell))
        await _wait_for_success(cell, names)

    run_in_large_cell(scenario)


def test_paused_deliverer_starts_nothing_when_it_resumes() -> None:
    """Guards against an order that a process executes after a pause.

    The owner has stopped waiting for it, and starts the task elsewhere.
    """

    async def scenario(cell: GraphCell) -> None:
        assert cell.network is not None
        paused = _delivering_process(cell)
        cell.network.paused.add(paused)
        names = await _submit_jobs(cell, 700)
        await sleep_ms(1500)
        started_count = len(cell.fleet.starts)
        cell.network.paused.discard(paused)
        await sleep_ms(20)
        assert len(cell.fleet.starts) == started_count
        await _wait_for_success(cell, names)

    run_in_large_cell(scenario)


def test_lost_answers_of_a_deliverer_repeat_no_run() -> None:
    """Guards against a second run of a task whose start was not answered."""

    async def scenario(cell: GraphCell) -> None:
        assert cell.network is not None
        losing = _delivering_process(cell)
        cell.network.losing_answers.add(losing)
        names = await _submit_jobs(cell, 700)
        await sleep_ms(2000)
        cell.network.losing_answers.discard(losing)
        await _wait_for_success(cell, names)

    run_in_large_cell(scenario)


def test_hand_over_with_orders_in_flight() -> None:
    """Guards against orders of two owners through one deliverer."""

    async def scenario(cell: GraphCell) -> None:
        names = await _submit_jobs(cell, 700)
        cell.processes[owner_of(cell)].drain()
        await _wait_for_success(cell, names)

    run_in_large_cell(scenario)


def test_silent_worker_keeps_its_runs() -> None:
    """Guards against a restart of tasks on a worker that was only silent."""

    async def scenario(cell: GraphCell) -> None:
        names = await _submit_jobs(cell, 3000)
        await sleep_ms(200)
        started_count = len(cell.fleet.starts)
        for agent in cell.fleet.agents.values():
            agent.is_silent = True
        await sleep_ms(1500)
        for agent in cell.fleet.agents.values():
            agent.is_silent = False
        await sleep_ms(500)
        assert len(cell.fleet.starts) == started_count
        await _wait_for_success(cell, names)

    run_in_large_cell(scenario)


def test_expired_call_is_not_sent() -> None:
    """Guards against a paused process that sends what it has read before."""

    async def scenario() -> None:
        fleet = Fleet()
        fleet.add('w0', CAPACITY)
        deliverer = Deliverer(fleet, DeliverySettings())
        deliverer.start()
        order = StartOrder(task('a'), 1, '', Epoch(1), 5000)
        call = AgentCall(
            CallNumber(1),
            AgentAddress(WorkerId('w0'), 'w0'),
            order,
            now_ms() - 1,
            350,
        )
        deliverer.mailbox.send(DeliverCalls(SessionId('s'), (call,)))
        await sleep_ms(50)
        await deliverer.stop()
        assert not fleet.starts

    run_paused(scenario())


def test_follower_without_peers_owns_alone() -> None:
    """Guards against an owner that waits for processes that have ended."""

    async def scenario(cell: GraphCell) -> None:
        for name in list(cell.processes):
            if name != owner_of(cell) and name != P0:
                await cell.kill(name)
        if owner_of(cell) != P0:
            await cell.kill(follower_of(cell))
        owner = owner_of(cell)
        await cell.submit(owner, 'a', TWO_STEPS, duration_ms=300)
        await _wait_for_success(cell, ['a'])

    run_in_large_cell(scenario)
