"""The journal of a partition: a log of entries in the store.

Records are committed in groups, each as one entry. A commit is a
compare-and-swap of the next entry's key against the last known revision of the
key. A new owner claims the head, reads the journal and then writes the next
entry, with its epoch. A commit of an older owner then conflicts, so no other
fencing of the log is needed.

The log is a ring of `LOG_KEYS_COUNT` keys. While all of them hold entries that
no snapshot covers, a commit waits for a snapshot.
"""

import asyncio
from collections import deque
from typing import Any

from fuchsiarill.actor import Actor, Mailbox, handles
from fuchsiarill.clock import MS_PER_SECOND, now_ms, sleep_ms
from fuchsiarill.core.ledger import fold
from fuchsiarill.ids import PartitionId
from fuchsiarill.owner import messages
from fuchsiarill.owner.journal_format import (
    GROUP_MAX_COUNT,
    VALUE_MAX_BYTES,
    EncodedRecord,
    encode,
    entry_value,
)
from fuchsiarill.owner.journal_reader import JournalContents
from fuchsiarill.owner.snapshots import JournalPosition, SnapshotWriter
from fuchsiarill.ports.store import StorePort, SwapOutcome

_FULL_MAILBOX_RETRY_MS = 10


class JournalActor(Actor):
    """Commits the records of one owner in groups.

    During a store outage a commit is retried with growing delays. Further
    records wait here and in the mailbox; while the mailbox is full, the owner
    keeps them. A snapshot of the journal holds the compacted records of entries
    in the store, whose keys may then be overwritten. The method `snapshot` is
    unrelated to it: it returns the state of the actor for a dump.
    """

    def __init__(
        self,
        store: StorePort,
        partition: PartitionId,
        journal: JournalContents,
        commit_interval_ms: int,
    ) -> None:
        """Continue the log after the last entry of `journal`."""
        super().__init__(f'journal {partition}')
        # Receives `Committed` and `Deposed`; set before `start`.
        self.owner: Mailbox | None = None
        self._position = JournalPosition(
            journal.head,
            journal.head_revision,
            journal.next_index,
        )
        self._log_writer = journal.log_writer
        self._snapshot_writer = SnapshotWriter(store, partition, self._position)
        # Result of all committed records, from which snapshots are written.
        self._ledger_image = fold(journal.records)
        self._commit_interval_ms = commit_interval_ms
        self._pending_records: deque[EncodedRecord] = deque()
        self._last_commit_at_ms: int | None = None
        self._snapshot_task: asyncio.Task[None] | None = None
        self._is_deposed = False

    async def stop(self) -> None:
        """Stop the actor and cancel a snapshot in progress."""
        if self._snapshot_task is not None:
            self._snapshot_task.cancel()
            await asyncio.gather(self._snapshot_task, return_exceptions=True)
        await super().stop()

    def snapshot(self) -> dict[str, Any]:
        """Return the state for a dump."""
        head = self._position.head
        return super().snapshot() | {
            'next_index': self._position.next_index,
            'first_index': head.first_index,
            'snapshot': head.snapshot,
            'chunks_count': len(head.chunk_revisions),
            'pending_count': len(self._pending_records),
        }

    @handles(messages.Append)
    async def on_append(self, message: messages.Append) -> None:
        """Queue records for the next commit."""
        for effect in message.records:
            self._pending_records.append(encode(effect.sequence, effect.record))
        await self._commit_if_due()

    @handles(messages.Tick)
    async def on_tick(self, message: messages.Tick) -> None:
        """Commit pending records if the commit interval has passed."""
        await self._commit_if_due()

    async def _commit_if_due(self) -> None:
        if not self._pending_records or self._is_deposed:
            return
        remaining_ms = 0
        if self._last_commit_at_ms is not None:
            due_ms = self._last_commit_at_ms + self._commit_interval_ms
            remaining_ms = due_ms - now_ms()
        if remaining_ms > 0:
            asyncio.get_running_loop().call_later(
                remaining_ms / MS_PER_SECOND,
                self.mailbox.send,
                messages.Tick(),
            )
            return
        self._last_commit_at_ms = now_ms()
        await self._commit(self._pop_next_group())

    def _pop_next_group(self) -> list[EncodedRecord]:
        group: list[EncodedRecord] = []
        size_bytes = 0
        while self._pending_records and len(group) < GROUP_MAX_COUNT:
            size_bytes += self._pending_records[0].size_bytes + 1
            if group and size_bytes > VALUE_MAX_BYTES:
                break
            group.append(self._pending_records.popleft())
        return group

    async def _commit(self, group: list[EncodedRecord]) -> None:
        position = self._position
        while position.is_full() and not self._is_deposed:
            await self._wait_for_snapshot()
        if self._is_deposed:
            return
        text = entry_value(
            position.head.writer,
            position.next_index,
            (encoded.text for encoded in group),
        )
        swap_result = await self._log_writer.write(position.next_index, text)
        if swap_result.outcome is not SwapOutcome.SWAPPED:
            await self._notify_owner(
                messages.Deposed('another owner took over')
            )
            self._is_deposed = True
            return
        position.next_index += 1
        for encoded in group:
            self._ledger_image.apply(encoded.record)
        await self._notify_owner(messages.Committed(group[-1].sequence))
        self._start_snapshot_if_due()
        await self._commit_if_due()

    async def _wait_for_snapshot(self) -> None:
        self._start_snapshot_if_due()
        if self._snapshot_task is not None:
            await asyncio.wait((self._snapshot_task,))

    async def _notify_owner(self, message: object) -> None:
        while self.owner is not None and not self.owner.send(message):
            await sleep_ms(_FULL_MAILBOX_RETRY_MS)

    def _start_snapshot_if_due(self) -> None:
        if self._snapshot_task is not None and not self._snapshot_task.done():
            return
        if not self._position.is_snapshot_due():
            return
        self._snapshot_task = asyncio.create_task(self._write_snapshot())

    async def _write_snapshot(self) -> None:
        if not await self._snapshot_writer.write(self._ledger_image):
            await self._notify_owner(
                messages.Deposed('another owner claimed the journal')
            )
            self._is_deposed = True
