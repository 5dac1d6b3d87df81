"""Run of a task on a worker."""

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
from fuchsiarill.ids import CustomerId, WorkerId
from fuchsiarill.resources import Resources

# Expected end of a lasting run, which does not end by itself.
NEVER_MS: Final = 1_000_000_000_000
# Progress of a lasting task that has been initialized.
INITIALIZED_PERCENT: Final = 100


@dataclass(slots=True)
class Run:
    """State of a run; its `charge` stays allocated until the run ends."""

    task: TaskKey
    attempt: int
    unit_key: UnitKey
    worker: WorkerId
    charge: Resources
    # Idle processors that a filler task can use, in thousandths of a processor.
    filler_milli: int = 0
    # Whose allocation the run counts for.
    customer: CustomerId | None = None
    # A previous owner of the pool has started it.
    is_inherited: bool = False
    state: RunState = RunState.STARTING
    start_ordered_ms: int = 0
    # Part of the work was done before `start_ordered_ms`: the run resumed from
    # a checkpoint, or an earlier owner started it.
    is_partial: bool = False
    # When the run is expected to end by itself.
    expected_end_ms: float = 0
    # Until then a step awaits the end of the run instead of stopping it; `None`
    # unless one has.
    awaited_until_ms: int | None = None
    # A report requested after this time lists the run unless it has ended;
    # `None` while the worker's present incarnation has neither confirmed a
    # start or a stop of the run nor listed the run in a report.
    visible_since_ms: int | None = None
    # The worker's present incarnation has answered the start order.
    is_start_confirmed: bool = False
    # A report of the worker's present incarnation has listed the run.
    is_listed: bool = False
    # Time from the start order, or the adoption, to the last report that lists
    # the run.
    listed_age_ms: int = 0
    # The worker gets no new run meanwhile; see `crash_trials`.
    is_on_trial: bool = False
    is_trial_report_requested: bool = False
    # The start order has got neither an answer nor a time-out.
    is_start_pending: bool = False
    # The start order may be executed until then; 0 once it can't be any more.
    # See `start_windows`.
    executable_until_ms: int = 0
    # Expiry of the ticket in the start order, `None` without a ticket.
    ticket_expiry_ms: int | None = None
    # The worker may have restarted before the order, so that the ticket may be
    # of another incarnation than the one that the owner knew.
    is_restart_suspected: bool = False
    # The leases that calls sent before the time-out of the start grant late
    # have expired after this time; 0 before the time-out.
    late_calls_expiry_ms: int = 0
    stop_ordered_ms: int | None = None
    is_stop_answered: bool = False
    checkpoint: Checkpoint = NO_CHECKPOINT
    progress_percent: int = 0
    progress_changed_ms: int = 0
    # Tail latency in ms of a serving task, else processors in use.
    usage: float | None = None
    pace_percent: int = FULL_PACE_PERCENT
    pace_changed_ms: int = 0

    @property
    def key(self) -> tuple[TaskKey, int]:
        """Return the task key and the attempt number."""
        return (self.task, self.attempt)

    @property
    def is_confirmed(self) -> bool:
        """Return whether the worker's present incarnation has started it."""
        return self.is_listed or self.is_start_confirmed
