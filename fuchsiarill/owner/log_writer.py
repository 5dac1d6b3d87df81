"""Writes entries to the ring of log keys of a partition.

An entry replaces the previous one under its key only at the revision that the
writer has read or written. An older owner does not know the revisions that a
newer owner has written, so its commits conflict.
"""

from returns.result import Success

from fuchsiarill.ids import PartitionId, Revision
from fuchsiarill.owner.journal_format import parse_entry
from fuchsiarill.owner.keys import LOG_KEYS_COUNT, entry_key
from fuchsiarill.owner.store_calls import (
    MayContinue,
    always_continue,
    read_key,
    swap_until_resolved,
)
from fuchsiarill.ports.store import (
    StorePort,
    Swap,
    SwapOutcome,
    SwapResult,
    Versioned,
)


class LogWriter:
    """Writes log keys at the last revisions it has read or written."""

    def __init__(self, store: StorePort, partition: PartitionId) -> None:
        """Start without any known revision."""
        self._store = store
        self._partition = partition
        self._revisions: dict[int, Revision] = {}

    def record_revision(self, index: int, revision: Revision) -> None:
        """Record the revision of the key that an entry uses."""
        self._revisions[index % LOG_KEYS_COUNT] = revision

    async def write(
        self,
        index: int,
        text: str,
        may_continue: MayContinue = always_continue,
    ) -> SwapResult:
        """Write an entry if its key is empty or has an older entry."""
        key = entry_key(self._partition, index)
        expected_revision = self._revisions.get(index % LOG_KEYS_COUNT)
        if expected_revision is None:
            stored = await read_key(self._store, key, may_continue)
            if stored is None:
                return SwapResult(SwapOutcome.UNKNOWN)
            if not is_older(stored, index):
                return SwapResult(SwapOutcome.CONFLICT, stored.revision)
            expected_revision = stored.revision
        swap_result = await swap_until_resolved(
            self._store,
            Swap(key, text, expected_revision),
            may_continue,
        )
        if swap_result.outcome is SwapOutcome.SWAPPED:
            self.record_revision(index, swap_result.revision)
        return swap_result


def is_older(stored: Versioned, index: int) -> bool:
    """Return whether a log key is empty or has an entry before `index`."""
    if stored.value is None:
        return True
    parse_result = parse_entry(stored.value)
    if not isinstance(parse_result, Success):
        return False
    return bool(parse_result.unwrap().index < index)
