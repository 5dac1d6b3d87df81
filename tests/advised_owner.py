"""Requests for advice of the `Owner` harness, and the answer for one worker."""

from typing import Final

from fuchsiarill.graphs.advice_requests import choose_workers
from fuchsiarill.graphs.effects import RequestAdvice
from fuchsiarill.graphs.model import BornMs, StepKey, Ticket
from fuchsiarill.ids import JobId, WorkerId
from tests.graph_owner import Owner

W0: Final = WorkerId('w0')
GRANT: Final = {W0: Ticket('t')}
INCARNATIONS: Final = {W0: BornMs(1)}
STEP: Final = StepKey(JobId('a'), 0, 0)
VALID_MS: Final = 60_000


def advice_requests(owner: Owner) -> list[RequestAdvice]:
    """Decide and return the requests for advice."""
    return [
        effect for effect in owner.decide() if isinstance(effect, RequestAdvice)
    ]


def named_workers(owner: Owner, request: RequestAdvice) -> set[WorkerId]:
    """Return the workers that a call for the request names now."""
    return set(choose_workers(owner.core.state, request.step, owner.now_ms))


def grant(
    owner: Owner,
    step: StepKey = STEP,
    valid_ms: int = VALID_MS,
) -> None:
    """Grant `W0` a ticket for a step."""
    owner.core.advice_received(
        step, INCARNATIONS, GRANT, owner.now_ms + valid_ms, owner.now_ms
    )
