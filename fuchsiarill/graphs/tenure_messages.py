"""Messages about the ownership of a pool, and who runs for it."""

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
    """The owner key as the store's feed shows it."""

    item: KvItem


@dataclass(frozen=True, slots=True)
class Drain:
    """Give the pool up, then answer."""

    reply: Reply[None]


@dataclass(frozen=True, slots=True)
class PoolRead:
    """The pool has been read for the term that an election began."""

    election: Election
    loaded: PoolLoaded


@dataclass(frozen=True, slots=True)
class RenewalAnswered:
    lease: StoreLeaseId
    requested_ms: int
    outcome: Result[StoreLeaseId, KvFailure]
    # The owner key has been read after a time without renewals.
    is_key_lost: bool = False


@dataclass(frozen=True, slots=True)
class TenureTick:
    """Time passes."""


@dataclass(frozen=True, slots=True)
class Candidate:
    """A process as it appears in elections."""

    context: OwnerContext
    incarnation: str
    # Pools that this process owns at the moment.
    owned_count: Callable[[], int]
