"""Accounts of the customers, and the groups of their waiting jobs.

Jobs of a customer with the same requirements wait in one group, so that a
decision (one round of placing tasks) examines a few groups, not all jobs.
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
from fuchsiarill.resources import NO_RESOURCES, Resources

GroupKey = tuple[
    tuple[Urgency, Workload, Execution],
    JobClass,
    Resources,
    tuple[int, bool],
]
Rank = tuple[float, ...]
# Value of `first_order` in a group without jobs.
NO_ORDER: Final = sys.maxsize


class Obstacle(Enum):
    """Why a group of jobs cannot be placed."""

    CAPACITY = 'room'
    QUOTA = 'quota'
    NO_CONTRACT = 'no_contract'
    OWNERSHIP = 'ownership'


def group_key_of(spec: JobSpec, is_retried: bool) -> GroupKey:
    """Return the key that all jobs of one group share.

    A retried job must avoid the workers on which it failed, so it is grouped
    apart from jobs that may use any worker.
    """
    at_once_count = 1
    if spec.workload is Workload.GANG:
        at_once_count = spec.tasks_count
    return (
        (spec.urgency, spec.workload, spec.execution),
        spec.job_class,
        spec.task_size,
        (at_once_count, is_retried),
    )


@dataclass(slots=True, eq=False)
class Group:
    """Waiting jobs of a customer with the same requirements.

    `jobs` are in the order in which they are tried. `spec` is the submission of
    the job for which the group was created.
    `first_order` and `first_at_ms` are the acceptance number and the time of
    acceptance of the first job. `urgent_then_order` sorts urgent groups before
    others, and both by `first_order`.
    `blocked_size` is the size for which no worker had free capacity. `size` is
    the size to reserve for one task, computed for `size_version`. Reclaiming of
    capacity is not tried again before `reclaim_after_ms`. `served_at_ms` is the
    time of the last start; it is not updated for gangs.
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
    blocked_size: Resources = NO_RESOURCES
    reclaim_after_ms: int = 0
    served_at_ms: int = 0
    size: Resources = NO_RESOURCES
    size_version: tuple[int, int] = (-1, -1)

    def __post_init__(self) -> None:
        """Cache the properties of the jobs that decisions read often."""
        self.urgent = self.spec.urgency is Urgency.URGENT
        self.is_gang = self.spec.workload is Workload.GANG

    def add(self, job: JobRecord) -> None:
        """Append a job, or put it first if accepted before the first one."""
        self.jobs[job.job_id] = job
        if job.acceptance_number < self.first_order:
            self.jobs.move_to_end(job.job_id, last=False)
            self._update_first(job)

    def remove(self, job: JobRecord) -> None:
        """Remove a job that waits in the group."""
        self.jobs.pop(job.job_id)
        if self.jobs:
            self._update_first(next(iter(self.jobs.values())))
        else:
            self.first_order = NO_ORDER

    def first_job_id(self) -> JobId:
        """Return the id of the job that is tried first."""
        return next(iter(self.jobs))

    def _update_first(self, job: JobRecord) -> None:
        self.first_order = job.acceptance_number
        self.first_at_ms = job.accepted_at_ms
        self.urgent_then_order = (not self.urgent, job.acceptance_number)


@dataclass(slots=True, eq=False)
class Account:
    """Resources, limits and waiting groups of one customer.

    `contract` is `None` if the configuration in force has none for the
    customer. `quota` and `guaranteed` are the part of the contract that applies
    to this partition. `tokens` and `refilled_at_ms` are the state of the rate
    limit, `retry_credit` is the balance of the retry budget.
    `reserved` is the sum of the sizes reserved for its attempts and
    `share` its weighted dominant share. `urgent_reserved` is the part for
    urgent jobs, `being_reclaimed` the part whose attempts are being stopped for
    other jobs.
    `waiting_count` counts the jobs in the groups, `accepting_count` the jobs
    whose acceptance is not committed yet.
    `served_at_ms` is the time of the last placement of an attempt.
    Of the `groups`, those in `ready` can be tried, those in `unplaceable` wait
    for free capacity on a worker, and those in `over_quota` wait until the
    customer reserves less. Other groups are gangs that wait for capacity, or
    wait for a contract or the confirmation of ownership. `rank` and
    `unplaceable_rank` are the ranks of the first group in `ready` and in
    `unplaceable`, `None` if there is none.
    `preemptible_batch` holds idempotent batch attempts and
    `preemptible_services` idempotent replicas, oldest first. Neither holds
    urgent attempts.
    """

    customer: CustomerId
    contract: Contract | None
    quota: Resources = NO_RESOURCES
    guaranteed: Resources = NO_RESOURCES
    tokens: float = 0
    refilled_at_ms: int = 0
    retry_credit: float = 0
    reserved: Resources = NO_RESOURCES
    share: float = 0
    urgent_reserved: Resources = NO_RESOURCES
    being_reclaimed: Resources = NO_RESOURCES
    waiting_count: int = 0
    accepting_count: int = 0
    served_at_ms: int = 0
    groups: dict[GroupKey, Group] = field(default_factory=dict)
    ready: dict[Group, None] = field(default_factory=dict)
    unplaceable: dict[Group, None] = field(default_factory=dict)
    over_quota: dict[Group, None] = field(default_factory=dict)
    rank: Rank | None = None
    unplaceable_rank: Rank | None = None
    preemptible_batch: 'OrderedDict[AttemptId, None]' = field(
        default_factory=OrderedDict,
    )
    preemptible_services: 'OrderedDict[AttemptId, None]' = field(
        default_factory=OrderedDict,
    )
