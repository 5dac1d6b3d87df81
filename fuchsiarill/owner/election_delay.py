"""Which process claims a vacant partition first.

All of them see the vacancy at the same time. Each waits for its turn and then
reads the key again, so that as a rule only one writes.
"""

from collections.abc import Mapping
from typing import Final

from fuchsiarill.ids import PartitionId, ProcessId
from fuchsiarill.owner.hash_fraction import hash_fraction

# One turn covers a read and a claim; the longest delay keeps a takeover
# within 5 s when all who come first have failed too.
_TURN_MS: Final = 100
_LONGEST_DELAY_MS: Final = 1_000
_UNRANKED_DELAY_MS: Final = 300
_CLOSE_WATCH_MS: Final = 2_000
_LOOSE_WATCH_MS: Final = 20_000
_CLOSE_WATCHERS_COUNT: Final = 3


def election_delay_ms(
    partition: PartitionId,
    process: ProcessId,
    loads: Mapping[ProcessId, int],
) -> float:
    """Return how long to wait: least loaded first, then by rendezvous hash."""
    rank = _rank(partition, process, loads)
    if rank is None:
        return _UNRANKED_DELAY_MS * hash_fraction(f'{partition} {process}')
    return min(_TURN_MS * rank, _LONGEST_DELAY_MS)


def watch_wait_ms(
    partition: PartitionId,
    process: ProcessId,
    loads: Mapping[ProcessId, int],
) -> int:
    """Return how long one watch of the owner key lasts.

    A watch on a connection that has gone silent notices nothing until its
    end. The first in rank watch closely; the others save calls.
    """
    rank = _rank(partition, process, loads)
    if rank is None or rank < _CLOSE_WATCHERS_COUNT:
        return _CLOSE_WATCH_MS
    return _LOOSE_WATCH_MS


def _rank(
    partition: PartitionId,
    process: ProcessId,
    loads: Mapping[ProcessId, int],
) -> int | None:
    if process not in loads:
        return None
    ordered = sorted(
        loads,
        key=lambda candidate: (
            loads[candidate],
            hash_fraction(f'{partition} {candidate}'),
        ),
    )
    return ordered.index(process)
