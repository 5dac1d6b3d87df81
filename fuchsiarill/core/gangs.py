"""Gang scheduling: all tasks of a job are placed together or none is.

A gang that does not fit yet reserves the workers on which it can start
earliest, up to a limited number of reservations. Holds on the same worker are
served in the order in which they were made, so that no two gangs wait for each
other. Other tasks use a held worker only if that is expected to delay no gang.
"""

from collections import Counter
from collections.abc import Iterator
from itertools import islice, repeat
from typing import Final

from fuchsiarill.core.accounts import Group
from fuchsiarill.core.placement import can_get_tasks, find_worker, is_eligible
from fuchsiarill.core.reservation import Reservation
from fuchsiarill.core.resource_accounting import refresh_index
from fuchsiarill.core.sizes import copies_in, run_time_of
from fuchsiarill.core.starting import start_next
from fuchsiarill.core.state import CoreState
from fuchsiarill.core.worker_holds import (
    capacity_held_up_to,
    change_hold,
    drop_reservation,
    has_capacity,
    hold_workers,
    is_reservation_valid,
    worker_lacking_capacity,
)
from fuchsiarill.core.worker_view import WorkerView
from fuchsiarill.ids import JobId, WorkerId
from fuchsiarill.job import JobRecord
from fuchsiarill.resources import NO_RESOURCES, Resources
from fuchsiarill.states import WorkerState

# Limits of the number of reservations: held capacity is idle until all of it
# is free, so a partition with few workers permits few reservations.
_RESERVATIONS_MIN_COUNT: Final = 2
_RESERVATIONS_MAX_COUNT: Final = 16
_WORKERS_PER_RESERVATION_COUNT: Final = 50
# Maximum number of waiting gangs of one group examined in a decision step.
_EXAMINED_GANGS_MAX_COUNT: Final = 4
# Maximum number of reservations, oldest first, of which a hold may move to a
# worker with released capacity.
_MOVED_RESERVATIONS_MAX_COUNT: Final = 2
# Workers examined for each task of a reservation, but at least the minimum in
# total, to bound the cost of a decision.
_CANDIDATES_PER_TASK_COUNT: Final = 16
_CANDIDATES_MIN_COUNT: Final = 512
# Shortest expected remaining run time of an attempt, also of an attempt that
# runs longer than expected.
_OVERDUE_END_MS: Final = 1_000

# The time at which a task can start, and its worker.
_PossibleStart = tuple[int, WorkerId]


def place_gang(
    state: CoreState,
    group: Group,
    size: Resources,
    now_ms: int,
) -> JobRecord | None:
    """Start one of the first gangs of a group, or make reservations."""
    for job_id in first_gangs(group):
        job = state.jobs[job_id]
        if _start_or_reserve(state, job, size, now_ms):
            return job
    return None


def reserve_for_task(
    state: CoreState,
    job: JobRecord,
    size: Resources,
    now_ms: int,
) -> None:
    """Reserve a worker for a task that smaller tasks would starve.

    The task is treated as a gang of one.
    """
    if job.job_id not in state.reservations:
        _reserve_workers(state, job, size, 1, now_ms)


def start_if_reserved(state: CoreState, job: JobRecord, now_ms: int) -> bool:
    """Start the tasks of a job if its reserved workers have the capacity.

    Returns whether the tasks were started.
    """
    reservation = state.reservations.get(job.job_id)
    if reservation is None:
        return False
    return _start_on_reserved(state, job, reservation, now_ms)


def first_gangs(group: Group) -> Iterator[JobId]:
    """Yield the gangs of a group that are examined in a decision step."""
    return islice(group.jobs, _EXAMINED_GANGS_MAX_COUNT)


def move_holds_to_released(state: CoreState, now_ms: int) -> None:
    """Move holds of the oldest reservations to released capacity.

    In exchange, the hold for one task on a worker that lacks capacity is
    released, so a job never holds more than it needs, and its start is never
    delayed.
    """
    if not state.reservations:
        return
    for worker_id in tuple(state.released):
        worker = state.workers[worker_id]
        if worker.state is not WorkerState.READY:
            continue
        for reservation in islice(
            state.reservations.values(), _MOVED_RESERVATIONS_MAX_COUNT
        ):
            _move_hold(state, reservation, worker, now_ms)


def _move_hold(
    state: CoreState,
    reservation: Reservation,
    worker: WorkerView,
    now_ms: int,
) -> None:
    job = state.jobs[reservation.job_id]
    spare_capacity = worker.free - capacity_held_up_to(worker, None)
    if not reservation.size.fits_in(spare_capacity) or not is_eligible(
        worker, job
    ):
        return
    full_worker = worker_lacking_capacity(state, reservation)
    if full_worker is None or full_worker is worker:
        return
    for changed_worker, tasks_count_change in ((full_worker, -1), (worker, 1)):
        change_hold(
            state, reservation, changed_worker, tasks_count_change, now_ms
        )


def _start_or_reserve(
    state: CoreState,
    job: JobRecord,
    size: Resources,
    now_ms: int,
) -> bool:
    if start_if_reserved(state, job, now_ms):
        return True
    chosen_workers = _choose_workers(state, job, size, now_ms)
    if len(chosen_workers) == len(job.waiting):
        for worker in chosen_workers:
            start_next(state, job, worker, size, now_ms)
        drop_reservation(state, job.job_id, now_ms)
        return True
    if job.job_id in state.reservations:
        return False
    reservation = _reserve_workers(state, job, size, len(job.waiting), now_ms)
    if reservation is None:
        return False
    return _start_on_reserved(state, job, reservation, now_ms)


def _start_on_reserved(
    state: CoreState,
    job: JobRecord,
    reservation: Reservation,
    now_ms: int,
) -> bool:
    if not is_reservation_valid(state, reservation):
        drop_reservation(state, job.job_id, now_ms)
        return False
    if not has_capacity(state, reservation):
        return False
    for worker_id, count in reservation.tasks_count_by_worker.items():
        for worker in repeat(state.workers[worker_id], count):
            start_next(state, job, worker, reservation.size, now_ms)
    drop_reservation(state, job.job_id, now_ms)
    return True


def _choose_workers(
    state: CoreState,
    job: JobRecord,
    size: Resources,
    now_ms: int,
) -> list[WorkerView]:
    """Return a worker for each task, or fewer if capacity does not suffice.

    The size is reserved on each chosen worker until all are chosen, so that
    the next choice takes it into account. No other decision is made in the
    meantime.
    """
    chosen_workers: list[WorkerView] = []
    while len(chosen_workers) < len(job.waiting):
        worker = find_worker(state, job, size)
        if worker is None:
            break
        worker.reserve(size)
        refresh_index(state, worker, now_ms)
        chosen_workers.append(worker)
    for worker in chosen_workers:
        worker.reserve(NO_RESOURCES - size)
        refresh_index(state, worker, now_ms)
    return chosen_workers


def _reserve_workers(
    state: CoreState,
    job: JobRecord,
    size: Resources,
    tasks_count: int,
    now_ms: int,
) -> Reservation | None:
    if len(state.reservations) >= _reservations_limit(state):
        return None
    starts: list[_PossibleStart] = []
    for worker in _candidate_workers(state, tasks_count, now_ms):
        if is_eligible(worker, job):
            starts.extend(_possible_starts_on(state, worker, size, now_ms))
    if len(starts) < tasks_count:
        return None
    starts.sort()
    earliest_starts = starts[:tasks_count]
    reservation = Reservation(
        job_id=job.job_id,
        size=size,
        tasks_count_by_worker=dict(
            Counter(worker_id for _time, worker_id in earliest_starts)
        ),
        starts_at_ms=earliest_starts[-1][0],
        created_at_ms=now_ms,
    )
    hold_workers(state, reservation, now_ms)
    return reservation


def _reservations_limit(state: CoreState) -> int:
    limit_by_workers = len(state.workers) // _WORKERS_PER_RESERVATION_COUNT
    return min(
        max(limit_by_workers, _RESERVATIONS_MIN_COUNT),
        _RESERVATIONS_MAX_COUNT,
    )


def _candidate_workers(
    state: CoreState,
    tasks_count: int,
    now_ms: int,
) -> Iterator[WorkerView]:
    usable_workers = (
        worker
        for worker in state.workers.values()
        if can_get_tasks(worker, now_ms)
    )
    limit = tasks_count * _CANDIDATES_PER_TASK_COUNT
    return islice(usable_workers, max(limit, _CANDIDATES_MIN_COUNT))


def _possible_starts_on(
    state: CoreState,
    worker: WorkerView,
    size: Resources,
    now_ms: int,
) -> list[_PossibleStart]:
    """Return when the worker has capacity for one, two and more tasks."""
    available = worker.free - capacity_held_up_to(worker, None)
    start_now = (now_ms, worker.worker_id)
    starts = list(repeat(start_now, copies_in(available, size)))
    for ends_at_ms, reserved in _expected_releases(state, worker, now_ms):
        available += reserved
        gained_count = copies_in(available, size) - len(starts)
        starts.extend(repeat((ends_at_ms, worker.worker_id), gained_count))
    return starts


def _expected_releases(
    state: CoreState,
    worker: WorkerView,
    now_ms: int,
) -> list[tuple[int, Resources]]:
    """Return when attempts are expected to end, and what they release.

    Attempts with an unlimited or unknown run time are left out.
    """
    releases = []
    for attempt_id in sorted(worker.attempts):
        attempt = state.attempts[attempt_id]
        run_time_ms = run_time_of(state, state.jobs[attempt.job_id].spec)
        if run_time_ms is None:
            continue
        ends_at_ms = attempt.placed_at_ms + run_time_ms
        # An attempt that is overdue or almost so is expected to end soon.
        ends_at_ms = max(ends_at_ms, now_ms + _OVERDUE_END_MS)
        releases.append((ends_at_ms, attempt.reserved))
    releases.sort(key=_release_time)
    return releases


def _release_time(release: tuple[int, Resources]) -> int:
    return release[0]
