"""Writes snapshots of a journal and deletes what they cover."""

import asyncio
from dataclasses import dataclass, replace
from typing import Final

from fuchsiarill.core.ledger import LedgerImage
from fuchsiarill.ids import ABSENT, PartitionId, Revision, StoreKey
from fuchsiarill.owner.journal_format import FORMAT, HEADS, Head, chunk_values
from fuchsiarill.owner.keys import chunk_key, entry_key, head_key
from fuchsiarill.owner.store_calls import read_key, settle_swap
from fuchsiarill.ports.store import StorePort, Swap, SwapOutcome
from fuchsiarill.records import Record

SNAPSHOT_ENTRIES_COUNT: Final = 64
# A snapshot of many chunks is written less often, so that chunks stay under
# a sixteenth of the writes of the entries.
_ENTRIES_PER_CHUNK: Final = 16


@dataclass(slots=True)
class JournalPosition:
    """Where the journal stands, as its only writer knows it."""

    head: Head
    head_revision: Revision
    next_index: int
    revisions: dict[int, Revision]

    def is_snapshot_due(self) -> bool:
        """Tell whether enough entries came after the last snapshot."""
        entries_count = self.next_index - self.head.first_index
        chunks_count = len(self.head.chunk_revisions)
        due_count = max(
            SNAPSHOT_ENTRIES_COUNT,
            _ENTRIES_PER_CHUNK * chunks_count,
        )
        return entries_count >= due_count


class SnapshotWriter:
    """Writes the snapshots of one owner, one at a time."""

    def __init__(
        self,
        store: StorePort,
        partition: PartitionId,
        position: JournalPosition,
    ) -> None:
        """Use the position of the journal that it belongs to."""
        self._store = store
        self._partition = partition
        self._position = position

    async def write(self, image: LedgerImage) -> bool:
        """Write a snapshot of `image` as of the next index.

        Returns `False` when another owner has claimed the head.
        """
        previous = self._position.head
        covered_index = self._position.next_index
        snapshot = f'{image.epoch}.{covered_index}'
        image.forget_ended()
        records = list(image.compacted())
        revisions = await self._write_chunks(snapshot, records)
        if revisions is None:
            return False
        head = replace(
            previous,
            format=FORMAT,
            first_index=covered_index,
            snapshot=snapshot,
            chunk_revisions=revisions,
        )
        if not await self._move_head(head):
            return False
        await self._delete_covered(previous, covered_index)
        return True

    async def delete_leftovers(self) -> None:
        """Delete what an older owner left before the first entry.

        Entries are deleted in rising order, so leftovers are contiguous.
        """
        index = self._position.head.first_index - 1
        while index:
            key = entry_key(self._partition, index)
            found = await read_key(self._store, key)
            if found is None or found.value is None:
                return
            await self._delete(key, found.revision)
            index -= 1

    async def _write_chunks(
        self,
        snapshot: str,
        records: list[Record],
    ) -> tuple[Revision, ...] | None:
        token = self._position.head.writer
        revisions: list[Revision] = []
        for chunk_value in chunk_values(token, records):
            key = chunk_key(self._partition, snapshot, len(revisions))
            written = await settle_swap(self._store, Swap(key, chunk_value))
            if written.outcome is not SwapOutcome.SWAPPED:
                return None
            revisions.append(written.revision)
        return tuple(revisions)

    async def _move_head(self, head: Head) -> bool:
        position = self._position
        moved = await settle_swap(
            self._store,
            Swap(
                head_key(self._partition),
                HEADS.dump_json(head).decode(),
                position.head_revision,
            ),
        )
        if moved.outcome is not SwapOutcome.SWAPPED:
            return False
        position.head = head
        position.head_revision = moved.revision
        return True

    async def _delete_covered(self, previous: Head, covered_index: int) -> None:
        for index in range(previous.first_index, covered_index):
            revision = self._position.revisions.pop(index, ABSENT)
            await self._delete(entry_key(self._partition, index), revision)
        for number, chunk_revision in enumerate(previous.chunk_revisions):
            key = chunk_key(self._partition, previous.snapshot, number)
            await self._delete(key, chunk_revision)

    async def _delete(self, key: StoreKey, revision: Revision) -> None:
        if revision == ABSENT:
            return
        await settle_swap(self._store, Swap(key, None, revision))
        # Deletions are not urgent: commits that wait go first.
        await asyncio.sleep(0)
