"""How much work of a pool has been started lately.

Load handled: a burst after which jobs return. Their return is paced by what
the pool has done in the last seconds, which shows the effect of packing, of
failures and of the owner's own speed, unlike the capacity of the workers.
"""

import math
from dataclasses import dataclass
from typing import Final

from fuchsiarill.clock import MS_PER_SECOND
from fuchsiarill.graphs.model import QueueId

# Long enough for a steady rate of queues with a few starts a second, and short
# enough to follow a burst.
_WINDOW_MS: Final = 4000


@dataclass(slots=True)
class _Flow:
    work_ms: float = 0
    decayed_ms: int = 0

    def decay(self, now_ms: int) -> None:
        elapsed_ms = max(now_ms - self.decayed_ms, 0)
        self.work_ms *= math.exp(-elapsed_ms / _WINDOW_MS)
        self.decayed_ms = now_ms


class DrainRates:
    """Work started in the last seconds by queue, with exponential decay."""

    def __init__(self) -> None:
        """Start without any work."""
        self._flows: dict[QueueId, _Flow] = {}

    def add(self, queue: QueueId, work_ms: float, now_ms: int) -> None:
        """Add a started task with `work_ms` of one processor."""
        flow = self._flows.setdefault(queue, _Flow(decayed_ms=now_ms))
        flow.decay(now_ms)
        flow.work_ms += work_ms

    def rate_milli(self, queue: QueueId, now_ms: int) -> int:
        """Return the started work of a queue, in thousandths of processors."""
        flow = self._flows.get(queue)
        if flow is None:
            return 0
        flow.decay(now_ms)
        return int(flow.work_ms * MS_PER_SECOND / _WINDOW_MS)
