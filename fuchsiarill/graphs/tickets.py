"""Tickets that let a worker run a step of a queue with advice."""

from dataclasses import dataclass, field
from typing import Final

from fuchsiarill.graphs.model import BornMs, StepKey, Ticket
from fuchsiarill.graphs.worker_table import WorkerView
from fuchsiarill.ids import WorkerId

# A start reaches its worker this much later, at most, than it is decided.
_USE_MARGIN_MS: Final = 250
# An ask that got no answer is repeated after this time.
_RETRY_MS: Final = 100
# An answer that has not come by then is taken as lost. An ask waits for the
# asks before it, and the queue is longest just after a takeover.
_ANSWER_LOST_MS: Final = 15_000


@dataclass(frozen=True, slots=True)
class _Held:
    ticket: Ticket
    expiry_ms: int
    born_ms: BornMs


@dataclass(slots=True)
class _StepAdvice:
    tickets: dict[WorkerId, _Held] = field(default_factory=dict)
    # The policy of a step never changes: a worker is allowed or it is not.
    allowed: set[WorkerId] = field(default_factory=set)
    denied: set[WorkerId] = field(default_factory=set)
    # No further ask is made before, while one is under way or has failed.
    next_ask_ms: int = 0


class TicketBook:
    """What the advice service has said of each open step."""

    def __init__(self) -> None:
        """Start without any advice."""
        self._steps: dict[StepKey, _StepAdvice] = {}

    def ticket_for(
        self,
        step: StepKey,
        view: WorkerView,
        now_ms: int,
    ) -> Ticket | None:
        """Return a ticket that is valid long enough for a start."""
        advice = self._steps.get(step)
        held = advice.tickets.get(view.worker) if advice else None
        if held is None or held.expiry_ms < now_ms + _USE_MARGIN_MS:
            return None
        return held.ticket if held.born_ms == view.born_ms else None

    def is_denied(self, step: StepKey, worker: WorkerId) -> bool:
        """Tell whether the worker is known not to be allowed."""
        advice = self._steps.get(step)
        return advice is not None and worker in advice.denied

    def is_allowed(self, step: StepKey, worker: WorkerId) -> bool:
        """Tell whether the worker is known to be allowed."""
        advice = self._steps.get(step)
        return advice is not None and worker in advice.allowed

    def may_ask(self, step: StepKey, now_ms: int) -> bool:
        """Tell whether no ask for the step is under way."""
        advice = self._steps.get(step)
        return advice is None or advice.next_ask_ms <= now_ms

    def asked(self, step: StepKey, now_ms: int) -> None:
        """Note that an ask is under way."""
        advice = self._steps.setdefault(step, _StepAdvice())
        advice.next_ask_ms = now_ms + _ANSWER_LOST_MS

    def unanswered(self, step: StepKey, now_ms: int) -> None:
        """Note that an ask got no answer."""
        advice = self._steps.get(step)
        if advice is not None:
            advice.next_ask_ms = now_ms + _RETRY_MS

    def advised(
        self,
        step: StepKey,
        asked: dict[WorkerId, BornMs],
        granted: dict[WorkerId, Ticket],
        expiry_ms: int,
    ) -> None:
        """Take over the answer to an ask."""
        advice = self._steps.get(step)
        if advice is None:
            return
        advice.next_ask_ms = 0
        for worker, born_ms in asked.items():
            ticket = granted.get(worker)
            if ticket is None:
                advice.denied.add(worker)
                continue
            advice.allowed.add(worker)
            advice.tickets[worker] = _Held(ticket, expiry_ms, born_ms)

    def refuse(self, step: StepKey, worker: WorkerId) -> None:
        """Drop a ticket that a worker has refused."""
        advice = self._steps.get(step)
        if advice is not None:
            advice.tickets.pop(worker, None)

    def forget_worker(self, worker: WorkerId) -> None:
        """Drop what was said of a worker whose life has ended."""
        for advice in self._steps.values():
            advice.tickets.pop(worker, None)
            advice.allowed.discard(worker)
            advice.denied.discard(worker)

    def forget(self, step: StepKey) -> None:
        """Drop the advice for a step that has nothing more to start."""
        self._steps.pop(step, None)
