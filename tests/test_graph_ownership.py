"""Owners that are killed, drained and replaced, in simulated time.

Each test ends with a check that no task ran twice or after its success, and
that no worker exceeded its capacity.
"""

from dataclasses import replace

import pytest

from fuchsiarill import codes
from fuchsiarill.clock import run_paused, sleep_ms
from fuchsiarill.graphs.model import PoolId, PoolPolicy, Step
from fuchsiarill.graphs.states import JobPhase
from fuchsiarill.ids import ProcessId
from standins.store_model import PathFault
from tests.graph_cell import (
    P0,
    P1,
    POOL,
    TASK_SIZE,
    TWO_STEPS,
    GraphCell,
    follower_of,
    owner_of,
    run_scenario,
)


def test_killed_owner_is_replaced() -> None:
    """Guards against a second start of tasks that the killed owner started."""

    async def scenario(cell: GraphCell) -> None:
        await cell.submit(P0, 'a', TWO_STEPS, duration_ms=2500)
        await sleep_ms(500)
        await cell.kill(owner_of(cell))
        await cell.wait_phase('a', JobPhase.SUCCEEDED, 12000)
        assert len(cell.fleet.starts) == 5

    run_scenario(scenario)


def test_unsaved_run_end_reaches_the_next_owner() -> None:
    """Guards against a dropped run end of a step that is not open yet.

    The owner receives the run ends of the first step, starts the second step
    and is replaced before it can save them. The next owner may receive reports
    on the second step first.
    """

    async def scenario(cell: GraphCell) -> None:
        await cell.submit(P0, 'a', TWO_STEPS, duration_ms=900)
        await sleep_ms(600)
        owner = owner_of(cell)
        cell.paths[owner].fault = PathFault.REFUSED
        await cell.wait_phase('a', JobPhase.SUCCEEDED, 12000)

    run_scenario(scenario)


def test_failures_are_counted_across_owners() -> None:
    """Guards against failed attempts that a new owner does not count."""

    async def scenario(cell: GraphCell) -> None:
        single_task = (Step(1, TASK_SIZE),)
        await cell.submit(P0, 'a', single_task, duration_ms=400, fails=1000)
        await sleep_ms(650)
        await cell.kill(owner_of(cell))
        await cell.wait_phase('a', JobPhase.FAILED, 20000)
        assert len(cell.fleet.starts) == 3

    run_scenario(scenario)


def test_job_of_a_removed_queue_keeps_its_policy() -> None:
    """Guards against a job that a new owner fails, or never starts.

    An owner elected after the removal of a queue does not find its policy in
    the configuration. Without it the first failure was the last one allowed,
    and starts had no ticket, so workers refused them.
    """

    async def scenario(cell: GraphCell) -> None:
        single_task = (Step(1, TASK_SIZE),)
        await cell.submit(P0, 'a', single_task, duration_ms=2000, fails=1)
        await sleep_ms(500)
        cell.remove_queue()
        await sleep_ms(500)
        await cell.kill(owner_of(cell))
        await cell.wait_phase('a', JobPhase.SUCCEEDED, 20000)
        assert len(cell.fleet.starts) == 2

    run_scenario(scenario)


def test_owner_that_drains_hands_over_at_once() -> None:
    """Guards against waiting for the lease of an owner that was drained."""

    async def scenario(cell: GraphCell) -> None:
        owner = owner_of(cell)
        await cell.submit(P0, 'a', TWO_STEPS, duration_ms=1500)
        await sleep_ms(300)
        cell.processes[owner].drain()
        await sleep_ms(600)
        assert cell.owner() not in {None, owner}
        await cell.wait_phase('a', JobPhase.SUCCEEDED, 5000)
        assert len(cell.fleet.starts) == 5

    run_scenario(scenario)


def test_all_processes_killed_lose_nothing() -> None:
    """Guards against an accepted job that is lost when all processes end."""

    async def scenario(cell: GraphCell) -> None:
        names = list(cell.processes)
        await cell.submit(P0, 'a', TWO_STEPS, duration_ms=700)
        for name in names:
            await cell.kill(name)
        await sleep_ms(1000)
        for name in names:
            cell.run_process(name)
        await cell.wait_phase('a', JobPhase.SUCCEEDED, 12000)

    run_scenario(scenario)


def test_process_that_restarted_last_becomes_owner() -> None:
    """Guards against repeated takeovers in a rolling restart.

    A process that has just restarted is the last one to be stopped again.
    """

    async def scenario(cell: GraphCell) -> None:
        await sleep_ms(8000)
        restarted = follower_of(cell)
        await cell.kill(restarted)
        await sleep_ms(200)
        cell.run_process(restarted)
        await sleep_ms(1000)
        cell.processes[owner_of(cell)].drain()
        await sleep_ms(1500)
        assert owner_of(cell) == restarted

    run_scenario(scenario, processes_count=5)


def test_drained_process_answers_before_it_ends() -> None:
    """Guards against requests that get no answer because of a drain."""

    async def scenario(cell: GraphCell) -> None:
        process = cell.processes[P0]
        process.drain()
        await sleep_ms(50)
        assert not process.front.view.is_ready
        assert process.exit_status is None
        answer = await cell.submit(P0, 'a', TWO_STEPS, duration_ms=100)
        assert answer.code is codes.ACCEPTED
        await sleep_ms(5000)
        assert process.exit_status == 0
        await cell.wait_phase('a', JobPhase.SUCCEEDED, 3000)

    run_scenario(scenario)


def test_small_machine_owns_only_without_a_larger_one() -> None:
    """Guards against a wrong choice between small and larger machines.

    A small machine must not own the pool while a larger one runs, and must own
    it when only small machines are left.
    """

    async def main() -> None:
        cell = GraphCell(4, 1)
        cell.processes_on_small_machines = {P0, P1, ProcessId('p2')}
        await cell.start()
        await sleep_ms(1500)
        assert cell.owner() == 'p3'
        await cell.kill(ProcessId('p3'))
        await sleep_ms(4000)
        assert cell.owner() in cell.processes_on_small_machines
        await cell.stop()

    run_paused(main())


@pytest.mark.parametrize('is_larger_running', [True, False])
def test_small_machine_hands_over_to_a_larger_one(
    *, is_larger_running: bool
) -> None:
    """Guards against a pool that stays with a small machine.

    Such an owner may be too slow for the load, so that most tasks are lost. A
    larger machine that is listed but does not run gets no pool, since the
    small machines would only replace each other.
    """

    async def main() -> None:
        cell = GraphCell(3, 3)
        cell.are_peers_connected = True
        cell.processes_on_small_machines = {P0, P1, ProcessId('p2')}
        await cell.start()
        await sleep_ms(1500)
        first_owner = owner_of(cell)
        assert first_owner in cell.processes_on_small_machines
        await cell.submit(P0, 'a', TWO_STEPS, duration_ms=2500)
        await sleep_ms(500)
        larger = ProcessId('p3')
        expected_owner = larger
        cell.run_process(larger)
        await sleep_ms(100)
        if not is_larger_running:
            await cell.kill(larger)
            expected_owner = first_owner
        await cell.wait_phase('a', JobPhase.SUCCEEDED, 12000)
        assert owner_of(cell) == expected_owner
        assert len(cell.fleet.starts) == 5
        await cell.stop()

    run_paused(main())


def test_pools_that_are_vacant_together_get_different_owners() -> None:
    """Guards against one owner of all pools, which is too slow under load.

    After a start of all processes, one that campaigned for all pools at once
    was elected for all of them.
    """

    async def main() -> None:
        cell = GraphCell(4, 1)
        other_pool = PoolId('design')
        pools = {pool: PoolPolicy(pool) for pool in (POOL, other_pool)}
        cell.config = replace(cell.config, pools=pools)
        await cell.start()
        await sleep_ms(1500)
        owners = {cell.owner(), cell.owner(other_pool)}
        assert None not in owners
        assert len(owners) == 2
        await cell.stop()

    for _ in range(10):
        run_paused(main())


def test_worker_that_was_silent_keeps_its_runs() -> None:
    """Guards against tasks that start elsewhere after a short silence.

    All workers answer nothing for less than the duration of a task lease.
    """

    async def scenario(cell: GraphCell) -> None:
        await cell.submit(P0, 'a', TWO_STEPS, duration_ms=4000)
        await sleep_ms(500)
        started_count = len(cell.fleet.starts)
        for agent in cell.fleet.agents.values():
            agent.is_silent = True
        await sleep_ms(2500)
        for agent in cell.fleet.agents.values():
            agent.is_silent = False
        await sleep_ms(500)
        assert len(cell.fleet.starts) == started_count
        await cell.wait_phase('a', JobPhase.SUCCEEDED, 12_000)
        assert len(cell.fleet.starts) == 5

    run_scenario(scenario)


def test_hand_over_sends_no_order_twice() -> None:
    """Guards against orders of two owners for the same tasks.

    Jobs are accepted, start and end while the pool changes hands twice.
    """

    async def scenario(cell: GraphCell) -> None:
        names = [f'job-{number}' for number in range(6)]
        for name in names:
            submitter = follower_of(cell)
            await cell.submit(submitter, name, TWO_STEPS, duration_ms=700)
            if name in {'job-2', 'job-4'}:
                cell.processes[owner_of(cell)].drain()
            await sleep_ms(150)
        for name in names:
            await cell.wait_phase(name, JobPhase.SUCCEEDED, 12_000)
        assert len(cell.fleet.starts) == 5 * len(names)

    run_scenario(scenario, processes_count=5)
