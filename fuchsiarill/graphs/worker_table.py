"""State that the owner of a pool keeps about the workers."""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field, replace
from typing import Final

from fuchsiarill.graphs.fencing import BORN_UNKNOWN_MS
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
from fuchsiarill.graphs.runs import NEVER_MS, Run
from fuchsiarill.graphs.states import (
    AvailabilityEvent,
    AvailabilityState,
    LeaseBound,
)
from fuchsiarill.ids import NO_TOKEN, FencingToken, WorkerId
from fuchsiarill.resources import NO_RESOURCES, Resources
from fuchsiarill.state_chart import StateChart, load_chart

_RACK_LABELS_MIN_COUNT: Final = 2


@dataclass(frozen=True, slots=True)
class Reservation:
    """Room that is reserved for a step until `expiry_ms`.

    Steps with a lower rank are scheduled first and ignore it.
    """

    step: StepKey
    rank_ms: int
    charge: Resources
    expiry_ms: int
    # The step is not expected to start before, so that others may use the room
    # until then.
    start_ms: float = 0


@dataclass(slots=True)
class FailureRecord:
    """Recent failures on a worker and its suspensions."""

    consecutive_failures: set[TaskKey] = field(default_factory=set)
    suspensions_count: int = 0
    suspended_until_ms: int = 0


@dataclass(slots=True)
class WorkerView:
    """State of one worker: capacity, runs, reservations and last report."""

    worker: WorkerId
    address: str
    entry: WorkerEntry | None = None
    availability: AvailabilityState = AvailabilityState.UNCONFIRMED
    is_listed: bool = False
    # When the directory has listed it first at its address.
    at_address_since_ms: int = 0
    # In the durable fleet record, so that the next owner contacts it too.
    is_recorded: bool = False
    # The incarnation in that record; 0 before the first report.
    recorded_born_ms: BornMs = BORN_UNKNOWN_MS
    # Has reported to this owner, or all its task leases have expired.
    is_reconciled: bool = False
    runs: dict[tuple[TaskKey, int], Run] = field(default_factory=dict)
    allocated: Resources = NO_RESOURCES
    # Capacity minus `allocated`; nothing without a directory entry.
    free: Resources = NO_RESOURCES
    reservations: list[Reservation] = field(default_factory=list)
    # Idle processors that its filler tasks can use, in thousandths of a
    # processor.
    filler_milli: int = 0
    # Number of runs of tasks with a target for the tail latency.
    serving_count: int = 0
    # Number of runs on trial.
    trials_count: int = 0
    born_ms: BornMs = BORN_UNKNOWN_MS
    # The present incarnation, earlier ones, and those that the directory has
    # listed and that have been called since.
    known_incarnations: set[BornMs] = field(default_factory=set)
    # The newest token that a report has answered.
    token: FencingToken = NO_TOKEN
    # Sequence number of the last end that has been applied.
    seen_end: EndSequence = NO_END
    # Ends up to this number are durable; the worker may delete them.
    durable_end: EndSequence = NO_END
    # The task leases of confirmed runs have expired after this time; each start
    # order, and each renewal that extends the leases, moves it.
    confirmed_expiry_ms: int = 0
    # The same for other runs. A later incarnation, of which the owner does not
    # know, may have executed their start orders.
    unconfirmed_expiry_ms: int = 0
    # The same for unconfirmed runs whose start orders named a ticket; see
    # `lease_bound`.
    ticketed_expiry_ms: int = 0
    reported_ms: int = 0
    # When the renewal that the last report answers was sent.
    report_requested_ms: int = 0
    # When the present incarnation reported first; 0 before.
    in_touch_since_ms: int = 0
    # When a call failed first since the last report; `None` while none has.
    silent_since_ms: int | None = None
    # The worker's clock in the latest report.
    clock_ms: int = 0
    # When the present incarnation was listed as leaving first.
    leaving_since_ms: int | None = None
    failure_record: FailureRecord = field(default_factory=FailureRecord)

    def free_for_step(
        self, step: StepKey, rank_ms: int, end_ms: float = NEVER_MS
    ) -> Resources:
        """Return the room that a step of this rank can use.

        Reservations of steps that are scheduled earlier are subtracted, unless
        a task of the step would end, at `end_ms`, before they are needed.
        """
        free = self.free
        for reservation in self.reservations:
            if reservation.step == step or reservation.rank_ms > rank_ms:
                continue
            if end_ms <= reservation.start_ms:
                continue
            free -= reservation.charge
        return free

    def reserve(
        self, step: StepEntry, expiry_ms: int, start_ms: float = 0
    ) -> None:
        """Reserve room for one task of a step that may start at `start_ms`."""
        self.reservations.append(
            Reservation(
                step.key, step.rank_ms, step.spec.charge, expiry_ms, start_ms
            ),
        )

    def update_reservations(self, step: StepEntry) -> None:
        """Set the rank of all reservations of a step to its present rank."""
        self.reservations = [
            replace(reservation, rank_ms=step.rank_ms)
            if reservation.step == step.key
            else reservation
            for reservation in self.reservations
        ]

    def is_away_from(self, data_rack: Label | None) -> bool:
        """Tell whether the worker is outside the rack that holds the data."""
        return data_rack is not None and data_rack not in self.labels

    def drop_reservations(self, step: StepKey) -> None:
        """Remove all reservations of a step."""
        if not self.reservations:
            return
        self.reservations = [
            reservation
            for reservation in self.reservations
            if reservation.step != step
        ]

    def consume_reservation(self, step: StepKey) -> None:
        """Remove one reservation of a step, for a task that starts."""
        for reservation in self.reservations:
            if reservation.step == step:
                self.reservations.remove(reservation)
                return

    @property
    def reported_born_ms(self) -> BornMs:
        """Return the last incarnation that has reported, also to others."""
        return self.born_ms if self.in_touch_since_ms else self.recorded_born_ms

    @property
    def lease_expiry_ms(self) -> int:
        """Return the time after which all task leases have expired."""
        return max(
            self.confirmed_expiry_ms,
            self.ticketed_expiry_ms,
            self.unconfirmed_expiry_ms,
        )

    def lease_bound(self, run: Run) -> LeaseBound:
        """Return what bounds the task lease of a run.

        Only the incarnation that has the ticket executes an order with one. It
        may be a later one than the owner knows. If the worker may have
        restarted before the order, late calls may extend the lease there.
        """
        if run.is_confirmed:
            return LeaseBound.CALLS
        if run.ticket_expiry_ms is None or run.is_restart_suspected:
            return LeaseBound.LATE_CALLS
        return LeaseBound.TICKETS

    def expiry_of(self, run: Run) -> int:
        """Return the time after which the task lease of a run has expired."""
        match self.lease_bound(run):
            case LeaseBound.CALLS:
                return self.confirmed_expiry_ms
            case LeaseBound.TICKETS:
                return max(self.confirmed_expiry_ms, self.ticketed_expiry_ms)
            case LeaseBound.LATE_CALLS:
                return max(self.unconfirmed_expiry_ms, self.ticketed_expiry_ms)

    def extend_ticketed(self, expiry_ms: int) -> None:
        """Move the expiry for starts with tickets forward, never back."""
        self.ticketed_expiry_ms = max(self.ticketed_expiry_ms, expiry_ms)

    def extend_unconfirmed(self, expiry_ms: int) -> None:
        """Move the expiry for unconfirmed runs forward, never back."""
        self.unconfirmed_expiry_ms = max(self.unconfirmed_expiry_ms, expiry_ms)

    def set_expiry(self, expiry_ms: int) -> None:
        """Set the time after which all task leases have expired."""
        self.confirmed_expiry_ms = expiry_ms
        self.ticketed_expiry_ms = expiry_ms
        self.unconfirmed_expiry_ms = expiry_ms

    @property
    def labels(self) -> tuple[Label, ...]:
        """Return the labels in the directory entry, none without an entry."""
        return self.entry.labels if self.entry else ()

    @property
    def rack(self) -> Label | None:
        """Return the rack, which is the last of at least two labels."""
        if len(self.labels) < _RACK_LABELS_MIN_COUNT:
            return None
        return self.labels[-1]

    def allocate(self, run: Run, is_serving: bool) -> None:
        """Add a run and allocate its charge."""
        self.runs[run.key] = run
        self.allocated += run.charge
        self._update_free()
        self.filler_milli += run.filler_milli
        self.serving_count += int(is_serving)
        self.trials_count += int(run.is_on_trial)

    def release(self, run: Run, is_serving: bool) -> None:
        """Remove a run and release its charge; an unknown run is ignored."""
        if self.runs.pop(run.key, None) is None:
            return
        self.allocated -= run.charge
        self._update_free()
        self.filler_milli -= run.filler_milli
        self.serving_count -= int(is_serving)
        self.trials_count -= int(run.is_on_trial)

    def begin_trial(self, run: Run) -> None:
        """Put a run of the worker on trial."""
        self.trials_count += int(not run.is_on_trial)
        run.is_on_trial = True

    def end_trial(self, run: Run) -> None:
        """End the trial of a run; without a trial nothing changes."""
        self.trials_count -= int(run.is_on_trial)
        run.is_on_trial = False

    @property
    def lists_other_incarnation(self) -> bool:
        """Tell whether the entry is not of the incarnation that has reported.

        Either may be the later one.
        """
        if self.entry is None or BORN_UNKNOWN_MS in {
            self.entry.born_ms,
            self.born_ms,
        }:
            return False
        return self.entry.born_ms != self.born_ms

    def apply_entry(self, entry: WorkerEntry, now_ms: int) -> None:
        """Set the directory entry, and the address and capacity from it."""
        if self.entry is None or self.address != entry.address:
            self.at_address_since_ms = now_ms
        self.entry = entry
        self.address = entry.address
        self._update_free()

    def _update_free(self) -> None:
        if self.entry is not None:
            self.free = self.entry.capacity - self.allocated


class WorkerTable:
    """All workers that are listed or may still have runs."""

    def __init__(self) -> None:
        """Create an empty table."""
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
        """Return the worker, or `None` if it is unknown."""
        return self._views.get(worker)

    def add(self, worker: WorkerId, address: str) -> WorkerView:
        """Return the worker; an unknown one is added with `address`."""
        view = self._views.get(worker)
        if view is None:
            view = WorkerView(worker, address)
            self._views[worker] = view
        return view

    def remove(self, worker: WorkerId) -> None:
        """Remove a worker; an unknown one is ignored."""
        self._views.pop(worker, None)

    def apply_event(self, view: WorkerView, event: AvailabilityEvent) -> None:
        """Apply an event to a worker.

        An event without a transition in the current state is ignored.
        """
        transition = self._chart.step(view.availability, event)
        if transition is not None:
            view.availability = transition.target

    def update_entries(
        self, entries: Iterable[WorkerEntry], now_ms: int
    ) -> list[WorkerView]:
        """Apply the complete list of the pool's directory entries.

        Returns the workers whose entry is not of the present incarnation.
        """
        unmatched: list[WorkerView] = []
        listed: set[WorkerId] = set()
        for entry in entries:
            listed.add(entry.worker)
            view = self.add(entry.worker, entry.address)
            self._apply_listing(view, entry, now_ms)
            if view.born_ms != entry.born_ms:
                unmatched.append(view)
        for view in self._views.values():
            view.is_listed = view.worker in listed
        return unmatched

    def _apply_listing(
        self, view: WorkerView, entry: WorkerEntry, now_ms: int
    ) -> None:
        view.apply_entry(entry, now_ms)
        if entry.listing is WorkerListing.LEAVING:
            self.apply_event(view, AvailabilityEvent.LISTED_LEAVING)
            return
        self.apply_event(view, AvailabilityEvent.LISTED_LIVE)
