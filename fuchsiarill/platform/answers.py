"""Decodes HTTP answers of the platform and its workers."""

import json
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, Final, TypeVar

from returns.result import Failure, Result

from fuchsiarill import events
from fuchsiarill.ports.http_client import CallFailure, HttpAnswer

_SUCCESS_CLASS: Final = 2
_STATUSES_PER_CLASS: Final = 100
_Parsed = TypeVar('_Parsed')


@dataclass(frozen=True, slots=True)
class PlatformAnswer:
    """Status and decoded body; `status` is `None` without a usable answer."""

    status: int | None
    body: dict[str, Any] = field(default_factory=dict)
    failure: CallFailure | None = None

    @property
    def is_unsent(self) -> bool:
        """Return whether the request certainly did not reach the server."""
        return self.failure in {
            CallFailure.NOT_SENT,
            CallFailure.CONNECTION_REFUSED,
        }


def read_answer(
    answered: Result[HttpAnswer, CallFailure],
) -> PlatformAnswer:
    """Decode an answer; a 2xx with an unreadable body counts as no answer.

    Every body that the platform sends is a JSON object.
    """
    if isinstance(answered, Failure):
        return PlatformAnswer(None, failure=answered.failure())
    answer = answered.unwrap()
    body = _read_object(answer.body)
    if body is not None:
        return PlatformAnswer(answer.status, body)
    if answer.status // _STATUSES_PER_CLASS == _SUCCESS_CLASS:
        return PlatformAnswer(None, failure=CallFailure.NO_ANSWER)
    return PlatformAnswer(answer.status)


def parse_body(
    answer: PlatformAnswer,
    parse: Callable[[dict[str, Any]], _Parsed],
    source: str,
) -> _Parsed | None:
    """Parse the body of an answer; logs a failure and returns `None`.

    `source` names the sender of the answer in the log line.
    """
    try:
        return parse(answer.body)
    except (KeyError, TypeError, ValueError) as error:
        events.emit(
            events.ANSWER_UNREADABLE,
            source=source,
            problem=repr(error),
        )
        return None


def _read_object(content: bytes) -> dict[str, Any] | None:
    try:
        body = json.loads(content) if content else {}
    except ValueError:
        return None
    return body if isinstance(body, dict) else None
