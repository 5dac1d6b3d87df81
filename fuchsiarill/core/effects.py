"""Effects: the actions that a partition's decisions request of its owner."""

from dataclasses import dataclass

from fuchsiarill.ids import AttemptId, JobId, WorkerId
from fuchsiarill.records import Record
from fuchsiarill.resources import Resources
from fuchsiarill.states import JobState
from fuchsiarill.workers import CommandKind


@dataclass(frozen=True, slots=True)
class PersistRecord:
    """Add a record to the next group commit.

    Once it is durable, the owner passes `sequence` to
    `PartitionCore.committed`, in ascending order.
    """

    sequence: int
    record: Record


@dataclass(frozen=True, slots=True)
class StartTask:
    """Send the start of an attempt to a worker."""

    worker_id: WorkerId
    attempt_id: AttemptId
    reserved: Resources
    run_time_ms: int
    payload: str


@dataclass(frozen=True, slots=True)
class CommandTask:
    """Command the worker of an attempt to stop, checkpoint or throttle it."""

    worker_id: WorkerId
    attempt_id: AttemptId
    kind: CommandKind


@dataclass(frozen=True, slots=True)
class JobSettled:
    """The final state of a job is durable; waiting requests can be answered."""

    job_id: JobId
    state: JobState


Effect = PersistRecord | StartTask | CommandTask | JobSettled
