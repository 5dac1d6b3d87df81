"""Tracks the records that an owner has sent to its journal."""

from collections import deque
from collections.abc import Callable, Iterable, Iterator
from itertools import islice
from typing import Any, Final

from fuchsiarill.actor import Mailbox
from fuchsiarill.core.effects import PersistRecord
from fuchsiarill.ids import JobId
from fuchsiarill.owner import messages
from fuchsiarill.records import JobEnded

# More uncommitted records than a few group commits can hold count as a lag,
# during which new jobs and cancellations are refused.
_UNCOMMITTED_MAX_COUNT: Final = 4_000
_RECORDS_PER_APPEND_MAX_COUNT: Final = 500


class Durability:
    """Sends records to the journal and tracks which of them are committed.

    Records that the journal's full mailbox refuses are kept and sent later,
    in order.
    """

    def __init__(self, journal: Mailbox) -> None:
        """Start before the first record of this owner."""
        self._journal = journal
        self._committed_sequence = 0
        self._appended_sequence = 0
        self._unsent_records: deque[PersistRecord] = deque()
        self._lagging_since_ms: int | None = None
        self._follow_ups: deque[tuple[int, Callable[[], object]]] = deque()
        self._uncommitted_ends: dict[JobId, int] = {}

    def append(self, records: Iterable[PersistRecord], now_ms: int) -> None:
        """Send records to the journal, after earlier unsent records."""
        for record in records:
            self._unsent_records.append(record)
            self._appended_sequence = record.sequence
            if isinstance(record.record, JobEnded):
                self._uncommitted_ends[record.record.job_id] = record.sequence
        if self._unsent_records and self._lagging_since_ms is None:
            self._lagging_since_ms = now_ms
        while self._unsent_records:
            batch = tuple(
                islice(self._unsent_records, _RECORDS_PER_APPEND_MAX_COUNT)
            )
            if not self._journal.send(messages.Append(batch)):
                return
            for _ in batch:
                self._unsent_records.popleft()

    def record_commit(self, sequence: int, now_ms: int) -> Iterator[int]:
        """Record a commit of all records up to `sequence`.

        Yields the sequence numbers that became durable, then calls the
        functions that waited for them.
        """
        first = self._committed_sequence + 1
        self._committed_sequence = max(sequence, self._committed_sequence)
        self._lagging_since_ms = None
        if self._committed_sequence < self._appended_sequence:
            self._lagging_since_ms = now_ms
        for job_id, end_sequence in tuple(self._uncommitted_ends.items()):
            if end_sequence > sequence:
                break
            self._uncommitted_ends.pop(job_id)
        yield from range(first, sequence + 1)
        while self._follow_ups and self._follow_ups[0][0] <= sequence:
            self._follow_ups.popleft()[1]()

    def call_after_commit(
        self, sequence: int, follow_up: Callable[[], object]
    ) -> None:
        """Call `follow_up` once all records up to `sequence` are durable."""
        if self.is_committed(sequence):
            follow_up()
            return
        self._follow_ups.append((sequence, follow_up))

    def is_committed(self, sequence: int) -> bool:
        """Return whether the record with this sequence number is durable."""
        return sequence <= self._committed_sequence

    def is_lagging(self) -> bool:
        """Return whether more records than the limit wait for a commit."""
        return (
            self._appended_sequence - self._committed_sequence
            > _UNCOMMITTED_MAX_COUNT
        )

    def lag_ms(self, now_ms: int) -> int:
        """Return how long uncommitted records have waited without a commit."""
        if self._lagging_since_ms is None:
            return 0
        return now_ms - self._lagging_since_ms

    def is_ending(self, job_id: JobId) -> bool:
        """Return whether the record of a job's end is not committed yet."""
        return job_id in self._uncommitted_ends

    def snapshot(self) -> dict[str, Any]:
        """Return the state for a dump."""
        return {
            'committed_sequence': self._committed_sequence,
            'appended_sequence': self._appended_sequence,
            'unsent_count': len(self._unsent_records),
            'lagging_since_ms': self._lagging_since_ms,
        }
