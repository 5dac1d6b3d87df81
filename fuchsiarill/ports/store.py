"""Interface to the platform's key-value service.

Every call, including a pending watch, counts against the rate limits of the
service. After `SwapOutcome.UNKNOWN`, for example on a time-out, a swap may have
taken effect: the caller reads the key and looks for its own unique token.
`NOT_SENT` proves that a call had no effect, so that it can be repeated.
"""

from dataclasses import dataclass
from enum import Enum
from typing import Protocol

from returns.result import Result

from fuchsiarill.ids import ABSENT, Revision, StoreKey, StoreLeaseId


class StoreFailure(Enum):
    """Why a read, a watch, a lease call or a read of the host list failed.

    After `NOT_SENT` nothing reached the service; after `UNREACHABLE` a lease
    call may have taken effect. After `LEASE_UNKNOWN` the service no longer
    holds the lease.
    """

    NOT_SENT = 'not_sent'
    UNREACHABLE = 'unreachable'
    LEASE_UNKNOWN = 'lease_unknown'


class SwapOutcome(Enum):
    """Outcome of a compare-and-swap."""

    SWAPPED = 'swapped'
    CONFLICT = 'conflict'
    UNKNOWN = 'unknown'
    NOT_SENT = 'not_sent'


@dataclass(frozen=True, slots=True)
class Versioned:
    """A value with its revision; an absent key has revision `ABSENT`."""

    key: StoreKey
    value: str | None
    revision: Revision


@dataclass(frozen=True, slots=True)
class Swap:
    """A compare-and-swap; `value` of `None` deletes the key.

    `expected` is the revision that the key must have, `ABSENT` for a key
    that must not exist. If `lease_id` is set, the key is deleted when the
    lease lapses.
    """

    key: StoreKey
    value: str | None
    expected: Revision = ABSENT
    lease_id: StoreLeaseId | None = None


@dataclass(frozen=True, slots=True)
class SwapResult:
    """Outcome of a swap; after `SWAPPED`, the new revision of the key."""

    outcome: SwapOutcome
    revision: Revision = ABSENT


class StorePort(Protocol):
    """The calls that the system makes to the service."""

    async def get(self, key: StoreKey) -> Result[Versioned, StoreFailure]:
        """Read a key."""

    async def swap(self, swap: Swap) -> SwapResult:
        """Write a key if it still has the expected revision."""

    async def grant_lease(
        self,
        ttl_ms: int,
    ) -> Result[StoreLeaseId, StoreFailure]:
        """Create a lease that lapses `ttl_ms` after its last renewal."""

    async def renew_lease(
        self,
        lease_id: StoreLeaseId,
    ) -> Result[StoreLeaseId, StoreFailure]:
        """Reset the remaining time of a lease to its time to live."""

    async def revoke_lease(
        self,
        lease_id: StoreLeaseId,
    ) -> Result[StoreLeaseId, StoreFailure]:
        """End a lease and delete its keys."""

    async def watch(
        self,
        key: StoreKey,
        after: Revision,
        wait_ms: int,
    ) -> Result[Versioned, StoreFailure]:
        """Wait until the revision of a key differs from `after`.

        Returns the unchanged value when `wait_ms` has passed.
        """
