"""Processor time of the decisions of one owner of job graphs, without I/O.

A load of jobs with many tasks runs in virtual time; a worker model reports
only runs and their ends. Prints the processor time of all decisions divided
by the number of starts, and the starts per second that would use up one
processor.
"""

import random
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, Final

from loguru import logger

from fuchsiarill.graphs.core import GraphCore
from fuchsiarill.graphs.effects import StartRun, StopRun
from fuchsiarill.graphs.model import (
    BornMs,
    Checkpoint,
    EndKind,
    EndRow,
    EndSequence,
    GraphConfig,
    JobGraph,
    Label,
    PoolId,
    PoolPolicy,
    QueueId,
    QueuePolicy,
    RunningRow,
    Step,
    TaskKey,
    WorkerEntry,
    WorkerListing,
    WorkerReport,
)
from fuchsiarill.graphs.progress import JobProgress
from fuchsiarill.graphs.settings import TaskLeaseSettings
from fuchsiarill.ids import (
    Epoch,
    FailureDomain,
    FencingToken,
    Generation,
    JobId,
    WorkerId,
)
from fuchsiarill.resources import Resources

_POOL: Final = PoolId('pool')
_TOKEN: Final = FencingToken(Epoch(1))
_URGENT: Final = QueueId('urgent')
_BATCH: Final = QueueId('batch')
_CAPACITY: Final = Resources(32_000, 131_072)
_RACK_SIZE: Final = 8
_STEP_MS: Final = 10
_TICK_MS: Final = 100
_REPORT_MS: Final = 1000
_DURATION_MS: Final = 10_000
_BATCH_SHARE: Final = 0.06
_URGENT_RUN_MS: Final = 700
_BATCH_RUN_MS: Final = 4500
_URGENT_STEPS: Final = (
    Step(10, Resources(5300, 2000), _URGENT_RUN_MS),
    Step(5, Resources(5300, 2000), _URGENT_RUN_MS, after=(0,)),
)
_BATCH_STEPS: Final = (
    Step(
        22,
        Resources(9000, 4000),
        _BATCH_RUN_MS,
        is_checkpointing=True,
    ),
)
# Jobs per second for each worker; the second load leaves jobs waiting.
_JOBS_PER_S_PER_WORKER: Final = (0.14, 0.3)
_WORKERS_COUNTS: Final = (18, 63, 126, 400)

_RunKey = tuple[TaskKey, int]


@dataclass(slots=True)
class _Worker:
    """Runs in progress with their end times, and ends not yet reported."""

    ends_ms: dict[_RunKey, int] = field(default_factory=dict)
    ended: list[EndRow] = field(default_factory=list)
    ends_count: int = 0
    report_due_ms: int = 0

    def end_due_runs(self, now_ms: int) -> None:
        for key, ends_ms in list(self.ends_ms.items()):
            if ends_ms <= now_ms:
                self.end(key, EndKind.SUCCEEDED)

    def end(self, key: _RunKey, kind: EndKind) -> None:
        if self.ends_ms.pop(key, None) is None:
            return
        self.ends_count += 1
        sequence = EndSequence(self.ends_count)
        self.ended.append(EndRow(sequence, *key, kind, Checkpoint('')))

    def report(self, now_ms: int) -> WorkerReport:
        running = tuple(
            RunningRow(*key, Checkpoint('saved'), now_ms % 100)
            for key in self.ends_ms
        )
        ended = tuple(self.ended)
        self.ended.clear()
        return WorkerReport(now_ms, BornMs(1), running, ended)


class Load:
    """Jobs submitted at a rate to a cell, and the cost of its decisions."""

    def __init__(self, workers_count: int, jobs_per_s: float) -> None:
        """Create a core with idle workers."""
        self._random = random.Random(workers_count)
        self._jobs_per_s = jobs_per_s
        self._workers = {
            WorkerId(f'w{number}'): _Worker(
                report_due_ms=self._random.randrange(_REPORT_MS),
            )
            for number in range(workers_count)
        }
        self._core = GraphCore(_POOL, Epoch(1), TaskLeaseSettings(), 1)
        self._core.configure(_config())
        self._core.update_workers(
            [_entry(number) for number in range(workers_count)],
            0,
        )
        self._core.record_workers(self._workers)
        self._next_job_ms = 0.0
        self._jobs_count = 0
        self.starts_count = 0
        self.processor_s = 0.0

    def run(self) -> None:
        """Simulate `_DURATION_MS` of the load."""
        for now_ms in range(_STEP_MS, _DURATION_MS, _STEP_MS):
            self._submit_due_jobs(now_ms)
            for worker, model in self._workers.items():
                self._report(worker, model, now_ms)
            if not now_ms % _TICK_MS:
                self._measure(self._core.tick, now_ms)
            self._measure(self._core.decide, now_ms)
            for effect in self._measure(self._core.take_effects):
                self._apply_effect(effect, now_ms)
            self._core.take_dirty()

    def _measure(self, call: Callable[..., Any], *arguments: Any) -> Any:
        before_s = time.process_time()
        returned = call(*arguments)
        self.processor_s += time.process_time() - before_s
        return returned

    def _submit_due_jobs(self, now_ms: int) -> None:
        while self._next_job_ms <= now_ms:
            gap_s = self._random.expovariate(self._jobs_per_s)
            self._next_job_ms += gap_s * 1000
            self._jobs_count += 1
            is_batch = self._random.random() < _BATCH_SHARE
            graph = JobGraph(
                JobId(f'j{self._jobs_count}'),
                _BATCH if is_batch else _URGENT,
                _POOL,
                '',
                _BATCH_STEPS if is_batch else _URGENT_STEPS,
            )
            self._core.add_job(
                graph,
                JobProgress(),
                now_ms,
                is_inherited=False,
            )

    def _report(self, worker: WorkerId, model: _Worker, now_ms: int) -> None:
        model.end_due_runs(now_ms)
        if not model.ended and model.report_due_ms > now_ms:
            return
        model.report_due_ms = now_ms + _REPORT_MS
        self._core.renewal_sent(worker, now_ms)
        self._measure(
            self._core.worker_reported,
            worker,
            model.report(now_ms),
            _TOKEN,
            now_ms - 1,
            now_ms,
        )

    def _apply_effect(self, effect: Any, now_ms: int) -> None:
        match effect:
            case StartRun(worker, task, attempt):
                self.starts_count += 1
                steps = self._core.state.jobs[task.job].graph.steps
                ends_ms = now_ms + steps[task.step].estimate_ms
                self._workers[worker].ends_ms[task, attempt] = ends_ms
                self._measure(
                    self._core.start_answered,
                    worker,
                    task,
                    attempt,
                    None,
                    now_ms,
                )
            case StopRun(worker, task, attempt):
                self._workers[worker].end((task, attempt), EndKind.STOPPED)


def main() -> None:
    """Print a row for each number of workers and each load."""
    logger.remove()
    print('workers | jobs/s | starts | ms a start | starts/s of one processor')
    for workers_count in _WORKERS_COUNTS:
        for rate_per_worker in _JOBS_PER_S_PER_WORKER:
            load = Load(workers_count, workers_count * rate_per_worker)
            load.run()
            start_ms = load.processor_s * 1000 / load.starts_count
            print(
                f'{workers_count} | {workers_count * rate_per_worker:.1f} | '
                f'{load.starts_count} | {start_ms:.3f} | '
                f'{1000 / start_ms:.0f}',
            )


def _config() -> GraphConfig:
    queues = {
        queue: QueuePolicy(
            queue,
            'jobs.example',
            f'/{queue}/',
            _POOL,
            3000,
            priority=priority,
            slack_factor=2,
            target_ms=300,
        )
        for priority, queue in enumerate((_URGENT, _BATCH))
    }
    return GraphConfig(Generation(1), queues, {_POOL: PoolPolicy(_POOL)})


def _entry(number: int) -> WorkerEntry:
    return WorkerEntry(
        WorkerId(f'w{number}'),
        _POOL,
        f'w{number}:1',
        FailureDomain('d'),
        _CAPACITY,
        (Label('a'), Label(f'r{number // _RACK_SIZE}')),
        WorkerListing.LIVE,
        BornMs(1),
    )


if __name__ == '__main__':
    main()
