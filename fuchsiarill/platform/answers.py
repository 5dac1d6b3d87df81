"""Reading of HTTP answers of the platform and its workers."""

import json
from dataclasses import dataclass, field
from typing import Any, Final

from returns.result import Failure, Result

from fuchsiarill.ports.http_client import CallFailure, HttpAnswer

_SUCCESS_CLASS: Final = 2
_STATUSES_PER_CLASS: Final = 100


@dataclass(frozen=True, slots=True)
class PlatformAnswer:
    """Status and decoded body; without a status there was no answer."""

    status: int | None
    body: Any = field(default_factory=dict)
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
    """Decode an answer; an unreadable success counts as no answer."""
    if isinstance(answered, Failure):
        return PlatformAnswer(None, failure=answered.failure())
    answer = answered.unwrap()
    try:
        body = json.loads(answer.body) if answer.body else {}
    except ValueError:
        is_success = answer.status // _STATUSES_PER_CLASS == _SUCCESS_CLASS
        if is_success:
            return PlatformAnswer(None, failure=CallFailure.NO_ANSWER)
        body = {}
    return PlatformAnswer(answer.status, body)
