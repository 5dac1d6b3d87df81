"""State that the decisions about a pool share."""

from dataclasses import dataclass, field

from fuchsiarill.graphs.effects import Effect
from fuchsiarill.graphs.job_entries import JobEntry, StepEntry, Unit
from fuchsiarill.graphs.model import GraphConfig, PoolId, StepKey, TaskKey
from fuchsiarill.graphs.run_times import RunTimes
from fuchsiarill.graphs.runs import Run
from fuchsiarill.graphs.settings import TaskLeaseSettings
from fuchsiarill.graphs.tickets import TicketBook
from fuchsiarill.graphs.worker_table import WorkerTable
from fuchsiarill.ids import Epoch, JobId


@dataclass(slots=True)
class PoolState:
    """Everything that the owner of a pool knows."""

    pool: PoolId
    epoch: Epoch
    leases: TaskLeaseSettings
    config: GraphConfig | None = None
    jobs: dict[JobId, JobEntry] = field(default_factory=dict)
    workers: WorkerTable = field(default_factory=WorkerTable)
    tickets: TicketBook = field(default_factory=TicketBook)
    run_times: RunTimes = field(default_factory=RunTimes)
    # Jobs whose progress differs from what is durable.
    dirty: set[JobId] = field(default_factory=set)
    effects: list[Effect] = field(default_factory=list)
    # Rises whenever a placement that failed could succeed.
    free_version: int = 0
    # Every worker of the owner before has answered or has lapsed.
    is_inheritance_settled: bool = False
    # Unix time minus the runtime clock.
    unix_offset_ms: int = 0

    def find_step(self, task: TaskKey) -> tuple[JobEntry, StepEntry] | None:
        """Return the step of a task of a job that is not settled.

        The step need not be open: see `StepEntry`.
        """
        entry = self.jobs.get(task.job)
        if entry is None or task.step >= len(entry.graph.steps):
            return None
        step = entry.ensure_step(task.occurrence, task.step)
        return None if step is None else (entry, step)

    def active_unit(self, run: Run) -> Unit | None:
        """Return the unit that a run is an attempt of, if it still is."""
        found = self.find_step(run.task)
        return None if found is None else found[1].active.get(run.unit)

    def find_unfinished_step(self, key: StepKey) -> StepEntry | None:
        """Return the step of a key, if something is left to do in it."""
        entry = self.jobs.get(key.job)
        if entry is None:
            return None
        return entry.steps.get((key.occurrence, key.step))

    def touch(self, job: JobId) -> None:
        """Note that a job's progress has to be made durable."""
        self.dirty.add(job)
