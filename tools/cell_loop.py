"""Simulates a cell in virtual time: the real core with modelled workers.

Messages take `_LATENCY_MS` and commits `_COMMIT_MS`. Workers run tasks at their
real size until the core sends a command. A command other than a stop confines
the task: it uses no more processors and memory than reserved, and runs more
slowly. Usage is reported `_USAGE_LAG_MS` after the start of a task, or at its
end.
"""

import heapq
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from typing import Final

from fuchsiarill.cell_config import CellConfig
from fuchsiarill.core.effects import CommandTask, PersistRecord, StartTask
from fuchsiarill.core.partition import PartitionCore
from fuchsiarill.ids import (
    AttemptId,
    Epoch,
    IncarnationId,
    JobId,
    PartitionId,
    WorkerId,
)
from fuchsiarill.job import Urgency, Workload
from fuchsiarill.resources import NO_RESOURCES, Resources
from fuchsiarill.workers import (
    CommandKind,
    HostEntry,
    TaskOutcome,
    TaskReport,
    WorkerReport,
)
from tools.workloads import Arrival, Deployment

_INCARNATION: Final = IncarnationId('first')
_LATENCY_MS: Final = 4
_COMMIT_MS: Final = 20
_EXCHANGE_MS: Final = 1_000
_USAGE_LAG_MS: Final = 2_000


@dataclass(slots=True)
class Run:
    """A task on a worker.

    `remaining_ms` is the rest of the run time at full speed as of `since_ms`.
    A task with a `speed` below 1 is confined to its reservation.
    """

    start: StartTask
    arrival: Arrival
    began_ms: int
    remaining_ms: float
    speed: float = 1.0
    since_ms: int = 0
    outcome: TaskOutcome | None = None
    counted_work_ms: float = 0

    def load(self) -> Resources:
        """Return the current usage, at most the reservation if confined."""
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
    """Results of a simulation.

    `used` is the sum of resources times milliseconds of useful work within
    the window. The extra time of a confined task does not count, nor does the
    work on a task that was stopped.
    """

    waits_ms: dict[JobId, int] = field(default_factory=dict)
    used: list[float] = field(default_factory=lambda: [0, 0, 0, 0])
    overcommitted: set[WorkerId] = field(default_factory=set)
    stopped_count: int = 0


class CellLoop:
    """Simulated events: arrivals, commits, exchanges and ends of tasks."""

    def __init__(
        self,
        deployment: Deployment,
        config: CellConfig,
        window_ms: tuple[int, int],
    ) -> None:
        """List the workers; `window_ms` is the measured period."""
        self.now_ms = 0
        self.tally = Tally()
        self.core = PartitionCore(PartitionId('p'), Epoch(1), config)
        self._window_ms = window_ms
        self._events: list[tuple[int, int, Callable[[], None]]] = []
        self._events_count = 0
        self._runs: dict[WorkerId, dict[AttemptId, Run]] = {}
        self._entries: dict[WorkerId, HostEntry] = {}
        self._exchange_due: set[WorkerId] = set()
        self._arrivals: dict[JobId, Arrival] = {}
        self._is_decision_due = False
        entries = tuple(deployment.hosts())
        self.core.hosts_listed(entries, 0)
        for number, entry in enumerate(entries):  # noqa: WPS414
            self._add_worker(entry)
            phase_ms = number * _EXCHANGE_MS // len(entries)
            self._schedule(
                phase_ms, partial(self._exchange_periodically, entry.worker_id)
            )

    def run(self, arrivals: list[Arrival]) -> Tally:
        """Submit all arrivals and simulate until the end of the window."""
        for arrival in arrivals:
            self._schedule(arrival.at_ms, partial(self._submit, arrival))
        while self._events and self._events[0][0] < self._window_ms[1]:
            self.now_ms, _number, action = heapq.heappop(self._events)
            action()
        self.now_ms = self._window_ms[1]
        for runs in self._runs.values():
            for run in runs.values():
                self._update_work(run)
        self._record_unstarted()
        return self.tally

    def waits_in_window(self, urgent: bool | None = None) -> list[float]:
        """Return the waits of jobs submitted within the window.

        `urgent` selects urgent or other jobs; `None` selects all.
        """
        return [
            float(wait_ms)
            for job_id, wait_ms in self.tally.waits_ms.items()
            if self._is_selected(self._arrivals[job_id], urgent)
        ]

    def _add_worker(self, entry: HostEntry) -> None:
        self._runs[entry.worker_id] = {}
        self._entries[entry.worker_id] = entry

    def _schedule(self, time_ms: int, action: Callable[[], None]) -> None:
        self._events_count += 1
        event = (time_ms, self._events_count, action)
        heapq.heappush(self._events, event)

    def _submit(self, arrival: Arrival) -> None:
        job_id = self.core.submit(arrival.spec, self.now_ms).unwrap()
        self._arrivals[job_id] = arrival
        self._decide()

    def _decide(self) -> None:
        is_unfinished = self.core.decide(self.now_ms)
        for effect in self.core.take_effects():
            if isinstance(effect, PersistRecord):
                committed = partial(self._commit, effect.sequence)
                self._schedule(self.now_ms + _COMMIT_MS, committed)
            elif isinstance(effect, StartTask):
                begin = partial(self._start_task, effect)
                self._schedule(self.now_ms + _LATENCY_MS, begin)
            elif isinstance(effect, CommandTask):
                command = partial(self._command, effect)
                self._schedule(self.now_ms + _LATENCY_MS, command)
        if is_unfinished and not self._is_decision_due:
            self._is_decision_due = True
            self._schedule(self.now_ms + 1, self._decide_again)

    def _decide_again(self) -> None:
        self._is_decision_due = False
        self._decide()

    def _commit(self, sequence: int) -> None:
        self.core.committed(sequence, self.now_ms)
        self._decide()

    def _start_task(self, start: StartTask) -> None:
        attempt = self.core.state.attempts.get(start.attempt_id)
        if attempt is None:
            return
        arrival = self._arrivals[attempt.job_id]
        run = Run(start, arrival, self.now_ms, arrival.run_time_ms)
        run.since_ms = self.now_ms
        runs = self._runs[start.worker_id]
        runs[start.attempt_id] = run
        if arrival.spec.workload is not Workload.SERVICE:
            wait_ms = self.now_ms - arrival.at_ms
            self.tally.waits_ms.setdefault(attempt.job_id, wait_ms)
            self._schedule_end(run)
        self._check_load(start.worker_id)
        self._schedule_exchange(start.worker_id)

    def _check_load(self, worker_id: WorkerId) -> None:
        load = sum(
            (
                run.load()
                for run in self._runs[worker_id].values()
                if run.outcome is None
            ),
            start=NO_RESOURCES,
        )
        if not load.fits_in(self._entries[worker_id].capacity):
            self.tally.overcommitted.add(worker_id)

    def _schedule_end(self, run: Run) -> None:
        end_ms = self.now_ms + int(run.remaining_ms / run.speed) + 1
        self._schedule(end_ms, partial(self._end, run, run.speed))

    def _end(self, run: Run, speed: float) -> None:
        if run.outcome is None and run.speed == speed:
            self._finish(run, TaskOutcome.SUCCEEDED)

    def _finish(self, run: Run, outcome: TaskOutcome) -> None:
        self._update_work(run)
        run.outcome = outcome
        if outcome is TaskOutcome.STOPPED:
            self._add_work(run, -run.counted_work_ms)

    def _add_work(self, run: Run, work_ms: float) -> None:
        for position, amount in enumerate(run.arrival.size.as_tuple()):
            self.tally.used[position] += amount * work_ms

    def _update_work(self, run: Run) -> None:
        if run.outcome is not None:
            return
        began_ms = max(run.since_ms, self._window_ms[0])
        work_ms = max(self.now_ms - began_ms, 0) * run.speed
        run.counted_work_ms += work_ms
        self._add_work(run, work_ms)
        run.remaining_ms -= (self.now_ms - run.since_ms) * run.speed
        run.since_ms = self.now_ms

    def _command(self, command: CommandTask) -> None:
        run = self._runs[command.worker_id].get(command.attempt_id)
        if run is None or run.outcome is not None:
            return
        if command.kind is CommandKind.STOP:
            self.tally.stopped_count += 1
            self._finish(run, TaskOutcome.STOPPED)
        elif run.speed >= 1:
            self._confine(run)
        self._schedule_exchange(command.worker_id)

    def _confine(self, run: Run) -> None:
        self._update_work(run)
        limit = run.start.reserved
        size = run.arrival.size
        run.speed = min(
            limit.processors_milli / max(size.processors_milli, 1),
            limit.memory_mb / max(size.memory_mb, 1),
            # Below 1 in any case, which marks the task as confined.
            1 - 1e-9,
        )
        if run.arrival.spec.workload is not Workload.SERVICE:
            self._schedule_end(run)

    def _exchange_periodically(self, worker_id: WorkerId) -> None:
        self._exchange(worker_id)
        self._schedule(
            self.now_ms + _EXCHANGE_MS,
            partial(self._exchange_periodically, worker_id),
        )

    def _schedule_exchange(self, worker_id: WorkerId) -> None:
        if worker_id not in self._exchange_due:
            self._exchange_due.add(worker_id)
            exchange = partial(self._exchange, worker_id)
            self._schedule(self.now_ms + _LATENCY_MS, exchange)

    def _exchange(self, worker_id: WorkerId) -> None:
        self._exchange_due.discard(worker_id)
        runs = self._runs[worker_id]
        tasks = tuple(self._report(run) for run in runs.values())
        for task in tasks:
            if task.outcome is not TaskOutcome.RUNNING:
                runs.pop(task.attempt_id)
        report = WorkerReport(
            worker_id, Epoch(1), self.now_ms, tasks, _INCARNATION
        )
        self.core.worker_reported(report, self.now_ms)
        self._decide()

    def _report(self, run: Run) -> TaskReport:
        used = NO_RESOURCES
        if self.now_ms - run.began_ms >= _USAGE_LAG_MS or run.outcome:
            used = run.load()
        return TaskReport(
            run.start.attempt_id,
            run.outcome or TaskOutcome.RUNNING,
            run.start.reserved,
            used,
            max(run.since_ms - run.began_ms, 1) if run.outcome else 0,
        )

    def _record_unstarted(self) -> None:
        # A job that never started has waited at least until the end.
        for job_id, arrival in self._arrivals.items():
            if arrival.spec.workload is not Workload.SERVICE:
                wait_ms = self.now_ms - arrival.at_ms
                self.tally.waits_ms.setdefault(job_id, wait_ms)

    def _is_selected(self, arrival: Arrival, urgent: bool | None) -> bool:
        if arrival.at_ms < self._window_ms[0]:
            return False
        is_urgent = arrival.spec.urgency is Urgency.URGENT
        return urgent is None or is_urgent is urgent
