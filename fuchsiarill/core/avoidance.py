"""Workers that a job class avoids before it has succeeded anywhere.

Without a success elsewhere, either the worker or the class may be at fault.
The worker keeps its state, and the class uses other workers for a time.
"""

from functools import partial
from typing import Final

from fuchsiarill.core.resource_accounting import mark_released
from fuchsiarill.core.sizes import estimate_of
from fuchsiarill.core.state import CoreState
from fuchsiarill.core.timers import call_at
from fuchsiarill.core.worker_view import WorkerView
from fuchsiarill.ids import WorkerId
from fuchsiarill.job import JobSpec

# Long enough for tasks to end on other workers, which shows whether the worker
# or the class is at fault.
AVOIDANCE_MS: Final = 15_000
# A class that fails on more workers is considered to be at fault itself.
_FAILED_WORKERS_MAX_COUNT: Final = 3


def record_class_failure(
    state: CoreState,
    spec: JobSpec,
    worker: WorkerView,
    now_ms: int,
) -> None:
    """Count a failure of a class that has succeeded on no worker.

    After `probation_failures_count` failures on the worker, the class avoids
    it for `AVOIDANCE_MS`.
    """
    estimate = estimate_of(state, spec)
    if len(estimate.failed_on) > _FAILED_WORKERS_MAX_COUNT:
        return
    estimate.failed_on[worker.worker_id] += 1
    allowed_count = state.config.policies.probation_failures_count
    if estimate.failed_on[worker.worker_id] < allowed_count:
        return
    worker.avoided_by.add((spec.customer, spec.job_class))
    end_avoidance = partial(_end_avoidance, state, spec, worker.worker_id)
    call_at(state, now_ms + AVOIDANCE_MS, end_avoidance)


def _end_avoidance(
    state: CoreState,
    spec: JobSpec,
    worker_id: WorkerId,
    now_ms: int,
) -> None:
    worker = state.workers.get(worker_id)
    if worker is None:
        return
    worker.avoided_by.discard((spec.customer, spec.job_class))
    estimate_of(state, spec).failed_on.pop(worker_id, None)
    mark_released(state, worker)
