"""Jobs and workers of a pool under failures, in simulated time.

Each test ends with a check that no task ran twice or after its success, and
that no worker exceeded its capacity.
"""

import pytest

from fuchsiarill import codes
from fuchsiarill.clock import now_ms, sleep_ms
from fuchsiarill.graphs.model import Step
from fuchsiarill.graphs.states import JobPhase
from fuchsiarill.ids import CustomerId
from standins.store_model import PathFault
from tests.graph_cell import (
    P0,
    P1,
    TASK_SIZE,
    TWO_STEPS,
    GraphCell,
    follower_of,
    run_scenario,
)


def test_steps_run_in_order() -> None:
    """Guards against a step that starts before its dependency has ended."""

    async def scenario(cell: GraphCell) -> None:
        answer = await cell.submit(P0, 'a', TWO_STEPS, duration_ms=300)
        assert answer.code is codes.ACCEPTED
        await cell.wait_phase('a', JobPhase.SUCCEEDED, 3000)
        steps = [task.step for task, _, _ in cell.fleet.starts]
        assert steps == [0, 0, 0, 1, 1]

    run_scenario(scenario)


def test_repeated_submission_is_one_job() -> None:
    """Guards against a second job for a request that was sent twice."""

    async def scenario(cell: GraphCell) -> None:
        await cell.submit(P0, 'a', TWO_STEPS, duration_ms=100)
        second_answer = await cell.submit(P1, 'a', TWO_STEPS, duration_ms=100)
        assert second_answer.code is codes.ACCEPTED
        await cell.wait_phase('a', JobPhase.SUCCEEDED, 3000)
        assert len(cell.fleet.starts) == 5

    run_scenario(scenario)


def test_lost_tasks_start_again_when_their_leases_have_lapsed() -> None:
    """Guards against tasks of a lost worker that never start elsewhere."""

    async def scenario(cell: GraphCell) -> None:
        lasting_steps = (Step(2, TASK_SIZE, is_lasting=True, per_worker_max=1),)
        await cell.submit(P0, 'a', lasting_steps)
        await sleep_ms(500)
        lost_worker = cell.fleet.starts[0][2]
        cell.fleet.agents.pop(lost_worker)
        cell.unlist_worker(lost_worker)
        await sleep_ms(9000)
        assert len(cell.fleet.starts) == 3

    run_scenario(scenario)


def test_unanswered_start_is_ruled_out_before_the_next() -> None:
    """Guards against two runs of a task when the start order got no answer."""

    async def scenario(cell: GraphCell) -> None:
        for agent in cell.fleet.agents.values():
            agent.loses_answers = True
        await cell.submit(P0, 'a', (Step(1, TASK_SIZE),), duration_ms=2000)
        await sleep_ms(1500)
        for agent in cell.fleet.agents.values():
            agent.loses_answers = False
        await cell.wait_phase('a', JobPhase.SUCCEEDED, 9000)

    run_scenario(scenario)


def test_silent_worker_keeps_its_tasks_until_they_lapse() -> None:
    """Guards against a task that runs on both sides of a network partition."""

    async def scenario(cell: GraphCell) -> None:
        await cell.submit(P0, 'a', (Step(1, TASK_SIZE),), duration_ms=4000)
        await sleep_ms(500)
        worker = cell.fleet.starts[0][2]
        cell.fleet.agents[worker].is_silent = True
        await sleep_ms(9000)
        cell.fleet.agents[worker].is_silent = False
        await cell.wait_phase('a', JobPhase.SUCCEEDED, 9000)

    run_scenario(scenario)


def test_restarted_worker_has_lost_its_runs() -> None:
    """Guards against waiting for runs that a worker's restart has ended."""

    async def scenario(cell: GraphCell) -> None:
        await cell.submit(P0, 'a', (Step(2, TASK_SIZE),), duration_ms=1500)
        await sleep_ms(500)
        cell.add_worker(cell.fleet.starts[0][2])
        await cell.wait_phase('a', JobPhase.SUCCEEDED, 4500)

    run_scenario(scenario)


@pytest.mark.parametrize('fault', [PathFault.REFUSED, PathFault.SILENT])
def test_store_outage_ends_no_task(fault: PathFault) -> None:
    """Guards against task leases that expire during a store outage."""

    async def scenario(cell: GraphCell) -> None:
        await cell.submit(P0, 'a', (Step(2, TASK_SIZE),), duration_ms=6000)
        await sleep_ms(500)
        for path in cell.paths.values():
            path.fault = fault
        await sleep_ms(4500)
        for path in cell.paths.values():
            path.fault = PathFault.NONE
        await cell.wait_phase('a', JobPhase.SUCCEEDED, 9000)
        assert len(cell.fleet.starts) == 2

    run_scenario(scenario)


def test_refused_submission_never_runs() -> None:
    """Guards against tasks of a job whose submission was refused."""

    async def scenario(cell: GraphCell) -> None:
        name = follower_of(cell)
        cell.paths[name].fault = PathFault.REFUSED
        answer = await cell.submit(name, 'a', TWO_STEPS, duration_ms=10)
        assert answer.code is codes.STORE_UNAVAILABLE
        await sleep_ms(2000)
        assert not cell.fleet.starts

    run_scenario(scenario)


def test_lost_answer_is_no_refusal() -> None:
    """Guards against a refusal when the job may have been accepted."""

    async def scenario(cell: GraphCell) -> None:
        name = follower_of(cell)
        cell.paths[name].fault = PathFault.ANSWER_LOST
        started_ms = now_ms()
        answer = await cell.submit(name, 'a', TWO_STEPS, duration_ms=10)
        assert answer.code is codes.OUTCOME_UNCERTAIN
        assert now_ms() - started_ms <= 3500
        await cell.wait_phase('a', JobPhase.SUCCEEDED, 3000)

    run_scenario(scenario)


def test_cancelled_job_stops() -> None:
    """Guards against tasks that keep running after a cancellation."""

    async def scenario(cell: GraphCell) -> None:
        await cell.submit(P0, 'a', (Step(2, TASK_SIZE, is_lasting=True),))
        await sleep_ms(400)
        answer = await cell.cancel(P1, 'a')
        assert answer.code is codes.ACCEPTED
        await cell.wait_phase('a', JobPhase.CANCELLED, 1000)
        await sleep_ms(1000)
        assert not any(agent.runs for agent in cell.fleet.agents.values())

    run_scenario(scenario)


def test_job_fails_after_its_attempts() -> None:
    """Guards against more failed attempts than the queue allows."""

    async def scenario(cell: GraphCell) -> None:
        single_task = (Step(1, TASK_SIZE),)
        await cell.submit(P0, 'a', single_task, duration_ms=50, fails=9)
        await cell.submit(P0, 'b', single_task, duration_ms=50, fails=2)
        await cell.wait_phase('a', JobPhase.FAILED, 15000)
        await cell.wait_phase('b', JobPhase.SUCCEEDED, 15000)
        attempts = [task.job for task, _, _ in cell.fleet.starts]
        assert attempts.count('a') == 3  # type: ignore[arg-type]

    run_scenario(scenario)


def test_gang_starts_as_a_whole() -> None:
    """Guards against a gang of which only some members have started."""

    async def scenario(cell: GraphCell) -> None:
        gang = (Step(12, TASK_SIZE, is_gang=True),)
        await cell.submit(P0, 'a', (Step(1, TASK_SIZE),), duration_ms=1000)
        await cell.submit(P0, 'b', gang, duration_ms=300)
        await sleep_ms(800)
        assert len(cell.fleet.starts) == 1
        await cell.wait_phase('b', JobPhase.SUCCEEDED, 4000)
        assert len({attempt for _, attempt, _ in cell.fleet.starts}) == 1

    run_scenario(scenario)


def test_compaction_hides_no_job() -> None:
    """Guards against a watch that misses changes from before a compaction."""

    async def scenario(cell: GraphCell) -> None:
        cell.store.compact()
        await cell.submit(P0, 'a', TWO_STEPS, duration_ms=100)
        cell.store.compact()
        await cell.wait_phase('a', JobPhase.SUCCEEDED, 4000)

    run_scenario(scenario)


def test_worker_that_fails_everything_is_suspended() -> None:
    """Guards against a faulty worker that uses up the attempts of jobs."""

    async def scenario(cell: GraphCell) -> None:
        cell.fleet.agents['w0'].fails_all = True
        for number in range(8):
            single_task = (Step(1, TASK_SIZE),)
            await cell.submit(P0, f'j{number}', single_task, duration_ms=200)
        for number in range(8):
            await cell.wait_phase(f'j{number}', JobPhase.SUCCEEDED, 9000)
        failed_starts = [
            worker for _, _, worker in cell.fleet.starts if worker == 'w0'
        ]
        assert len(failed_starts) <= 5

    run_scenario(scenario)


def test_metrics_count_events() -> None:
    """Guards against metrics that are never updated."""

    async def scenario(cell: GraphCell) -> None:
        single_task = (Step(1, TASK_SIZE),)
        await cell.submit(P0, 'a', single_task, duration_ms=50, fails=1)
        await cell.wait_phase('a', JobPhase.SUCCEEDED, 9000)
        metrics_text = cell.metrics.render().decode()
        for sample in (
            'fuchsiarill_graph_takeovers_total 1.0',
            'fuchsiarill_graph_run_ends_total{kind="failed"} 1.0',
            'fuchsiarill_graph_run_ends_total{kind="succeeded"} 1.0',
            'fuchsiarill_graph_wait_seconds_count{queue="quotes"} 2.0',
            'fuchsiarill_graph_config_generation 1.0',
        ):
            assert sample in metrics_text

    run_scenario(scenario)


def test_only_the_customer_of_a_job_cancels_it() -> None:
    """Guards against customers that cancel the jobs of others."""

    async def scenario(cell: GraphCell) -> None:
        steps = (Step(1, TASK_SIZE, estimate_ms=1000),)
        follower = follower_of(cell)
        mason, tiler = CustomerId('mason'), CustomerId('tiler')
        await cell.submit(follower, 'a', steps, customer=mason, duration_ms=500)
        answer = await cell.cancel(follower, 'a', tiler)
        assert answer.code is codes.UNKNOWN_JOB
        await sleep_ms(1500)
        assert cell.phase('a') is JobPhase.SUCCEEDED
        await cell.submit(follower, 'b', steps, customer=mason, duration_ms=500)
        answer = await cell.cancel(follower, 'b', mason)
        assert answer.code is codes.ACCEPTED

    run_scenario(scenario)
