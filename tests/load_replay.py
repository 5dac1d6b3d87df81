"""Replays a load pattern in paused time against a `GraphCore`.

Workers are simulated: they report at once when a run ends and otherwise twice a
second, stop runs with a delay and keep the work up to the last checkpoint.
"""

import math
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Final

from fuchsiarill.contracts.contract import CustomerContract, CustomerContracts
from fuchsiarill.graphs.core import GraphCore
from fuchsiarill.graphs.effects import Effect, StartRun, StopRun
from fuchsiarill.graphs.fencing import FencingTokenSource
from fuchsiarill.graphs.model import (
    BornMs,
    EndKind,
    GraphConfig,
    JobGraph,
    Label,
    PoolPolicy,
    QueueId,
    QueuePolicy,
    Step,
    TaskKey,
    WorkerEntry,
    WorkerListing,
)
from fuchsiarill.graphs.progress import JobProgress
from fuchsiarill.graphs.settings import TaskLeaseSettings
from fuchsiarill.graphs.states import JobPhase
from fuchsiarill.ids import (
    CustomerId,
    Epoch,
    FailureDomain,
    Generation,
    JobId,
    WorkerId,
)
from fuchsiarill.ports.agents import AgentFailure
from fuchsiarill.registry import Registry
from tests.graph_owner import POOL
from tests.load_pattern import (
    ArrivalRow,
    LoadPattern,
    OutcomeRow,
    StepRow,
    WorkerRow,
)
from tests.simulated_worker import RunKey, SimulatedRun, SimulatedWorker

_STEP_MS: Final = 20
_TICK_MS: Final = 100
_REPORT_MS: Final = 500


@dataclass(slots=True)
class ReplayedJob:
    """A job of a pattern, and when it was served."""

    arrival: ArrivalRow
    arrived_ms: int
    objective_ms: float
    # Run time of each task at the usual speed, and the part that a checkpoint
    # has saved.
    run_ms: dict[TaskKey, int]
    saved_ms: dict[TaskKey, float] = field(default_factory=dict)
    started: set[TaskKey] = field(default_factory=set)
    # When all tasks of the first step had started.
    first_step_ms: int | None = None
    done_ms: int | None = None

    def note_start(self, task: TaskKey, now_ms: int) -> None:
        """Note the start of a run."""
        self.started.add(task)
        first_count = self.arrival.steps[0].tasks
        in_first_step = sum(other.step == 0 for other in self.started)
        if self.first_step_ms is None and in_first_step == first_count:
            self.first_step_ms = now_ms

    def is_done_within(self, objectives_count: int) -> bool:
        """Tell whether the job was done within a multiple of its objective."""
        if self.done_ms is None:
            return False
        limit_ms = objectives_count * self.objective_ms
        return self.done_ms - self.arrived_ms <= limit_ms


class LoadReplay:
    """An owner's core, simulated workers and the jobs of a pattern."""

    def __init__(self, pattern: LoadPattern) -> None:
        """Create workers that have reported."""
        self._pattern = pattern
        self._random = random.Random(pattern.seed)
        self._now_ms = 0
        self.jobs: dict[JobId, ReplayedJob] = {}
        self.stops_count = 0
        rows = [row for row in pattern.workers for _ in range(row.count)]
        self._rows = {
            WorkerId(f'w{number:03}'): row for number, row in enumerate(rows)
        }
        self._workers = {
            name: SimulatedWorker(name, 1, capacity=row.size)
            for name, row in self._rows.items()
        }
        self._reports_due_ms = dict.fromkeys(self._rows, 0)
        self._stops: list[tuple[int, StopRun]] = []
        tokens = FencingTokenSource(Epoch(1))
        self._tokens = {name: tokens.take() for name in self._rows}
        self.core = GraphCore(POOL, Epoch(1), TaskLeaseSettings(), 1)
        self.core.configure(_config(pattern))
        self._publish_workers()

    def run(self) -> None:
        """Replay the whole pattern."""
        for now_ms in range(_STEP_MS, self._pattern.duration_ms, _STEP_MS):
            self._now_ms = now_ms
            self._lose_workers()
            self._submit_due_jobs()
            self._execute_due_stops()
            for name, worker in self._workers.items():
                self._report(name, worker)
            if not now_ms % _TICK_MS:
                self.core.tick(now_ms)
            self.core.decide(now_ms)
            for effect in self.core.take_effects():
                self._execute(effect)
            self.core.take_dirty()
            self._note_ends()

    def measure(self, outcome: OutcomeRow) -> float:
        """Return the measure that an outcome bounds."""
        jobs = [
            job
            for job in self.jobs.values()
            if outcome.queue in {None, job.arrival.queue}
            and outcome.customer in {None, job.arrival.customer}
        ]
        return MEASURES.lookup(outcome.measure)(self, jobs)

    def _publish_workers(self) -> None:
        self.core.update_workers(
            [
                _entry(name, self._rows[name], worker.born_ms)
                for name, worker in self._workers.items()
            ],
            self._now_ms,
        )
        self.core.record_workers(self._rows)

    def _submit_due_jobs(self) -> None:
        for arrival in self._pattern.arrivals:
            times_ms = range(
                arrival.from_ms, arrival.until_ms, arrival.every_ms
            )
            for _ in range(arrival.jobs * sum(map(self._is_due, times_ms))):
                self._submit(arrival)

    def _submit(self, arrival: ArrivalRow) -> None:
        job = JobId(f'j{len(self.jobs):05}')
        steps = tuple(
            _step(position, row) for position, row in enumerate(arrival.steps)
        )
        run_ms = {
            TaskKey(job, 0, position, index): self._random.randint(*row.run_ms)
            for position, row in enumerate(arrival.steps)
            for index in range(row.tasks)
        }
        queue = next(
            row for row in self._pattern.queues if row.name == arrival.queue
        )
        path_ms = sum(row.estimated_ms for row in arrival.steps)
        self.jobs[job] = ReplayedJob(
            arrival,
            self._now_ms,
            queue.slack_factor * path_ms + queue.target_ms,
            run_ms,
        )
        customer = arrival.customer and CustomerId(arrival.customer)
        graph = JobGraph(
            job, QueueId(queue.name), POOL, '', steps, customer=customer or None
        )
        self.core.add_job(
            graph, JobProgress(), self._now_ms, is_inherited=False
        )

    def _report(self, name: WorkerId, worker: SimulatedWorker) -> None:
        if not worker.is_reachable:
            return
        now_ms = self._now_ms
        worker.extend_leases(
            worker.clock_ms(now_ms) + TaskLeaseSettings().wanted_ms, now_ms
        )
        worker.end_due_runs(now_ms)
        if not worker.unreported_ends and now_ms < self._reports_due_ms[name]:
            return
        self._reports_due_ms[name] = now_ms + _REPORT_MS
        self.core.renewal_sent(name, now_ms)
        report = worker.report(now_ms)
        worker.unreported_ends.clear()
        self.core.worker_reported(
            name, report, self._tokens[name], now_ms - 1, now_ms
        )

    def _execute(self, effect: Effect) -> None:
        match effect:
            case StartRun():
                self._start_run(effect)
            case StopRun():
                self.stops_count += 1
                due_ms = self._now_ms + self._pattern.stop_ms
                self._stops.append((due_ms, effect))

    def _start_run(self, order: StartRun) -> None:
        task, now_ms = order.task, self._now_ms
        job = self.jobs[task.job]
        job.note_start(task, now_ms)
        row = job.arrival.steps[task.step]
        worker = self._workers[order.worker]
        remaining_ms = job.run_ms[task] - job.saved_ms.get(task, 0)
        run_ms = remaining_ms / self._speed(order.worker, row)
        worker.runs[task, order.attempt] = SimulatedRun(
            row.size, now_ms, int(now_ms + run_ms) + 1, EndKind.SUCCEEDED
        )
        assert worker.used_resources().fits_in(worker.capacity)
        self.core.start_answered(
            order.worker, task, order.attempt, None, now_ms
        )

    def _speed(self, name: WorkerId, row: StepRow) -> float:
        worker = self._rows[name]
        if row.data_rack is None or row.data_rack in worker.racks:
            return worker.speed
        return worker.speed / self._pattern.remote_penalty

    def _execute_due_stops(self) -> None:
        due = [stop for due_ms, stop in self._stops if due_ms <= self._now_ms]
        self._stops = [row for row in self._stops if row[0] > self._now_ms]
        for stop in due:
            worker = self._workers[stop.worker]
            key: RunKey = (stop.task, stop.attempt)
            if key in worker.runs:
                self._save_checkpoint(worker, stop)
                worker.end(key, EndKind.STOPPED)
            self.core.stop_answered(
                stop.worker, stop.task, stop.attempt, None, self._now_ms
            )

    def _save_checkpoint(self, worker: SimulatedWorker, stop: StopRun) -> None:
        job = self.jobs[stop.task.job]
        row = job.arrival.steps[stop.task.step]
        if not row.is_checkpointing:
            return
        run = worker.runs[stop.task, stop.attempt]
        interval_ms = self._pattern.checkpoint_interval_ms
        ran_ms = (self._now_ms - run.started_ms) // interval_ms * interval_ms
        saved_ms = job.saved_ms.get(stop.task, 0)
        saved_ms += ran_ms * self._speed(stop.worker, row)
        job.saved_ms[stop.task] = saved_ms

    def _lose_workers(self) -> None:
        names = list(self._rows)
        for loss in self._pattern.losses:
            name = names[loss.worker]
            if self._is_due(loss.at_ms):
                self._workers[name].is_reachable = False
                self._workers[name].runs.clear()
                self.core.worker_failed(
                    name, AgentFailure.CONNECTION_REFUSED, self._now_ms
                )
            if self._is_due(loss.back_ms):
                self._workers[name] = SimulatedWorker(
                    name, self._now_ms, capacity=self._rows[name].size
                )
                self._publish_workers()

    def _is_due(self, at_ms: int) -> bool:
        return self._now_ms - _STEP_MS <= at_ms < self._now_ms

    def _note_ends(self) -> None:
        for job, replayed in self.jobs.items():
            if replayed.done_ms is not None:
                continue
            phase = self.core.state.jobs[job].progress.phase
            if phase is JobPhase.SUCCEEDED:
                replayed.done_ms = self._now_ms


_Measure = Callable[[LoadReplay, list[ReplayedJob]], float]

MEASURES: Final[Registry[str, _Measure]] = Registry('measures')


@MEASURES.register('share_in_time')
def _share_in_time(replay: LoadReplay, jobs: list[ReplayedJob]) -> float:
    return sum(job.is_done_within(1) for job in jobs) / len(jobs)


@MEASURES.register('share_with_value')
def _share_with_value(replay: LoadReplay, jobs: list[ReplayedJob]) -> float:
    return sum(job.is_done_within(3) for job in jobs) / len(jobs)


@MEASURES.register('share_done')
def _share_done(replay: LoadReplay, jobs: list[ReplayedJob]) -> float:
    return sum(job.done_ms is not None for job in jobs) / len(jobs)


@MEASURES.register('p99_wait_ms')
def _p99_wait_ms(replay: LoadReplay, jobs: list[ReplayedJob]) -> float:
    """Return the wait of a job until its first step has started in full."""
    waits_ms = sorted(
        float('inf')
        if job.first_step_ms is None
        else job.first_step_ms - job.arrived_ms
        for job in jobs
    )
    return waits_ms[math.ceil(0.99 * len(waits_ms)) - 1]


@MEASURES.register('stops_count')
def _stops_count(replay: LoadReplay, jobs: list[ReplayedJob]) -> float:
    return replay.stops_count


def _config(pattern: LoadPattern) -> GraphConfig:
    queues = {
        QueueId(row.name): QueuePolicy(
            QueueId(row.name),
            'h',
            f'/{row.name}/',
            POOL,
            3000,
            priority=row.priority,
            slack_factor=row.slack_factor,
            target_ms=row.target_ms,
        )
        for row in pattern.queues
    }
    contracts = CustomerContracts(
        CustomerContract(CustomerId(row.customer), weight=row.weight)
        for row in pattern.contracts
    )
    return GraphConfig(
        Generation(1), queues, {POOL: PoolPolicy(POOL)}, contracts=contracts
    )


def _entry(name: WorkerId, row: WorkerRow, born_ms: int) -> WorkerEntry:
    return WorkerEntry(
        name,
        POOL,
        f'{name}:1',
        FailureDomain('d'),
        row.size,
        tuple(Label(rack) for rack in ('site', *row.racks)),
        WorkerListing.LIVE,
        BornMs(born_ms),
    )


def _step(position: int, row: StepRow) -> Step:
    return Step(
        row.tasks,
        row.size,
        row.estimated_ms,
        after=(position - 1,) if position else (),
        is_checkpointing=row.is_checkpointing,
        data_rack=row.data_rack and Label(row.data_rack) or None,
    )
