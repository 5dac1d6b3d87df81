"""Tasks whose caller's estimates are wrong, for the benchmarks of run times.

Estimates are off by 0.25 to 4 times, three runs in a hundred take seven times
as long, workers differ in speed, and the work of some queues drifts.
"""

import random
from dataclasses import dataclass
from typing import Final

from fuchsiarill.graphs.model import ImageId, QueueId, Step
from fuchsiarill.ids import CustomerId, WorkerId
from fuchsiarill.resources import Resources
from fuchsiarill.run_times.run_times import EndedRun

_ESTIMATE_ERROR: Final = 4.0
_TAIL_SHARE: Final = 0.03
_TAIL_FACTOR: Final = 7.0
# Their geometric mean is 1, so that the usual run time is that of the trace.
_SPEEDS: Final = (0.64, 0.8, 0.95, 1.05, 1.1, 1.2, 1.45)
_IMAGES_COUNT: Final = 4
_CUSTOMERS_COUNT: Final = 5
_WORKERS_COUNT: Final = 40
_END_INTERVAL_MS: Final = 1000


@dataclass(frozen=True, slots=True)
class TraceKind:
    """What the tasks of a queue are like."""

    name: str
    # Range of the sizes of jobs of one image, as a factor in each direction.
    size_range: float = 1.0
    # What estimates are too high by, besides their error.
    bias: float = 1.0
    # What run times have risen by after 100 ends.
    drift: float = 1.0


KINDS: Final = (
    TraceKind('alike'),
    TraceKind('varied', size_range=4),
    TraceKind('biased', size_range=2, bias=3),
    TraceKind('drifting', size_range=1.5, drift=3),
)


@dataclass(frozen=True, slots=True)
class TraceTask:
    """A task, with its usual run time and that of its run."""

    run: EndedRun
    usual_ms: float
    # Run time on a usual worker.
    actual_ms: float


class Trace:
    """An endless sequence of tasks of one kind."""

    def __init__(self, kind: TraceKind, seed: int) -> None:
        """Draw the images and the workers."""
        self.kind = kind
        self.now_ms = 0
        self._random = random.Random(f'{kind.name} {seed}')
        self._ends_count = 0
        self._image_ms = [
            1000 * 8 ** self._random.random() for _ in range(_IMAGES_COUNT)
        ]
        self._speeds = [
            self._random.choice(_SPEEDS) for _ in range(_WORKERS_COUNT)
        ]

    def next_task(self) -> TraceTask:
        """Return the next task; a second passes between the ends."""
        task = self.sample()
        self._ends_count += 1
        self.now_ms += _END_INTERVAL_MS
        return task

    def sample(self) -> TraceTask:
        """Return a task as they are now."""
        image = self._random.randrange(_IMAGES_COUNT)
        usual_ms = self._image_ms[image] * self._factor(self.kind.size_range)
        if self._ends_count >= 100:
            usual_ms *= self.kind.drift
        estimate_ms = usual_ms * self.kind.bias * self._factor(_ESTIMATE_ERROR)
        actual_ms = usual_ms * self._random.lognormvariate(0, 0.2)
        if self._random.random() < _TAIL_SHARE:
            actual_ms *= _TAIL_FACTOR
        worker = self._random.randrange(_WORKERS_COUNT)
        run = EndedRun(
            QueueId(self.kind.name),
            Step(
                1,
                Resources(1000, 1000),
                int(estimate_ms),
                image=ImageId(f'image{image}'),
            ),
            WorkerId(f'w{worker}'),
            int(actual_ms / self._speeds[worker]),
            CustomerId(f'c{self._random.randrange(_CUSTOMERS_COUNT)}'),
        )
        return TraceTask(run, usual_ms, actual_ms)

    def _factor(self, limit: float) -> float:
        return float(limit ** self._random.uniform(-1, 1))
