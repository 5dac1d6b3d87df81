"""Interface to the agents on workers that run tasks of job graphs."""

from dataclasses import dataclass
from enum import Enum
from typing import Protocol

from returns.result import Result

from fuchsiarill.graphs.model import (
    EndSequence,
    StartOrder,
    StepKey,
    TaskKey,
    Ticket,
    WorkerReport,
)
from fuchsiarill.ids import Epoch, WorkerId


class AgentFailure(Enum):
    """Why an order to a worker was not carried out, or may not have been."""

    # The worker has seen a higher epoch.
    FENCED = 'fenced'
    # The attempt was stopped or has ended there.
    SUPERSEDED = 'superseded'
    # The expiry of the order had passed.
    EXPIRED = 'expired'
    NO_ROOM = 'no_room'
    TICKET_INVALID = 'ticket_invalid'
    # The worker is unhealthy and has done nothing.
    UNHEALTHY = 'unhealthy'
    # Another life of a worker is at the address.
    OTHER_WORKER = 'other_worker'
    MALFORMED = 'malformed'
    # No process listens at the address.
    CONNECTION_REFUSED = 'connection_refused'
    NOT_SENT = 'not_sent'
    # The order may have been carried out, or may be later.
    UNKNOWN = 'unknown'


@dataclass(frozen=True, slots=True)
class AgentAddress:
    """The worker that is meant and where it listens."""

    worker: WorkerId
    address: str


@dataclass(frozen=True, slots=True)
class StopOrder:
    """Asks a worker to end a run, and to refuse it from now on."""

    task: TaskKey
    attempt: int
    epoch: Epoch


@dataclass(frozen=True, slots=True)
class PaceOrder:
    """Limits the share at which a task works."""

    task: TaskKey
    attempt: int
    percent: int
    epoch: Epoch


@dataclass(frozen=True, slots=True)
class RenewalOrder:
    """Extends the leases of all that runs on a worker.

    `expiry_ms` is in the worker's clock; without it nothing is extended.
    Ends up to `acknowledged` are forgotten by the worker. The answer may
    wait `wait_ms` for an end.
    """

    epoch: Epoch
    acknowledged: EndSequence
    expiry_ms: int | None
    wait_ms: int


class AgentPort(Protocol):
    """The calls that an owner makes of workers."""

    async def start(
        self,
        agent: AgentAddress,
        order: StartOrder,
        timeout_ms: int,
    ) -> Result[int, AgentFailure]:
        """Start a run; returns the worker's clock in ms."""

    async def stop(
        self,
        agent: AgentAddress,
        order: StopOrder,
        timeout_ms: int,
    ) -> Result[int, AgentFailure]:
        """Stop a run; returns the worker's clock in ms."""

    async def pace(
        self,
        agent: AgentAddress,
        order: PaceOrder,
        timeout_ms: int,
    ) -> Result[int, AgentFailure]:
        """Set the pace of a run; returns the worker's clock in ms."""

    async def renew(
        self,
        agent: AgentAddress,
        order: RenewalOrder,
        timeout_ms: int,
    ) -> Result[WorkerReport, AgentFailure]:
        """Renew the task leases and return what runs and has ended."""


class AdvisorPort(Protocol):
    """The service that knows which workers may run a step."""

    async def advise(
        self,
        step: StepKey,
        workers: tuple[WorkerId, ...],
        timeout_ms: int,
    ) -> Result[dict[WorkerId, Ticket], AgentFailure]:
        """Return a ticket for each worker that may run the step."""
