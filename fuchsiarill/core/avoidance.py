"""Workers that a class avoids before it has succeeded anywhere.

Without a success elsewhere it is open whether the worker or the class is at
fault, so the worker keeps its state, and the class goes to others first.
"""

from functools import partial
from typing import Final

from fuchsiarill.core.resource_accounting import note_room
from fuchsiarill.core.sizes import estimate_of
from fuchsiarill.core.state import CoreState
from fuchsiarill.core.timers import call_at
from fuchsiarill.core.worker_view import WorkerView
from fuchsiarill.ids import WorkerId
from fuchsiarill.job import JobSpec

# Long enough for tasks to end elsewhere, which shows what is at fault.
AVOIDANCE_MS: Final = 15_000
# A class that fails on as many workers is taken to be at fault itself.
_FAILED_ON_MAX_COUNT: Final = 3


def note_failure(
    state: CoreState,
    spec: JobSpec,
    worker: WorkerView,
    now_ms: int,
) -> None:
    """Let a class avoid a worker on which it fails again and again."""
    estimate = estimate_of(state, spec)
    if len(estimate.failed_on) > _FAILED_ON_MAX_COUNT:
        return
    estimate.failed_on[worker.worker_id] += 1
    allowed_count = state.config.policies.probation_failures_count
    if estimate.failed_on[worker.worker_id] < allowed_count:
        return
    worker.avoided_by.add((spec.customer, spec.job_class))
    end = partial(_end, state, spec, worker.worker_id)
    call_at(state, now_ms + AVOIDANCE_MS, end)


def _end(
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
    note_room(state, worker)
