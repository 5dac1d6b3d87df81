"""Types of job graphs, queues and pools.

A job graph has steps; a step has tasks of one size, which may start when all
tasks of the earlier steps that it names have succeeded. Callers submit jobs to
a queue, whose policy says which pool of workers runs them.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum
from typing import Final, NamedTuple, NewType

from fuchsiarill.contracts.contract import CustomerContracts
from fuchsiarill.ids import (
    CustomerId,
    FailureDomain,
    FencingToken,
    Generation,
    JobId,
    Revision,
    WorkerId,
)
from fuchsiarill.resources import Resources

QueueId = NewType('QueueId', str)
PoolId = NewType('PoolId', str)
ImageId = NewType('ImageId', str)
Label = NewType('Label', str)
Checkpoint = NewType('Checkpoint', str)
Ticket = NewType('Ticket', str)
# Start time of a worker process; each restart under the same worker id is a
# new incarnation with a later time.
BornMs = NewType('BornMs', int)
# Number of a run end, above `NO_END`; increases with each end that one worker
# incarnation reports.
EndSequence = NewType('EndSequence', int)

NO_CHECKPOINT: Final = Checkpoint('')
NO_END: Final = EndSequence(0)
FULL_PACE_PERCENT: Final = 100


class StepKey(NamedTuple):
    """Key of a step within one occurrence of a job."""

    job: JobId
    occurrence: int
    step: int


class TaskKey(NamedTuple):
    """Key of a task; `position` is its index within the step."""

    job: JobId
    occurrence: int
    step: int
    position: int

    @property
    def step_key(self) -> StepKey:
        """Return the key of the step that the task belongs to."""
        return StepKey(self.job, self.occurrence, self.step)

    @property
    def label(self) -> str:
        """Return occurrence, step and position of the task, for logs."""
        return f'{self.occurrence}.{self.step}.{self.position}'


@dataclass(frozen=True, slots=True)
class Step:
    """Tasks of one size, their constraints and how they run.

    `is_speculative`, `image` and `disruptions_max` affect no decision.
    """

    tasks_count: int
    size: Resources
    # The caller's estimate of the run time of a task; 0 without an estimate.
    estimate_ms: int = 0
    # Positions of the earlier steps that must succeed before this step.
    after: tuple[int, ...] = ()
    # A later run resumes from the latest checkpoint.
    is_checkpointing: bool = False
    # All tasks start together or none does.
    is_gang: bool = False
    # A gang takes longer when it is spread over several racks (the factor
    # `remote_penalty` of the platform), so a single rack is preferred.
    is_rack_sensitive: bool = False
    is_speculative: bool = False
    # The tasks never succeed: a run that ends is replaced until the job ends.
    is_lasting: bool = False
    # The tasks use processors that other tasks leave idle; none are charged.
    is_filler: bool = False
    required_label: Label | None = None
    data_rack: Label | None = None
    per_worker_max: int | None = None
    image: ImageId | None = None
    # Upper bound of the tail latency of a serving task.
    target_tail_ms: int | None = None
    disruptions_max: int | None = None

    @property
    def filler_milli(self) -> int:
        """Return the idle processors that a filler task can use, else 0."""
        return self.size.processors_milli if self.is_filler else 0

    @property
    def charge(self) -> Resources:
        """Return the resources that a task is charged on its worker."""
        if not self.is_filler:
            return self.size
        return Resources(
            0,
            self.size.memory_mb,
            self.size.accelerators_count,
        )


@dataclass(frozen=True, slots=True)
class Schedule:
    """When the occurrences of a job are due; `start_at_ms` is Unix time."""

    start_at_ms: int
    period_ms: int
    occurrences_count: int


@dataclass(frozen=True, slots=True)
class JobGraph:
    """A job as its caller submitted it."""

    job: JobId
    queue: QueueId
    pool: PoolId
    payload: str
    steps: tuple[Step, ...]
    schedule: Schedule | None = None
    # Policy of the queue when the job was accepted, without its route. It
    # applies while the owner's configuration does not contain the queue.
    accepted_policy: 'QueuePolicy | None' = None
    # Whose key the submission carried; `None` on a public queue without a known
    # key, and where no contracts are configured.
    customer: CustomerId | None = None

    @property
    def occurrences_count(self) -> int:
        """Return how many times the steps run."""
        return self.schedule.occurrences_count if self.schedule else 1


@dataclass(frozen=True, slots=True)
class AdvicePolicy:
    """Timing of the advice service that decides which workers may run a step.

    The service takes `decision_ms` for a request plus `interval_ms` for each
    worker in it. A ticket is valid for `validity_ms`.
    """

    decision_ms: float
    interval_ms: float
    validity_ms: int

    def service_ms(self, workers_count: int) -> float:
        """Return how long the service takes for a request."""
        return self.decision_ms + self.interval_ms * workers_count


@dataclass(frozen=True, slots=True)
class QueuePolicy:
    """Objectives and limits of a queue's jobs.

    HTTP requests are assigned to the queue by `host` and path `prefix`. A lower
    `priority` is more urgent. A job should succeed within `slack_factor` times
    the expected time of its critical path plus `target_ms`. `timeout_ms`
    affects no decision.
    """

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
    # Requests need no key of a customer.
    is_public: bool = False


@dataclass(frozen=True, slots=True)
class PoolPolicy:
    """Properties of a pool: workers that run the same queues.

    They affect no decision.
    """

    pool: PoolId
    # Workers of the pool refuse a task that exceeds their free capacity.
    rejects_overload: bool = False
    is_standby: bool = False


@dataclass(frozen=True, slots=True)
class RequestLimits:
    """Upper limits on the HTTP requests of callers.

    Only `body_max_bytes` is enforced as it is; the limits on connections are
    above the others.
    """

    header_max_bytes: int = 16384
    body_max_bytes: int = 262144
    header_timeout_ms: int = 3000
    idle_timeout_ms: int = 15_000


@dataclass(frozen=True, slots=True)
class GraphConfig:
    """The operators' configuration of queues and pools."""

    generation: Generation
    queues: Mapping[QueueId, QueuePolicy]
    pools: Mapping[PoolId, PoolPolicy]
    limits: RequestLimits = field(default_factory=RequestLimits)
    contracts: CustomerContracts = field(default_factory=CustomerContracts)
    # Revision of the document in the store.
    revision: Revision = Revision(0)

    def find_queue(self, host: str, path: str) -> QueuePolicy | None:
        """Return the queue of `host` with the longest matching prefix."""
        best_match: QueuePolicy | None = None
        for policy in self.queues.values():
            if policy.host != host or not path.startswith(policy.prefix):
                continue
            if best_match is None or len(policy.prefix) > len(
                best_match.prefix
            ):
                best_match = policy
        return best_match


class WorkerListing(Enum):
    """State of a worker in the directory."""

    LIVE = 'live'
    LEAVING = 'leaving'


@dataclass(frozen=True, slots=True)
class WorkerEntry:
    """Entry of a worker in the directory."""

    worker: WorkerId
    pool: PoolId
    address: str
    failure_domain: FailureDomain
    capacity: Resources
    labels: tuple[Label, ...]
    listing: WorkerListing
    born_ms: BornMs
    # Minimum time until a leaving worker ends.
    notice_left_ms: int | None = None


class EndKind(Enum):
    """How a run of a task ended."""

    SUCCEEDED = 'succeeded'
    FAILED = 'failed'
    STOPPED = 'stopped'
    # The task lease expired.
    LAPSED = 'lapsed'
    # Another member of the gang ended.
    BROKEN = 'broken'
    # The other members of the gang did not start in time.
    ALONE = 'alone'


@dataclass(frozen=True, slots=True)
class RunningRow:
    """A run that a worker reports as running."""

    task: TaskKey
    attempt: int
    checkpoint: Checkpoint
    progress_percent: int
    # Tail latency in ms of a serving task, else processors in use.
    usage: float | None = None


@dataclass(frozen=True, slots=True)
class EndRow:
    """End of a run, which a worker reports until it is acknowledged."""

    sequence: EndSequence
    task: TaskKey
    attempt: int
    kind: EndKind
    checkpoint: Checkpoint


@dataclass(frozen=True, slots=True)
class WorkerReport:
    """Answer of a worker to a renewal, whether or not leases are extended.

    `clock_ms` is the time of the answer in the worker's clock. `running` is
    complete. `ended` may be the first page of the ends that the worker keeps;
    it lists the others once these have been acknowledged.
    """

    clock_ms: int
    born_ms: BornMs
    running: tuple[RunningRow, ...]
    ended: tuple[EndRow, ...]
    # Further ends may follow: a run in neither list has an unknown outcome.
    has_more_ends: bool = False


@dataclass(frozen=True, slots=True)
class StartOrder:
    """Order to run a task.

    The task lease ends at `expiry_ms` by the worker's clock.
    """

    task: TaskKey
    attempt: int
    payload: str
    token: FencingToken
    expiry_ms: int
    checkpoint: Checkpoint = NO_CHECKPOINT
    ticket: Ticket | None = None
