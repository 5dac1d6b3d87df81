"""Calls and bounds of one incarnation of a worker that meet another one.

As in `test_reused_worker_ids.py`, each test ends with a check that no task ran
twice or after its success.
"""

from returns.result import Result, Success

from fuchsiarill.clock import sleep_ms
from fuchsiarill.graphs.model import BornMs, WorkerReport
from fuchsiarill.graphs.states import JobPhase
from fuchsiarill.ports.agents import AgentAddress, AgentFailure, RenewalOrder
from standins.agent_incarnation import AgentModel
from standins.outages import Outage
from tests.graph_cell import (
    CAPACITY,
    P0,
    GraphCell,
    owner_of,
    run_scenario,
)
from tests.worker_restarts import (
    FIRST_LIFE_MS,
    OTHER_WORKER,
    STEP,
    WORKER,
    submit_delayed,
)


def _cut_off_after_report(cell: GraphCell, model: AgentModel) -> None:
    """Cut a worker off right after its first report."""
    renew = cell.fleet.renew

    async def renew_and_cut_off(
        agent: AgentAddress, order: RenewalOrder, timeout_ms: int
    ) -> Result[WorkerReport, AgentFailure]:
        answer = await renew(agent, order, timeout_ms)
        if isinstance(answer, Success) and agent.worker == model.worker:
            model.is_silent |= answer.unwrap().born_ms == model.born_ms
        return answer

    cell.fleet.renew = renew_and_cut_off  # type: ignore[method-assign]


async def _restart_cut_off(cell: GraphCell, *, is_listed: bool) -> None:
    agent = cell.fleet.add(WORKER, CAPACITY, outage=Outage.SILENT)
    agent.is_silent = True
    if is_listed:
        cell.change_capacity(WORKER, CAPACITY)
    cell.add_worker(OTHER_WORKER)


def test_new_owner_waits_for_delayed_start_in_listed_incarnation() -> None:
    """Guards against a bound of a new owner below that of the former owner.

    The directory lists the incarnation that executes the start.
    """

    async def scenario(cell: GraphCell) -> None:
        await submit_delayed(cell, 8000)
        await _restart_cut_off(cell, is_listed=True)
        await sleep_ms(300)
        await cell.kill(owner_of(cell))
        await cell.wait_phase('a', JobPhase.SUCCEEDED, 60_000)

    run_scenario(scenario, processes_count=2, workers_count=1)


def test_new_owner_waits_for_unanswered_start_of_former_owner() -> None:
    """Guards against a bound that only the former owner knows.

    Nothing tells either owner of the incarnation that executes the start.
    """

    async def scenario(cell: GraphCell) -> None:
        await submit_delayed(cell, 8000)
        await _restart_cut_off(cell, is_listed=False)
        await sleep_ms(1000)
        await cell.kill(owner_of(cell))
        await cell.wait_phase('a', JobPhase.SUCCEEDED, 60_000)

    run_scenario(scenario, processes_count=2, workers_count=1)


def test_owner_waits_for_delayed_start_in_listed_incarnation() -> None:
    """Guards against the same with one owner."""

    async def scenario(cell: GraphCell) -> None:
        await submit_delayed(cell, 8000)
        await _restart_cut_off(cell, is_listed=True)
        await cell.wait_phase('a', JobPhase.SUCCEEDED, 60_000)

    run_scenario(scenario, processes_count=1, workers_count=1)


def test_incarnation_that_answered_once_is_waited_for() -> None:
    """Guards against a sign of a restart that the core does not get.

    The incarnation answers one renewal with the former token, and is cut off
    before it gets the next one. Then it executes the delayed start.
    """

    async def scenario(cell: GraphCell) -> None:
        await submit_delayed(cell, 4000)
        _cut_off_after_report(cell, cell.fleet.add(WORKER, CAPACITY))
        cell.add_worker(OTHER_WORKER)
        await cell.wait_phase('a', JobPhase.SUCCEEDED, 60_000)

    run_scenario(scenario, processes_count=1, workers_count=1)


def test_start_delayed_under_a_second_is_waited_for() -> None:
    """Guards against a bound that counts from the sending of a start.

    A lease that the worker reduces counts from the execution.
    """

    async def scenario(cell: GraphCell) -> None:
        await submit_delayed(cell, 800)
        await _restart_cut_off(cell, is_listed=False)
        await cell.wait_phase('a', JobPhase.SUCCEEDED, 60_000)

    run_scenario(scenario, processes_count=1, workers_count=1)


def test_delayed_acknowledgement_discards_no_end_unread() -> None:
    """Guards against a success that a delayed renewal lets a worker discard.

    It acknowledges ends of the former incarnation.
    """

    async def scenario(cell: GraphCell) -> None:
        await cell.submit(P0, 'b', STEP, duration_ms=100)
        await cell.wait_phase('b', JobPhase.SUCCEEDED, 10_000)
        await sleep_ms(FIRST_LIFE_MS)
        delayed = cell.fleet.delayed_calls
        delayed.delays_ms[WORKER] = 1100
        while not delayed.calls_count:
            await sleep_ms(1)
        delayed.delays_ms.clear()
        await sleep_ms(850)
        agent = cell.fleet.add(WORKER, CAPACITY, outage=Outage.SILENT)
        agent.loses_answers = True
        await cell.submit(P0, 'a', STEP, duration_ms=20)
        await cell.wait_phase('a', JobPhase.SUCCEEDED, 30_000)

    run_scenario(scenario, processes_count=1, workers_count=1)


def test_worker_whose_time_was_set_back_gets_runs() -> None:
    """Guards against a worker that stays unusable until the owner changes.

    A later incarnation has a lower start time, since the time of day of its
    host has been set back.
    """

    async def scenario(cell: GraphCell) -> None:
        await sleep_ms(FIRST_LIFE_MS)
        cell.add_worker(WORKER)
        await sleep_ms(2000)
        cell.add_worker(WORKER)
        cell.fleet.agents[WORKER].born_ms = BornMs(5000)
        cell.change_capacity(WORKER, CAPACITY)
        await cell.submit(P0, 'a', STEP, duration_ms=20)
        await cell.wait_phase('a', JobPhase.SUCCEEDED, 60_000)

    run_scenario(scenario, processes_count=1, workers_count=1)
