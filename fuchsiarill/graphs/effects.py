"""What the decisions ask their surroundings to do."""

from dataclasses import dataclass

from fuchsiarill.graphs.model import Checkpoint, StepKey, TaskKey, Ticket
from fuchsiarill.ids import WorkerId


@dataclass(frozen=True, slots=True)
class StartRun:
    """Order a worker to start a run."""

    worker: WorkerId
    task: TaskKey
    attempt: int
    payload: str
    checkpoint: Checkpoint
    ticket: Ticket | None


@dataclass(frozen=True, slots=True)
class StopRun:
    """Order a worker to end a run and to refuse it from now on."""

    worker: WorkerId
    task: TaskKey
    attempt: int


@dataclass(frozen=True, slots=True)
class PaceRun:
    """Order a worker to let a run work at a share of its speed."""

    worker: WorkerId
    task: TaskKey
    attempt: int
    percent: int


@dataclass(frozen=True, slots=True)
class RequestAdvice:
    """Ask which workers may run a step; a lower `rank_ms` is more urgent."""

    step: StepKey
    workers: tuple[WorkerId, ...]
    rank_ms: int


@dataclass(frozen=True, slots=True)
class RequestReport:
    """Ask a worker at once what runs on it."""

    worker: WorkerId


Effect = StartRun | StopRun | PaceRun | RequestAdvice | RequestReport
