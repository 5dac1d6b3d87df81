"""Crashes of workers under the members of gangs.

A crash breaks the runs of all members, but only the tasks on the worker that
crashed can be the cause.
"""

import json
from typing import Any

import pytest
from loguru import logger

from fuchsiarill import graph_events
from fuchsiarill.graphs import records
from fuchsiarill.graphs.model import (
    Checkpoint,
    EndKind,
    JobGraph,
    RunningRow,
    Step,
    TaskKey,
)
from fuchsiarill.graphs.progress import CrashedRun, JobProgress, UnitKey
from fuchsiarill.graphs.states import JobPhase
from fuchsiarill.ids import JobId, WorkerId
from fuchsiarill.log_event import LogEvent
from fuchsiarill.ports.agents import AgentFailure
from fuchsiarill.resources import Resources
from tests.crash_world import CRASH_AFTER_MS, OUTAGE_MS, SMALL, CrashWorld
from tests.graph_owner import BATCH, POOL, Owner, ended, running, task

_GANG = 'gang'
_UNIT = UnitKey(0, 0, 0)
# One member fits on each worker.
_WIDE: Resources = Resources(1500, 100)
_NAMES = tuple(f'w{number}' for number in range(8))
# Longer than a trial.
_LATE_MS = 2000


def _gang_world(
    *names: str, tasks_count: int = 8, size: Resources = _WIDE
) -> CrashWorld:
    world = CrashWorld(*(names or _NAMES))
    world.outage_ms = 1000
    world.pass_time(100)
    world.add(_GANG, Step(tasks_count, size, is_gang=True), run_ms=9000)
    return world


def _member(position: int) -> TaskKey:
    return task(_GANG, 0, position)


def _progress(world: CrashWorld) -> JobProgress:
    return world.owner.core.state.jobs[JobId(_GANG)].progress


def _await_start(world: CrashWorld, position: int) -> str:
    """Pass time until a member runs; return its worker."""
    for _ in range(400):
        name = world.worker_of(_member(position))
        if name is not None:
            return name
        world.pass_time(50)
    raise AssertionError('the gang does not start')


def _crash_under(world: CrashWorld, position: int, after_ms: int) -> None:
    """Crash the worker of a member some time after the start of the gang.

    Returns when no member runs.
    """
    _await_start(world, position)
    world.pass_time(after_ms)
    name = world.worker_of(_member(position))
    assert name is not None
    world.crash(name)
    while any(worker.runs for worker in world.workers.values()):
        world.pass_time(50)


def _suspects(world: CrashWorld) -> set[TaskKey]:
    step = world.owner.core.state.jobs[JobId(_GANG)].steps[0, 0]
    unit = step.find_unit(_UNIT)
    assert unit is not None
    return unit.suspects


def _trials_count(world: CrashWorld) -> int:
    return sum(view.trials_count for view in world.owner.core.state.workers)


@pytest.mark.parametrize('keeps_id', [False, True])
@pytest.mark.parametrize('after_ms', [100, _LATE_MS])
@pytest.mark.parametrize('positions', [(0, 3, 5, 1), tuple(range(8))])
def test_sound_gang_outlives_crashes_under_its_members(
    positions: tuple[int, ...], after_ms: int, *, keeps_id: bool
) -> None:
    """Guards against a sound gang that is shown as failed.

    Four workers or more crash, each under another member.
    """
    world = _gang_world()
    world.keeps_id = keeps_id
    for position in positions:
        _crash_under(world, position, after_ms)
        assert world.phase(_GANG) is JobPhase.ACTIVE
    world.pass_time(15_000)
    assert world.phase(_GANG) is JobPhase.SUCCEEDED
    assert not world.violations


def test_sound_gang_outlives_takeovers_between_crashes() -> None:
    """Guards against a record that counts a crash for all members."""
    world = _gang_world()
    for position in (0, 3, 5, 1, 6):
        _crash_under(world, position, _LATE_MS)
        world.pass_time(world.outage_ms + 100)
        world.replace_owner()
    world.pass_time(20_000)
    assert world.phase(_GANG) is JobPhase.SUCCEEDED


def test_sound_gang_with_checkpoint_outlives_crashes() -> None:
    """Guards against crashes that add up while a gang makes progress.

    Each attempt resumes from the checkpoint of the one before, and the worker
    of the other member crashes.
    """
    names = ('w0', 'w1')
    owner = Owner(*names)
    for name in names:
        owner.report(name)
    spec = Step(2, Resources(1100, 100), is_gang=True, is_checkpointing=True)
    owner.add_job(_GANG, spec)
    born_ms = dict.fromkeys(names, 1)
    checkpoint = Checkpoint('')
    for number in range(6):
        starts = {start.worker: start for start in owner.starts()}
        assert {start.checkpoint for start in starts.values()} == {checkpoint}
        checkpoint = Checkpoint(f'c{number}')
        owner.now_ms += 600
        for name, start in starts.items():
            row = RunningRow(start.task, start.attempt, checkpoint, 50)
            owner.report(name, (row,), born_ms=born_ms[name])
        crashed, other = names[number % 2], names[1 - number % 2]
        born_ms[crashed] += 1
        owner.report(crashed, born_ms=born_ms[crashed])
        owner.list_incarnation(crashed, born_ms[crashed])
        lost = starts[WorkerId(other)]
        owner.ends_count += 1
        end = ended(lost.task, owner.ends_count, EndKind.BROKEN, lost.attempt)
        owner.report(other, (), (end,), born_ms=born_ms[other])
    progress = owner.core.state.jobs[JobId(_GANG)].progress
    assert progress.phase is JobPhase.ACTIVE
    assert progress.crashes_count(_UNIT) == 6


def test_two_crashes_at_once_count_for_two_members() -> None:
    """Guards against a gang that is given up after two crashes in one run."""
    world = _gang_world()
    for _ in range(3):
        _await_start(world, 2)
        world.pass_time(_LATE_MS)
        for position in (2, 4):
            name = world.worker_of(_member(position))
            assert name is not None
            world.crash(name)
        world.pass_time(OUTAGE_MS)
        assert world.phase(_GANG) is JobPhase.ACTIVE
    progress = _progress(world)
    assert progress.crashes_under(_UNIT, 2) == 3
    assert progress.crashes_under(_UNIT, 4) == 3
    assert not progress.crashes_under(_UNIT, 0)


@pytest.mark.parametrize(
    ('crash_after_ms', 'starts_count'), [(CRASH_AFTER_MS, 2), (1500, 4)]
)
@pytest.mark.parametrize('size', [SMALL, Resources(600, 100), _WIDE])
@pytest.mark.parametrize('keeps_id', [False, True])
@pytest.mark.parametrize('is_replaced', [False, True])
def test_deadly_member_is_given_up(
    size: Resources,
    crash_after_ms: int,
    starts_count: int,
    *,
    is_replaced: bool,
    keeps_id: bool,
) -> None:
    """Guards against a member that crashes one worker after the other.

    It runs alone on its worker, or beside other members.
    """
    world = _gang_world(size=size)
    world.keeps_id = keeps_id
    world.crash_after_ms[_member(5)] = crash_after_ms
    world.add('sound', Step(2, SMALL), run_ms=20_000)
    if is_replaced:
        world.pass_time(crash_after_ms + world.outage_ms + 200)
        world.replace_owner()
    world.pass_time(60_000)
    assert world.phase(_GANG) is JobPhase.FAILED
    assert world.phase('sound') is JobPhase.SUCCEEDED
    assert len(world.starts_of(_member(5))) <= starts_count


def test_deadly_member_is_found_among_unrelated_crashes() -> None:
    """Guards against a deadly member that is hidden by other crashes."""
    world = _gang_world()
    # The gang is stopped before the member crashes its worker too.
    world.outage_ms = 300
    world.crash_after_ms[_member(5)] = 1500
    for position in (0, 3):
        _crash_under(world, position, 600)
    world.pass_time(60_000)
    assert world.phase(_GANG) is JobPhase.FAILED
    # Two with an unrelated crash, and four of its own.
    assert len(world.starts_of(_member(5))) == 6


def test_power_loss_hides_no_deadly_member() -> None:
    """Guards against a count that a rack without power resets or raises."""
    world = CrashWorld(*_NAMES, rack='r1')
    world.outage_ms = 1000
    world.pass_time(100)
    world.add(_GANG, Step(8, _WIDE, is_gang=True), run_ms=9000)
    world.crash_after_ms[_member(5)] = 1500
    _await_start(world, 5)
    world.pass_time(1000)
    for name in _NAMES:
        world.crash(name)
    world.pass_time(2000)
    assert not _progress(world).crashed_attempts
    world.pass_time(60_000)
    assert world.phase(_GANG) is JobPhase.FAILED
    # One start before the loss of power, and four crashes.
    assert len(world.starts_of(_member(5))) == 5


@pytest.mark.parametrize(
    ('positions', 'phase'),
    [
        ((3, 3, 3), JobPhase.ACTIVE),
        ((3, 3, 3, 3), JobPhase.FAILED),
        ((3, 2, 1, 0, 3, 2, 1, 0), JobPhase.ACTIVE),
    ],
)
def test_unconfirmed_losses_count_for_each_member(
    positions: tuple[int, ...], phase: JobPhase
) -> None:
    """Guards against lost start orders of members that are added up.

    A member that crashes its worker before the answer is still found.
    """
    names = tuple(f'w{number}' for number in range(4 + len(positions)))
    owner = Owner(*names)
    for name in names:
        owner.report(name)
    owner.add_job(_GANG, Step(4, _WIDE, is_gang=True))
    for position in positions:
        starts = {start.task.position: start for start in owner.starts()}
        lost = starts.pop(position)
        owner.core.start_answered(
            lost.worker,
            lost.task,
            lost.attempt,
            AgentFailure.UNKNOWN,
            owner.now_ms,
        )
        owner.core.worker_failed(
            lost.worker, AgentFailure.OTHER_WORKER, owner.now_ms
        )
        for start in starts.values():
            owner.ends_count += 1
            end = ended(
                start.task, owner.ends_count, EndKind.BROKEN, start.attempt
            )
            owner.report(start.worker, (), (end,))
        owner.now_ms += 500
    progress = owner.core.state.jobs[JobId(_GANG)].progress
    assert progress.phase is phase
    assert not progress.crashed_attempts


def test_only_the_member_of_a_crash_is_on_trial() -> None:
    """Guards against workers that get no runs beside sound members."""
    world = _gang_world()
    _crash_under(world, 5, 100)
    assert _suspects(world) == {_member(5)}
    _await_start(world, 5)
    assert _trials_count(world) == 1
    world.pass_time(2000)
    assert not _trials_count(world)
    assert not _suspects(world)


def test_suspect_member_starts_apart_from_the_others() -> None:
    """Guards against members that are lost beside the one on trial."""
    world = CrashWorld('w0', 'w1', 'w2')
    world.outage_ms = 1000
    world.pass_time(100)
    # Two fit on a worker, so that one of the three is alone.
    world.add(_GANG, Step(3, Resources(900, 100), is_gang=True), run_ms=9000)
    _crash_under(world, 0, 100)
    suspects = _suspects(world)
    _await_start(world, 0)
    on_trial = [
        view.worker
        for view in world.owner.core.state.workers
        if view.trials_count
    ]
    assert len(suspects) in {1, 2}
    if len(suspects) == 1:
        assert len(world.workers[on_trial[0]].runs) == 1


def test_suspect_member_needs_the_only_quiet_worker() -> None:
    """Guards against a gang that waits until all its workers are quiet."""
    owner = Owner('w0', 'w1', 'w2')
    for name in ('w0', 'w1', 'w2'):
        owner.report(name)
    owner.add_job(_GANG, Step(3, Resources(1100, 100), is_gang=True))
    workers = {start.worker: start.task for start in owner.starts()}
    for name, member in workers.items():
        owner.report(name, (running(member),))
    suspect = workers[WorkerId('w0')]
    owner.report('w0', born_ms=2)
    owner.list_incarnation('w0', 2)
    owner.now_ms += 200
    owner.add_job('busy', Step(2, SMALL))
    for number, name in enumerate(('w1', 'w2')):
        end = ended(workers[WorkerId(name)], kind=EndKind.BROKEN)
        row = running(task('busy', 0, number))
        owner.report(name, (row,), (end,))
    starts = {start.task: start.worker for start in owner.starts()}
    assert starts[suspect] == 'w0'
    assert len(starts) == 3
    assert [view.trials_count for view in owner.core.state.workers] == [1, 0, 0]


def _log_of_gang(extras: list[dict[str, Any]], event: LogEvent) -> list[Any]:
    return [
        (extra['task'], extra['attempt'], extra['crashes'])
        for extra in extras
        if extra['event'] == event.number and extra['job'] == _GANG
    ]


def test_each_crash_that_counted_is_logged_with_its_member() -> None:
    """Guards against a job that fails without a line on what counted."""
    extras: list[dict[str, Any]] = []
    handler = logger.add(
        lambda message: extras.append(dict(message.record['extra']))
    )
    world = _gang_world()
    world.crash_after_ms[_member(5)] = 1500
    world.pass_time(20_000)
    logger.remove(handler)
    assert _log_of_gang(extras, graph_events.CRASH_COUNTED) == [
        ('0.0.5', attempt, attempt) for attempt in range(1, 5)
    ]
    assert _log_of_gang(extras, graph_events.TASK_GIVEN_UP) == [('0.0.5', 4, 4)]


def _record_of_former_version(attempts: list[int]) -> bytes:
    document = json.loads(records.encode_progress(JobProgress()))
    return json.dumps(document | {'crashed': [[0, 0, 0, attempts]]}).encode()


def _load_gang(world: CrashWorld, attempts: list[int]) -> None:
    """Continue with a record in which a former version counted crashes."""
    job = world.owner.core.state.jobs[JobId(_GANG)]
    content = _record_of_former_version(attempts)
    job.progress = records.decode_progress(content)
    world.replace_owner()


def test_record_of_a_former_version_fails_no_sound_gang() -> None:
    """Guards against a gang that is given up for crashes of unknown members.

    A former version counted crashes for whole gangs.
    """
    world = CrashWorld(*_NAMES)
    world.outage_ms = 1000
    world.add(_GANG, Step(8, _WIDE, is_gang=True), run_ms=9000)
    _load_gang(world, [1, 2, 3])
    assert _progress(world).crashes_under(_UNIT, 4) == 3
    for position in (0, 3, 5):
        _crash_under(world, position, _LATE_MS)
    world.pass_time(20_000)
    assert world.phase(_GANG) is JobPhase.SUCCEEDED


def test_lost_start_after_crashes_of_unknown_members_is_no_cause() -> None:
    """Guards against a gang that is given up for one start without answer."""
    owner = Owner('w0', 'w1')
    for name in ('w0', 'w1'):
        owner.report(name)
    spec = Step(2, Resources(1100, 100), is_gang=True)
    progress = records.decode_progress(_record_of_former_version([1, 2, 3]))
    graph = JobGraph(JobId(_GANG), BATCH, POOL, '', (spec,))
    owner.core.add_job(graph, progress, owner.now_ms, is_inherited=True)
    owner.core.tick(owner.now_ms)
    start = owner.starts()[0]
    owner.core.start_answered(
        start.worker,
        start.task,
        start.attempt,
        AgentFailure.UNKNOWN,
        owner.now_ms,
    )
    owner.core.worker_failed(
        start.worker, AgentFailure.OTHER_WORKER, owner.now_ms
    )
    assert progress.phase is JobPhase.ACTIVE


@pytest.mark.parametrize('crash_after_ms', [CRASH_AFTER_MS, 1500])
def test_record_of_a_former_version_hides_no_deadly_member(
    crash_after_ms: int,
) -> None:
    """Guards against three further starts of a task after three crashes."""
    world = CrashWorld(*_NAMES)
    world.outage_ms = 1000
    world.add(_GANG, Step(8, _WIDE, is_gang=True), run_ms=9000)
    world.crash_after_ms[_member(5)] = crash_after_ms
    _load_gang(world, [1, 2, 3])
    world.pass_time(60_000)
    assert world.phase(_GANG) is JobPhase.FAILED
    assert len(world.starts_of(_member(5))) == 2


def test_former_version_reads_the_attempts_of_a_gang() -> None:
    """Guards against crashes that a rolling restart loses.

    A former version reads the attempts and drops the runs.
    """
    progress = JobProgress()
    for attempt, position in ((1, 3), (1, 4), (2, 3), (4, 0)):
        progress.add_crash(_UNIT, CrashedRun(attempt, position))
    content = records.encode_progress(progress)
    assert records.decode_progress(content) == progress
    document = json.loads(content)
    assert document['crashed'] == [[0, 0, 0, [1, 2, 4]]]
    document.pop('crashed_runs')
    reread = records.decode_progress(json.dumps(document).encode())
    assert reread.crashed_attempts == progress.crashed_attempts
    assert reread.unattributed_crashes(_UNIT) == {1, 2, 4}


def test_crash_taken_back_for_one_member_counts_for_another() -> None:
    """Guards against an attempt that is forgotten with one of its crashes."""
    progress = JobProgress()
    for position in (3, 4):
        progress.add_crash(_UNIT, CrashedRun(1, position))
    assert progress.remove_crash(_UNIT, CrashedRun(1, 3))
    assert progress.crashes_under(_UNIT, 4) == 1
    assert not progress.crashes_under(_UNIT, 3)
    assert progress.remove_crash(_UNIT, CrashedRun(1, 4))
    assert progress == JobProgress()
