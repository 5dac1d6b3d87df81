"""Tickets of the advice service, as workers check them.

A ticket is valid for all tasks of a step, on the incarnation of a worker that
ran when it was granted, for a limited time.
"""

from dataclasses import dataclass

from fuchsiarill.clock import now_ms
from fuchsiarill.graphs.model import BornMs, StartOrder, StepKey, Ticket
from fuchsiarill.ids import WorkerId
from standins.agent_incarnation import AgentModel


@dataclass(frozen=True, slots=True)
class _Grant:
    step: StepKey
    worker: WorkerId
    born_ms: BornMs


class GrantedTickets:
    """Grants tickets, and tells which start orders they allow."""

    def __init__(self) -> None:
        """Start without tickets."""
        # Each ticket with its expiry.
        self._grants: dict[Ticket, tuple[_Grant, int]] = {}

    def grant(
        self, step: StepKey, model: AgentModel, validity_ms: int
    ) -> Ticket:
        """Return a new ticket for a step on an incarnation of a worker."""
        ticket = Ticket(f't{len(self._grants) + 1}')
        grant = _Grant(step, model.worker, model.born_ms)
        self._grants[ticket] = (grant, now_ms() + validity_ms)
        return ticket

    def admit(
        self, model: AgentModel, order: StartOrder, *, needs_ticket: bool
    ) -> bool:
        """Tell whether the ticket of an order is valid, or not needed."""
        if order.ticket is None:
            return not needs_ticket
        grant, expiry_ms = self._grants.get(order.ticket, (None, 0))
        wanted = _Grant(order.task.step_key, model.worker, model.born_ms)
        return grant == wanted and now_ms() <= expiry_ms
