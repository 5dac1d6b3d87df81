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
    # Workers that may still execute a start order of the unit without an
    # answer; see `start_windows`.
    unanswered_starts: dict[UnitKey, set[WorkerId]] = field(
        default_factory=dict
    )

    def crashes_count(self, unit: UnitKey) -> int:
        """Return the number of attempts during which a worker crashed."""
        return len(self.crashed_attempts.get(unit, ()))

    def add_crash(self, unit: UnitKey, attempt: int) -> bool:
        """Count a crash during an attempt; returns whether it is the first.

        An attempt counts once, so a gang that loses several workers does too.
        """
        attempts = self.crashed_attempts.setdefault(unit, set())
        if attempt in attempts:
            return False
        attempts.add(attempt)
        return True

    def remove_crash(self, unit: UnitKey, attempt: int) -> bool:
        """Take back a crash; returns whether it was counted."""
        attempts = self.crashed_attempts.get(unit, set())
        if attempt not in attempts:
            return False
        attempts.remove(attempt)
        if not attempts:
            self.crashed_attempts.pop(unit)
        return True
