"""Takeover of a journal: claims its head, reads it and opens an epoch.

The head is claimed first. From then on an older owner can neither move the
head nor replace the chunks that are still to be read.
"""

import asyncio
from dataclasses import dataclass, field, replace
from typing import Any, Final

from returns.result import Failure, Result, Success

from fuchsiarill.ids import PartitionId, Revision, StoreKey
from fuchsiarill.owner.journal_format import (
    FORMAT,
    Head,
    JournalFault,
    encode,
    entry_value,
    head_value,
    parse_entry,
    parse_head,
)
from fuchsiarill.owner.keys import chunk_key, entry_key, head_key
from fuchsiarill.owner.log_writer import LogWriter
from fuchsiarill.owner.store_calls import MayGoOn, read_key, settle_swap
from fuchsiarill.ports.store import StorePort, Swap, SwapOutcome, Versioned
from fuchsiarill.records import Record

_FIRST_WINDOW_COUNT: Final = 4
_WINDOW_MAX_COUNT: Final = 32


@dataclass(frozen=True, slots=True)
class JournalClaim:
    """Who takes a journal over, and while what."""

    store: StorePort
    partition: PartitionId
    token: str
    may_go_on: MayGoOn


@dataclass(slots=True)
class JournalRead:
    """A journal that was read to its end."""

    head: Head
    head_revision: Revision
    log: LogWriter
    records: list[Record] = field(default_factory=list)
    entries_count: int = 0

    @property
    def next_index(self) -> int:
        """Return the index of the entry that comes next."""
        return self.head.first_index + self.entries_count


@dataclass(frozen=True, slots=True)
class _Taken:
    fault: JournalFault | None = None
    is_end: bool = False


async def read_journal(
    claim: JournalClaim,
) -> Result[JournalRead, JournalFault]:
    """Claim the head and read the snapshot and all entries after it."""
    claimed = await _claim_head(claim)
    match claimed:
        case Failure(fault):
            return Failure(fault)
    journal = claimed.unwrap()
    faulty = await _read_snapshot(claim, journal)
    if faulty is None:
        faulty = await _read_entries(claim, journal)
    if faulty is not None:
        return Failure(faulty)
    return Success(journal)


async def append_entry(
    claim: JournalClaim,
    journal: JournalRead,
    record: Record,
) -> JournalFault | None:
    """Create the next entry; a conflict means that another was faster."""
    index = journal.next_index
    text = entry_value(claim.token, index, (encode(0, record).text,))
    written = await journal.log.write(index, text, claim.may_go_on)
    if written.outcome is SwapOutcome.UNKNOWN:
        return JournalFault.INTERRUPTED
    if written.outcome is SwapOutcome.CONFLICT:
        return JournalFault.OVERTAKEN
    journal.entries_count += 1
    journal.records.append(record)
    return None


async def _claim_head(
    claim: JournalClaim,
) -> Result[JournalRead, JournalFault]:
    key = head_key(claim.partition)
    found = await read_key(claim.store, key, claim.may_go_on)
    if found is None:
        return Failure(JournalFault.INTERRUPTED)
    head = Head(FORMAT, claim.token)
    if found.value is not None:
        parsed = parse_head(found.value)
        if not isinstance(parsed, Success):
            return Failure(parsed.failure())
        head = replace(parsed.unwrap(), writer=claim.token)
    swap = Swap(key, head_value(head), found.revision)
    written = await settle_swap(claim.store, swap, claim.may_go_on)
    if written.outcome is SwapOutcome.SWAPPED:
        log = LogWriter(claim.store, claim.partition)
        return Success(JournalRead(head, written.revision, log))
    if written.outcome is SwapOutcome.CONFLICT:
        return Failure(JournalFault.OVERTAKEN)
    return Failure(JournalFault.INTERRUPTED)


async def _read_snapshot(
    claim: JournalClaim,
    journal: JournalRead,
) -> JournalFault | None:
    head = journal.head
    revisions = head.chunk_revisions
    keys = [
        chunk_key(claim.partition, head.snapshot, number)
        for number in range(len(revisions))
    ]
    while keys:
        window = keys[:_WINDOW_MAX_COUNT]
        keys = keys[_WINDOW_MAX_COUNT:]
        for found in await _read_all(claim, window):
            if found is None:
                return JournalFault.INTERRUPTED
            fault = _take_chunk(journal, found, revisions[0])
            if fault is not None:
                return fault
            revisions = revisions[1:]
    return None


async def _read_entries(
    claim: JournalClaim,
    journal: JournalRead,
) -> JournalFault | None:
    window_count = _FIRST_WINDOW_COUNT
    while True:
        first = journal.next_index
        window = [
            entry_key(claim.partition, index)
            for index in range(first, first + window_count)
        ]
        for found in await _read_all(claim, window):
            if found is None:
                return JournalFault.INTERRUPTED
            taken = _take_next(journal, found)
            if taken.is_end or taken.fault is not None:
                return taken.fault
        window_count = min(2 * window_count, _WINDOW_MAX_COUNT)


async def _read_all(
    claim: JournalClaim,
    keys: list[StoreKey],
) -> list[Versioned | None]:
    reads: Any = (read_key(claim.store, key, claim.may_go_on) for key in keys)
    return list(await asyncio.gather(*reads))


def _take_chunk(
    journal: JournalRead,
    found: Versioned,
    revision: Revision,
) -> JournalFault | None:
    if found.value is None or found.revision != revision:
        return JournalFault.CORRUPT
    parsed = parse_entry(found.value)
    if not isinstance(parsed, Success):
        return parsed.failure()
    journal.records.extend(parsed.unwrap().records)
    return None


def _take_next(journal: JournalRead, found: Versioned) -> _Taken:
    """Take the next entry, unless its key holds an older one or nothing."""
    index = journal.next_index
    journal.log.note(index, found.revision)
    if found.value is None:
        return _Taken(is_end=True)
    parsed = parse_entry(found.value)
    if not isinstance(parsed, Success):
        return _Taken(parsed.failure())
    entry = parsed.unwrap()
    if entry.index < index:
        return _Taken(is_end=True)
    if entry.index > index:
        return _Taken(JournalFault.OVERTAKEN)
    journal.records.extend(entry.records)
    journal.entries_count += 1
    return _Taken()
