"""Why a request or a connection is refused before it reaches a handler.

Nothing of a refused request was handed on, so it never takes effect.
"""

from dataclasses import dataclass
from enum import Enum
from http import HTTPStatus
from typing import Final


class Limit(Enum):
    """The limit that a client has met; the label of the metrics."""

    REQUEST_LINE = 'request_line'
    HEADER = 'header'
    HEADERS = 'headers'
    HEADERS_COUNT = 'headers_count'
    TRAILERS = 'trailers'
    BODY = 'body'
    CHUNK_FRAMING = 'chunk_framing'
    MALFORMED = 'malformed'
    UNKNOWN_ENCODING = 'unknown_encoding'
    HEAD_TIME = 'head_time'
    BODY_TIME = 'body_time'
    IDLE_TIME = 'idle_time'
    RESPONSE_TIME = 'response_time'
    LINGER = 'linger'
    CONNECTIONS = 'connections'
    ADDRESS_CONNECTIONS = 'address_connections'
    DESCRIPTORS = 'descriptors'
    MEMORY = 'memory'


# Statuses of the refusals. A connection is closed without a response for any
# other limit, since no request was begun or its response was sent already.
_STATUSES: Final = {
    Limit.REQUEST_LINE: HTTPStatus.REQUEST_URI_TOO_LONG,
    Limit.HEADER: HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE,
    Limit.HEADERS: HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE,
    Limit.HEADERS_COUNT: HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE,
    Limit.TRAILERS: HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE,
    Limit.BODY: HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
    Limit.CHUNK_FRAMING: HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
    Limit.MALFORMED: HTTPStatus.BAD_REQUEST,
    Limit.UNKNOWN_ENCODING: HTTPStatus.NOT_IMPLEMENTED,
    Limit.HEAD_TIME: HTTPStatus.REQUEST_TIMEOUT,
    Limit.BODY_TIME: HTTPStatus.REQUEST_TIMEOUT,
    Limit.CONNECTIONS: HTTPStatus.SERVICE_UNAVAILABLE,
    Limit.ADDRESS_CONNECTIONS: HTTPStatus.SERVICE_UNAVAILABLE,
    Limit.DESCRIPTORS: HTTPStatus.SERVICE_UNAVAILABLE,
    Limit.MEMORY: HTTPStatus.SERVICE_UNAVAILABLE,
}


class RefusedError(Exception):
    """A request is refused; the rest of its connection can't be read."""

    def __init__(self, limit: Limit, problem: str) -> None:
        """Name the limit, and the problem for the log."""
        super().__init__(problem)
        self.limit = limit
        self.problem = problem


@dataclass(frozen=True, slots=True)
class LoggedRefusals:
    """Refusals of one limit that are due for the log."""

    limit: Limit
    count: int
    # That of the last refusal.
    problem: str


class RefusalLog:
    """Selects which refusals are logged: one line an interval and limit."""

    def __init__(self, interval_ms: int) -> None:
        """Log each limit at most once in `interval_ms`."""
        self._interval_ms = interval_ms
        self._logged_at_ms: dict[Limit, int] = {}
        self._counts: dict[Limit, int] = {}

    def add(
        self, limit: Limit, problem: str, now_ms: int
    ) -> LoggedRefusals | None:
        """Count a refusal; returns what to log, if the interval is over."""
        count = self._counts.get(limit, 0) + 1
        self._counts[limit] = count
        logged_at_ms = self._logged_at_ms.get(limit)
        if (
            logged_at_ms is not None
            and now_ms - logged_at_ms < self._interval_ms
        ):
            return None
        self._logged_at_ms[limit] = now_ms
        self._counts[limit] = 0
        return LoggedRefusals(limit, count, problem)


def encode_refusal(limit: Limit) -> bytes:
    """Return the response to a refused request, empty if there is none."""
    status = _STATUSES.get(limit)
    if status is None:
        return b''
    body = f'{{"refused": "{limit.value}"}}'
    retry = ''
    if status is HTTPStatus.SERVICE_UNAVAILABLE:
        retry = 'Retry-After: 1\r\n'
    head = (
        f'HTTP/1.1 {status.value} {status.phrase}\r\n'
        f'Content-Type: application/json\r\nContent-Length: {len(body)}\r\n'
        f'{retry}Connection: close\r\n\r\n'
    )
    return (head + body).encode('ascii')
