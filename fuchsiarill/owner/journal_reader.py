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

# Number of keys that are read concurrently. For the log it doubles from the
# first value to the maximum; a snapshot is read with the maximum.
_FIRST_WINDOW_KEYS_COUNT: Final = 4
_WINDOW_KEYS_MAX_COUNT: Final = 32


@dataclass(frozen=True, slots=True)
class JournalClaim:
    """Parameters for claiming a journal; `token` identifies the claiming owner.

    Store calls are repeated only while `may_continue` permits it.
    """

    store: StorePort
    partition: PartitionId
    token: str
    may_continue: MayContinue


@dataclass(slots=True)
class JournalContents:
    """Contents of a claimed journal that have been read or appended so far."""

    head: Head
    head_revision: Revision
    log_writer: LogWriter
    records: list[Record] = field(default_factory=list)
    # Entries after the snapshot that were read or appended.
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
) -> Result[JournalContents, JournalFault]:
    """Claim the head, then read the snapshot and all entries after it."""
    claim_result = await _claim_head(claim)
    match claim_result:
        case Failure(fault):
            return Failure(fault)
    journal = claim_result.unwrap()
    read_fault = await _read_snapshot(claim, journal)
    if read_fault is None:
        read_fault = await _read_entries(claim, journal)
    if read_fault is not None:
        return Failure(read_fault)
    return Success(journal)


async def append_entry(
    claim: JournalClaim,
    journal: JournalContents,
    record: Record,
) -> JournalFault | None:
    """Write the next entry; return `None`, or why that did not succeed.

    After `INTERRUPTED` the entry may have been written. Any conflict gives
    `OVERTAKEN`.
    """
    index = journal.next_index
    text = entry_value(claim.token, index, (encode(0, record).text,))
    swap_result = await journal.log_writer.write(
        index, text, claim.may_continue
    )
    if swap_result.outcome is SwapOutcome.UNKNOWN:
        return JournalFault.INTERRUPTED
    if swap_result.outcome is SwapOutcome.CONFLICT:
        return JournalFault.OVERTAKEN
    journal.entries_count += 1
    journal.records.append(record)
    return None


async def _claim_head(
    claim: JournalClaim,
) -> Result[JournalContents, JournalFault]:
    key = head_key(claim.partition)
    stored = await read_key(claim.store, key, claim.may_continue)
    if stored is None:
        return Failure(JournalFault.INTERRUPTED)
    head = Head(FORMAT, claim.token)
    if stored.value is not None:
        parse_result = parse_head(stored.value)
        if not isinstance(parse_result, Success):
            return Failure(parse_result.failure())
        head = replace(parse_result.unwrap(), writer=claim.token)
    swap = Swap(key, head_value(head), stored.revision)
    swap_result = await swap_until_resolved(
        claim.store, swap, claim.may_continue
    )
    if swap_result.outcome is SwapOutcome.SWAPPED:
        log_writer = LogWriter(claim.store, claim.partition)
        return Success(JournalContents(head, swap_result.revision, log_writer))
    if swap_result.outcome is SwapOutcome.CONFLICT:
        return Failure(JournalFault.OVERTAKEN)
    return Failure(JournalFault.INTERRUPTED)


async def _read_snapshot(
    claim: JournalClaim,
    journal: JournalContents,
) -> JournalFault | None:
    head = journal.head
    revisions = head.chunk_revisions
    keys = [
        chunk_key(claim.partition, head.snapshot, number)
        for number in range(len(revisions))
    ]
    while keys:
        window_keys = keys[:_WINDOW_KEYS_MAX_COUNT]
        keys = keys[_WINDOW_KEYS_MAX_COUNT:]
        for stored in await _read_keys(claim, window_keys):
            if stored is None:
                return JournalFault.INTERRUPTED
            fault = _apply_chunk(journal, stored, revisions[0])
            if fault is not None:
                return fault
            revisions = revisions[1:]
    return None


async def _read_entries(
    claim: JournalClaim,
    journal: JournalContents,
) -> JournalFault | None:
    window_keys_count = _FIRST_WINDOW_KEYS_COUNT
    while True:
        first = journal.next_index
        window_keys = [
            entry_key(claim.partition, index)
            for index in range(first, first + window_keys_count)
        ]
        for stored in await _read_keys(claim, window_keys):
            if stored is None:
                return JournalFault.INTERRUPTED
            entry_result = _apply_entry(journal, stored)
            if entry_result.is_end or entry_result.fault is not None:
                return entry_result.fault
        window_keys_count = min(2 * window_keys_count, _WINDOW_KEYS_MAX_COUNT)


async def _read_keys(
    claim: JournalClaim,
    keys: list[StoreKey],
) -> list[Versioned | None]:
    reads: Any = (
        read_key(claim.store, key, claim.may_continue) for key in keys
    )
    return list(await asyncio.gather(*reads))


def _apply_chunk(
    journal: JournalContents,
    stored: Versioned,
    revision: Revision,
) -> JournalFault | None:
    # The head names the revision of each chunk; a chunk with another revision
    # is not part of this snapshot.
    if stored.value is None or stored.revision != revision:
        return JournalFault.CORRUPT
    parse_result = parse_entry(stored.value)
    if not isinstance(parse_result, Success):
        return parse_result.failure()
    journal.records.extend(parse_result.unwrap().records)
    return None


def _apply_entry(journal: JournalContents, stored: Versioned) -> _EntryResult:
    """Add the records of a read entry to `journal`.

    The log ends at an empty key or at an entry with a lower index, which is
    from an earlier pass of the ring. A higher index gives `OVERTAKEN`: a newer
    owner has written the entry in a later pass.
    """
    index = journal.next_index
    journal.log_writer.record_revision(index, stored.revision)
    if stored.value is None:
        return _EntryResult(is_end=True)
    parse_result = parse_entry(stored.value)
    if not isinstance(parse_result, Success):
        return _EntryResult(parse_result.failure())
    entry = parse_result.unwrap()
    if entry.index < index:
        return _EntryResult(is_end=True)
    if entry.index > index:
        return _EntryResult(JournalFault.OVERTAKEN)
    journal.records.extend(entry.records)
    journal.entries_count += 1
    return _EntryResult()
