"""Test harness: a `GraphCore` with worker reports that tests construct."""

from dataclasses import replace
from typing import Final

from fuchsiarill.graphs.core import GraphCore
from fuchsiarill.graphs.effects import Effect, StartRun
from fuchsiarill.graphs.fencing import FencingTokenSource
from fuchsiarill.graphs.model import (
    AdvicePolicy,
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
from fuchsiarill.graphs.worker_table import WorkerView
from fuchsiarill.ids import (
    CustomerId,
    Epoch,
    FailureDomain,
    FencingToken,
    Generation,
    JobId,
    WorkerId,
)
from fuchsiarill.resources import Resources

POOL: Final = PoolId('costing')
URGENT: Final = QueueId('urgent')
BATCH: Final = QueueId('batch')
ADVISED: Final = QueueId('advised')
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
        ADVISED: QueuePolicy(
            ADVISED,
            'h',
            '/a/',
            POOL,
            3000,
            priority=3,
            attempts_max=2,
            advice=AdvicePolicy(20, 1, 5000),
        ),
    },
    {POOL: PoolPolicy(POOL)},
)


class Owner:
    """A `GraphCore` and its clock; tests deliver the worker reports."""

    def __init__(self, *workers: str, term: int = 1) -> None:
        """Create a core with listed and recorded workers, without reports."""
        self.now_ms = 1000
        self._epoch = Epoch(7)
        self.core = GraphCore(POOL, self._epoch, TaskLeaseSettings(), term)
        self.core.configure(CONFIG)
        self.core.update_workers(entries(*workers), self.now_ms)
        self.core.record_workers([WorkerId(name) for name in workers])
        self.ends_count = 0
        self._tokens = FencingTokenSource(self._epoch)
        self._token_by_incarnation: dict[tuple[str, int], FencingToken] = {}

    def add_job(
        self,
        job: str,
        *steps: Step,
        queue: QueueId = BATCH,
        is_inherited: bool = False,
        customer: CustomerId | None = None,
    ) -> None:
        """Accept a job."""
        graph = JobGraph(JobId(job), queue, POOL, '', steps, customer=customer)
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
        born_ms: int = 1,
        *,
        has_more_ends: bool = False,
    ) -> None:
        """Advance the clock by 10 ms and deliver a worker's report.

        A report of an incarnation that another one has followed is late.
        """
        self.now_ms += 10
        report = WorkerReport(
            self.now_ms, BornMs(born_ms), running, ended, has_more_ends
        )
        requested_ms = self.now_ms - 5
        self.core.worker_reported(
            WorkerId(worker),
            report,
            self.token(worker, born_ms),
            requested_ms,
            self.now_ms,
        )

    def token(self, worker: str, born_ms: int = 1) -> FencingToken:
        """Return the token that an incarnation answers, first a new one."""
        key = (worker, born_ms)
        if key not in self._token_by_incarnation:
            self._token_by_incarnation[key] = self._tokens.take()
        return self._token_by_incarnation[key]

    def list_incarnation(self, worker: str, born_ms: int) -> None:
        """Write the directory entry of a later incarnation of a worker."""
        listed = [
            replace(view.entry, born_ms=BornMs(born_ms))
            if view.worker == worker
            else view.entry
            for view in self.core.state.workers
            if view.entry is not None and view.is_listed
        ]
        self.core.update_workers(listed, self.now_ms)

    def view(self, worker: str) -> WorkerView:
        """Return the owner's state of a worker that it knows."""
        view = self.core.state.workers.find(WorkerId(worker))
        assert view is not None
        return view

    def decide(self) -> list[Effect]:
        """Advance the clock by 10 ms, tick, decide and return the effects."""
        self.now_ms += 10
        self.core.tick(self.now_ms)
        self.core.decide(self.now_ms)
        return self.core.take_effects()

    def starts(self) -> list[StartRun]:
        """Decide and return the start orders."""
        return [
            effect for effect in self.decide() if isinstance(effect, StartRun)
        ]


def entries(
    *workers: str, listing: WorkerListing = WorkerListing.LIVE
) -> list[WorkerEntry]:
    """Return the directory entries of workers."""
    return [replace(entry(name), listing=listing) for name in workers]


def entry(worker: str) -> WorkerEntry:
    """Return the directory entry of a live worker."""
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
    """Return the key of a task of the first occurrence."""
    return TaskKey(JobId(job), 0, step, position)


def running(key: TaskKey, attempt: int = 1) -> RunningRow:
    """Return the row of a report for a run at 50 percent of its progress."""
    return RunningRow(key, attempt, Checkpoint(''), 50)


def ended(
    key: TaskKey,
    sequence: int = 1,
    kind: EndKind = EndKind.SUCCEEDED,
    attempt: int = 1,
) -> EndRow:
    """Return the row of a report for a run that ended."""
    return EndRow(EndSequence(sequence), key, attempt, kind, Checkpoint(''))
