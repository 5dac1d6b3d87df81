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
    """Remove the reservation of a job, if any, and release its workers."""
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
    """Tell whether each held worker has the free capacity to start the job.

    Capacity held for jobs whose holds were added earlier is not available.
    """
    return worker_lacking_capacity(state, reservation) is None


def worker_lacking_capacity(
    state: CoreState,
    reservation: Reservation,
) -> WorkerView | None:
    """Return the first held worker that lacks capacity, or `None`."""
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
    tasks_count_change: int,
    now_ms: int,
) -> None:
    """Change the number of tasks for which a worker is held.

    If `tasks_count_change` is negative, the worker is held for fewer tasks.
    """
    count = (
        reservation.tasks_count_by_worker.pop(worker.worker_id, 0)
        + tasks_count_change
    )
    if count:
        reservation.tasks_count_by_worker[worker.worker_id] = count
        capacity = reservation.size.times(count)
        worker.holds[reservation.job_id] = capacity
    else:
        worker.holds.pop(reservation.job_id)
    refresh_index(state, worker, now_ms)
    if tasks_count_change < 0:
        mark_released(state, worker)


def capacity_held_up_to(worker: WorkerView, job_id: JobId | None) -> Resources:
    """Return the capacity held for jobs up to and including `job_id`.

    The order is that in which the holds were added to the worker, not that of
    the reservations: a moved hold goes last. With `None`, return the capacity
    held for all jobs.
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
