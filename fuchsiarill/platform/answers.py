"""Reading of HTTP answers of the platform and its workers."""

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
    """Status and decoded body; without a status there was no answer."""

    status: int | None
    body: dict[str, Any] = field(default_factory=dict)
    failure: CallFailure | None = None

    @property
    def is_unsent(self) -> bool:
        """Tell whether the call never left."""
        return self.failure in {
            CallFailure.NOT_SENT,
            CallFailure.CONNECTION_REFUSED,
        }


def read_answer(
    answered: Result[HttpAnswer, CallFailure],
) -> PlatformAnswer:
    """Decode an answer; an unreadable success counts as no answer.

    Each body on the platform is a JSON object.
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
    """Parse the body of a success; logs one that can not be parsed.

    `source` names in the log who has answered.
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
