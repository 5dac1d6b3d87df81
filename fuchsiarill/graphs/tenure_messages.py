"""Messages about the ownership of a pool, and its candidate."""

from collections.abc import Callable
from dataclasses import dataclass

from returns.result import Result

from fuchsiarill.actor import Reply
from fuchsiarill.graphs.campaigner import Election
from fuchsiarill.graphs.owner_context import OwnerContext
from fuchsiarill.graphs.owner_messages import PoolLoaded
from fuchsiarill.ids import StoreLeaseId
from fuchsiarill.ports.key_value import KvFailure, KvItem


@dataclass(frozen=True, slots=True)
class OwnerKeySeen:
    """The owner key has this value, according to the watch of the store."""

    item: KvItem


@dataclass(frozen=True, slots=True)
class Drain:
    """Request to hand the pool over, then answer."""

    reply: Reply[None]


@dataclass(frozen=True, slots=True)
class PoolRead:
    """The records of the pool are read for the term of an election."""

    election: Election
    loaded: PoolLoaded


@dataclass(frozen=True, slots=True)
class RenewalAnswered:
    """Outcome of a lease renewal that was sent at `requested_ms`."""

    lease: StoreLeaseId
    requested_ms: int
    outcome: Result[StoreLeaseId, KvFailure]
    # After a suspension, the owner key had another revision.
    is_key_lost: bool = False


@dataclass(frozen=True, slots=True)
class TenureTick:
    """Periodic tick of the tenure."""


@dataclass(frozen=True, slots=True)
class Candidate:
    """A process that takes part in elections."""

    context: OwnerContext
    incarnation: str
    # Returns the number of pools that the process owns.
    owned_count: Callable[[], int]
