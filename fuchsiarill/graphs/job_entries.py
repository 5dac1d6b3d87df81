"""Jobs of a pool, their steps and the units that have not succeeded."""

from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass, field
from functools import cached_property
from typing import Final, NamedTuple

from fuchsiarill.graphs.model import (
    NO_CHECKPOINT,
    Checkpoint,
    JobGraph,
    QueuePolicy,
    Step,
    StepKey,
    TaskKey,
)
from fuchsiarill.graphs.progress import JobProgress, UnitKey
from fuchsiarill.graphs.runs import Run
from fuchsiarill.graphs.states import JobPhase
from fuchsiarill.ids import JobId, WorkerId

# Each owner numbers its attempts of inherited jobs from a floor that is this
# much higher than that of the previous owner. The difference exceeds the number
# of attempts that an owner can make of a task without a durable record.
ATTEMPTS_PER_TERM: Final = 100


@dataclass(slots=True)
class FailureHistory:
    """Failures since the last proof that a step or a unit is sound."""

    workers: set[WorkerId] = field(default_factory=set)
    # Those of them that were neither suspended nor on probation then.
    witnesses: set[WorkerId] = field(default_factory=set)
    # The longest time from a start order to the failure of its run.
    longest_ms: int = 0
    # The failures show nothing about the workers; see `failure_blame`.
    is_to_blame: bool = False

    def add(
        self, worker: WorkerId, ran_ms: int, *, is_on_probation: bool
    ) -> None:
        """Add the failure of a run."""
        self.workers.add(worker)
        if not is_on_probation:
            self.witnesses.add(worker)
        self.longest_ms = max(self.longest_ms, ran_ms)

    def clear(self) -> None:
        """Forget all failures."""
        self.workers.clear()
        self.witnesses.clear()
        self.longest_ms = 0
        self.is_to_blame = False


@dataclass(slots=True)
class Unit:
    """A task or a gang that has not succeeded, with its runs."""

    key: UnitKey
    runs: dict[tuple[TaskKey, int], Run] = field(default_factory=dict)
    last_attempt: int = 0
    checkpoint: Checkpoint = NO_CHECKPOINT
    # Workers on which the unit ever failed; others are preferred.
    failed_on: set[WorkerId] = field(default_factory=set)
    preemptions_count: int = 0
    stalls_count: int = 0
    failures: FailureHistory = field(default_factory=FailureHistory)
    # Early ends in a row of a lasting task, and when its next start is due.
    early_ends_count: int = 0
    start_after_ms: int = 0
    # Tasks of the unit under which a worker has crashed and which may be the
    # cause. The next run of each is on trial.
    suspects: set[TaskKey] = field(default_factory=set)
    # Runs that were lost with a worker which may not have started them, since
    # their task became a suspect.
    unconfirmed_losses: set[tuple[TaskKey, int]] = field(default_factory=set)
    # Since when a suspect has found room only beside runs that have just
    # started; `None` otherwise.
    trial_wait_since_ms: int | None = None

    @property
    def is_suspect(self) -> bool:
        """Return whether a task of the unit is a suspect."""
        return bool(self.suspects)


@dataclass(slots=True)
class PlacementWait:
    """When a step with waiting units is considered and logged again."""

    # The next decision round considers the step. Otherwise it waits for room
    # after `blocked_position` in `PoolState.room_changes`, or for `recheck_ms`.
    is_due: bool = True
    blocked_position: int = 0
    recheck_ms: int = 0
    # Since when no unit of the step could be placed; `None` after a start.
    since_ms: int | None = None
    # Since when the step waits for the ceiling of its customer; `None` if it
    # does not.
    ceiling_since_ms: int | None = None
    # The reason for which the step waits is not logged before this time.
    next_report_ms: int = 0
    # Since when the step is ranked first, for one start, since its kind of work
    # has had none for long; `None` otherwise.
    floor_since_ms: int | None = None


class ExpectedRoom(NamedTuple):
    """Room for one task that a preemption should free on a worker."""

    worker: WorkerId
    expiry_ms: int


class StepEntry:
    """A step of one occurrence with units that have not succeeded.

    A step that is not open waits for the steps that it depends on. Such a step
    has an entry if advice for it is requested early, or if a worker reports a
    run, or the end of a run, that a previous owner started, before the
    successes that opened the step are reported.
    """

    def __init__(self, key: StepKey, spec: Step) -> None:
        """Create an entry without units that is not open."""
        self.key = key
        self.spec = spec
        self.is_open = False
        self.waiting: dict[UnitKey, Unit] = {}
        self.active: dict[UnitKey, Unit] = {}
        self.runs_per_worker: Counter[WorkerId] = Counter()
        # Room that is being made for waiting units and is reserved for them.
        self.expected_room: list[ExpectedRoom] = []
        # No further runs are preempted for the step before this time.
        self.next_preemption_ms = 0
        # When reservations for a gang step began; reset when the gang starts.
        self.reserving_since_ms: int | None = None
        # Rank at the last decision about the step.
        self.rank_ms = 0
        self.wait = PlacementWait()
        self.failures = FailureHistory()

    @property
    def expected_end_ms(self) -> float:
        """Return when the last run of the active units should end."""
        ends_ms = [
            run.expected_end_ms
            for unit in self.active.values()
            for run in unit.runs.values()
        ]
        return max(ends_ms, default=0)

    @cached_property
    def unit_keys(self) -> tuple[UnitKey, ...]:
        """Return the keys of all units of the step, succeeded ones too."""
        return unit_keys(self.key, self.spec)

    def tasks_of(self, unit: UnitKey) -> list[TaskKey]:
        """Return the tasks that start together as the unit with this key."""
        if not self.spec.is_gang:
            return [TaskKey(*self.key, unit.position)]
        return [
            TaskKey(*self.key, index) for index in range(self.spec.tasks_count)
        ]

    def find_unit(self, key: UnitKey) -> Unit | None:
        """Return a unit, or `None` if it has succeeded."""
        return self.active.get(key) or self.waiting.get(key)

    def activate(self, unit: Unit) -> None:
        """Move a unit from `waiting` to `active`: it gets runs."""
        self.waiting.pop(unit.key, None)
        self.active[unit.key] = unit
        self.reserving_since_ms = None
        self.wait.since_ms = None
        self.wait.floor_since_ms = None

    def consume_room(self, worker: WorkerId) -> None:
        """Remove the expected room of a task that starts on a worker."""
        for room in self.expected_room:
            if room.worker == worker:
                self.expected_room.remove(room)
                return

    def requeue(self, unit: Unit) -> None:
        """Move a unit without runs from `active` back to `waiting`."""
        self.active.pop(unit.key, None)
        self.waiting[unit.key] = unit
        self.wait.is_due = True


class JobEntry:
    """A job with its durable progress and its unfinished steps."""

    def __init__(
        self,
        graph: JobGraph,
        policy: QueuePolicy,
        progress: JobProgress,
        accepted_ms: int,
        expected_ms: tuple[float, ...],
    ) -> None:
        """Create the entry without step entries.

        `expected_ms` is the expected run time of a task, for each step.
        """
        self.graph = graph
        self.policy = policy
        self.progress = progress
        # When this owner added the job; an inherited job may have been accepted
        # long before.
        self.accepted_ms = accepted_ms
        self._expected_ms = expected_ms
        # When the job reached its final phase, or was loaded in that phase.
        self.settled_ms = accepted_ms
        self.steps: dict[tuple[int, int], StepEntry] = {}
        self.opened_occurrences = 0
        # Accepted before this owner was elected: a previous owner may have
        # started its tasks on a worker that has not reported yet.
        self.is_inherited = False
        # Sent beyond the rate that the contract of the customer guarantees.
        self.is_beyond_rate = False
        # Attempts that this owner makes get higher numbers than this.
        self.attempt_floor = 0

    @property
    def job(self) -> JobId:
        """Return the id of the job."""
        return self.graph.job

    def is_inherited_attempt(self, attempt: int) -> bool:
        """Tell whether a previous owner has made an attempt."""
        return self.is_inherited and attempt <= self.attempt_floor

    @property
    def is_active(self) -> bool:
        """Tell whether the job has not reached its final phase."""
        return self.progress.phase is JobPhase.ACTIVE

    def expected_ms(self, step: StepEntry) -> float:
        """Return the expected run time of a task of a step."""
        return self._expected_ms[step.key.step]

    @cached_property
    def critical_paths_ms(self) -> tuple[int, ...]:
        """Return the expected time from each step's start to the job's end.

        It is the time of the longest chain of steps that begins with the step.
        """
        paths_ms = [0 for _ in self.graph.steps]
        for position, step in reversed(tuple(enumerate(self.graph.steps))):
            paths_ms[position] += int(self._expected_ms[position])
            for earlier_position in step.after:
                paths_ms[earlier_position] = max(
                    paths_ms[earlier_position], paths_ms[position]
                )
        return tuple(paths_ms)

    @cached_property
    def objective_ms(self) -> int:
        """Return the time after `accepted_ms` until the job should succeed."""
        longest_ms = max(self.critical_paths_ms)
        return (
            int(self.policy.slack_factor * longest_ms) + self.policy.target_ms
        )

    def latest_start_ms(self, step: StepEntry) -> int:
        """Return when a step has to start for the job to meet its objective."""
        _, occurrence, position = step.key
        due_ms = self.accepted_ms
        schedule = self.graph.schedule
        if schedule is not None:
            due_ms += occurrence * schedule.period_ms
        return due_ms + self.objective_ms - self.critical_paths_ms[position]

    def path_ms(self, step: StepEntry) -> int:
        """Return the expected time from a step's start to the job's end."""
        return self.critical_paths_ms[step.key.step]

    def age_ms(self, step: StepEntry, now_ms: int) -> int:
        """Return the time since the occurrence of a step was due."""
        latest_end_ms = self.latest_start_ms(step) + self.path_ms(step)
        return now_ms - latest_end_ms + self.objective_ms

    def open_occurrence(self, occurrence: int) -> None:
        """Open the steps of an occurrence whose dependencies have succeeded."""
        self.opened_occurrences = max(self.opened_occurrences, occurrence + 1)
        for position, _ in enumerate(self.graph.steps):
            self._open_if_ready(occurrence, position)

    def steps_opened_by(self, step: StepEntry) -> list[StepEntry]:
        """Return the steps that open once a step has succeeded.

        Their entries are created if needed, and are not open yet.
        """
        opened: list[StepEntry] = []
        occurrence = step.key.occurrence
        for position, spec in enumerate(self.graph.steps):
            if step.key.step not in spec.after:
                continue
            others = (
                earlier for earlier in spec.after if earlier != step.key.step
            )
            if not all(self._is_step_done(occurrence, row) for row in others):
                continue
            later_step = self.ensure_step(occurrence, position)
            if later_step is not None and later_step.waiting:
                opened.append(later_step)
        return opened

    def complete_unit(self, step: StepEntry, unit: Unit) -> None:
        """Record a unit's success; open the steps that waited only for it."""
        step.active.pop(unit.key, None)
        step.waiting.pop(unit.key, None)
        self.progress.succeeded.add(unit.key)
        self.progress.forget_crashes(unit.key)
        if step.waiting or step.active:
            return
        occurrence = step.key.occurrence
        self.steps.pop((occurrence, step.key.step), None)
        for position, later_step in enumerate(self.graph.steps):
            if step.key.step in later_step.after:
                self._open_if_ready(occurrence, position)

    @property
    def is_complete(self) -> bool:
        """Tell whether every unit of every occurrence has succeeded."""
        return (
            not self.steps
            and self.opened_occurrences == self.graph.occurrences_count
        )

    def waiting_steps(self) -> list[StepEntry]:
        """Return the open steps with units that wait for a start."""
        return [
            step
            for step in self.steps.values()
            if step.is_open and step.waiting
        ]

    def runs(self) -> Iterator[Run]:
        """Return the runs of all active units.

        Runs of units that have succeeded, and runs that were not adopted, are
        left out.
        """
        for step in self.steps.values():
            for unit in step.active.values():
                yield from unit.runs.values()

    def ensure_step(self, occurrence: int, position: int) -> StepEntry | None:
        """Return the entry of a step, which is created if needed.

        Returns `None` when all units of the step have succeeded.
        """
        step = self.steps.get((occurrence, position))
        if step is not None:
            return step
        spec = self.graph.steps[position]
        step = StepEntry(StepKey(self.job, occurrence, position), spec)
        for unit_key in step.unit_keys:
            if unit_key in self.progress.succeeded:
                continue
            step.waiting[unit_key] = self._create_unit(step, unit_key)
        if not step.waiting:
            return None
        self.steps[occurrence, position] = step
        return step

    def _open_if_ready(self, occurrence: int, position: int) -> None:
        for earlier_position in self.graph.steps[position].after:
            if not self._is_step_done(occurrence, earlier_position):
                return
        step = self.ensure_step(occurrence, position)
        if step is not None:
            step.is_open = True
            return
        for later_position, later_step in enumerate(self.graph.steps):
            if position in later_step.after:
                self._open_if_ready(occurrence, later_position)

    def _is_step_done(self, occurrence: int, position: int) -> bool:
        key = StepKey(self.job, occurrence, position)
        return all(
            unit in self.progress.succeeded
            for unit in unit_keys(key, self.graph.steps[position])
        )

    def _create_unit(self, step: StepEntry, key: UnitKey) -> Unit:
        failed_attempts = self.progress.failed_attempts.get(key, set())
        crashed_attempts = self.progress.crashed_attempts.get(key, set())
        attempts = failed_attempts | crashed_attempts
        return Unit(
            key,
            last_attempt=max(self.attempt_floor, *attempts, 0),
            checkpoint=self.progress.checkpoints.get(key, NO_CHECKPOINT),
            suspects={
                task
                for task in step.tasks_of(key)
                if self.progress.crashes_under(key, task.position)
            },
        )


def unit_of(step: Step, task: TaskKey) -> UnitKey:
    """Return the key of the unit that a task belongs to."""
    position = 0 if step.is_gang else task.position
    return UnitKey(task.occurrence, task.step, position)


def unit_keys(key: StepKey, step: Step) -> tuple[UnitKey, ...]:
    """Return the keys of the units of a step; a gang is a single unit."""
    count = 1 if step.is_gang else step.tasks_count
    return tuple(
        UnitKey(key.occurrence, key.step, index) for index in range(count)
    )
