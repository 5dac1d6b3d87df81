"""State that the decision modules of one partition share.

Only `PartitionCore` holds it; the modules of `core` get it passed and keep
nothing themselves.
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
from fuchsiarill.resources import NOTHING, Resources

__all__ = ('CoreState', 'Timer', 'WorkerView')  # noqa: WPS410

Timer = tuple[int, int, Callable[[int], None]]


@dataclass(slots=True)
class CoreState:
    """Everything one owner knows of its partition.

    `group_keys` maps each waiting job to its group within the account.
    `order` ranks the customers with ready groups, `roomless_order` those with
    groups that wait for room, whose sizes `roomless_sizes` counts and which
    `roomless` holds by urgency. `unranked` customers have to be ranked anew.
    `no_room_for` holds sizes for which no worker has room, except perhaps
    those in `released`, whose room was not offered yet to all who wait;
    `offered` holds the groups that the first of them was offered to.
    `sizes_version` counts changes that all reserved sizes depend on.
    `ageing_per_ms` is what a wait counts against a share. `unrenewed` holds
    attempts whose leases are not extended.
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
    total_capacity: Resources = NOTHING
    weights_sum: float = 1.0
    sizes_version: int = 0
    ageing_per_ms: float = 0
    order: 'SortedList[tuple[Rank, CustomerId]]' = field(
        default_factory=SortedList,
    )
    group_keys: dict[JobId, GroupKey] = field(default_factory=dict)
    roomless_order: 'SortedList[tuple[Rank, CustomerId]]' = field(
        default_factory=SortedList,
    )
    roomless: dict[bool, dict[Group, None]] = field(
        default_factory=lambda: {True: {}, False: {}},
    )
    unranked: dict[CustomerId, None] = field(default_factory=dict)
    roomless_sizes: Counter[Resources] = field(default_factory=Counter)
    offered: set[Group] = field(default_factory=set)
    blocked_gangs: dict[Group, None] = field(default_factory=dict)
    no_room_for: list[Resources] = field(default_factory=list)
    released: dict[WorkerId, None] = field(default_factory=dict)
    reservations: dict[JobId, Reservation] = field(default_factory=dict)
    reclaims: dict[JobId, int] = field(default_factory=dict)
    estimates: dict[tuple[CustomerId, JobClass], Estimate] = field(
        default_factory=dict,
    )
    unrenewed: dict[AttemptId, None] = field(default_factory=dict)
    ended: deque[tuple[int, JobId]] = field(default_factory=deque)
    timers: list[Timer] = field(default_factory=list)
    jitter: random.Random = field(default_factory=random.Random)
    timers_count: int = 0
    retried_at_ms: int = 0
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
        """Seed the generator, so that a replay takes the same course."""
        self.jitter.seed(f'{self.partition}/{self.epoch}')

    def persist(
        self,
        record: Record,
        then: Callable[[int], None] | None = None,
    ) -> int:
        """Ask for a record to be made durable; returns its sequence number.

        `then` is called with the time in milliseconds once it is committed.
        """
        self.sequence += 1
        if then is not None:
            self.after_commit[self.sequence] = then
        self.effects.append(PersistRecord(self.sequence, record))
        return self.sequence

    def persist_for(
        self,
        job: JobRecord,
        record: Record,
        now_ms: int,
        then: Callable[[int], None] | None = None,
    ) -> None:
        """Make a record of a job durable, then call `then`.

        While ownership is not confirmed, what follows on the records of a
        volatile job does not wait for their commit.
        """
        if not job.volatile:
            self.persist(record, then)
            return
        self.persist(record)
        if then is not None:
            then(now_ms)
