"""Runs that ended together with their worker."""

from dataclasses import dataclass

from fuchsiarill.graphs.model import BornMs, Label, TaskKey
from fuchsiarill.graphs.progress import UnitKey
from fuchsiarill.ids import JobId, WorkerId


@dataclass(frozen=True, slots=True)
class LostRun:
    """A run that its worker had, or may have had, when it ended."""

    task: TaskKey
    attempt: int
    unit_key: UnitKey
    start_ordered_ms: int
    # No report shows that the run has outlived a trial.
    is_young: bool
    is_on_trial: bool
    # The incarnation that ended had started the run. Otherwise nothing shows
    # that the start order reached it.
    is_confirmed: bool

    @property
    def unit_id(self) -> tuple[JobId, UnitKey]:
        """Return the job and the key of the unit."""
        return (self.task.job, self.unit_key)


@dataclass(frozen=True, slots=True)
class WorkerLoss:
    """The runs that were lost with one incarnation of a worker.

    The incarnation ended between its last report, at `reported_ms`, and the
    first call that failed, at `silent_ms`.
    """

    worker: WorkerId
    address: str
    rack: Label | None
    born_ms: BornMs
    reported_ms: int
    silent_ms: int
    runs: tuple[LostRun, ...]
