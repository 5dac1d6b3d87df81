"""Choice of workers for a unit by constraints, room and cost.

Room is capacity that is neither allocated to runs nor reserved for steps that
are scheduled earlier.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Final

from fuchsiarill.graphs import crash_trials, worker_suspension
from fuchsiarill.graphs.job_entries import JobEntry, StepEntry, Unit
from fuchsiarill.graphs.model import Step
from fuchsiarill.graphs.runs import NEVER_MS
from fuchsiarill.graphs.state import PoolState
from fuchsiarill.graphs.worker_table import WorkerView
from fuchsiarill.ids import WorkerId
from fuchsiarill.registry import Registry
from fuchsiarill.resources import NO_RESOURCES, Resources

# Weights of the costs of a worker; the cost `fit`, at most 1, has no weight.
_REMOTE_COST: Final = 4.0
_FAILED_THERE_COST: Final = 8.0
_INTERFERENCE_COST: Final = 2.0
_SLOWNESS_COST: Final = 0.5
# A step near its latest start may be late on a slow worker. A difference of 0.2
# in the learned slowness outweighs how well the task fits: after few samples it
# shows less than half of the difference of the workers.
_NEAR_SLOWNESS_COST: Final = 6.0
# A run beside a suspect may be lost with the worker; a lasting one is missed at
# once, and a young one makes the cause of a crash uncertain.
_NEIGHBOUR_COST: Final = 10.0
_YOUNG_NEIGHBOUR_COST: Final = 20.0
_LASTING_NEIGHBOUR_COST: Final = 1000.0


@dataclass(frozen=True, slots=True)
class PlacementRequest:
    """A unit to place, with its job and step, and the time of the decision."""

    entry: JobEntry
    step: StepEntry
    unit: Unit
    now_ms: int


_Cost = Callable[[PoolState, PlacementRequest, WorkerView], float]

COSTS: Final[Registry[str, _Cost]] = Registry('placement costs')


@COSTS.register('fit')
def _fit_cost(
    state: PoolState, request: PlacementRequest, view: WorkerView
) -> float:
    """Prefer the fullest workers, so that others keep room for large tasks."""
    if view.entry is None:
        return 0
    remaining = view.free - request.step.spec.charge
    share = remaining.dominant_share(view.entry.capacity)
    # Lasting tasks are spread, so that the loss of a worker affects few.
    return 1 - share if request.step.spec.is_lasting else share


@COSTS.register('remote')
def _remote_cost(
    state: PoolState,
    request: PlacementRequest,
    view: WorkerView,
) -> float:
    """Prefer workers in the rack that holds the data."""
    rack = request.step.spec.data_rack
    return _REMOTE_COST if rack and rack not in view.labels else 0


@COSTS.register('failed_there')
def _failed_there_cost(
    state: PoolState,
    request: PlacementRequest,
    view: WorkerView,
) -> float:
    """Avoid workers on which the unit has failed."""
    return _FAILED_THERE_COST * (view.worker in request.unit.failed_on)


@COSTS.register('harm')
def _interference_cost(
    state: PoolState, request: PlacementRequest, view: WorkerView
) -> float:
    """Keep filler and serving tasks apart, and fillers on idle processors."""
    spec = request.step.spec
    if spec.is_filler:
        contention = 0.0
        if view.entry is not None:
            spare_milli = view.free.processors_milli - view.filler_milli
            contention = float(spare_milli < spec.size.processors_milli)
        return _INTERFERENCE_COST * (bool(view.serving_count) + contention)
    if spec.target_tail_ms is not None:
        return _INTERFERENCE_COST * bool(view.filler_milli)
    return 0


@COSTS.register('slowness')
def _slowness_cost(
    state: PoolState,
    request: PlacementRequest,
    view: WorkerView,
) -> float:
    """Prefer workers on which tasks take less time.

    A step whose latest start is nearer than its run time, so that a run twice
    as long would be late, prefers them above a better fit.
    """
    entry, step = request.entry, request.step
    weight = _SLOWNESS_COST
    if not step.spec.is_lasting:
        slack_ms = entry.latest_start_ms(step) - request.now_ms
        if slack_ms < entry.expected_ms(step):
            weight = _NEAR_SLOWNESS_COST
    return weight * state.run_times.slowness(view.worker)


@COSTS.register('trial')
def _trial_cost(
    state: PoolState,
    request: PlacementRequest,
    view: WorkerView,
) -> float:
    """Keep suspects apart from other runs, first of all from lasting ones."""
    if not request.unit.is_suspect:
        return 0
    cost = 0.0
    for run in view.runs.values():
        cost += _NEIGHBOUR_COST
        if run.expected_end_ms >= NEVER_MS:
            cost += _LASTING_NEIGHBOUR_COST
        elif crash_trials.is_young(run):
            cost += _YOUNG_NEIGHBOUR_COST
    return cost


class UsableWorkers:
    """The workers that may get runs in one decision round.

    Every waiting step needs them, so they are found once a round.
    """

    def __init__(self, state: PoolState, now_ms: int) -> None:
        """Find the workers at the first request."""
        self._state = state
        self._now_ms = now_ms
        self._views: list[WorkerView] | None = None
        # For each charge of tasks, the workers that had room when it was asked
        # for first.
        self._with_room: dict[Resources, set[WorkerId]] = {}

    def for_step(self, step: StepEntry) -> list[WorkerView]:
        """Return the workers that may run a step, with or without room."""
        views = self._all_usable()
        label = step.spec.required_label
        if label is not None:
            views = [view for view in views if label in view.labels]
        denied = self._state.tickets.denied_workers(step.key)
        if not denied:
            return views
        return [view for view in views if view.worker not in denied]

    def with_room(self, charge: Resources) -> set[WorkerId]:
        """Return the workers on which a task may fit, apart from reservations.

        Room only shrinks during a round, so the workers are found once for all
        steps whose tasks have this charge, and none may be left of them.
        """
        workers = self._with_room.get(charge)
        if workers is None:
            workers = {
                view.worker
                for view in self._all_usable()
                if charge.fits_in(view.free)
            }
            self._with_room[charge] = workers
        return workers

    def _all_usable(self) -> list[WorkerView]:
        if self._views is None:
            self._views = [
                view for view in self._state.workers if self._is_usable(view)
            ]
        return self._views

    def _is_usable(self, view: WorkerView) -> bool:
        if not view.is_recorded or not view.is_listed:
            return False
        # A worker may start again as one of another kind, so the labels and the
        # capacity of an earlier incarnation do not hold.
        if view.lists_other_incarnation:
            return False
        return worker_suspension.can_receive_runs(view, self._now_ms)


def has_capacity(
    step: StepEntry,
    view: WorkerView,
    tentative: Resources,
    tentative_count: int = 0,
    end_ms: float = NEVER_MS,
) -> bool:
    """Tell whether a task fits on a worker that it leaves by `end_ms`.

    `tentative` is the charge of `tentative_count` tasks of the step that are
    placed on the worker in the same decision and not allocated yet.
    """
    per_worker_max = step.spec.per_worker_max
    if per_worker_max is not None:
        runs_count = step.runs_per_worker[view.worker] + tentative_count
        if runs_count >= per_worker_max:
            return False
    if not step.spec.charge.fits_in(view.free):
        return False
    free = view.free_for_step(step.key, step.rank_ms, end_ms)
    return (step.spec.charge + tentative).fits_in(free)


def place_gang(
    state: PoolState,
    request: PlacementRequest,
    candidates: list[WorkerView],
) -> list[WorkerView] | None:
    """Return a worker for each task of a gang, or `None` if not all fit.

    A rack-sensitive gang is placed in a single rack if possible.
    """
    step = request.step
    ranked = sorted(
        candidates,
        key=lambda view: cost_of(state, request, view),
    )
    if step.spec.is_rack_sensitive:
        for rack in _racks(ranked):
            in_rack = [view for view in ranked if view.rack == rack]
            placed = _place_gang(step, in_rack)
            if placed is not None:
                return placed
    return _place_gang(step, ranked)


def _place_gang(
    step: StepEntry,
    ranked: list[WorkerView],
) -> list[WorkerView] | None:
    placed: list[WorkerView] = []
    for view in ranked:
        remaining_count = step.spec.tasks_count - len(placed)
        placed.extend(_pack_worker(step, view, remaining_count))
    return placed if len(placed) == step.spec.tasks_count else None


def _pack_worker(
    step: StepEntry,
    view: WorkerView,
    count_max: int,
) -> list[WorkerView]:
    """Return the worker once per task that fits, at most `count_max`."""
    tentative = NO_RESOURCES
    packed: list[WorkerView] = []
    while len(packed) < count_max:
        if not has_capacity(step, view, tentative, len(packed)):
            break
        packed.append(view)
        tentative += step.spec.charge
    return packed


def cost_of(
    state: PoolState, request: PlacementRequest, view: WorkerView
) -> float:
    """Return the cost of running a task on a worker; the lowest is best."""
    return sum([cost(state, request, view) for cost in _ALL_COSTS])


def _racks(views: Iterable[WorkerView]) -> list[str | None]:
    return list(dict.fromkeys(view.rack for view in views))


def could_ever_fit(step: Step, view: WorkerView) -> bool:
    """Tell whether a task of the step fits on the worker when it is empty."""
    return view.entry is not None and step.charge.fits_in(view.entry.capacity)


# Looked up once, since each decision sums the costs of many workers.
_ALL_COSTS: Final = tuple(COSTS.lookup(name) for name in COSTS)
