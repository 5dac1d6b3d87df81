"""State of the recovery from a takeover."""

from dataclasses import dataclass, field
from typing import Final

from fuchsiarill.ids import AttemptId, JobId, WorkerId

# How long an older owner may renew task leases after it last had evidence of
# an outage of the store; a new owner adds this to the longest task lease.
OUTAGE_EVIDENCE_VALID_MS: Final = 3_000


@dataclass(slots=True)
class Orphan:
    """An attempt without a job of this owner, which a worker has to stop."""

    worker_id: WorkerId
    lease_ends_at_ms: int


@dataclass(slots=True)
class Recovery:
    """State from a takeover until no unreported task of older owners can run.

    `answered`: workers that answered since the takeover.
    `held`: positions of tasks that may run on a worker that has not answered.
    `intents`: unresolved non-idempotent starts of older owners, each with the
    incarnation of its worker.
    `cancelled`: cancelled jobs whose tasks workers may still report.
    `orphans`: kept until they are known to have ended, since the job that
    they belong to may be submitted again.
    """

    is_open: bool = False
    ends_at_ms: int = 0
    answered: set[WorkerId] = field(default_factory=set)
    held: dict[JobId, set[int]] = field(default_factory=dict)
    intents: dict[AttemptId, str] = field(default_factory=dict)
    cancelled: dict[JobId, None] = field(default_factory=dict)
    orphans: dict[JobId, dict[AttemptId, Orphan]] = field(default_factory=dict)
