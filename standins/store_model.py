"""A model of the platform's store, in memory, by the runtime clock.

Every process has a path of its own to the store, whose faults a test sets.
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

_ANSWER_MS = 10
_POLL_MS = 5
_PAGE_MAX_COUNT = 500
_Answer = TypeVar('_Answer')


class PathFault(Enum):
    """What happens to the calls of one process."""

    NONE = 'none'
    # Nothing is done, and the caller is told so.
    REFUSED = 'refused'
    # Nothing is done, and no answer comes.
    SILENT = 'silent'
    # The call is carried out, and no answer comes.
    ANSWER_LOST = 'answer_lost'


@dataclass(slots=True)
class _Lease:
    ttl_ms: int
    deadline_ms: int


@dataclass(slots=True)
class StoreModel:
    """Items, their history and leases."""

    found: dict[StoreKey, KvItem] = field(default_factory=dict)
    held: dict[StoreKey, StoreLeaseId] = field(default_factory=dict)
    history: list[KvItem] = field(default_factory=list)
    leases: dict[StoreLeaseId, _Lease] = field(default_factory=dict)
    revision: Revision = Revision(1)
    compacted_revision: Revision = Revision(0)
    lease_ids: 'itertools.count[int]' = field(
        default_factory=lambda: itertools.count(100),
    )

    def write(self, write: KvWrite) -> None:
        """Write a key without a condition, as an operator does."""
        self.apply(KvTransaction(writes=(write,)))

    def apply(self, transaction: KvTransaction) -> KvCommitted | KvConflict:
        """Carry out a transaction."""
        self.expire()
        current = [
            self.found.get(key, KvItem(key, None, ABSENT))
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
        """Delete a key, as the end of a lease does."""
        if self.found.pop(key, None) is None:
            return
        self.held.pop(key, None)
        self.history.append(KvItem(key, None, self.revision))

    def expire(self) -> None:
        """End the leases whose time has passed."""
        now = now_ms()
        for lease, state in list(self.leases.items()):
            if state.deadline_ms <= now:
                self.end(lease)

    def end(self, lease: StoreLeaseId) -> bool:
        """End a lease; tells whether there was one."""
        if self.leases.pop(lease, None) is None:
            return False
        self.revision = Revision(self.revision + 1)
        for key, holder in list(self.held.items()):
            if holder == lease:
                self.remove(key)
        return True

    def read(self, key: StoreKey) -> Result[KvItem, KvFailure]:
        """Return a key; an absent one has no value."""
        self.expire()
        return Success(self.found.get(key, KvItem(key, None, ABSENT)))

    def page(
        self,
        prefix: str,
        after: StoreKey | None,
    ) -> Result[KvPage, KvFailure]:
        """Return the next items of a prefix."""
        self.expire()
        rows = [
            self.found[key]
            for key in sorted(self.found)
            if key.startswith(prefix) and (after is None or key > after)
        ]
        page = tuple(rows[:_PAGE_MAX_COUNT])
        return Success(KvPage(page, len(rows) > len(page), self.revision))

    def grant(self, ttl_ms: int) -> Result[StoreLeaseId, KvFailure]:
        """Create a lease."""
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
        """End a lease that a caller gives up."""
        if self.end(lease):
            return Success(lease)
        return Failure(KvFailure.LEASE_GONE)

    def compact(self) -> None:
        """Drop the history."""
        self.compacted_revision = self.revision
        self.history.clear()

    def _put(self, write: KvWrite) -> None:
        before = self.found.get(write.key)
        created = self.revision if before is None else before.created
        item = KvItem(write.key, write.value, self.revision, created)
        self.found[write.key] = item
        self.held.pop(write.key, None)
        if write.lease is not None:
            self.held[write.key] = write.lease
        self.history.append(item)


class StorePath:
    """The store as one process reaches it."""

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
        """Read a key."""
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
        """Wait for changes of a prefix, for at most `wait_ms`."""
        failure = await self._enter(wait_ms)
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
            await sleep_ms(_POLL_MS)

    async def commit(
        self,
        transaction: KvTransaction,
        timeout_ms: int,
    ) -> Result[KvCommitted | KvConflict, KvFailure]:
        """Carry out a transaction."""
        failure = await self._enter(timeout_ms)
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
        """Create a lease."""
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
        carry_out: Callable[[], Result[_Answer, KvFailure]],
        timeout_ms: int,
    ) -> Result[_Answer, KvFailure]:
        failure = await self._enter(timeout_ms)
        return carry_out() if failure is None else Failure(failure)

    async def _enter(self, timeout_ms: int) -> KvFailure | None:
        """Travel to the store; returns why nothing is done there."""
        self.calls_count += 1
        if self.fault is PathFault.SILENT:
            await sleep_ms(timeout_ms)
            return KvFailure.UNKNOWN
        await sleep_ms(_ANSWER_MS)
        if self.fault is PathFault.REFUSED:
            return KvFailure.REFUSED
        return None
