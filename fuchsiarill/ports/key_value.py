"""Interface to a key-value service with ranges, watches and transactions.

After `KvFailure.UNKNOWN` a call may have taken effect, or may still do so
seconds later while its conditions hold. `REFUSED` proves that it had no
effect.
"""

from dataclasses import dataclass
from enum import Enum
from typing import Protocol

from returns.result import Result

from fuchsiarill.ids import ABSENT, Revision, StoreKey, StoreLeaseId


class KvFailure(Enum):
    """Why a call to the service failed."""

    REFUSED = 'refused'
    UNKNOWN = 'unknown'
    LEASE_GONE = 'lease_gone'
    # The service has discarded the history after the requested revision.
    COMPACTED = 'compacted'


@dataclass(frozen=True, slots=True)
class KvItem:
    """A key with its value; a deleted or absent key has no value.

    `created` is the revision at which the key was created.
    """

    key: StoreKey
    value: bytes | None
    revision: Revision
    created: Revision = ABSENT


@dataclass(frozen=True, slots=True)
class KvPage:
    """One page of the items of a prefix, in key order."""

    items: tuple[KvItem, ...]
    has_more: bool
    at_revision: Revision


@dataclass(frozen=True, slots=True)
class KvChanges:
    """Changes in revision order; continue the watch after the last of them.

    `at_revision` may be later than changes that were not delivered.
    """

    items: tuple[KvItem, ...]
    at_revision: Revision


@dataclass(frozen=True, slots=True)
class KvWrite:
    """A key to write; if `lease` is set, the key is deleted with the lease."""

    key: StoreKey
    value: bytes
    lease: StoreLeaseId | None = None


@dataclass(frozen=True, slots=True)
class KvTransaction:
    """Writes and deletes that are applied atomically.

    `expected` holds the revisions that keys must have, `ABSENT` for a key
    that must not exist.
    """

    expected: tuple[tuple[StoreKey, Revision], ...] = ()
    writes: tuple[KvWrite, ...] = ()
    deletes: tuple[StoreKey, ...] = ()


@dataclass(frozen=True, slots=True)
class KvCommitted:
    """The transaction was applied; its writes have this revision."""

    revision: Revision


@dataclass(frozen=True, slots=True)
class KvConflict:
    """An expected revision did not match; `items` holds the actual items."""

    items: tuple[KvItem, ...]


class KeyValuePort(Protocol):
    """The calls that the system makes to the service."""

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
        """Read a page of the items of a prefix that follow the key `after`."""

    async def watch_prefix(
        self,
        prefix: str,
        after: Revision,
        wait_ms: int,
    ) -> Result[KvChanges, KvFailure]:
        """Wait up to `wait_ms` for changes of a prefix later than `after`."""

    async def commit(
        self,
        transaction: KvTransaction,
        timeout_ms: int,
    ) -> Result[KvCommitted | KvConflict, KvFailure]:
        """Apply a transaction if all expected revisions match."""

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
        """Reset the remaining time of a lease to its time to live."""

    async def end_lease(
        self,
        lease: StoreLeaseId,
        timeout_ms: int,
    ) -> Result[StoreLeaseId, KvFailure]:
        """End a lease and delete its keys."""
