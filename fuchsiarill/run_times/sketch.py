"""Quantiles of a stream of logarithms, in constant memory.

Load: one sample for each run that ends in a pool, up to several hundred a
second. A sample falls into one of the buckets of a histogram of fixed width.
Later samples have a larger weight, which has the same effect as a decay of all
earlier ones and needs no pass over the buckets.
"""

from array import array
from bisect import bisect_left
from collections.abc import Iterable
from itertools import accumulate
from typing import Final

BUCKETS_COUNT: Final = 64
# Width of a bucket, a factor of 1.13 of the run time: the buckets span a factor
# of 3,000, and interpolation within a bucket errs by less than a twentieth.
BUCKET_WIDTH: Final = 0.125
_CENTRE: Final = BUCKETS_COUNT // 2
# Weights are divided by the weight of a new sample beyond this one, so that
# they keep the precision of single floats.
_UNIT_MAX: Final = 1_000_000.0
# The histogram is moved when its median is so close to one of its ends.
_MARGIN_COUNT: Final = 12
_MEDIAN: Final = 0.5
_WEIGHT_MIN: Final = 1e-9


class LogSketch:
    """A histogram of logarithms with decaying weights."""

    __slots__ = (
        '_quantiles',
        '_sums',
        '_total',
        '_unit',
        '_weights',
        'origin',
    )

    def __init__(
        self, origin: float = 0, weights: Iterable[float] | None = None
    ) -> None:
        """Create an empty sketch, or one with weights of buckets."""
        # Lower bound of the first bucket; set by the first sample.
        self.origin = origin
        self._weights = array('f', weights or bytes(4 * BUCKETS_COUNT))
        self._total = sum(self._weights)
        self._unit = 1.0
        # Sums of the weights up to each bucket, and quantiles, once asked for.
        self._sums: list[float] | None = None
        self._quantiles: dict[float, float] = {}

    @property
    def weight(self) -> float:
        """Return the decayed number of samples."""
        return self._total / self._unit

    def weights(self) -> list[float]:
        """Return the decayed number of samples in each bucket."""
        return [weight / self._unit for weight in self._weights]

    def decay(self, factor: float) -> None:
        """Multiply the weight of all samples so far by `factor`."""
        self._unit /= max(factor, 1 / _UNIT_MAX)
        if self._unit > _UNIT_MAX:
            self._set_weights(self.weights())

    def add(self, sample: float) -> None:
        """Add a sample; those beyond the buckets count for the outermost."""
        if not self._total:
            self.origin = sample - BUCKET_WIDTH * (_CENTRE + _MEDIAN)
        bucket = self._bucket_of(sample)
        self._weights[bucket] += self._unit
        self._total += self._unit
        self._forget_quantiles()
        if not _MARGIN_COUNT <= bucket < BUCKETS_COUNT - _MARGIN_COUNT:
            self._keep_centred()

    def add_above(self, bound: float) -> bool:
        """Add a sample of which only a lower bound is known.

        Its weight is divided among the buckets above the bound, in proportion
        to their weights, as in the estimator of Kaplan and Meier. Returns
        whether there were any; otherwise nothing has been added.
        """
        first = self._bucket_of(bound) + 1
        above = sum(self._weights[first:])
        if above <= 0:
            return False
        factor = 1 + self._unit / above
        for bucket in range(first, BUCKETS_COUNT):
            self._weights[bucket] *= factor
        self._total += self._unit
        self._forget_quantiles()
        return True

    def quantile(self, share: float) -> float:
        """Return the value below which a share of the samples lies."""
        known = self._quantiles.get(share)
        if known is None:
            known = self._compute_quantile(share)
            self._quantiles[share] = known
        return known

    def _compute_quantile(self, share: float) -> float:
        sums = self._sums
        if sums is None:
            sums = list(accumulate(self._weights))
            self._sums = sums
        sought = share * sums[-1]
        bucket = min(bisect_left(sums, sought), BUCKETS_COUNT - 1)
        below = sums[bucket - 1] if bucket else 0
        weight = max(sums[bucket] - below, _WEIGHT_MIN)
        position = bucket + (sought - below) / weight
        return self.origin + BUCKET_WIDTH * position

    def _bucket_of(self, sample: float) -> int:
        bucket = int((sample - self.origin) // BUCKET_WIDTH)
        return min(max(bucket, 0), BUCKETS_COUNT - 1)

    def _forget_quantiles(self) -> None:
        self._sums = None
        self._quantiles.clear()

    def _set_weights(self, weights: Iterable[float]) -> None:
        self._weights = array('f', weights)
        self._total = sum(self._weights)
        self._unit = 1.0
        self._forget_quantiles()

    def _keep_centred(self) -> None:
        """Move the buckets along with a median that nears one of the ends."""
        median = self._bucket_of(self.quantile(_MEDIAN))
        if _MARGIN_COUNT <= median < BUCKETS_COUNT - _MARGIN_COUNT:
            return
        moved = [float(0) for _ in range(BUCKETS_COUNT)]
        shift = median - _CENTRE
        for bucket, weight in enumerate(self.weights()):
            target = min(max(bucket - shift, 0), BUCKETS_COUNT - 1)
            moved[target] += weight
        self.origin += shift * BUCKET_WIDTH
        self._set_weights(moved)
