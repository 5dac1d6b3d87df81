"""Tells which jobs of a customer are within the rate of its contract.

Load handled: a customer that sends several times its guaranteed rate for some
seconds. A token bucket per customer, which gains `weight` tokens a second, lets
short bursts pass and marks the jobs beyond it.
"""

import math
from dataclasses import dataclass
from typing import Final

from fuchsiarill.clock import MS_PER_SECOND
from fuchsiarill.ids import CustomerId

# A customer that sends at its average rate in bursts, as callers with retries
# and batches do, stays within its contract if a burst is no longer than this.
BURST_S: Final = 3.0
# A single job is within the rate of any contract after a pause.
_BURST_MIN_COUNT: Final = 1.0


@dataclass(slots=True)
class _Bucket:
    tokens: float
    filled_ms: int
    # Jobs of the last seconds, with exponential decay, as of `filled_ms`.
    recent_count: float = 0


class JobRates:
    """Token buckets of the customers, created full when first used.

    There is one bucket for each customer that has sent a job, a few dozen
    bytes each.
    """

    def __init__(self, burst_s: float = BURST_S) -> None:
        """Allow bursts of `burst_s` times the rate of a contract."""
        self._burst_s = burst_s
        self._buckets: dict[CustomerId, _Bucket] = {}

    def count(self, customer: CustomerId, weight: float, now_ms: int) -> bool:
        """Count a job; return whether it is within the customer's rate.

        `weight` is the rate of the contract in jobs a second. A job beyond the
        rate takes no token, so that the customer's rate stays guaranteed while
        it sends more.
        """
        bucket = self._refill(customer, weight, now_ms)
        bucket.recent_count += 1
        if bucket.tokens < 1:
            return False
        bucket.tokens -= 1
        return True

    def within_share(
        self, customer: CustomerId, weight: float, now_ms: int
    ) -> float:
        """Return which share of the next second's jobs is within the rate.

        The customer is expected to send as many jobs as lately.
        """
        if customer not in self._buckets:
            return 1.0
        bucket = self._refill(customer, weight, now_ms)
        expected_count = bucket.recent_count / self._burst_s
        return min((bucket.tokens + weight) / max(expected_count, weight), 1.0)

    def _refill(
        self, customer: CustomerId, weight: float, now_ms: int
    ) -> _Bucket:
        capacity = max(weight * self._burst_s, _BURST_MIN_COUNT)
        bucket = self._buckets.get(customer)
        if bucket is None:
            bucket = _Bucket(capacity, now_ms)
            self._buckets[customer] = bucket
            return bucket
        elapsed_ms = max(now_ms - bucket.filled_ms, 0)
        gained = elapsed_ms * weight / MS_PER_SECOND
        # The minimum also discards tokens above a burst that was lowered.
        bucket.tokens = min(bucket.tokens + gained, capacity)
        burst_ms = self._burst_s * MS_PER_SECOND
        bucket.recent_count *= math.exp(-elapsed_ms / burst_ms)
        bucket.filled_ms = max(bucket.filled_ms, now_ms)
        return bucket
