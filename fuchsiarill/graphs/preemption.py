"""Makes room for urgent steps by stopping runs of lower priority.

Load: a burst of urgent steps with many tasks each while all workers are full.
A queue may preempt queues of lower priority, which have a higher `priority`
value. Only runs that save checkpoints are stopped: they lose little work and
resume later, on any worker. One decision makes room for all waiting units of a
step, since each stop takes up to 400 ms until its report. Room that is about to
be free without a stop is reserved instead.
"""

import heapq
from dataclasses import dataclass
from operator import attrgetter
from typing import Final

from fuchsiarill import events, graph_events
from fuchsiarill.graphs import ceiling_limits, stop_costs
from fuchsiarill.graphs.failure_blame import may_receive_unit
from fuchsiarill.graphs.job_entries import ExpectedRoom, StepEntry
from fuchsiarill.graphs.ordering import has_value
from fuchsiarill.graphs.placement import PlacementRequest
from fuchsiarill.graphs.run_actions import apply_run_event
from fuchsiarill.graphs.runs import Run
from fuchsiarill.graphs.state import PoolState
from fuchsiarill.graphs.states import RunEvent
from fuchsiarill.graphs.worker_table import WorkerView
from fuchsiarill.resources import Resources, fitting_count

# A step preempts when it has to start within this time to meet the objective:
# a stop takes up to 400 ms, its report and the start the rest.
_START_WITHIN_MS: Final = stop_costs.STOP_AND_RESTART_MS
# Room is reserved for this time, in which the stopped runs should end and the
# unit should start.
_RESERVATION_MS: Final = 1500
# The rounds of choices in one decision: the first may await the ends of runs on
# a worker, and the second stop others there.
_CHOICES_COUNT: Final = 2
# A step that could not get room for all units tries again after this time, the
# interval of the ticks.
_RETRY_MS: Final = 100


@dataclass(frozen=True, slots=True)
class _Preemption:
    """Runs to stop on a worker, and the number of tasks that then fit."""

    view: WorkerView
    victims: tuple[Run, ...]
    cost: float
    tasks_count: int

    @property
    def cost_per_task(self) -> float:
        """Return the cost for each task that gets room."""
        return self.cost / self.tasks_count


_by_cost_per_task: Final = attrgetter('cost_per_task')


def preempt(
    state: PoolState,
    request: PlacementRequest,
    candidates: list[WorkerView],
) -> bool:
    """Stop runs and reserve their room for the waiting units of a step.

    Returns whether room is reserved, by this call or by an earlier one whose
    reservation is still valid. No run is stopped on a worker that has room. A
    gang gets room for all of its tasks or for none.
    """
    step = request.step
    step.expected_room = [
        room for room in step.expected_room if room.expiry_ms > request.now_ms
    ]
    if request.now_ms < step.next_preemption_ms:
        return bool(step.expected_room)
    if not _may_preempt(request):
        return bool(step.expected_room)
    step.next_preemption_ms = request.now_ms + _RETRY_MS
    if _lacked_room_lately(state, request):
        return bool(step.expected_room)
    for _ in range(_CHOICES_COUNT):
        tasks_count = ceiling_limits.tasks_with_room(state, request.entry, step)
        missing_count = tasks_count - len(step.expected_room)
        if missing_count <= 0:
            break
        if not _make_room(state, request, candidates, missing_count):
            _note_lack_of_room(state, request)
            break
    return bool(step.expected_room)


def _lacked_room_lately(state: PoolState, request: PlacementRequest) -> bool:
    """Tell whether a step of the same size found no runs to stop just before.

    Under overload hundreds of steps of few sizes would look at all runs.
    """
    key = (request.entry.policy.priority, request.step.spec.charge)
    return request.now_ms < state.order.no_room_until_ms.get(key, 0)


def _note_lack_of_room(state: PoolState, request: PlacementRequest) -> None:
    """Note that no room can be made for a step that may use any worker."""
    spec = request.step.spec
    policy = request.entry.policy
    if request.step.expected_room or spec.is_gang or policy.advice is not None:
        return
    if spec.required_label is None and spec.per_worker_max is None:
        key = (policy.priority, spec.charge)
        until_ms = request.now_ms + _RETRY_MS
        state.order.no_room_until_ms[key] = until_ms


def _make_room(
    state: PoolState,
    request: PlacementRequest,
    candidates: list[WorkerView],
    missing_count: int,
) -> bool:
    """Make room for as many tasks as possible; returns whether for any."""
    preemptions = _choose_preemptions(state, request, candidates, missing_count)
    found_count = sum(preemption.tasks_count for preemption in preemptions)
    if request.step.spec.is_gang and found_count < missing_count:
        return False
    for preemption in preemptions:
        _execute_preemption(state, request, preemption)
    return bool(preemptions)


def update_rank(state: PoolState, step: StepEntry, rank_ms: int) -> None:
    """Set the rank of a step, and of the room that is reserved for it.

    Otherwise a step that has become late would keep its room from others that
    can still be in time.
    """
    if step.rank_ms == rank_ms:
        return
    step.rank_ms = rank_ms
    for room in step.expected_room:
        view = state.workers.find(room.worker)
        if view is not None:
            view.update_reservations(step)


def release_room(state: PoolState, step: StepEntry) -> None:
    """Release the room that a step without waiting units does not need."""
    for room in step.expected_room:
        view = state.workers.find(room.worker)
        if view is not None:
            view.drop_reservations(step.key)
            state.room_changes.add(room.worker)
    step.expected_room = []


def _may_preempt(request: PlacementRequest) -> bool:
    entry = request.entry
    if entry.latest_start_ms(request.step) - request.now_ms > _START_WITHIN_MS:
        return False
    return has_value(entry, request.step, request.now_ms)


def _choose_preemptions(
    state: PoolState,
    request: PlacementRequest,
    candidates: list[WorkerView],
    missing_count: int,
) -> list[_Preemption]:
    """Return the cheapest preemptions, at most one for each worker.

    The cost for each task rises as fewer tasks are left, so an option whose
    count has to be reduced is put back with its new cost.
    """
    found = [
        _find_preemption(state, request, view, missing_count)
        for view in candidates
    ]
    options = [
        (preemption.cost_per_task, position, preemption)
        for position, preemption in enumerate(found)
        if preemption is not None
    ]
    heapq.heapify(options)
    chosen: list[_Preemption] = []
    while options and missing_count > 0:
        _, rank, option = heapq.heappop(options)
        if option.tasks_count <= missing_count:
            chosen.append(option)
            missing_count -= option.tasks_count
            continue
        fewer = _find_preemption(state, request, option.view, missing_count)
        if fewer is not None:
            heapq.heappush(options, (fewer.cost_per_task, rank, fewer))
    return chosen


def _find_preemption(
    state: PoolState,
    request: PlacementRequest,
    view: WorkerView,
    count_max: int,
) -> _Preemption | None:
    """Return the runs whose end makes room on a worker at the lowest cost.

    Stops as few runs as one task needs and counts all tasks that then fit, or
    stops more where the cost for each task is lower. Returns `None` if the end
    of all preemptible runs is not enough, or if the worker has as many runs of
    the step as are allowed.
    """
    count_max = min(count_max, _permitted_count(request, view))
    if count_max <= 0:
        return None
    charge = request.step.spec.charge
    free = _soon_free(state, request, view)
    tasks_count = fitting_count(charge, free, count_max)
    if tasks_count:
        return _Preemption(view, (), 0, tasks_count)
    victims = stop_costs.find_victims(state, request, view)
    options: list[_Preemption] = []
    for position, victim in enumerate(victims, 1):
        free += victim[1].charge
        tasks_count = fitting_count(charge, free, count_max)
        if not tasks_count:
            continue
        surplus = free - charge.times(tasks_count)
        options.append(
            _without_surplus(view, victims[:position], surplus, tasks_count)
        )
        if tasks_count == count_max:
            break
    return min(options, key=_by_cost_per_task, default=None)


def _permitted_count(request: PlacementRequest, view: WorkerView) -> int:
    """Return how many more tasks of the step the worker may be given."""
    step = request.step
    if not step.spec.is_gang and not may_receive_unit(
        view, step, request.unit, request.now_ms
    ):
        return 0
    if step.spec.per_worker_max is None:
        return step.spec.tasks_count
    runs_count = step.runs_per_worker[view.worker]
    return step.spec.per_worker_max - runs_count - _expected_count(step, view)


def _expected_count(step: StepEntry, view: WorkerView) -> int:
    return sum(room.worker == view.worker for room in step.expected_room)


def _soon_free(
    state: PoolState, request: PlacementRequest, view: WorkerView
) -> Resources:
    """Return the room that a further task can soon use without a stop."""
    step = request.step
    free = view.free_for_step(step.key, step.rank_ms)
    if step.expected_room:
        free -= step.spec.charge.times(_expected_count(step, view))
    return free + stop_costs.soon_freed(state, request, view)


def _without_surplus(
    view: WorkerView,
    victims: list[tuple[float, Run]],
    surplus: Resources,
    tasks_count: int,
) -> _Preemption:
    """Return a preemption without the victims whose room is not needed.

    The victims are taken from the cheapest on, so that a dear one may have made
    cheaper ones unnecessary. `surplus` is what all of them free beyond need.
    """
    needed: list[Run] = []
    total_cost: float = 0
    for cost, run in reversed(victims):
        if run.charge.fits_in(surplus):
            surplus -= run.charge
            continue
        needed.append(run)
        total_cost += cost
    return _Preemption(view, tuple(needed), total_cost, tasks_count)


def _execute_preemption(
    state: PoolState, request: PlacementRequest, preemption: _Preemption
) -> None:
    duration_ms = stop_costs.AWAITED_MAX_MS
    if preemption.victims:
        duration_ms = _RESERVATION_MS
    step, view = request.step, preemption.view
    room = ExpectedRoom(view.worker, request.now_ms + duration_ms)
    for _ in range(preemption.tasks_count):
        step.expected_room.append(room)
        view.reserve(step, room.expiry_ms)
    stop_costs.await_ends(view, request.now_ms)
    for run in preemption.victims:
        _count_preemption(state, run)
        events.emit(
            graph_events.RUN_PREEMPTED,
            job=run.task.job,
            task=run.task.label,
            attempt=run.attempt,
            worker=run.worker,
            for_job=request.entry.job,
            priority=request.entry.policy.priority,
        )
        apply_run_event(state, run, RunEvent.STOP_ASKED, request.now_ms)


def _count_preemption(state: PoolState, run: Run) -> None:
    unit = state.active_unit(run)
    if unit is not None:
        unit.preemptions_count += 1
