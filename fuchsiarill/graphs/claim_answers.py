"""Applies the answers of the store to the claims of a pool."""

from collections.abc import Callable
from typing import Any, Final

from fuchsiarill.graphs.claim_keeper import (
    ClaimsAnswer,
    ClaimsListed,
    ClaimsRefused,
    ClaimsUnanswered,
    ClaimsWritten,
)
from fuchsiarill.graphs.state import PoolState
from fuchsiarill.registry import Registry

_Handler = Callable[[PoolState, Any, int], None]

# Pause after a list that failed, such as in an outage of the store.
_LIST_RETRY_MS: Final = 300

CLAIM_ANSWERS: Final[Registry[type, _Handler]] = Registry('answers on claims')


def apply_claims_answer(
    state: PoolState, answer: ClaimsAnswer, now_ms: int
) -> None:
    """Apply the answer to the only pending call."""
    state.ceilings.is_call_pending = False
    CLAIM_ANSWERS.lookup(type(answer))(state, answer, now_ms)
    state.ceilings.forget_limits()


@CLAIM_ANSWERS.register(ClaimsListed)
def _apply_list(state: PoolState, answer: ClaimsListed, now_ms: int) -> None:
    if answer.items is None:
        state.ceilings.next_call_ms = now_ms + _LIST_RETRY_MS
        return
    ledger = state.ceilings.ledger
    is_first = not ledger.listed_revision
    ledger.apply_list(answer.items, answer.revision)
    if is_first and state.config is not None:
        state.ceilings.inherit(state.config)
    state.ceilings.is_review_due = True
    if not state.ceilings.needs_list:
        state.ceilings.lowered.clear()


@CLAIM_ANSWERS.register(ClaimsWritten)
def _apply_write(state: PoolState, answer: ClaimsWritten, now_ms: int) -> None:
    state.ceilings.ledger.confirm_write(answer.record, answer.revision)


@CLAIM_ANSWERS.register(ClaimsRefused)
def _apply_refusal(
    state: PoolState, answer: ClaimsRefused, now_ms: int
) -> None:
    state.ceilings.ledger.refuse_write(answer.record, answer.items)


@CLAIM_ANSWERS.register(ClaimsUnanswered)
def _apply_silence(
    state: PoolState, answer: ClaimsUnanswered, now_ms: int
) -> None:
    state.ceilings.ledger.lose_answer()
