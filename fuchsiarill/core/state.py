"""State that the decision modules of one partition share.

A `CoreState` belongs to one `PartitionCore`. The modules of `core` get it as an
argument and have no state of their own.
"""

import random
from collections import Counter, deque
from collections.abc import Callable
from dataclasses import dataclass, field

from sortedcontainers import SortedList

from fuchsiarill.cell_config import CellConfig
from fuchsiarill.core.accounts import Account, Group, GroupKey, Rank
from fuchsiarill.core.effects import Effect, PersistRecord
from fuchsiarill.core.estimate import Estimate
from fuchsiarill.core.recovery import Recovery
from fuchsiarill.core.reservation import Reservation
from fuchsiarill.core.worker_index import WorkerIndex
from fuchsiarill.core.worker_view import WorkerView
from fuchsiarill.ids import (
    AttemptId,
    CustomerId,
    Epoch,
    JobClass,
    JobId,
    PartitionId,
    WorkerId,
)
from fuchsiarill.job import Attempt, JobRecord
from fuchsiarill.records import Record
from fuchsiarill.resources import NO_RESOURCES, Resources

__all__ = ('CoreState', 'Timer', 'WorkerView')  # noqa: WPS410

# Due time in milliseconds, number in the order of creation, and callback.
Timer = tuple[int, int, Callable[[int], None]]


@dataclass(slots=True)
class CoreState:
    """State of one partition, as known to its owner.

    `capacities` counts the listed workers by capacity.
    `group_keys` maps each waiting job to the key of its group in the account.
    `ready_order` ranks the customers with ready groups. `unplaceable` holds the
    groups of single tasks that wait for capacity, by urgency;
    `unplaceable_sizes` counts their sizes and `unplaceable_order` ranks their
    customers. `blocked_gangs` holds the groups of gangs that wait for capacity.
    The ranks of `unranked` customers may be out of date.
    `released` holds workers whose free capacity has not been offered yet to
    all unplaceable groups, `offered` the groups to which the first of these
    workers was offered. `failed_search_sizes` holds sizes for which a search
    found no worker; single tasks of these or larger sizes are tried only on
    released and held workers.
    `sizes_version` counts the changes of contracts and of `capacities`, on
    which the sizes to reserve depend.
    `gang_restarts` maps each gang that is being stopped for a restart to the
    earliest time of the restart. `ended` holds the ended jobs, with the time at
    which their final state was published or restored. `after_commit` holds the
    callbacks by the sequence number of their record.
    `ageing_per_ms` converts waiting time to a share, for ranks. `unrenewed`
    holds attempts whose leases are not renewed until their worker reports them:
    those on workers without contact and those restored after a takeover.
    `reclaim_pending_until_ms` gives for a job the time until which requested
    stops may be confirmed. With `restricted`, only urgent idempotent jobs
    start.
    """

    partition: PartitionId
    epoch: Epoch
    config: CellConfig
    jobs: dict[JobId, JobRecord] = field(default_factory=dict)
    job_by_key: dict[tuple[CustomerId, str], JobId] = field(
        default_factory=dict,
    )
    attempts: dict[AttemptId, Attempt] = field(default_factory=dict)
    workers: dict[WorkerId, WorkerView] = field(default_factory=dict)
    accounts: dict[CustomerId, Account] = field(default_factory=dict)
    index: WorkerIndex = field(default_factory=WorkerIndex)
    capacities: Counter[Resources] = field(default_factory=Counter)
    total_capacity: Resources = NO_RESOURCES
    weights_sum: float = 1.0
    sizes_version: int = 0
    ageing_per_ms: float = 0
    ready_order: 'SortedList[tuple[Rank, CustomerId]]' = field(
        default_factory=SortedList,
    )
    group_keys: dict[JobId, GroupKey] = field(default_factory=dict)
    unplaceable_order: 'SortedList[tuple[Rank, CustomerId]]' = field(
        default_factory=SortedList,
    )
    unplaceable: dict[bool, dict[Group, None]] = field(
        default_factory=lambda: {True: {}, False: {}},
    )
    unranked: dict[CustomerId, None] = field(default_factory=dict)
    unplaceable_sizes: Counter[Resources] = field(default_factory=Counter)
    offered: set[Group] = field(default_factory=set)
    blocked_gangs: dict[Group, None] = field(default_factory=dict)
    failed_search_sizes: list[Resources] = field(default_factory=list)
    released: dict[WorkerId, None] = field(default_factory=dict)
    reservations: dict[JobId, Reservation] = field(default_factory=dict)
    reclaim_pending_until_ms: dict[JobId, int] = field(default_factory=dict)
    estimates: dict[tuple[CustomerId, JobClass], Estimate] = field(
        default_factory=dict,
    )
    unrenewed: dict[AttemptId, None] = field(default_factory=dict)
    ended: deque[tuple[int, JobId]] = field(default_factory=deque)
    timers: list[Timer] = field(default_factory=list)
    jitter: random.Random = field(default_factory=random.Random)
    timers_count: int = 0
    unplaceable_retried_at_ms: int = 0
    gangs_retried_at_ms: int = 0
    gang_restarts: dict[JobId, int] = field(default_factory=dict)
    hosts_read: bool = False
    recovery: Recovery = field(default_factory=Recovery)
    restricted: bool = False
    effects: list[Effect] = field(default_factory=list)
    after_commit: dict[int, Callable[[int], None]] = field(
        default_factory=dict,
    )
    sequence: int = 0
    attempts_count: int = 0
    jobs_count: int = 0

    def __post_init__(self) -> None:
        """Seed the random generator, so that a replay is deterministic."""
        self.jitter.seed(f'{self.partition}/{self.epoch}')

    def persist(
        self,
        record: Record,
        on_commit: Callable[[int], None] | None = None,
    ) -> int:
        """Request the commit of a record; returns its sequence number.

        `on_commit` is called once the record is committed, with the time in
        milliseconds.
        """
        self.sequence += 1
        if on_commit is not None:
            self.after_commit[self.sequence] = on_commit
        self.effects.append(PersistRecord(self.sequence, record))
        return self.sequence

    def persist_for(
        self,
        job: JobRecord,
        record: Record,
        now_ms: int,
        on_commit: Callable[[int], None] | None = None,
    ) -> None:
        """Request the commit of a record of a job.

        `on_commit` is called once the record is committed. For a volatile job,
        accepted while ownership is not confirmed, it is called at once.
        """
        if not job.volatile:
            self.persist(record, on_commit)
            return
        self.persist(record)
        if on_commit is not None:
            on_commit(now_ms)
