"""Tracks whether the store responded to the last call."""

from collections.abc import Callable
from typing import TypeVar

from returns.result import Failure, Result

from fuchsiarill.ids import Revision, StoreKey, StoreLeaseId
from fuchsiarill.ports.store import (
    StoreFailure,
    StorePort,
    Swap,
    SwapOutcome,
    SwapResult,
    Versioned,
)

_Content = TypeVar('_Content')

_REACHABLE_OUTCOMES = frozenset((SwapOutcome.SWAPPED, SwapOutcome.CONFLICT))


class HealthTrackingStore:
    """`StorePort` that reports when the store goes down or is reachable again.

    `changed` is called on each change; its argument is `True` if the store is
    down.
    """

    def __init__(self, store: StorePort) -> None:
        """Assume that the store is reachable until a call fails."""
        self.changed: Callable[[bool], object] | None = None
        self._store = store
        self._is_down = False

    async def get(self, key: StoreKey) -> Result[Versioned, StoreFailure]:
        """Read a key."""
        return self._track(await self._store.get(key))

    async def swap(self, swap: Swap) -> SwapResult:
        """Write a key if it still has the expected revision."""
        swap_result = await self._store.swap(swap)
        self._update(is_down=swap_result.outcome not in _REACHABLE_OUTCOMES)
        return swap_result

    async def grant_lease(
        self,
        ttl_ms: int,
    ) -> Result[StoreLeaseId, StoreFailure]:
        """Create a lease."""
        return self._track(await self._store.grant_lease(ttl_ms))

    async def renew_lease(
        self,
        lease_id: StoreLeaseId,
    ) -> Result[StoreLeaseId, StoreFailure]:
        """Extend a lease."""
        return self._track(await self._store.renew_lease(lease_id))

    async def revoke_lease(
        self,
        lease_id: StoreLeaseId,
    ) -> Result[StoreLeaseId, StoreFailure]:
        """End a lease."""
        return self._track(await self._store.revoke_lease(lease_id))

    async def watch(
        self,
        key: StoreKey,
        after: Revision,
        wait_ms: int,
    ) -> Result[Versioned, StoreFailure]:
        """Wait for a change of a key."""
        return self._track(await self._store.watch(key, after, wait_ms))

    def _track(
        self,
        call_result: Result[_Content, StoreFailure],
    ) -> Result[_Content, StoreFailure]:
        is_down = isinstance(call_result, Failure) and (
            call_result.failure() is not StoreFailure.LEASE_UNKNOWN
        )
        self._update(is_down=is_down)
        return call_result

    def _update(self, *, is_down: bool) -> None:
        if is_down == self._is_down:
            return
        self._is_down = is_down
        if self.changed is not None:
            self.changed(is_down)
