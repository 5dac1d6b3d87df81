"""`KeyValuePort` implemented by calls to the platform's key-value store.

Values are base64 text on the wire. A 503 or 429 proves that a call had no
effect; a call without a response may have taken effect, or may still do so.
"""

import base64
import json
from collections.abc import Callable
from typing import Any, Final, TypeVar
from urllib.parse import urlencode

from returns.result import Failure, Result, Success

from fuchsiarill import events, graph_events
from fuchsiarill.ids import ABSENT, Revision, StoreKey, StoreLeaseId
from fuchsiarill.platform.answers import (
    PlatformResponse,
    decode_response,
    parse_body,
)
from fuchsiarill.ports.http_client import HttpCall, HttpClient
from fuchsiarill.ports.key_value import (
    KvChanges,
    KvCommitted,
    KvConflict,
    KvFailure,
    KvItem,
    KvPage,
    KvTransaction,
    KvWrite,
)

_OK: Final = 200
_LEASE_OK_STATUSES: Final = frozenset((200, 202, 204))
_NOT_FOUND: Final = 404
_GONE: Final = 410
_CONDITION_UNMET: Final = 412
_NO_EFFECT_STATUSES: Final = frozenset((429, 503))
# Allowance beyond the requested wait for network delay and a busy store.
_WATCH_MARGIN_MS: Final = 600
_SOURCE: Final = 'the store'
_Parsed = TypeVar('_Parsed')


class PlatformStore:
    """HTTP client of the platform's store."""

    def __init__(self, address: str, client: HttpClient) -> None:
        """Use the store at `address`, a host with a port."""
        self._base_url = f'http://{address}'
        self._client = client

    async def get(
        self,
        key: StoreKey,
        timeout_ms: int,
    ) -> Result[KvItem, KvFailure]:
        """Read a key; an absent key has no value and revision `ABSENT`."""
        query = urlencode({'key': key})
        response = await self._call('GET', f'/kv-key?{query}', None, timeout_ms)
        if response.status == _NOT_FOUND:
            return Success(KvItem(key, None, ABSENT))
        return _parse_response(response, _item)

    async def list_prefix(
        self,
        prefix: str,
        after: StoreKey | None,
        timeout_ms: int,
    ) -> Result[KvPage, KvFailure]:
        """Read a page of the items of a prefix that follow the key `after`."""
        query = {'prefix': prefix}
        if after is not None:
            query['after'] = after
        path = f'/kv-range?{urlencode(query)}'
        response = await self._call('GET', path, None, timeout_ms)
        return _parse_response(response, _page)

    async def watch_prefix(
        self,
        prefix: str,
        after: Revision,
        wait_ms: int,
    ) -> Result[KvChanges, KvFailure]:
        """Wait up to `wait_ms` for changes of a prefix after a revision."""
        query = urlencode(
            {'prefix': prefix, 'after': after, 'wait_ms': wait_ms},
        )
        call = HttpCall('GET', f'{self._base_url}/kv-watch?{query}')
        call_result = await self._client.call_long_poll(
            call,
            wait_ms + _WATCH_MARGIN_MS,
        )
        response = decode_response(call_result)
        if response.status == _GONE:
            return Failure(KvFailure.COMPACTED)
        return _parse_response(response, _changes)

    async def commit(
        self,
        transaction: KvTransaction,
        timeout_ms: int,
    ) -> Result[KvCommitted | KvConflict, KvFailure]:
        """Apply a transaction; an unmet condition yields a `KvConflict`.

        Fails with `LEASE_GONE` if a write names a lease that does not exist.
        """
        body = {
            'expected': [
                {'key': key, 'revision': revision}
                for key, revision in transaction.expected
            ],
            'writes': [_encode_write(write) for write in transaction.writes],
            'deletes': list(transaction.deletes),
        }
        response = await self._call('POST', '/kv-txn', body, timeout_ms)
        if response.status == _NOT_FOUND:
            return Failure(KvFailure.LEASE_GONE)
        if response.status == _CONDITION_UNMET:
            return _success_or_unknown(parse_body(response, _conflict, _SOURCE))
        return _parse_response(response, _committed)

    async def grant_lease(
        self,
        ttl_ms: int,
        timeout_ms: int,
    ) -> Result[StoreLeaseId, KvFailure]:
        """Create a lease that expires `ttl_ms` after its last renewal."""
        body = {'ttl_ms': ttl_ms}
        response = await self._call('POST', '/kv-lease', body, timeout_ms)
        return _parse_response(response, _lease)

    async def renew_lease(
        self,
        lease: StoreLeaseId,
        timeout_ms: int,
    ) -> Result[StoreLeaseId, KvFailure]:
        """Extend a lease by its time to live."""
        return await self._call_lease('POST', '/kv-keep', lease, timeout_ms)

    async def end_lease(
        self,
        lease: StoreLeaseId,
        timeout_ms: int,
    ) -> Result[StoreLeaseId, KvFailure]:
        """End a lease and delete its keys."""
        return await self._call_lease(
            'DELETE',
            '/kv-lease-end',
            lease,
            timeout_ms,
        )

    async def _call_lease(
        self,
        method: str,
        path: str,
        lease: StoreLeaseId,
        timeout_ms: int,
    ) -> Result[StoreLeaseId, KvFailure]:
        response = await self._call(method, f'{path}/{lease}', None, timeout_ms)
        if response.status == _NOT_FOUND:
            return Failure(KvFailure.LEASE_GONE)
        if response.status not in _LEASE_OK_STATUSES:
            return Failure(_failure(response))
        return Success(lease)

    async def _call(
        self,
        method: str,
        path: str,
        body: dict[str, Any] | None,
        timeout_ms: int,
    ) -> PlatformResponse:
        content = None if body is None else json.dumps(body).encode()
        call = HttpCall(method, self._base_url + path, content)
        return decode_response(await self._client.call(call, timeout_ms))


def _failure(response: PlatformResponse) -> KvFailure:
    if response.status in _NO_EFFECT_STATUSES or response.is_unsent:
        return KvFailure.REFUSED
    if response.status is not None:
        events.emit(
            graph_events.STORE_ANSWER_UNEXPECTED, status=response.status
        )
    return KvFailure.UNKNOWN


def _parse_response(
    response: PlatformResponse,
    parse_object: Callable[[dict[str, Any]], _Parsed],
) -> Result[_Parsed, KvFailure]:
    if response.status != _OK:
        return Failure(_failure(response))
    return _success_or_unknown(parse_body(response, parse_object, _SOURCE))


def _success_or_unknown(parsed: _Parsed | None) -> Result[_Parsed, KvFailure]:
    """Return the parsed response; `UNKNOWN` for an unreadable response."""
    return Failure(KvFailure.UNKNOWN) if parsed is None else Success(parsed)


def _page(body: dict[str, Any]) -> KvPage:
    return KvPage(
        tuple(_item(row) for row in body['items']),
        bool(body['has_more']),
        Revision(int(body['at_rev'])),
    )


def _changes(body: dict[str, Any]) -> KvChanges:
    return KvChanges(
        tuple(_item(row) for row in body['events']),
        Revision(int(body['at_rev'])),
    )


def _conflict(body: dict[str, Any]) -> KvConflict:
    return KvConflict(tuple(_item(row) for row in body['items']))


def _committed(body: dict[str, Any]) -> KvCommitted:
    return KvCommitted(Revision(int(body['revision'])))


def _lease(body: dict[str, Any]) -> StoreLeaseId:
    return StoreLeaseId(str(body['lease']))


def _item(row: dict[str, Any]) -> KvItem:
    content = row.get('value')
    return KvItem(
        StoreKey(row['key']),
        None if content is None else base64.b64decode(content),
        Revision(row.get('revision', ABSENT)),
        Revision(row.get('created', ABSENT)),
    )


def _encode_write(write: KvWrite) -> dict[str, Any]:
    return {
        'key': write.key,
        'value': base64.b64encode(write.value).decode(),
        'lease': 0 if write.lease is None else int(write.lease),
    }
