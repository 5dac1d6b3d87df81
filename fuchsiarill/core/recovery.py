"""State of the recovery from a takeover."""

from dataclasses import dataclass, field
from typing import Final

from fuchsiarill.ids import AttemptId, IncarnationId, JobId, WorkerId

# How long an older owner may renew task leases after it last had evidence of
# an outage of the store; a new owner adds this to the longest task lease.
OUTAGE_EVIDENCE_VALID_MS: Final = 3_000


@dataclass(slots=True)
class Orphan:
    """A running attempt that this owner does not expect, to be stopped."""

    worker_id: WorkerId
    lease_ends_at_ms: int


@dataclass(slots=True)
class Recovery:
    """State from a takeover until no unreported task of older owners can run.

    `ends_at_ms`: time at which all task leases of older owners have ended.
    `awaited_workers`: workers that were listed since the takeover, also if they
    have left the list again, and have not reported.
    `deferred`: positions that are not placed yet, as the task may run on a
    worker that has not reported, or as an orphan.
    `intents`: at-most-once starts of older owners that were unresolved at the
    takeover, each with the incarnation of its worker. After the recovery, only
    those that their workers have not reported.
    `cancelled_jobs`: idempotent jobs that were cancelled before the takeover;
    workers may still report tasks of these jobs.
    `orphans`: kept until they are known to have ended, since the job that
    they belong to may be submitted again.
    """

    is_open: bool = False
    ends_at_ms: int = 0
    awaited_workers: set[WorkerId] = field(default_factory=set)
    deferred: dict[JobId, set[int]] = field(default_factory=dict)
    intents: dict[AttemptId, IncarnationId] = field(default_factory=dict)
    cancelled_jobs: dict[JobId, None] = field(default_factory=dict)
    orphans: dict[JobId, dict[AttemptId, Orphan]] = field(default_factory=dict)
