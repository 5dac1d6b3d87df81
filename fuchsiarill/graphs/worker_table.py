"""Workers of a pool as their owner knows them."""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from typing import Final

from fuchsiarill.graphs.job_entries import StepEntry
from fuchsiarill.graphs.model import (
    NO_END,
    BornMs,
    EndSequence,
    Label,
    StepKey,
    TaskKey,
    WorkerEntry,
    WorkerListing,
)
from fuchsiarill.graphs.runs import Run
from fuchsiarill.graphs.states import AvailabilityEvent, AvailabilityState
from fuchsiarill.ids import WorkerId
from fuchsiarill.resources import NOTHING, Resources
from fuchsiarill.state_chart import StateChart, load_chart

_NO_BIRTH: Final = BornMs(0)
_RACK_LABELS_MIN: Final = 2


@dataclass(frozen=True, slots=True)
class Reservation:
    """Room that is kept for a step until `expiry_ms`.

    Steps with a lower rank are served first and do not regard it.
    """

    step: StepKey
    rank_ms: int
    charge: Resources
    expiry_ms: int


@dataclass(slots=True)
class FailureRecord:
    """What the ends on a worker say of it."""

    failures_in_row: set[TaskKey] = field(default_factory=set)
    suspensions_count: int = 0
    suspended_until_ms: int = 0


@dataclass(slots=True)
class WorkerView:
    """One worker: what it offers, what runs there and what it has said."""

    worker: WorkerId
    address: str
    entry: WorkerEntry | None = None
    availability: AvailabilityState = AvailabilityState.UNCONFIRMED
    is_listed: bool = False
    # In the durable fleet record, so that a next owner asks it too.
    is_recorded: bool = False
    # Has answered this owner, or all that ran there has lapsed.
    is_accounted: bool = False
    runs: dict[tuple[TaskKey, int], Run] = field(default_factory=dict)
    held: Resources = NOTHING
    # What the worker offers and is not held.
    free: Resources = NOTHING
    reservations: list[Reservation] = field(default_factory=list)
    filler_milli: int = 0
    serving_count: int = 0
    born_ms: BornMs = _NO_BIRTH
    # Ends up to here have been taken into account.
    seen_end: EndSequence = NO_END
    # Ends up to here are durable, and the worker may forget them.
    durable_end: EndSequence = NO_END
    # Everything there has lapsed by then, if no renewal is sent.
    lease_expiry_ms: int = 0
    reported_ms: int = 0
    # Worker's clock in the newest report.
    clock_ms: int = 0
    leaving_since_ms: int | None = None
    failure_record: FailureRecord = field(default_factory=FailureRecord)

    def free_for(self, step: StepKey, rank_ms: int) -> Resources:
        """Return what is neither held nor kept for a step before this one."""
        free = self.free
        for reservation in self.reservations:
            if reservation.step == step or reservation.rank_ms > rank_ms:
                continue
            free -= reservation.charge
        return free

    def reserve(self, step: StepEntry, expiry_ms: int) -> None:
        """Keep room for one task of a step."""
        self.reservations.append(
            Reservation(step.key, step.rank_ms, step.step.charge, expiry_ms),
        )

    def drop_reservations(self, step: StepKey) -> None:
        """Keep no more room for a step."""
        self.reservations = [
            reservation
            for reservation in self.reservations
            if reservation.step != step
        ]

    def take_reservation(self, step: StepKey) -> None:
        """Drop one reservation of a step whose task starts."""
        for reservation in self.reservations:
            if reservation.step == step:
                self.reservations.remove(reservation)
                return

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
        self._count_free()
        self.filler_milli += run.filler_milli
        self.serving_count += int(is_serving)

    def release(self, run: Run, is_serving: bool) -> None:
        """Give back what a run held."""
        if self.runs.pop(run.key, None) is None:
            return
        self.held -= run.charge
        self._count_free()
        self.filler_milli -= run.filler_milli
        self.serving_count -= int(is_serving)

    def list_entry(self, entry: WorkerEntry) -> None:
        """Take over the entry of the directory."""
        self.entry = entry
        self.address = entry.address
        self._count_free()

    def _count_free(self) -> None:
        if self.entry is not None:
            self.free = self.entry.capacity - self.held


class WorkerTable:
    """All workers that are listed or may still run something."""

    def __init__(self) -> None:
        """Start with no workers."""
        self._chart: StateChart[AvailabilityState, AvailabilityEvent] = (
            load_chart(
                'worker_availability',
                AvailabilityState,
                AvailabilityEvent,
            )
        )
        self._views: dict[WorkerId, WorkerView] = {}

    def __iter__(self) -> Iterator[WorkerView]:
        return iter(self._views.values())

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

    def step(self, view: WorkerView, event: AvailabilityEvent) -> None:
        """Let an event happen to a worker."""
        transition = self._chart.step(view.availability, event)
        if transition is not None:
            view.availability = transition.target

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
        view.list_entry(entry)
        if entry.listing is WorkerListing.LEAVING:
            self.step(view, AvailabilityEvent.LISTED_LEAVING)
            return
        self.step(view, AvailabilityEvent.LISTED_LIVE)
