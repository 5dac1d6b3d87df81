"""Placement policies: which worker carries a task.

A policy is a function from the state, a job and the size of one of its tasks
to a worker; contracts name the policy to use.
"""

from collections import Counter
from collections.abc import Callable, Iterable, Iterator
from itertools import islice
from typing import Final

from fuchsiarill.core.accelerators import may_use_accelerated
from fuchsiarill.core.reservation import Reservation
from fuchsiarill.core.resource_accounting import admits
from fuchsiarill.core.sizes import run_time_of
from fuchsiarill.core.state import CoreState
from fuchsiarill.core.worker_holds import held_until
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
# Workers compared before the best of them is taken.
_COMPARED_COUNT: Final = 12
_HELD_LOOKED_AT_COUNT: Final = 32
_RELEASED_LOOKED_AT_COUNT: Final = 8


def find_worker(
    state: CoreState,
    job: JobRecord,
    size: Resources,
) -> WorkerView | None:
    """Return the worker for a task by the policy of its contract."""
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
    """Return the first worker with room; a plain scan for comparison."""
    for worker in state.workers.values():
        if worker.bucket is None or not suits(worker, job):
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
    """Return the worker whose scarcest resource is used up best.

    Replicas of a service are spread: their small sizes would gather on one
    worker and use up its slots.
    """
    if job.spec.workload is Workload.SERVICE:
        return spread(state, job, size)
    for accelerated in _kinds(state, job, size):
        found = state.index.search(size, accelerated=accelerated)
        worker = _tightest(found, job, size)
        if worker is not None:
            return worker
    return None


@PLACEMENTS.register('spread')
def spread(
    state: CoreState,
    job: JobRecord,
    size: Resources,
) -> WorkerView | None:
    """Spread services over failure domains and racks; pack all else."""
    if job.spec.workload is not Workload.SERVICE:
        return pack(state, job, size)
    domains, racks = _replicas(state, job)
    for accelerated in _kinds(state, job, size):
        ordered = sorted(
            state.index.domains(accelerated),
            key=domains.__getitem__,
        )
        for domain in ordered:
            found = state.index.search(
                size,
                accelerated=accelerated,
                domain=domain,
                fullest_first=False,
            )
            worker = _least_shared(found, job, racks)
            if worker is not None:
                return worker
    return None


def suits(worker: WorkerView, job: JobRecord) -> bool:
    """Tell whether a job may use a worker that has room."""
    if worker.worker_id in job.failed_on:
        return False
    if (job.spec.customer, job.spec.job_class) in worker.avoided_by:
        return False
    if worker.state is not WorkerState.PROBATION:
        return True
    # A probe may fail, so it must be cheap to repeat.
    return (
        job.spec.execution is Execution.IDEMPOTENT
        and job.spec.workload is Workload.BATCH
    )


def _kinds(
    state: CoreState,
    job: JobRecord,
    size: Resources,
) -> Iterator[bool]:
    """Yield whether to look at workers with accelerators, in order."""
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


def _tightest(
    found: Iterable[WorkerView],
    job: JobRecord,
    size: Resources,
) -> WorkerView | None:
    suitable = (worker for worker in found if suits(worker, job))
    return min(
        islice(suitable, _COMPARED_COUNT),
        key=lambda worker: _left_over(worker, size),
        default=None,
    )


def _left_over(worker: WorkerView, size: Resources) -> float:
    free = worker.free
    capacity = worker.entry.capacity
    return max(
        (free.processors_milli - size.processors_milli)
        / capacity.processors_milli,
        (free.memory_mb - size.memory_mb) / capacity.memory_mb,
        (free.slots_count - size.slots_count) / capacity.slots_count,
    )


def _least_shared(
    found: Iterable[WorkerView],
    job: JobRecord,
    racks: Counter[str],
) -> WorkerView | None:
    suitable = (worker for worker in found if suits(worker, job))
    return min(
        islice(suitable, _COMPARED_COUNT),
        key=lambda worker: (
            racks[worker.entry.rack],
            racks[worker.worker_id],
        ),
        default=None,
    )


def _replicas(
    state: CoreState,
    job: JobRecord,
) -> tuple[Counter[FailureDomain], Counter[str]]:
    domains: Counter[FailureDomain] = Counter()
    racks: Counter[str] = Counter()
    for attempt in job.attempts.values():
        worker = state.workers.get(attempt.worker_id)
        if worker is None:
            continue
        domains[worker.entry.failure_domain] += 1
        racks[worker.entry.rack] += 1
        racks[worker.worker_id] += 1
    return domains, racks


def find_released_worker(
    state: CoreState,
    job: JobRecord,
    size: Resources,
) -> WorkerView | None:
    """Return a worker on which room was released and not offered to all.

    The index looks at a few workers of each bucket; these are looked at in
    any case.
    """
    for worker_id in islice(state.released, _RELEASED_LOOKED_AT_COUNT):
        worker = state.workers[worker_id]
        if worker.bucket is None or not size.fits_in(worker.free):
            continue
        if suits(worker, job) and _is_left_to(state, worker, job, size):
            return worker
    return None


def _is_left_to(
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
    """Return a worker that waits for a gang and loses nothing by the task."""
    if not _may_use_accelerated(state, job, size):
        return None
    run_time_ms = run_time_of(state, job.spec)
    for reservation in state.reservations.values():
        ends_in_time = (
            run_time_ms is not None
            and now_ms + run_time_ms <= reservation.starts_at_ms
        )
        found = _unharmed_worker(state, job, size, reservation, ends_in_time)
        if found is not None:
            return found
    return None


def _unharmed_worker(
    state: CoreState,
    job: JobRecord,
    size: Resources,
    reservation: Reservation,
    ends_in_time: bool,
) -> WorkerView | None:
    """Return a held worker with room besides what it must keep."""
    for worker_id in islice(reservation.counts, _HELD_LOOKED_AT_COUNT):
        worker = state.workers[worker_id]
        if worker.state is not WorkerState.READY or not suits(worker, job):
            continue
        needed = size
        if not ends_in_time or len(worker.holds) > 1:
            needed += held_until(worker, None)
        if needed.fits_in(worker.free):
            return worker
    return None


def can_get_tasks(worker: WorkerView, now_ms: int) -> bool:
    """Tell whether a worker takes tasks, be it held for a gang or not."""
    if worker.holds:
        return worker.state is WorkerState.READY
    return admits(worker, now_ms)
