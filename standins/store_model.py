"""In-memory model of the platform's store, timed by the runtime clock.

Each process reaches the store through its own path, on which a test can set
a fault.
"""

import itertools
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum
from functools import partial
from typing import TypeVar

from returns.result import Failure, Result, Success

from fuchsiarill.clock import now_ms, sleep_ms
from fuchsiarill.ids import ABSENT, Revision, StoreKey, StoreLeaseId
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

_STORE_DELAY_MS = 10
_POLL_INTERVAL_MS = 5
_PAGE_MAX_COUNT = 500
_Answer = TypeVar('_Answer')


class PathFault(Enum):
    """Fault that affects all store calls of one process."""

    NONE = 'none'
    # The call has no effect, and the caller gets an error.
    REFUSED = 'refused'
    # The call has no effect, and the caller gets no answer.
    SILENT = 'silent'
    # A commit takes effect, but its answer is lost.
    ANSWER_LOST = 'answer_lost'


@dataclass(slots=True)
class _Lease:
    ttl_ms: int
    deadline_ms: int


@dataclass(slots=True)
class StoreModel:
    """The items, their history since the last compaction, and the leases."""

    items: dict[StoreKey, KvItem] = field(default_factory=dict)
    lease_by_key: dict[StoreKey, StoreLeaseId] = field(default_factory=dict)
    history: list[KvItem] = field(default_factory=list)
    leases: dict[StoreLeaseId, _Lease] = field(default_factory=dict)
    revision: Revision = Revision(1)
    compacted_revision: Revision = Revision(0)
    lease_ids: 'itertools.count[int]' = field(
        default_factory=lambda: itertools.count(100),
    )

    def write(self, write: KvWrite) -> None:
        """Write a key unconditionally, as an operator does."""
        self.apply(KvTransaction(writes=(write,)))

    def apply(self, transaction: KvTransaction) -> KvCommitted | KvConflict:
        """Commit a transaction if all expected revisions match."""
        self.expire()
        current = [
            self.items.get(key, KvItem(key, None, ABSENT))
            for key, _ in transaction.expected
        ]
        for item, (_, revision) in zip(
            current,
            transaction.expected,
            strict=True,
        ):
            if item.revision != revision:
                return KvConflict(tuple(current))
        self.revision = Revision(self.revision + 1)
        for write in transaction.writes:
            self._put(write)
        for key in transaction.deletes:
            self.remove(key)
        return KvCommitted(self.revision)

    def remove(self, key: StoreKey) -> None:
        """Delete a key at the current revision, as the end of a lease does."""
        if self.items.pop(key, None) is None:
            return
        self.lease_by_key.pop(key, None)
        self.history.append(KvItem(key, None, self.revision))

    def expire(self) -> None:
        """End the leases whose deadline has passed.

        Without leases no clock is needed, nor a running loop.
        """
        if not self.leases:
            return
        now = now_ms()
        for lease, state in list(self.leases.items()):
            if state.deadline_ms <= now:
                self.end(lease)

    def end(self, lease: StoreLeaseId) -> bool:
        """End a lease and delete its keys; return whether it existed."""
        if self.leases.pop(lease, None) is None:
            return False
        self.revision = Revision(self.revision + 1)
        for key, lease_of_key in list(self.lease_by_key.items()):
            if lease_of_key == lease:
                self.remove(key)
        return True

    def read(self, key: StoreKey) -> Result[KvItem, KvFailure]:
        """Return the item of a key, without a value if it is not set."""
        self.expire()
        return Success(self.items.get(key, KvItem(key, None, ABSENT)))

    def page(
        self,
        prefix: str,
        after: StoreKey | None,
    ) -> Result[KvPage, KvFailure]:
        """Return one page of the items of a prefix that follow `after`."""
        self.expire()
        rows = [
            self.items[key]
            for key in sorted(self.items)
            if key.startswith(prefix) and (after is None or key > after)
        ]
        page = tuple(rows[:_PAGE_MAX_COUNT])
        return Success(KvPage(page, len(rows) > len(page), self.revision))

    def grant(self, ttl_ms: int) -> Result[StoreLeaseId, KvFailure]:
        """Create a lease that ends after `ttl_ms` without renewal."""
        lease = StoreLeaseId(str(next(self.lease_ids)))
        self.leases[lease] = _Lease(ttl_ms, now_ms() + ttl_ms)
        return Success(lease)

    def renew(self, lease: StoreLeaseId) -> Result[StoreLeaseId, KvFailure]:
        """Extend a lease by its time to live."""
        self.expire()
        state = self.leases.get(lease)
        if state is None:
            return Failure(KvFailure.LEASE_GONE)
        state.deadline_ms = now_ms() + state.ttl_ms
        return Success(lease)

    def revoke(self, lease: StoreLeaseId) -> Result[StoreLeaseId, KvFailure]:
        """End a lease at the request of its holder."""
        if self.end(lease):
            return Success(lease)
        return Failure(KvFailure.LEASE_GONE)

    def compact(self) -> None:
        """Drop the history; watches from an older revision then fail."""
        self.compacted_revision = self.revision
        self.history.clear()

    def _put(self, write: KvWrite) -> None:
        previous = self.items.get(write.key)
        created = self.revision if previous is None else previous.created
        item = KvItem(write.key, write.value, self.revision, created)
        self.items[write.key] = item
        self.lease_by_key.pop(write.key, None)
        if write.lease is not None:
            self.lease_by_key[write.key] = write.lease
        self.history.append(item)


class StorePath:
    """The path of one process to the store, with its fault."""

    def __init__(self, model: StoreModel) -> None:
        """Start without faults."""
        self.model = model
        self.fault = PathFault.NONE
        self.calls_count = 0

    async def get(
        self,
        key: StoreKey,
        timeout_ms: int,
    ) -> Result[KvItem, KvFailure]:
        """Read the item of a key."""
        return await self._call(partial(self.model.read, key), timeout_ms)

    async def list_prefix(
        self,
        prefix: str,
        after: StoreKey | None,
        timeout_ms: int,
    ) -> Result[KvPage, KvFailure]:
        """Read the items of a prefix that follow the key `after`."""
        page = partial(self.model.page, prefix, after)
        return await self._call(page, timeout_ms)

    async def watch_prefix(
        self,
        prefix: str,
        after: Revision,
        wait_ms: int,
    ) -> Result[KvChanges, KvFailure]:
        """Return the changes of a prefix after a revision.

        Without a change yet, waits up to `wait_ms` for one.
        """
        failure = await self._transmit(wait_ms)
        if failure is not None:
            return Failure(failure)
        deadline_ms = now_ms() + wait_ms
        while True:
            self.model.expire()
            if after < self.model.compacted_revision:
                return Failure(KvFailure.COMPACTED)
            rows = tuple(
                item
                for item in self.model.history
                if item.revision > after and item.key.startswith(prefix)
            )
            if rows or now_ms() >= deadline_ms:
                return Success(KvChanges(rows, self.model.revision))
            if self.fault is not PathFault.NONE:
                return Failure(KvFailure.UNKNOWN)
            await sleep_ms(_POLL_INTERVAL_MS)

    async def commit(
        self,
        transaction: KvTransaction,
        timeout_ms: int,
    ) -> Result[KvCommitted | KvConflict, KvFailure]:
        """Commit a transaction; a write under an ended lease fails."""
        failure = await self._transmit(timeout_ms)
        if failure is not None:
            return Failure(failure)
        for write in transaction.writes:
            if write.lease is not None and write.lease not in self.model.leases:
                return Failure(KvFailure.LEASE_GONE)
        outcome = self.model.apply(transaction)
        if self.fault is PathFault.ANSWER_LOST:
            await sleep_ms(timeout_ms)
            return Failure(KvFailure.UNKNOWN)
        return Success(outcome)

    async def grant_lease(
        self,
        ttl_ms: int,
        timeout_ms: int,
    ) -> Result[StoreLeaseId, KvFailure]:
        """Create a lease with the given time to live."""
        return await self._call(partial(self.model.grant, ttl_ms), timeout_ms)

    async def renew_lease(
        self,
        lease: StoreLeaseId,
        timeout_ms: int,
    ) -> Result[StoreLeaseId, KvFailure]:
        """Extend a lease by its time to live."""
        return await self._call(partial(self.model.renew, lease), timeout_ms)

    async def end_lease(
        self,
        lease: StoreLeaseId,
        timeout_ms: int,
    ) -> Result[StoreLeaseId, KvFailure]:
        """End a lease and delete its keys."""
        return await self._call(partial(self.model.revoke, lease), timeout_ms)

    async def _call(
        self,
        operation: Callable[[], Result[_Answer, KvFailure]],
        timeout_ms: int,
    ) -> Result[_Answer, KvFailure]:
        failure = await self._transmit(timeout_ms)
        return operation() if failure is None else Failure(failure)

    async def _transmit(self, timeout_ms: int) -> KvFailure | None:
        """Delay a call; return the failure if it does not reach the store."""
        self.calls_count += 1
        if self.fault is PathFault.SILENT:
            await sleep_ms(timeout_ms)
            return KvFailure.UNKNOWN
        await sleep_ms(_STORE_DELAY_MS)
        if self.fault is PathFault.REFUSED:
            return KvFailure.REFUSED
        return None
