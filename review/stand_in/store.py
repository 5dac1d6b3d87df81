"""The platform's store, by the protocol pages: keys, watches and leases."""

import asyncio
import itertools
import time
from collections import Counter
from contextlib import suppress
from dataclasses import dataclass
from typing import Any

from stand_in.http import OK, Answer, HttpServer, Request

_ANSWER_S = 0.004
_MS_PER_SECOND = 1000
_EXPIRY_CHECK_S = 0.02
_PAGE_MAX_COUNT = 500
_WRITES_PER_S = 400
_READS_PER_S = 2000
_NOT_FOUND = 404
_CONDITION_UNMET = 412
_TOO_MANY = 429
_UNAVAILABLE = 503
_FIRST_LEASE = 100
_NO_LEASE = 0


@dataclass
class _Lease:
    ttl_ms: int
    deadline_s: float


class Store:
    """One store for all machines."""

    def __init__(self, host: str, port: int) -> None:
        """Create an empty store; `open` serves it."""
        self.server = HttpServer(host, port, self._answer)
        self._items: dict[str, dict[str, Any]] = {}
        self._history: list[dict[str, Any]] = []
        self._leases: dict[int, _Lease] = {}
        self._lease_ids = itertools.count(_FIRST_LEASE)
        self._revision = 1
        self._changed = asyncio.Event()
        self._calls: Counter[tuple[str, int]] = Counter()
        self._tasks: list[asyncio.Task[None]] = []
        self._is_down = False

    async def open(self) -> None:
        """Serve the store."""
        await self.server.open()
        self._tasks.append(asyncio.create_task(self._expire_leases()))

    def close(self) -> None:
        """Close the port."""
        self.server.close()
        for task in self._tasks:
            task.cancel()

    async def go_down(self, duration_s: float) -> None:
        """Answer 503 to every call for a time; leases pause meanwhile."""
        self._is_down = True
        self._notify()
        await asyncio.sleep(duration_s)
        for lease in self._leases.values():
            lease.deadline_s += duration_s
        self._is_down = False

    def put(self, key: str, value: str, lease: int = _NO_LEASE) -> None:
        """Write one key, as the operator and the workers do."""
        self._revision += 1
        self._write(key, value, lease)
        self._notify()

    def delete(self, key: str) -> None:
        """Delete one key, as the platform does."""
        self._revision += 1
        self._remove(key)
        self._notify()

    def value(self, key: str) -> str | None:
        """Return the value of a key as base64 text."""
        item = self._items.get(key)
        return None if item is None else str(item['value'])

    def _write(self, key: str, value: str, lease: int) -> None:
        previous = self._items.get(key)
        self._items[key] = {
            'key': key,
            'value': value,
            'revision': self._revision,
            'created': previous['created'] if previous else self._revision,
            'lease': lease,
        }
        self._history.append(self._items[key])

    def _remove(self, key: str) -> None:
        if self._items.pop(key, None) is not None:
            self._history.append(
                {'key': key, 'revision': self._revision, 'compacted': False}
            )

    def _notify(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    async def _expire_leases(self) -> None:
        while True:
            await asyncio.sleep(_EXPIRY_CHECK_S)
            if self._is_down:
                continue
            now = time.monotonic()
            for lease, state in list(self._leases.items()):
                if state.deadline_s <= now:
                    self._end_lease(lease)

    def _end_lease(self, lease: int) -> bool:
        if self._leases.pop(lease, None) is None:
            return False
        self._revision += 1
        for key, item in list(self._items.items()):
            if item['lease'] == lease:
                self._remove(key)
        self._notify()
        return True

    def _exceeds(self, kind: str, limit: int) -> bool:
        """Count a call of the present second."""
        second = int(time.monotonic())
        self._calls[kind, second] += 1
        return self._calls[kind, second] > limit

    async def _answer(self, request: Request) -> Answer:
        await asyncio.sleep(_ANSWER_S)
        if self._is_down:
            return Answer(_UNAVAILABLE)
        kind = request.path.split('/')[1]
        if kind == 'kv-keep':
            return self._renew(int(request.path.rpartition('/')[2]))
        if request.method == 'GET':
            if self._exceeds('read', _READS_PER_S):
                return Answer(_TOO_MANY)
            return await self._read(kind, request.query)
        if self._exceeds('write', _WRITES_PER_S):
            return Answer(_TOO_MANY)
        return self._change(kind, request)

    def _change(self, kind: str, request: Request) -> Answer:
        if kind == 'kv-txn':
            return self._commit(request.document)
        if kind == 'kv-lease':
            return self._grant(int(request.document['ttl_ms']))
        is_ended = self._end_lease(int(request.path.rpartition('/')[2]))
        return Answer(OK if is_ended else _NOT_FOUND)

    async def _read(self, kind: str, query: dict[str, str]) -> Answer:
        if kind == 'kv-key':
            item = self._items.get(query['key'])
            if item is None:
                return Answer(_NOT_FOUND, {'at_rev': self._revision})
            return Answer(OK, {**item, 'at_rev': self._revision})
        if kind == 'kv-range':
            return self._page(query['prefix'], query.get('after', ''))
        return await self._watch(query)

    def _page(self, prefix: str, after: str) -> Answer:
        keys = sorted(
            key for key in self._items if key.startswith(prefix) and key > after
        )
        page = [self._items[key] for key in keys[:_PAGE_MAX_COUNT]]
        return Answer(
            OK,
            {
                'items': page,
                'has_more': len(keys) > len(page),
                'at_rev': self._revision,
            },
        )

    async def _watch(self, query: dict[str, str]) -> Answer:
        after, prefix = int(query['after']), query['prefix']
        deadline_s = time.monotonic() + int(query['wait_ms']) / _MS_PER_SECOND
        while True:
            changed = self._changed
            rows = list(self._changes_after(after, prefix))
            left_s = deadline_s - time.monotonic()
            if self._is_down:
                return Answer(_UNAVAILABLE)
            if rows or left_s <= 0:
                return Answer(OK, {'events': rows, 'at_rev': self._revision})
            with suppress(TimeoutError):
                await asyncio.wait_for(changed.wait(), left_s)

    def _changes_after(self, after: int, prefix: str) -> list[dict[str, Any]]:
        rows: list[dict[str, Any]] = []
        for item in reversed(self._history):
            if item['revision'] <= after:
                break
            if item['key'].startswith(prefix):
                rows.append(item)
        rows.reverse()
        return rows

    def _commit(self, document: dict[str, Any]) -> Answer:
        expected = document['expected']
        current = [self._items.get(row['key']) for row in expected]
        for item, row in zip(current, expected, strict=True):
            revision = item['revision'] if item else 0
            if revision != row['revision']:
                found = [item for item in current if item]
                return Answer(_CONDITION_UNMET, {'items': found})
        for write in document['writes']:
            lease = write.get('lease', _NO_LEASE)
            if lease and lease not in self._leases:
                return Answer(_NOT_FOUND)
        self._revision += 1
        for write in document['writes']:
            self._write(write['key'], write['value'], write['lease'])
        for key in document['deletes']:
            self._remove(key)
        self._notify()
        return Answer(OK, {'revision': self._revision})

    def _grant(self, ttl_ms: int) -> Answer:
        lease = next(self._lease_ids)
        deadline_s = time.monotonic() + ttl_ms / _MS_PER_SECOND
        self._leases[lease] = _Lease(ttl_ms, deadline_s)
        return Answer(OK, {'lease': lease, 'ttl_ms': ttl_ms})

    def _renew(self, lease: int) -> Answer:
        state = self._leases.get(lease)
        if state is None:
            return Answer(_NOT_FOUND)
        state.deadline_s = time.monotonic() + state.ttl_ms / _MS_PER_SECOND
        return Answer(OK, {'ttl_ms': state.ttl_ms})
