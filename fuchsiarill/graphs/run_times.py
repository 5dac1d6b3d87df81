"""Run times learned from ended runs, since estimates are far off.

The logarithms of run times and of their ratios to the estimates are taken as
normally distributed. An expected run time weighs a queue's mean against the
estimate by the inverse of their variances.
"""

import math
from dataclasses import dataclass, field
from typing import Final

from fuchsiarill.graphs.model import QueueId, Step
from fuchsiarill.ids import WorkerId

_SAMPLES_MIN: Final = 4
# Older samples count less than new ones beyond this number.
_MEMORY_COUNT: Final = 60
_SLOWNESS_MIN: Final = 0.1
_VARIANCE_MIN: Final = 0.01


@dataclass(slots=True)
class _Samples:
    """Running mean and variance."""

    count: int = 0
    mean: float = 0
    variance: float = 0

    def add(self, sample: float) -> None:
        self.count += 1
        weight = 1 / min(self.count, _MEMORY_COUNT)
        distance = sample - self.mean
        self.mean += weight * distance
        self.variance = (1 - weight) * (self.variance + weight * distance**2)

    @property
    def spread(self) -> float:
        return max(self.variance, _VARIANCE_MIN)


@dataclass(slots=True)
class RunTimes:
    """Run times by queue, and how workers compare with the mean."""

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
        """Take a run that succeeded into account."""
        expected_ms = max(self.expected_ms(queue, step), 1)
        duration = math.log(max(duration_ms, 1))
        samples = self.workers.setdefault(worker, _Samples())
        samples.add(duration - math.log(expected_ms))
        self.durations.setdefault(queue, _Samples()).add(duration)
        if step.estimate_ms > 0:
            error = duration - math.log(step.estimate_ms)
            self.errors.setdefault(queue, _Samples()).add(error)

    def expected_ms(self, queue: QueueId, step: Step) -> float:
        """Return the expected run time of a task."""
        durations = self.durations.get(queue)
        if durations is None or durations.count < _SAMPLES_MIN:
            return step.estimate_ms
        errors = self.errors.get(queue)
        if errors is None or step.estimate_ms <= 0:
            return math.exp(durations.mean)
        weight = durations.spread / (durations.spread + errors.spread)
        estimate = math.log(step.estimate_ms) + errors.mean
        return math.exp(weight * estimate + (1 - weight) * durations.mean)

    def slowness(self, worker: WorkerId) -> float:
        """Return run times on a worker as a multiple of the expected."""
        samples = self.workers.get(worker)
        if samples is None or samples.count < _SAMPLES_MIN:
            return 1.0
        return max(math.exp(samples.mean), _SLOWNESS_MIN)
