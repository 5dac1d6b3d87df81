"""What the owner keeps of each customer, and the jobs that wait in groups.

Jobs of one customer that need the same wait in one group, so that a decision
looks at a few groups and never at all jobs.
"""

import sys
from collections import OrderedDict
from dataclasses import dataclass, field
from enum import Enum
from typing import Final

from fuchsiarill.cell_config import Contract
from fuchsiarill.core.estimate import Estimate
from fuchsiarill.ids import AttemptId, CustomerId, JobClass, JobId
from fuchsiarill.job import Execution, JobRecord, JobSpec, Urgency, Workload
from fuchsiarill.resources import NOTHING, Resources

GroupKey = tuple[
    tuple[Urgency, Workload, Execution],
    JobClass,
    Resources,
    tuple[int, bool],
]
Rank = tuple[float, ...]
NO_ORDER: Final = sys.maxsize


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

    `first_order` and `first_at_ms` are the acceptance number and the time of
    acceptance of the oldest.
    `blocked_size` is the size for which no worker had room. `size` is what a
    task reserves, computed for `size_version`. Reclaiming is not tried again
    before `reclaim_after_ms`. `served_at_ms` is the time of the last start.
    """

    customer: CustomerId
    spec: JobSpec
    estimate: Estimate
    jobs: 'OrderedDict[JobId, JobRecord]' = field(
        default_factory=OrderedDict,
    )
    urgent: bool = False
    is_gang: bool = False
    first_order: int = NO_ORDER
    first_at_ms: int = 0
    urgent_then_order: tuple[bool, int] = (False, NO_ORDER)
    obstacle: Obstacle | None = None
    blocked_size: Resources = NOTHING
    reclaim_after_ms: int = 0
    served_at_ms: int = 0
    size: Resources = NOTHING
    size_version: tuple[int, int] = (-1, -1)

    def __post_init__(self) -> None:
        """Take from the submission what decisions ask for often."""
        self.urgent = self.spec.urgency is Urgency.URGENT
        self.is_gang = self.spec.workload is Workload.GANG

    def add(self, job: JobRecord) -> None:
        """Add a job in the order of acceptance, or in front when older."""
        self.jobs[job.job_id] = job
        if job.acceptance_number < self.first_order:
            self.jobs.move_to_end(job.job_id, last=False)
            self._note_first(job)

    def remove(self, job: JobRecord) -> None:
        """Remove a job."""
        self.jobs.pop(job.job_id)
        if self.jobs:
            self._note_first(next(iter(self.jobs.values())))
        else:
            self.first_order = NO_ORDER

    def head(self) -> JobId:
        """Return the job that waits longest."""
        return next(iter(self.jobs))

    def _note_first(self, job: JobRecord) -> None:
        self.first_order = job.acceptance_number
        self.first_at_ms = job.accepted_at_ms
        self.urgent_then_order = (not self.urgent, job.acceptance_number)


@dataclass(slots=True, eq=False)
class Account:
    """Everything counted for one customer.

    `contract` is `None` when the configuration in force has none. `share` is
    the weighted dominant share of `held`. Of the `groups`, those in `ready`
    can be tried, `roomless` ones wait for room on a worker and `over_quota`
    ones for the customer's own tasks to end.
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
    share: float = 0
    urgent_held: Resources = NOTHING
    reclaimed: Resources = NOTHING
    waiting_count: int = 0
    accepting_count: int = 0
    served_at_ms: int = 0
    groups: dict[GroupKey, Group] = field(default_factory=dict)
    ready: dict[Group, None] = field(default_factory=dict)
    roomless: dict[Group, None] = field(default_factory=dict)
    over_quota: dict[Group, None] = field(default_factory=dict)
    rank: Rank | None = None
    roomless_rank: Rank | None = None
    stoppable: 'OrderedDict[AttemptId, None]' = field(
        default_factory=OrderedDict,
    )
    services: 'OrderedDict[AttemptId, None]' = field(
        default_factory=OrderedDict,
    )
