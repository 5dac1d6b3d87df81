"""The journal of a partition: group commits to a chain of store keys.

Each commit creates the key of the next entry and expects it absent. A new
owner creates the next entry with its epoch, so that the commit of an older
owner conflicts: the chain itself fences. Where the conflicting entry may
have been deleted since, the head proves the commit.
"""

import asyncio
from collections import deque
from typing import Any

from returns.result import Success

from fuchsiarill.actor import Actor, Mailbox, handles
from fuchsiarill.clock import MS_PER_SECOND, now_ms, sleep_ms
from fuchsiarill.core.ledger import fold
from fuchsiarill.ids import PartitionId
from fuchsiarill.owner import messages
from fuchsiarill.owner.journal_format import (
    GROUP_MAX_COUNT,
    HEADS,
    VALUE_MAX_BYTES,
    Encoded,
    encode,
    entry_value,
    parse_value,
)
from fuchsiarill.owner.journal_reader import JournalRead
from fuchsiarill.owner.keys import entry_key, head_key
from fuchsiarill.owner.snapshots import JournalPosition, SnapshotWriter
from fuchsiarill.owner.store_calls import read_key, settle_swap
from fuchsiarill.ports.store import StorePort, Swap, SwapOutcome

_FULL_MAILBOX_RETRY_MS = 10


class JournalActor(Actor):
    """Commits the records of one owner in groups.

    While the store is away a commit is tried with growing delays; what comes
    in meanwhile waits here and in the mailbox, and then with the owner.
    """

    def __init__(
        self,
        store: StorePort,
        partition: PartitionId,
        journal: JournalRead,
        commit_interval_ms: int,
    ) -> None:
        """Continue the chain where `journal` ends."""
        super().__init__(f'journal {partition}')
        self.owner: Mailbox | None = None
        self._store = store
        self._partition = partition
        self._position = JournalPosition(
            journal.head,
            journal.head_revision,
            journal.next_index,
            dict(journal.revisions),
        )
        self._snapshots = SnapshotWriter(store, partition, self._position)
        self._image = fold(journal.records)
        self._commit_interval_ms = commit_interval_ms
        self._pending: deque[Encoded] = deque()
        self._began_at_ms: int | None = None
        self._deadline_ms = 0
        self._snapshot: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Run the actor; delete what an older owner left to delete."""
        super().start()
        cleaning = self._snapshots.delete_leftovers()
        self._tasks.append(asyncio.create_task(cleaning, name=self.name))

    def snapshot(self) -> dict[str, Any]:
        """Return the state for a dump."""
        head = self._position.head
        return super().snapshot() | {
            'next_index': self._position.next_index,
            'first_index': head.first_index,
            'snapshot': head.snapshot,
            'chunks_count': len(head.chunk_revisions),
            'pending_count': len(self._pending),
        }

    @handles(messages.Append)
    async def on_append(self, message: messages.Append) -> None:
        """Add records to the next commit."""
        for effect in message.records:
            self._pending.append(encode(effect.sequence, effect.record))
        await self._commit_if_due()

    @handles(messages.Tick)
    async def on_tick(self, message: messages.Tick) -> None:
        """Commit what is pending."""
        await self._commit_if_due()

    @handles(messages.OwnershipDeadline)
    async def on_deadline(self, message: messages.OwnershipDeadline) -> None:
        """Note until when nobody else can own the partition."""
        self._deadline_ms = message.deadline_ms

    async def _commit_if_due(self) -> None:
        if not self._pending:
            return
        left_ms = 0
        if self._began_at_ms is not None:
            due_ms = self._began_at_ms + self._commit_interval_ms
            left_ms = due_ms - now_ms()
        if left_ms > 0:
            asyncio.get_running_loop().call_later(
                left_ms / MS_PER_SECOND,
                self.mailbox.send,
                messages.Tick(),
            )
            return
        self._began_at_ms = now_ms()
        await self._commit(self._take_group())

    def _take_group(self) -> list[Encoded]:
        group: list[Encoded] = []
        size_bytes = 0
        while self._pending and len(group) < GROUP_MAX_COUNT:
            size_bytes += self._pending[0].size_bytes + 1
            if group and size_bytes > VALUE_MAX_BYTES:
                break
            group.append(self._pending.popleft())
        return group

    async def _commit(self, group: list[Encoded]) -> None:
        position = self._position
        entry = entry_value(
            position.head.writer,
            (one.text for one in group),
        )
        key = entry_key(self._partition, position.next_index)
        written = await settle_swap(self._store, Swap(key, entry))
        is_ours = written.outcome is SwapOutcome.SWAPPED
        if not is_ours or not await self._is_proven():
            await self._tell(messages.Deposed('another owner took over'))
            self._pending.clear()
            return
        position.revisions[position.next_index] = written.revision
        position.next_index += 1
        for one in group:
            self._image.apply(one.record)
        await self._tell(messages.Committed(group[-1].sequence))
        self._snapshot_if_due()
        await self._commit_if_due()

    async def _is_proven(self) -> bool:
        """Tell whether a commit precedes any takeover.

        After the deadline the entry of a new owner may have been written and,
        with a snapshot, deleted again, so that the commit did not conflict.
        """
        if now_ms() < self._deadline_ms:
            return True
        found = await read_key(self._store, head_key(self._partition))
        if found is None or found.value is None:
            return False
        match parse_value(HEADS, found.value):
            case Success(head):
                return bool(head.writer == self._position.head.writer)
        return False

    async def _tell(self, message: object) -> None:
        while self.owner is not None and not self.owner.send(message):
            await sleep_ms(_FULL_MAILBOX_RETRY_MS)

    def _snapshot_if_due(self) -> None:
        if self._snapshot is not None and not self._snapshot.done():
            return
        if not self._position.is_snapshot_due():
            return
        self._snapshot = asyncio.create_task(self._write_snapshot())
        self._tasks = [task for task in self._tasks if not task.done()]
        self._tasks.append(self._snapshot)

    async def _write_snapshot(self) -> None:
        if not await self._snapshots.write(self._image):
            await self._tell(messages.Deposed('another owner moved the head'))
