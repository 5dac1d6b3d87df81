"""A store that is called through a peer when it can't be reached directly.

A peer is another process of the scheduler, which relays the call. The store
may refuse calls of single processes, or be unreachable for them, while it
serves others. All calls made here are safe to repeat: transactions carry
conditions or write the same value again.
"""

from collections.abc import Awaitable, Callable
from functools import partial
from typing import Any, Final, TypeVar

from returns.result import Failure, Result, Success

from fuchsiarill import events, graph_events
from fuchsiarill.clock import now_ms
from fuchsiarill.graphs import store_encoding as encoding
from fuchsiarill.graphs.peer_links import PeerLinks
from fuchsiarill.graphs.store_relay import UNREACHABLE_FAILURES, StoreRelay
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
_AnswerDecoder = Callable[[Any], _Answer]

# Limit of a direct call that is neither a list nor a watch, so that a relayed
# call starts soon. The store answers within 300 ms even when it is 60 times
# slower than usual.
_DIRECT_TIMEOUT_MAX_MS: Final = 450
# A relayed watch is short, so that the direct path is soon retried.
_RELAYED_WATCH_MAX_MS: Final = 300
# After the store has answered only through a peer, the direct path is not used
# for this time.
_DIRECT_SUSPENSION_MS: Final = 1000


class RelayedStore:
    """Calls the store directly, or through a peer while that fails."""

    def __init__(self, store: KeyValuePort, links: PeerLinks) -> None:
        """Call `store`; relay through `links` while direct calls fail."""
        self._store = store
        self._relay = StoreRelay(links)
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
            encoding.encode_get(key, timeout_ms),
            encoding.decode_item,
        )

    async def list_prefix(
        self,
        prefix: str,
        after: StoreKey | None,
        timeout_ms: int,
    ) -> Result[KvPage, KvFailure]:
        """Read a page of the items of a prefix that follow the key `after`."""
        return await self._call(
            lambda: self._store.list_prefix(prefix, after, timeout_ms),
            encoding.encode_list(prefix, after, timeout_ms),
            encoding.decode_page,
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
            encoding.encode_watch(
                prefix, after, min(wait_ms, _RELAYED_WATCH_MAX_MS)
            ),
            encoding.decode_changes,
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
            encoding.encode_commit(transaction, timeout_ms),
            encoding.decode_commit,
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
            encoding.encode_grant(ttl_ms, timeout_ms),
            encoding.decode_lease,
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
            encoding.encode_lease_call('renew', lease, timeout_ms),
            encoding.decode_lease,
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
            encoding.encode_lease_call('end', lease, timeout_ms),
            encoding.decode_lease,
        )

    async def _call_with_limit(
        self,
        call_direct: Callable[[int], Awaitable[Result[_Answer, KvFailure]]],
        timeout_ms: int,
        call_fields: dict[str, Any],
        decode_answer: _AnswerDecoder[_Answer],
    ) -> Result[_Answer, KvFailure]:
        """Limit the direct call, so that a relayed call starts soon.

        The relayed call may take `timeout_ms` in addition.
        """
        direct_timeout_ms = min(timeout_ms, _DIRECT_TIMEOUT_MAX_MS)
        return await self._call(
            partial(call_direct, direct_timeout_ms), call_fields, decode_answer
        )

    async def _call(
        self,
        call_direct: Callable[[], Awaitable[Result[_Answer, KvFailure]]],
        call_fields: dict[str, Any],
        decode_answer: _AnswerDecoder[_Answer],
    ) -> Result[_Answer, KvFailure]:
        failure = KvFailure.REFUSED
        if self._suspended_until_ms <= now_ms():
            call_result = await call_direct()
            if isinstance(call_result, Success):
                return call_result
            failure = call_result.failure()
            if failure not in UNREACHABLE_FAILURES:
                return call_result
        answer_result = await self._relay.call(call_fields)
        if answer_result is None:
            return Failure(failure)
        relayed_result: Result[_Answer, KvFailure] = answer_result.map(
            decode_answer
        )
        if relayed_result == Failure(KvFailure.REFUSED):
            # The direct call may still take effect, so its failure is returned.
            return Failure(failure)
        if relayed_result != Failure(KvFailure.UNKNOWN):
            self._suspend_direct(failure)
        return relayed_result

    def _suspend_direct(self, failure: KvFailure) -> None:
        now = now_ms()
        if now > self._suspended_until_ms + _DIRECT_SUSPENSION_MS:
            events.emit(graph_events.STORE_RELAYED, failure=failure.value)
        if now > self._suspended_until_ms:
            self._suspended_until_ms = now + _DIRECT_SUSPENSION_MS
