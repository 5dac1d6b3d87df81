"""Blocking HTTP calls of `urllib3`, made from tasks through threads.

The number of calls in progress is bounded; a further call is refused at once
as not sent. The deadline of a call includes its wait for a thread, and holds
for the caller also when an answer arrives in small pieces, each within the
time-out of the socket. A connection whose call misses its deadline is closed
by `urllib3` and never used again, since its late answer would go to the next
request. Calls that wait for an event on purpose have threads of their own.
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
from fuchsiarill.ports.thread_pool import BoundedThreadPool

# One pool for each address; a partition has up to about 400 workers.
_CONNECTION_POOLS_COUNT: Final = 512
# A process watches the configuration and the owner of each partition.
_WAITING_MAX_COUNT: Final = 16
# The thread knows better whether a late call was sent; it is asked first.
_THREAD_VERDICT_MS: Final = 50
_JSON_HEADERS: Final = {'Content-Type': 'application/json'}
_NEVER_SENT: Final = (
    urllib3.exceptions.NewConnectionError,
    urllib3.exceptions.ConnectTimeoutError,
)


class CallFailure(Enum):
    """Why a call gave no answer; only after `NO_ANSWER` it may have acted."""

    NOT_SENT = 'not_sent'
    # Nobody listens at the address.
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
class HttpAnswer:
    """Status and body of an answer."""

    status: int
    body: bytes


class HttpClient:
    """Makes requests with a JSON body and a deadline."""

    def __init__(
        self,
        threads_count: int,
        in_progress_max: int,
        waiting_max: int = _WAITING_MAX_COUNT,
    ) -> None:
        """Create the threads' lanes and the pool of connections."""
        self._calls = BoundedThreadPool(
            'http-call', threads_count, in_progress_max
        )
        self._waits = BoundedThreadPool('http-wait', waiting_max, waiting_max)
        self._connections = urllib3.PoolManager(
            num_pools=_CONNECTION_POOLS_COUNT,
            maxsize=threads_count + waiting_max,
            retries=False,
        )

    async def post(
        self,
        url: str,
        body: bytes,
        timeout_ms: int,
    ) -> Result[HttpAnswer, CallFailure]:
        """Send one POST request; never repeats it."""
        answer = await self.call(HttpCall('POST', url, body), timeout_ms)
        return answer.alt(_without_cause)

    async def post_long_poll(
        self,
        url: str,
        body: bytes,
        timeout_ms: int,
    ) -> Result[HttpAnswer, CallFailure]:
        """Send a request that the server answers when something happens."""
        call = HttpCall('POST', url, body)
        answer = await self.call_long_poll(call, timeout_ms)
        return answer.alt(_without_cause)

    async def call(
        self,
        call: HttpCall,
        timeout_ms: int,
    ) -> Result[HttpAnswer, CallFailure]:
        """Make one request; never repeats it."""
        return await self._run(self._calls, call, timeout_ms)

    async def call_long_poll(
        self,
        call: HttpCall,
        timeout_ms: int,
    ) -> Result[HttpAnswer, CallFailure]:
        """Make a request that the server answers when something happens."""
        return await self._run(self._waits, call, timeout_ms)

    def close(self) -> None:
        """Close idle connections and let the threads end."""
        self._connections.clear()
        self._calls.close()
        self._waits.close()

    async def _run(
        self,
        lane: BoundedThreadPool,
        call: HttpCall,
        timeout_ms: int,
    ) -> Result[HttpAnswer, CallFailure]:
        # The deadline is checked in the thread, where no loop is running.
        deadline_s = time.monotonic() + timeout_ms / MS_PER_SECOND
        running = lane.run(partial(self._request, call, deadline_s))
        if running is None:
            return Failure(CallFailure.NOT_SENT)
        try:
            async with asyncio.timeout(
                (timeout_ms + _THREAD_VERDICT_MS) / MS_PER_SECOND,
            ):
                return await asyncio.wrap_future(running)
        except TimeoutError:
            # Only a call that still waits for a thread can be cancelled.
            is_unsent = running.cancel()
        return Failure(
            CallFailure.NOT_SENT if is_unsent else CallFailure.NO_ANSWER,
        )

    def _request(
        self,
        call: HttpCall,
        deadline_s: float,
    ) -> Result[HttpAnswer, CallFailure]:
        left_s = deadline_s - time.monotonic()
        if left_s <= 0:
            return Failure(CallFailure.NOT_SENT)
        try:
            response = self._connections.request(
                call.method,
                call.url,
                body=call.body,
                headers=_JSON_HEADERS | call.headers,
                timeout=urllib3.Timeout(total=left_s),
            )
        except _NEVER_SENT as error:
            return Failure(_unsent_cause(error))
        except urllib3.exceptions.ReadTimeoutError:
            # Something between the two ends may have lost track of all open
            # connections, so none of the idle ones is used again.
            self._drop_idle(call.url)
            return Failure(CallFailure.NO_ANSWER)
        except urllib3.exceptions.HTTPError:
            return Failure(CallFailure.NO_ANSWER)
        return Success(HttpAnswer(response.status, response.data))

    def _drop_idle(self, url: str) -> None:
        """Close the idle connections to the address of `url`.

        A connection that is in use is closed when its call has ended.
        """
        address = urllib3.util.parse_url(url)
        pools = self._connections.pools
        for key in pools.keys():  # noqa: SIM118
            if (key.key_host, key.key_port) == (address.host, address.port):
                # Another thread may have dropped it already.
                pools.pop(key, None)


def _unsent_cause(error: Exception) -> CallFailure:
    cause = error.__cause__
    if isinstance(cause, OSError) and cause.errno == errno.ECONNREFUSED:
        return CallFailure.CONNECTION_REFUSED
    return CallFailure.NOT_SENT


def _without_cause(failure: CallFailure) -> CallFailure:
    if failure is CallFailure.CONNECTION_REFUSED:
        return CallFailure.NOT_SENT
    return failure
