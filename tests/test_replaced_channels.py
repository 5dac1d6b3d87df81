"""Channels that are replaced when the address of a worker changes."""

from dataclasses import replace
from typing import Final

from fuchsiarill.clock import sleep_ms
from fuchsiarill.graphs.model import Step
from fuchsiarill.graphs.states import JobPhase
from tests.graph_cell import P0, TASK_SIZE, GraphCell, run_scenario

_WORKER: Final = 'w0'
_STEP: Final = (Step(1, TASK_SIZE),)


def _change_address(cell: GraphCell, address: str) -> None:
    """List the worker, which keeps running, at another address."""
    agent = cell.fleet.agents.pop(_WORKER)
    cell.fleet.agents[address] = agent
    entry = cell.entries[_WORKER]
    cell.entries[_WORKER] = replace(entry, address=address)
    cell.list_worker(_WORKER)


def test_delayed_call_of_replaced_channel_ends_no_ownership() -> None:
    """Guards against an owner that steps down over its own higher token."""

    async def scenario(cell: GraphCell) -> None:
        await cell.submit(P0, 'a', _STEP, duration_ms=8000)
        await sleep_ms(3000)
        epoch = cell.fleet.agents[_WORKER].token.epoch
        agent = cell.fleet.agents[_WORKER]
        _change_address(cell, 'new')
        await cell.wait_phase('a', JobPhase.SUCCEEDED, 10_000)
        assert agent.token.epoch == epoch
        assert len(cell.fleet.starts) == 1

    run_scenario(scenario, processes_count=1, workers_count=1)


def test_start_in_progress_at_change_of_address_is_settled() -> None:
    """Guards against a unit that waits for ever for the answer to its start.

    The call is lost, and its channel is replaced before it has failed.
    """

    async def scenario(cell: GraphCell) -> None:
        agent = cell.fleet.agents[_WORKER]
        agent.is_silent = True
        await cell.submit(P0, 'a', _STEP, duration_ms=20)
        await sleep_ms(50)
        _change_address(cell, 'new')
        await sleep_ms(250)
        agent.is_silent = False
        await cell.wait_phase('a', JobPhase.SUCCEEDED, 60_000)

    run_scenario(scenario, processes_count=1, workers_count=1)
