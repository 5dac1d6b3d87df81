"""Submissions of callers, and the owner's records of jobs and attempts."""

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
from fuchsiarill.resources import NO_RESOURCES, Resources
from fuchsiarill.states import AttemptState, JobState


class Workload(Enum):
    """How the tasks of a job relate to each other.

    The tasks of a service run until the job is cancelled, those of a batch run
    independently, and those of a gang run only together.
    """

    SERVICE = 'service'
    BATCH = 'batch'
    GANG = 'gang'


class Execution(Enum):
    """Whether a task may be run again after an unknown outcome."""

    IDEMPOTENT = 'idempotent'
    AT_MOST_ONCE = 'at_most_once'


class Urgency(Enum):
    """Whether a job comes before jobs that are not urgent.

    With the `fair` ordering it does so while the urgent jobs of its customer
    are within the guarantee or the weighted share of that customer. The
    `first_come` ordering ignores urgency.
    """

    URGENT = 'urgent'
    NORMAL = 'normal'


class StopReason(Enum):
    """Why the owner stops an attempt."""

    JOB_ENDED = 'job_ended'
    RECLAIMED = 'reclaimed'
    MOVED = 'moved'
    OVERUSE = 'overuse'
    GANG_RESTART = 'gang_restart'


@dataclass(frozen=True, slots=True)
class JobSpec:
    """A submission whose fields are valid.

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
    """One run of one task on one worker, as the owner sees it.

    `peak` is the largest usage in `usage_reports_count` reports so far.
    `sized_version` is the version of the estimate that `reserved` was last
    compared with. `replaces` is the replica that stops once this attempt runs.
    """

    attempt_id: AttemptId
    task_id: TaskId
    job_id: JobId
    worker_id: WorkerId
    reserved: Resources
    state: AttemptState
    placed_at_ms: int
    lease_ends_at_ms: int
    peak: Resources = NO_RESOURCES
    usage_reports_count: int = 0
    sized_version: int = -1
    is_overuse_handled: bool = False
    stop_reason: StopReason | None = None
    replaces: AttemptId | None = None


@dataclass(slots=True)
class JobRecord:
    """State of one job at the owner of its partition.

    `waiting` holds the positions of tasks that have no attempt, `results` the
    output of each task that succeeded, by position. `acceptance_number` numbers
    the jobs of an owner in the order of their acceptance. `failed_on` holds the
    workers on which an attempt failed. `replaced_attempts` maps the position of
    a replica to the attempt that stops once its replacement runs.
    `losses_counts` maps a position to the number of its attempts that were lost
    one after the other. `failure_witnesses` holds the workers that seemed sound
    when an attempt failed there, since the last success of the job. Once they
    are several, the job `is_to_blame` for its failures. A `volatile` job was
    accepted before its record in the journal was durable.
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
    acceptance_number: int = 0
    failed_on: set[WorkerId] = field(default_factory=set)
    replaced_attempts: dict[int, AttemptId] = field(default_factory=dict)
    losses_counts: dict[int, int] = field(default_factory=dict)
    failure_witnesses: set[WorkerId] = field(default_factory=set)
    is_to_blame: bool = False
    volatile: bool = False
