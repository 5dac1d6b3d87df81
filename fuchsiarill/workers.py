"""What the owner of a partition and a worker tell each other.

These are the messages, not their encoding; `ports.workers` encodes them.
Times named `*_worker_clock_ms` are in the monotonic clock of the worker.
"""

from dataclasses import dataclass
from enum import Enum

from fuchsiarill.ids import (
    AttemptId,
    Epoch,
    FailureDomain,
    RackId,
    RegionId,
    WorkerId,
)
from fuchsiarill.resources import NOTHING, Resources


class HostState(Enum):
    """What the host list says of a worker."""

    LIVE = 'live'
    LEAVING = 'leaving'


class TaskOutcome(Enum):
    """What a worker says of an attempt."""

    RUNNING = 'running'
    SUCCEEDED = 'succeeded'
    FAILED = 'failed'
    STOPPED = 'stopped'
    REFUSED = 'refused'


class CommandKind(Enum):
    """What the owner can ask of a worker besides a start."""

    STOP = 'stop'
    CHECKPOINT = 'checkpoint'
    THROTTLE = 'throttle'


@dataclass(frozen=True, slots=True)
class HostEntry:
    """One row of the host list."""

    worker_id: WorkerId
    address: str
    region: RegionId
    failure_domain: FailureDomain
    rack: RackId
    capacity: Resources
    connections_count: int
    state: HostState


@dataclass(frozen=True, slots=True)
class StartCommand:
    """Asks a worker to start an attempt and grants its first lease.

    The worker refuses the start when its clock has passed
    `start_before_worker_clock_ms`.
    """

    attempt_id: AttemptId
    reserved: Resources
    run_time_ms: int
    payload: str
    start_before_worker_clock_ms: int


@dataclass(frozen=True, slots=True)
class TaskCommand:
    """Asks a worker to stop, checkpoint or throttle an attempt."""

    kind: CommandKind
    attempt_id: AttemptId


@dataclass(frozen=True, slots=True)
class Exchange:
    """One request to a worker.

    Every attempt in `renewals` and every start gets a lease of `lease_ms`.
    Outcomes in `acknowledged` may be forgotten by the worker.
    """

    epoch: Epoch
    lease_ms: int
    starts: tuple[StartCommand, ...] = ()
    commands: tuple[TaskCommand, ...] = ()
    renewals: tuple[AttemptId, ...] = ()
    acknowledged: tuple[AttemptId, ...] = ()


@dataclass(frozen=True, slots=True)
class TaskReport:
    """State of one attempt on a worker.

    `used` is measured usage and lags; it is nothing until first measured.
    """

    attempt_id: AttemptId
    outcome: TaskOutcome
    reserved: Resources
    used: Resources = NOTHING
    run_time_ms: int = 0
    output: str = ''


@dataclass(frozen=True, slots=True)
class WorkerReport:
    """Answer of a worker to an exchange.

    `highest_epoch` above that of the exchange means that all of it was
    refused. `tasks` holds everything that runs and every outcome that was
    not acknowledged. `incarnation` changes when the worker restarts and has
    forgotten its tasks; without one, every silence may be a restart.
    """

    worker_id: WorkerId
    highest_epoch: Epoch
    worker_clock_ms: int
    tasks: tuple[TaskReport, ...]
    incarnation: str = ''
