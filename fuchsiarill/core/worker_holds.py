"""Workers held for gangs: checks, and letting go of them."""

from fuchsiarill.core.reservation import Reservation
from fuchsiarill.core.resource_accounting import note_room, refresh
from fuchsiarill.core.state import CoreState
from fuchsiarill.core.worker_view import WorkerView
from fuchsiarill.ids import JobId
from fuchsiarill.resources import NOTHING, Resources
from fuchsiarill.states import WorkerState


def hold_workers(
    state: CoreState,
    reservation: Reservation,
    now_ms: int,
) -> None:
    """Keep the workers of a reservation from getting other tasks."""
    state.reservations[reservation.job_id] = reservation
    for worker_id in reservation.counts:
        worker = state.workers[worker_id]
        count = reservation.counts[worker_id]
        worker.holds[reservation.job_id] = reservation.size.times(count)
        refresh(state, worker, now_ms)


def drop_reservation(state: CoreState, job_id: JobId, now_ms: int) -> None:
    """Let go of the workers held for a job, if there are any."""
    reservation = state.reservations.pop(job_id, None)
    if reservation is None:
        return
    for worker_id in reservation.counts:
        worker = state.workers.get(worker_id)
        if worker is None:
            continue
        worker.holds.pop(job_id, None)
        refresh(state, worker, now_ms)
        note_room(state, worker)


def has_room(state: CoreState, reservation: Reservation) -> bool:
    """Tell whether every held worker has the room it is held for.

    What was held before for others is kept for them.
    """
    return worker_without_room(state, reservation) is None


def worker_without_room(
    state: CoreState,
    reservation: Reservation,
) -> WorkerView | None:
    """Return a held worker that has no room yet, if there is one."""
    for worker_id in reservation.counts:
        worker = state.workers[worker_id]
        if not held_until(worker, reservation.job_id).fits_in(worker.free):
            return worker
    return None


def change_hold(
    state: CoreState,
    reservation: Reservation,
    worker: WorkerView,
    change: int,
    now_ms: int,
) -> None:
    """Hold room for more or fewer tasks on a worker."""
    count = reservation.counts.pop(worker.worker_id, 0) + change
    if count:
        reservation.counts[worker.worker_id] = count
        needed = reservation.size.times(count)
        worker.holds[reservation.job_id] = needed
    else:
        worker.holds.pop(reservation.job_id)
    refresh(state, worker, now_ms)
    if change < 0:
        note_room(state, worker)


def held_until(worker: WorkerView, job_id: JobId | None) -> Resources:
    """Return what is held for jobs up to this one, or for all of them."""
    needed = NOTHING
    for held_for, held in worker.holds.items():
        needed += held
        if held_for == job_id:
            break
    return needed


def is_valid(state: CoreState, reservation: Reservation) -> bool:
    """Tell whether all held workers may still get the tasks."""
    for worker_id in reservation.counts:
        worker = state.workers.get(worker_id)
        if worker is None or worker.state is not WorkerState.READY:
            return False
    return True
