"""Decisions about new jobs under the load patterns that the code names."""

from dataclasses import replace
from typing import Any

import pytest

from fuchsiarill import codes
from fuchsiarill.graphs.model import (
    JobGraph,
    PoolId,
    QueueId,
    QueuePolicy,
    Schedule,
    Step,
)
from fuchsiarill.ids import CustomerId, Epoch, JobId
from fuchsiarill.load.admission import (
    KnownLoad,
    LoadRefusal,
    RefusalCause,
    decide,
)
from fuchsiarill.load.ahead import WIDTHS_MILLI
from fuchsiarill.load.pool_load import PoolLoad, QueueLoad, RunTimeCurve
from fuchsiarill.load.return_times import ReturnRequest, ReturnTimes
from fuchsiarill.resources import Resources

POOL = PoolId('desk')
QUOTES = QueueId('quotes')
MASON = CustomerId('mason')
TASK = Step(1, Resources(2000, 100), estimate_ms=1000)
# Objective 2.5 s, so that it has value for 7.5 s and may wait 6.5 s.
POLICY = QueuePolicy(QUOTES, '', '', POOL, 0, slack_factor=2, target_ms=500)
LEARNED = RunTimeCurve(1000, 100, 100_001)
FULL = (Resources(1000, 4000),)
LARGEST = (Resources(64000, 64000), Resources(8000, 8000, 4))


def job(*steps: Step, number: int = 0, **changes: Any) -> JobGraph:
    """Return a job of the queue, by default of one task."""
    name = JobId(f'{number:016x}')
    graph = JobGraph(
        name, QUOTES, POOL, '', steps or (TASK,), accepted_policy=POLICY
    )
    return replace(graph, **changes)


def waits(wait_ms: int) -> tuple[int, ...]:
    """Return the waits of a pool where all waiting tasks have 2 processors."""
    return tuple(wait_ms if width >= 2000 else 0 for width in WIDTHS_MILLI)


def full_pool(
    wait_ms: int, excess_wait_ms: int = 0, **changes: Any
) -> PoolLoad:
    """Return the load of a pool without room, with learned run times."""
    queue = QueueLoad(
        40,
        80_000,
        least_path_ms=500,
        waits_ms=waits(wait_ms),
        excess_waits_ms=waits(excess_wait_ms),
        run_times=LEARNED,
    )
    load = PoolLoad(
        POOL,
        Epoch(7),
        0,
        {QUOTES: queue},
        largest=LARGEST,
        largest_free=FULL,
    )
    return replace(load, **changes)


def answer(load: PoolLoad, graph: JobGraph) -> Any:
    """Return the code of a refusal, `None` for an accepted job."""
    refusal = decide(KnownLoad(load, 0), graph)
    return refusal and refusal.code


def test_burst_beyond_any_value_is_refused() -> None:
    """Guards against callers who wait for a job that has no value left."""
    refusal = decide(KnownLoad(full_pool(60_000), 400), job())
    assert refusal == LoadRefusal(RefusalCause.WAIT, 59_600, 9000, 400)
    assert refusal.code is codes.OVERLOADED


@pytest.mark.parametrize('wait_ms', [0, 6500, 9000])
def test_burst_that_can_be_served_in_time_is_accepted(wait_ms: int) -> None:
    """Guards against a refusal of what is done within its value.

    The run may take half as long again, which moves the objective out.
    """
    assert answer(full_pool(wait_ms), job()) is None


def test_unlearned_run_times_refuse_later() -> None:
    """Guards against a refusal by estimates that are four times too low."""
    queue = QueueLoad(40, 80_000, waits_ms=waits(21_500))
    load = full_pool(0, queues={QUOTES: queue})
    assert answer(load, job()) is None
    queue = replace(queue, waits_ms=waits(21_501))
    load = replace(load, queues={QUOTES: queue})
    assert answer(load, job()) is codes.OVERLOADED


def test_job_of_unknown_length_is_accepted() -> None:
    """Guards against a refusal without knowledge of the objective."""
    queue = QueueLoad(40, 80_000, waits_ms=waits(600_000))
    load = full_pool(0, queues={QUOTES: queue})
    assert answer(load, job(replace(TASK, estimate_ms=0))) is None


def test_room_on_one_worker_is_enough() -> None:
    """Guards against refusals while constrained work waits beside free room."""
    load = full_pool(600_000, largest_free=(*FULL, Resources(2000, 100)))
    assert answer(load, job()) is None
    assert answer(load, job(replace(TASK, size=Resources(3000)))) is not None


def test_narrow_tasks_pass_wider_ones() -> None:
    """Guards against refusals of tasks that start beside waiting wider ones."""
    graph = job(replace(TASK, size=Resources(1900, 6000)))
    assert answer(full_pool(600_000), graph) is None


@pytest.mark.parametrize(
    'graph',
    [
        job(replace(TASK, is_lasting=True)),
        job(schedule=Schedule(0, 1000, 3)),
        job(queue=QueueId('new')),
        job(accepted_policy=None),
        job(accepted_policy=replace(POLICY, slack_factor=0.9)),
        job(replace(TASK, estimate_ms=10)),
    ],
)
def test_jobs_that_no_wait_refuses(graph: JobGraph) -> None:
    """Guards against refusals of jobs without an objective or known rank."""
    assert answer(full_pool(3_600_000), graph) is None


def test_no_knowledge_accepts() -> None:
    """Guards against a scheduler that refuses because its owner is gone."""
    assert decide(None, job()) is None


def test_task_above_every_worker_is_refused_at_once() -> None:
    """Guards against jobs that wait for a worker that does not exist."""
    too_wide = replace(TASK, size=Resources(64001, 1))
    mixed = replace(TASK, size=Resources(64000, 1, 1))
    for step in (too_wide, mixed, replace(too_wide, is_lasting=True)):
        assert answer(full_pool(0), job(TASK, step)) is codes.NEVER_FITS
        assert answer(full_pool(0, largest=()), job(step)) is None
    # Only its memory and accelerators are charged.
    filler = replace(too_wide, is_filler=True)
    assert answer(full_pool(0), job(filler)) is None
    later = job(too_wide, schedule=Schedule(0, 1000, 3))
    assert answer(full_pool(0), later) is None


def test_excess_of_one_customer_is_refused_alone() -> None:
    """Guards against a customer whose burst pushes the others aside.

    The share of its jobs within its rate is served like those of the others,
    and a job sent again gets the same answer.
    """
    load = full_pool(1000, 60_000, beyond={MASON: 250})
    graphs = [job(number=number, customer=MASON) for number in range(400)]
    answers = [answer(load, graph) for graph in graphs]
    assert set(answers) == {codes.RATE_EXCEEDED, None}
    assert 60 <= answers.count(None) <= 140
    assert answers == [answer(load, graph) for graph in graphs]
    other = [replace(graph, customer=CustomerId('x')) for graph in graphs]
    assert {answer(load, graph) for graph in other} == {None}
    idle = full_pool(0, 9000, beyond={MASON: 250})
    assert {answer(idle, graph) for graph in graphs} == {None}


@pytest.mark.parametrize('processes_count', [1, 10, 34])
def test_returns_press_at_most_by_a_fifth_more_than_is_done(
    processes_count: int,
) -> None:
    """Guards against refused jobs that come back as the next burst.

    Each process refuses its part of 1,200 jobs within 2 s; the pool does 80 of
    them a second. Every window of 2 s has at most 1.2 times as many returns.
    """
    rows = [ReturnTimes() for _ in range(processes_count)]
    returns_ms: list[int] = []
    for number in range(1200):
        refused_ms = number * 2000 // 1200
        request = ReturnRequest(
            JobId(f'{number * 7919:016x}'), 500, 40_000, processes_count
        )
        delay_ms = rows[number % processes_count].delay_ms(request, refused_ms)
        assert 1000 <= delay_ms <= 30_000
        assert delay_ms % 1000 == 0
        returns_ms.append(refused_ms + delay_ms)
    for start_ms in range(0, 20_000, 250):
        window = [time for time in returns_ms if 0 <= time - start_ms < 2000]
        assert len(window) <= 2 * 80 * 1.2
    # They do not wait much longer than the pool needs for them either.
    assert max(returns_ms) < 20_000


def test_returns_without_progress_come_as_late_as_possible() -> None:
    """Guards against a division by zero and against returns to a dead pool."""
    for work_ms, drain_milli in ((500, 0), (10**9, 1), (500, 1000)):
        row = ReturnTimes()
        request = ReturnRequest(JobId('a'), work_ms, drain_milli, 3, 4200)
        delays_ms = [row.delay_ms(request, 0) for _ in range(100)]
        assert delays_ms[-1] == 30_000
        assert delays_ms == sorted(delays_ms)
        assert delays_ms[0] >= 5000
