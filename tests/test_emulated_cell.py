"""Directory entries that the emulator writes for its workers."""

import asyncio
import json
from collections.abc import Awaitable, Callable
from typing import Any

from returns.result import Failure, Success

from fuchsiarill.clock import run_paused, sleep_ms
from fuchsiarill.graphs.model import EndSequence, StartOrder
from fuchsiarill.ids import Epoch, FencingToken, StoreKey, WorkerId
from fuchsiarill.ports.agents import (
    AgentAddress,
    AgentFailure,
    PaceOrder,
    RenewalOrder,
    StopOrder,
)
from fuchsiarill.resources import Resources

# Imported because it registers the routes of workers.
from standins.emulator import worker_routes  # noqa: F401
from standins.emulator.calls import ROUTES, Call
from standins.emulator.cell import CAPACITY, CEILING, EmulatedCell
from standins.emulator.controls import CONTROLS
from tests.graph_owner import task

_W0 = WorkerId('w0')
_TIMEOUT_MS = 350
_LONG_MS = 10_000
_HEARTBEAT_MS = 500
# Ahead of any clock here; workers shorten it to their longest lease.
_LONG_EXPIRY_MS = 100_000
# Longer than any outage, and until the heartbeat after it.
_RESTARTED_MS = 6000


def _run(
    scenario: Callable[[EmulatedCell], Awaitable[None]],
    customers_count: int = 0,
) -> None:
    async def main() -> None:
        cell = EmulatedCell(2, 1, customers_count)
        running = asyncio.create_task(cell.run('127.0.0.1:1'))
        await sleep_ms(10)
        await scenario(cell)
        running.cancel()

    run_paused(main())


async def _start_for(
    cell: EmulatedCell, job: str, worker: str, milli: int
) -> None:
    spec = {'customer': 'c0', 'size': [milli, 0], 'duration_ms': _LONG_MS}
    await cell.fleet.start(
        AgentAddress(WorkerId(worker), worker),
        StartOrder(
            task(job),
            1,
            json.dumps(spec),
            FencingToken(Epoch(1)),
            _LONG_EXPIRY_MS,
        ),
        _TIMEOUT_MS,
    )


def test_start_above_the_ceiling_is_a_violation() -> None:
    """Guards against a soak that sees no start above a ceiling."""

    async def scenario(cell: EmulatedCell) -> None:
        half_milli = CEILING.processors_milli // 2
        await _start_for(cell, 'a', 'w0', half_milli)
        await _start_for(cell, 'b', 'w1', half_milli)
        assert not cell.fleet.violations
        await _start_for(cell, 'c', 'w1', 1)
        assert 'over its ceiling' in cell.fleet.violations[0]

    _run(scenario, customers_count=1)


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


def _control(cell: EmulatedCell, **faults: Any) -> None:
    for name, setting in faults.items():
        CONTROLS.lookup(name)(cell, setting)


async def _start_long(cell: EmulatedCell, worker: str, attempt: int) -> Any:
    """Start a task of 20 s with the longest lease."""
    order = StartOrder(
        task('a'),
        attempt,
        '{"duration_ms": 20000}',
        FencingToken(Epoch(1)),
        _LONG_EXPIRY_MS,
    )
    agent = AgentAddress(WorkerId(worker), worker)
    return await cell.fleet.start(agent, order, _TIMEOUT_MS)


async def _renew(cell: EmulatedCell, wait_ms: int = 0) -> Any:
    order = RenewalOrder(FencingToken(Epoch(1)), EndSequence(0), None, wait_ms)
    agent = AgentAddress(_W0, 'w0')
    return await cell.fleet.renew(agent, order, _TIMEOUT_MS)


def test_crashed_worker_returns_under_its_id_and_its_entry_late() -> None:
    """Guards against a restart that owners learn of at once.

    A renewal that is open at the crash gets no answer.
    """

    async def scenario(cell: EmulatedCell) -> None:
        born_ms = _entry(cell, 'w0')['born']
        renewal = asyncio.create_task(_renew(cell, wait_ms=1000))
        await sleep_ms(50)
        _control(
            cell, crash_workers={'w0': 300}, unlisted_workers={'f': ['w0']}
        )
        assert await _renew(cell) == Failure(AgentFailure.UNKNOWN)
        assert cell.fleet.agents['w0'].worker == _W0
        assert cell.fleet.agents['w0'].born_ms > born_ms
        assert not renewal.done()
        assert await renewal == Failure(AgentFailure.UNKNOWN)
        assert _entry(cell, 'w0')['born'] == born_ms
        _control(cell, unlisted_workers={'f': []})
        await sleep_ms(_HEARTBEAT_MS)
        assert _entry(cell, 'w0')['born'] > born_ms

    _run(scenario)


def test_silence_of_a_fault_lasts_across_restarts_and_other_faults() -> None:
    """Guards against an incarnation that loses or inherits a silence."""

    async def scenario(cell: EmulatedCell) -> None:
        _control(cell, silent_workers={'f': ['w0']})
        _control(cell, silent_workers={'g': ['w0', 'w1']})
        _control(cell, crash_workers={'w0': 300}, restart_worker='w1')
        await sleep_ms(400)
        assert await _renew(cell) == Failure(AgentFailure.UNKNOWN)
        _control(cell, silent_workers={'g': []})
        assert await _renew(cell) == Failure(AgentFailure.UNKNOWN)
        _control(cell, silent_workers={'f': []})
        assert isinstance(await _renew(cell), Success)

    _run(scenario)


def test_cut_leaves_a_waiting_renewal_without_an_answer() -> None:
    """Guards against a report that reaches the owner during a cut."""

    async def scenario(cell: EmulatedCell) -> None:
        renewal = asyncio.create_task(_renew(cell, wait_ms=1000))
        await sleep_ms(50)
        _control(cell, silent_workers={'f': ['w0']})
        await sleep_ms(50)
        _control(cell, silent_workers={'f': []})
        assert await renewal == Failure(AgentFailure.UNKNOWN)

    _run(scenario)


def test_held_start_runs_in_the_next_incarnation_and_counts() -> None:
    """Guards against violations that are missed across incarnations.

    A held start is executed in an incarnation that began later, beside a run
    elsewhere, and a start elsewhere follows while that incarnation runs.
    """

    async def scenario(cell: EmulatedCell) -> None:
        _control(cell, delayed_calls={'f': {'w0': 2000}, 'g': {'w0': 900}})
        assert await _start_long(cell, 'w0', 1) == Failure(AgentFailure.UNKNOWN)
        _control(cell, delayed_calls={'f': {}, 'g': {}})
        _control(cell, crash_workers={'w0': 300})
        await sleep_ms(400)
        assert isinstance(await _start_long(cell, 'w1', 2), Success)
        assert not cell.fleet.violations
        await sleep_ms(2000)
        assert len(cell.fleet.starts) == 2
        assert 'runs twice, as attempt 2 on w1' in cell.fleet.violations[0]
        await _start_long(cell, 'w1', 3)
        beside = ' '.join(cell.fleet.violations[1:])
        assert 'as attempt 1 on w0' in beside

    _run(scenario)


def test_held_start_after_a_success_counts() -> None:
    """Guards against a late start that is taken as one of its own time."""

    async def scenario(cell: EmulatedCell) -> None:
        _control(cell, delayed_calls={'f': {'w0': 22_000}})
        await _start_long(cell, 'w0', 1)
        _control(cell, delayed_calls={'f': {}}, restart_worker='w0')
        await _start_long(cell, 'w1', 2)
        agent = AgentAddress(WorkerId('w1'), 'w1')
        for acknowledged in (0, 0, 0, 0, 0, 1):
            order = RenewalOrder(
                FencingToken(Epoch(1)),
                EndSequence(acknowledged),
                _LONG_EXPIRY_MS,
                0,
            )
            await cell.fleet.renew(agent, order, _TIMEOUT_MS)
            await sleep_ms(4000)
        assert task('a') in cell.fleet.succeeded
        assert 'starts after its success on w1' in cell.fleet.violations[0]

    _run(scenario)


def test_held_renewals_stops_and_paces_act_in_the_next_incarnation() -> None:
    """Guards against held calls that only starts can be.

    Each of them brings its fencing token, which fences lower ones.
    """

    async def scenario(cell: EmulatedCell) -> None:
        agent = AgentAddress(_W0, 'w0')
        tokens = [FencingToken(Epoch(1), number) for number in range(1, 4)]
        calls = (
            cell.fleet.pace(
                agent, PaceOrder(task('a'), 1, 50, tokens[0]), _TIMEOUT_MS
            ),
            cell.fleet.stop(
                agent, StopOrder(task('a'), 1, tokens[1]), _TIMEOUT_MS
            ),
            cell.fleet.renew(
                agent,
                RenewalOrder(tokens[2], EndSequence(0), _LONG_EXPIRY_MS, 0),
                _TIMEOUT_MS,
            ),
        )
        for number, call in enumerate(calls):
            delays_ms = {'w0': 1500 * (number + 1)}
            _control(cell, delayed_calls={'f': delays_ms})
            assert await call == Failure(AgentFailure.UNKNOWN)
        _control(cell, delayed_calls={'f': {}}, restart_worker='w0')
        restarted = cell.fleet.agents['w0']
        seen = []
        for _ in tokens:
            await sleep_ms(1900)
            seen.append(restarted.token)
        assert seen == tokens
        assert restarted.highest_refused_attempt == {task('a'): 1}
        assert restarted.lease_expiry_ms > restarted.clock_ms()

    _run(scenario)
