"""Starts with tickets that a worker executes late, behind a cut.

Each test ends with a check that no task ran twice or after its success.
"""

import pytest

from fuchsiarill.clock import run_paused, sleep_ms
from fuchsiarill.graphs import incarnations, progress, records
from fuchsiarill.graphs.model import (
    AdvicePolicy,
    GraphConfig,
    PoolPolicy,
    Step,
)
from fuchsiarill.graphs.states import JobPhase
from fuchsiarill.ids import Generation
from standins.outages import Outage
from standins.store_model import PathFault
from tests.advised_world import AdvisedWorld
from tests.graph_cell import (
    CAPACITY,
    P0,
    POOL,
    QUEUE,
    GraphCell,
    GrantingAdvisor,
    owner_of,
    queue_policy,
    run_scenario,
)
from tests.graph_owner import ADVISED, SIZE
from tests.worker_restarts import OTHER_WORKER, RUN_MS, STEP, WORKER

# The clock of the first incarnation is then ahead of that of the next one by
# more than the longest lease.
_FIRST_LIFE_MS = 7000
_LONG_RUN_MS = 60_000
# Just before a ticket of 2 s, granted 0.1 s before, expires.
_LATEST_MS = 1850
_CUT_AFTER_MS = 400
# See `test_gone_workers.py`.
_FINISH_MS = 14_000
_VALIDITY_MS = 2000

_slow_clocks = pytest.mark.parametrize(
    ('clock_slowness', 'lapse_delay_ms'), [(0, 0), (0.02, 250)]
)


def _world(clock_slowness: float, lapse_delay_ms: int) -> AdvisedWorld:
    world = AdvisedWorld('w0')
    world.clock_slowness = clock_slowness
    world.lapse_delay_ms = lapse_delay_ms
    world.restart('w0')
    world.pass_time(_FIRST_LIFE_MS)
    return world


def _submit_late(world: AdvisedWorld, delay_ms: int) -> None:
    """Let `w0` execute a start late, cut it off, and add another worker."""
    world.delays_ms['w0'] = delay_ms
    world.submit(ADVISED, [Step(1, SIZE)], _LONG_RUN_MS, failures=0)
    world.pass_time(_CUT_AFTER_MS)
    world.delays_ms.clear()
    world.workers['w0'].is_reachable = False
    world.add_worker('w1')


def _check_moves_in_time(world: AdvisedWorld) -> None:
    world.pass_time(_FINISH_MS)
    assert world.workers['w1'].runs
    world.pass_time(_LONG_RUN_MS)
    assert not world.violations


@_slow_clocks
@pytest.mark.parametrize('delay_ms', [400, 1000, _LATEST_MS])
def test_present_incarnation_executes_late_start(
    delay_ms: int, clock_slowness: float, lapse_delay_ms: int
) -> None:
    """Guards against two runs of a task whose start was executed late."""
    world = _world(clock_slowness, lapse_delay_ms)
    _submit_late(world, delay_ms)
    _check_moves_in_time(world)


@_slow_clocks
@pytest.mark.parametrize('delay_ms', [400, 1000, _LATEST_MS])
def test_unknown_incarnation_executes_late_start(
    delay_ms: int, clock_slowness: float, lapse_delay_ms: int
) -> None:
    """Guards against a bound that takes the ticket for the known incarnation.

    The worker restarts unnoticed, the ticket is of the later incarnation, and
    the expiry is far ahead of its clock.
    """
    world = _world(clock_slowness, lapse_delay_ms)
    world.silence_renewal('w0')
    world.replace_incarnation('w0')
    _submit_late(world, delay_ms)
    _check_moves_in_time(world)


@_slow_clocks
def test_late_renewal_in_listed_incarnation_is_waited_for(
    clock_slowness: float, lapse_delay_ms: int
) -> None:
    """Guards against a bound without the calls for the former incarnation.

    The directory lists the incarnation that has executed the start. A renewal
    for the one before extends its leases seconds later.
    """
    world = _world(clock_slowness, lapse_delay_ms)
    world.delays_ms['w0'] = 7000
    world.pass_time(100)
    world.replace_incarnation('w0')
    _submit_late(world, 1000)
    world.publish_directory()
    world.pass_time(2 * _LONG_RUN_MS)
    assert not world.violations


@_slow_clocks
@pytest.mark.parametrize('is_lost_before', [True, False])
def test_late_renewal_is_waited_for_without_the_directory(
    clock_slowness: float, lapse_delay_ms: int, *, is_lost_before: bool
) -> None:
    """Guards against the same while the directory is out of reach.

    It can't tell of the incarnation that has executed the start.
    """
    world = _world(clock_slowness, lapse_delay_ms)
    world.delays_ms['w0'] = 7000
    world.pass_time(100)
    world.replace_incarnation('w0')
    state = world.owner.core.state
    if is_lost_before:
        incarnations.apply_reachability(state, is_directory_lost=True)
    _submit_late(world, 1000)
    world.pass_time(2000)
    if not is_lost_before:
        incarnations.apply_reachability(state, is_directory_lost=True)
    world.pass_time(2 * _LONG_RUN_MS)
    assert not world.violations


def test_owner_learns_that_the_directory_is_out_of_reach(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a watch that fails without the owner's knowledge."""
    changes: list[bool] = []
    monkeypatch.setattr(
        incarnations,
        'apply_reachability',
        lambda _, *, is_directory_lost: changes.append(is_directory_lost),
    )

    async def scenario(cell: GraphCell) -> None:
        path = cell.paths[owner_of(cell)]
        path.fault = PathFault.REFUSED
        await sleep_ms(1400)
        path.fault = PathFault.NONE
        await sleep_ms(2000)

    run_scenario(scenario, processes_count=1, workers_count=1)
    assert changes == [True, False]


def test_late_renewal_in_unlisted_incarnation_is_waited_for() -> None:
    """Guards against the same where the directory never lists it.

    KNOWN-RED.txt names it.
    """
    world = _world(0, 0)
    world.delays_ms['w0'] = 7000
    world.pass_time(100)
    world.replace_incarnation('w0')
    _submit_late(world, 1000)
    world.pass_time(2 * _LONG_RUN_MS)
    assert not world.violations


def _run_takeover(
    *, delay_ms: int, kill_after_ms: int, within_ms: int | None
) -> None:
    """Kill the owner of a start that a later incarnation executes late."""

    async def main() -> None:
        cell = GraphCell(2, 1)
        cell.advisor = GrantingAdvisor(cell.fleet, _VALIDITY_MS)
        advice = AdvicePolicy(20, 0, _VALIDITY_MS)
        cell.config = GraphConfig(
            Generation(1),
            {QUEUE: queue_policy(advice=advice)},
            {POOL: PoolPolicy(POOL)},
        )
        await cell.start()
        await sleep_ms(10_000)
        cell.fleet.add(WORKER, CAPACITY, outage=Outage.SILENT)
        cell.fleet.delayed_calls.delays_ms[WORKER] = delay_ms
        await cell.submit(P0, 'a', STEP, duration_ms=RUN_MS)
        await sleep_ms(100)
        cell.fleet.agents[WORKER].is_silent = True
        cell.fleet.delayed_calls.delays_ms.clear()
        cell.add_worker(OTHER_WORKER)
        await sleep_ms(kill_after_ms)
        await cell.kill(owner_of(cell))
        if within_ms is not None:
            await sleep_ms(within_ms)
            assert cell.fleet.agents[OTHER_WORKER].runs
        await cell.wait_phase('a', JobPhase.SUCCEEDED, 90_000)
        await cell.stop()

    run_paused(main())


@pytest.mark.parametrize('delay_ms', [500, 1000, 1800])
def test_next_owner_starts_the_task_elsewhere_in_time(delay_ms: int) -> None:
    """Guards against an inherited start that is held for 18 s.

    Its order named a ticket, as the record of the job tells.
    """
    _run_takeover(delay_ms=delay_ms, kill_after_ms=800, within_ms=_FINISH_MS)


@pytest.mark.parametrize('delay_ms', [500, 1000, 1800])
def test_record_of_the_former_version_holds_the_task(
    delay_ms: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a time that is guessed for a record without one."""
    encode = records.encode_progress

    def encode_as_before(saved: progress.JobProgress) -> bytes:
        saved.unanswered_ms.clear()
        return encode(saved)

    monkeypatch.setattr(records, 'encode_progress', encode_as_before)
    _run_takeover(delay_ms=delay_ms, kill_after_ms=800, within_ms=None)
