"""Decisions of `GraphCore` on worker reports that each test constructs."""

import pytest

from fuchsiarill.graphs.effects import StopRun
from fuchsiarill.graphs.model import (
    BornMs,
    EndKind,
    Step,
    WorkerListing,
    WorkerReport,
)
from fuchsiarill.graphs.settings import TaskLeaseSettings
from fuchsiarill.graphs.states import JobPhase
from fuchsiarill.ids import JobId, WorkerId
from fuchsiarill.ports.agents import AgentFailure
from fuchsiarill.resources import Resources
from tests.graph_owner import (
    CAPACITY,
    SIZE,
    URGENT,
    Owner,
    ended,
    entries,
    entry,
    running,
    task,
)


def test_run_of_a_step_that_is_not_open_is_kept() -> None:
    """Guards against a second run of a task that a previous owner started.

    A worker may report a run of the second step before another worker reports
    the end of the first step.
    """
    owner = Owner('w0', 'w1', term=2)
    owner.core.add_inherited_worker(WorkerId('w0'), 'w0:1', 9000)
    owner.core.add_inherited_worker(WorkerId('w1'), 'w1:1', 9000)
    steps = (Step(1, SIZE), Step(2, SIZE, after=(0,)))
    owner.add_job('a', *steps, is_inherited=True)
    success = ended(task('a', 1, 1))
    owner.report('w1', (running(task('a', 1, 0)),), (success,))
    assert not owner.decide()
    owner.report('w0', (), (ended(task('a')),))
    assert not owner.decide()
    owner.report('w1', (), (success, ended(task('a', 1, 0), 2)))
    job_entry = owner.core.state.jobs[JobId('a')]
    assert not job_entry.is_active


def test_inherited_job_waits_until_all_workers_are_reconciled() -> None:
    """Guards against a second run of a job that a silent worker still runs.

    The job starts only when the task leases of the silent worker have expired.
    """
    owner = Owner('w0', 'w1', term=2)
    for worker in ('w0', 'w1'):
        owner.core.add_inherited_worker(WorkerId(worker), f'{worker}:1', 9000)
    owner.add_job('old', Step(1, SIZE), is_inherited=True)
    owner.add_job('new', Step(1, SIZE))
    owner.report('w0')
    assert [start.task.job for start in owner.starts()] == ['new']
    owner.now_ms = 9001
    owner.core.renewal_sent(WorkerId('w0'), owner.now_ms)
    owner.report('w0', (running(task('new')),))
    assert [start.task.job for start in owner.starts()] == ['old']


def test_new_owner_uses_higher_attempt_numbers() -> None:
    """Guards against reusing an attempt number of a previous owner.

    The previous owner may have started attempts without a durable record, and a
    worker refuses the start of an attempt that was stopped or has ended there.
    """
    owner = Owner('w0', term=3)
    owner.core.add_inherited_worker(WorkerId('w0'), 'w0:1', 9000)
    owner.add_job('old', Step(1, SIZE), is_inherited=True)
    owner.report('w0')
    assert [start.attempt for start in owner.starts()] == [201]


def test_capacity_is_released_only_after_the_end() -> None:
    """Guards against a start on a worker whose stopped run has not ended."""
    owner = Owner('w0')
    owner.report('w0')
    owner.add_job('a', Step(2, SIZE))
    assert len(owner.starts()) == 2
    rows = (running(task('a')), running(task('a', 0, 1)))
    owner.report('w0', rows)
    owner.core.cancel_job(JobId('a'), owner.now_ms)
    owner.add_job('b', Step(1, SIZE))
    assert not owner.starts()
    owner.report(
        'w0',
        rows[1:],
        (ended(task('a'), kind=EndKind.STOPPED),),
    )
    assert [start.task.job for start in owner.starts()] == ['b']


def test_urgent_step_preempts_a_run_that_saves_checkpoints() -> None:
    """Guards against an urgent job that waits until a batch job has ended.

    Only the run that saves checkpoints is stopped, and its capacity is kept for
    the urgent job.
    """
    owner = Owner('w0')
    owner.report('w0')
    checkpointing = Step(1, SIZE, estimate_ms=60000, is_checkpointing=True)
    plain = Step(1, SIZE, estimate_ms=60000)
    owner.add_job('plain', plain)
    owner.add_job('checkpointing', checkpointing)
    assert len(owner.starts()) == 2
    owner.report('w0', (running(task('plain')), running(task('checkpointing'))))
    owner.add_job('quote', Step(1, SIZE, estimate_ms=100), queue=URGENT)
    stops = [effect for effect in owner.decide() if isinstance(effect, StopRun)]
    assert [stop.task.job for stop in stops] == ['checkpointing']
    owner.add_job('later', Step(1, SIZE, estimate_ms=10))
    owner.report(
        'w0',
        (running(task('plain')),),
        (ended(task('checkpointing'), kind=EndKind.STOPPED),),
    )
    assert [start.task.job for start in owner.starts()] == ['quote']


def test_older_report_changes_nothing() -> None:
    """Guards against an overtaken report that restores a run that has ended.

    Reports on different connections can overtake each other.
    """
    owner = Owner('w0')
    owner.report('w0')
    owner.add_job('a', Step(1, SIZE))
    owner.starts()
    stale_report = WorkerReport(
        owner.now_ms, BornMs(1), (running(task('a')),), ()
    )
    owner.report('w0', (), (ended(task('a'), kind=EndKind.FAILED),))
    owner.core.worker_reported(
        WorkerId('w0'), stale_report, owner.token('w0'), 1, owner.now_ms
    )
    assert [start.attempt for start in owner.starts()] == [2]


def test_unlisted_worker_gets_no_new_run() -> None:
    """Guards against a start on a worker that has left the directory."""
    owner = Owner('w0', 'w1')
    owner.report('w0')
    owner.report('w1')
    owner.core.update_workers([entry('w1')], owner.now_ms)
    owner.add_job('a', Step(2, SIZE))
    assert {start.worker for start in owner.starts()} == {'w1'}


def test_job_that_never_fits_blocks_no_other_job() -> None:
    """Guards against a job that fits no worker and blocks less urgent jobs."""
    owner = Owner('w0')
    owner.report('w0')
    owner.add_job('huge', Step(1, Resources(99000, 1)), queue=URGENT)
    owner.add_job('small', Step(1, SIZE))
    assert [start.task.job for start in owner.starts()] == ['small']


def test_step_respects_its_limit_of_tasks_per_worker() -> None:
    """Guards against more tasks of a step on a worker than its limit."""
    owner = Owner('w0', 'w1')
    owner.report('w0')
    owner.report('w1')
    owner.add_job('a', Step(4, SIZE, per_worker_max=1))
    assert sorted(start.worker for start in owner.starts()) == ['w0', 'w1']


def test_suspended_worker_with_a_lasting_task_is_tried_again() -> None:
    """Guards against a worker that never gets a run beside a lasting task.

    After a suspension a worker gets one task at a time; a task started before
    the suspension must not count.
    """
    owner = Owner('w0')
    owner.report('w0')
    owner.add_job('watch', Step(1, SIZE, is_lasting=True))
    owner.starts()
    watch_rows = (running(task('watch')),)
    owner.report('w0', watch_rows)
    for number in (1, 2):
        owner.add_job(f'f{number}', Step(1, SIZE))
        assert len(owner.starts()) == 1
        failure = ended(task(f'f{number}'), number, EndKind.FAILED)
        owner.report('w0', watch_rows, (failure,))
        owner.core.cancel_job(JobId(f'f{number}'), owner.now_ms)
    owner.add_job('probe', Step(2, Resources(400, 400)))
    assert not owner.starts()
    owner.now_ms += 2500
    owner.report('w0', watch_rows)
    assert len(owner.starts()) == 1


def test_task_is_preempted_a_limited_number_of_times() -> None:
    """Guards against a task that never ends since urgent jobs preempt it."""
    owner = Owner('w0')
    owner.report('w0')
    checkpointing = Step(1, CAPACITY, estimate_ms=60000, is_checkpointing=True)
    owner.add_job('checkpointing', checkpointing)
    sequence = 0
    stops_count = 0
    for round_number in range(8):
        for start in owner.starts():
            owner.report('w0', (running(start.task, start.attempt),))
        quote = f'q{round_number}'
        owner.add_job(quote, Step(1, SIZE, estimate_ms=100), queue=URGENT)
        stops = [
            effect for effect in owner.decide() if isinstance(effect, StopRun)
        ]
        for stop in stops:
            stops_count += 1
            sequence += 1
            end = ended(stop.task, sequence, EndKind.STOPPED, stop.attempt)
            owner.report('w0', (), (end,))
        for start in owner.starts():
            sequence += 1
            success = ended(start.task, sequence, attempt=start.attempt)
            owner.report('w0', (), (success,))
    assert 0 < stops_count < 6


def test_gang_that_does_not_start_releases_its_reservations() -> None:
    """Guards against workers that stay reserved for a gang forever.

    One of the two workers that the gang needs is used by a run that takes far
    longer than expected. Both jobs are so late that they have no value.
    """
    owner = Owner('w0', 'w1')
    owner.report('w0')
    owner.report('w1')
    owner.add_job('long', Step(1, CAPACITY, estimate_ms=500))
    start = owner.starts()[0]
    busy_worker, free_worker = (
        start.worker,
        {'w0': 'w1', 'w1': 'w0'}[start.worker],
    )
    gang = Step(2, CAPACITY, estimate_ms=100, is_gang=True)
    owner.add_job('gang', gang, queue=URGENT)
    owner.decide()
    owner.add_job('small', Step(1, SIZE, estimate_ms=100))
    assert not owner.starts()
    owner.now_ms += 60000
    started_count = 0
    for _ in range(100):
        owner.now_ms += 100
        owner.report(busy_worker, (running(start.task),))
        owner.report(free_worker)
        started_count += len(owner.starts())
        if started_count:
            return
    raise AssertionError('the small task never started')


def test_lasting_tasks_start_on_the_only_worker_that_may_run_them() -> None:
    """Guards against a probation that a lasting task never ends.

    Both tasks fail once, which suspends the worker. Then one of them starts
    and never succeeds, since it lasts. Found by tests/test_graph_machine.py.
    """
    owner = Owner('w0')
    owner.report('w0')
    owner.add_job('watch', Step(2, SIZE, is_lasting=True))
    assert len(owner.starts()) == 2
    ends = tuple(
        ended(task('watch', 0, index), index + 1, EndKind.FAILED)
        for index in range(2)
    )
    owner.report('w0', (), ends)
    owner.now_ms += 2500
    owner.report('w0')
    starts = owner.starts()
    assert len(starts) == 1
    owner.now_ms += 2500
    owner.report('w0', (running(starts[0].task, 2),))
    assert len(owner.starts()) == 1


def test_start_that_may_have_reached_a_restarted_worker_is_stopped() -> None:
    """Guards against a second run of a task whose worker has restarted.

    The start order was in transit when the worker restarted under the same id,
    so the new incarnation may run the task. Found by the soak, seed 1.
    """
    owner = Owner('w0', 'w1')
    owner.report('w0')
    owner.report('w1')
    owner.add_job('a', Step(1, SIZE))
    start = owner.starts()[0]
    owner.report(start.worker, born_ms=9)
    effects = owner.decide()
    assert [type(effect) for effect in effects] == [StopRun]
    owner.core.stop_answered(
        start.worker,
        start.task,
        start.attempt,
        None,
        owner.now_ms,
    )
    assert not owner.starts()
    owner.now_ms += 100
    owner.report(start.worker, born_ms=9)
    # A third incarnation may still execute the order.
    assert not owner.starts()
    owner.core.start_answered(
        start.worker,
        start.task,
        start.attempt,
        AgentFailure.UNKNOWN,
        owner.now_ms,
    )
    owner.now_ms += TaskLeaseSettings().late_call_ms
    owner.decide()
    owner.report(start.worker, born_ms=9)
    assert [start.attempt for start in owner.starts()] == [2]


def test_run_listed_before_a_restart_has_ended() -> None:
    """Guards against a task that does not start again on a restarted worker."""
    owner = Owner('w0')
    owner.report('w0')
    owner.add_job('a', Step(1, SIZE))
    owner.starts()
    owner.report('w0', (running(task('a')),))
    owner.report('w0', born_ms=9)
    owner.list_incarnation('w0', 9)
    assert [start.attempt for start in owner.starts()] == [2]


def test_stopped_run_of_a_previous_owner_leaves_the_limit_per_worker() -> None:
    """Guards against more tasks of a step on a worker than its limit allows.

    A run that is found but not kept was not counted on its worker, but its end
    was, so that one task more than the limit could start there.
    """
    owner = Owner('w0', 'w1', term=2)
    for name in ('w0', 'w1'):
        owner.core.add_inherited_worker(WorkerId(name), f'{name}:1', 9000)
    step = Step(4, Resources(100, 100), per_worker_max=1)
    owner.add_job('a', step, is_inherited=True)
    owner.report('w0', (running(task('a'), 101),))
    owner.report('w1', (running(task('a'), 102),))
    assert not owner.starts()
    stopped = ended(task('a'), kind=EndKind.STOPPED, attempt=102)
    owner.report('w1', (), (stopped,))
    assert [start.worker for start in owner.starts()] == ['w1']


@pytest.mark.parametrize('reports_later', [True, False])
def test_refused_connection_of_a_departed_worker_ends_no_run(
    *, reports_later: bool
) -> None:
    """Guards against two runs at once on a worker that closed its port.

    It is leaving and not in the directory any more, but still runs its tasks.
    Without a further report they may run until their leases have expired.
    """
    owner = Owner('w0', 'w1')
    owner.report('w0')
    owner.add_job('a', Step(1, SIZE))
    assert len(owner.starts()) == 1
    leases = TaskLeaseSettings()
    # Calls of an earlier owner may have extended the leases until the first
    # report.
    owner.now_ms += leases.longest_allowed_ms - leases.longest_ms
    owner.report('w0', (running(task('a')),))
    owner.report('w1')
    owner.core.renewal_sent(WorkerId('w0'), owner.now_ms)
    leaving = entries('w0', listing=WorkerListing.LEAVING)
    owner.core.update_workers([*leaving, entry('w1')], owner.now_ms)
    owner.core.update_workers([entry('w1')], owner.now_ms)
    owner.core.worker_failed(
        WorkerId('w0'), AgentFailure.CONNECTION_REFUSED, owner.now_ms
    )
    assert not owner.starts()
    if reports_later:
        owner.report('w0', ended=(ended(task('a')),))
        entry_of_job = owner.core.state.jobs[JobId('a')]
        assert entry_of_job.progress.phase is JobPhase.SUCCEEDED
        return
    owner.now_ms += leases.longest_ms
    assert [start.worker for start in owner.starts()] == ['w1']
