"""Estimated size and run time of the tasks of one job class."""

from collections import Counter, deque
from dataclasses import dataclass, field
from typing import Final

from fuchsiarill.ids import WorkerId
from fuchsiarill.resources import NO_RESOURCES, Resources

_SAMPLES_MAX_COUNT: Final = 32
# Maximum number of workers recorded with a success; enough to distinguish a
# faulty worker from a faulty class.
_SUCCEEDED_WORKERS_MAX_COUNT: Final = 3


@dataclass(slots=True)
class Estimate:
    """Latest samples of a job class, and the estimates based on them.

    `size` and `run_time_ms` are upper estimates; with fewer samples than
    `SAMPLES_MIN_COUNT`, `size` can raise a reservation but not lower it.
    `version` rises when the size to reserve for a task may have changed.
    `samples_count` also counts the samples that `peaks` no longer holds.
    `succeeded_on` holds a few workers on which a task succeeded, `failed_on`
    how often tasks failed on each worker.
    """

    peaks: deque[Resources] = field(
        default_factory=lambda: deque(maxlen=_SAMPLES_MAX_COUNT),
    )
    run_times_ms: deque[int] = field(
        default_factory=lambda: deque(maxlen=_SAMPLES_MAX_COUNT),
    )
    size: Resources = NO_RESOURCES
    run_time_ms: int = 0
    failed_count: int = 0
    version: int = 0
    samples_count: int = 0
    succeeded_on: set[WorkerId] = field(default_factory=set)
    failed_on: Counter[WorkerId] = field(default_factory=Counter)

    def record_success_on(self, worker_id: WorkerId) -> None:
        """Add a worker on which a task succeeded, up to a limit."""
        if len(self.succeeded_on) < _SUCCEEDED_WORKERS_MAX_COUNT:
            self.succeeded_on.add(worker_id)
