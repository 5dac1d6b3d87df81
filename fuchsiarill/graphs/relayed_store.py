"""A store that is called through a peer when it can't be reached directly.

The store may refuse or be unreachable for single processes while it serves
others. All calls made here are safe to repeat: transactions carry conditions
or write the same value again.
"""

from collections.abc import Awaitable, Callable
from functools import partial
from typing import Any, Final, TypeVar

from returns.result import Failure, Result, Success

from fuchsiarill import events
from fuchsiarill.clock import now_ms
from fuchsiarill.graphs import store_encoding as encoding
from fuchsiarill.graphs.peer_links import PeerLinks
from fuchsiarill.ids import Revision, StoreKey, StoreLeaseId
from fuchsiarill.ports.key_value import (
    KeyValuePort,
    KvChanges,
    KvCommitted,
    KvConflict,
    KvFailure,
    KvItem,
    KvPage,
    KvTransaction,
)

_Answer = TypeVar('_Answer')
_Read = Callable[[Any], _Answer]

# The store answers within 300 ms even when it is 60 times slower than usual.
_DIRECT_TIMEOUT_MS: Final = 450
# A relayed watch is short, so that the direct path is soon retried.
_WATCH_MS: Final = 300
_WATCH_MARGIN_MS: Final = 450
# The direct path is retried after this time.
_SUSPENSION_MS: Final = 1000
_UNREACHABLE: Final = frozenset((KvFailure.REFUSED, KvFailure.UNKNOWN))


class RelayedStore:
    """Calls the store directly, or through a peer while that fails."""

    def __init__(self, store: KeyValuePort, links: PeerLinks) -> None:
        """Call `store`; relay through `links` while it fails."""
        self._store = store
        self._links = links
        self._suspended_until_ms = 0

    async def get(
        self,
        key: StoreKey,
        timeout_ms: int,
    ) -> Result[KvItem, KvFailure]:
        """Read a key."""
        return await self._call_with_limit(
            partial(self._store.get, key),
            timeout_ms,
            encoding.get_fields(key, timeout_ms),
            encoding.read_item,
        )

    async def list_prefix(
        self,
        prefix: str,
        after: StoreKey | None,
        timeout_ms: int,
    ) -> Result[KvPage, KvFailure]:
        """Read the items of a prefix that follow the key `after`."""
        return await self._call(
            lambda: self._store.list_prefix(prefix, after, timeout_ms),
            encoding.list_fields(prefix, after, timeout_ms),
            encoding.read_page,
        )

    async def watch_prefix(
        self,
        prefix: str,
        after: Revision,
        wait_ms: int,
    ) -> Result[KvChanges, KvFailure]:
        """Wait for changes of a prefix, for at most `wait_ms`."""
        return await self._call(
            lambda: self._store.watch_prefix(prefix, after, wait_ms),
            encoding.watch_fields(prefix, after, min(wait_ms, _WATCH_MS)),
            encoding.read_changes,
        )

    async def commit(
        self,
        transaction: KvTransaction,
        timeout_ms: int,
    ) -> Result[KvCommitted | KvConflict, KvFailure]:
        """Execute a transaction."""
        return await self._call_with_limit(
            partial(self._store.commit, transaction),
            timeout_ms,
            encoding.commit_fields(transaction, timeout_ms),
            encoding.read_commit,
        )

    async def grant_lease(
        self,
        ttl_ms: int,
        timeout_ms: int,
    ) -> Result[StoreLeaseId, KvFailure]:
        """Create a lease."""
        return await self._call_with_limit(
            partial(self._store.grant_lease, ttl_ms),
            timeout_ms,
            encoding.grant_fields(ttl_ms, timeout_ms),
            encoding.read_lease,
        )

    async def renew_lease(
        self,
        lease: StoreLeaseId,
        timeout_ms: int,
    ) -> Result[StoreLeaseId, KvFailure]:
        """Extend a lease by its time to live."""
        return await self._call_with_limit(
            partial(self._store.renew_lease, lease),
            timeout_ms,
            encoding.lease_fields('renew', lease, timeout_ms),
            encoding.read_lease,
        )

    async def end_lease(
        self,
        lease: StoreLeaseId,
        timeout_ms: int,
    ) -> Result[StoreLeaseId, KvFailure]:
        """End a lease and delete its keys."""
        return await self._call_with_limit(
            partial(self._store.end_lease, lease),
            timeout_ms,
            encoding.lease_fields('end', lease, timeout_ms),
            encoding.read_lease,
        )

    async def _call_with_limit(
        self,
        direct: Callable[[int], Awaitable[Result[_Answer, KvFailure]]],
        timeout_ms: int,
        fields: dict[str, Any],
        read: _Read[_Answer],
    ) -> Result[_Answer, KvFailure]:
        """Shorten the direct call, so that time is left for a relayed call."""
        direct_ms = min(timeout_ms, _DIRECT_TIMEOUT_MS)
        return await self._call(partial(direct, direct_ms), fields, read)

    async def _call(
        self,
        direct: Callable[[], Awaitable[Result[_Answer, KvFailure]]],
        fields: dict[str, Any],
        read: _Read[_Answer],
    ) -> Result[_Answer, KvFailure]:
        failure = KvFailure.REFUSED
        if self._suspended_until_ms <= now_ms():
            answer = await direct()
            if isinstance(answer, Success):
                return answer
            failure = answer.failure()
            if failure not in _UNREACHABLE:
                return answer
        relayed = await self._relay(fields, read)
        if relayed is None:
            return Failure(failure)
        if relayed == Failure(KvFailure.REFUSED):
            # The direct call may still take effect: keep its own failure.
            return Failure(failure)
        if relayed != Failure(KvFailure.UNKNOWN):
            self._suspend_direct(failure)
        return relayed

    async def _relay(
        self,
        fields: dict[str, Any],
        read: _Read[_Answer],
    ) -> Result[_Answer, KvFailure] | None:
        process = self._links.next_process()
        if process is None:
            return None
        timeout_ms = fields.get('timeoutMs') or (
            fields['waitMs'] + _WATCH_MARGIN_MS
        )
        answered = await self._links.call(
            process,
            'callStore',
            {'call': fields},
            timeout_ms,
        )
        if isinstance(answered, Failure):
            return Failure(KvFailure.UNKNOWN)
        answer = answered.unwrap().answer
        if answer.failure:
            failure = KvFailure(answer.failure)
            if failure in _UNREACHABLE:
                self._links.suspend(process)
            return Failure(failure)
        return Success(read(answer))

    def _suspend_direct(self, failure: KvFailure) -> None:
        now = now_ms()
        if now > self._suspended_until_ms + _SUSPENSION_MS:
            events.emit(events.STORE_RELAYED, failure=failure.value)
        if now > self._suspended_until_ms:
            self._suspended_until_ms = now + _SUSPENSION_MS
