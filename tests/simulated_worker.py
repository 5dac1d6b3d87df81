"""Simulation of one incarnation of a worker: its runs, ends and leases."""

from dataclasses import dataclass, field

from fuchsiarill.graphs.model import (
    BornMs,
    Checkpoint,
    EndKind,
    EndRow,
    EndSequence,
    RunningRow,
    TaskKey,
    WorkerReport,
)
from fuchsiarill.graphs.runs import INITIALIZED_PERCENT
from fuchsiarill.graphs.settings import TaskLeaseSettings
from fuchsiarill.ids import NO_TOKEN, FencingToken
from fuchsiarill.resources import NO_RESOURCES, Resources
from tests.graph_owner import CAPACITY

# Reported at the end of a run; a lasting task with 100 has been initialized.
_ALMOST_PERCENT = 99
_LEASE_MAX_MS = TaskLeaseSettings().allowed_ms

RunKey = tuple[TaskKey, int]


@dataclass(slots=True)
class SimulatedRun:
    """A run on a simulated worker; with `ends_ms` as `None` it never ends."""

    size: Resources
    started_ms: int
    ends_ms: int | None
    kind: EndKind

    def progress_percent(self, now_ms: int) -> int:
        """Return the share of the run time that has passed."""
        if self.ends_ms is None:
            return INITIALIZED_PERCENT
        run_ms = self.ends_ms - self.started_ms
        return (now_ms - self.started_ms) * _ALMOST_PERCENT // run_ms


@dataclass(slots=True)
class SimulatedWorker:
    """One incarnation of a simulated worker."""

    name: str
    born_ms: int
    # Share by which the worker's clock runs slow.
    clock_slowness: float = 0
    # Time after which a run with an expired lease ends.
    lapse_delay_ms: int = 0
    capacity: Resources = CAPACITY
    # The capacity at the last decision, which sent the starts in transit.
    decided_capacity: Resources = CAPACITY
    runs: dict[RunKey, SimulatedRun] = field(default_factory=dict)
    unreported_ends: list[EndRow] = field(default_factory=list)
    ends_count: int = 0
    refused_attempts: dict[TaskKey, int] = field(default_factory=dict)
    # The highest token of the calls that this incarnation has executed.
    token: FencingToken = NO_TOKEN
    # A time on the worker's clock.
    lease_expiry_ms: int = 0
    is_reachable: bool = True
    is_leaving: bool = False
    loses_answers: bool = False
    fails_all: bool = False

    def clock_ms(self, now_ms: int) -> int:
        """Return the worker's clock, which starts with the incarnation."""
        return int((now_ms - self.born_ms) * (1 - self.clock_slowness))

    def admits(self, token: FencingToken) -> bool:
        """Tell whether a call with this token is executed; keep the token."""
        if token < self.token:
            return False
        self.token = token
        return True

    def extend_leases(self, expiry_ms: int, now_ms: int) -> None:
        """Extend all leases up to `expiry_ms` of the worker's clock.

        An expiry that is too far ahead is reduced to the longest lease, and
        an earlier one than the present one changes nothing.
        """
        longest_ms = self.clock_ms(now_ms) + _LEASE_MAX_MS
        self.lease_expiry_ms = max(
            self.lease_expiry_ms, min(expiry_ms, longest_ms)
        )

    def refuse(self, task: TaskKey, attempt: int) -> None:
        """Refuse this and all earlier attempts of a task from now on."""
        refused = self.refused_attempts.get(task, 0)
        self.refused_attempts[task] = max(refused, attempt)

    def end(self, key: RunKey, kind: EndKind) -> None:
        """End a run, report the end and refuse the attempt from now on."""
        self.runs.pop(key)
        self.ends_count += 1
        task, attempt = key
        self.refuse(task, attempt)
        sequence = EndSequence(self.ends_count)
        self.unreported_ends.append(
            EndRow(sequence, task, attempt, kind, Checkpoint('')),
        )

    def end_due_runs(self, now_ms: int) -> None:
        """End the runs whose run time is over or whose lease has expired."""
        latest_ms = self.lease_expiry_ms + self.lapse_delay_ms
        has_expired = self.clock_ms(now_ms) > latest_ms
        for key, run in list(self.runs.items()):
            if run.ends_ms is not None and run.ends_ms <= now_ms:
                self.end(key, run.kind)
            elif has_expired:
                self.end(key, EndKind.LAPSED)

    def used_resources(self) -> Resources:
        """Return the sum of the resources of all runs."""
        return sum((run.size for run in self.runs.values()), NO_RESOURCES)

    def report(self, now_ms: int) -> WorkerReport:
        """Return all runs, and the ends that no report has delivered."""
        return WorkerReport(
            self.clock_ms(now_ms),
            BornMs(self.born_ms),
            tuple(
                RunningRow(
                    task,
                    attempt,
                    Checkpoint(''),
                    run.progress_percent(now_ms),
                )
                for (task, attempt), run in self.runs.items()
            ),
            tuple(self.unreported_ends),
        )
