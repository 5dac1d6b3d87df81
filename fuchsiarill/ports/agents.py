"""Interface to the agents on workers that run tasks of job graphs.

An order is a command of an owner to a worker. A run is one attempt of a task on
a worker.
"""

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
from fuchsiarill.ids import FencingToken, WorkerId


class AgentFailure(Enum):
    """Why a call to a worker or the advice service was not confirmed."""

    # The worker has seen a higher fencing token.
    FENCED = 'fenced'
    # The attempt was stopped or has ended on the worker.
    SUPERSEDED = 'superseded'
    # The order reached the worker after its expiry.
    EXPIRED = 'expired'
    # The worker lacks free resources for the run.
    NO_ROOM = 'no_room'
    TICKET_INVALID = 'ticket_invalid'
    # The worker is unhealthy and has not executed the order, or the advice
    # service is busy.
    UNHEALTHY = 'unhealthy'
    # A worker with another id or incarnation listens at the address.
    OTHER_WORKER = 'other_worker'
    # The worker rejected the order as malformed or for an unknown reason, or
    # returned a malformed report.
    MALFORMED = 'malformed'
    # No process listens at the address.
    CONNECTION_REFUSED = 'connection_refused'
    NOT_SENT = 'not_sent'
    # The order may have been executed, or may still be.
    UNKNOWN = 'unknown'


@dataclass(frozen=True, slots=True)
class AgentAddress:
    """The id of a worker and the address at which it listens."""

    worker: WorkerId
    address: str


@dataclass(frozen=True, slots=True)
class StopOrder:
    """Tells a worker to stop a run and to refuse later starts of it."""

    task: TaskKey
    attempt: int
    token: FencingToken


@dataclass(frozen=True, slots=True)
class PaceOrder:
    """Limits the speed of a run to a percentage of its full speed."""

    task: TaskKey
    attempt: int
    percent: int
    token: FencingToken


@dataclass(frozen=True, slots=True)
class RenewalOrder:
    """Extends the leases of all runs on a worker.

    `expiry_ms` is in the worker's clock; if it is `None`, no lease is
    extended. The worker discards the records of ended runs with sequence
    numbers up to `acknowledged`. It may delay its response by up to `wait_ms`
    until a run ends.
    """

    token: FencingToken
    acknowledged: EndSequence
    expiry_ms: int | None
    wait_ms: int


class AgentPort(Protocol):
    """The calls that an owner makes to workers."""

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
        """Limit the speed of a run; returns the worker's clock in ms."""

    async def renew(
        self,
        agent: AgentAddress,
        order: RenewalOrder,
        timeout_ms: int,
    ) -> Result[WorkerReport, AgentFailure]:
        """Renew task leases; returns the running and the ended runs."""


class AdvisorPort(Protocol):
    """The service that decides which workers may run a step."""

    async def advise(
        self,
        step: StepKey,
        workers: tuple[WorkerId, ...],
        timeout_ms: int,
    ) -> Result[dict[WorkerId, Ticket], AgentFailure]:
        """Return a ticket for each worker that may run the step."""
