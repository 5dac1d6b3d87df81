"""The largest of many resource vectors, and the largest workers of late.

Load handled: jobs with a task that exceeds every worker, which would wait
without end. A worker that restarts is not listed for some seconds, and is
still counted on meanwhile.
"""

from collections.abc import Iterable
from typing import Final

from fuchsiarill.resources import Resources

_MAXIMA_MAX_COUNT: Final = 16
# Longer than a worker takes to restart or to be replaced.
_REMEMBERED_MS: Final = 60_000


class LargestWorkers:
    """Capacities that no other worker has exceeded in the last minute."""

    def __init__(self) -> None:
        """Start without any worker."""
        self._seen_ms: dict[Resources, int] = {}

    def add(
        self, capacities: Iterable[Resources], now_ms: int
    ) -> tuple[Resources, ...]:
        """Add the listed workers; return the largest of the last minute."""
        self._seen_ms.update(dict.fromkeys(maximal(capacities), now_ms))
        self._seen_ms = {
            capacity: seen_ms
            for capacity, seen_ms in self._seen_ms.items()
            if now_ms - seen_ms <= _REMEMBERED_MS
        }
        return maximal(self._seen_ms)


def maximal(vectors: Iterable[Resources]) -> tuple[Resources, ...]:
    """Return the vectors that no other one exceeds in every component.

    If there are more than a record should hold, returns one vector that all of
    them fit in.
    """
    maxima: list[Resources] = []
    for vector in vectors:
        if any(vector.fits_in(other) for other in maxima):
            continue
        maxima = [other for other in maxima if not other.fits_in(vector)]
        maxima.append(vector)
        if len(maxima) > _MAXIMA_MAX_COUNT:
            maxima = [_enclosing(maxima)]
    return tuple(maxima)


def _enclosing(vectors: list[Resources]) -> Resources:
    rows = zip(*(vector.as_tuple() for vector in vectors), strict=True)
    return Resources(*(max(row) for row in rows))
