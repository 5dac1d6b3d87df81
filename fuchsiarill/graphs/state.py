"""State of a pool, which all decisions about the pool read and change."""

from dataclasses import dataclass, field

from fuchsiarill.contracts.rates import JobRates
from fuchsiarill.graphs.claim_ledger import ClaimLedger
from fuchsiarill.graphs.customers import CustomerTable
from fuchsiarill.graphs.effects import Effect
from fuchsiarill.graphs.job_entries import JobEntry, StepEntry, Unit
from fuchsiarill.graphs.lost_runs import WorkerLoss
from fuchsiarill.graphs.model import (
    BornMs,
    GraphConfig,
    PoolId,
    Step,
    StepKey,
    TaskKey,
)
from fuchsiarill.graphs.order_state import OrderState
from fuchsiarill.graphs.pool_ceilings import PoolCeilings
from fuchsiarill.graphs.room_changes import RoomChanges
from fuchsiarill.graphs.runs import NEVER_MS, Run
from fuchsiarill.graphs.settings import TaskLeaseSettings
from fuchsiarill.graphs.tickets import TicketCache
from fuchsiarill.graphs.worker_table import WorkerTable, WorkerView
from fuchsiarill.ids import Epoch, JobId, WorkerId
from fuchsiarill.run_times.run_times import RunTimes


@dataclass(slots=True)
class PoolState:
    """State that the owner of a pool keeps about it."""

    pool: PoolId
    epoch: Epoch
    leases: TaskLeaseSettings
    config: GraphConfig | None = None
    jobs: dict[JobId, JobEntry] = field(default_factory=dict)
    workers: WorkerTable = field(default_factory=WorkerTable)
    tickets: TicketCache = field(default_factory=TicketCache)
    run_times: RunTimes = field(default_factory=RunTimes)
    customers: CustomerTable = field(default_factory=CustomerTable)
    ceilings: PoolCeilings = field(init=False)
    job_rates: JobRates = field(default_factory=JobRates)
    order: OrderState = field(default_factory=OrderState)
    # Jobs whose progress is written by the next save.
    dirty: set[JobId] = field(default_factory=set)
    effects: list[Effect] = field(default_factory=list)
    # Active jobs; one that has reached its final phase is removed by the next
    # decision round.
    active_jobs: dict[JobId, JobEntry] = field(default_factory=dict)
    room_changes: RoomChanges = field(default_factory=RoomChanges)
    # Each worker on which a previous owner may have started runs has reported
    # to this owner, or all task leases of the worker have expired.
    is_inheritance_settled: bool = False
    # The previous owner has sent no orders after this time.
    previous_owner_stop_ms: int = 0
    # The directory is out of reach, so that it tells of no restarts.
    is_directory_lost: bool = False
    # Runs lost by expired leases, of workers whose end is not proved.
    losses: dict[WorkerId, WorkerLoss] = field(default_factory=dict)
    # Proved ends of the last minute.
    recent_ends: dict[tuple[WorkerId, BornMs], WorkerLoss] = field(
        default_factory=dict
    )
    # Unix time minus the runtime clock.
    unix_offset_ms: int = 0

    def __post_init__(self) -> None:
        """Create the ceilings without claims."""
        self.ceilings = PoolCeilings(ClaimLedger(self.pool))

    def find_step(self, task: TaskKey) -> tuple[JobEntry, StepEntry] | None:
        """Return the job and the step of a task.

        Returns `None` if the job is unknown or has no such step, or if the step
        has succeeded. A missing step entry is created and is not open, see
        `StepEntry`.
        """
        entry = self.jobs.get(task.job)
        if entry is None or task.step >= len(entry.graph.steps):
            return None
        step = entry.ensure_step(task.occurrence, task.step)
        return None if step is None else (entry, step)

    def expected_end_ms(
        self,
        entry: JobEntry,
        spec: Step,
        started_ms: int,
        view: WorkerView | None = None,
    ) -> float:
        """Return when a run that starts at `started_ms` should end.

        Without a worker it is the time on a usual one, beside the data.
        """
        if spec.is_lasting:
            return NEVER_MS
        graph = entry.graph
        expected_ms = self.run_times.expected_ms(
            graph.queue, spec, graph.customer
        )
        return started_ms + expected_ms * self._slowing(entry, spec, view)

    def quantile_ms(
        self, share: float, entry: JobEntry, spec: Step, view: WorkerView
    ) -> float:
        """Return the time within which a share of such runs end on a worker.

        It is `NEVER_MS` for a lasting run, and while nothing has been learned
        about the queue.
        """
        graph = entry.graph
        if spec.is_lasting or not self.run_times.is_learned(graph.queue):
            return NEVER_MS
        usual_ms = self.run_times.quantile_ms(
            share, graph.queue, spec, graph.customer
        )
        return usual_ms * self._slowing(entry, spec, view)

    def active_unit(self, run: Run) -> Unit | None:
        """Return the unit of a run, or `None` if the unit is not active."""
        job_and_step = self.find_step(run.task)
        return (
            None
            if job_and_step is None
            else job_and_step[1].active.get(run.unit_key)
        )

    def find_unfinished_step(self, key: StepKey) -> StepEntry | None:
        """Return the entry of a step, or `None` without an entry."""
        entry = self.jobs.get(key.job)
        if entry is None:
            return None
        return entry.steps.get((key.occurrence, key.step))

    def record_start(self, job: JobId) -> None:
        """Record that a worker has started a task of a job.

        An order alone shows no start: the worker may refuse it, or end before
        it arrives.
        """
        entry = self.jobs.get(job)
        if entry is not None:
            entry.progress.has_started = True

    def mark_dirty(self, job: JobId) -> None:
        """Mark a job whose progress has to be made durable."""
        self.dirty.add(job)

    def _slowing(
        self, entry: JobEntry, spec: Step, view: WorkerView | None
    ) -> float:
        """Return the factor on run times on a worker, 1 if not learned."""
        if view is None or not self.run_times.is_learned(entry.graph.queue):
            return 1
        factor = self.run_times.slowness(view.worker)
        if view.is_away_from(spec.data_rack):
            factor *= self.run_times.remoteness(entry.graph.queue)
        return factor
