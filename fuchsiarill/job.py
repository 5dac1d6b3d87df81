"""What callers submit, and what the owner keeps of each job and attempt."""

from dataclasses import dataclass, field
from enum import Enum

from fuchsiarill.ids import (
    AttemptId,
    CustomerId,
    JobClass,
    JobId,
    TaskId,
    WorkerId,
)
from fuchsiarill.resources import Resources
from fuchsiarill.states import AttemptState, JobState


class Workload(Enum):
    """How the tasks of a job belong together."""

    SERVICE = 'service'
    BATCH = 'batch'
    GANG = 'gang'


class Execution(Enum):
    """Whether a task may be run again after an unknown outcome."""

    IDEMPOTENT = 'idempotent'
    AT_MOST_ONCE = 'at_most_once'


class Urgency(Enum):
    """How a job is ordered within the contract of its customer."""

    URGENT = 'urgent'
    NORMAL = 'normal'


@dataclass(frozen=True, slots=True)
class JobSpec:
    """A submission that passed the checks of its form.

    `run_time_ms` is declared; a service declares zero and runs until it is
    cancelled. `job_class` groups jobs whose size and run time are alike.
    """

    customer: CustomerId
    idempotency_key: str
    workload: Workload
    execution: Execution
    urgency: Urgency
    job_class: JobClass
    tasks_count: int
    task_size: Resources
    run_time_ms: int
    payload: str


@dataclass(slots=True)
class Attempt:
    """One run of one task on one worker, as the owner sees it."""

    attempt_id: AttemptId
    task_id: TaskId
    job_id: JobId
    worker_id: WorkerId
    reserved: Resources
    state: AttemptState
    placed_at_ms: int
    lease_ends_at_ms: int


@dataclass(slots=True)
class JobRecord:
    """Everything the owner keeps of one job.

    `waiting` holds the positions of tasks that have no attempt, `results` the
    output of each task that succeeded, by position.
    """

    job_id: JobId
    spec: JobSpec
    accepted_at_ms: int
    state: JobState
    waiting: list[int]
    attempts: dict[AttemptId, Attempt] = field(default_factory=dict)
    results: dict[int, str] = field(default_factory=dict)
    failures_count: int = 0
    started_at_ms: int | None = None
    volatile: bool = False
