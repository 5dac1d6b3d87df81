"""A cell in virtual time: the real core, with workers that only count.

Messages take the latency of the deployments, commits that of the store.
Workers run tasks at their true size; one that is throttled or confined runs
more slowly. Usage is reported with a lag.
"""

import heapq
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from typing import Final

from fuchsiarill.cell_config import CellConfig
from fuchsiarill.core.effects import CommandTask, PersistRecord, StartTask
from fuchsiarill.core.partition import PartitionCore
from fuchsiarill.ids import AttemptId, Epoch, JobId, PartitionId, WorkerId
from fuchsiarill.job import Urgency, Workload
from fuchsiarill.resources import NOTHING, Resources
from fuchsiarill.workers import (
    CommandKind,
    HostEntry,
    TaskOutcome,
    TaskReport,
    WorkerReport,
)
from tools.workloads import Arrival, Deployment

_LATENCY_MS: Final = 4
_COMMIT_MS: Final = 20
_EXCHANGE_MS: Final = 1_000
_USAGE_LAG_MS: Final = 2_000


@dataclass(slots=True)
class Run:
    """A task on a worker; `left_ms` is what it needs at full speed."""

    start: StartTask
    arrival: Arrival
    began_ms: int
    left_ms: float
    speed: float = 1.0
    since_ms: int = 0
    ended: TaskOutcome | None = None
    counted_ms: float = 0

    def load(self) -> Resources:
        """Return what the task uses now."""
        if self.speed >= 1:
            return self.arrival.size
        size = self.arrival.size
        limit = self.start.reserved
        return Resources(
            min(size.processors_milli, limit.processors_milli),
            min(size.memory_mb, limit.memory_mb),
            size.accelerators_count,
            size.slots_count,
        )


@dataclass(slots=True)
class Tally:
    """What a run of the loop has shown.

    `used` is the sum of resources times milliseconds that tasks needed and
    got within the window. What a confined task takes longer does not count,
    nor what was done for a task that was stopped.
    """

    waits_ms: dict[JobId, int] = field(default_factory=dict)
    used: list[float] = field(default_factory=lambda: [0, 0, 0, 0])
    overcommitted: set[WorkerId] = field(default_factory=set)
    stopped_count: int = 0


class CellLoop:
    """Arrivals, commits, exchanges and ends of tasks in order of time."""

    def __init__(
        self,
        deployment: Deployment,
        config: CellConfig,
        window_ms: tuple[int, int],
    ) -> None:
        """List the workers; the tally covers the window."""
        self.now_ms = 0
        self.tally = Tally()
        self.core = PartitionCore(PartitionId('p'), Epoch(1), config)
        self._window_ms = window_ms
        self._events: list[tuple[int, int, Callable[[], None]]] = []
        self._events_count = 0
        self._runs: dict[WorkerId, dict[AttemptId, Run]] = {}
        self._entries: dict[WorkerId, HostEntry] = {}
        self._exchanging: set[WorkerId] = set()
        self._arrivals: dict[JobId, Arrival] = {}
        self._deciding = False
        entries = tuple(deployment.hosts())
        self.core.hosts_listed(entries, 0)
        for number, entry in enumerate(entries):  # noqa: WPS414
            self._list(entry)
            phase_ms = number * _EXCHANGE_MS // len(entries)
            self._at(phase_ms, partial(self._tick, entry.worker_id))

    def run(self, rows: list[Arrival]) -> Tally:
        """Submit all arrivals and go on until the end of the window."""
        for row in rows:
            self._at(row.at_ms, partial(self._submit, row))
        while self._events and self._events[0][0] < self._window_ms[1]:
            self.now_ms, _number, action = heapq.heappop(self._events)
            action()
        self.now_ms = self._window_ms[1]
        for runs in self._runs.values():
            for run in runs.values():
                self._count_use(run)
        self._note_unstarted()
        return self.tally

    def waits_in_window(self, urgent: bool | None = None) -> list[float]:
        """Return the waits of jobs submitted within the window."""
        return [
            float(wait_ms)
            for job_id, wait_ms in self.tally.waits_ms.items()
            if self._counts(self._arrivals[job_id], urgent)
        ]

    def _list(self, entry: HostEntry) -> None:
        self._runs[entry.worker_id] = {}
        self._entries[entry.worker_id] = entry

    def _at(self, time_ms: int, action: Callable[[], None]) -> None:
        self._events_count += 1
        event = (time_ms, self._events_count, action)
        heapq.heappush(self._events, event)

    def _submit(self, row: Arrival) -> None:
        job_id = self.core.submit(row.spec, self.now_ms).unwrap()
        self._arrivals[job_id] = row
        self._decide()

    def _decide(self) -> None:
        more = self.core.decide(self.now_ms)
        for effect in self.core.take_effects():
            if isinstance(effect, PersistRecord):
                committed = partial(self._commit, effect.sequence)
                self._at(self.now_ms + _COMMIT_MS, committed)
            elif isinstance(effect, StartTask):
                begin = partial(self._begin, effect)
                self._at(self.now_ms + _LATENCY_MS, begin)
            elif isinstance(effect, CommandTask):
                command = partial(self._command, effect)
                self._at(self.now_ms + _LATENCY_MS, command)
        if more and not self._deciding:
            self._deciding = True
            self._at(self.now_ms + 1, self._decide_again)

    def _decide_again(self) -> None:
        self._deciding = False
        self._decide()

    def _commit(self, sequence: int) -> None:
        self.core.committed(sequence, self.now_ms)
        self._decide()

    def _begin(self, start: StartTask) -> None:
        attempt = self.core.state.attempts.get(start.attempt_id)
        if attempt is None:
            return
        row = self._arrivals[attempt.job_id]
        run = Run(start, row, self.now_ms, row.run_time_ms)
        run.since_ms = self.now_ms
        runs = self._runs[start.worker_id]
        runs[start.attempt_id] = run
        if row.spec.workload is not Workload.SERVICE:
            wait_ms = self.now_ms - row.at_ms
            self.tally.waits_ms.setdefault(attempt.job_id, wait_ms)
            self._end_later(run)
        self._check_load(start.worker_id)
        self._exchange_soon(start.worker_id)

    def _check_load(self, worker_id: WorkerId) -> None:
        load = sum(
            (
                run.load()
                for run in self._runs[worker_id].values()
                if run.ended is None
            ),
            start=NOTHING,
        )
        if not load.fits_in(self._entries[worker_id].capacity):
            self.tally.overcommitted.add(worker_id)

    def _end_later(self, run: Run) -> None:
        end_ms = self.now_ms + int(run.left_ms / run.speed) + 1
        self._at(end_ms, partial(self._end, run, run.speed))

    def _end(self, run: Run, speed: float) -> None:
        if run.ended is None and run.speed == speed:
            self._finish(run, TaskOutcome.SUCCEEDED)

    def _finish(self, run: Run, outcome: TaskOutcome) -> None:
        self._count_use(run)
        run.ended = outcome
        if outcome is TaskOutcome.STOPPED:
            self._add_use(run, -run.counted_ms)

    def _add_use(self, run: Run, done_ms: float) -> None:
        for place, amount in enumerate(run.arrival.size.as_tuple()):
            self.tally.used[place] += amount * done_ms

    def _count_use(self, run: Run) -> None:
        if run.ended is not None:
            return
        began_ms = max(run.since_ms, self._window_ms[0])
        done_ms = max(self.now_ms - began_ms, 0) * run.speed
        run.counted_ms += done_ms
        self._add_use(run, done_ms)
        run.left_ms -= (self.now_ms - run.since_ms) * run.speed
        run.since_ms = self.now_ms

    def _command(self, command: CommandTask) -> None:
        run = self._runs[command.worker_id].get(command.attempt_id)
        if run is None or run.ended is not None:
            return
        if command.kind is CommandKind.STOP:
            self.tally.stopped_count += 1
            self._finish(run, TaskOutcome.STOPPED)
        elif run.speed >= 1:
            self._confine(run)
        self._exchange_soon(command.worker_id)

    def _confine(self, run: Run) -> None:
        self._count_use(run)
        limit = run.start.reserved
        size = run.arrival.size
        run.speed = min(
            limit.processors_milli / max(size.processors_milli, 1),
            limit.memory_mb / max(size.memory_mb, 1),
            1 - 1e-9,
        )
        if run.arrival.spec.workload is not Workload.SERVICE:
            self._end_later(run)

    def _tick(self, worker_id: WorkerId) -> None:
        self._exchange(worker_id)
        self._at(self.now_ms + _EXCHANGE_MS, partial(self._tick, worker_id))

    def _exchange_soon(self, worker_id: WorkerId) -> None:
        if worker_id not in self._exchanging:
            self._exchanging.add(worker_id)
            later = partial(self._exchange, worker_id)
            self._at(self.now_ms + _LATENCY_MS, later)

    def _exchange(self, worker_id: WorkerId) -> None:
        self._exchanging.discard(worker_id)
        runs = self._runs[worker_id]
        tasks = tuple(self._report(run) for run in runs.values())
        for task in tasks:
            if task.outcome is not TaskOutcome.RUNNING:
                runs.pop(task.attempt_id)
        report = WorkerReport(worker_id, Epoch(1), self.now_ms, tasks)
        self.core.worker_reported(report, self.now_ms)
        self._decide()

    def _report(self, run: Run) -> TaskReport:
        used = NOTHING
        if self.now_ms - run.began_ms >= _USAGE_LAG_MS or run.ended:
            used = run.load()
        return TaskReport(
            run.start.attempt_id,
            run.ended or TaskOutcome.RUNNING,
            run.start.reserved,
            used,
            max(run.since_ms - run.began_ms, 1) if run.ended else 0,
        )

    def _note_unstarted(self) -> None:
        # A job that never started has waited at least until the end.
        for job_id, row in self._arrivals.items():
            if row.spec.workload is not Workload.SERVICE:
                wait_ms = self.now_ms - row.at_ms
                self.tally.waits_ms.setdefault(job_id, wait_ms)

    def _counts(self, row: Arrival, urgent: bool | None) -> bool:
        if row.at_ms < self._window_ms[0]:
            return False
        is_urgent = row.spec.urgency is Urgency.URGENT
        return urgent is None or is_urgent is urgent
