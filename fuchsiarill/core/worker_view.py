"""State of a worker as known to the owner of its partition."""

from collections import Counter
from dataclasses import dataclass, field

from fuchsiarill.ids import (
    NO_INCARNATION,
    AttemptId,
    CustomerId,
    IncarnationId,
    JobClass,
    JobId,
    WorkerId,
)
from fuchsiarill.resources import NO_RESOURCES, Resources
from fuchsiarill.states import WorkerState
from fuchsiarill.workers import HostEntry

BucketKey = tuple[int, int, int, int]
ClassKey = tuple[CustomerId, JobClass]


@dataclass(slots=True, eq=False)
class WorkerView:
    """State of a worker and the resources reserved on it.

    `holds` maps each job with a reservation of the worker to the resources
    that it needs there, in the order in which the holds were added: a moved
    hold goes last. `bucket` is the bucket of the worker in the index, `None`
    while it gets no tasks.
    `attributed_failures` counts, by job, the failures since the last success
    that are attributed to the worker. The worker is `is_unproven` while nothing
    has succeeded there since such failures were withdrawn. `probes_count` is
    the number of consecutive successes on probation and `probe_failures_count`
    that of the failures that began or prolonged the probation. On probation, no
    task is placed before `probe_after_ms`. Classes in `avoided_by` use other
    workers.
    """

    entry: HostEntry
    state: WorkerState
    reserved: Resources = NO_RESOURCES
    free: Resources = NO_RESOURCES
    attempts: set[AttemptId] = field(default_factory=set)
    reported_at_ms: int = 0
    holds: dict[JobId, Resources] = field(default_factory=dict)
    bucket: BucketKey | None = None
    attributed_failures: Counter[JobId] = field(default_factory=Counter)
    is_unproven: bool = False
    probes_count: int = 0
    probe_failures_count: int = 0
    probe_after_ms: int = 0
    incarnation: IncarnationId = NO_INCARNATION
    avoided_by: set[ClassKey] = field(default_factory=set)

    @property
    def attributed_failures_count(self) -> int:
        """Return the number of failures attributed to the worker."""
        return self.attributed_failures.total()

    @property
    def worker_id(self) -> WorkerId:
        """Return the id of the worker."""
        return self.entry.worker_id

    def __post_init__(self) -> None:
        """Compute the free resources."""
        self.free = self.entry.capacity - self.reserved

    def reserve(self, change: Resources) -> None:
        """Add to the reserved resources; a negative change releases some."""
        self.reserved += change
        self.free = self.entry.capacity - self.reserved

    def update_entry(self, entry: HostEntry) -> None:
        """Apply a changed entry of the host list."""
        self.entry = entry
        self.free = entry.capacity - self.reserved

    @property
    def has_accelerators(self) -> bool:
        """Tell whether the worker has accelerators."""
        return self.entry.capacity.accelerators_count > 0
