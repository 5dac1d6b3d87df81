"""Effects of decisions, which the owner of the pool executes."""

from dataclasses import dataclass

from fuchsiarill.graphs.claim_records import ClaimRecord
from fuchsiarill.graphs.model import (
    BornMs,
    Checkpoint,
    PoolId,
    StepKey,
    TaskKey,
    Ticket,
)
from fuchsiarill.graphs.runs import NEVER_MS
from fuchsiarill.ids import Revision, WorkerId


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
    """Order a worker to end a run and to refuse later starts of it."""

    worker: WorkerId
    task: TaskKey
    attempt: int


@dataclass(frozen=True, slots=True)
class PaceRun:
    """Order a worker to run a task at `percent` of its full speed."""

    worker: WorkerId
    task: TaskKey
    attempt: int
    percent: int


@dataclass(frozen=True, slots=True)
class RequestAdvice:
    """Request tickets for a step; the lowest `rank_ms` is handled first.

    From `due_ms` on the request goes before those that are not due. The workers
    are chosen when the service is called.
    """

    step: StepKey
    rank_ms: int
    due_ms: float = NEVER_MS


@dataclass(frozen=True, slots=True)
class RequestReport:
    """Request a report from a worker before its next renewal is due."""

    worker: WorkerId


@dataclass(frozen=True, slots=True)
class FenceIncarnation:
    """Request a report under a new token: the directory lists an incarnation.

    The incarnation that answers is the present one; calls for others have no
    effect on it from then on.
    """

    worker: WorkerId
    born_ms: BornMs


@dataclass(frozen=True, slots=True)
class ListClaims:
    """Read the claims of all pools."""


@dataclass(frozen=True, slots=True)
class WriteClaims:
    """Write the claims of the pool, in place of the record at a revision.

    A write that raises a claim also requires that the records of the other
    pools and the configuration have the given revisions.
    """

    record: ClaimRecord
    own_revision: Revision
    others: tuple[tuple[PoolId, Revision], ...] = ()
    config_revision: Revision | None = None


Effect = (
    StartRun
    | StopRun
    | PaceRun
    | RequestAdvice
    | RequestReport
    | FenceIncarnation
    | ListClaims
    | WriteClaims
)
