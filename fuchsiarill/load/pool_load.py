"""State of load of a pool, computed by its owner in one pass.

Load handled: more work than the workers can do in time. The owner alone knows
the order of the waiting work and the expected ends of the runs, so it works
out how long a new job of each queue would wait.
"""

import math
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Final

from fuchsiarill.graphs.model import PoolId, QueueId
from fuchsiarill.ids import CustomerId, Epoch
from fuchsiarill.load.ahead import WIDTHS_MILLI, width_class
from fuchsiarill.resources import Resources

# Estimates of callers are off by up to this factor.
ESTIMATE_ERROR_FACTOR: Final = 4.0
# The mean of the logarithms of four run times, the fewest that are learned
# from, is seldom off by more than this factor.
LEARNED_ERROR_FACTOR: Final = 1.5
# Two estimates at which the owner tells the run time that it expects.
SHORT_ESTIMATE_MS: Final = 100
LONG_ESTIMATE_MS: Final = 100_000
# Unit of the shares of jobs within the rate of their customer.
PERMILLE: Final = 1000


@dataclass(frozen=True, slots=True)
class RunTimeCurve:
    """Expected run times of the tasks of a queue, by the caller's estimate.

    Between the estimates `SHORT_ESTIMATE_MS` and `LONG_ESTIMATE_MS`, and beyond
    them, the logarithm of the expected time is linear in that of the estimate.
    """

    # Without an estimate; 0 if not known.
    unestimated_ms: int = 0
    short_ms: int = SHORT_ESTIMATE_MS
    long_ms: int = LONG_ESTIMATE_MS

    @property
    def is_learned(self) -> bool:
        """Return whether ended runs have changed the callers' estimates."""
        return self.long_ms != LONG_ESTIMATE_MS

    @property
    def error_factor(self) -> float:
        """Return by which factor an expected time may be wrong."""
        if self.is_learned:
            return LEARNED_ERROR_FACTOR
        return ESTIMATE_ERROR_FACTOR

    def expected_ms(self, estimate_ms: int) -> float:
        """Return the expected run time of a task; 0 if it is not known."""
        if estimate_ms <= 0:
            return self.unestimated_ms
        slope = math.log(max(self.long_ms, 1) / max(self.short_ms, 1)) / (
            math.log(LONG_ESTIMATE_MS / SHORT_ESTIMATE_MS)
        )
        relative_estimate: float = estimate_ms / SHORT_ESTIMATE_MS
        return float(self.short_ms * relative_estimate**slope)


NO_WAITS_MS: Final = tuple(0 for _ in WIDTHS_MILLI)


@dataclass(frozen=True, slots=True)
class QueueLoad:
    """Load of one queue; work is in ms of one processor."""

    waiting_jobs_count: int = 0
    waiting_work_ms: int = 0
    # Processors that are free, or held by runs that the queue may displace, in
    # thousandths.
    free_milli: int = 0
    # Work of the queue started lately, in thousandths of processors.
    drain_milli: int = 0
    # The waits are those of jobs whose critical path takes this time at least.
    least_path_ms: int = 0
    # Lower bounds of the time until a new task of the queue starts, by the
    # classes of its width in `ahead`.
    waits_ms: tuple[int, ...] = NO_WAITS_MS
    # The same for a job beyond its customer's rate: all other work is first.
    excess_waits_ms: tuple[int, ...] = NO_WAITS_MS
    run_times: RunTimeCurve = field(default_factory=RunTimeCurve)


@dataclass(frozen=True, slots=True)
class PoolLoad:
    """State of load of a pool, as its owner publishes it."""

    pool: PoolId
    epoch: Epoch
    # Unix time at which the state was computed.
    written_unix_ms: int
    queues: Mapping[QueueId, QueueLoad] = field(default_factory=dict)
    # Customers that send more than their contract guarantees, with the share of
    # their jobs that is within it, in thousandths.
    beyond: Mapping[CustomerId, int] = field(default_factory=dict)
    # Capacities that no other worker exceeds; empty if they are not known.
    largest: tuple[Resources, ...] = ()
    # The same of the free room.
    largest_free: tuple[Resources, ...] = ()

    @property
    def is_waiting(self) -> bool:
        """Return whether any work waits."""
        return any(queue.waiting_jobs_count for queue in self.queues.values())

    @property
    def drain_milli(self) -> int:
        """Return the work of all queues started lately."""
        return sum(queue.drain_milli for queue in self.queues.values())

    def least_wait_ms(
        self, queue: QueueId, width_milli: int, *, is_excess: bool
    ) -> int:
        """Return a lower bound of the wait of a new task of this width."""
        load, number = self.queues.get(queue), width_class(width_milli)
        if load is None or number is None:
            return 0
        wait_ms = load.waits_ms[number]
        if is_excess:
            wait_ms = max(wait_ms, load.excess_waits_ms[number])
        return wait_ms
