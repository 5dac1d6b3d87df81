"""Decodes HTTP responses of the users' platform and of its workers."""

import json
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, Final, TypeVar

from returns.result import Failure, Result

from fuchsiarill import events, graph_events
from fuchsiarill.ports.http_client import CallFailure, HttpResponse

_SUCCESS_CLASS: Final = 2
_STATUSES_PER_CLASS: Final = 100
_Parsed = TypeVar('_Parsed')


@dataclass(frozen=True, slots=True)
class PlatformResponse:
    """Status and decoded body of a response.

    `status` is `None` and `failure` is set if no response arrived, or if the
    body of a 2xx response is neither empty nor a JSON object. An empty body
    counts as an empty object.
    """

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


def decode_response(
    call_result: Result[HttpResponse, CallFailure],
) -> PlatformResponse:
    """Decode a response; a 2xx with an unreadable body counts as no response.

    Every body that the platform sends is empty or a JSON object.
    """
    if isinstance(call_result, Failure):
        return PlatformResponse(None, failure=call_result.failure())
    response = call_result.unwrap()
    body = _read_object(response.body)
    if body is not None:
        return PlatformResponse(response.status, body)
    if response.status // _STATUSES_PER_CLASS == _SUCCESS_CLASS:
        return PlatformResponse(None, failure=CallFailure.NO_ANSWER)
    return PlatformResponse(response.status)


def parse_body(
    response: PlatformResponse,
    parse_object: Callable[[dict[str, Any]], _Parsed],
    source: str,
) -> _Parsed | None:
    """Parse the body of a response; on an error, log it and return `None`.

    `source` names the sender of the response in the log line.
    """
    try:
        return parse_object(response.body)
    except (KeyError, TypeError, ValueError) as error:
        events.emit(
            graph_events.ANSWER_UNREADABLE,
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
