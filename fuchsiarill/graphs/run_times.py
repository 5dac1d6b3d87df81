"""Run times learned from ended runs, since estimates are far off."""

from dataclasses import dataclass, field
from typing import Final

from fuchsiarill.graphs.model import QueueId, Step
from fuchsiarill.ids import WorkerId

_WEIGHT: Final = 0.15
_SAMPLES_MIN: Final = 4
_SPEED_MIN: Final = 0.1


@dataclass(slots=True)
class _Mean:
    mean_ms: float = 0
    samples_count: int = 0

    def add(self, sample_ms: float) -> None:
        self.samples_count += 1
        weight = max(_WEIGHT, 1 / self.samples_count)
        self.mean_ms += weight * (sample_ms - self.mean_ms)


@dataclass(slots=True)
class RunTimes:
    """Mean run time of each queue, and how workers compare with it."""

    queues: dict[QueueId, _Mean] = field(default_factory=dict)
    workers: dict[WorkerId, _Mean] = field(default_factory=dict)

    def add(self, queue: QueueId, worker: WorkerId, duration_ms: int) -> None:
        """Take a run that succeeded into account."""
        mean = self.queues.setdefault(queue, _Mean())
        if mean.samples_count >= _SAMPLES_MIN and mean.mean_ms > 0:
            ratio = duration_ms / mean.mean_ms
            self.workers.setdefault(worker, _Mean()).add(ratio)
        mean.add(duration_ms)

    def expected_ms(self, queue: QueueId, step: Step) -> float:
        """Return the expected run time of a task."""
        mean = self.queues.get(queue)
        if mean is None or mean.samples_count < _SAMPLES_MIN:
            return step.estimate_ms
        return mean.mean_ms

    def slowness(self, worker: WorkerId) -> float:
        """Return run times on a worker as a multiple of the mean."""
        mean = self.workers.get(worker)
        if mean is None or mean.samples_count < _SAMPLES_MIN:
            return 1.0
        return max(mean.mean_ms, _SPEED_MIN)
