"""The journal of a partition: group commits to a chain of store keys.

Each commit creates the key of the next entry and expects it absent. A new
owner creates the next entry with its epoch, so that the commit of an older
owner conflicts: the chain itself fences.
"""

import asyncio
import uuid
from dataclasses import dataclass
from typing import Final

from pydantic import TypeAdapter
from returns.result import Failure, Result, Success

from fuchsiarill.actor import Actor, Mailbox, handles
from fuchsiarill.clock import MS_PER_SECOND, now_ms, sleep_ms
from fuchsiarill.ids import PartitionId
from fuchsiarill.owner.keys import entry_key
from fuchsiarill.owner.messages import Append, Committed, Deposed, Tick
from fuchsiarill.ports.store import (
    StoreFailure,
    StorePort,
    Swap,
    SwapOutcome,
)
from fuchsiarill.records import Record

_READ_RETRY_MS: Final = 200


@dataclass(frozen=True, slots=True)
class JournalEntry:
    """Value of one key of the chain; `token` tells whose write it is."""

    token: str
    records: tuple[Record, ...]


ENTRIES: Final = TypeAdapter(JournalEntry)


async def read_journal(
    store: StorePort,
    partition: PartitionId,
) -> Result[tuple[JournalEntry, ...], StoreFailure]:
    """Read all entries in order."""
    entries: list[JournalEntry] = []
    while True:
        key = entry_key(partition, len(entries) + 1)
        answer = await store.get(key)
        match answer:
            case Success(found) if found.value is not None:
                entries.append(ENTRIES.validate_json(found.value))
            case Success(_):
                return Success(tuple(entries))
            case Failure(reason):
                return Failure(reason)


async def write_entry(
    store: StorePort,
    partition: PartitionId,
    index: int,
    records: tuple[Record, ...],
) -> bool:
    """Create an entry; returns `False` when another owner was first.

    A lost answer is resolved by reading the key and comparing the token; the
    swap itself is repeated only after a read has found the key absent.
    """
    entry = JournalEntry(uuid.uuid4().hex, records)
    key = entry_key(partition, index)
    swap = Swap(key, ENTRIES.dump_json(entry).decode())
    while True:
        written = await store.swap(swap)
        if written.outcome is SwapOutcome.SWAPPED:
            return True
        found = await store.get(key)
        match found:
            case Success(current) if current.value is not None:
                return ENTRIES.validate_json(current.value).token == entry.token
            case _:
                await sleep_ms(_READ_RETRY_MS)


class JournalActor(Actor):
    """Commits the records of one owner in groups."""

    def __init__(
        self,
        store: StorePort,
        partition: PartitionId,
        next_index: int,
        commit_interval_ms: int,
    ) -> None:
        """Continue the chain at `next_index`."""
        super().__init__(f'journal {partition}')
        self._store = store
        self._partition = partition
        self._next_index = next_index
        self._commit_interval_ms = commit_interval_ms
        self._pending: list[Append] = []
        self._flush_due = False
        self._committed_at_ms = 0
        self.owner: Mailbox | None = None

    @handles(Append)
    async def on_append(self, message: Append) -> None:
        """Add a record to the next commit."""
        self._pending.append(message)
        if self._flush_due:
            return
        self._flush_due = True
        due_ms = self._committed_at_ms + self._commit_interval_ms
        asyncio.get_running_loop().call_later(
            max(0, due_ms - now_ms()) / MS_PER_SECOND,
            self.mailbox.send,
            Tick(),
        )

    @handles(Tick)
    async def on_tick(self, message: Tick) -> None:
        """Commit what is pending."""
        group = tuple(self._pending)
        self._pending.clear()
        self._flush_due = False
        self._committed_at_ms = now_ms()
        written = await write_entry(
            self._store,
            self._partition,
            self._next_index,
            tuple(item.record for item in group),
        )
        if self.owner is None:
            return
        if not written:
            self.owner.send(Deposed('another owner wrote the journal'))
            return
        self._next_index += 1
        self.owner.send(Committed(group[-1].sequence))
