"""Blocking `urllib3` calls for asyncio tasks, made in threads.

The number of calls in progress is bounded; a further call fails at once as
not sent. The deadline of a call includes its wait for a thread. The deadline
also holds if a response arrives in small pieces, each within the socket
time-out. A response that is too large counts as none. If a read times out,
`urllib3` closes the connection, since the late response would otherwise be read
by the next request. Long polls have their own threads.
"""

import asyncio
import errno
import time
from dataclasses import dataclass, field
from enum import Enum
from functools import partial
from typing import Final

import urllib3
from returns.result import Failure, Result, Success

from fuchsiarill.clock import MS_PER_SECOND
from fuchsiarill.ports.deadline_connections import DeadlinePoolManager
from fuchsiarill.ports.thread_pool import BoundedThreadPool

# One pool per address; a partition has up to about 400 workers.
_CONNECTION_POOLS_COUNT: Final = 512
# A process may watch the configuration and the owner key of each partition of
# its region.
_LONG_POLLS_MAX_COUNT: Final = 16
# Time past the deadline in which the thread may still report whether a late
# call was sent, which only the thread knows for certain.
_THREAD_RESULT_GRACE_MS: Final = 50
# A page of the store is the largest response; 16 values of the largest size.
_RESPONSE_MAX_BYTES: Final = 16_777_216
_PIECE_MAX_BYTES: Final = 65_536
_JSON_HEADERS: Final = {'Content-Type': 'application/json'}
_NOT_SENT_ERRORS: Final = (
    urllib3.exceptions.NewConnectionError,
    urllib3.exceptions.ConnectTimeoutError,
)


class CallFailure(Enum):
    """Why a call failed; only after `NO_ANSWER` may it have taken effect."""

    NOT_SENT = 'not_sent'
    # No process listens at the address.
    CONNECTION_REFUSED = 'connection_refused'
    NO_ANSWER = 'no_answer'


@dataclass(frozen=True, slots=True)
class HttpCall:
    """A request to make; `body` is JSON when present."""

    method: str
    url: str
    body: bytes | None = None
    headers: dict[str, str] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class HttpResponse:
    """Status and body of a response."""

    status: int
    body: bytes


class HttpClient:
    """Makes HTTP requests with a JSON body and a deadline."""

    def __init__(
        self,
        threads_count: int,
        in_progress_max: int,
        long_polls_max: int = _LONG_POLLS_MAX_COUNT,
    ) -> None:
        """Create the thread pools and the connection pools.

        `in_progress_max` and `long_polls_max` limit the calls in progress.
        """
        self._calls = BoundedThreadPool(
            'http-call', threads_count, in_progress_max
        )
        self._long_polls = BoundedThreadPool(
            'http-wait', long_polls_max, long_polls_max
        )
        self._connections = DeadlinePoolManager(
            num_pools=_CONNECTION_POOLS_COUNT,
            maxsize=threads_count + long_polls_max,
            retries=False,
        )

    async def post(
        self,
        url: str,
        body: bytes,
        timeout_ms: int,
    ) -> Result[HttpResponse, CallFailure]:
        """Send one POST request without retries.

        A refused connection counts as `NOT_SENT`.
        """
        response_result = await self.call(
            HttpCall('POST', url, body), timeout_ms
        )
        return response_result.alt(_refused_to_not_sent)

    async def post_long_poll(
        self,
        url: str,
        body: bytes,
        timeout_ms: int,
    ) -> Result[HttpResponse, CallFailure]:
        """Send one POST request whose response is delayed until an event."""
        call = HttpCall('POST', url, body)
        response_result = await self.call_long_poll(call, timeout_ms)
        return response_result.alt(_refused_to_not_sent)

    async def call(
        self,
        call: HttpCall,
        timeout_ms: int,
    ) -> Result[HttpResponse, CallFailure]:
        """Make one request without retries."""
        return await self._run_in_thread(self._calls, call, timeout_ms)

    async def call_long_poll(
        self,
        call: HttpCall,
        timeout_ms: int,
    ) -> Result[HttpResponse, CallFailure]:
        """Make one request whose response is delayed until an event."""
        return await self._run_in_thread(self._long_polls, call, timeout_ms)

    def close(self) -> None:
        """Close idle connections and let idle threads exit."""
        self._connections.clear()
        self._calls.close()
        self._long_polls.close()

    async def _run_in_thread(
        self,
        threads: BoundedThreadPool,
        call: HttpCall,
        timeout_ms: int,
    ) -> Result[HttpResponse, CallFailure]:
        # The thread checks the deadline and has no event loop, so the deadline
        # uses `time.monotonic`.
        deadline_s = time.monotonic() + timeout_ms / MS_PER_SECOND
        future = threads.run(partial(self._send_request, call, deadline_s))
        if future is None:
            return Failure(CallFailure.NOT_SENT)
        try:
            async with asyncio.timeout(
                (timeout_ms + _THREAD_RESULT_GRACE_MS) / MS_PER_SECOND,
            ):
                return await asyncio.wrap_future(future)
        except TimeoutError:
            # Only a call that still waits for a thread can be cancelled; it
            # was not sent.
            is_unsent = future.cancel()
        return Failure(
            CallFailure.NOT_SENT if is_unsent else CallFailure.NO_ANSWER,
        )

    def _send_request(
        self,
        call: HttpCall,
        deadline_s: float,
    ) -> Result[HttpResponse, CallFailure]:
        remaining_s = deadline_s - time.monotonic()
        if remaining_s <= 0:
            return Failure(CallFailure.NOT_SENT)
        try:
            response = self._connections.request(
                call.method,
                call.url,
                body=call.body,
                headers=_JSON_HEADERS | call.headers,
                timeout=urllib3.Timeout(total=remaining_s),
                preload_content=False,
            )
            body = _read_body(response, deadline_s)
        except _NOT_SENT_ERRORS as error:
            return Failure(_failure_of_unsent_call(error))
        except urllib3.exceptions.ReadTimeoutError:
            # A device on the network path may have dropped the state of all
            # open connections, so none of the idle ones is reused.
            self._close_idle_connections(call.url)
            return Failure(CallFailure.NO_ANSWER)
        except urllib3.exceptions.HTTPError:
            return Failure(CallFailure.NO_ANSWER)
        if body is None:
            response.close()
            return Failure(CallFailure.NO_ANSWER)
        response.release_conn()
        return Success(HttpResponse(response.status, body))

    def _close_idle_connections(self, url: str) -> None:
        """Close the idle connections to the address of `url`.

        A connection in use is closed at the end of its call.
        """
        address = urllib3.util.parse_url(url)
        pools = self._connections.pools
        for key in pools.keys():  # noqa: SIM118
            if (key.key_host, key.key_port) == (address.host, address.port):
                # Another thread may have removed the pool already.
                pools.pop(key, None)


def _read_body(
    response: urllib3.BaseHTTPResponse, deadline_s: float
) -> bytes | None:
    """Return the body, or `None` if it is too large or too slow."""
    body = bytearray()
    piece = response.read1(_PIECE_MAX_BYTES)
    while piece:
        body += piece
        if len(body) > _RESPONSE_MAX_BYTES or time.monotonic() > deadline_s:
            return None
        piece = response.read1(_PIECE_MAX_BYTES)
    return bytes(body)


def _failure_of_unsent_call(error: Exception) -> CallFailure:
    cause = error.__cause__
    if isinstance(cause, OSError) and cause.errno == errno.ECONNREFUSED:
        return CallFailure.CONNECTION_REFUSED
    return CallFailure.NOT_SENT


def _refused_to_not_sent(failure: CallFailure) -> CallFailure:
    if failure is CallFailure.CONNECTION_REFUSED:
        return CallFailure.NOT_SENT
    return failure
