"""Messages between the actors of a pool's owner.

A renewal requests a report from a worker and may extend its task leases. A
run end is the part of a report that tells how a run ended; the worker keeps it
until the records that it led to are durable.
"""

from dataclasses import dataclass

from fuchsiarill.actor import Reply
from fuchsiarill.graphs.model import (
    BornMs,
    EndSequence,
    GraphConfig,
    StepKey,
    TaskKey,
    Ticket,
    WorkerReport,
)
from fuchsiarill.graphs.records import FleetRecord
from fuchsiarill.ids import FencingToken, Revision, StoreKey, WorkerId
from fuchsiarill.ports.agents import AgentFailure
from fuchsiarill.ports.key_value import KvItem


@dataclass(frozen=True, slots=True)
class ConfigInForce:
    """A configuration has come into force."""

    config: GraphConfig


@dataclass(frozen=True, slots=True)
class PoolRecords:
    """Jobs of a pool and records of its earlier owners, read from the store."""

    fleet: FleetRecord
    jobs: tuple[KvItem, ...]
    # Revision after which the watch of the jobs starts.
    jobs_revision: Revision
    progress: tuple[KvItem, ...]
    # Revisions of the records that the owner writes.
    revisions: dict[StoreKey, Revision]
    # The previous owner sends no orders after this time.
    previous_owner_stop_ms: int
    # Snapshot of the learned run times; `None` if it could not be read in time.
    run_times: KvItem | None = None


@dataclass(frozen=True, slots=True)
class WorkerReported:
    """A worker answered a renewal with `token`, sent at `requested_ms`."""

    worker: WorkerId
    report: WorkerReport
    token: FencingToken
    requested_ms: int


@dataclass(frozen=True, slots=True)
class RenewalSent:
    """A renewal or start that extends all leases of a worker is being sent."""

    worker: WorkerId


@dataclass(frozen=True, slots=True)
class RestartSuspected:
    """A later incarnation of a worker has answered; it is not fenced yet."""

    worker: WorkerId


@dataclass(frozen=True, slots=True)
class RenewalFailed:
    """A renewal failed, or a start was refused because of a later epoch."""

    worker: WorkerId
    failure: AgentFailure


@dataclass(frozen=True, slots=True)
class StartAnswered:
    """Outcome of a start order; without a failure the run has started."""

    worker: WorkerId
    task: TaskKey
    attempt: int
    failure: AgentFailure | None


@dataclass(frozen=True, slots=True)
class StopAnswered:
    """Outcome of a stop order."""

    worker: WorkerId
    task: TaskKey
    attempt: int
    failure: AgentFailure | None


@dataclass(frozen=True, slots=True)
class ChooseAdvisedWorkers:
    """The advice service is about to be called for a step.

    The reply has the workers to name, and the incarnation of each; none if the
    step needs no advice any more.
    """

    step: StepKey
    reply: Reply[dict[WorkerId, BornMs]]


@dataclass(frozen=True, slots=True)
class AdviceAnswered:
    """Outcome of a request for advice.

    `tickets` is `None` if the request failed, or was dropped because the owner
    no longer needed it.
    """

    step: StepKey
    # Incarnation of each named worker when the service was called.
    incarnations: dict[WorkerId, BornMs]
    tickets: dict[WorkerId, Ticket] | None


@dataclass(frozen=True, slots=True)
class ProcessedEnds:
    """The owner has processed the run ends of a worker up to `sequence`.

    `born_ms` identifies the incarnation of the worker.
    """

    worker: WorkerId
    born_ms: BornMs
    sequence: EndSequence


@dataclass(frozen=True, slots=True)
class SaveRecords:
    """Request to write and delete records, with the ends that led to them."""

    records: dict[StoreKey, bytes]
    deletes: tuple[StoreKey, ...] = ()
    processed_ends: tuple[ProcessedEnds, ...] = ()
    # Members of the fleet record, if this message writes it.
    fleet_workers: tuple[WorkerId, ...] = ()


@dataclass(frozen=True, slots=True)
class RecordsSaved:
    """The records of `request` are durable."""

    request: SaveRecords


@dataclass(frozen=True, slots=True)
class OwnershipLost:
    """A worker knows a later epoch, or the owner key has changed."""

    reason: str


@dataclass(frozen=True, slots=True)
class PoolTick:
    """Periodic tick of the owner."""


@dataclass(frozen=True, slots=True)
class Decide:
    """Request for a decision round, after all messages queued before it."""


@dataclass(frozen=True, slots=True)
class RunEndsDurable:
    """A worker may discard its run ends up to `sequence`."""

    born_ms: BornMs
    sequence: EndSequence
