"""Counts what became of jobs, from what workers and callers saw.

Nothing here asks the scheduler. A worker is overcommitted when what its tasks
really use exceeds its capacity, or when the sizes in force do: the reserved
size of a task until the worker has reported its usage to an owner, from then
on that usage if it is less, since an owner may release what a task reserved
and does not use. The sizes at the start are counted apart. A task is doubled
when two of its attempts run at the same time, or when a task that may run at
most once is started twice. A job is lost when it was acknowledged, not
cancelled, and neither finished nor, for a service, running with all replicas.
"""

from collections import Counter, defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum
from itertools import combinations

from fuchsiarill.ids import AttemptId, TaskId, WorkerId
from fuchsiarill.resources import NOTHING, Resources
from standins.worker_log import LogKind, LogLine
from tools.caller import JobNote

WorkerLogs = dict[WorkerId, list[LogLine]]

_SUCCEEDED = 'succeeded'
_ENDLESS_MS = 2**62


class Fate(Enum):
    """What became of a job, as workers and callers saw it."""

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
    ended_at_ms: int = _ENDLESS_MS
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
        """Tell whether both ran at one time."""
        return (
            self.started_at_ms < other.ended_at_ms
            and other.started_at_ms < self.ended_at_ms
        )


@dataclass(slots=True)
class Load:
    """What one worker carried, and how often it was too much.

    `first_reserved_exceeded_count` counts the sizes at the start of tasks,
    whether an owner released a part of them or not.
    """

    capacity: Resources = NOTHING
    overcommitted_count: int = 0
    really_exceeded_count: int = 0
    first_reserved_exceeded_count: int = 0


@dataclass(slots=True)
class Tally:
    """The counts; the last three of a good run are 0."""

    submitted_count: int = 0
    fates: Counter[Fate] = field(default_factory=Counter)
    doubled: list[TaskId] = field(default_factory=list)
    overcommitted: list[WorkerId] = field(default_factory=list)
    really_exceeded: list[WorkerId] = field(default_factory=list)
    first_reserved_exceeded: list[WorkerId] = field(default_factory=list)
    ran_though_refused: list[str] = field(default_factory=list)
    running_though_cancelled: list[str] = field(default_factory=list)
    fate_of: dict[str, Fate] = field(default_factory=dict)

    @property
    def is_good(self) -> bool:
        """Tell whether no promise was broken."""
        broken = (
            self.doubled,
            self.overcommitted,
            self.ran_though_refused,
            self.running_though_cancelled,
        )
        return not self.fates[Fate.LOST] and not any(broken)

    @property
    def is_settled(self) -> bool:
        """Tell whether every answered job has come to its end."""
        return not self.fates[Fate.LOST] and not self.running_though_cancelled


def runs_of(logs: WorkerLogs) -> dict[TaskId, list[Run]]:
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
    for of_task in runs.values():
        of_task.sort(key=lambda run: run.started_at_ms)
    return runs


def tally(notes: Iterable[JobNote], logs: WorkerLogs) -> Tally:
    """Count everything."""
    counted = Tally()
    runs = runs_of(logs)
    once: set[str] = set()
    for note in notes:
        counted.submitted_count += 1
        if note.body.get('execution') == 'at_most_once':
            once.add(note.job_id)
        _count_job(counted, note, runs)
    counted.doubled.extend(
        task
        for task, of_task in runs.items()
        if _is_doubled(of_task, task.rpartition('/')[0] in once)
    )
    for worker, lines in logs.items():
        _count_worker(counted, worker, load_of(lines))
    return counted


def _is_doubled(of_task: list[Run], runs_once: bool) -> bool:
    if runs_once and len(of_task) > 1:
        return True
    pairs = combinations(of_task, 2)
    return any(first.overlaps(then) for first, then in pairs)


def _count_worker(counted: Tally, worker: WorkerId, load: Load) -> None:
    if load.overcommitted_count:
        counted.overcommitted.append(worker)
    if load.really_exceeded_count:
        counted.really_exceeded.append(worker)
    if load.first_reserved_exceeded_count:
        counted.first_reserved_exceeded.append(worker)


@dataclass(slots=True)
class _Carried:
    in_force: Resources
    start: LogLine


def load_of(lines: list[LogLine]) -> Load:
    """Add up what a worker carried, in the order of its log."""
    load = Load()
    carried: dict[AttemptId, _Carried] = {}
    for line in lines:
        if line.kind is LogKind.READY:
            load.capacity = line.reserved
            continue
        _carry(carried, line)
        _note_load(load, carried.values())
    return load


def _carry(carried: dict[AttemptId, _Carried], line: LogLine) -> None:
    if line.kind is LogKind.START:
        carried[line.attempt] = _Carried(line.reserved, line)
    elif line.kind is LogKind.END:
        carried.pop(line.attempt)
    elif line.kind is LogKind.MEASURED:
        carried[line.attempt].in_force = Resources(
            *map(min, line.reserved.as_tuple(), line.real.as_tuple()),
        )


def _note_load(load: Load, carried: Iterable[_Carried]) -> None:
    in_force = NOTHING
    real = NOTHING
    first_reserved = NOTHING
    for task in carried:
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
    note: JobNote,
    runs: dict[TaskId, list[Run]],
) -> None:
    tasks_count = note.body.get('tasks_count', 1)
    of_tasks = [
        runs.get(TaskId(f'{note.job_id}/{position}'), [])
        for position in range(tasks_count)
    ]
    fate = _fate(note, of_tasks)
    counted.fates[fate] += 1
    counted.fate_of[note.body['idempotency_key']] = fate
    if fate is Fate.REFUSED and note.job_id and any(of_tasks):
        counted.ran_though_refused.append(note.job_id)
    if fate is Fate.CANCELLED and any(map(_is_running, of_tasks)):
        counted.running_though_cancelled.append(note.job_id)


def _fate(note: JobNote, of_tasks: list[list[Run]]) -> Fate:
    if note.is_refused:
        return Fate.REFUSED
    if not note.is_accepted:
        return Fate.UNANSWERED
    is_complete = _has_succeeded
    if note.body.get('workload') == 'service':
        is_complete = _is_running
    if note.cancel_acknowledged:
        finished = is_complete is _has_succeeded and all(
            map(_has_succeeded, of_tasks),
        )
        return Fate.FINISHED if finished else Fate.CANCELLED
    return Fate.FINISHED if all(map(is_complete, of_tasks)) else Fate.LOST


def _has_succeeded(of_task: list[Run]) -> bool:
    return any(run.outcome == _SUCCEEDED for run in of_task)


def _is_running(of_task: list[Run]) -> bool:
    return any(not run.outcome for run in of_task)
