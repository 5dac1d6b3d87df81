"""Speeds of workers, learned from how far run times deviate there.

Load: one sample for each run that ends, and a look-up for each worker that a
step could be placed on.
"""

from collections import OrderedDict
from typing import Final

from fuchsiarill.ids import WorkerId
from fuchsiarill.run_times.bounded_rows import use_row
from fuchsiarill.run_times.models import Factor

_WORKERS_MAX_COUNT: Final = 1000


class WorkerFactors:
    """Logarithms of the slowness of workers, relative to their mean.

    Without the mean, a change of the work, which all workers see, would be
    taken for one of the workers.
    """

    def __init__(self) -> None:
        """Start without factors."""
        self.rows: OrderedDict[WorkerId, Factor] = OrderedDict()
        self._sum = 0.0

    def value(self, worker: WorkerId) -> float:
        """Return the logarithm of the slowness of a worker; 0 if unknown."""
        factor = self.rows.get(worker)
        if factor is None:
            return 0
        return factor.value - self._sum / len(self.rows)

    def count(self, worker: WorkerId) -> float:
        """Return the decayed number of samples of a worker."""
        factor = self.rows.get(worker)
        return 0 if factor is None else factor.count

    def add(self, worker: WorkerId, deviation: float, now_ms: int) -> None:
        """Add the deviation of a run time from that on a usual worker."""
        is_new = worker not in self.rows
        factor = use_row(self.rows, worker, Factor, _WORKERS_MAX_COUNT)
        self._sum -= factor.value
        factor.add(deviation, now_ms)
        self._sum += factor.value
        if is_new:
            # Another one may have been dropped.
            self._sum = sum([row.value for row in self.rows.values()])

    def restore(self, worker: WorkerId, factor: Factor) -> None:
        """Set the factor of a worker that an earlier owner has learned."""
        self.rows[worker] = factor
        self._sum += factor.value
