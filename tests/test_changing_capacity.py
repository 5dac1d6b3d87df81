"""Decisions while workers' capacities shrink and grow in the directory.

A start must not bring a worker over its capacity, and a run that is being
stopped uses its share until its end has been reported.
"""

from dataclasses import replace
from typing import Final

import pytest

from fuchsiarill.graphs.effects import StopRun
from fuchsiarill.graphs.model import (
    BornMs,
    EndKind,
    Step,
    StepKey,
    Ticket,
    WorkerListing,
)
from fuchsiarill.ids import JobId, WorkerId
from fuchsiarill.resources import NO_RESOURCES, Resources
from tests.advised_owner import advice_requests, named_workers
from tests.graph_owner import (
    ADVISED,
    CAPACITY,
    SIZE,
    URGENT,
    Owner,
    ended,
    entry,
    running,
    task,
)

# Room for one task of `SIZE`; `CAPACITY` has room for two.
SHRUNK: Final = SIZE
CHECKPOINTING: Final = Step(2, SIZE, estimate_ms=60000, is_checkpointing=True)
ROWS: Final = (running(task('a')), running(task('a', 0, 1)))
_VALID_MS: Final = 60_000


def set_capacity(owner: Owner, **changed: Resources) -> None:
    """Write the directory: the given capacities, `CAPACITY` for the rest."""
    owner.core.update_workers(
        [
            replace(
                entry(view.worker),
                capacity=changed.get(view.worker, CAPACITY),
            )
            for view in owner.core.state.workers
        ],
        owner.now_ms,
    )


def full_worker(step: Step) -> Owner:
    """Return an owner whose worker runs both tasks of a step of job `a`."""
    owner = Owner('w0')
    owner.report('w0')
    owner.add_job('a', step)
    assert len(owner.starts()) == 2
    owner.report('w0', ROWS)
    return owner


def started_jobs(owner: Owner) -> list[JobId]:
    """Decide and return the jobs of the start orders."""
    return [start.task.job for start in owner.starts()]


@pytest.mark.parametrize(
    'step',
    [
        Step(1, SIZE),
        Step(1, SIZE, is_lasting=True),
        Step(1, SIZE, is_gang=True),
        Step(1, SIZE, is_filler=True),
    ],
)
def test_shrunken_worker_gets_no_start_until_its_runs_fit(step: Step) -> None:
    """Guards against starts on a worker whose runs exceed its new capacity."""
    owner = full_worker(Step(2, SIZE))
    set_capacity(owner, w0=SHRUNK)
    owner.add_job('b', step)
    assert not started_jobs(owner)
    first_end = ended(task('a'))
    owner.report('w0', ROWS[1:], (first_end,))
    assert not started_jobs(owner)
    owner.report('w0', (), (first_end, ended(task('a', 0, 1), 2)))
    assert started_jobs(owner) == ['b']


def test_gang_counts_the_shrunken_room_of_each_worker() -> None:
    """Guards against gang members packed by a capacity that has shrunk."""
    owner = Owner('w0', 'w1')
    for worker in ('w0', 'w1'):
        owner.report(worker)
    set_capacity(owner, w0=SHRUNK)
    owner.add_job('gang', Step(4, SIZE, is_gang=True))
    assert not owner.starts()
    owner.add_job('fitting', Step(3, SIZE, is_gang=True))
    workers = sorted(start.worker for start in owner.starts())
    assert workers == ['w0', 'w1', 'w1']


def test_reservation_of_a_gang_gives_no_room_after_a_shrink() -> None:
    """Guards against a start on room that was reserved before the shrink."""
    owner = Owner('w0', 'w1')
    for worker in ('w0', 'w1'):
        owner.report(worker)
    whole = Step(1, CAPACITY, estimate_ms=1000)
    owner.add_job('first', whole)
    owner.add_job('second', whole)
    worker_of = {start.task.job: start.worker for start in owner.starts()}
    owner.add_job('gang', Step(2, CAPACITY, estimate_ms=100, is_gang=True))
    assert not owner.starts()
    for job, worker in worker_of.items():
        owner.report(worker, (), (ended(task(job)),))
    set_capacity(owner, w1=SHRUNK)
    assert not owner.starts()
    set_capacity(owner)
    assert started_jobs(owner) == ['gang', 'gang']


def test_preempted_run_counts_until_its_end_is_reported() -> None:
    """Guards against a start beside runs that are still being stopped.

    On the shrunken worker both runs have to end before the urgent task fits,
    though the stop of either is ordered and answered.
    """
    owner = full_worker(CHECKPOINTING)
    set_capacity(owner, w0=SHRUNK)
    owner.add_job('quote', Step(1, SIZE, estimate_ms=100), queue=URGENT)
    stops = [effect for effect in owner.decide() if isinstance(effect, StopRun)]
    assert len(stops) == 2
    for stop in stops:
        owner.core.stop_answered(
            stop.worker, stop.task, stop.attempt, None, owner.now_ms
        )
    first_end = ended(task('a'), kind=EndKind.STOPPED)
    owner.report('w0', ROWS[1:], (first_end,))
    assert not started_jobs(owner)
    second_end = ended(task('a', 0, 1), 2, EndKind.STOPPED)
    owner.report('w0', (), (first_end, second_end))
    assert started_jobs(owner) == ['quote']


def test_no_run_is_preempted_for_a_step_that_cannot_fit() -> None:
    """Guards against stopped runs whose room is too small after a shrink."""
    owner = full_worker(CHECKPOINTING)
    set_capacity(owner, w0=Resources(500, 500))
    owner.add_job('quote', Step(1, SIZE, estimate_ms=100), queue=URGENT)
    assert not owner.decide()


def test_waiting_tasks_start_when_a_worker_grows() -> None:
    """Guards against a step that waits for another event after a growth."""
    owner = full_worker(Step(2, SIZE))
    owner.add_job('b', Step(3, SIZE))
    assert not owner.starts()
    set_capacity(owner, w0=CAPACITY + SIZE + SIZE)
    owner.core.decide(owner.now_ms)
    assert len(owner.core.take_effects()) == 2


def test_runs_on_a_shrunken_worker_are_not_stopped() -> None:
    """Guards against work that is lost although the worker still does it."""
    owner = full_worker(CHECKPOINTING)
    set_capacity(owner, w0=SHRUNK)
    assert not owner.decide()


def test_shrunken_worker_does_not_delay_a_step_elsewhere() -> None:
    """Guards against a step that waits for a worker that has become too small.

    The step was blocked, and its gang reservations were made, before the
    shrink.
    """
    owner = Owner('w0', 'w1', 'w2')
    for worker in ('w0', 'w1', 'w2'):
        owner.report(worker)
    whole = Step(1, CAPACITY, estimate_ms=1000)
    for job in ('a', 'b', 'c'):
        owner.add_job(job, whole)
    worker_of = {start.task.job: start.worker for start in owner.starts()}
    owner.add_job('gang', Step(2, CAPACITY, estimate_ms=100, is_gang=True))
    assert not owner.starts()
    first, second, third = worker_of.items()
    set_capacity(owner, **{first[1]: NO_RESOURCES})
    for job, worker in (second, third):
        owner.report(worker, (), (ended(task(job)),))
    assert started_jobs(owner) == ['gang', 'gang']


def test_step_asks_for_other_workers_than_its_shrunken_one() -> None:
    """Guards against a step whose only ticket is for a worker too small."""
    owner = Owner('w0')
    owner.report('w0')
    owner.add_job('a', Step(1, CAPACITY), queue=ADVISED)
    set_capacity(owner, w0=SHRUNK)
    owner.core.advice_received(
        StepKey(JobId('a'), 0, 0),
        {WorkerId('w0'): BornMs(1)},
        {WorkerId('w0'): Ticket('t')},
        owner.now_ms + _VALID_MS,
        owner.now_ms,
    )
    assert not owner.decide()
    owner.core.update_workers(
        [replace(entry('w0'), capacity=SHRUNK), entry('w1')], owner.now_ms
    )
    owner.core.record_workers([WorkerId('w1')])
    owner.report('w1')
    requests = advice_requests(owner)
    assert [named_workers(owner, request) for request in requests] == [{'w1'}]


def test_lasting_task_is_not_moved_to_a_shrunken_worker() -> None:
    """Guards against a task that is stopped for room that is gone."""
    owner = Owner('w0', 'w1')
    owner.report('w0')
    owner.add_job('watch', Step(1, CAPACITY, is_lasting=True))
    owner.starts()
    owner.report('w0', (running(task('watch')),))
    owner.report('w1')
    leaving = replace(entry('w0'), listing=WorkerListing.LEAVING)
    shrunken = replace(entry('w1'), capacity=SHRUNK)
    owner.core.update_workers([leaving, shrunken], owner.now_ms)
    assert not owner.decide()
    owner.core.update_workers([leaving, entry('w1')], owner.now_ms)
    stops = [effect for effect in owner.decide() if isinstance(effect, StopRun)]
    assert [stop.worker for stop in stops] == ['w0']
