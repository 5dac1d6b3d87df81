"""Latency and rate of decisions by the number of workers and waiting jobs.

The cell is full; each step submits one job, ends one task and decides. The
latency covers the report that ends the task and the decision that places the
next task; the rate divides the number of steps by their processor time.
"""

import gc
import itertools
import random
import time
from collections.abc import Iterator
from typing import Final

from fuchsiarill.cell_config import CellConfig
from fuchsiarill.collector import raise_gc_thresholds
from fuchsiarill.core.effects import CommandTask, PersistRecord, StartTask
from fuchsiarill.core.partition import PartitionCore
from fuchsiarill.ids import (
    AttemptId,
    CustomerId,
    Epoch,
    FailureDomain,
    IncarnationId,
    JobClass,
    PartitionId,
    RackId,
    RegionId,
    WorkerId,
)
from fuchsiarill.job import Attempt, Execution, JobSpec, Urgency, Workload
from fuchsiarill.resources import Resources
from fuchsiarill.workers import (
    HostEntry,
    HostState,
    TaskOutcome,
    TaskReport,
    WorkerReport,
)
from tools.measures import Measure, percentile

_WORKERS_COUNTS: Final = (25, 1_000, 8_000, 32_000)
_QUEUES: Final = (('queue of 200', 200), ('queue of 10,000', 10_000))
_INCARNATION: Final = IncarnationId('first')
_STEPS_COUNT: Final = 3_000
_CAPACITIES: Final = (
    Resources(32_000, 128_000, 0, 8),
    Resources(16_000, 32_000, 0, 8),
    Resources(64_000, 128_000, 8, 8),
)
# Processors and memory of one task by class; each task takes two slots.
_SIZES: Final = (
    (1_000, 4_000),
    (2_000, 2_000),
    (3_500, 7_000),
    (4_000, 3_000),
    (500, 1_000),
)
_QUOTA: Final = {
    'processors_milli': 10**10,
    'memory_mb': 10**11,
    'accelerators_count': 10**6,
    'slots_count': 10**7,
}
_JOBS_PER_URGENT_JOB: Final = 20
_UNUSED_TOKEN_SHA256: Final = '0' * 64
_MS_PER_S: Final = 1_000


class FullCell:
    """A `PartitionCore` whose workers are filled with tasks."""

    def __init__(self, workers_count: int) -> None:
        """List the workers and submit jobs until 100 of them wait."""
        self.now_ms = 0
        self._random = random.Random(workers_count)
        self._customers_count = 4 if workers_count < 100 else 79
        self.core = PartitionCore(
            PartitionId('bench'),
            Epoch(1),
            _config(self._customers_count),
        )
        self._numbers = itertools.count()
        self._running: list[StartTask] = []
        self._stopped: list[CommandTask] = []
        self._ended: set[AttemptId] = set()
        self._waiting_jobs_count = 0
        entries = tuple(_entries(workers_count))
        self.core.hosts_listed(entries, self.now_ms)
        for entry in entries:
            report = WorkerReport(
                entry.worker_id, Epoch(1), 0, (), _INCARNATION
            )
            self.core.worker_reported(report, self.now_ms)
        self._fill()

    def fill_queue(self, jobs_count: int) -> None:
        """Submit jobs until `jobs_count` of them wait."""
        while self._waiting_jobs_count < jobs_count:
            self.submit()
            self.decide()

    def submit(self) -> None:
        """Submit a random job and confirm the commits of its records."""
        number = next(self._numbers)
        size_index = self._random.randrange(len(_SIZES))
        urgency = Urgency.NORMAL
        if not self._random.randrange(_JOBS_PER_URGENT_JOB):
            urgency = Urgency.URGENT
        spec = JobSpec(
            CustomerId(f'c{self._random.randrange(self._customers_count)}'),
            f'k{number}',
            Workload.BATCH,
            Execution.IDEMPOTENT,
            urgency,
            JobClass(f'class{size_index}'),
            1,
            Resources(*_SIZES[size_index], 0, 2),
            60_000,
            '',
        )
        self.core.submit(spec, self.now_ms).unwrap()
        self._waiting_jobs_count += 1
        self._apply_effects()

    def decide(self) -> bool:
        """Decide and apply the effects; tells whether to decide again."""
        is_unfinished = self.core.decide(self.now_ms)
        self._apply_effects()
        return is_unfinished

    def end_random_task(self) -> None:
        """Report the success of a random running task."""
        ended = self._remove_random_running()
        while ended.attempt_id in self._ended:
            ended = self._remove_random_running()
        self.report(ended.worker_id, {ended.attempt_id: TaskOutcome.SUCCEEDED})

    def confirm_stops(self) -> None:
        """Report the end of every task that the core ordered to stop."""
        stopped = self._stopped
        self._stopped = []
        for command in stopped:
            outcome = {command.attempt_id: TaskOutcome.STOPPED}
            self.report(command.worker_id, outcome)
            self._ended.add(command.attempt_id)

    def report(
        self,
        worker_id: WorkerId,
        outcomes: dict[AttemptId, TaskOutcome],
    ) -> None:
        """Report all tasks of a worker; those in `outcomes` have ended."""
        state = self.core.state
        tasks = tuple(
            self._task_report(
                outcomes.get(attempt_id), state.attempts[attempt_id]
            )
            for attempt_id in state.workers[worker_id].attempts
        )
        report = WorkerReport(worker_id, Epoch(1), 0, tasks, _INCARNATION)
        self.core.worker_reported(report, self.now_ms)

    def _task_report(
        self,
        ended: TaskOutcome | None,
        attempt: Attempt,
    ) -> TaskReport:
        spec = self.core.state.jobs[attempt.job_id].spec
        outcome = ended or TaskOutcome.RUNNING
        return TaskReport(
            attempt.attempt_id,
            outcome,
            attempt.reserved,
            spec.task_size,
            60_000,
        )

    def _remove_random_running(self) -> StartTask:
        position = self._random.randrange(len(self._running))
        removed = self._running[position]
        last = self._running.pop()
        if last is not removed:
            self._running[position] = last
        return removed

    def _apply_effects(self) -> None:
        for effect in self.core.take_effects():
            if isinstance(effect, PersistRecord):
                self.core.committed(effect.sequence, self.now_ms)
            elif isinstance(effect, StartTask):
                self._running.append(effect)
                self._waiting_jobs_count -= 1
            elif isinstance(effect, CommandTask):
                self._stopped.append(effect)

    def _fill(self) -> None:
        while self._waiting_jobs_count < 100:
            self.submit()
            self.submit()
            self.decide()


def measure(workers_count: int) -> Iterator[Measure]:
    """Measure a cell of `workers_count` workers with each queue length."""
    cell = FullCell(workers_count)
    for queue, jobs_count in _QUEUES:
        cell.fill_queue(jobs_count)
        gc.collect()
        latencies_ms, total_s = _run(cell)
        deployment = f'{workers_count} workers, {queue}'
        yield Measure(
            'decision_p99_ms',
            round(percentile(latencies_ms, 0.99), 3),
            'ms',
            None,
            '< 5',
            deployment,
        )
        yield Measure(
            'decisions_per_s',
            round(len(latencies_ms) / total_s),
            '1/s',
            None,
            '>= 3000',
            deployment,
        )


def run() -> Iterator[Measure]:
    """Measure every cell size, then the growth from 1000 to 32000 workers."""
    raise_gc_thresholds()
    p99s: dict[str, float] = {}
    for workers_count in _WORKERS_COUNTS:
        for measured in measure(workers_count):
            if measured.measure == 'decision_p99_ms':
                p99s[measured.deployment] = measured.value
            yield measured
    for queue, _jobs_count in _QUEUES:
        large = p99s[f'32000 workers, {queue}']
        yield Measure(
            'decision_p99_growth',
            round(large / p99s[f'1000 workers, {queue}'], 2),
            'ratio',
            None,
            '<= 2',
            f'32000 workers against 1000, {queue}',
        )


def _run(cell: FullCell) -> tuple[list[float], float]:
    latencies_ms: list[float] = []
    began_s = time.process_time()
    while len(latencies_ms) < _STEPS_COUNT:
        cell.now_ms += 1
        cell.submit()
        step_began_s = time.perf_counter()
        cell.end_random_task()
        cell.decide()
        elapsed_s = time.perf_counter() - step_began_s
        cell.confirm_stops()
        latencies_ms.append(elapsed_s * _MS_PER_S)
    return latencies_ms, time.process_time() - began_s


def _config(customers_count: int) -> CellConfig:
    return CellConfig.model_validate(
        {
            'cell': 'bench',
            'regions': [{'name': 'r'}],
            'contracts': [
                {
                    'customer': f'c{number}',
                    'region': 'r',
                    'quota': _QUOTA,
                    'guaranteed': dict.fromkeys(_QUOTA, 0),
                    'submit_rate_per_s': 10**9,
                    'submit_burst_count': 10**9,
                    'waiting_jobs_max_count': 10**6,
                    'placement': 'pack' if number % 2 else 'spread',
                    'token_sha256': _UNUSED_TOKEN_SHA256,
                }
                for number in range(customers_count)
            ],
            'operator_token_sha256': _UNUSED_TOKEN_SHA256,
        },
    )


def _entries(workers_count: int) -> Iterator[HostEntry]:
    for number in range(workers_count):
        rack = number // 5
        yield HostEntry(
            WorkerId(f'w{number}'),
            'none',
            RegionId('r'),
            FailureDomain(f'd{rack % 4}'),
            RackId(f'k{rack}'),
            _CAPACITIES[number % len(_CAPACITIES)],
            64,
            HostState.LIVE,
        )


def main() -> None:
    """Print every measure as one JSON line."""
    for measured in run():
        print(measured.as_line(), flush=True)


if __name__ == '__main__':
    main()
