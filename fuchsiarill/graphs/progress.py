"""Durable progress of jobs, which the next owner of the pool loads."""

from dataclasses import dataclass, field
from typing import NamedTuple

from fuchsiarill.graphs.model import Checkpoint
from fuchsiarill.graphs.states import JobPhase


class UnitKey(NamedTuple):
    """Key of a unit: tasks of a job that start together.

    A unit is one task, or a whole gang, which has the position of its first
    task.
    """

    occurrence: int
    step: int
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
    has_started: bool = False
