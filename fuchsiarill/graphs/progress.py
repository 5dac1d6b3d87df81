"""What must outlast an owner of a job: ends, failures and checkpoints."""

from dataclasses import dataclass, field
from typing import NamedTuple

from fuchsiarill.graphs.model import Checkpoint
from fuchsiarill.graphs.states import JobPhase


class UnitKey(NamedTuple):
    """What starts together within a job: one task, or a whole gang.

    A gang has the position of its first task.
    """

    occurrence: int
    step: int
    position: int


@dataclass(slots=True)
class JobProgress:
    """Durable progress of a job; a new job has none."""

    phase: JobPhase = JobPhase.ACTIVE
    # Units whose end as succeeded has been seen.
    succeeded: set[UnitKey] = field(default_factory=set)
    # Numbers of the attempts that ended as failed.
    failed_attempts: dict[UnitKey, set[int]] = field(default_factory=dict)
    checkpoints: dict[UnitKey, Checkpoint] = field(default_factory=dict)
    has_started: bool = False
