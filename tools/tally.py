"""Counts job outcomes and faults from the logs of workers and callers.

The scheduler is not queried. A worker is overcommitted when the real usage of
its tasks exceeds its capacity, or when the sizes in force do. The size in
force of a task is its reserved size until the worker has reported its usage
to an owner, and from then on that usage if it is less, since an owner may
release resources that a task reserved and does not use. Workers whose capacity
is exceeded by the sizes reserved at the start of tasks are listed separately.
A task is doubled when two of its attempts run at the same time, or when a task
that may run at most once is started twice. A job is lost when it was
acknowledged, not cancelled, and neither finished nor, for a service, running
with all replicas.
"""

from collections import Counter, defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum
from itertools import combinations

from fuchsiarill.ids import AttemptId, TaskId, WorkerId
from fuchsiarill.resources import NO_RESOURCES, Resources
from standins.worker_log import LogKind, LogLine
from tools.caller import SubmittedJob

WorkerLogs = dict[WorkerId, list[LogLine]]

_SUCCEEDED = 'succeeded'
_NO_END_MS = 2**62


class Outcome(Enum):
    """Outcome of a job, from the logs of workers and callers."""

    FINISHED = 'finished'
    CANCELLED = 'cancelled'
    REFUSED = 'refused'
    LOST = 'lost'
    UNANSWERED = 'unanswered'


@dataclass(slots=True)
class Run:
    """One attempt on one worker; it runs while it has no outcome."""

    attempt: AttemptId
    worker: WorkerId
    started_at_ms: int
    ended_at_ms: int = _NO_END_MS
    outcome: str = ''

    @property
    def task(self) -> TaskId:
        """Return the task of the attempt."""
        return TaskId(self.attempt.rpartition('@')[0])

    @property
    def epoch(self) -> int:
        """Return the epoch of the owner that started the attempt."""
        return int(self.attempt.rpartition('@')[2].partition('.')[0])

    def overlaps(self, other: 'Run') -> bool:
        """Tell whether both ran at the same time."""
        return (
            self.started_at_ms < other.ended_at_ms
            and other.started_at_ms < self.ended_at_ms
        )


@dataclass(slots=True)
class WorkerLoad:
    """Capacity of a worker and how many log lines show it exceeded.

    `first_reserved_exceeded_count` adds up the sizes reserved at the start of
    tasks, even if an owner has released a part of them.
    """

    capacity: Resources = NO_RESOURCES
    overcommitted_count: int = 0
    really_exceeded_count: int = 0
    first_reserved_exceeded_count: int = 0


@dataclass(slots=True)
class Tally:
    """Outcomes of all jobs and the faults found; see `is_good`.

    Workers in `really_exceeded` are in `overcommitted` as well, while
    `first_reserved_exceeded` alone is no fault.
    """

    submitted_count: int = 0
    outcomes: Counter[Outcome] = field(default_factory=Counter)
    doubled: list[TaskId] = field(default_factory=list)
    overcommitted: list[WorkerId] = field(default_factory=list)
    really_exceeded: list[WorkerId] = field(default_factory=list)
    first_reserved_exceeded: list[WorkerId] = field(default_factory=list)
    ran_though_refused: list[str] = field(default_factory=list)
    running_though_cancelled: list[str] = field(default_factory=list)
    outcome_of: dict[str, Outcome] = field(default_factory=dict)

    @property
    def is_good(self) -> bool:
        """Tell whether no guarantee of the scheduler was violated."""
        broken = (
            self.doubled,
            self.overcommitted,
            self.ran_though_refused,
            self.running_though_cancelled,
        )
        return not self.outcomes[Outcome.LOST] and not any(broken)

    @property
    def is_settled(self) -> bool:
        """Tell whether no acknowledged job is open.

        A job that still runs after its cancellation counts as open.
        """
        return (
            not self.outcomes[Outcome.LOST]
            and not self.running_though_cancelled
        )


def group_runs_by_task(logs: WorkerLogs) -> dict[TaskId, list[Run]]:
    """Return the runs of each task in the order of their start."""
    runs: dict[TaskId, list[Run]] = defaultdict(list)
    for worker, lines in logs.items():
        by_attempt: dict[AttemptId, Run] = {}
        for line in lines:
            if line.kind is LogKind.START:
                run = Run(line.attempt, worker, line.time_ms)
                by_attempt[line.attempt] = run
                runs[run.task].append(run)
            elif line.kind is LogKind.END:
                by_attempt[line.attempt].ended_at_ms = line.time_ms
                by_attempt[line.attempt].outcome = line.detail
    for task_runs in runs.values():
        task_runs.sort(key=lambda run: run.started_at_ms)
    return runs


def count_outcomes(jobs: Iterable[SubmittedJob], logs: WorkerLogs) -> Tally:
    """Count the outcomes of the jobs and the faults in the logs."""
    counted = Tally()
    runs = group_runs_by_task(logs)
    at_most_once_ids: set[str] = set()
    for job in jobs:
        counted.submitted_count += 1
        if job.body.get('execution') == 'at_most_once':
            at_most_once_ids.add(job.job_id)
        _count_job(counted, job, runs)
    counted.doubled.extend(
        task
        for task, task_runs in runs.items()
        if _is_doubled(task_runs, task.rpartition('/')[0] in at_most_once_ids)
    )
    for worker, lines in logs.items():
        _count_worker(counted, worker, measure_load(lines))
    return counted


def _is_doubled(task_runs: list[Run], is_at_most_once: bool) -> bool:
    if is_at_most_once and len(task_runs) > 1:
        return True
    pairs = combinations(task_runs, 2)
    return any(first.overlaps(second) for first, second in pairs)


def _count_worker(counted: Tally, worker: WorkerId, load: WorkerLoad) -> None:
    if load.overcommitted_count:
        counted.overcommitted.append(worker)
    if load.really_exceeded_count:
        counted.really_exceeded.append(worker)
    if load.first_reserved_exceeded_count:
        counted.first_reserved_exceeded.append(worker)


@dataclass(slots=True)
class _RunningTask:
    in_force: Resources
    start: LogLine


def measure_load(lines: list[LogLine]) -> WorkerLoad:
    """Compare the tasks of a worker with its capacity after each line."""
    load = WorkerLoad()
    running: dict[AttemptId, _RunningTask] = {}
    for line in lines:
        if line.kind is LogKind.READY:
            load.capacity = line.reserved
            continue
        _apply_line(running, line)
        _count_exceeded(load, running.values())
    return load


def _apply_line(running: dict[AttemptId, _RunningTask], line: LogLine) -> None:
    if line.kind is LogKind.START:
        running[line.attempt] = _RunningTask(line.reserved, line)
    elif line.kind is LogKind.END:
        running.pop(line.attempt)
    elif line.kind is LogKind.MEASURED:
        running[line.attempt].in_force = Resources(
            *map(min, line.reserved.as_tuple(), line.real.as_tuple()),
        )


def _count_exceeded(load: WorkerLoad, running: Iterable[_RunningTask]) -> None:
    in_force = NO_RESOURCES
    real = NO_RESOURCES
    first_reserved = NO_RESOURCES
    for task in running:
        in_force += task.in_force
        real += task.start.real
        first_reserved += task.start.reserved
    capacity = load.capacity
    is_exceeded = not real.fits_in(capacity)
    is_overcommitted = is_exceeded or not in_force.fits_in(capacity)
    load.overcommitted_count += is_overcommitted
    load.really_exceeded_count += is_exceeded
    load.first_reserved_exceeded_count += not first_reserved.fits_in(capacity)


def _count_job(
    counted: Tally,
    job: SubmittedJob,
    runs: dict[TaskId, list[Run]],
) -> None:
    tasks_count = job.body.get('tasks_count', 1)
    runs_of_tasks = [
        runs.get(TaskId(f'{job.job_id}/{position}'), [])
        for position in range(tasks_count)
    ]
    outcome = _outcome_of_job(job, runs_of_tasks)
    counted.outcomes[outcome] += 1
    counted.outcome_of[job.body['idempotency_key']] = outcome
    if outcome is Outcome.REFUSED and job.job_id and any(runs_of_tasks):
        counted.ran_though_refused.append(job.job_id)
    if outcome is Outcome.CANCELLED and any(map(_is_running, runs_of_tasks)):
        counted.running_though_cancelled.append(job.job_id)


def _outcome_of_job(
    job: SubmittedJob, runs_of_tasks: list[list[Run]]
) -> Outcome:
    if job.is_refused:
        return Outcome.REFUSED
    if not job.is_accepted:
        return Outcome.UNANSWERED
    is_complete = _has_succeeded
    if job.body.get('workload') == 'service':
        is_complete = _is_running
    if job.cancel_acknowledged:
        finished = is_complete is _has_succeeded and all(
            map(_has_succeeded, runs_of_tasks),
        )
        return Outcome.FINISHED if finished else Outcome.CANCELLED
    return (
        Outcome.FINISHED
        if all(map(is_complete, runs_of_tasks))
        else Outcome.LOST
    )


def _has_succeeded(task_runs: list[Run]) -> bool:
    return any(run.outcome == _SUCCEEDED for run in task_runs)


def _is_running(task_runs: list[Run]) -> bool:
    return any(not run.outcome for run in task_runs)
