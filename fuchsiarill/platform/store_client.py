"""`KeyValuePort` implemented by calls to the platform's key-value store.

Values are base64 text on the wire. A 503 or 429 proves that a call had no
effect; a call without an answer may have taken effect, or may still do so.
"""

import base64
import json
from collections.abc import Callable
from typing import Any, Final, TypeVar
from urllib.parse import urlencode

from returns.result import Failure, Result, Success

from fuchsiarill import events
from fuchsiarill.ids import ABSENT, Revision, StoreKey, StoreLeaseId
from fuchsiarill.platform.answers import PlatformAnswer, parse_body, read_answer
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
        self._base = f'http://{address}'
        self._client = client

    async def get(
        self,
        key: StoreKey,
        timeout_ms: int,
    ) -> Result[KvItem, KvFailure]:
        """Read a key; an absent one has no value and revision `ABSENT`."""
        query = urlencode({'key': key})
        answer = await self._call('GET', f'/kv-key?{query}', None, timeout_ms)
        if answer.status == _NOT_FOUND:
            return Success(KvItem(key, None, ABSENT))
        return _parse_answer(answer, _item)

    async def list_prefix(
        self,
        prefix: str,
        after: StoreKey | None,
        timeout_ms: int,
    ) -> Result[KvPage, KvFailure]:
        """Read the items of a prefix that follow the key `after`."""
        query = {'prefix': prefix}
        if after is not None:
            query['after'] = after
        path = f'/kv-range?{urlencode(query)}'
        answer = await self._call('GET', path, None, timeout_ms)
        return _parse_answer(answer, _page)

    async def watch_prefix(
        self,
        prefix: str,
        after: Revision,
        wait_ms: int,
    ) -> Result[KvChanges, KvFailure]:
        """Wait for changes of a prefix, for at most `wait_ms`."""
        query = urlencode(
            {'prefix': prefix, 'after': after, 'wait_ms': wait_ms},
        )
        call = HttpCall('GET', f'{self._base}/kv-watch?{query}')
        answered = await self._client.call_long_poll(
            call,
            wait_ms + _WATCH_MARGIN_MS,
        )
        answer = read_answer(answered)
        if answer.status == _GONE:
            return Failure(KvFailure.COMPACTED)
        return _parse_answer(answer, _changes)

    async def commit(
        self,
        transaction: KvTransaction,
        timeout_ms: int,
    ) -> Result[KvCommitted | KvConflict, KvFailure]:
        """Apply a transaction; an unmet condition yields a `KvConflict`."""
        body = {
            'expected': [
                {'key': key, 'revision': revision}
                for key, revision in transaction.expected
            ],
            'writes': [_write(write) for write in transaction.writes],
            'deletes': list(transaction.deletes),
        }
        answer = await self._call('POST', '/kv-txn', body, timeout_ms)
        if answer.status == _NOT_FOUND:
            return Failure(KvFailure.LEASE_GONE)
        if answer.status == _CONDITION_UNMET:
            return _parsed_or_unknown(parse_body(answer, _conflict, _SOURCE))
        return _parse_answer(answer, _committed)

    async def grant_lease(
        self,
        ttl_ms: int,
        timeout_ms: int,
    ) -> Result[StoreLeaseId, KvFailure]:
        """Create a lease that expires `ttl_ms` after its last renewal."""
        body = {'ttl_ms': ttl_ms}
        answer = await self._call('POST', '/kv-lease', body, timeout_ms)
        return _parse_answer(answer, _lease)

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
        answer = await self._call(method, f'{path}/{lease}', None, timeout_ms)
        if answer.status == _NOT_FOUND:
            return Failure(KvFailure.LEASE_GONE)
        if answer.status not in _LEASE_OK_STATUSES:
            return Failure(_failure(answer))
        return Success(lease)

    async def _call(
        self,
        method: str,
        path: str,
        body: dict[str, Any] | None,
        timeout_ms: int,
    ) -> PlatformAnswer:
        content = None if body is None else json.dumps(body).encode()
        call = HttpCall(method, self._base + path, content)
        return read_answer(await self._client.call(call, timeout_ms))


def _failure(answer: PlatformAnswer) -> KvFailure:
    if answer.status in _NO_EFFECT_STATUSES or answer.is_unsent:
        return KvFailure.REFUSED
    if answer.status is not None:
        events.emit(events.STORE_ANSWER_UNEXPECTED, status=answer.status)
    return KvFailure.UNKNOWN


def _parse_answer(
    answer: PlatformAnswer,
    parse: Callable[[dict[str, Any]], _Parsed],
) -> Result[_Parsed, KvFailure]:
    if answer.status != _OK:
        return Failure(_failure(answer))
    return _parsed_or_unknown(parse_body(answer, parse, _SOURCE))


def _parsed_or_unknown(parsed: _Parsed | None) -> Result[_Parsed, KvFailure]:
    """Return the parsed answer; `UNKNOWN` for an unreadable one."""
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


def _write(write: KvWrite) -> dict[str, Any]:
    return {
        'key': write.key,
        'value': base64.b64encode(write.value).decode(),
        'lease': 0 if write.lease is None else int(write.lease),
    }
