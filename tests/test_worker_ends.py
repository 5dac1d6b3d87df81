"""Ends of workers that are no crash of a task: cuts, notices, loss of power."""

from collections.abc import Callable

import pytest

from fuchsiarill.graphs.model import Step
from fuchsiarill.graphs.states import JobPhase
from fuchsiarill.ids import JobId
from fuchsiarill.resources import Resources
from tests.crash_world import (
    CRASH_AFTER_MS,
    LONG_OUTAGE_MS,
    OUTAGE_MS,
    SMALL,
    WORKERS,
    CrashWorld,
)
from tests.graph_owner import task


def cut_off(world: CrashWorld, name: str) -> None:
    """Cut a worker off until its leases have expired."""
    world.workers[name].is_reachable = False
    world.pass_time(LONG_OUTAGE_MS)
    world.workers[name].is_reachable = True


def leave(world: CrashWorld, name: str) -> None:
    """End a worker that has announced its end."""
    world.workers[name].is_leaving = True
    world.publish_directory()
    world.pass_time(200)
    world.crash(name)
    world.pass_time(OUTAGE_MS)
    world.workers[name].is_leaving = False
    world.publish_directory()


def leave_and_keep_id(world: CrashWorld, name: str) -> None:
    """Restart a worker under its id after a notice."""
    world.keeps_id = True
    leave(world, name)


def lapse_and_leave(world: CrashWorld, name: str) -> None:
    """End a worker after a notice that came while it was cut off."""
    world.workers[name].is_reachable = False
    world.pass_time(LONG_OUTAGE_MS)
    leave(world, name)


@pytest.mark.parametrize(
    'end_worker', [cut_off, leave, leave_and_keep_id, lapse_and_leave]
)
def test_end_without_a_crash_counts_nothing(
    end_worker: Callable[[CrashWorld, str], None],
) -> None:
    """Guards against sound tasks that are given up after cuts and restarts."""
    world = CrashWorld('w0', 'w1')
    world.pass_time(100)
    world.add('sound', Step(1, SMALL), run_ms=60_000)
    for _ in range(4):
        world.pass_time(300)
        name = world.worker_of(task('sound'))
        assert name is not None
        end_worker(world, name)
        world.pass_time(1000)
    entry_of_job = world.owner.core.state.jobs[JobId('sound')]
    assert entry_of_job.is_active
    assert not entry_of_job.progress.crashed_attempts
    assert not world.violations


def test_rack_without_power_gives_up_nothing() -> None:
    """Guards against tasks that are given up when their rack loses power."""
    world = CrashWorld(*WORKERS, rack='r1')
    world.pass_time(100)
    for number in range(4):
        world.add(f'j{number}', Step(1, SMALL), run_ms=2000)
    for _ in range(4):
        world.pass_time(300)
        for name in list(world.workers):
            if world.workers[name].is_reachable:
                world.crash(name)
        world.pass_time(OUTAGE_MS + 200)
    for number in range(4):
        progress = world.owner.core.state.jobs[JobId(f'j{number}')].progress
        assert progress.phase is JobPhase.ACTIVE
        assert not progress.crashed_attempts
    world.pass_time(6000)
    assert {world.phase(f'j{number}') for number in range(4)} == {
        JobPhase.SUCCEEDED
    }


@pytest.mark.parametrize('keeps_id', [False, True])
@pytest.mark.parametrize('outage_ms', [OUTAGE_MS, LONG_OUTAGE_MS])
@pytest.mark.parametrize(
    'step',
    [
        Step(2, Resources(1500, 100)),
        Step(4, Resources(900, 100)),
        Step(2, Resources(1500, 100), is_gang=True),
    ],
    ids=['a task a worker', 'two tasks a worker', 'gang'],
)
def test_deadly_job_on_a_whole_rack_is_given_up(
    step: Step, outage_ms: int, *, keeps_id: bool
) -> None:
    """Guards against a deadly job that passes for a loss of power.

    Its tasks crash all workers of their rack at one time, again and again.
    """
    world = CrashWorld('w0', 'w1', rack='r1')
    world.keeps_id = keeps_id
    world.outage_ms = outage_ms
    world.pass_time(100)
    world.add('deadly', step)
    for position in range(step.tasks_count):
        world.crash_after_ms[task('deadly', 0, position)] = CRASH_AFTER_MS
    world.pass_time(6 * (outage_ms + 1000))
    assert world.phase('deadly') is JobPhase.FAILED
    for position in range(step.tasks_count):
        assert len(world.starts_of(task('deadly', 0, position))) <= 5
    assert not world.violations


def test_sound_job_on_a_whole_rack_survives_a_loss_of_power() -> None:
    """Guards against a wide job that is given up when its rack loses power."""
    world = CrashWorld('w0', 'w1', rack='r1')
    world.pass_time(100)
    world.add('wide', Step(4, Resources(900, 100)), run_ms=1000)
    world.pass_time(200)
    assert all(worker.runs for worker in world.workers.values())
    for name in list(world.workers):
        world.crash(name)
    world.pass_time(OUTAGE_MS + 8000)
    assert world.phase('wide') is JobPhase.SUCCEEDED


def test_crash_in_a_rack_that_is_up_counts() -> None:
    """Guards against a deadly task that hides behind a loss of power."""
    world = CrashWorld(*WORKERS, rack='r1')
    world.pass_time(100)
    world.add('deadly', Step(1, SMALL))
    world.crash_after_ms[task('deadly')] = CRASH_AFTER_MS
    world.pass_time(12_000)
    assert world.phase('deadly') is JobPhase.FAILED
