"""Messages between the owner of a partition and a worker.

Their encoding is separate, in `ports.http_ports`.
Times named `*_worker_clock_ms` are in the monotonic clock of the worker.
"""

from dataclasses import dataclass
from enum import Enum
from typing import Annotated

from pydantic import Field

from fuchsiarill.ids import (
    NO_INCARNATION,
    AttemptId,
    Epoch,
    FailureDomain,
    IncarnationId,
    RackId,
    RegionId,
    WorkerId,
)
from fuchsiarill.resources import NO_RESOURCES, Resources


class HostState(Enum):
    """State of a worker in the host list."""

    LIVE = 'live'
    LEAVING = 'leaving'


class TaskOutcome(Enum):
    """State of an attempt as its worker reports it."""

    RUNNING = 'running'
    SUCCEEDED = 'succeeded'
    FAILED = 'failed'
    STOPPED = 'stopped'
    REFUSED = 'refused'


class CommandKind(Enum):
    """Commands of the owner to a worker, other than a start."""

    STOP = 'stop'
    CHECKPOINT = 'checkpoint'
    THROTTLE = 'throttle'


@dataclass(frozen=True, slots=True)
class HostEntry:
    """One row of the host list.

    `connections_count` is the number of connections of the worker; each running
    task occupies one of them.
    """

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
    """Starts an attempt on a worker and grants its first lease.

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
    """Stops, checkpoints or throttles an attempt on a worker."""

    kind: CommandKind
    attempt_id: AttemptId


@dataclass(frozen=True, slots=True)
class Exchange:
    """One request to a worker, which answers it with a `WorkerReport`.

    Every attempt in `renewals` and every start gets a lease until
    `lease_until_worker_clock_ms`, so that a delayed exchange grants no longer
    lease than a timely one; a lease never shortens. The worker may discard the
    outcomes in `acknowledged`.

    The worker executes the exchange only if `incarnation` is its own; it
    answers any other with a report. An exchange may be delayed until the worker
    has restarted, and the next incarnation has seen no epoch and has another
    clock, so it cannot tell by these that the exchange is an old one.
    """

    epoch: Epoch
    lease_until_worker_clock_ms: int
    starts: tuple[StartCommand, ...] = ()
    commands: tuple[TaskCommand, ...] = ()
    renewals: tuple[AttemptId, ...] = ()
    acknowledged: tuple[AttemptId, ...] = ()
    incarnation: IncarnationId = NO_INCARNATION


@dataclass(frozen=True, slots=True)
class TaskReport:
    """State of one attempt on a worker.

    `used` is the measured usage, with a lag; zero before the first measurement.
    """

    attempt_id: AttemptId
    outcome: TaskOutcome
    reserved: Resources
    used: Resources = NO_RESOURCES
    run_time_ms: int = 0
    output: str = ''


@dataclass(frozen=True, slots=True)
class WorkerReport:
    """Answer of a worker to an exchange.

    A `highest_epoch` above that of the exchange means that the worker refused
    the whole exchange. `tasks` holds all running attempts and all outcomes not
    yet acknowledged; unlike the report of a platform's worker, it is never
    split into pages. `incarnation` changes when the worker restarts and loses
    its tasks. If it is not the one that the exchange named, nothing of the
    exchange was executed.
    """

    worker_id: WorkerId
    highest_epoch: Epoch
    worker_clock_ms: int
    tasks: tuple[TaskReport, ...]
    incarnation: Annotated[IncarnationId, Field(min_length=1)]
