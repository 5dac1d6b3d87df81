"""Messages about the ownership of a pool, and its candidate."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import NamedTuple

from returns.result import Result

from fuchsiarill.actor import Reply
from fuchsiarill.graphs.campaigner import Election
from fuchsiarill.graphs.model import PoolId
from fuchsiarill.graphs.owner_context import OwnerContext
from fuchsiarill.graphs.owner_messages import PoolRecords
from fuchsiarill.ids import StoreLeaseId
from fuchsiarill.ports.key_value import KvFailure, KvItem


@dataclass(frozen=True, slots=True)
class OwnerKeySeen:
    """The watch of the store has reported this value of the owner key."""

    item: KvItem


@dataclass(frozen=True, slots=True)
class Drain:
    """Request to hand the pool over; answered once its lease is ended."""

    reply: Reply[None]


@dataclass(frozen=True, slots=True)
class HandOverToLarger:
    """Request to end the term, since a larger machine can own the pool."""


@dataclass(frozen=True, slots=True)
class PoolRecordsRead:
    """The records of the pool have been read for the term of an election."""

    election: Election
    loaded: PoolRecords


@dataclass(frozen=True, slots=True)
class LeaseRenewalAnswered:
    """Outcome of a renewal of the store lease, sent at `requested_ms`."""

    lease: StoreLeaseId
    requested_ms: int
    outcome: Result[StoreLeaseId, KvFailure]
    # The owner key, read after a suspension, had another revision.
    is_key_lost: bool = False


@dataclass(frozen=True, slots=True)
class TenureTick:
    """Periodic tick of the tenure."""


class OtherPools(NamedTuple):
    """Numbers of pools of a process other than the pool in question."""

    owned_count: int
    campaigned_count: int


@dataclass(frozen=True, slots=True)
class Candidate:
    """A process that takes part in elections."""

    context: OwnerContext
    incarnation: str
    # Returns how many other pools the process owns, and for how many it
    # campaigns before it campaigns for this pool.
    count_other_pools: Callable[[PoolId], OtherPools]
    # Returns the number of listed processes that started after this one.
    count_later_processes: Callable[[], int]
