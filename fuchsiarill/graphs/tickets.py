"""Cache of tickets, which allow a worker to run a step.

The advice service issues them. Starts of jobs in a queue with an advice policy
need them.
"""

from collections.abc import Set
from dataclasses import dataclass, field
from typing import Final

from fuchsiarill.graphs.model import BornMs, StepKey, Ticket
from fuchsiarill.graphs.worker_table import WorkerView
from fuchsiarill.ids import WorkerId

# Assumed longest time from the decision to the arrival of a start order. A
# ticket must remain valid for it.
_VALIDITY_MARGIN_MS: Final = 250
# A failed request is repeated after this time.
_RETRY_INTERVAL_MS: Final = 100
# An answer that has not arrived within this time is taken as lost. A request
# waits for earlier requests, whose queue is longest just after the election of
# a new owner.
_ANSWER_TIMEOUT_MS: Final = 15_000
_NO_WORKERS: Final[frozenset[WorkerId]] = frozenset()


@dataclass(frozen=True, slots=True)
class IssuedTicket:
    """Ticket for an incarnation of a worker.

    The advice service counts its validity from a time before its answer, so it
    is not valid after `expiry_ms`.
    """

    ticket: Ticket
    expiry_ms: int
    born_ms: BornMs


@dataclass(slots=True)
class _StepAdvice:
    tickets: dict[WorkerId, IssuedTicket] = field(default_factory=dict)
    # The service does not change its answer for a step and one incarnation of a
    # worker.
    allowed: set[WorkerId] = field(default_factory=set)
    denied: set[WorkerId] = field(default_factory=set)
    # No request is sent before this time, since a request is in progress or has
    # just failed.
    next_request_ms: int = 0
    # When the request in progress was sent, `None` without one.
    requested_ms: int | None = None


class TicketCache:
    """Tickets and answers of the advice service for each open step."""

    def __init__(self) -> None:
        """Create an empty cache."""
        self._steps: dict[StepKey, _StepAdvice] = {}

    def ticket_for(
        self,
        step: StepKey,
        view: WorkerView,
        now_ms: int,
    ) -> IssuedTicket | None:
        """Return a ticket that is valid long enough for a start order.

        Tickets of an earlier incarnation of the worker are not valid.
        """
        advice = self._steps.get(step)
        cached = advice.tickets.get(view.worker) if advice else None
        if cached is None or cached.expiry_ms < now_ms + _VALIDITY_MARGIN_MS:
            return None
        return cached if cached.born_ms == view.born_ms else None

    def ticketed_workers(
        self, step: StepKey, views: list[WorkerView], now_ms: int
    ) -> list[WorkerView]:
        """Return the workers of `views` with a ticket as `ticket_for` has."""
        advice = self._steps.get(step)
        if advice is None or not advice.tickets:
            return []
        return [
            view
            for view in views
            if view.worker in advice.tickets
            and self.ticket_for(step, view, now_ms) is not None
        ]

    def has_answer(self, step: StepKey) -> bool:
        """Tell whether the service has answered a request for the step."""
        advice = self._steps.get(step)
        return advice is not None and bool(advice.allowed or advice.denied)

    def denied_workers(self, step: StepKey) -> Set[WorkerId]:
        """Return the workers that the service has denied for the step."""
        advice = self._steps.get(step)
        return _NO_WORKERS if advice is None else advice.denied

    def allowed_workers(self, step: StepKey) -> Set[WorkerId]:
        """Return the workers that the service has allowed for the step."""
        advice = self._steps.get(step)
        return _NO_WORKERS if advice is None else advice.allowed

    def may_request(self, step: StepKey, now_ms: int) -> bool:
        """Tell whether a request for the step may be sent now."""
        advice = self._steps.get(step)
        return advice is None or advice.next_request_ms <= now_ms

    def request_sent(self, step: StepKey, now_ms: int) -> None:
        """Block requests for the step until the answer or its timeout."""
        advice = self._steps.setdefault(step, _StepAdvice())
        advice.next_request_ms = now_ms + _ANSWER_TIMEOUT_MS
        advice.requested_ms = now_ms

    def pending_ms(self, step: StepKey, now_ms: int) -> int:
        """Return how long a request is in progress, 0 without one."""
        advice = self._steps.get(step)
        if advice is None or advice.requested_ms is None:
            return 0
        return now_ms - advice.requested_ms

    def request_failed(self, step: StepKey, now_ms: int) -> None:
        """Allow a request for the step after the retry interval."""
        advice = self._steps.get(step)
        if advice is not None:
            advice.next_request_ms = now_ms + _RETRY_INTERVAL_MS
            advice.requested_ms = None

    def store_answer(
        self,
        step: StepKey,
        requested: dict[WorkerId, BornMs],
        granted: dict[WorkerId, Ticket],
        expiry_ms: int,
    ) -> None:
        """Store an answer; workers without a ticket are denied.

        An answer for a step that has been removed is ignored.
        """
        advice = self._steps.get(step)
        if advice is None:
            return
        advice.next_request_ms = 0
        advice.requested_ms = None
        for worker, born_ms in requested.items():
            ticket = granted.get(worker)
            if ticket is None:
                advice.denied.add(worker)
                continue
            advice.allowed.add(worker)
            advice.tickets[worker] = IssuedTicket(ticket, expiry_ms, born_ms)

    def discard_ticket(self, step: StepKey, worker: WorkerId) -> None:
        """Remove a ticket that a worker has refused."""
        advice = self._steps.get(step)
        if advice is not None:
            advice.tickets.pop(worker, None)

    def remove_worker(self, worker: WorkerId) -> None:
        """Remove all answers for a worker that has restarted."""
        for advice in self._steps.values():
            advice.tickets.pop(worker, None)
            advice.allowed.discard(worker)
            advice.denied.discard(worker)

    def remove_step(self, step: StepKey) -> None:
        """Remove all answers for a step with no waiting or active unit."""
        self._steps.pop(step, None)
