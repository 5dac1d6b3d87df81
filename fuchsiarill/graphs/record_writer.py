"""Writes an owner's records, fenced by the owner key.

Each transaction requires that the owner key has the revision of the election,
so that a previous owner can write nothing, and that each written record has
its last known revision, so that a transaction that is applied late does not
undo a newer one.
"""

import asyncio
from collections.abc import Awaitable
from itertools import islice
from typing import Final

from returns.result import Failure

from fuchsiarill import events, graph_events
from fuchsiarill.actor import Actor, Mailbox, handles
from fuchsiarill.clock import sleep_ms
from fuchsiarill.graphs.owner_messages import (
    OwnershipLost,
    RecordsSaved,
    SaveRecords,
)
from fuchsiarill.ids import ABSENT, Revision, StoreKey
from fuchsiarill.ports.key_value import (
    KeyValuePort,
    KvCommitted,
    KvConflict,
    KvItem,
    KvTransaction,
    KvWrite,
)

# A transaction has at most 32 entries: the expected revision of the owner key,
# and an expected revision and a write for each record.
_BATCH_RECORDS_MAX_COUNT: Final = 15
_RETRY_DELAY_MS: Final = 120
# With a slow store of 300 ms a call, the progress of 500 jobs is written in
# under 3 s, and the fleet record, which comes after it, admits new workers.
_COMMITS_MAX_COUNT: Final = 4


class RecordWriter(Actor):
    """Writes the records of one owner in the order of its messages."""

    def __init__(
        self,
        store: KeyValuePort,
        fence: tuple[StoreKey, Revision],
        timeout_ms: int,
        owner: Mailbox,
    ) -> None:
        """Write under `fence`: the owner key and its expected revision."""
        super().__init__('record writer')
        self._store = store
        self._fence = fence
        self._timeout_ms = timeout_ms
        self._owner = owner
        self._revisions: dict[StoreKey, Revision] = {}
        self._is_ownership_lost = False
        self._commits_semaphore = asyncio.Semaphore(_COMMITS_MAX_COUNT)

    def add_revisions(self, revisions: dict[StoreKey, Revision]) -> None:
        """Set the revisions of records that were read from the store."""
        self._revisions.update(revisions)

    @handles(SaveRecords)
    async def on_save(self, message: SaveRecords) -> None:
        """Write and delete the message's records, then confirm the message.

        The batches of a message have different keys, so they need no order.
        """
        records = iter(message.records.items())
        writes: list[Awaitable[None]] = []
        while batch := dict(islice(records, _BATCH_RECORDS_MAX_COUNT)):
            writes.append(self._write_batch(batch, ()))
        await asyncio.gather(*writes)
        deleted_keys = iter(message.deletes)
        while deletes := tuple(islice(deleted_keys, _BATCH_RECORDS_MAX_COUNT)):
            await self._write_batch({}, deletes)
        if not self._is_ownership_lost:
            self._owner.send(RecordsSaved(message))

    async def _write_batch(
        self,
        batch: dict[StoreKey, bytes],
        deletes: tuple[StoreKey, ...],
    ) -> None:
        """Retry until the batch is applied or the ownership is lost."""
        while not self._is_ownership_lost:
            async with self._commits_semaphore:
                commit_result = await self._store.commit(
                    self._build_transaction(batch, deletes),
                    self._timeout_ms,
                )
            if isinstance(commit_result, Failure):
                await sleep_ms(_RETRY_DELAY_MS)
            elif self._handle_outcome(batch, commit_result.unwrap()):
                return

    def _handle_outcome(
        self,
        batch: dict[StoreKey, bytes],
        outcome: KvCommitted | KvConflict,
    ) -> bool:
        if isinstance(outcome, KvConflict):
            return self._resolve_conflict(batch, outcome)
        self._revisions.update(dict.fromkeys(batch, outcome.revision))
        return True

    def _build_transaction(
        self,
        batch: dict[StoreKey, bytes],
        deletes: tuple[StoreKey, ...],
    ) -> KvTransaction:
        expected = [self._fence]
        expected.extend(
            (key, self._revisions.get(key, ABSENT)) for key in batch
        )
        writes = tuple(KvWrite(key, content) for key, content in batch.items())
        return KvTransaction(tuple(expected), writes, deletes)

    def _resolve_conflict(
        self,
        batch: dict[StoreKey, bytes],
        conflict: KvConflict,
    ) -> bool:
        """Update revisions; return whether the batch is already applied.

        A retry after a lost answer conflicts with the write of the first try.
        If the owner key has changed, the ownership is lost.
        """
        items_by_key = {item.key: item for item in conflict.items}
        fence_key, fence_revision = self._fence
        fence = items_by_key.get(fence_key)
        if fence is None or fence.revision != fence_revision:
            self._handle_lost_ownership(fence)
            return False
        is_applied = True
        for key, content in batch.items():
            item = items_by_key.get(key)
            self._revisions[key] = ABSENT if item is None else item.revision
            if item is None or item.value != content:
                is_applied = False
        return is_applied

    def _handle_lost_ownership(self, fence: KvItem | None) -> None:
        """Tell the owner once, also if several transactions conflict."""
        if self._is_ownership_lost:
            return
        self._is_ownership_lost = True
        fence_key, fence_revision = self._fence
        events.emit(
            graph_events.WRITE_FENCED,
            key=fence_key,
            expected=fence_revision,
            found=None if fence is None else fence.revision,
        )
        self._owner.send(OwnershipLost('the owner key has changed'))
