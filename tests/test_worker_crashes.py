"""Tasks that crash each worker that starts them.

A task under which two workers have crashed may be given up. Sound tasks that
ran beside it, and tasks whose workers ended for other reasons, have to succeed.
"""

from dataclasses import replace

import pytest

from fuchsiarill.graphs import records
from fuchsiarill.graphs.model import BornMs, Step
from fuchsiarill.graphs.progress import JobProgress, UnitKey
from fuchsiarill.graphs.states import JobPhase
from fuchsiarill.ids import JobId, WorkerId
from fuchsiarill.resources import Resources
from tests.crash_world import (
    CRASH_AFTER_MS,
    LONG_OUTAGE_MS,
    OUTAGE_MS,
    SMALL,
    WORKERS,
    CrashWorld,
    deadly_world,
)
from tests.graph_owner import URGENT, Owner, entry, running, task


@pytest.mark.parametrize('keeps_id', [False, True])
@pytest.mark.parametrize('outage_ms', [300, OUTAGE_MS, LONG_OUTAGE_MS])
def test_task_that_crashes_workers_is_given_up(
    outage_ms: int, *, keeps_id: bool
) -> None:
    """Guards against a task that crashes one worker after the other for ever.

    Its sound neighbours succeed. The crash is proved by another worker at the
    address or by a later incarnation, before or after the leases expire.
    """
    world = deadly_world()
    world.keeps_id = keeps_id
    world.outage_ms = outage_ms
    world.pass_time(6 * (outage_ms + 1000))
    assert world.phase('deadly') is JobPhase.FAILED
    assert world.phase('sound') is JobPhase.SUCCEEDED
    # After three crashes, less than three further starts are allowed.
    assert 2 <= len(world.starts_of(task('deadly'))) <= 5
    assert not world.violations


def test_second_crash_is_enough_if_the_task_was_alone() -> None:
    """Guards against further crashes when the cause is clear."""
    world = deadly_world()
    world.pass_time(12_000)
    assert world.phase('deadly') is JobPhase.FAILED
    assert len(world.starts_of(task('deadly'))) == 2


def test_neighbours_of_a_crash_lose_their_work_once() -> None:
    """Guards against sound tasks that start beside the deadly one again."""
    world = deadly_world()
    world.pass_time(12_000)
    assert world.phase('sound') is JobPhase.SUCCEEDED
    for position in range(6):
        assert len(world.starts_of(task('sound', 0, position))) <= 2
    positions = [
        number
        for number, start in enumerate(world.starts)
        if start.task == task('deadly')
    ]
    assert len(positions) == 2
    assert not world.neighbours[positions[1]]


def test_no_run_joins_a_trial() -> None:
    """Guards against new tasks that are lost with the worker of a suspect."""
    world = deadly_world(workers=('w0', 'w1'))
    world.pass_time(OUTAGE_MS + 300)
    world.add('later', Step(8, SMALL), run_ms=100)
    world.pass_time(12_000)
    assert world.phase('later') is JobPhase.SUCCEEDED
    for position in range(8):
        assert len(world.starts_of(task('later', 0, position))) == 1


def test_task_that_crashes_its_worker_late_is_given_up() -> None:
    """Guards against a deadly task that outlives each short trial."""
    world = deadly_world(crash_after_ms=1500)
    world.add('long', Step(6, SMALL), run_ms=3000)
    world.run_ms['deadly'] = 3000
    world.pass_time(60_000)
    assert world.phase('deadly') is JobPhase.FAILED
    assert world.phase('long') is JobPhase.SUCCEEDED
    assert len(world.starts_of(task('deadly'))) <= 5


def test_crashes_are_counted_across_owners() -> None:
    """Guards against a deadly task that each new owner starts three times."""
    world = deadly_world(neighbours_count=2)
    world.pass_time(OUTAGE_MS + 150)
    assert world.owner.core.state.jobs[
        JobId('deadly')
    ].progress.crashed_attempts
    world.replace_owner()
    world.pass_time(15_000)
    assert world.phase('deadly') is JobPhase.FAILED
    assert world.phase('sound') is JobPhase.SUCCEEDED
    assert len(world.starts_of(task('deadly'))) <= 3


def test_gang_counts_once_a_crash() -> None:
    """Guards against a sound gang that is given up after a single crash.

    Several members may run on the worker, or on workers that crash together.
    """
    world = CrashWorld('w0', 'w1')
    world.pass_time(100)
    gang = Step(4, Resources(900, 100), is_gang=True)
    world.add('gang', gang, run_ms=2000)
    world.pass_time(500)
    for name in ('w0', 'w1'):
        world.crash(name)
    world.pass_time(OUTAGE_MS + 200)
    progress = world.owner.core.state.jobs[JobId('gang')].progress
    assert progress.crashed_attempts == {UnitKey(0, 0, 0): {1}}
    world.pass_time(6000)
    assert world.phase('gang') is JobPhase.SUCCEEDED


def test_deadly_gang_is_given_up() -> None:
    """Guards against a gang that crashes its workers for ever."""
    world = CrashWorld(*WORKERS)
    world.pass_time(100)
    world.add('gang', Step(2, Resources(1500, 100), is_gang=True), run_ms=6000)
    world.crash_after_ms[task('gang', 0, 1)] = CRASH_AFTER_MS
    world.pass_time(20_000)
    assert world.phase('gang') is JobPhase.FAILED
    assert len(world.starts_of(task('gang', 0, 1))) == 2


def test_lasting_task_outlives_unrelated_crashes() -> None:
    """Guards against a watch that is given up after a season of crashes."""
    world = CrashWorld('w0', 'w1', 'w2')
    world.pass_time(100)
    world.add('watch', Step(1, SMALL, is_lasting=True))
    for _ in range(8):
        world.pass_time(8000)
        name = world.worker_of(task('watch'))
        assert name is not None
        world.crash(name)
    world.pass_time(10_000)
    assert world.phase('watch') is JobPhase.ACTIVE
    assert world.worker_of(task('watch')) is not None
    progress = world.owner.core.state.jobs[JobId('watch')].progress
    assert not progress.crashed_attempts


@pytest.mark.parametrize('is_gang', [False, True])
def test_long_task_outlives_unrelated_crashes(*, is_gang: bool) -> None:
    """Guards against a task of hours that is given up after four crashes.

    Each run lasts for over a minute before the worker crashes.
    """
    world = CrashWorld('w0', 'w1', 'w2')
    world.pass_time(100)
    step = Step(2, Resources(1500, 100), is_gang=is_gang)
    world.add('long', step, run_ms=120_000)
    for _ in range(5):
        world.pass_time(68_000)
        name = world.worker_of(task('long', 0, 1))
        assert name is not None
        world.crash(name)
        world.pass_time(OUTAGE_MS + 1000)
        assert world.phase('long') is JobPhase.ACTIVE
    world.pass_time(125_000)
    assert world.phase('long') is JobPhase.SUCCEEDED
    assert not any(view.trials_count for view in world.owner.core.state.workers)


def test_deadly_lasting_task_is_given_up() -> None:
    """Guards against a lasting task that crashes one worker after the other."""
    world = CrashWorld(*WORKERS)
    world.pass_time(100)
    world.add('watch', Step(1, SMALL, is_lasting=True))
    world.crash_after_ms[task('watch')] = CRASH_AFTER_MS
    world.pass_time(12_000)
    assert world.phase('watch') is JobPhase.FAILED


def test_old_runs_are_no_suspects() -> None:
    """Guards against trials of tasks that have long run without a crash."""
    world = CrashWorld(*WORKERS)
    world.pass_time(100)
    world.add('old', Step(1, SMALL), run_ms=6000)
    world.pass_time(3000)
    name = world.worker_of(task('old'))
    assert name is not None
    world.crash(name)
    world.pass_time(OUTAGE_MS + 200)
    world.add('new', Step(8, SMALL), run_ms=100)
    world.pass_time(100)
    unit = world.owner.core.state.jobs[JobId('old')].steps[0, 0].active
    assert not any(active.is_suspect for active in unit.values())


def test_suspect_starts_on_a_full_worker() -> None:
    """Guards against a suspect that waits for an empty worker for ever."""
    world = CrashWorld('w0', 'w1')
    world.pass_time(100)
    world.add('watch', Step(2, SMALL, is_lasting=True, per_worker_max=1))
    world.pass_time(7000)
    world.add('sound', Step(1, SMALL), run_ms=2000)
    world.pass_time(200)
    name = world.worker_of(task('sound'))
    assert name is not None
    world.crash(name)
    world.pass_time(OUTAGE_MS + 6000)
    assert world.phase('sound') is JobPhase.SUCCEEDED


def test_suspects_wait_together_on_busy_workers() -> None:
    """Guards against suspects that wait a second each, one after the other.

    On each worker a run has just started, so that none is quiet.
    """
    world = CrashWorld('w0', 'w1', 'w2')
    world.pass_time(100)
    world.add('wide', Step(20, SMALL), run_ms=1000)
    world.pass_time(200)
    name = world.worker_of(task('wide'))
    assert name is not None
    world.crash(name)
    world.pass_time(OUTAGE_MS)
    for number in range(200):
        world.add(f'busy{number}', Step(2, Resources(1100, 100)), run_ms=100)
        world.pass_time(50)
    assert world.phase('wide') is JobPhase.SUCCEEDED


def test_suspect_avoids_the_worker_of_a_lasting_task() -> None:
    """Guards against a watch that is lost beside a task on trial."""
    world = CrashWorld(*WORKERS)
    world.pass_time(100)
    world.add('watch', Step(2, SMALL, is_lasting=True, per_worker_max=1))
    world.pass_time(7000)
    world.add('deadly', Step(1, SMALL))
    world.crash_after_ms[task('deadly')] = CRASH_AFTER_MS
    world.pass_time(12_000)
    assert world.phase('deadly') is JobPhase.FAILED
    second = world.starts.index(world.starts_of(task('deadly'))[1])
    watches = {task('watch', 0, position) for position in range(2)}
    assert not world.neighbours[second] & watches


def test_worker_gets_runs_after_a_trial() -> None:
    """Guards against a worker that gets no run after a trial has ended."""
    world = deadly_world(workers=('w0', 'w1'))
    world.pass_time(20_000)
    assert world.phase('sound') is JobPhase.SUCCEEDED
    assert not any(view.trials_count for view in world.owner.core.state.workers)


def test_crashes_suspend_no_worker() -> None:
    """Guards against sound workers that get no runs after crashes."""
    world = deadly_world()
    world.keeps_id = True
    world.pass_time(12_000)
    for view in world.owner.core.state.workers:
        assert not view.failure_record.suspensions_count


def test_task_that_was_not_on_trial_is_not_given_up() -> None:
    """Guards against a long task that is given up at its third crash.

    It had long run in the first two, and had started by chance just before the
    third.
    """
    owner = Owner('w0')
    owner.add_job('long', Step(1, SMALL))
    row = (running(task('long'), 1),)
    progress = owner.core.state.jobs[JobId('long')].progress
    for born_ms in (2, 4, 6):
        row = (running(task('long'), born_ms),)
        owner.report('w0', row, born_ms=born_ms)
        if born_ms < 6:
            owner.now_ms += 3000
            owner.report('w0', row, born_ms=born_ms)
        owner.report('w0', born_ms=born_ms + 1)
    assert progress.crashes_count(UnitKey(0, 0, 0)) == 3
    assert progress.phase is JobPhase.ACTIVE


def test_run_that_started_well_before_a_trial_is_no_suspect() -> None:
    """Guards against a deadly task that is not recognised beside others.

    A run that has started longer before the trial than a deadly task takes to
    crash its worker is not the cause.
    """
    owner = Owner('w0')
    owner.report('w0')
    owner.add_job('deadly', Step(1, SMALL))
    owner.starts()
    owner.report('w0', (running(task('deadly')),))
    owner.report('w0', born_ms=2)
    owner.list_incarnation('w0', 2)
    owner.add_job('sound', Step(1, SMALL), queue=URGENT)
    assert [start.task.job for start in owner.starts()] == ['sound']
    owner.now_ms += 200
    assert [start.task.job for start in owner.starts()] == ['deadly']
    rows = (running(task('sound')), running(task('deadly'), 2))
    owner.report('w0', rows, born_ms=2)
    owner.report('w0', born_ms=3)
    jobs = owner.core.state.jobs
    assert jobs[JobId('deadly')].progress.phase is JobPhase.FAILED
    assert jobs[JobId('sound')].progress.phase is JobPhase.ACTIVE
    assert not jobs[JobId('sound')].progress.crashed_attempts


def test_crash_with_a_known_cause_counts_for_no_other_task() -> None:
    """Guards against sound tasks that collect the crashes of deadly ones."""
    world = deadly_world()
    world.add('long', Step(2, SMALL), run_ms=60_000)
    world.pass_time(2 * OUTAGE_MS)
    long_entry = world.owner.core.state.jobs[JobId('long')]
    assert long_entry.progress.crashed_attempts
    world.pass_time(2000)
    assert world.phase('deadly') is JobPhase.FAILED
    assert not long_entry.progress.crashed_attempts


def test_two_unclear_crashes_give_up_neither_task() -> None:
    """Guards against a sound task that is given up beside a deadly one.

    Both are on the worker in two crashes; one of them passes its next trial.
    """
    owner = Owner('w0')
    owner.add_job('a', Step(1, SMALL))
    owner.add_job('b', Step(1, SMALL))
    state = owner.core.state
    names = ('a', 'b')
    for attempt in (1, 2):
        owner.report(
            'w0',
            tuple(running(task(job), attempt) for job in names),
            born_ms=2 * attempt,
        )
        owner.report('w0', born_ms=2 * attempt + 1)
    for name in names:
        progress = state.jobs[JobId(name)].progress
        assert progress.crashed_attempts == {UnitKey(0, 0, 0): {1, 2}}
        assert progress.phase is JobPhase.ACTIVE
    owner.report('w0', tuple(running(task(job), 3) for job in names), born_ms=6)
    owner.report('w0', born_ms=7)
    # A further start of each could cost a worker.
    assert {state.jobs[JobId(job)].progress.phase for job in names} == {
        JobPhase.FAILED
    }


def test_later_worker_at_the_address_proves_the_end() -> None:
    """Guards against an uncounted crash of a worker that was away for long.

    The owner has no channel to the worker any more, so only the directory
    tells of the other worker at its address.
    """
    owner = Owner('w0', 'w1')
    owner.report('w0')
    owner.add_job('a', Step(1, SMALL))
    owner.starts()
    owner.report('w0', (running(task('a')),))
    owner.core.update_workers([entry('w1')], owner.now_ms)
    owner.now_ms += LONG_OUTAGE_MS
    owner.decide()
    owner.core.state.workers.remove(WorkerId('w0'))
    progress = owner.core.state.jobs[JobId('a')].progress
    assert not progress.crashed_attempts
    successor = replace(entry('w2'), address='w0:1', born_ms=BornMs(9000))
    owner.core.update_workers([entry('w1'), successor], owner.now_ms)
    assert progress.crashed_attempts == {UnitKey(0, 0, 0): {1}}


def test_return_under_the_id_proves_the_end_of_a_forgotten_worker() -> None:
    """Guards against an uncounted crash of a worker that left the directory.

    The owner has forgotten the worker when a later incarnation reports under
    the same id.
    """
    owner = Owner('w0', 'w1')
    owner.report('w0')
    owner.add_job('a', Step(1, SMALL))
    owner.starts()
    owner.report('w0', (running(task('a')),))
    owner.core.update_workers([entry('w1')], owner.now_ms)
    owner.now_ms += LONG_OUTAGE_MS
    owner.decide()
    owner.core.state.workers.remove(WorkerId('w0'))
    returned = replace(entry('w0'), born_ms=BornMs(9000))
    owner.core.update_workers([entry('w1'), returned], owner.now_ms)
    owner.report('w0', born_ms=9000)
    progress = owner.core.state.jobs[JobId('a')].progress
    assert progress.crashed_attempts == {UnitKey(0, 0, 0): {1}}


def test_crashes_survive_the_store() -> None:
    """Guards against crashes that are lost in a record or break an old one."""
    progress = JobProgress(
        has_started=True, crashed_attempts={UnitKey(0, 0, 1): {1, 101}}
    )
    content = records.encode_progress(progress)
    assert records.decode_progress(content) == progress
    old_record = records.encode_progress(JobProgress())
    assert b'crashed' not in old_record
    assert records.decode_progress(old_record) == JobProgress()
