"""One run of a task on a worker."""

from dataclasses import dataclass
from typing import Final

from fuchsiarill.graphs.model import (
    FULL_PACE_PERCENT,
    NO_CHECKPOINT,
    Checkpoint,
    TaskKey,
)
from fuchsiarill.graphs.progress import UnitKey
from fuchsiarill.graphs.states import RunState
from fuchsiarill.ids import WorkerId
from fuchsiarill.resources import Resources

# Progress of a task that lasts once it is at work.
AT_WORK_PERCENT: Final = 100


@dataclass(slots=True)
class Run:
    """State of a run; `charge` is held on the worker until it has ended."""

    task: TaskKey
    attempt: int
    unit: UnitKey
    worker: WorkerId
    charge: Resources
    # Processors that a filler uses when others leave them.
    filler_milli: int = 0
    state: RunState = RunState.STARTING
    ordered_ms: int = 0
    # From when on a report that does not list the run means that it is gone;
    # unknown while neither the start nor a stop has been answered.
    listed_from_ms: int | None = None
    # A report of the worker's present life has listed the run.
    is_listed: bool = False
    stop_ordered_ms: int | None = None
    is_stop_answered: bool = False
    checkpoint: Checkpoint = NO_CHECKPOINT
    progress_percent: int = 0
    progress_changed_ms: int = 0
    usage: float | None = None
    pace_percent: int = FULL_PACE_PERCENT
    paced_ms: int = 0

    @property
    def key(self) -> tuple[TaskKey, int]:
        """Return the task and the number of the attempt."""
        return (self.task, self.attempt)
