"""Histogram of the durations of an owner's decisions, for the metrics.

A decision is one scheduling round of the `PartitionCore`.
"""

import asyncio
from bisect import bisect_left
from collections.abc import Iterator
from contextlib import contextmanager
from typing import Any, Final

from fuchsiarill.clock import MS_PER_SECOND

# Upper bounds of the buckets. The target for the 99th percentile is 5 ms.
BOUNDS_MS: Final = (0.25, 0.5, 1, 2, 5, 10, 25, 100)


class DecisionTimes:
    """Counts decisions by duration; the last bucket has no upper bound."""

    def __init__(self) -> None:
        """Start with empty buckets."""
        self._counts = [0 for _ in (*BOUNDS_MS, None)]
        self._sum_ms = 0.0

    @contextmanager
    def measure(self) -> Iterator[None]:
        """Count the duration of the `with` block as one decision."""
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        yield
        elapsed_ms = MS_PER_SECOND * (loop.time() - started_s)
        self._counts[bisect_left(BOUNDS_MS, elapsed_ms)] += 1
        self._sum_ms += elapsed_ms

    def snapshot(self) -> dict[str, Any]:
        """Return the counts and the sum of all durations for a dump."""
        return {'counts': tuple(self._counts), 'sum_ms': self._sum_ms}
