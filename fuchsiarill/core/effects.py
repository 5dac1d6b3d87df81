"""What the decisions of a partition ask its owner to do."""

from dataclasses import dataclass

from fuchsiarill.ids import AttemptId, JobId, WorkerId
from fuchsiarill.records import Record
from fuchsiarill.resources import Resources
from fuchsiarill.states import JobState
from fuchsiarill.workers import CommandKind


@dataclass(frozen=True, slots=True)
class PersistRecord:
    """Put a record into the next group commit.

    `sequence` comes back in `PartitionCore.committed`, in rising order.
    """

    sequence: int
    record: Record


@dataclass(frozen=True, slots=True)
class StartTask:
    """Send a start to a worker."""

    worker_id: WorkerId
    attempt_id: AttemptId
    reserved: Resources
    run_time_ms: int
    payload: str


@dataclass(frozen=True, slots=True)
class CommandTask:
    """Send a stop, checkpoint or throttle to a worker."""

    worker_id: WorkerId
    attempt_id: AttemptId
    kind: CommandKind


@dataclass(frozen=True, slots=True)
class JobSettled:
    """The final state of a job is durable; answer whoever waits."""

    job_id: JobId
    state: JobState


Effect = PersistRecord | StartTask | CommandTask | JobSettled
