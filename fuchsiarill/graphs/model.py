"""Types of job graphs, queues and pools.

A job graph has steps; a step has tasks of one size, which may start when all
tasks of the earlier steps that it names have succeeded. A queue is where
callers hand jobs in; its policy says which pool of workers runs them.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum
from typing import Final, NamedTuple, NewType

from fuchsiarill.ids import Epoch, FailureDomain, Generation, JobId, WorkerId
from fuchsiarill.resources import Resources

QueueId = NewType('QueueId', str)
PoolId = NewType('PoolId', str)
ImageId = NewType('ImageId', str)
Label = NewType('Label', str)
Checkpoint = NewType('Checkpoint', str)
Ticket = NewType('Ticket', str)
# Start of a worker's life; tells lives of one worker id apart.
BornMs = NewType('BornMs', int)
EndSequence = NewType('EndSequence', int)

NO_CHECKPOINT: Final = Checkpoint('')
NO_END: Final = EndSequence(0)
FULL_PACE_PERCENT: Final = 100


class StepKey(NamedTuple):
    """One step of one occurrence of a job."""

    job: JobId
    occurrence: int
    step: int


class TaskKey(NamedTuple):
    """One task; `position` counts within the step."""

    job: JobId
    occurrence: int
    step: int
    position: int

    @property
    def step_key(self) -> StepKey:
        """Return the step that the task belongs to."""
        return StepKey(self.job, self.occurrence, self.step)

    @property
    def label(self) -> str:
        """Return the place of the task within its job, for logs."""
        return f'{self.occurrence}.{self.step}.{self.position}'


@dataclass(frozen=True, slots=True)
class Step:
    """Tasks of one size, and where and how they run."""

    tasks_count: int
    size: Resources
    estimate_ms: int = 0
    after: tuple[int, ...] = ()
    is_checkpointing: bool = False
    is_gang: bool = False
    # A gang over several racks takes `remote_penalty` times as long.
    is_rack_sensitive: bool = False
    is_speculative: bool = False
    is_lasting: bool = False
    # Uses the processors that other tasks leave; its own are not counted.
    is_filler: bool = False
    required_label: Label | None = None
    data_rack: Label | None = None
    per_worker_max: int | None = None
    image: ImageId | None = None
    # Upper bound of the tail of the response times of a serving task.
    target_tail_ms: int | None = None
    disruptions_max: int | None = None

    @property
    def filler_milli(self) -> int:
        """Return the processors that a task uses where others leave them."""
        return self.size.processors_milli if self.is_filler else 0

    @property
    def charge(self) -> Resources:
        """Return what a task of the step counts against a worker."""
        if not self.is_filler:
            return self.size
        return Resources(
            0,
            self.size.memory_mb,
            self.size.accelerators_count,
        )


@dataclass(frozen=True, slots=True)
class Schedule:
    """When the occurrences of a job are due, in Unix milliseconds."""

    start_at_ms: int
    period_ms: int
    occurrences_count: int


@dataclass(frozen=True, slots=True)
class JobGraph:
    """A job as its caller handed it in."""

    job: JobId
    queue: QueueId
    pool: PoolId
    payload: str
    steps: tuple[Step, ...]
    schedule: Schedule | None = None

    @property
    def occurrences_count(self) -> int:
        """Return how many times the steps run."""
        return self.schedule.occurrences_count if self.schedule else 1


@dataclass(frozen=True, slots=True)
class AdvicePolicy:
    """Some workers only may run a step; an external service knows which."""

    decision_ms: float
    interval_ms: float
    validity_ms: int


@dataclass(frozen=True, slots=True)
class QueuePolicy:
    """What a queue's jobs are owed; `host` and `prefix` select the queue."""

    queue: QueueId
    host: str
    prefix: str
    pool: PoolId
    timeout_ms: int
    priority: int = 0
    attempts_max: int = 1
    slack_factor: float = 1.0
    target_ms: int = 0
    advice: AdvicePolicy | None = None


@dataclass(frozen=True, slots=True)
class PoolPolicy:
    """Workers that run the same queues."""

    pool: PoolId
    # Workers of the pool refuse a task that does not fit.
    rejects_overload: bool = False
    is_standby: bool = False


@dataclass(frozen=True, slots=True)
class RequestLimits:
    """Bounds on requests of callers."""

    header_max_bytes: int = 16384
    body_max_bytes: int = 262144


@dataclass(frozen=True, slots=True)
class GraphConfig:
    """The operators' configuration of queues and pools."""

    generation: Generation
    queues: Mapping[QueueId, QueuePolicy]
    pools: Mapping[PoolId, PoolPolicy]
    limits: RequestLimits = field(default_factory=RequestLimits)

    def find_queue(self, host: str, path: str) -> QueuePolicy | None:
        """Return the queue with the longest prefix of `path`."""
        found: QueuePolicy | None = None
        for policy in self.queues.values():
            if policy.host != host or not path.startswith(policy.prefix):
                continue
            if found is None or len(policy.prefix) > len(found.prefix):
                found = policy
        return found


class WorkerListing(Enum):
    """What the directory of workers says of a worker."""

    LIVE = 'live'
    LEAVING = 'leaving'


@dataclass(frozen=True, slots=True)
class WorkerEntry:
    """A worker as the directory lists it."""

    worker: WorkerId
    pool: PoolId
    address: str
    failure_domain: FailureDomain
    capacity: Resources
    labels: tuple[Label, ...]
    listing: WorkerListing
    born_ms: BornMs
    # Least time until a leaving worker ends.
    notice_left_ms: int | None = None


class EndKind(Enum):
    """How a run of a task ended."""

    SUCCEEDED = 'succeeded'
    FAILED = 'failed'
    STOPPED = 'stopped'
    LAPSED = 'lapsed'
    # Another member of the gang ended.
    BROKEN = 'broken'
    # The other members of the gang were not there in time.
    ALONE = 'alone'


@dataclass(frozen=True, slots=True)
class RunningRow:
    """A run that a worker reports."""

    task: TaskKey
    attempt: int
    checkpoint: Checkpoint
    progress_percent: int
    # Tail in ms of a serving task, else processors in use.
    usage: float | None = None


@dataclass(frozen=True, slots=True)
class EndRow:
    """An end that a worker reports until it is acknowledged."""

    sequence: EndSequence
    task: TaskKey
    attempt: int
    kind: EndKind
    checkpoint: Checkpoint


@dataclass(frozen=True, slots=True)
class WorkerReport:
    """Answer of a worker to a renewal of its task leases."""

    clock_ms: int
    born_ms: BornMs
    running: tuple[RunningRow, ...]
    ended: tuple[EndRow, ...]


@dataclass(frozen=True, slots=True)
class StartOrder:
    """Asks a worker to run a task; `expiry_ms` is in the worker's clock."""

    task: TaskKey
    attempt: int
    payload: str
    epoch: Epoch
    expiry_ms: int
    checkpoint: Checkpoint = NO_CHECKPOINT
    ticket: Ticket | None = None
