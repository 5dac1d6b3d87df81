"""Load patterns in YAML: workers, queues, arrivals, losses and outcomes."""

from pathlib import Path
from typing import Final

import yaml
from pydantic import BaseModel, ConfigDict, Field

from fuchsiarill.resources import Resources


class _Row(BaseModel):
    model_config = ConfigDict(frozen=True, extra='forbid')


class _Sized(_Row):
    processors_milli: int = 1000
    memory_mb: int = 1000

    @property
    def size(self) -> Resources:
        """Return the resources of a worker or a task."""
        return Resources(self.processors_milli, self.memory_mb)


class WorkerRow(_Sized):
    """Workers of one kind; `speed` divides the run times of their tasks."""

    count: int
    speed: float = 1.0
    racks: tuple[str, ...] = ()


class QueueRow(_Row):
    """Policy of a queue."""

    name: str
    priority: int = 0
    slack_factor: float = 1.0
    target_ms: int = 0


class ContractRow(_Row):
    """Contract of a customer."""

    customer: str
    weight: float


class StepRow(_Sized):
    """Tasks of one step; its run time is drawn from a range."""

    tasks: int = 1
    run_ms: tuple[int, int]
    # The usual time of the run, by default the middle of the range.
    estimate_ms: int | None = None
    is_checkpointing: bool = False
    data_rack: str | None = None

    @property
    def estimated_ms(self) -> int:
        """Return the caller's estimate of the run time."""
        if self.estimate_ms is not None:
            return self.estimate_ms
        return sum(self.run_ms) // 2


class ArrivalRow(_Row):
    """Jobs that arrive at a regular interval, each a chain of steps."""

    queue: str
    customer: str | None = None
    from_ms: int = 0
    until_ms: int = 1
    every_ms: int = 1
    # Jobs at each time.
    jobs: int = 1
    steps: tuple[StepRow, ...]


class LossRow(_Row):
    """A worker that ends, with all its runs, and comes back empty."""

    at_ms: int
    back_ms: int
    worker: int


class OutcomeRow(_Row):
    """A bound on a measure of the jobs of a queue, a customer or all."""

    measure: str
    queue: str | None = None
    customer: str | None = None
    at_least: float = float('-inf')
    at_most: float = float('inf')


class LoadPattern(_Row):
    """A load in paused time and its stated outcomes."""

    about: str
    seed: int = 1
    duration_ms: int
    # Time from a stop order until the worker reports the end.
    stop_ms: int = 300
    checkpoint_interval_ms: int = 500
    remote_penalty: float = 1.0
    workers: tuple[WorkerRow, ...]
    queues: tuple[QueueRow, ...]
    contracts: tuple[ContractRow, ...] = ()
    arrivals: tuple[ArrivalRow, ...]
    losses: tuple[LossRow, ...] = ()
    outcomes: tuple[OutcomeRow, ...] = Field(min_length=1)


LOAD_FOLDER: Final = Path(__file__).parents[1] / 'traces' / 'load'


def load_pattern(path: Path) -> LoadPattern:
    """Read a pattern from a file."""
    return LoadPattern.model_validate(yaml.safe_load(path.read_text()))
