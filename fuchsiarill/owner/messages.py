"""Messages between the actors that own a partition."""

from dataclasses import dataclass

from fuchsiarill.actor import Reply
from fuchsiarill.answers import (
    JobAnswer,
    JobCancel,
    JobExplanation,
    JobList,
    JobQuery,
)
from fuchsiarill.cell_config import CellConfig
from fuchsiarill.core.effects import CommandTask, PersistRecord, StartTask
from fuchsiarill.ids import AttemptId, WorkerId
from fuchsiarill.job import JobSpec
from fuchsiarill.workers import HostEntry, WorkerReport


@dataclass(frozen=True, slots=True)
class SubmitJobs:
    """Admit a batch; the reply holds one answer for each, in order."""

    specs: tuple[JobSpec, ...]
    reply: Reply[tuple[JobAnswer, ...]]


@dataclass(frozen=True, slots=True)
class QueryJob:
    """Answer a query, at the end of its wait at the latest."""

    query: JobQuery
    reply: Reply[JobAnswer]


@dataclass(frozen=True, slots=True)
class CancelJob:
    """Cancel a job."""

    cancel: JobCancel
    reply: Reply[JobAnswer]


@dataclass(frozen=True, slots=True)
class HostsListed:
    """The host list was read."""

    entries: tuple[HostEntry, ...]


@dataclass(frozen=True, slots=True)
class WorkerReported:
    """A worker answered an exchange that was asked for at `requested_at_ms`.

    What it was told to run may run until `lease_ends_at_ms`.
    """

    report: WorkerReport
    requested_at_ms: int = 0
    lease_ends_at_ms: int = 0


@dataclass(frozen=True, slots=True)
class WorkerSilent:
    """A worker has not answered for the time in the settings."""

    worker_id: WorkerId
    lease_ends_at_ms: int = 0


@dataclass(frozen=True, slots=True)
class OutcomesHandled:
    """The outcomes of these attempts are durable; the worker may forget."""

    attempt_ids: tuple[AttemptId, ...]


@dataclass(frozen=True, slots=True)
class LeaseChanged:
    """Grant task leases of this length, exchange at this interval."""

    task_lease_ms: int
    exchange_interval_ms: int


@dataclass(frozen=True, slots=True)
class OwnershipDeadline:
    """Nothing that needs ownership may be sent after this time."""

    deadline_ms: int


@dataclass(frozen=True, slots=True)
class StoreOutageConfirmed:
    """Until this time the store is regarded as down for everyone."""

    until_ms: int


@dataclass(frozen=True, slots=True)
class RenewalsAllowed:
    """No task lease may be granted or renewed after this time."""

    until_ms: int


@dataclass(frozen=True, slots=True)
class Deposed:
    """Another process owns the partition."""

    reason: str


@dataclass(frozen=True, slots=True)
class Append:
    """Put records into the next group commit."""

    records: tuple[PersistRecord, ...]


@dataclass(frozen=True, slots=True)
class Committed:
    """All records up to this sequence number are durable."""

    sequence: int


@dataclass(frozen=True, slots=True)
class SendStart:
    """Send a start to the worker, unless `send_before_ms` has passed."""

    start: StartTask
    send_before_ms: int


@dataclass(frozen=True, slots=True)
class SendCommand:
    """Send a stop, checkpoint or throttle to the worker."""

    command: CommandTask


@dataclass(frozen=True, slots=True)
class StartWithheld:
    """A start was not sent because its deadline had passed."""

    attempt_id: AttemptId


@dataclass(frozen=True, slots=True)
class HandOver:
    """Give up the partition and do not claim it again.

    The reply tells whether all that was in progress was finished.
    """

    reply: Reply[bool]


@dataclass(frozen=True, slots=True)
class FinishWork:
    """Accept nothing more; reply when everything is durable and answered."""

    reply: Reply[bool]


@dataclass(frozen=True, slots=True)
class DecideMore:
    """The last decision was cut short; other messages come first."""


@dataclass(frozen=True, slots=True)
class Tick:
    """It is time for the periodic work of the receiver."""


@dataclass(frozen=True, slots=True)
class ConfigChanged:
    """A newer configuration is in force in this process."""

    config: CellConfig


@dataclass(frozen=True, slots=True)
class ListJobs:
    """List jobs of a customer, the latest accepted first."""

    query: JobList
    reply: Reply[tuple[JobAnswer, ...]]


@dataclass(frozen=True, slots=True)
class ExplainJob:
    """Say what a job of a customer waits for."""

    query: JobQuery
    reply: Reply[JobExplanation]
