"""Writes snapshots of a journal, alternating between two sets of keys.

A snapshot holds the compacted records of the journal entries that it covers, in
chunks. Covered entries may be overwritten.
"""

from collections.abc import Iterable
from dataclasses import dataclass, replace
from typing import Final

from returns.result import Success

from fuchsiarill.core.ledger import LedgerImage
from fuchsiarill.ids import PartitionId, Revision, StoreKey
from fuchsiarill.owner.journal_format import (
    FORMAT,
    Head,
    chunk_values,
    head_value,
    parse_head,
)
from fuchsiarill.owner.keys import LOG_KEYS_COUNT, chunk_key, head_key
from fuchsiarill.owner.store_calls import read_key, swap_until_resolved
from fuchsiarill.ports.store import StorePort, Swap, SwapOutcome
from fuchsiarill.records import Record

# Minimum number of uncovered entries at which a snapshot is due.
SNAPSHOT_ENTRIES_COUNT: Final = 64
# Larger snapshots are written less often, so that chunks remain a small share
# of all writes. Half of the ring must remain free for commits.
_ENTRIES_PER_CHUNK: Final = 16
_ENTRIES_MAX_COUNT: Final = LOG_KEYS_COUNT // 2
_FIRST_KEY_SET: Final = 'a'
_SECOND_KEY_SET: Final = 'b'


@dataclass(slots=True)
class JournalPosition:
    """The current head and next index of the journal of this owner."""

    head: Head
    head_revision: Revision
    next_index: int

    @property
    def entries_count(self) -> int:
        """Return the number of entries that no snapshot covers."""
        return self.next_index - self.head.first_index

    def is_snapshot_due(self) -> bool:
        """Return whether enough entries are uncovered for a new snapshot."""
        chunks_count = len(self.head.chunk_revisions)
        required_count = max(
            SNAPSHOT_ENTRIES_COUNT,
            _ENTRIES_PER_CHUNK * chunks_count,
        )
        return self.entries_count >= min(required_count, _ENTRIES_MAX_COUNT)

    def is_full(self) -> bool:
        """Return whether the next entry would overwrite an uncovered one."""
        return self.entries_count >= LOG_KEYS_COUNT


class SnapshotWriter:
    """Writes the snapshots of one owner, one at a time."""

    def __init__(
        self,
        store: StorePort,
        partition: PartitionId,
        position: JournalPosition,
    ) -> None:
        """Share `position` with the journal and update its head."""
        self._store = store
        self._partition = partition
        self._position = position
        self._revisions: dict[StoreKey, Revision] = {}

    async def write(self, image: LedgerImage) -> bool:
        """Write a snapshot of `image` that covers all current entries.

        Returns `False` when another owner has claimed the head.
        """
        previous = self._position.head
        first_uncovered_index = self._position.next_index
        key_set = _FIRST_KEY_SET
        if previous.snapshot == _FIRST_KEY_SET:
            key_set = _SECOND_KEY_SET
        image.evict_ended_jobs()
        records = tuple(image.compacted())
        revisions = await self._write_chunks(key_set, records)
        if revisions is None:
            return False
        return await self._update_head(
            replace(
                previous,
                format=FORMAT,
                first_index=first_uncovered_index,
                snapshot=key_set,
                chunk_revisions=revisions,
            ),
        )

    async def _write_chunks(
        self,
        snapshot: str,
        records: Iterable[Record],
    ) -> tuple[Revision, ...] | None:
        token = self._position.head.writer
        revisions: list[Revision] = []
        for text in chunk_values(token, records):
            key = chunk_key(self._partition, snapshot, len(revisions))
            revision = await self._write_chunk(key, text)
            if revision is None:
                return None
            revisions.append(revision)
        return tuple(revisions)

    async def _write_chunk(self, key: StoreKey, text: str) -> Revision | None:
        """Replace a chunk, unless a newer owner may have written it.

        A revision that this owner has not written itself is trusted only if
        a later read shows that the head still belongs to this owner.
        """
        while True:
            expected_revision = self._revisions.pop(key, None)
            if expected_revision is None:
                stored = await read_key(self._store, key)
                if stored is None or not await self._holds_head():
                    return None
                expected_revision = stored.revision
            swap_result = await swap_until_resolved(
                self._store, Swap(key, text, expected_revision)
            )
            if swap_result.outcome is SwapOutcome.SWAPPED:
                self._revisions[key] = swap_result.revision
                return swap_result.revision

    async def _holds_head(self) -> bool:
        stored = await read_key(self._store, head_key(self._partition))
        if stored is None or stored.value is None:
            return False
        parse_result = parse_head(stored.value)
        if not isinstance(parse_result, Success):
            return False
        return bool(parse_result.unwrap().writer == self._position.head.writer)

    async def _update_head(self, head: Head) -> bool:
        position = self._position
        swap_result = await swap_until_resolved(
            self._store,
            Swap(
                head_key(self._partition),
                head_value(head),
                position.head_revision,
            ),
        )
        if swap_result.outcome is not SwapOutcome.SWAPPED:
            return False
        position.head = head
        position.head_revision = swap_result.revision
        return True
