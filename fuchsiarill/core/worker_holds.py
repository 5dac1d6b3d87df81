"""Holds the workers of reservations, and releases them.

A hold keeps free capacity of a worker for the job of a reservation.
"""

from fuchsiarill.core.reservation import Reservation
from fuchsiarill.core.resource_accounting import mark_released, refresh_index
from fuchsiarill.core.state import CoreState
from fuchsiarill.core.worker_view import WorkerView
from fuchsiarill.ids import JobId
from fuchsiarill.resources import NO_RESOURCES, Resources
from fuchsiarill.states import WorkerState


def hold_workers(
    state: CoreState,
    reservation: Reservation,
    now_ms: int,
) -> None:
    """Store a reservation and hold its workers."""
    state.reservations[reservation.job_id] = reservation
    for worker_id in reservation.tasks_count_by_worker:
        worker = state.workers[worker_id]
        count = reservation.tasks_count_by_worker[worker_id]
        worker.holds[reservation.job_id] = reservation.size.times(count)
        refresh_index(state, worker, now_ms)


def drop_reservation(state: CoreState, job_id: JobId, now_ms: int) -> None:
    """Release the workers held for a job, if there are any."""
    reservation = state.reservations.pop(job_id, None)
    if reservation is None:
        return
    for worker_id in reservation.tasks_count_by_worker:
        worker = state.workers.get(worker_id)
        if worker is None:
            continue
        worker.holds.pop(job_id, None)
        refresh_index(state, worker, now_ms)
        mark_released(state, worker)


def has_capacity(state: CoreState, reservation: Reservation) -> bool:
    """Tell whether every held worker has the capacity that it is held for.

    Capacity held for earlier reservations is not available.
    """
    return worker_lacking_capacity(state, reservation) is None


def worker_lacking_capacity(
    state: CoreState,
    reservation: Reservation,
) -> WorkerView | None:
    """Return a held worker that lacks capacity, if there is one."""
    for worker_id in reservation.tasks_count_by_worker:
        worker = state.workers[worker_id]
        if not capacity_held_up_to(worker, reservation.job_id).fits_in(
            worker.free
        ):
            return worker
    return None


def change_hold(
    state: CoreState,
    reservation: Reservation,
    worker: WorkerView,
    tasks_change: int,
    now_ms: int,
) -> None:
    """Hold a worker for `tasks_change` more tasks, or fewer if negative."""
    count = (
        reservation.tasks_count_by_worker.pop(worker.worker_id, 0)
        + tasks_change
    )
    if count:
        reservation.tasks_count_by_worker[worker.worker_id] = count
        capacity = reservation.size.times(count)
        worker.holds[reservation.job_id] = capacity
    else:
        worker.holds.pop(reservation.job_id)
    refresh_index(state, worker, now_ms)
    if tasks_change < 0:
        mark_released(state, worker)


def capacity_held_up_to(worker: WorkerView, job_id: JobId | None) -> Resources:
    """Return the capacity held for jobs up to and including `job_id`.

    With `None`, return the capacity held for all jobs.
    """
    total = NO_RESOURCES
    for holding_job_id, held_capacity in worker.holds.items():
        total += held_capacity
        if holding_job_id == job_id:
            break
    return total


def is_reservation_valid(state: CoreState, reservation: Reservation) -> bool:
    """Tell whether all held workers are still listed and ready."""
    for worker_id in reservation.tasks_count_by_worker:
        worker = state.workers.get(worker_id)
        if worker is None or worker.state is not WorkerState.READY:
            return False
    return True
