"""Work that becomes due at a time, carried out by `decide`."""

import heapq
from collections.abc import Callable

from fuchsiarill.core.state import CoreState


def call_at(
    state: CoreState,
    due_ms: int,
    callback: Callable[[int], None],
) -> None:
    """Call back with the time once `due_ms` has passed."""
    state.timers_count += 1
    heapq.heappush(state.timers, (due_ms, state.timers_count, callback))


def run_due(state: CoreState, now_ms: int) -> None:
    """Carry out what has become due, in the order of its time."""
    while state.timers and state.timers[0][0] <= now_ms:
        callback = heapq.heappop(state.timers)[2]
        callback(now_ms)
