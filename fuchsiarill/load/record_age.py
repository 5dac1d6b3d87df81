"""Bounds the age of a published state of load without trust in wall clocks.

Load handled: an owner that is paused, cut off or behind, whose last record
would refuse jobs long after the load has gone. The wall clocks of machines
differ by seconds and may jump, so the bound follows from the reads: a record
that has replaced another one between two reads was written between them. How
late it was written is seen from its time of measurement, compared with that of
the other records.
"""

from collections import deque
from dataclasses import dataclass, field
from typing import Final

from fuchsiarill.graphs.settings import LoadSettings
from fuchsiarill.ids import ABSENT, Revision

# Records among which the least delayed one is looked for. A clock that is set
# back makes all later records look late until this many have been read.
_COMPARED_RECORDS_COUNT: Final = 16


@dataclass(frozen=True, slots=True)
class RecordRead:
    """A record as of a read that was requested and answered at these times.

    `unix_ms` is the wall clock of the reader at the answer.
    """

    revision: Revision
    measured_unix_ms: int
    requested_ms: int
    answered_ms: int
    unix_ms: int


@dataclass(slots=True)
class RecordAge:
    """Reads of one record, and what they prove about its age."""

    _last_read: RecordRead | None = None
    # The present revision was written after this time; `None` if not known.
    _written_after_ms: int | None = None
    # Reader's runtime clock less the writer's wall clock, for each revision.
    _offsets_ms: deque[int] = field(
        default_factory=lambda: deque(maxlen=_COMPARED_RECORDS_COUNT)
    )

    def add(self, read: RecordRead) -> None:
        """Take note of a read."""
        previous = self._last_read
        if previous is not None and previous.revision > read.revision:
            # An answer that was overtaken by a later read proves nothing.
            return
        if previous is None or previous.revision != read.revision:
            self._offsets_ms.append(read.answered_ms - read.measured_unix_ms)
            self._written_after_ms = (
                None if previous is None else previous.requested_ms
            )
        self._last_read = read

    def age_ms(self, now_ms: int, settings: LoadSettings) -> int | None:
        """Return an upper bound of the age; `None` if there is no use in it."""
        read = self._last_read
        if read is None or self._written_after_ms is None:
            return None
        if read.revision == ABSENT:
            return None
        wall_age_ms = read.unix_ms - read.measured_unix_ms
        skew_ms = settings.clock_skew_max_ms
        if not -skew_ms <= wall_age_ms <= skew_ms + settings.record_max_age_ms:
            return None
        delay_ms = self._offsets_ms[-1] - min(self._offsets_ms)
        age_ms = now_ms - self._written_after_ms + delay_ms
        return age_ms if age_ms <= settings.record_max_age_ms else None
