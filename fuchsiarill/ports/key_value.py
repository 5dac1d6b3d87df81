"""Interface to a key-value service with ranges, watches and transactions.

A call that got no answer may have taken effect, also seconds later while its
conditions still hold: `KvFailure.UNKNOWN` says so. `REFUSED` proves that
nothing was done.
"""

from dataclasses import dataclass
from enum import Enum
from typing import Protocol

from returns.result import Result

from fuchsiarill.ids import ABSENT, Revision, StoreKey, StoreLeaseId


class KvFailure(Enum):
    """Why a call of the service has no outcome."""

    REFUSED = 'refused'
    UNKNOWN = 'unknown'
    LEASE_GONE = 'lease_gone'
    # The history after the revision asked for has been dropped.
    COMPACTED = 'compacted'


@dataclass(frozen=True, slots=True)
class KvItem:
    """A key with its value; a deleted or absent key has no value."""

    key: StoreKey
    value: bytes | None
    revision: Revision
    created: Revision = ABSENT


@dataclass(frozen=True, slots=True)
class KvPage:
    """Items of a prefix in the order of their keys."""

    items: tuple[KvItem, ...]
    has_more: bool
    at_revision: Revision


@dataclass(frozen=True, slots=True)
class KvChanges:
    """Changes in the order of their revisions; go on from `at_revision`."""

    items: tuple[KvItem, ...]
    at_revision: Revision


@dataclass(frozen=True, slots=True)
class KvWrite:
    """A key to write; with `lease` it goes when the lease ends."""

    key: StoreKey
    value: bytes
    lease: StoreLeaseId | None = None


@dataclass(frozen=True, slots=True)
class KvTransaction:
    """Writes and deletes that happen together, or not at all.

    `expected` holds the revisions that keys must have, `ABSENT` for a key
    that must not exist.
    """

    expected: tuple[tuple[StoreKey, Revision], ...] = ()
    writes: tuple[KvWrite, ...] = ()
    deletes: tuple[StoreKey, ...] = ()


@dataclass(frozen=True, slots=True)
class KvCommitted:
    """The transaction happened; its writes have this revision."""

    revision: Revision


@dataclass(frozen=True, slots=True)
class KvConflict:
    """An expectation was wrong; `items` holds the keys as they are."""

    items: tuple[KvItem, ...]


class KeyValuePort(Protocol):
    """The calls that the system makes of the service."""

    async def get(
        self,
        key: StoreKey,
        timeout_ms: int,
    ) -> Result[KvItem, KvFailure]:
        """Read a key; an absent one has no value and revision `ABSENT`."""

    async def list_prefix(
        self,
        prefix: str,
        after: StoreKey | None,
        timeout_ms: int,
    ) -> Result[KvPage, KvFailure]:
        """Read the items of a prefix that follow the key `after`."""

    async def watch_prefix(
        self,
        prefix: str,
        after: Revision,
        wait_ms: int,
    ) -> Result[KvChanges, KvFailure]:
        """Wait for changes of a prefix, for at most `wait_ms`."""

    async def commit(
        self,
        transaction: KvTransaction,
        timeout_ms: int,
    ) -> Result[KvCommitted | KvConflict, KvFailure]:
        """Carry out a transaction."""

    async def grant_lease(
        self,
        ttl_ms: int,
        timeout_ms: int,
    ) -> Result[StoreLeaseId, KvFailure]:
        """Create a lease that lapses `ttl_ms` after its last renewal."""

    async def renew_lease(
        self,
        lease: StoreLeaseId,
        timeout_ms: int,
    ) -> Result[StoreLeaseId, KvFailure]:
        """Extend a lease by its time to live."""

    async def end_lease(
        self,
        lease: StoreLeaseId,
        timeout_ms: int,
    ) -> Result[StoreLeaseId, KvFailure]:
        """End a lease and delete its keys."""
