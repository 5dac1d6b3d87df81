"""Worker models that crash under deadly tasks or change their capacity.

Each scenario of a cell ends with the checks in `GraphCell.stop`.
"""

from typing import Any

import pytest
from returns.result import Failure

from fuchsiarill.clock import run_paused, sleep_ms
from fuchsiarill.graphs.model import (
    NO_CHECKPOINT,
    NO_END,
    StartOrder,
    Step,
    WorkerReport,
)
from fuchsiarill.graphs.states import JobPhase
from fuchsiarill.ids import Epoch, FencingToken, WorkerId
from fuchsiarill.ports.agents import AgentAddress, AgentFailure, RenewalOrder
from fuchsiarill.resources import Resources
from standins.agent_model import Fleet
from standins.outages import Outage
from standins.worker_crashes import CrashSettings, Restart
from tests.graph_cell import (
    CAPACITY,
    P0,
    TASK_SIZE,
    GraphCell,
    run_scenario,
)
from tests.graph_owner import task

_W0 = AgentAddress(WorkerId('w0'), 'w0')
_TIMEOUT_MS = 350
# A worker that crashes is down for this time.
_DOWN_MS = 3000
_DEADLY = '{"duration_ms": 900, "deadly_task": [0, 1], "crash_after_ms": 200}'
_DEADLY_AT_ONCE = '{"deadly_task": [0, 1]}'
_TWO_TASKS = Resources(2000, 2000)
# Bound for a start over a capacity that has shrunk: 3000 ms and a heartbeat.
_AFTER_NOTICE_MS = 3600


def _settings(**changes: Any) -> CrashSettings:
    return CrashSettings(down_min_ms=_DOWN_MS, down_max_ms=_DOWN_MS, **changes)


async def _start(
    fleet: Fleet,
    payload: str,
    position: int = 1,
) -> AgentFailure | None:
    order = StartOrder(
        task('a', 0, position),
        1,
        payload,
        FencingToken(Epoch(1)),
        fleet.agents['w0'].clock_ms() + 5000,
        NO_CHECKPOINT,
        None,
    )
    answer = await fleet.start(_W0, order, _TIMEOUT_MS)
    return answer.failure() if isinstance(answer, Failure) else None


async def _renew(
    fleet: Fleet, agent: AgentAddress = _W0
) -> WorkerReport | AgentFailure:
    order = RenewalOrder(FencingToken(Epoch(1)), NO_END, None, 0)
    answer = await fleet.renew(agent, order, _TIMEOUT_MS)
    return answer.value_or(None) or answer.failure()


@pytest.mark.parametrize(
    ('outage', 'failure'),
    [
        (Outage.SILENT, AgentFailure.UNKNOWN),
        (Outage.REFUSED, AgentFailure.CONNECTION_REFUSED),
    ],
)
def test_deadly_task_crashes_its_worker(
    outage: Outage, failure: AgentFailure
) -> None:
    """Guards against a model that survives a deadly task.

    All runs of the worker are gone, its next incarnation was born later.
    """

    async def scenario() -> None:
        settings = _settings(outages=(outage,), restarts=(Restart.SAME_ID,))
        fleet = Fleet(settings)
        fleet.add('w0', CAPACITY)
        assert await _start(fleet, _DEADLY, 0) is None
        assert await _start(fleet, _DEADLY, 1) is None
        born_ms = fleet.agents['w0'].born_ms
        await sleep_ms(250)
        assert await _renew(fleet) is failure
        await sleep_ms(_DOWN_MS)
        report = await _renew(fleet)
        assert isinstance(report, WorkerReport)
        assert report.born_ms > born_ms
        assert not report.running
        assert not report.ended
        crashed = [crash.task for crash in fleet.crashes.crashes]
        assert crashed == [task('a', 0, 1)]

    run_paused(scenario())


def test_crash_at_the_start_leaves_it_unanswered() -> None:
    """Guards against a start that is confirmed by a crashed worker."""

    async def scenario() -> None:
        fleet = Fleet(_settings())
        fleet.add('w0', CAPACITY)
        failure = await _start(fleet, _DEADLY_AT_ONCE)
        assert failure is AgentFailure.UNKNOWN
        assert len(fleet.crashes.starts) == 1
        assert not fleet.agents['w0'].runs

    run_paused(scenario())


def test_other_id_returns_at_the_same_address() -> None:
    """Guards against a new incarnation that answers to its former id."""

    async def scenario() -> None:
        fleet = Fleet(_settings(restarts=(Restart.NEW_ID,)))
        fleet.add('w0', CAPACITY)
        await _start(fleet, _DEADLY_AT_ONCE)
        await sleep_ms(_DOWN_MS + 10)
        assert await _renew(fleet) is AgentFailure.OTHER_WORKER
        worker = fleet.agents['w0'].worker
        assert worker != 'w0'
        report = await _renew(fleet, AgentAddress(worker, 'w0'))
        assert isinstance(report, WorkerReport)

    run_paused(scenario())


def test_restart_during_the_outage_is_kept() -> None:
    """Guards against a crash that replaces a later incarnation."""

    async def scenario() -> None:
        fleet = Fleet(_settings())
        fleet.add('w0', CAPACITY)
        await _start(fleet, _DEADLY_AT_ONCE)
        restarted = fleet.add('w0', CAPACITY)
        await sleep_ms(_DOWN_MS + 10)
        assert fleet.agents['w0'] is restarted

    run_paused(scenario())


@pytest.mark.parametrize(
    ('waited_ms', 'overloads_count'),
    [(_AFTER_NOTICE_MS, 1), (1000, 0)],
)
def test_start_over_a_shrunken_capacity_is_seen(
    waited_ms: int, overloads_count: int
) -> None:
    """Guards against a model that misses a start over a shrunken capacity.

    Soon after the change an owner may not know of it.
    """

    async def scenario() -> None:
        fleet = Fleet()
        fleet.add('w0', _TWO_TASKS)
        payload = '{"size": [1000, 1000]}'
        await _start(fleet, payload, 0)
        fleet.change_capacity('w0', Resources(1000, 1000))
        await sleep_ms(waited_ms)
        await _start(fleet, payload, 1)
        assert not fleet.violations
        assert len(fleet.late_overloads) == overloads_count

    run_paused(scenario())


def test_start_over_every_earlier_capacity_is_a_violation() -> None:
    """Guards against a change of the capacity that excuses any start."""

    async def scenario() -> None:
        fleet = Fleet()
        fleet.add('w0', _TWO_TASKS)
        fleet.change_capacity('w0', Resources(1000, 1000))
        await _start(fleet, '{"size": [3000, 1000]}')
        assert len(fleet.violations) == 1

    run_paused(scenario())


@pytest.mark.parametrize('restart', Restart)
@pytest.mark.parametrize('outage', Outage)
def test_sound_tasks_survive_a_crash(restart: Restart, outage: Outage) -> None:
    """Guards against a job that is lost because another crashed its worker.

    The deadly job is cancelled after its first crash.
    """

    async def scenario(cell: GraphCell) -> None:
        sound = (Step(6, TASK_SIZE),)
        await cell.submit(P0, 'sound', sound, duration_ms=1500)
        await cell.submit(
            P0,
            'deadly',
            (Step(1, TASK_SIZE),),
            duration_ms=900,
            deadly_task=[0, 0],
            crash_after_ms=200,
        )
        await sleep_ms(500)
        assert len(cell.fleet.crashes.crashes) == 1
        await cell.cancel(P0, 'deadly')
        await cell.wait_phase('sound', JobPhase.SUCCEEDED, 15000)
        await cell.wait_phase('deadly', JobPhase.CANCELLED, 1000)

    run_scenario(
        scenario,
        crash_settings=_settings(outages=(outage,), restarts=(restart,)),
    )


def test_tasks_follow_a_changing_capacity() -> None:
    """Guards against tasks that neither avoid nor use a changed capacity.

    The only worker shrinks below its runs, and grows again much later.
    """

    async def scenario(cell: GraphCell) -> None:
        await cell.submit(P0, 'first', (Step(4, TASK_SIZE),), duration_ms=1000)
        await sleep_ms(300)
        cell.change_capacity('w0', Resources(1000, 1000))
        await sleep_ms(4000)
        await cell.submit(P0, 'second', (Step(4, TASK_SIZE),), duration_ms=100)
        await sleep_ms(4000)
        assert len(cell.fleet.starts) == 4
        cell.change_capacity('w0', CAPACITY)
        await cell.wait_phase('second', JobPhase.SUCCEEDED, 1000)

    run_scenario(scenario, workers_count=1)
