"""Decides when the caller of a refused job should send it again.

Load handled: the jobs of a burst that come back at the same time and are the
next burst. A process gives each refused job the next place in a row; the row
advances with the work that the pool does, divided among the processes.
"""

import math
from dataclasses import dataclass
from typing import Final

from fuchsiarill.clock import MS_PER_SECOND
from fuchsiarill.ids import JobId
from fuchsiarill.owner.hash_fraction import hash_fraction

RETURN_MIN_MS: Final = 1000
# Callers give up after a few retries; a longer delay would refuse for good.
RETURN_MAX_MS: Final = 30_000


@dataclass(frozen=True, slots=True)
class ReturnRequest:
    """A refused job: its work, and the work that the pool does.

    `work_ms` is in ms of one processor, `drain_milli` in thousandths of
    processors. The job is not sent again within `earliest_ms`.
    """

    job: JobId
    work_ms: float
    drain_milli: int
    processes_count: int
    earliest_ms: int = RETURN_MIN_MS


class ReturnTimes:
    """The row of jobs that one process has told to come back to one pool."""

    def __init__(self) -> None:
        """Start with an empty row."""
        self._row_end_ms = 0.0

    def delay_ms(self, request: ReturnRequest, now_ms: int) -> int:
        """Return after which time a job should be sent again.

        It is a number of whole seconds. The first job of the row is delayed by
        a part of its interval that depends on its id, so that the rows of
        several processes do not begin at the same time.
        """
        if request.drain_milli <= 0:
            return RETURN_MAX_MS
        share_milli = request.drain_milli / max(request.processes_count, 1)
        interval_ms = min(
            request.work_ms * MS_PER_SECOND / share_milli, RETURN_MAX_MS
        )
        earliest_ms = now_ms + max(request.earliest_ms, RETURN_MIN_MS)
        place_ms = self._row_end_ms
        if place_ms < earliest_ms:
            place_ms = earliest_ms + hash_fraction(request.job) * interval_ms
        delay_ms = place_ms - now_ms
        if delay_ms >= RETURN_MAX_MS:
            # The row does not grow beyond the longest delay.
            return RETURN_MAX_MS
        self._row_end_ms = place_ms + interval_ms
        return math.ceil(delay_ms / MS_PER_SECOND) * MS_PER_SECOND
