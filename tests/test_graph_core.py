"""Decisions about a pool, fed with reports by hand."""

from typing import Final

from fuchsiarill.graphs.core import GraphCore
from fuchsiarill.graphs.effects import Effect, StartRun, StopRun
from fuchsiarill.graphs.model import (
    BornMs,
    Checkpoint,
    EndKind,
    EndRow,
    EndSequence,
    GraphConfig,
    JobGraph,
    PoolId,
    PoolPolicy,
    QueueId,
    QueuePolicy,
    RunningRow,
    Step,
    TaskKey,
    WorkerEntry,
    WorkerListing,
    WorkerReport,
)
from fuchsiarill.graphs.progress import JobProgress
from fuchsiarill.graphs.settings import TaskLeaseSettings
from fuchsiarill.ids import (
    Epoch,
    FailureDomain,
    Generation,
    JobId,
    WorkerId,
)
from fuchsiarill.resources import Resources

POOL: Final = PoolId('costing')
URGENT: Final = QueueId('urgent')
BATCH: Final = QueueId('batch')
SIZE: Final = Resources(1000, 1000)
CAPACITY: Final = Resources(2000, 4000)
CONFIG: Final = GraphConfig(
    Generation(1),
    {
        URGENT: QueuePolicy(
            URGENT, 'h', '/u/', POOL, 3000, priority=0, attempts_max=2
        ),
        BATCH: QueuePolicy(
            BATCH, 'h', '/b/', POOL, 3000, priority=2, attempts_max=2
        ),
    },
    {POOL: PoolPolicy(POOL)},
)


class Owner:
    """A core with workers that report when the test says so."""

    def __init__(self, *workers: str, term: int = 1) -> None:
        """Create a core that knows the workers and has heard of them."""
        self.now_ms = 1000
        self.core = GraphCore(POOL, Epoch(7), TaskLeaseSettings(), term)
        self.core.configure(CONFIG)
        self.core.list_workers([entry(name) for name in workers], self.now_ms)
        self.core.record_workers([WorkerId(name) for name in workers])
        self.ends_count = 0

    def add_job(
        self,
        job: str,
        *steps: Step,
        queue: QueueId = BATCH,
        is_inherited: bool = False,
    ) -> None:
        """Accept a job."""
        graph = JobGraph(JobId(job), queue, POOL, '', steps)
        self.core.add_job(
            graph,
            JobProgress(),
            self.now_ms,
            is_inherited=is_inherited,
        )

    def report(
        self,
        worker: str,
        running: tuple[RunningRow, ...] = (),
        ended: tuple[EndRow, ...] = (),
    ) -> None:
        """Let a worker report."""
        self.now_ms += 10
        report = WorkerReport(self.now_ms, BornMs(1), running, ended)
        asked_ms = self.now_ms - 5
        self.core.worker_reported(
            WorkerId(worker),
            report,
            asked_ms,
            self.now_ms,
        )

    def decide(self) -> list[Effect]:
        """Let time pass, decide and return the effects."""
        self.now_ms += 10
        self.core.tick(self.now_ms)
        self.core.decide(self.now_ms)
        return self.core.take_effects()

    def starts(self) -> list[StartRun]:
        """Decide and return the starts."""
        return [one for one in self.decide() if isinstance(one, StartRun)]


def entry(worker: str) -> WorkerEntry:
    """Return the entry of a live worker."""
    return WorkerEntry(
        WorkerId(worker),
        POOL,
        f'{worker}:1',
        FailureDomain('d'),
        CAPACITY,
        (),
        WorkerListing.LIVE,
        BornMs(1),
    )


def task(job: str, step: int = 0, position: int = 0) -> TaskKey:
    """Return a task of the only occurrence."""
    return TaskKey(JobId(job), 0, step, position)


def running(key: TaskKey, attempt: int = 1) -> RunningRow:
    """Return the row of a run."""
    return RunningRow(key, attempt, Checkpoint(''), 50)


def ended(
    key: TaskKey,
    sequence: int = 1,
    kind: EndKind = EndKind.SUCCEEDED,
    attempt: int = 1,
) -> EndRow:
    """Return the row of an end."""
    return EndRow(EndSequence(sequence), key, attempt, kind, Checkpoint(''))


def test_run_of_a_step_that_is_not_open_is_kept() -> None:
    """Guards against a second run of what an owner before has started.

    A worker may report a run of the second step before another reports the
    end of the first one.
    """
    owner = Owner('w0', 'w1', term=2)
    owner.core.expect_worker(WorkerId('w0'), 'w0:1', 9000)
    owner.core.expect_worker(WorkerId('w1'), 'w1:1', 9000)
    steps = (Step(1, SIZE), Step(2, SIZE, after=(0,)))
    owner.add_job('a', *steps, is_inherited=True)
    done = ended(task('a', 1, 1))
    owner.report('w1', (running(task('a', 1, 0)),), (done,))
    assert not owner.decide()
    owner.report('w0', (), (ended(task('a')),))
    assert not owner.decide()
    owner.report('w1', (), (done, ended(task('a', 1, 0), 2)))
    entry_of_job = owner.core.state.jobs[JobId('a')]
    assert not entry_of_job.is_active


def test_inherited_job_waits_for_every_worker() -> None:
    """Guards against a start while a worker that may run it is silent."""
    owner = Owner('w0', 'w1', term=2)
    for worker in ('w0', 'w1'):
        owner.core.expect_worker(WorkerId(worker), f'{worker}:1', 9000)
    owner.add_job('old', Step(1, SIZE), is_inherited=True)
    owner.add_job('new', Step(1, SIZE))
    owner.report('w0')
    assert [one.task.job for one in owner.starts()] == ['new']
    owner.now_ms = 9001
    owner.core.renewal_sent(WorkerId('w0'), owner.now_ms)
    owner.report('w0', (running(task('new')),))
    assert [one.task.job for one in owner.starts()] == ['old']


def test_attempts_of_a_new_owner_are_above_those_before() -> None:
    """Guards against a number that the owner before has used unnoticed."""
    owner = Owner('w0', term=3)
    owner.core.expect_worker(WorkerId('w0'), 'w0:1', 9000)
    owner.add_job('old', Step(1, SIZE), is_inherited=True)
    owner.report('w0')
    assert [one.attempt for one in owner.starts()] == [201]


def test_room_is_free_only_after_the_end() -> None:
    """Guards against a worker over its capacity while a run is stopped."""
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
    assert [one.task.job for one in owner.starts()] == ['b']


def test_urgent_step_preempts_what_saves_its_progress() -> None:
    """Guards against an urgent job that waits behind batch work."""
    owner = Owner('w0')
    owner.report('w0')
    saving = Step(1, SIZE, estimate_ms=60000, is_checkpointing=True)
    plain = Step(1, SIZE, estimate_ms=60000)
    owner.add_job('plain', plain)
    owner.add_job('saving', saving)
    assert len(owner.starts()) == 2
    owner.report('w0', (running(task('plain')), running(task('saving'))))
    owner.add_job('quote', Step(1, SIZE, estimate_ms=100), queue=URGENT)
    stops = [one for one in owner.decide() if isinstance(one, StopRun)]
    assert [one.task.job for one in stops] == ['saving']
    owner.add_job('later', Step(1, SIZE, estimate_ms=10))
    owner.report(
        'w0',
        (running(task('plain')),),
        (ended(task('saving'), kind=EndKind.STOPPED),),
    )
    assert [one.task.job for one in owner.starts()] == ['quote']


def test_older_report_changes_nothing() -> None:
    """Guards against answers that overtake each other on connections."""
    owner = Owner('w0')
    owner.report('w0')
    owner.add_job('a', Step(1, SIZE))
    owner.starts()
    stale = WorkerReport(owner.now_ms, BornMs(1), (running(task('a')),), ())
    owner.report('w0', (), (ended(task('a'), kind=EndKind.FAILED),))
    owner.core.worker_reported(WorkerId('w0'), stale, 1, owner.now_ms)
    assert [one.attempt for one in owner.starts()] == [2]


def test_unlisted_worker_gets_nothing_new() -> None:
    """Guards against work for a worker that has left the directory."""
    owner = Owner('w0', 'w1')
    owner.report('w0')
    owner.report('w1')
    owner.core.list_workers([entry('w1')], owner.now_ms)
    owner.add_job('a', Step(2, SIZE))
    assert {one.worker for one in owner.starts()} == {'w1'}


def test_job_that_never_fits_blocks_nobody() -> None:
    """Guards against a hopeless job at the head of the queue."""
    owner = Owner('w0')
    owner.report('w0')
    owner.add_job('huge', Step(1, Resources(99000, 1)), queue=URGENT)
    owner.add_job('small', Step(1, SIZE))
    assert [one.task.job for one in owner.starts()] == ['small']


def test_limit_of_tasks_on_a_worker_holds() -> None:
    """Guards against more tasks of a step on a worker than its limit."""
    owner = Owner('w0', 'w1')
    owner.report('w0')
    owner.report('w1')
    owner.add_job('a', Step(4, SIZE, per_worker_max=1))
    assert sorted(one.worker for one in owner.starts()) == ['w0', 'w1']
