"""Records that the journal of a partition makes durable.

The state of a ledger is the fold of these records in journal order. Times
are left out: the monotonic time of one host is meaningless to the next owner.
"""

from dataclasses import dataclass
from typing import Annotated, Final, Literal

from pydantic import Field, TypeAdapter

from fuchsiarill.ids import (
    NO_INCARNATION,
    AttemptId,
    Epoch,
    IncarnationId,
    JobId,
    ProcessId,
    WorkerId,
)
from fuchsiarill.job import JobSpec
from fuchsiarill.states import JobState


@dataclass(frozen=True, slots=True)
class EpochOpened:
    """A new owner starts an epoch; the next commit of an older owner fails.

    `task_lease_ms` is the longest task lease that the owner grants before a
    `TaskLeaseRaised`, so that the next owner knows how long tasks of this one
    may still run.
    """

    epoch: Epoch
    process: ProcessId
    task_lease_ms: int = 0
    kind: Literal['epoch_opened'] = 'epoch_opened'


@dataclass(frozen=True, slots=True)
class TaskLeaseRaised:
    """The owner may grant longer task leases from now on."""

    task_lease_ms: int
    kind: Literal['task_lease_raised'] = 'task_lease_raised'


@dataclass(frozen=True, slots=True)
class JobAccepted:
    """A job is acknowledged once this record is committed, unless volatile."""

    job_id: JobId
    spec: JobSpec
    kind: Literal['job_accepted'] = 'job_accepted'


@dataclass(frozen=True, slots=True)
class StartIntended:
    """An at-most-once attempt may be started from now on.

    `incarnation` is that of the worker at the time. A worker that still has
    this incarnation and does not report the attempt has never started it.
    """

    job_id: JobId
    attempt_id: AttemptId
    worker_id: WorkerId
    incarnation: IncarnationId = NO_INCARNATION
    kind: Literal['start_intended'] = 'start_intended'


@dataclass(frozen=True, slots=True)
class StartWithdrawn:
    """An intended start is proved not to have run."""

    job_id: JobId
    attempt_id: AttemptId
    kind: Literal['start_withdrawn'] = 'start_withdrawn'


@dataclass(frozen=True, slots=True)
class TaskFinished:
    """One task of a job succeeded; its result is kept."""

    job_id: JobId
    position: int
    output: str
    kind: Literal['task_finished'] = 'task_finished'


@dataclass(frozen=True, slots=True)
class CancelRequested:
    """The job is not started again, by this owner or a later one."""

    job_id: JobId
    kind: Literal['cancel_asked'] = 'cancel_asked'


@dataclass(frozen=True, slots=True)
class JobEnded:
    """The job reached its final state."""

    job_id: JobId
    state: JobState
    kind: Literal['job_ended'] = 'job_ended'


Record = (
    EpochOpened
    | TaskLeaseRaised
    | JobAccepted
    | StartIntended
    | StartWithdrawn
    | TaskFinished
    | CancelRequested
    | JobEnded
)

RECORD: Final[TypeAdapter[Record]] = TypeAdapter(
    Annotated[Record, Field(discriminator='kind')],
)
