"""How long the decisions of an owner take, for the metrics."""

import asyncio
from bisect import bisect_left
from collections.abc import Iterator
from contextlib import contextmanager
from typing import Any, Final

from fuchsiarill.clock import MS_PER_SECOND

# The target for the slowest hundredth is 5 ms.
BOUNDS_MS: Final = (0.25, 0.5, 1, 2, 5, 10, 25, 100)


class DecisionTimes:
    """Counts decisions by their duration; the last count has no bound."""

    def __init__(self) -> None:
        """Start without a decision."""
        self._counts = [0 for _ in (*BOUNDS_MS, None)]
        self._sum_ms = 0.0

    @contextmanager
    def measured(self) -> Iterator[None]:
        """Count the time of the block as one decision."""
        loop = asyncio.get_running_loop()
        began_s = loop.time()
        yield
        taken_ms = MS_PER_SECOND * (loop.time() - began_s)
        self._counts[bisect_left(BOUNDS_MS, taken_ms)] += 1
        self._sum_ms += taken_ms

    def snapshot(self) -> dict[str, Any]:
        """Return the counts for a dump."""
        return {'counts': tuple(self._counts), 'sum_ms': self._sum_ms}
