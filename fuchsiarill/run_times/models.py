"""Models of the run times of one group of tasks, and of factors on them.

Load: one update for each run that ends, and a few look-ups for each step that
is accepted or started.

A model holds a sketch of the logarithms of run times, as they would be at the
mean estimate of the group, and the slope by which they follow the estimate of
the caller. Where estimates tell nothing, the slope is near 0. Long tails pull
neither: the centre is a median, and the deviation of each sample is limited.
"""

from dataclasses import dataclass, field
from typing import Final

from fuchsiarill.run_times.sketch import LogSketch

# Ten minutes: a change of the tasks within an hour outweighs older samples.
_HALF_LIFE_MS: Final = 600_000
# Beyond this number of samples, older ones have less weight than new ones.
_WINDOW_COUNT: Final = 120
# Number of samples that the prior variances and factors stand for.
_PRIOR_COUNT: Final = 4.0
_PRIOR_VARIANCE: Final = 0.3
# Limit of the deviation of a sample from its expected value, as a logarithm.
_DEVIATION_MAX: Final = 1.5
_MEDIAN: Final = 0.5


def decay_factor(elapsed_ms: float) -> float:
    """Return the weight that a sample of that age still has."""
    # Runs that end in a burst are often reported in one message.
    if elapsed_ms <= 0:
        return 1
    return float(_MEDIAN ** (elapsed_ms / _HALF_LIFE_MS))


@dataclass(slots=True)
class EstimateMoments:
    """Variances of run times and of the errors of their estimates.

    All are of logarithms. The mean is that of the estimates.
    """

    count: float = 0
    mean: float = 0
    time_variance: float = _PRIOR_VARIANCE
    error_variance: float = _PRIOR_VARIANCE

    @property
    def slope(self) -> float:
        """Return how far a run time follows its estimate, from 0 to 1.

        It is the slope of a regression if errors do not depend on run times.
        """
        return self.time_variance / (self.time_variance + self.error_variance)

    def offset(self, estimate: float | None) -> float:
        """Return the expected deviation of a run time with this estimate."""
        if estimate is None or not self.count:
            return 0
        return self.slope * (estimate - self.mean)

    def add(self, estimate: float, deviation: float, decay: float) -> None:
        """Add an estimate, with the deviation of the run time from its mean."""
        self.count = min(self.count * decay, _WINDOW_COUNT - 1) + 1
        distance = estimate - self.mean
        self.mean += distance / self.count
        weight = 1 / (self.count + _PRIOR_COUNT)
        self.time_variance += weight * (
            _limited(deviation) ** 2 - self.time_variance
        )
        self.error_variance += weight * (
            _limited(deviation - distance) ** 2 - self.error_variance
        )


@dataclass(slots=True)
class Model:
    """Run times of a group of tasks, as logarithms."""

    sketch: LogSketch = field(default_factory=LogSketch)
    moments: EstimateMoments = field(default_factory=EstimateMoments)
    # Decayed number of successes; bounds add to the sketch alone.
    count: float = 0
    updated_ms: int = 0

    def weight_at(self, now_ms: int) -> float:
        """Return the number of successes that the model stands for."""
        return self.count * decay_factor(now_ms - self.updated_ms)

    def quantile(self, share: float, estimate: float | None) -> float:
        """Return a quantile of the run times of tasks with this estimate."""
        return self.sketch.quantile(share) + self.moments.offset(estimate)

    def add(self, sample: float, estimate: float | None, now_ms: int) -> None:
        """Add the run time of a run that succeeded."""
        decay = self._discount(now_ms)
        if estimate is not None:
            centre = self.sketch.quantile(_MEDIAN) if self.count else sample
            self.moments.add(estimate, sample - centre, decay)
        self.count = min(self.count * decay, _WINDOW_COUNT - 1) + 1
        self.sketch.add(sample - self.moments.offset(estimate))

    def add_above(
        self, bound: float, estimate: float | None, now_ms: int
    ) -> None:
        """Add a run that ended otherwise, after the time `bound`.

        Beyond the longest run so far it counts as a run of that time. Without
        any success a bound may come from a run that has just begun, so that it
        tells too little.
        """
        if not self.count:
            return
        self._discount(now_ms)
        sample = bound - self.moments.offset(estimate)
        if not self.sketch.add_above(sample):
            self.sketch.add(sample)

    def _discount(self, now_ms: int) -> float:
        """Discount the samples in the sketch; return the decay by time."""
        decay = decay_factor(now_ms - self.updated_ms)
        self.updated_ms = now_ms
        weight = self.sketch.weight * decay
        factor = decay
        if weight > _WINDOW_COUNT - 1:
            factor *= (_WINDOW_COUNT - 1) / weight
        self.sketch.decay(factor)
        return decay


@dataclass(slots=True)
class Factor:
    """Logarithm of a factor on run times, shrunk towards 0."""

    count: float = 0
    mean: float = 0
    updated_ms: int = 0

    @property
    def value(self) -> float:
        """Return the logarithm of the factor; 0 without samples."""
        return self.mean * self.count / (self.count + _PRIOR_COUNT)

    def add(self, deviation: float, now_ms: int) -> None:
        """Add the deviation of a run time from the expected one."""
        decay = decay_factor(now_ms - self.updated_ms)
        self.updated_ms = now_ms
        self.count = min(self.count * decay, _WINDOW_COUNT - 1) + 1
        self.mean += _limited(deviation - self.mean) / self.count


def _limited(deviation: float) -> float:
    return min(max(deviation, -_DEVIATION_MAX), _DEVIATION_MAX)
