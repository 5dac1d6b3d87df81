"""Workers of a pool as their owner knows them."""

from collections.abc import Iterable, Iterator
from typing import Final

from fuchsiarill.graphs.model import (
    NO_END,
    BornMs,
    EndSequence,
    Label,
    TaskKey,
    WorkerEntry,
    WorkerListing,
)
from fuchsiarill.graphs.runs import Run
from fuchsiarill.graphs.states import StandingEvent, StandingState
from fuchsiarill.ids import WorkerId
from fuchsiarill.resources import NOTHING, Resources
from fuchsiarill.state_chart import StateChart, load_chart

_NO_BIRTH: Final = BornMs(0)
_RACK_LABELS_MIN: Final = 2


class WorkerView:
    """One worker: what it offers, what runs there and what it has said."""

    def __init__(self, worker: WorkerId, address: str) -> None:
        """Create a worker that has not answered yet."""
        self.worker = worker
        self.address = address
        self.entry: WorkerEntry | None = None
        self.standing = StandingState.UNCONFIRMED
        self.is_listed = False
        # In the durable fleet record, so that a next owner asks it too.
        self.is_recorded = False
        # Has answered this owner, or all that ran there has lapsed.
        self.is_accounted = False
        self.runs: dict[tuple[TaskKey, int], Run] = {}
        self.held = NOTHING
        self.filler_milli = 0
        self.serving_count = 0
        self.born_ms = _NO_BIRTH
        # Ends up to here have been taken into account.
        self.seen_end: EndSequence = NO_END
        # Ends up to here are durable, and the worker may forget them.
        self.durable_end: EndSequence = NO_END
        # Everything there has lapsed by then, if no renewal is sent.
        self.lapse_ms = 0
        self.reported_ms = 0
        # Worker's clock in the newest report.
        self.clock_ms = 0
        # Worker's clock minus the runtime clock, when last reported.
        self.clock_offset_ms: int | None = None
        self.leaving_since_ms: int | None = None
        self.failures_in_row: set[TaskKey] = set()
        self.suspensions_count = 0
        self.suspended_until_ms = 0

    @property
    def free(self) -> Resources:
        """Return what is not held."""
        if self.entry is None:
            return NOTHING
        return self.entry.capacity - self.held

    @property
    def labels(self) -> tuple[Label, ...]:
        """Return the worker's labels."""
        return self.entry.labels if self.entry else ()

    @property
    def rack(self) -> Label | None:
        """Return the rack, which is the last label."""
        if len(self.labels) < _RACK_LABELS_MIN:
            return None
        return self.labels[-1]

    def hold(self, run: Run, is_serving: bool) -> None:
        """Count a run against the worker."""
        self.runs[run.key] = run
        self.held += run.charge
        self.filler_milli += run.filler_milli
        self.serving_count += int(is_serving)

    def release(self, run: Run, is_serving: bool) -> None:
        """Give back what a run held."""
        if self.runs.pop(run.key, None) is None:
            return
        self.held -= run.charge
        self.filler_milli -= run.filler_milli
        self.serving_count -= int(is_serving)


class WorkerBook:
    """All workers that are listed or may still run something."""

    def __init__(self) -> None:
        """Start with no workers."""
        self._chart: StateChart[StandingState, StandingEvent] = load_chart(
            'standing',
            StandingState,
            StandingEvent,
            ('lose_runs',),
        )
        self._views: dict[WorkerId, WorkerView] = {}

    def __iter__(self) -> Iterator[WorkerView]:
        return iter(self._views.values())

    def __len__(self) -> int:
        return len(self._views)

    def find(self, worker: WorkerId) -> WorkerView | None:
        """Return a known worker."""
        return self._views.get(worker)

    def add(self, worker: WorkerId, address: str) -> WorkerView:
        """Return the worker, new if it was not known."""
        view = self._views.get(worker)
        if view is None:
            view = WorkerView(worker, address)
            self._views[worker] = view
        return view

    def remove(self, worker: WorkerId) -> None:
        """Forget a worker."""
        self._views.pop(worker, None)

    def step(self, view: WorkerView, event: StandingEvent) -> tuple[str, ...]:
        """Let an event happen to a worker; returns the chart's actions."""
        transition = self._chart.step(view.standing, event)
        if transition is None:
            return ()
        view.standing = transition.target
        return transition.actions

    def list_entries(self, entries: Iterable[WorkerEntry]) -> set[WorkerId]:
        """Take over the directory; returns the workers with a new life."""
        reborn: set[WorkerId] = set()
        listed: set[WorkerId] = set()
        for entry in entries:
            listed.add(entry.worker)
            view = self.add(entry.worker, entry.address)
            if view.born_ms < entry.born_ms:
                reborn.add(entry.worker)
            self._list_entry(view, entry)
        for view in self._views.values():
            view.is_listed = view.worker in listed
        return reborn

    def _list_entry(self, view: WorkerView, entry: WorkerEntry) -> None:
        view.entry = entry
        view.address = entry.address
        if entry.listing is WorkerListing.LEAVING:
            self.step(view, StandingEvent.LISTED_LEAVING)
            return
        self.step(view, StandingEvent.LISTED_LIVE)
