"""Workers that restart under their ids, and calls for former incarnations.

A call without an answer may be executed seconds later, by an incarnation that
has seen no fencing token and whose clock has begun anew. Each test ends with a
check that no task ran twice or after its success.
"""

from typing import Final

from fuchsiarill.clock import sleep_ms
from fuchsiarill.graphs import keys
from fuchsiarill.graphs.states import JobPhase
from fuchsiarill.resources import Resources
from standins.outages import Outage
from tests.graph_cell import (
    CAPACITY,
    P0,
    POOL,
    GraphCell,
    owner_of,
    run_scenario,
)
from tests.worker_restarts import (
    FIRST_LIFE_MS,
    OTHER_WORKER,
    RUN_MS,
    STEP,
    WORKER,
    submit_delayed,
)

_DELAY_MS: Final = 4000
# The answer of a start tells of the restart first. With 50 ms the excess of
# the leases that the test looks for would be too small to be seen.
_DIRECTORY_DELAY_MS: Final = 10
_TOO_SMALL: Final = Resources(100, 100)


async def _restart(cell: GraphCell) -> None:
    """Restart the worker; open connections to it stay without an answer."""
    cell.fleet.add(WORKER, CAPACITY, outage=Outage.SILENT)


def _list_restarted(cell: GraphCell) -> None:
    """Write the directory entry of the worker's present incarnation."""
    cell.change_capacity(WORKER, CAPACITY)


async def _wait_for_starts(cell: GraphCell, count: int) -> None:
    for _ in range(2000):
        if len(cell.fleet.starts) >= count:
            return
        await sleep_ms(5)
    raise AssertionError(f'only {len(cell.fleet.starts)} starts')


async def _cut_off(cell: GraphCell) -> None:
    """Cut the worker off, and offer another one."""
    cell.fleet.agents[WORKER].is_silent = True
    cell.add_worker(OTHER_WORKER)


def test_order_with_expiry_of_former_clock_keeps_runs_single() -> None:
    """Guards against leases that outlast the owner's bound after a restart.

    A start with an expiry on the former incarnation's clock gets the longest
    lease that a worker allows, and the worker is cut off after the next run has
    started.
    """

    async def scenario(cell: GraphCell) -> None:
        await sleep_ms(FIRST_LIFE_MS)
        await _restart(cell)
        await cell.submit(P0, 'a', STEP, duration_ms=RUN_MS)
        await _wait_for_starts(cell, 1)
        await sleep_ms(_DIRECTORY_DELAY_MS)
        _list_restarted(cell)
        await _wait_for_starts(cell, 2)
        await sleep_ms(50)
        await _cut_off(cell)
        await cell.wait_phase('a', JobPhase.SUCCEEDED, 40_000)

    run_scenario(scenario, processes_count=1, workers_count=1)


def test_delayed_start_extends_no_lease_of_next_incarnation() -> None:
    """Guards against the same excess by a start that is executed late.

    The next incarnation executes it after the worker has been cut off.
    """

    async def scenario(cell: GraphCell) -> None:
        await submit_delayed(cell, _DELAY_MS)
        await _restart(cell)
        await sleep_ms(_DELAY_MS - 300)
        await _cut_off(cell)
        await cell.wait_phase('a', JobPhase.SUCCEEDED, 40_000)

    run_scenario(scenario, processes_count=1, workers_count=1)


def test_delayed_start_runs_in_no_later_incarnation() -> None:
    """Guards against a second run by a start that the owner has settled.

    The incarnation that refused the start has ended before it is executed.
    """

    async def scenario(cell: GraphCell) -> None:
        await submit_delayed(cell, _DELAY_MS)
        await _restart(cell)
        cell.add_worker(OTHER_WORKER)
        # The next attempt does not fit there.
        cell.change_capacity(WORKER, _TOO_SMALL)
        await sleep_ms(500)
        await _restart(cell)
        await cell.wait_phase('a', JobPhase.SUCCEEDED, 40_000)

    run_scenario(scenario, processes_count=1, workers_count=1)


def test_unanswered_start_is_not_repeated_before_its_longest_lease() -> None:
    """Guards against a second run beside one that no report has listed.

    The start is executed by an incarnation of which the owner learns nothing,
    since the worker is cut off before it has answered.
    """

    async def scenario(cell: GraphCell) -> None:
        await sleep_ms(FIRST_LIFE_MS)
        await _restart(cell)
        cell.fleet.agents[WORKER].loses_answers = True
        await cell.submit(P0, 'a', STEP, duration_ms=RUN_MS)
        await _wait_for_starts(cell, 1)
        await _cut_off(cell)
        await cell.wait_phase('a', JobPhase.SUCCEEDED, 40_000)

    run_scenario(scenario, processes_count=1, workers_count=1)


def test_next_owner_waits_for_longest_lease_of_unknown_incarnation() -> None:
    """Guards against a second run by an owner that inherits the worker.

    The former owner's start was executed by an incarnation of which neither
    owner has a sign, and the store has taken the pool from it at once.
    """

    async def scenario(cell: GraphCell) -> None:
        await sleep_ms(FIRST_LIFE_MS)
        await _restart(cell)
        cell.fleet.agents[WORKER].loses_answers = True
        await cell.submit(P0, 'a', STEP, duration_ms=RUN_MS)
        await _wait_for_starts(cell, 1)
        await _cut_off(cell)
        former_owner = owner_of(cell)
        cell.store.end(cell.store.lease_by_key[keys.owner_key(POOL)])
        await cell.kill(former_owner)
        await cell.wait_phase('a', JobPhase.SUCCEEDED, 40_000)

    run_scenario(scenario, processes_count=2, workers_count=1)
