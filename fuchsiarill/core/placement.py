"""Placement policies: which worker runs a task.

A policy is a function from the state, a job and the size of one of its tasks
to a worker; contracts name the policy to use.
"""

from collections import Counter
from collections.abc import Callable, Iterable, Iterator
from itertools import islice
from typing import Final

from fuchsiarill.core.accelerators import may_use_accelerated
from fuchsiarill.core.reservation import Reservation
from fuchsiarill.core.resource_accounting import accepts_tasks
from fuchsiarill.core.sizes import run_time_of
from fuchsiarill.core.state import CoreState
from fuchsiarill.core.worker_holds import capacity_held_up_to
from fuchsiarill.core.worker_view import WorkerView
from fuchsiarill.ids import FailureDomain
from fuchsiarill.job import Execution, JobRecord, Urgency, Workload
from fuchsiarill.registry import Registry
from fuchsiarill.resources import Resources
from fuchsiarill.states import WorkerState

PlacementPolicy = Callable[
    [CoreState, JobRecord, Resources],
    WorkerView | None,
]

PLACEMENTS: Final[Registry[str, PlacementPolicy]] = Registry('placements')
# Limits that bound the cost of a search: eligible workers that are compared for
# the best choice, held workers of one reservation, and released workers.
_COMPARED_WORKERS_MAX_COUNT: Final = 12
_EXAMINED_HELD_MAX_COUNT: Final = 32
_EXAMINED_RELEASED_MAX_COUNT: Final = 8


def find_worker(
    state: CoreState,
    job: JobRecord,
    size: Resources,
) -> WorkerView | None:
    """Return the worker for a task by the placement policy of the contract.

    If the policy finds none, workers with released capacity are examined.
    """
    contract = state.accounts[job.spec.customer].contract
    if contract is None:
        return None
    worker = PLACEMENTS.lookup(contract.placement)(state, job, size)
    if worker is not None:
        return worker
    return find_released_worker(state, job, size)


@PLACEMENTS.register('first_fit')
def first_fit(
    state: CoreState,
    job: JobRecord,
    size: Resources,
) -> WorkerView | None:
    """Return the first worker with capacity; a baseline that scans them all."""
    for worker in state.workers.values():
        if worker.bucket is None or not is_eligible(worker, job):
            continue
        if size.fits_in(worker.free):
            return worker
    return None


@PLACEMENTS.register('pack')
def pack(
    state: CoreState,
    job: JobRecord,
    size: Resources,
) -> WorkerView | None:
    """Return the worker that would have the least free resources left.

    Only the first eligible workers of a search are compared. Replicas of a
    service are spread: being small, they would be packed on one worker and use
    up its slots.
    """
    if job.spec.workload is Workload.SERVICE:
        return spread(state, job, size)
    for accelerated in _accelerator_options(state, job, size):
        candidates = state.index.search(size, accelerated=accelerated)
        worker = _best_fit(candidates, job, size)
        if worker is not None:
            return worker
    return None


@PLACEMENTS.register('spread')
def spread(
    state: CoreState,
    job: JobRecord,
    size: Resources,
) -> WorkerView | None:
    """Spread services over failure domains and racks; pack other jobs."""
    if job.spec.workload is not Workload.SERVICE:
        return pack(state, job, size)
    replicas_by_domain, replicas_by_location = _count_replicas(state, job)
    for accelerated in _accelerator_options(state, job, size):
        domains_in_order = sorted(
            state.index.domains(accelerated),
            key=replicas_by_domain.__getitem__,
        )
        for domain in domains_in_order:
            candidates = state.index.search(
                size,
                accelerated=accelerated,
                domain=domain,
                fullest_first=False,
            )
            worker = _least_colocated(candidates, job, replicas_by_location)
            if worker is not None:
                return worker
    return None


def is_eligible(worker: WorkerView, job: JobRecord) -> bool:
    """Tell whether a job may use a worker, apart from its capacity."""
    if worker.worker_id in job.failed_on:
        return False
    if (job.spec.customer, job.spec.job_class) in worker.avoided_by:
        return False
    if worker.state is not WorkerState.PROBATION:
        return True
    # A task on a worker on probation may fail, so it must be cheap to repeat.
    # That of a job that fails everywhere would show nothing about the worker.
    if job.is_to_blame:
        return False
    return (
        job.spec.execution is Execution.IDEMPOTENT
        and job.spec.workload is Workload.BATCH
    )


def _accelerator_options(
    state: CoreState,
    job: JobRecord,
    size: Resources,
) -> Iterator[bool]:
    """Yield the kinds of workers to search, in order.

    `True` stands for workers with accelerators, `False` for those without.
    """
    if not size.accelerators_count:
        yield False
    if _may_use_accelerated(state, job, size):
        yield True


def _may_use_accelerated(
    state: CoreState,
    job: JobRecord,
    size: Resources,
) -> bool:
    account = state.accounts[job.spec.customer]
    urgent = job.spec.urgency is Urgency.URGENT
    return may_use_accelerated(state, account, size, urgent)


def _best_fit(
    candidates: Iterable[WorkerView],
    job: JobRecord,
    size: Resources,
) -> WorkerView | None:
    eligible_workers = (
        worker for worker in candidates if is_eligible(worker, job)
    )
    return min(
        islice(eligible_workers, _COMPARED_WORKERS_MAX_COUNT),
        key=lambda worker: _largest_free_ratio(worker, size),
        default=None,
    )


def _largest_free_ratio(worker: WorkerView, size: Resources) -> float:
    free = worker.free
    capacity = worker.entry.capacity
    return max(
        (free.processors_milli - size.processors_milli)
        / capacity.processors_milli,
        (free.memory_mb - size.memory_mb) / capacity.memory_mb,
        (free.slots_count - size.slots_count) / capacity.slots_count,
    )


def _least_colocated(
    candidates: Iterable[WorkerView],
    job: JobRecord,
    replicas_by_location: Counter[str],
) -> WorkerView | None:
    eligible_workers = (
        worker for worker in candidates if is_eligible(worker, job)
    )
    return min(
        islice(eligible_workers, _COMPARED_WORKERS_MAX_COUNT),
        key=lambda worker: (
            replicas_by_location[worker.entry.rack],
            replicas_by_location[worker.worker_id],
        ),
        default=None,
    )


def _count_replicas(
    state: CoreState,
    job: JobRecord,
) -> tuple[Counter[FailureDomain], Counter[str]]:
    """Count the replicas per failure domain, and per rack and worker."""
    replicas_by_domain: Counter[FailureDomain] = Counter()
    replicas_by_location: Counter[str] = Counter()
    for attempt in job.attempts.values():
        worker = state.workers.get(attempt.worker_id)
        if worker is None:
            continue
        replicas_by_domain[worker.entry.failure_domain] += 1
        replicas_by_location[worker.entry.rack] += 1
        replicas_by_location[worker.worker_id] += 1
    return replicas_by_domain, replicas_by_location


def find_released_worker(
    state: CoreState,
    job: JobRecord,
    size: Resources,
) -> WorkerView | None:
    """Return a worker with released capacity that the task fits.

    A search of the index examines a few workers of each bucket only, so
    workers with released capacity are examined separately.
    """
    for worker_id in islice(state.released, _EXAMINED_RELEASED_MAX_COUNT):
        worker = state.workers[worker_id]
        if worker.bucket is None or not size.fits_in(worker.free):
            continue
        if is_eligible(worker, job) and _may_use_accelerators_of(
            state, worker, job, size
        ):
            return worker
    return None


def _may_use_accelerators_of(
    state: CoreState,
    worker: WorkerView,
    job: JobRecord,
    size: Resources,
) -> bool:
    if not worker.has_accelerators:
        return True
    return _may_use_accelerated(state, job, size)


def find_held_worker(
    state: CoreState,
    job: JobRecord,
    size: Resources,
    now_ms: int,
) -> WorkerView | None:
    """Return a worker held for a reservation that the task does not delay.

    No worker is returned, with accelerators or without, to a task that may not
    use workers with accelerators.
    """
    if not _may_use_accelerated(state, job, size):
        return None
    run_time_ms = run_time_of(state, job.spec)
    for reservation in state.reservations.values():
        ends_in_time = (
            run_time_ms is not None
            and now_ms + run_time_ms <= reservation.starts_at_ms
        )
        worker = _held_worker_with_spare(
            state, job, size, reservation, ends_in_time
        )
        if worker is not None:
            return worker
    return None


def _held_worker_with_spare(
    state: CoreState,
    job: JobRecord,
    size: Resources,
    reservation: Reservation,
    ends_in_time: bool,
) -> WorkerView | None:
    """Return a held worker with capacity beyond what it must keep free.

    All held capacity must stay free, unless the task ends in time and only
    this reservation holds the worker.
    """
    for worker_id in islice(
        reservation.tasks_count_by_worker, _EXAMINED_HELD_MAX_COUNT
    ):
        worker = state.workers[worker_id]
        if worker.state is not WorkerState.READY or not is_eligible(
            worker, job
        ):
            continue
        required = size
        if not ends_in_time or len(worker.holds) > 1:
            required += capacity_held_up_to(worker, None)
        if required.fits_in(worker.free):
            return worker
    return None


def can_get_tasks(worker: WorkerView, now_ms: int) -> bool:
    """Tell whether a worker gets tasks, whether or not it is held for a job."""
    if worker.holds:
        return worker.state is WorkerState.READY
    return accepts_tasks(worker, now_ms)
