"""Durable progress of jobs, which the next owner of the pool loads."""

from dataclasses import dataclass, field
from typing import NamedTuple

from fuchsiarill.graphs.model import Checkpoint
from fuchsiarill.graphs.states import JobPhase
from fuchsiarill.ids import WorkerId


class UnitKey(NamedTuple):
    """Key of a unit: tasks of a job that start together.

    A unit is one task, or a whole gang, which has the position of its first
    task.
    """

    occurrence: int
    step: int
    position: int

    @property
    def label(self) -> str:
        """Return occurrence, step and position of the unit, for logs."""
        return f'{self.occurrence}.{self.step}.{self.position}'


class CrashedRun(NamedTuple):
    """A run whose worker crashed."""

    attempt: int
    # Of the task in its step; the members of a gang have different ones.
    position: int


@dataclass(slots=True)
class JobProgress:
    """Durable progress of a job; the defaults are those of a new job."""

    phase: JobPhase = JobPhase.ACTIVE
    # Units whose success has been reported.
    succeeded: set[UnitKey] = field(default_factory=set)
    # Numbers of the failed attempts.
    failed_attempts: dict[UnitKey, set[int]] = field(default_factory=dict)
    checkpoints: dict[UnitKey, Checkpoint] = field(default_factory=dict)
    # A worker has confirmed or listed a run of the job, or has reported the end
    # of one. Saved with the next other change: a new owner learns of a start
    # that was not saved when the worker reports.
    has_started: bool = False
    # Numbers of the attempts during which a worker of the unit has crashed.
    crashed_attempts: dict[UnitKey, set[int]] = field(default_factory=dict)
    # The runs whose workers crashed in these attempts. An attempt without one
    # was recorded by a version that did not record them.
    crashed_runs: dict[UnitKey, set[CrashedRun]] = field(default_factory=dict)
    # Workers that may still execute a start order of the unit without an
    # answer; see `start_windows`.
    unanswered_starts: dict[UnitKey, set[WorkerId]] = field(
        default_factory=dict
    )
    # For how long after it was sent such an order may be executed. Missing in
    # records of a former version, and if the worker may have restarted.
    unanswered_ms: dict[UnitKey, int] = field(default_factory=dict)

    def add_unanswered(
        self, unit: UnitKey, worker: WorkerId, executable_ms: int
    ) -> None:
        """Record a start order that may be executed for `executable_ms`."""
        is_new = unit not in self.unanswered_starts
        self.unanswered_starts.setdefault(unit, set()).add(worker)
        if is_new or unit in self.unanswered_ms:
            longest_ms = max(self.unanswered_ms.get(unit, 0), executable_ms)
            self.unanswered_ms[unit] = longest_ms

    def forget_unanswered(self, unit: UnitKey) -> bool:
        """Remove the start orders of a unit; returns whether it had any."""
        self.unanswered_ms.pop(unit, None)
        return self.unanswered_starts.pop(unit, None) is not None

    def crashes_count(self, unit: UnitKey) -> int:
        """Return the number of attempts during which a worker crashed."""
        return len(self.crashed_attempts.get(unit, ()))

    def known_crashes_under(self, unit: UnitKey, position: int) -> int:
        """Return how many crashes are known to have hit a task's worker."""
        return sum(
            run.position == position for run in self.crashed_runs.get(unit, ())
        )

    def crashes_under(self, unit: UnitKey, position: int) -> int:
        """Return how many crashes may have hit a task's worker.

        A crash without a recorded run may have hit any member of a gang.
        """
        known_count = self.known_crashes_under(unit, position)
        return known_count + len(self.unattributed_crashes(unit))

    def unattributed_crashes(self, unit: UnitKey) -> set[int]:
        """Return the attempts with a crash of which no run is recorded."""
        attempts = {run.attempt for run in self.crashed_runs.get(unit, ())}
        return self.crashed_attempts.get(unit, set()) - attempts

    def add_crash(self, unit: UnitKey, crashed: CrashedRun) -> bool:
        """Count a crash for one task of a unit; returns whether it is new."""
        runs = self.crashed_runs.setdefault(unit, set())
        if crashed in runs:
            return False
        runs.add(crashed)
        self.crashed_attempts.setdefault(unit, set()).add(crashed.attempt)
        return True

    def remove_crash(self, unit: UnitKey, crashed: CrashedRun) -> bool:
        """Take back a crash; returns whether it was counted."""
        runs = self.crashed_runs.get(unit, set())
        if crashed not in runs:
            return False
        runs.remove(crashed)
        if all(run.attempt != crashed.attempt for run in runs):
            self.crashed_attempts[unit].discard(crashed.attempt)
        self._drop_empty(unit)
        return True

    def clear_crashes(self, unit: UnitKey, position: int) -> None:
        """Take back the crashes of a task, and those without a recorded run."""
        unattributed = self.unattributed_crashes(unit)
        self.crashed_attempts.get(unit, set()).difference_update(unattributed)
        for crashed in list(self.crashed_runs.get(unit, ())):
            if crashed.position == position:
                self.remove_crash(unit, crashed)
        self._drop_empty(unit)

    def forget_crashes(self, unit: UnitKey) -> None:
        """Forget all crashes of a unit, which has succeeded."""
        self.crashed_attempts.pop(unit, None)
        self.crashed_runs.pop(unit, None)

    def _drop_empty(self, unit: UnitKey) -> None:
        for by_unit in (self.crashed_attempts, self.crashed_runs):
            if not by_unit.get(unit):
                by_unit.pop(unit, None)
