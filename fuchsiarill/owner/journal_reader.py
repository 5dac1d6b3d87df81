"""Claims and reads the journal of a partition in a takeover.

The head is claimed first. From then on an older owner can neither update the
head nor replace the snapshot chunks that are still to be read.
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
from fuchsiarill.owner.store_calls import (
    MayContinue,
    read_key,
    swap_until_resolved,
)
from fuchsiarill.ports.store import StorePort, Swap, SwapOutcome, Versioned
from fuchsiarill.records import Record

_FIRST_WINDOW_COUNT: Final = 4
_WINDOW_MAX_COUNT: Final = 32


@dataclass(frozen=True, slots=True)
class JournalClaim:
    """A takeover of a journal by the writer with `token`.

    Store calls are repeated only while `may_continue` permits it.
    """

    store: StorePort
    partition: PartitionId
    token: str
    may_continue: MayContinue


@dataclass(slots=True)
class JournalRead:
    """The contents of a claimed journal, as far as they were read."""

    head: Head
    head_revision: Revision
    log: LogWriter
    records: list[Record] = field(default_factory=list)
    entries_count: int = 0

    @property
    def next_index(self) -> int:
        """Return the index of the next entry to be read or written."""
        return self.head.first_index + self.entries_count


@dataclass(frozen=True, slots=True)
class _EntryResult:
    fault: JournalFault | None = None
    is_end: bool = False


async def read_journal(
    claim: JournalClaim,
) -> Result[JournalRead, JournalFault]:
    """Claim the head, then read the snapshot and all entries after it."""
    claimed = await _claim_head(claim)
    match claimed:
        case Failure(fault):
            return Failure(fault)
    journal = claimed.unwrap()
    read_fault = await _read_snapshot(claim, journal)
    if read_fault is None:
        read_fault = await _read_entries(claim, journal)
    if read_fault is not None:
        return Failure(read_fault)
    return Success(journal)


async def append_entry(
    claim: JournalClaim,
    journal: JournalRead,
    record: Record,
) -> JournalFault | None:
    """Write the next entry; `OVERTAKEN` if another owner has written it."""
    index = journal.next_index
    text = entry_value(claim.token, index, (encode(0, record).text,))
    written = await journal.log.write(index, text, claim.may_continue)
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
    found = await read_key(claim.store, key, claim.may_continue)
    if found is None:
        return Failure(JournalFault.INTERRUPTED)
    head = Head(FORMAT, claim.token)
    if found.value is not None:
        parsed = parse_head(found.value)
        if not isinstance(parsed, Success):
            return Failure(parsed.failure())
        head = replace(parsed.unwrap(), writer=claim.token)
    swap = Swap(key, head_value(head), found.revision)
    written = await swap_until_resolved(claim.store, swap, claim.may_continue)
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
            fault = _apply_chunk(journal, found, revisions[0])
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
            applied = _apply_entry(journal, found)
            if applied.is_end or applied.fault is not None:
                return applied.fault
        window_count = min(2 * window_count, _WINDOW_MAX_COUNT)


async def _read_all(
    claim: JournalClaim,
    keys: list[StoreKey],
) -> list[Versioned | None]:
    reads: Any = (
        read_key(claim.store, key, claim.may_continue) for key in keys
    )
    return list(await asyncio.gather(*reads))


def _apply_chunk(
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


def _apply_entry(journal: JournalRead, found: Versioned) -> _EntryResult:
    """Append the next entry; an empty key or an older entry ends the log."""
    index = journal.next_index
    journal.log.record(index, found.revision)
    if found.value is None:
        return _EntryResult(is_end=True)
    parsed = parse_entry(found.value)
    if not isinstance(parsed, Success):
        return _EntryResult(parsed.failure())
    entry = parsed.unwrap()
    if entry.index < index:
        return _EntryResult(is_end=True)
    if entry.index > index:
        return _EntryResult(JournalFault.OVERTAKEN)
    journal.records.extend(entry.records)
    journal.entries_count += 1
    return _EntryResult()
