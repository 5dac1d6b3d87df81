"""The former model of run times, as the baseline of the benchmarks.

The logarithms of run times and of their ratios to the estimates are assumed to
be normally distributed. An expected run time combines the queue's mean and the
corrected estimate, weighted by the inverse of their variances.
"""

import math
from dataclasses import dataclass, field
from typing import Final

from fuchsiarill.graphs.model import QueueId, Step
from fuchsiarill.ids import WorkerId

_SAMPLES_MIN_COUNT: Final = 4
# Beyond this number of samples, older ones have less weight than new ones.
_WINDOW_COUNT: Final = 60
# Lower bounds of the ratio that `slowness` returns, and of a variance, so that
# weights are defined when all samples are equal.
_SLOWNESS_MIN: Final = 0.1
_VARIANCE_MIN: Final = 0.01


@dataclass(slots=True)
class _Samples:
    """Running mean and variance of logarithms of run times or of ratios."""

    count: int = 0
    mean: float = 0
    variance: float = 0

    def add(self, sample: float) -> None:
        self.count += 1
        weight = 1 / min(self.count, _WINDOW_COUNT)
        deviation = sample - self.mean
        self.mean += weight * deviation
        self.variance = (1 - weight) * (self.variance + weight * deviation**2)

    @property
    def bounded_variance(self) -> float:
        return max(self.variance, _VARIANCE_MIN)


@dataclass(slots=True)
class RunTimes:
    """Run times and estimate errors by queue, slowness by worker."""

    durations: dict[QueueId, _Samples] = field(default_factory=dict)
    errors: dict[QueueId, _Samples] = field(default_factory=dict)
    workers: dict[WorkerId, _Samples] = field(default_factory=dict)

    def add(
        self,
        queue: QueueId,
        step: Step,
        worker: WorkerId,
        duration_ms: int,
    ) -> None:
        """Add the run time of a successful run."""
        expected_ms = max(self.expected_ms(queue, step), 1)
        duration = math.log(max(duration_ms, 1))
        samples = self.workers.setdefault(worker, _Samples())
        samples.add(duration - math.log(expected_ms))
        self.durations.setdefault(queue, _Samples()).add(duration)
        if step.estimate_ms > 0:
            error = duration - math.log(step.estimate_ms)
            self.errors.setdefault(queue, _Samples()).add(error)

    def expected_ms(self, queue: QueueId, step: Step) -> float:
        """Return the expected run time of a task.

        It is the estimate until the queue has enough samples.
        """
        durations = self.durations.get(queue)
        if durations is None or durations.count < _SAMPLES_MIN_COUNT:
            return step.estimate_ms
        errors = self.errors.get(queue)
        if errors is None or step.estimate_ms <= 0:
            return math.exp(durations.mean)
        weight = durations.bounded_variance / (
            durations.bounded_variance + errors.bounded_variance
        )
        estimate = math.log(step.estimate_ms) + errors.mean
        return math.exp(weight * estimate + (1 - weight) * durations.mean)

    def slowness(self, worker: WorkerId) -> float:
        """Return the ratio of actual to expected run times on a worker.

        It is 1 until the worker has enough samples.
        """
        samples = self.workers.get(worker)
        if samples is None or samples.count < _SAMPLES_MIN_COUNT:
            return 1.0
        return max(math.exp(samples.mean), _SLOWNESS_MIN)
