"""Writes entries to the ring of log keys of a partition.

An entry replaces the one that had its key before, at exactly the revision
that the writer knows. An older owner knows no revision that a newer one has
written, so that its commits conflict.
"""

from returns.result import Success

from fuchsiarill.ids import PartitionId, Revision
from fuchsiarill.owner.journal_format import parse_entry
from fuchsiarill.owner.keys import LOG_KEYS_COUNT, entry_key
from fuchsiarill.owner.store_calls import (
    MayGoOn,
    always,
    read_key,
    settle_swap,
)
from fuchsiarill.ports.store import (
    StorePort,
    Swap,
    SwapOutcome,
    SwapResult,
    Versioned,
)


class LogWriter:
    """Knows the revisions of the log keys, as far as they were read."""

    def __init__(self, store: StorePort, partition: PartitionId) -> None:
        """Start with no revision known."""
        self._store = store
        self._partition = partition
        self._revisions: dict[int, Revision] = {}

    def note(self, index: int, revision: Revision) -> None:
        """Note the revision of the key that an entry uses."""
        self._revisions[index % LOG_KEYS_COUNT] = revision

    async def write(
        self,
        index: int,
        text: str,
        may_go_on: MayGoOn = always,
    ) -> SwapResult:
        """Write the entry with this index; older entries give way."""
        key = entry_key(self._partition, index)
        expected = self._revisions.get(index % LOG_KEYS_COUNT)
        if expected is None:
            found = await read_key(self._store, key, may_go_on)
            if found is None:
                return SwapResult(SwapOutcome.UNKNOWN)
            if not is_older(found, index):
                return SwapResult(SwapOutcome.CONFLICT, found.revision)
            expected = found.revision
        written = await settle_swap(
            self._store,
            Swap(key, text, expected),
            may_go_on,
        )
        if written.outcome is SwapOutcome.SWAPPED:
            self.note(index, written.revision)
        return written


def is_older(found: Versioned, index: int) -> bool:
    """Tell whether a log key holds nothing or an entry before `index`."""
    if found.value is None:
        return True
    parsed = parse_entry(found.value)
    if not isinstance(parsed, Success):
        return False
    return bool(parsed.unwrap().index < index)
