"""Model of one incarnation of a worker: its runs, ends and leases."""

from dataclasses import dataclass, field
from typing import Any, Final

from fuchsiarill.clock import now_ms
from fuchsiarill.graphs.model import (
    BornMs,
    Checkpoint,
    EndKind,
    EndRow,
    EndSequence,
    RunningRow,
    StartOrder,
    TaskKey,
    WorkerReport,
)
from fuchsiarill.ids import NO_TOKEN, Epoch, FencingToken, WorkerId
from fuchsiarill.ports.agents import (
    AgentFailure,
    PaceOrder,
    RenewalOrder,
    StopOrder,
)
from fuchsiarill.resources import NO_RESOURCES, Resources
from standins.changing_capacity import ChangingCapacity
from standins.outages import Outage

_LEASE_MAX_MS: Final = 6000
_FULL_PERCENT: Final = 100


@dataclass(slots=True)
class ModelRun:
    """A run on a worker model; it never ends by itself without `ends_ms`."""

    task: TaskKey
    attempt: int
    started_ms: int
    ends_ms: int | None
    kind: EndKind
    size: Resources
    # Whose job it is, if its payload tells.
    customer: str | None = None


@dataclass(slots=True)
class AgentModel:
    """One incarnation of a worker, from its start to its restart."""

    worker: WorkerId
    # Key of the worker in its fleet, which later incarnations share.
    address: str
    capacity: ChangingCapacity
    born_ms: BornMs
    sizes: dict[TaskKey, Resources]
    token: FencingToken = NO_TOKEN
    lease_expiry_ms: int = 0
    runs: dict[tuple[TaskKey, int], ModelRun] = field(default_factory=dict)
    ended: list[EndRow] = field(default_factory=list)
    ends_count: int = 0
    # When a report has first listed each end.
    listed_ms: dict[EndSequence, int] = field(default_factory=dict)
    # Epoch of the owner that has got the last report.
    reported_epoch: Epoch = Epoch(0)
    highest_refused_attempt: dict[TaskKey, int] = field(default_factory=dict)
    # Set once the incarnation has crashed or has been replaced.
    outage: Outage | None = None
    # When the incarnation has ended, 0 before.
    ended_ms: int = 0
    # Calls have no effect and are not answered.
    is_silent: bool = False
    # How far the time of day was set back before `born_ms` was read.
    set_back_ms: int = 0
    # Starts are executed, but not answered.
    loses_answers: bool = False
    # Every run fails as soon as it starts.
    fails_all: bool = False
    # A report lists at most this many ends.
    ends_page_count: int = 500

    def clock_ms(self) -> int:
        """Return the worker's clock, the time since its start."""
        return now_ms() - self.born_ms - self.set_back_ms

    def set_back(self, set_back_ms: int) -> None:
        """Set the time of day back, as if before the start."""
        self.set_back_ms += set_back_ms
        self.born_ms = BornMs(self.born_ms - set_back_ms)

    def crash(self, outage: Outage) -> None:
        """End the incarnation, and its runs without a report."""
        if self.outage is None:
            self.ended_ms = now_ms()
        self.outage = outage
        self.runs.clear()

    def add_run(self, order: StartOrder, behaviour: dict[str, Any]) -> None:
        """Add the run of a start, as the payload of its job tells."""
        duration_ms = behaviour.get('duration_ms')
        is_failing = order.attempt <= behaviour.get('fails', 0)
        size = behaviour.get('size')
        run = ModelRun(
            order.task,
            order.attempt,
            now_ms(),
            None if duration_ms is None else now_ms() + duration_ms,
            EndKind.FAILED if is_failing else EndKind.SUCCEEDED,
            Resources(*size) if size else self._listed_size(order.task),
            behaviour.get('customer'),
        )
        if self.fails_all:
            run.ends_ms = now_ms()
            run.kind = EndKind.FAILED
        self.runs[order.task, order.attempt] = run

    def end_due_runs(self) -> None:
        """End the runs whose duration or lease is over."""
        now = now_ms()
        for run in list(self.runs.values()):
            if run.ends_ms is not None and run.ends_ms <= now:
                self.end(run, run.kind)
        if self.clock_ms() > self.lease_expiry_ms:
            for run in list(self.runs.values()):
                self.end(run, EndKind.LAPSED)

    def end(self, run: ModelRun, kind: EndKind) -> None:
        """End a run, list its end, and refuse the attempt from then on."""
        self.runs.pop((run.task, run.attempt))
        self.ends_count += 1
        self.highest_refused_attempt[run.task] = max(
            self.highest_refused_attempt.get(run.task, 0),
            run.attempt,
        )
        self.ended.append(
            EndRow(
                EndSequence(self.ends_count),
                run.task,
                run.attempt,
                kind,
                Checkpoint(''),
            ),
        )

    def extend_leases(self, expiry_ms: int | None) -> None:
        """Extend the leases up to `expiry_ms` of the worker's clock.

        An earlier expiry does not shorten them; one more than `_LEASE_MAX_MS`
        ahead is reduced to that maximum.
        """
        if expiry_ms is not None:
            longest_ms = self.clock_ms() + _LEASE_MAX_MS
            self.lease_expiry_ms = max(
                self.lease_expiry_ms, min(expiry_ms, longest_ms)
            )

    def execute_stop(self, order: StopOrder) -> AgentFailure | None:
        """Stop a run, and refuse later starts of its attempt."""
        failure = self.check_token(order.token)
        if failure is not None:
            return failure
        self.highest_refused_attempt[order.task] = max(
            self.highest_refused_attempt.get(order.task, 0),
            order.attempt,
        )
        run = self.runs.get((order.task, order.attempt))
        if run is not None:
            self.end(run, EndKind.STOPPED)
        return None

    def execute_pace(self, order: PaceOrder) -> AgentFailure | None:
        """Note the token; runs keep their speed."""
        return self.check_token(order.token)

    def execute_renewal(self, order: RenewalOrder) -> AgentFailure | None:
        """Extend the leases and discard acknowledged ends."""
        failure = self.check_token(order.token)
        if failure is not None:
            return failure
        self.extend_leases(order.expiry_ms)
        self.ended = [
            end for end in self.ended if end.sequence > order.acknowledged
        ]
        return None

    def used(self) -> Resources:
        """Return the sum of the resources that the runs use."""
        return sum((run.size for run in self.runs.values()), NO_RESOURCES)

    def report(self) -> WorkerReport:
        """Return the running and the first ended attempts."""
        return WorkerReport(
            self.clock_ms(),
            self.born_ms,
            tuple(
                RunningRow(
                    run.task,
                    run.attempt,
                    Checkpoint(''),
                    _FULL_PERCENT,
                )
                for run in self.runs.values()
            ),
            tuple(self.ended[: self.ends_page_count]),
            has_more_ends=len(self.ended) >= self.ends_page_count,
        )

    def note_report(self, report: WorkerReport, epoch: Epoch) -> None:
        """Note a report that answers an owner."""
        self.reported_epoch = epoch
        for end in report.ended:
            self.listed_ms.setdefault(end.sequence, now_ms())

    def check_token(self, token: FencingToken) -> AgentFailure | None:
        """Note the token of an order, which a lower one does not replace."""
        if token < self.token:
            return AgentFailure.FENCED
        self.token = token
        return None

    def _listed_size(self, task: TaskKey) -> Resources:
        return self.sizes.get(task, NO_RESOURCES)
