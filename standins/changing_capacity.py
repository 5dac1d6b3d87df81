"""Capacity of a worker model, which may shrink and grow while it runs."""

from typing import Final

from fuchsiarill.clock import now_ms
from fuchsiarill.resources import Resources

# A process without disruption is in touch after 3000 ms, and the entry in the
# directory shows a change one heartbeat of 500 ms later at the latest.
_NOTICE_MS: Final = 3500


class ChangingCapacity:
    """The current capacity and those that it replaced, with their end."""

    def __init__(self, capacity: Resources) -> None:
        """Start with a capacity that replaces none."""
        self.current = capacity
        self._replaced: list[tuple[int, Resources]] = []

    def change(self, capacity: Resources) -> None:
        """Replace the current capacity."""
        self._replaced.append((now_ms(), self.current))
        self.current = capacity

    def admits(self, used: Resources) -> bool:
        """Tell whether a start may bring the worker to `used`.

        A capacity that was replaced counts until owners must know of it.
        """
        if used.fits_in(self.current):
            return True
        shrunk_ms = self.last_admitted_ms(used)
        return shrunk_ms is not None and now_ms() <= shrunk_ms + _NOTICE_MS

    def last_admitted_ms(self, used: Resources) -> int | None:
        """Return when the last replaced capacity that fits `used` ended.

        Returns `None` if `used` never fitted.
        """
        ends_ms = [
            ended_ms
            for ended_ms, capacity in self._replaced
            if used.fits_in(capacity)
        ]
        return max(ends_ms, default=None)
