"""Periodic actions: stalled runs, filler pace, leaving workers, and gangs."""

from dataclasses import replace

import pytest

from fuchsiarill.graphs.effects import Effect, PaceRun, StopRun
from fuchsiarill.graphs.model import (
    Checkpoint,
    EndKind,
    RunningRow,
    Step,
    WorkerListing,
)
from fuchsiarill.graphs.states import JobPhase
from fuchsiarill.ids import JobId
from fuchsiarill.resources import Resources
from tests.graph_owner import (
    CAPACITY,
    SIZE,
    Owner,
    ended,
    entry,
    running,
    task,
)
from tests.graph_world import World

_TARGET_MS = 100
SERVING = Step(1, SIZE, is_lasting=True, target_tail_ms=_TARGET_MS)
FILLER = Step(1, SIZE, estimate_ms=60000, is_filler=True)


def row(job: str, percent: int, usage: float | None = None) -> RunningRow:
    """Return a reported run with its progress and usage."""
    return RunningRow(task(job), 1, Checkpoint(''), percent, usage)


def stops(effects: list[Effect]) -> list[StopRun]:
    """Return the stop orders among the effects."""
    return [effect for effect in effects if isinstance(effect, StopRun)]


def paces(effects: list[Effect]) -> list[int]:
    """Return the percentages of the pace orders among the effects."""
    return [effect.percent for effect in effects if isinstance(effect, PaceRun)]


@pytest.mark.parametrize(
    ('step', 'percents', 'is_stopped'),
    [
        (Step(1, SIZE), (10, 10), True),
        (Step(1, SIZE), (10, 20), False),
        (Step(1, SIZE, is_lasting=True), (40, 40), True),
        (Step(1, SIZE, is_lasting=True), (100, 100), False),
        (FILLER, (10, 10), False),
    ],
)
def test_run_without_progress_is_stopped(
    step: Step,
    percents: tuple[int, int],
    *,
    is_stopped: bool,
) -> None:
    """Guards against a task that hangs on its worker forever.

    A lasting task stays at 100 percent once initialized, and the progress of a
    filler depends on the processors that other tasks leave idle.
    """
    owner = Owner('w0')
    owner.report('w0')
    owner.add_job('a', step)
    assert len(owner.starts()) == 1
    owner.report('w0', (row('a', percents[0]),))
    owner.decide()
    owner.now_ms += 4000
    owner.report('w0', (row('a', percents[1]),))
    assert bool(stops(owner.decide())) is is_stopped


def test_run_on_a_silent_worker_is_not_taken_as_stalled() -> None:
    """Guards against a stop of runs only because reports are missing."""
    owner = Owner('w0')
    owner.report('w0')
    owner.add_job('a', Step(1, SIZE))
    owner.starts()
    owner.report('w0', (row('a', 10),))
    owner.now_ms += 4000
    assert not stops(owner.decide())


def owner_with_serving_and_filler() -> Owner:
    """Return an owner whose worker runs a serving task and a filler."""
    owner = Owner('w0')
    owner.report('w0')
    owner.add_job('serving', SERVING)
    owner.starts()
    owner.add_job('filler', FILLER)
    owner.starts()
    return owner


def test_filler_pace_follows_the_tail_latency() -> None:
    """Guards against fillers that slow a serving task, or never resume."""
    owner = owner_with_serving_and_filler()
    rows = (row('serving', 100, 150), row('filler', 5, 1))
    owner.report('w0', rows)
    owner.now_ms += 1000
    assert paces(owner.decide()) == [0]
    # The reported tail latency still covers the time before the change.
    owner.report('w0', rows)
    assert not paces(owner.decide())
    percents = []
    for _ in range(8):
        owner.now_ms += 1000
        owner.report('w0', (row('serving', 100, 20), row('filler', 5, 1)))
        percents.extend(paces(owner.decide()))
    assert percents == [25, 50, 75, 100]


def test_filler_keeps_its_pace_near_the_target() -> None:
    """Guards against a pace that changes with every small change of latency."""
    owner = owner_with_serving_and_filler()
    owner.report('w0', (row('serving', 100, 75), row('filler', 5, 1)))
    owner.now_ms += 1000
    assert not paces(owner.decide())


@pytest.mark.parametrize(
    ('others', 'is_moved'),
    [(('w1',), True), ((), False)],
)
def test_lasting_task_moves_away_from_a_leaving_worker(
    others: tuple[str, ...],
    *,
    is_moved: bool,
) -> None:
    """Guards against a lasting task that runs until its worker ends.

    Without room on another worker the task stays, so that it runs as long as it
    can.
    """
    owner = Owner('w0', *others)
    owner.report('w0')
    owner.add_job('watch', Step(1, SIZE, is_lasting=True))
    owner.starts()
    owner.report('w0', (running(task('watch')),))
    for other in others:
        owner.report(other)
    leaving_entry = replace(entry('w0'), listing=WorkerListing.LEAVING)
    owner.core.update_workers(
        [leaving_entry, *map(entry, others)], owner.now_ms
    )
    assert bool(stops(owner.decide())) is is_moved
    if not is_moved:
        return
    end = ended(task('watch'), kind=EndKind.STOPPED)
    owner.report('w0', (), (end,))
    assert [start.worker for start in owner.starts()] == ['w1']


def test_gang_gets_the_workers_that_become_free() -> None:
    """Guards against a gang that small tasks prevent from ever starting."""
    owner = Owner('w0', 'w1')
    owner.report('w0')
    owner.report('w1')
    owner.add_job('first', Step(1, CAPACITY, estimate_ms=1000))
    owner.add_job('second', Step(1, CAPACITY, estimate_ms=1000))
    worker_of = {start.task.job: start.worker for start in owner.starts()}
    assert len(worker_of) == 2
    gang = Step(2, CAPACITY, estimate_ms=100, is_gang=True)
    owner.add_job('gang', gang)
    owner.decide()
    half_size = Resources(CAPACITY.processors_milli // 2, 100)
    owner.add_job('small', Step(4, half_size, estimate_ms=5000))
    for number, job in enumerate(('first', 'second')):
        success = ended(task(job), 1)
        owner.report(worker_of[job], (), (success,))  # type: ignore[index]
        starts = owner.starts()
        assert len(starts) == 2 * number
    assert {start.task.job for start in starts} == {'gang'}


def test_task_that_shows_progress_seldom_succeeds() -> None:
    """Guards against a task that is stopped as stalled again and again.

    Its percentage changes only every 4 s, as that of a task of 400 s does.
    """
    world = World('w0', 'w1', 'w2', 'w3')
    world.pass_time(100)
    world.steps['slow', 0] = Step(1, SIZE)
    world.run_ms['slow'] = 4000
    world.owner.add_job('slow', Step(1, SIZE))
    world.pass_time(60_000)
    entry_of_job = world.owner.core.state.jobs[JobId('slow')]
    assert entry_of_job.progress.phase is JobPhase.SUCCEEDED
