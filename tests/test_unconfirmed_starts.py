"""Workers that end while a start order is on its way to them.

Nothing shows that such an order arrived, so the end is no crash under its task.
"""

from fuchsiarill.graphs.model import Step
from fuchsiarill.graphs.settings import TaskLeaseSettings
from fuchsiarill.graphs.states import JobPhase
from fuchsiarill.ids import JobId, WorkerId
from fuchsiarill.ports.agents import AgentFailure
from tests.crash_world import OUTAGE_MS, SMALL, WORKERS, CrashWorld
from tests.graph_owner import SIZE, Owner, running, task


def _owner(*workers: str) -> Owner:
    owner = Owner(*workers)
    for worker in workers:
        owner.report(worker)
    return owner


def _start(owner: Owner, job: str) -> tuple[WorkerId, int]:
    """Return the worker and the attempt of the only start of a job."""
    starts = [start for start in owner.starts() if start.task.job == job]
    assert len(starts) == 1
    return starts[0].worker, starts[0].attempt


def _lose_start(owner: Owner, job: str) -> WorkerId:
    """Order a start that gets no answer, and end its worker."""
    worker, attempt = _start(owner, job)
    owner.core.start_answered(
        worker, task(job), attempt, AgentFailure.UNKNOWN, owner.now_ms
    )
    _end(owner, worker)
    return worker


def _end(owner: Owner, worker: WorkerId) -> None:
    """Prove the end of a worker by another one at its address."""
    owner.core.worker_failed(worker, AgentFailure.OTHER_WORKER, owner.now_ms)
    owner.now_ms += 10


def _crash_after_start(owner: Owner, job: str) -> None:
    worker, attempt = _start(owner, job)
    owner.core.start_answered(worker, task(job), attempt, None, owner.now_ms)
    owner.now_ms += 40
    _end(owner, worker)


def _phase(owner: Owner, job: str) -> JobPhase:
    return owner.core.state.jobs[JobId(job)].progress.phase


def test_start_that_never_arrived_is_no_crash() -> None:
    """Guards against a sound job that fails after a single crash.

    A worker without power gets its first start order, and the worker of its
    second one crashes for another reason.
    """
    owner = _owner('w0', 'w1', 'w2')
    owner.add_job('a', Step(1, SIZE))
    _lose_start(owner, 'a')
    progress = owner.core.state.jobs[JobId('a')].progress
    assert not progress.crashed_attempts
    _crash_after_start(owner, 'a')
    assert _phase(owner, 'a') is JobPhase.ACTIVE
    assert len(progress.crashed_attempts) == 1
    _start(owner, 'a')


def test_second_confirmed_crash_still_gives_the_task_up() -> None:
    """Guards against a deadly task that is hidden by a lost start order."""
    owner = _owner('w0', 'w1', 'w2', 'w3')
    owner.add_job('a', Step(1, SIZE))
    _crash_after_start(owner, 'a')
    _lose_start(owner, 'a')
    assert _phase(owner, 'a') is JobPhase.ACTIVE
    _crash_after_start(owner, 'a')
    assert _phase(owner, 'a') is JobPhase.FAILED


def test_unit_of_an_unconfirmed_start_is_on_trial_next() -> None:
    """Guards against new runs beside a task that may crash its worker."""
    owner = _owner('w0', 'w1')
    owner.add_job('a', Step(1, SMALL))
    lost = _lose_start(owner, 'a')
    worker, _ = _start(owner, 'a')
    assert worker != lost
    owner.add_job('b', Step(1, SMALL))
    assert not owner.starts()


def test_crash_before_the_answer_is_found() -> None:
    """Guards against a deadly task without end whose starts get no answer.

    After three crashes fewer than three further starts are allowed.
    """
    owner = _owner(*(f'w{number}' for number in range(8)))
    owner.add_job('a', Step(1, SIZE))
    for _ in range(4):
        assert _phase(owner, 'a') is JobPhase.ACTIVE
        _lose_start(owner, 'a')
    # The first loss made it a suspect, the others ended three trials.
    assert _phase(owner, 'a') is JobPhase.FAILED


def test_deadly_task_is_found_where_restarts_are_quick() -> None:
    """Guards against a crash that no call notices before the worker is back."""
    owner = _owner('w0', 'w1')
    owner.add_job('a', Step(1, SIZE))
    for born_ms in (2, 3):
        worker, attempt = _start(owner, 'a')
        key = task('a')
        owner.core.start_answered(worker, key, attempt, None, owner.now_ms)
        owner.report(worker, born_ms=born_ms)
        # The start may have reached the new incarnation, so it is stopped.
        owner.core.stop_answered(worker, key, attempt, None, owner.now_ms)
        owner.report(worker, born_ms=born_ms)
    assert _phase(owner, 'a') is JobPhase.FAILED


def test_starts_on_their_way_hide_no_loss_of_power() -> None:
    """Guards against a crash counted for the runs of a rack without power.

    A job has starts on their way to all workers of the rack, so its tasks would
    pass for the cause.
    """
    world = CrashWorld('w0', 'w1', rack='r1')
    world.pass_time(100)
    for number in range(2):
        world.add(f'old{number}', Step(1, SIZE), run_ms=60_000)
        world.pass_time(100)
    world.pass_time(1000)
    for name in ('w0', 'w1'):
        world.crash(name)
    world.add('wide', Step(4, SIZE), run_ms=300)
    world.pass_time(OUTAGE_MS + 2000)
    for job in ('old0', 'old1', 'wide'):
        progress = world.owner.core.state.jobs[JobId(job)].progress
        assert not progress.crashed_attempts, job
    world.pass_time(4000)
    assert world.phase('wide') is JobPhase.SUCCEEDED


def test_new_owner_counts_only_what_it_knows_of() -> None:
    """Guards against a crash counted for a run that a new owner never saw."""
    world = CrashWorld(*WORKERS)
    world.pass_time(100)
    world.add('a', Step(1, SMALL), run_ms=60_000)
    world.pass_time(100)
    worker = world.worker_of(task('a'))
    assert worker is not None
    world.crash(worker)
    world.replace_owner()
    world.pass_time(OUTAGE_MS + 6000)
    progress = world.owner.core.state.jobs[JobId('a')].progress
    assert progress.phase is JobPhase.ACTIVE
    assert not progress.crashed_attempts
    assert world.worker_of(task('a')) is not None


def test_crash_counts_runs_whose_leases_expired_apart() -> None:
    """Guards against a crash that counts only the runs that were lost last.

    The lease of a run counts as longer if nothing confirms its start.
    """
    owner = _owner('w0')
    owner.add_job('a', Step(1, SMALL))
    worker, attempt = _start(owner, 'a')
    owner.core.start_answered(worker, task('a'), attempt, None, owner.now_ms)
    leases = TaskLeaseSettings()
    owner.now_ms += leases.longest_allowed_ms
    owner.core.renewal_sent(worker, owner.now_ms)
    owner.report('w0', (running(task('a')),))
    owner.add_job('b', Step(1, SMALL))
    _start(owner, 'b')
    owner.add_job('c', Step(1, SMALL))
    worker, attempt = _start(owner, 'c')
    owner.core.start_answered(worker, task('c'), attempt, None, owner.now_ms)
    owner.core.renewal_sent(worker, owner.now_ms)
    owner.core.worker_failed(worker, AgentFailure.UNKNOWN, owner.now_ms)
    view = owner.view('w0')
    owner.now_ms += leases.longest_ms + 1
    owner.core.tick(owner.now_ms)
    assert [run.task.job for run in view.runs.values()] == ['b']
    owner.now_ms += leases.longest_allowed_ms - leases.longest_ms
    owner.core.tick(owner.now_ms)
    assert not view.runs
    owner.report('w0', born_ms=2)
    progress = owner.core.state.jobs[JobId('a')].progress
    unit_key = next(iter(progress.crashed_attempts))
    assert progress.crashes_count(unit_key) == 1
