"""What the owner keeps of each customer, and the jobs that wait in groups.

Jobs of one customer that need the same wait in one group, so that a decision
looks at a few groups and never at all jobs.
"""

from collections import OrderedDict
from dataclasses import dataclass, field
from enum import Enum

from fuchsiarill.cell_config import Contract
from fuchsiarill.ids import AttemptId, CustomerId, JobClass, JobId
from fuchsiarill.job import Execution, JobSpec, Urgency, Workload
from fuchsiarill.resources import NOTHING, Resources

GroupKey = tuple[
    tuple[Urgency, Workload, Execution],
    JobClass,
    Resources,
    tuple[int, bool],
]
Rank = tuple[float, ...]


class Obstacle(Enum):
    """What keeps a group of jobs from being placed."""

    ROOM = 'room'
    QUOTA = 'quota'
    NO_CONTRACT = 'no_contract'
    OWNERSHIP = 'ownership'


def group_key_of(spec: JobSpec, retried: bool) -> GroupKey:
    """Return what jobs must have in common to wait in one group.

    A job that failed somewhere avoids workers, so it waits apart from those
    that may use them.
    """
    at_once_count = 1
    if spec.workload is Workload.GANG:
        at_once_count = spec.tasks_count
    return (
        (spec.urgency, spec.workload, spec.execution),
        spec.job_class,
        spec.task_size,
        (at_once_count, retried),
    )


@dataclass(slots=True, eq=False)
class Group:
    """Waiting jobs of one customer that need the same, oldest first.

    `blocked_size` is the size for which no worker had room.
    """

    customer: CustomerId
    spec: JobSpec
    jobs: 'OrderedDict[JobId, int]' = field(default_factory=OrderedDict)
    obstacle: Obstacle | None = None
    blocked_size: Resources = NOTHING
    blocked_at_ms: int = 0

    @property
    def urgent(self) -> bool:
        """Tell whether the jobs are urgent."""
        return self.spec.urgency is Urgency.URGENT

    @property
    def is_gang(self) -> bool:
        """Tell whether all tasks of a job start together."""
        return self.spec.workload is Workload.GANG

    def head(self) -> JobId:
        """Return the job that waits longest."""
        return next(iter(self.jobs))

    def head_order(self) -> int:
        """Return the acceptance number of the job that waits longest."""
        return next(iter(self.jobs.values()))


@dataclass(slots=True, eq=False)
class Account:
    """Everything counted for one customer.

    `contract` is `None` when the configuration in force has none.
    `stoppable` holds idempotent batch attempts and `services` idempotent
    replicas, both without urgent ones and oldest first. `urgent_held` is the
    part of `held` for urgent jobs, `reclaimed` the part whose attempts
    were asked to stop for others.
    """

    customer: CustomerId
    contract: Contract | None
    quota: Resources = NOTHING
    guaranteed: Resources = NOTHING
    tokens: float = 0
    refilled_at_ms: int = 0
    retry_credit: float = 0
    held: Resources = NOTHING
    urgent_held: Resources = NOTHING
    reclaimed: Resources = NOTHING
    waiting_count: int = 0
    accepting_count: int = 0
    served_at_ms: int = 0
    groups: dict[GroupKey, Group] = field(default_factory=dict)
    ready: dict[Group, None] = field(default_factory=dict)
    rank: Rank | None = None
    stoppable: 'OrderedDict[AttemptId, None]' = field(
        default_factory=OrderedDict,
    )
    services: 'OrderedDict[AttemptId, None]' = field(
        default_factory=OrderedDict,
    )
