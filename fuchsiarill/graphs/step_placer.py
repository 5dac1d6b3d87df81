"""Places the units of one step, the best worker first.

Costs are computed once for each worker that has room, and anew only where a
unit has been placed: a wide step costs little more than a narrow one.
"""

import heapq

from fuchsiarill.graphs.job_book import JobEntry, StepEntry, Unit
from fuchsiarill.graphs.placement import (
    Request,
    cost_of,
    has_room,
    place_gang,
    usable_workers,
)
from fuchsiarill.graphs.state import PoolState
from fuchsiarill.graphs.worker_book import WorkerView
from fuchsiarill.graphs.worker_trust import is_trusted
from fuchsiarill.resources import NOTHING

_Ranked = tuple[float, int, WorkerView]


class StepPlacer:
    """Chooses workers for the waiting units of a step, one after the other."""

    def __init__(
        self,
        state: PoolState,
        entry: JobEntry,
        step: StepEntry,
        now_ms: int,
    ) -> None:
        """Start with all workers that may run the step."""
        self._state = state
        self._entry = entry
        self._step = step
        self._now_ms = now_ms
        self._usable: list[WorkerView] | None = None
        self._heap: list[_Ranked] | None = None
        # The worker that was chosen last; its cost has changed since.
        self._chosen: _Ranked | None = None

    def request(self, unit: Unit) -> Request:
        """Return the request to place a unit."""
        return Request(self._entry, self._step, unit, self._now_ms)

    def usable(self, unit: Unit) -> list[WorkerView]:
        """Return the workers that may run the step, full ones too."""
        if self._usable is None:
            self._usable = usable_workers(self._state, self.request(unit))
        return self._usable

    def place(self, unit: Unit) -> list[WorkerView] | None:
        """Return a worker for each task of the unit, or `None`."""
        if self._step.step.is_gang:
            request = self.request(unit)
            return place_gang(self._state, request, self._holders(unit))
        if unit.failed_on:
            return self._place_again(unit)
        heap = self._ranked(unit)
        while heap:
            ranked = heap[0]
            if self._may_take(ranked[-1]):
                self._chosen = ranked
                return [ranked[-1]]
            heapq.heappop(heap)
        return None

    def _place_again(self, unit: Unit) -> list[WorkerView] | None:
        """Place a unit that avoids the workers on which it has failed."""
        request = self.request(unit)
        views = [view for view in self._holders(unit) if self._may_take(view)]
        if not views:
            return None
        costs = [cost_of(self._state, request, view) for view in views]
        self._heap = None
        self._chosen = None
        return [views[costs.index(min(costs))]]

    def _ranked(self, unit: Unit) -> list[_Ranked]:
        request = self.request(unit)
        if self._heap is None:
            self._heap = [
                (cost_of(self._state, request, view), position, view)
                for position, view in enumerate(self._holders(unit))
                if self._may_take(view)
            ]
            heapq.heapify(self._heap)
        elif self._chosen is not None:
            _, position, view = self._chosen
            cost = cost_of(self._state, request, view)
            heapq.heapreplace(self._heap, (cost, position, view))
        self._chosen = None
        return self._heap

    def _may_take(self, view: WorkerView) -> bool:
        return has_room(self._step, view, NOTHING) and is_trusted(
            view,
            self._now_ms,
        )

    def _holders(self, unit: Unit) -> list[WorkerView]:
        """Return the workers that may be given the unit at once."""
        usable = self.usable(unit)
        if self._entry.policy.advice is None:
            return usable
        tickets = self._state.tickets
        return [
            view
            for view in usable
            if tickets.ticket_for(self._step.key, view, self._now_ms)
        ]
