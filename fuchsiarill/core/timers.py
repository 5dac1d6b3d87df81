"""Timers, run at the start of each decision."""

import heapq
from collections.abc import Callable

from fuchsiarill.core.state import CoreState


def call_at(
    state: CoreState,
    due_ms: int,
    callback: Callable[[int], None],
) -> None:
    """Schedule `callback`, which gets the time of its call."""
    state.timers_count += 1
    heapq.heappush(state.timers, (due_ms, state.timers_count, callback))


def run_due(state: CoreState, now_ms: int) -> None:
    """Run the callbacks that are due, in the order of their times."""
    while state.timers and state.timers[0][0] <= now_ms:
        callback = heapq.heappop(state.timers)[2]
        callback(now_ms)
