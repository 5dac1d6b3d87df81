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
    """Admit a batch; the reply holds one answer per job, in order."""

    specs: tuple[JobSpec, ...]
    reply: Reply[tuple[JobAnswer, ...]]


@dataclass(frozen=True, slots=True)
class QueryJob:
    """Query a job; the answer may wait for its end up to the query's limit."""

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
    """A worker answered an exchange that was requested at `requested_at_ms`.

    Started attempts may run until `lease_ends_at_ms`.
    """

    report: WorkerReport
    requested_at_ms: int = 0
    lease_ends_at_ms: int = 0


@dataclass(frozen=True, slots=True)
class WorkerSilent:
    """Exchanges with a worker have failed for `silent_after_ms`.

    Started attempts may run until `lease_ends_at_ms`.
    """

    worker_id: WorkerId
    lease_ends_at_ms: int = 0


@dataclass(frozen=True, slots=True)
class OutcomesCommitted:
    """The outcomes of these attempts are durable and can be acknowledged."""

    attempt_ids: tuple[AttemptId, ...]


@dataclass(frozen=True, slots=True)
class LeaseChanged:
    """Sets the length of task leases and the longest exchange interval."""

    task_lease_ms: int
    exchange_interval_ms: int


@dataclass(frozen=True, slots=True)
class OwnershipDeadline:
    """The process is certain to own the partition only until this time."""

    deadline_ms: int


@dataclass(frozen=True, slots=True)
class StoreOutageConfirmed:
    """The store is regarded as down for all processes until this time."""

    until_ms: int


@dataclass(frozen=True, slots=True)
class RenewalsAllowed:
    """Task leases may be renewed only until this time."""

    until_ms: int


@dataclass(frozen=True, slots=True)
class Deposed:
    """Another process owns the partition."""

    reason: str


@dataclass(frozen=True, slots=True)
class Append:
    """Add records to the next group commit."""

    records: tuple[PersistRecord, ...]


@dataclass(frozen=True, slots=True)
class Committed:
    """All records up to this sequence number are durable."""

    sequence: int


@dataclass(frozen=True, slots=True)
class SendStart:
    """Send a start to the worker unless `send_before_ms` has passed."""

    start: StartTask
    send_before_ms: int


@dataclass(frozen=True, slots=True)
class SendCommand:
    """Send a stop, checkpoint or throttle to the worker."""

    command: CommandTask


@dataclass(frozen=True, slots=True)
class StartWithheld:
    """A start never takes effect, for example as it was not sent in time."""

    attempt_id: AttemptId


@dataclass(frozen=True, slots=True)
class HandOver:
    """Release the partition and do not claim it again.

    The reply tells whether all records became durable and all clients that
    waited for a commit were answered.
    """

    reply: Reply[bool]


@dataclass(frozen=True, slots=True)
class FinishWork:
    """Refuse new jobs and place no more tasks.

    Replies once all records are durable and no client waits for a commit.
    """

    reply: Reply[bool]


@dataclass(frozen=True, slots=True)
class ContinueDecision:
    """Continue a decision that reached its step limit."""


@dataclass(frozen=True, slots=True)
class Tick:
    """Triggers the periodic work of the receiver."""


@dataclass(frozen=True, slots=True)
class ConfigChanged:
    """A newer configuration is in force in this process."""

    config: CellConfig


@dataclass(frozen=True, slots=True)
class ListJobs:
    """List jobs of a customer, most recently accepted first."""

    query: JobList
    reply: Reply[tuple[JobAnswer, ...]]


@dataclass(frozen=True, slots=True)
class ExplainJob:
    """Explain what a job of a customer waits for."""

    query: JobQuery
    reply: Reply[JobExplanation]
