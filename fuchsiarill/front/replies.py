"""Replies that route handlers return."""

from dataclasses import dataclass
from http import HTTPStatus
from typing import Any, Final

from fuchsiarill import codes, texts
from fuchsiarill.answers import JobAnswer, refusal_answer
from fuchsiarill.front.submissions import answer_object
from fuchsiarill.refusal import Refusal, refuse

# Delay before a caller should retry where no better estimate is known.
RETRY_AFTER_MS: Final = 500


@dataclass(frozen=True, slots=True)
class HttpReply:
    """Status and body of a reply.

    A `bytes` body is sent as plain text, any other body as JSON.
    """

    status: HTTPStatus
    body: Any


class QueryError(Exception):
    """A parameter of the query string is invalid."""

    def __init__(self, refusal: Refusal) -> None:
        """Keep the refusal that is sent as the reply."""
        super().__init__(refusal.text)
        self.refusal = refusal


def malformed_refusal(field: str, problem: str) -> Refusal:
    """Return the refusal of a request with an invalid field or parameter."""
    return refuse(
        codes.MALFORMED,
        texts.MALFORMED,
        field=field,
        problem=f'{field}: {problem}',
    )


def reply_of(answer: JobAnswer) -> HttpReply:
    """Return the reply that carries one answer."""
    return HttpReply(answer.code.http_status, answer_object(answer))


def refusal_reply(refusal: Refusal) -> HttpReply:
    """Return the reply that carries a refusal."""
    return reply_of(refusal_answer(refusal))


def overloaded_refusal() -> Refusal:
    """Return the refusal of a request under overload."""
    return refuse(
        codes.OVERLOADED,
        texts.OVERLOADED,
        retry_after_ms=RETRY_AFTER_MS,
    )
