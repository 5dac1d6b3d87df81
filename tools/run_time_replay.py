"""Replays jobs with wrong estimates against a `GraphCore`, without I/O.

Time is virtual. Workers of uneven speed run tasks for their actual times, and
report each second and at each end. Arrivals come in bursts that exceed the
capacity, so that the order of the jobs matters.
"""

import random
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Final, NamedTuple

from fuchsiarill.graphs.core import GraphCore
from fuchsiarill.graphs.effects import Effect, StartRun, StopRun
from fuchsiarill.graphs.model import (
    BornMs,
    Checkpoint,
    EndKind,
    EndRow,
    EndSequence,
    GraphConfig,
    ImageId,
    JobGraph,
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
    CustomerId,
    Epoch,
    FailureDomain,
    FencingToken,
    Generation,
    JobId,
    WorkerId,
)
from fuchsiarill.resources import Resources
from fuchsiarill.run_times.run_times import RunTimes

_POOL: Final = PoolId('pool')
_CAPACITY: Final = Resources(16_000, 64_000)
_SPEEDS: Final = (0.64, 0.8, 0.95, 1.05, 1.1, 1.2, 1.45)
_WORKERS_COUNT: Final = 14
_STEP_MS: Final = 50
_TICK_MS: Final = 100
_REST_MS: Final = 60_000
_REPORT_MS: Final = 1000
_BURST_INTERVAL_MS: Final = 30_000
_BURST_MS: Final = 8000
_BURST_FACTOR: Final = 2.5
_TAIL_SHARE: Final = 0.03
_TAIL_FACTOR: Final = 7.0
_ESTIMATE_ERROR: Final = 4.0
_TOKEN: Final = FencingToken(Epoch(1), 1)

_RunKey = tuple[TaskKey, int]


class JobKind(NamedTuple):
    """Jobs of one queue, and their share of all jobs."""

    policy: QueuePolicy
    share: float
    size: Resources
    tasks_count: int
    # Usual run times of its images.
    image_ms: tuple[int, ...]
    is_gang: bool = False
    is_checkpointing: bool = False


def _policy(name: str, priority: int, slack: float, target: int) -> QueuePolicy:
    return QueuePolicy(
        QueueId(name),
        'jobs.example',
        f'/{name}/',
        _POOL,
        3000,
        priority=priority,
        attempts_max=3,
        slack_factor=slack,
        target_ms=target,
    )


_KINDS: Final = (
    JobKind(
        _policy('quotes', 0, 3, 500), 0.7, Resources(4000, 2000), 3, (300, 900)
    ),
    JobKind(
        _policy('reports', 0, 3, 1000),
        0.2,
        Resources(4000, 2000),
        2,
        (2000, 5000),
    ),
    JobKind(
        _policy('gangs', 0, 3, 2000),
        0.05,
        Resources(12_000, 4000),
        3,
        (1500, 3000),
        is_gang=True,
    ),
    JobKind(
        _policy('bulk', 1, 4, 5000),
        0.05,
        Resources(8000, 4000),
        6,
        (4000, 12_000),
        is_checkpointing=True,
    ),
)
KIND_NAMES: Final = tuple(kind.policy.queue for kind in _KINDS)


@dataclass(slots=True)
class _JobTruth:
    kind: JobKind
    accepted_ms: int
    usual_ms: float
    actual_ms: tuple[float, ...]
    started_ms: int | None = None
    settled_ms: int | None = None

    @property
    def objective_ms(self) -> float:
        policy = self.kind.policy
        return policy.slack_factor * self.usual_ms + policy.target_ms


@dataclass(slots=True)
class _Worker:
    speed: float
    born_ms: BornMs = BornMs(1)
    ends_ms: dict[_RunKey, float] = field(default_factory=dict)
    ended: list[EndRow] = field(default_factory=list)
    ends_count: int = 0
    report_due_ms: int = 0

    def end_due_runs(self, now_ms: int) -> None:
        for key, end_ms in list(self.ends_ms.items()):
            if end_ms <= now_ms:
                self.end(key, EndKind.SUCCEEDED)

    def end(self, key: _RunKey, kind: EndKind) -> None:
        if self.ends_ms.pop(key, None) is None:
            return
        self.ends_count += 1
        sequence = EndSequence(self.ends_count)
        self.ended.append(EndRow(sequence, *key, kind, Checkpoint('')))

    def report(self, now_ms: int) -> WorkerReport:
        running = tuple(
            RunningRow(*key, Checkpoint(''), now_ms % 100)
            for key in self.ends_ms
        )
        ended = tuple(self.ended)
        self.ended.clear()
        return WorkerReport(now_ms, self.born_ms, running, ended)


class Outcome(NamedTuple):
    """What the callers of one queue have seen."""

    waits_ms: list[float]
    # Time after the objective, 0 for a job in time.
    lateness_ms: list[float]
    unsettled_count: int


class Replay:
    """Jobs for a time, and what became of them."""

    def __init__(
        self,
        seed: int,
        jobs_per_s: float,
        create: Callable[[dict[Step, float]], RunTimes],
    ) -> None:
        """Create a core whose run times `create` returns.

        It gets the usual run time of each step, which are filled in later.
        """
        self._random = random.Random(seed)
        self._jobs_per_s = jobs_per_s
        self._usual_ms: dict[Step, float] = {}
        self._truths: dict[JobId, _JobTruth] = {}
        self._next_job_ms = 0.0
        self.stops_count = 0
        names = [WorkerId(f'w{number}') for number in range(_WORKERS_COUNT)]
        self._workers = {
            name: _Worker(_SPEEDS[number % len(_SPEEDS)])
            for number, name in enumerate(names)
        }
        self._core = GraphCore(_POOL, Epoch(1), TaskLeaseSettings(), 1)
        self._core.state.run_times = create(self._usual_ms)
        queues = {kind.policy.queue: kind.policy for kind in _KINDS}
        self._core.configure(
            GraphConfig(Generation(1), queues, {_POOL: PoolPolicy(_POOL)})
        )
        self._core.update_workers([_entry(name) for name in names], 0)
        self._core.record_workers(names)

    def run(self, duration_ms: int) -> None:
        """Submit jobs for a time, and simulate some more for the last ones."""
        for now_ms in range(_STEP_MS, duration_ms + _REST_MS, _STEP_MS):
            if now_ms < duration_ms:
                self._submit_due_jobs(now_ms, duration_ms)
            for name, worker in self._workers.items():
                self._report(name, worker, now_ms)
            if not now_ms % _TICK_MS:
                self._core.tick(now_ms)
            self._core.decide(now_ms)
            for effect in self._core.take_effects():
                self._apply_effect(effect, now_ms)
            self._note_settled(now_ms)

    def outcome(self, queue: QueueId, skipped_ms: int) -> Outcome:
        """Return the outcome of the jobs accepted after `skipped_ms`."""
        truths = [
            truth
            for truth in self._truths.values()
            if truth.kind.policy.queue == queue
            and truth.accepted_ms >= skipped_ms
        ]
        settled = [truth for truth in truths if truth.settled_ms is not None]
        return Outcome(
            [
                (truth.started_ms or 0) - truth.accepted_ms
                for truth in truths
                if truth.started_ms is not None
            ],
            [
                max(
                    (truth.settled_ms or 0)
                    - truth.accepted_ms
                    - truth.objective_ms,
                    0,
                )
                for truth in settled
            ],
            len(truths) - len(settled),
        )

    def _submit_due_jobs(self, now_ms: int, duration_ms: int) -> None:
        while self._next_job_ms <= now_ms:
            rate = self._jobs_per_s
            if now_ms % _BURST_INTERVAL_MS < _BURST_MS:
                rate *= _BURST_FACTOR
            self._next_job_ms += self._random.expovariate(rate) * 1000
            # The work of each image slowly grows by half.
            self._submit(now_ms, 1 + now_ms / duration_ms / 2)

    def _submit(self, now_ms: int, drift: float) -> None:
        chance = self._random
        kind = chance.choices(_KINDS, [kind.share for kind in _KINDS])[0]
        image = chance.randrange(len(kind.image_ms))
        usual_ms = kind.image_ms[image] * drift * 1.3 ** chance.uniform(-1, 1)
        error = _ESTIMATE_ERROR ** chance.uniform(-1, 1)
        step = Step(
            kind.tasks_count,
            kind.size,
            int(usual_ms * error),
            is_gang=kind.is_gang,
            is_checkpointing=kind.is_checkpointing,
            image=ImageId(f'image{image}'),
        )
        # The members of a gang end together.
        runs_count = 1 if kind.is_gang else kind.tasks_count
        actual_ms = tuple(
            usual_ms * self._run_factor() for _ in range(runs_count)
        )
        job = JobId(f'j{len(self._truths)}')
        self._usual_ms[step] = usual_ms
        self._truths[job] = _JobTruth(kind, now_ms, usual_ms, actual_ms)
        graph = JobGraph(
            job,
            kind.policy.queue,
            _POOL,
            '',
            (step,),
            customer=CustomerId(f'c{chance.randrange(5)}'),
        )
        self._core.add_job(graph, JobProgress(), now_ms, is_inherited=False)

    def _run_factor(self) -> float:
        factor = self._random.lognormvariate(0, 0.2)
        if self._random.random() < _TAIL_SHARE:
            factor *= _TAIL_FACTOR
        return factor

    def _report(self, name: WorkerId, worker: _Worker, now_ms: int) -> None:
        worker.end_due_runs(now_ms)
        if not worker.ended and worker.report_due_ms > now_ms:
            return
        worker.report_due_ms = now_ms + _REPORT_MS
        self._core.renewal_sent(name, now_ms)
        self._core.worker_reported(
            name, worker.report(now_ms), _TOKEN, now_ms - 1, now_ms
        )

    def _apply_effect(self, effect: Effect, now_ms: int) -> None:
        match effect:
            case StartRun(name, task, attempt):
                truth = self._truths[task.job]
                if truth.started_ms is None:
                    truth.started_ms = now_ms
                worker = self._workers[name]
                actual_ms = truth.actual_ms[
                    task.position % len(truth.actual_ms)
                ]
                worker.ends_ms[task, attempt] = (
                    now_ms + actual_ms / worker.speed
                )
                self._core.start_answered(name, task, attempt, None, now_ms)
            case StopRun(name, task, attempt):
                self.stops_count += 1
                self._workers[name].end((task, attempt), EndKind.STOPPED)

    def _note_settled(self, now_ms: int) -> None:
        for job in self._core.take_dirty():
            if not self._core.state.jobs[job].is_active:
                self._truths[job].settled_ms = now_ms
                self._core.remove_job(job)


def _entry(name: WorkerId) -> WorkerEntry:
    return WorkerEntry(
        name,
        _POOL,
        f'{name}:1',
        FailureDomain('d'),
        _CAPACITY,
        (),
        WorkerListing.LIVE,
        BornMs(1),
    )
