"""Decides when to request advice on which workers may run a step.

The advice service allows or denies a worker for a step. Its ticket, which is
valid for a limited time, permits one worker to run the step.
"""

import zlib
from typing import Final

from fuchsiarill.graphs import ceiling_limits
from fuchsiarill.graphs.effects import RequestAdvice
from fuchsiarill.graphs.job_entries import JobEntry, StepEntry
from fuchsiarill.graphs.model import AdvicePolicy, BornMs, StepKey
from fuchsiarill.graphs.ordering import rank_ms
from fuchsiarill.graphs.placement import (
    PlacementRequest,
    UsableWorkers,
    could_ever_fit,
)
from fuchsiarill.graphs.state import PoolState
from fuchsiarill.graphs.worker_table import WorkerView
from fuchsiarill.graphs.runs import NEVER_MS
from fuchsiarill.graphs.worker_waits import expected_wait_ms
from fuchsiarill.ids import WorkerId

# The advice service accepts at most this many workers in one request.
_WORKERS_MAX_COUNT: Final = 100
# Workers that a request for a narrow step names.
USUAL_WORKERS_COUNT: Final = 30
_WORKERS_PER_TASK_COUNT: Final = 3
# Time after which a request for lasting tasks goes before more urgent ones. The
# leases of a lost run, this time, the call and the start have to fit into 9 s,
# after which the task counts as lost.
_LASTING_QUEUE_MAX_MS: Final = 1000
# Time that a request may take longer so that it names workers ahead of need.
_AHEAD_SERVICE_MS: Final = 25
# Network time of a request and of the start order that follows it.
_TRANSIT_MS: Final = 150


def allowed_workers(
    state: PoolState,
    request: PlacementRequest,
    candidates: list[WorkerView],
) -> list[WorkerView]:
    """Return the candidates that the advice service is known to allow.

    A queue without advice allows all candidates.
    """
    if request.entry.policy.advice is None:
        return candidates
    allowed = state.tickets.allowed_workers(request.step.key)
    return [view for view in candidates if view.worker in allowed]


def request_advice(
    state: PoolState,
    request: PlacementRequest,
    candidates: list[WorkerView],
) -> bool:
    """Request tickets for candidates that have no valid one.

    Returns whether a request for the step is in progress or waits to be
    repeated after a failure. The request may wait for the service, so
    `choose_workers` chooses the workers again when the service is called.
    """
    if request.entry.policy.advice is None:
        return False
    step = request.step
    if not state.tickets.may_request(step.key, request.now_ms):
        return True
    if not _choose_candidates(state, request, candidates):
        return False
    state.tickets.request_sent(step.key, request.now_ms)
    state.effects.append(
        RequestAdvice(step.key, step.rank_ms, _due_ms(step, request.now_ms))
    )
    return True


def request_early_advice(
    state: PoolState,
    entry: JobEntry,
    step: StepEntry,
    usable: UsableWorkers,
    now_ms: int,
) -> None:
    """Request tickets for a step before its units may start."""
    step.rank_ms = rank_ms(state, entry, step, now_ms)
    unit = next(iter(step.waiting.values()))
    request = PlacementRequest(entry, step, unit, now_ms)
    request_advice(state, request, usable.for_step(step))


def choose_workers(
    state: PoolState, step_key: StepKey, now_ms: int
) -> dict[WorkerId, BornMs]:
    """Return the workers to name in a call that is about to be made.

    Empty if the step has no waiting unit, waits for the ceiling of its
    customer, or no worker needs a ticket.
    """
    entry = state.jobs.get(step_key.job)
    step = state.find_unfinished_step(step_key)
    if entry is None or step is None or not entry.is_active:
        return {}
    unit = next(iter(step.waiting.values()), None)
    if unit is None or not ceiling_limits.may_start_soon(state, entry, step):
        return {}
    request = PlacementRequest(entry, step, unit, now_ms)
    candidates = UsableWorkers(state, now_ms).for_step(step)
    return {
        view.worker: view.born_ms
        for view in _choose_candidates(state, request, candidates)
    }


def _due_ms(step: StepEntry, now_ms: int) -> float:
    """Return when a request has to be handled before more urgent ones.

    Lasting tasks are never late, so their rank does not improve with time.
    Without this time, requests of more urgent queues would delay theirs as long
    as the service is overloaded.
    """
    if step.spec.is_lasting:
        return now_ms + _LASTING_QUEUE_MAX_MS
    return NEVER_MS


def _choose_candidates(
    state: PoolState,
    request: PlacementRequest,
    candidates: list[WorkerView],
) -> list[WorkerView]:
    """Return the workers that a request names now, and reserve their room.

    These are workers that should have room when a task with a new ticket can
    start, and workers without an answer so far.
    """
    policy = request.entry.policy.advice
    if policy is None:
        return []
    step = request.step
    ticketed = {
        view.worker
        for view in state.tickets.ticketed_workers(
            step.key, candidates, request.now_ms
        )
    }
    unticketed = [view for view in candidates if view.worker not in ticketed]
    soon_available = _soon_available(state, request, unticketed, policy)
    without_answer = _workers_without_answer(state, request, unticketed)
    chosen = (soon_available + without_answer)[: _wanted_count(step)]
    if chosen:
        chosen += _available_later(state, request, unticketed, chosen)
        _reserve_room(
            request, soon_available, time_to_start_ms(policy, len(chosen))
        )
    return chosen


def _soon_available(
    state: PoolState,
    request: PlacementRequest,
    views: list[WorkerView],
    policy: AdvicePolicy,
) -> list[WorkerView]:
    """Return the allowed workers expected to have room at the earliest start.

    That is the start of a task after a request that names one worker. The
    workers are sorted by the expected time until they have room.
    """
    earliest_start_ms = time_to_start_ms(policy, 1)
    waits = {
        view.worker: expected_wait_ms(request, view)
        for view in allowed_workers(state, request, views)
    }
    soon_available = [
        view
        for view in views
        if waits.get(view.worker, NEVER_MS) <= earliest_start_ms
    ]
    return sorted(soon_available, key=lambda view: waits[view.worker])


def _available_later(
    state: PoolState,
    request: PlacementRequest,
    views: list[WorkerView],
    chosen: list[WorkerView],
) -> list[WorkerView]:
    """Return allowed workers that get room while a new ticket is valid.

    Load: a full pool, in which a step gets the room of one worker after the
    other. With a request for each of them, the requests of hundreds of waiting
    steps used up the service, and urgent steps waited seconds for theirs. Only
    as many are named as the service can add in little time.
    """
    policy = request.entry.policy.advice
    if policy is None:
        return []
    named = {view.worker for view in chosen}
    # Of a ticket that is used later, less than half of the validity is left.
    horizon_ms = policy.validity_ms // 2
    waits: list[tuple[float, int, WorkerView]] = []
    allowed = allowed_workers(state, request, views)
    for position, view in enumerate(allowed):
        if view.worker in named:
            continue
        wait_ms = expected_wait_ms(request, view)
        if wait_ms <= horizon_ms:
            waits.append((wait_ms, position, view))
    waits.sort()
    count = _ahead_count(policy, len(chosen))
    return [row[-1] for row in waits[:count]]


def _ahead_count(policy: AdvicePolicy, named_count: int) -> int:
    """Return how many workers a request may name ahead of need."""
    count_max = _WORKERS_MAX_COUNT - named_count
    if not policy.interval_ms:
        return count_max
    return min(count_max, int(_AHEAD_SERVICE_MS / policy.interval_ms))


def _workers_without_answer(
    state: PoolState,
    request: PlacementRequest,
    views: list[WorkerView],
) -> list[WorkerView]:
    """Return workers that the advice service has not allowed so far.

    The service has not denied any candidate, so it has not answered for these
    workers. Workers on which a task of the step can never fit are left out.
    Workers with room come first. The others begin at a place that depends on
    the step, since otherwise all steps would ask for the same workers and
    leave those idle that were added last.
    """
    step = request.step
    allowed = state.tickets.allowed_workers(step.key)
    unanswered = [
        view
        for view in views
        if view.worker not in allowed and could_ever_fit(step.spec, view)
    ]
    if not unanswered:
        return []
    first = zlib.crc32(step.key.job.encode()) % len(unanswered)
    rotated = unanswered[first:] + unanswered[:first]
    charge = step.spec.charge
    rotated.sort(key=lambda view: not charge.fits_in(view.free))
    return rotated


def _wanted_count(step: StepEntry) -> int:
    """Return how many workers a request names at most.

    The service takes time for each worker, and allows about half of them.
    """
    tasks_count = len(step.waiting)
    if step.spec.is_gang:
        tasks_count = step.spec.tasks_count
    wanted_count = tasks_count * _WORKERS_PER_TASK_COUNT
    return min(max(wanted_count, USUAL_WORKERS_COUNT), _WORKERS_MAX_COUNT)


def _reserve_room(
    request: PlacementRequest,
    views: list[WorkerView],
    duration_ms: int,
) -> None:
    """Reserve room on `views` until tasks of the step are expected to start.

    Otherwise a step that is scheduled later but already has a ticket would
    take the room repeatedly. Reserves at most one worker per waiting unit.
    """
    step = request.step
    for view in views:
        view.drop_reservations(step.key)
    for view in views[: len(step.waiting)]:
        view.reserve(step, request.now_ms + duration_ms)


def time_to_start_ms(policy: AdvicePolicy, workers_count: int) -> int:
    """Return the expected time from a request to the start of a task.

    The request names `workers_count` workers.
    """
    return int(policy.service_ms(workers_count)) + _TRANSIT_MS
