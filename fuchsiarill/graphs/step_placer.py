"""Places the units of one step on the workers with the lowest costs.

Costs are computed once for each worker that has room, and again only for a
worker that got a unit, so that a step with many tasks takes little more time
than one with few. They are computed anew for each gang and for each unit that
has failed on a worker or is a suspect.
"""

import heapq

from fuchsiarill.graphs import crash_trials
from fuchsiarill.graphs.failure_blame import may_receive_unit
from fuchsiarill.graphs.placement import (
    PlacementRequest,
    UsableWorkers,
    cost_of,
    has_capacity,
    place_gang,
)
from fuchsiarill.graphs.state import PoolState
from fuchsiarill.graphs.worker_table import WorkerView
from fuchsiarill.resources import NO_RESOURCES
from fuchsiarill.run_times.run_times import HIGH_SHARE

_RankedWorker = tuple[float, int, WorkerView]


class StepPlacer:
    """Chooses workers for the units of one step within one decision."""

    def __init__(self, state: PoolState, usable: UsableWorkers) -> None:
        """Create a placer; the first request ranks the workers."""
        self._state = state
        self._usable = usable
        self._usable_workers: list[WorkerView] | None = None
        self._heap: list[_RankedWorker] | None = None
        # The worker chosen last; its cost has changed since.
        self._last_chosen: _RankedWorker | None = None

    def usable_workers(self, request: PlacementRequest) -> list[WorkerView]:
        """Return the workers that may run the step, with or without room."""
        if self._usable_workers is None:
            self._usable_workers = self._usable.for_step(request.step)
        return self._usable_workers

    def place(self, request: PlacementRequest) -> list[WorkerView] | None:
        """Return a worker for each task, or `None` if the unit does not fit."""
        if request.unit.is_suspect:
            return self._place_suspect(request)
        if request.step.spec.is_gang or request.unit.failed_on:
            return self._place_on(request, self._ready_workers(request))
        heap = self._ranked_workers(request)
        while heap:
            ranked = heap[0]
            if _can_start(self._state, request, ranked[-1]):
                self._last_chosen = ranked
                return [ranked[-1]]
            heapq.heappop(heap)
        return None

    def _place_suspect(
        self, request: PlacementRequest
    ) -> list[WorkerView] | None:
        """Place a unit with suspects where no other run has just started.

        The other members of a gang may start anywhere. If not enough such
        workers are found for a while, any others will do.
        """
        ready = self._ready_workers(request)
        quiet = [
            view
            for view in ready
            if crash_trials.is_quiet(view, request.now_ms)
        ]
        placed = self._place_on(request, quiet)
        if placed is None:
            placed = self._place_on(request, ready)
            if placed is None or not _may_start_trials(request, placed):
                return None
        request.unit.trial_wait_since_ms = None
        return placed

    def _place_on(
        self, request: PlacementRequest, views: list[WorkerView]
    ) -> list[WorkerView] | None:
        """Place a unit whose costs differ from those of its step, or a gang.

        The unit prefers workers on which it has not failed, or is a suspect.
        """
        if request.step.spec.is_gang:
            return place_gang(self._state, request, views)
        with_room = [
            view for view in views if _can_start(self._state, request, view)
        ]
        if not with_room:
            return None
        costs = [cost_of(self._state, request, view) for view in with_room]
        self._heap = None
        self._last_chosen = None
        return [with_room[costs.index(min(costs))]]

    def _ranked_workers(self, request: PlacementRequest) -> list[_RankedWorker]:
        if self._heap is None:
            self._heap = [
                (cost_of(self._state, request, view), position, view)
                for position, view in enumerate(self._with_room(request))
                if _can_start(self._state, request, view)
            ]
            heapq.heapify(self._heap)
        elif self._last_chosen is not None:
            _, position, view = self._last_chosen
            cost = cost_of(self._state, request, view)
            heapq.heapreplace(self._heap, (cost, position, view))
        self._last_chosen = None
        return self._heap

    def _with_room(self, request: PlacementRequest) -> list[WorkerView]:
        """Return the permitted workers that may have room."""
        with_room = self._usable.with_room(request.step.spec.charge)
        if not with_room:
            return []
        return [
            view
            for view in self._permitted_workers(request)
            if view.worker in with_room
        ]

    def _ready_workers(self, request: PlacementRequest) -> list[WorkerView]:
        """Return the permitted workers that may still get runs."""
        return [
            view
            for view in self._permitted_workers(request)
            if may_receive_unit(
                view, request.step, request.unit, request.now_ms
            )
        ]

    def _permitted_workers(self, request: PlacementRequest) -> list[WorkerView]:
        """Return the usable workers that need no ticket or have a valid one."""
        usable = self.usable_workers(request)
        if request.entry.policy.advice is None:
            return usable
        return self._state.tickets.ticketed_workers(
            request.step.key, usable, request.now_ms
        )


def _may_start_trials(
    request: PlacementRequest, placed: list[WorkerView]
) -> bool:
    """Tell whether suspects get quiet workers, or have waited long enough."""
    now_ms = request.now_ms
    quiet_count = sum(crash_trials.is_quiet(view, now_ms) for view in placed)
    if quiet_count >= len(request.unit.suspects):
        return True
    return crash_trials.has_waited_for_quiet(request.unit, now_ms)


def _can_start(
    state: PoolState, request: PlacementRequest, view: WorkerView
) -> bool:
    if not has_capacity(
        request.step, view, NO_RESOURCES
    ) and not _fits_before_reservations(state, request, view):
        return False
    return may_receive_unit(view, request.step, request.unit, request.now_ms)


def _fits_before_reservations(
    state: PoolState, request: PlacementRequest, view: WorkerView
) -> bool:
    """Tell whether a task would end before reserved room is needed."""
    if not any(
        reservation.start_ms > request.now_ms
        for reservation in view.reservations
    ):
        return False
    high_ms = state.quantile_ms(
        HIGH_SHARE, request.entry, request.step.spec, view
    )
    return has_capacity(
        request.step, view, NO_RESOURCES, end_ms=request.now_ms + high_ms
    )
