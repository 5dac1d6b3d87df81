"""What the owner of a partition knows of a worker."""

from dataclasses import dataclass, field

from fuchsiarill.ids import (
    AttemptId,
    CustomerId,
    JobClass,
    JobId,
    WorkerId,
)
from fuchsiarill.resources import NOTHING, Resources
from fuchsiarill.states import WorkerState
from fuchsiarill.workers import HostEntry

BucketKey = tuple[int, int, int, int]
ClassKey = tuple[CustomerId, JobClass]


@dataclass(slots=True, eq=False)
class WorkerView:
    """What the owner knows of a worker and has reserved on it.

    `holds` maps gangs that wait for room on the worker to what they need,
    in the order in which they get it. `bucket` is the
    place of the worker in the index, `None` while it gets no tasks.
    `strikes_count` counts failures of what succeeded elsewhere,
    `probes_count` the successes in a row since it is on probation. Classes
    in `avoided_by` go to other workers first.
    """

    entry: HostEntry
    state: WorkerState
    reserved: Resources = NOTHING
    free: Resources = NOTHING
    attempts: set[AttemptId] = field(default_factory=set)
    reported_at_ms: int = 0
    holds: dict[JobId, Resources] = field(default_factory=dict)
    bucket: BucketKey | None = None
    strikes_count: int = 0
    probes_count: int = 0
    probe_failures_count: int = 0
    probe_after_ms: int = 0
    incarnation: str = ''
    avoided_by: set[ClassKey] = field(default_factory=set)

    @property
    def worker_id(self) -> WorkerId:
        """Return the id of the worker."""
        return self.entry.worker_id

    def __post_init__(self) -> None:
        """Compute what is free."""
        self.free = self.entry.capacity - self.reserved

    def reserve(self, change: Resources) -> None:
        """Add to what is reserved; a negative change releases."""
        self.reserved += change
        self.free = self.entry.capacity - self.reserved

    def relist(self, entry: HostEntry) -> None:
        """Take over a changed entry of the host list."""
        self.entry = entry
        self.free = entry.capacity - self.reserved

    @property
    def has_accelerators(self) -> bool:
        """Tell whether the worker has accelerators."""
        return self.entry.capacity.accelerators_count > 0
