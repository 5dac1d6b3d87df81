"""State that the decision modules of one partition share.

Only `PartitionCore` holds it; the modules of `core` get it passed and keep
nothing themselves.
"""

from collections.abc import Callable
from dataclasses import dataclass, field

from fuchsiarill.cell_config import CellConfig
from fuchsiarill.core.effects import Effect, PersistRecord
from fuchsiarill.core.recovery import Recovery
from fuchsiarill.ids import (
    AttemptId,
    CustomerId,
    Epoch,
    JobId,
    PartitionId,
    WorkerId,
)
from fuchsiarill.job import Attempt, JobRecord
from fuchsiarill.records import Record
from fuchsiarill.resources import NOTHING, Resources
from fuchsiarill.states import WorkerState
from fuchsiarill.workers import HostEntry


@dataclass(slots=True)
class WorkerView:
    """What the owner knows of a worker and has reserved on it."""

    entry: HostEntry
    state: WorkerState
    reserved: Resources = NOTHING
    attempts: set[AttemptId] = field(default_factory=set)
    reported_at_ms: int = 0
    incarnation: str = ''

    @property
    def free(self) -> Resources:
        """Return what is left of the capacity."""
        return self.entry.capacity - self.reserved


@dataclass(slots=True)
class CoreState:
    """Everything one owner knows of its partition."""

    partition: PartitionId
    epoch: Epoch
    config: CellConfig
    jobs: dict[JobId, JobRecord] = field(default_factory=dict)
    job_by_key: dict[tuple[CustomerId, str], JobId] = field(
        default_factory=dict,
    )
    attempts: dict[AttemptId, Attempt] = field(default_factory=dict)
    workers: dict[WorkerId, WorkerView] = field(default_factory=dict)
    queue: dict[JobId, None] = field(default_factory=dict)
    effects: list[Effect] = field(default_factory=list)
    after_commit: dict[int, Callable[[int], None]] = field(
        default_factory=dict,
    )
    recovery: Recovery = field(default_factory=Recovery)
    restricted: bool = False
    sequence: int = 0
    attempts_count: int = 0

    def persist(
        self,
        record: Record,
        then: Callable[[int], None] | None = None,
    ) -> int:
        """Ask for a record to be made durable; returns its sequence number.

        `then` is called with the time in milliseconds once it is committed.
        """
        self.sequence += 1
        if then is not None:
            self.after_commit[self.sequence] = then
        self.effects.append(PersistRecord(self.sequence, record))
        return self.sequence
