"""Delays that decide which process claims a vacant partition first.

All processes notice the vacancy at the same time. Each waits for a delay that
depends on its rank and then reads the key again, so that usually only one
process writes it.
"""

from collections.abc import Mapping
from typing import Final

from fuchsiarill.ids import PartitionId, ProcessId
from fuchsiarill.owner.hash_fraction import hash_fraction

# One step covers a read and a claim. The maximum delay keeps a takeover within
# 5 s even if all processes that rank earlier have failed too.
_RANK_STEP_MS: Final = 100
_DELAY_MAX_MS: Final = 1_000
_UNRANKED_DELAY_MAX_MS: Final = 300
_SHORT_WATCH_WAIT_MS: Final = 2_000
_LONG_WATCH_WAIT_MS: Final = 20_000
_SHORT_WATCHERS_COUNT: Final = 3


def election_delay_ms(
    partition: PartitionId,
    process: ProcessId,
    loads: Mapping[ProcessId, int],
) -> float:
    """Return how long to wait before a claim.

    Processes are ranked by the number of partitions they own, then by
    rendezvous hash. A process that is not in `loads` has no rank; its delay
    depends only on its hash.
    """
    rank = _rank(partition, process, loads)
    if rank is None:
        return _UNRANKED_DELAY_MAX_MS * hash_fraction(f'{partition} {process}')
    return min(_RANK_STEP_MS * rank, _DELAY_MAX_MS)


def watch_wait_ms(
    partition: PartitionId,
    process: ProcessId,
    loads: Mapping[ProcessId, int],
) -> int:
    """Return the duration of one watch of the owner key.

    A watch on a silently broken connection notices no change before it ends.
    The first processes by rank, and any process without a rank, therefore use
    short watches; the others use long ones to save calls.
    """
    rank = _rank(partition, process, loads)
    if rank is None or rank < _SHORT_WATCHERS_COUNT:
        return _SHORT_WATCH_WAIT_MS
    return _LONG_WATCH_WAIT_MS


def _rank(
    partition: PartitionId,
    process: ProcessId,
    loads: Mapping[ProcessId, int],
) -> int | None:
    if process not in loads:
        return None
    ranked_processes = sorted(
        loads,
        key=lambda candidate: (
            loads[candidate],
            hash_fraction(f'{partition} {candidate}'),
        ),
    )
    return ranked_processes.index(process)
