"""Directory entries that the emulator writes for its workers."""

import asyncio
import json
from collections.abc import Awaitable, Callable
from typing import Any

from fuchsiarill.clock import run_paused, sleep_ms
from fuchsiarill.graphs.model import StartOrder
from fuchsiarill.ids import Epoch, FencingToken, StoreKey, WorkerId
from fuchsiarill.ports.agents import AgentAddress, AgentFailure
from fuchsiarill.resources import Resources

# Imported because it registers the routes of workers.
from standins.emulator import worker_routes  # noqa: F401
from standins.emulator.calls import ROUTES, Call
from standins.emulator.cell import CAPACITY, EmulatedCell
from standins.emulator.controls import CONTROLS
from tests.graph_owner import task

_W0 = WorkerId('w0')
_TIMEOUT_MS = 350
_HEARTBEAT_MS = 500
# Longer than any outage, and until the heartbeat after it.
_RESTARTED_MS = 6000


def _run(scenario: Callable[[EmulatedCell], Awaitable[None]]) -> None:
    async def main() -> None:
        cell = EmulatedCell(workers_count=2, store_paths_count=1)
        running = asyncio.create_task(cell.run('127.0.0.1:1'))
        await sleep_ms(10)
        await scenario(cell)
        running.cancel()

    run_paused(main())


def _entry(cell: EmulatedCell, worker: str) -> Any:
    item = cell.store.items.get(StoreKey(f'servers/{worker}'))
    return item and item.value and json.loads(item.value)


async def _crash(cell: EmulatedCell) -> None:
    order = StartOrder(
        task('a'),
        1,
        '{"deadly_task": [0, 0]}',
        FencingToken(Epoch(1)),
        _TIMEOUT_MS,
    )
    agent = AgentAddress(_W0, 'w0')
    failure = (await cell.fleet.start(agent, order, _TIMEOUT_MS)).failure()
    assert failure is AgentFailure.UNKNOWN


def test_changed_capacity_is_listed_with_the_next_heartbeat() -> None:
    """Guards against a directory that never shows a changed capacity."""

    async def scenario(cell: EmulatedCell) -> None:
        shrunken = Resources(2000, 4000)
        CONTROLS.lookup('capacities')(
            cell, {'w0': {'processors_milli': 2000, 'memory_mb': 4000}}
        )
        assert cell.fleet.agents['w0'].capacity.current == shrunken
        await sleep_ms(_HEARTBEAT_MS)
        listed = {'cpu': 2000, 'mem_mb': 4000, 'gpu': 0}
        assert _entry(cell, 'w0')['capacity'] == listed
        assert _entry(cell, 'w1')['capacity']['cpu'] == (
            CAPACITY.processors_milli
        )

    _run(scenario)


def test_crashed_worker_is_unlisted_and_comes_back() -> None:
    """Guards against a crashed worker that stays listed, or never returns."""

    async def scenario(cell: EmulatedCell) -> None:
        born_ms = _entry(cell, 'w0')['born']
        await _crash(cell)
        await sleep_ms(_HEARTBEAT_MS)
        assert _entry(cell, 'w0')['born'] == born_ms
        await sleep_ms(3 * _HEARTBEAT_MS)
        assert _entry(cell, 'w0') is None
        await sleep_ms(_RESTARTED_MS)
        worker = cell.fleet.agents['w0'].worker
        assert _entry(cell, worker)['born'] > born_ms
        crashes = cell.observations()['crashes']
        assert [crash['task'] for crash in crashes] == ['a.0.0.0']

    _run(scenario)


def test_call_for_a_former_worker_is_misdirected() -> None:
    """Guards against a former id that is unhealthy instead of replaced.

    Only status 421 proves to an owner that the former worker has ended.
    """

    async def scenario(cell: EmulatedCell) -> None:
        cell.fleet.add('w0', CAPACITY, WorkerId('w0-1'))
        hold = ROUTES.lookup('POST /hold')
        body = {'fence_token': 1, 'acked_seq': 0}
        path = cell.store_paths[0]
        for worker, status in (('w0', 421), ('w0-1', 200), ('w1', 200)):
            answer = await hold(cell, Call('/hold', {}, body, worker, path))
            assert answer.status == status

    _run(scenario)
