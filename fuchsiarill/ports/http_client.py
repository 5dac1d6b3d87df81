"""Blocking HTTP calls of `urllib3`, made from tasks through a thread pool.

The number of calls in progress is bounded; a further call is refused at once
as not sent. A connection whose call misses its deadline is closed by
`urllib3` and never used again, since its late answer would go to the next
request.
"""

import asyncio
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from enum import Enum
from typing import Final

import urllib3
from returns.result import Failure, Result, Success

from fuchsiarill.clock import MS_PER_SECOND

# One pool for each address; a partition has up to about 400 workers.
_CONNECTION_POOLS_COUNT: Final = 512
_NEVER_SENT: Final = (
    urllib3.exceptions.NewConnectionError,
    urllib3.exceptions.ConnectTimeoutError,
)


class CallFailure(Enum):
    """Why a call gave no answer; `NOT_SENT` proves it had no effect."""

    NOT_SENT = 'not_sent'
    NO_ANSWER = 'no_answer'


@dataclass(frozen=True, slots=True)
class HttpAnswer:
    """Status and body of an answer."""

    status: int
    body: bytes


class HttpClient:
    """Makes POST requests with a JSON body and a deadline."""

    def __init__(self, threads_count: int, in_progress_max: int) -> None:
        """Create the pool of threads and of connections."""
        self._threads = ThreadPoolExecutor(threads_count, 'http-client')
        self._connections = urllib3.PoolManager(
            num_pools=_CONNECTION_POOLS_COUNT,
            maxsize=threads_count,
            retries=False,
        )
        self._in_progress_max = in_progress_max
        self._in_progress = 0

    async def post(
        self,
        url: str,
        body: bytes,
        timeout_ms: int,
    ) -> Result[HttpAnswer, CallFailure]:
        """Send one request; never repeats it."""
        if self._in_progress >= self._in_progress_max:
            return Failure(CallFailure.NOT_SENT)
        self._in_progress += 1
        try:
            return await asyncio.get_running_loop().run_in_executor(
                self._threads,
                self._post,
                url,
                body,
                timeout_ms,
            )
        finally:
            self._in_progress -= 1

    def close(self) -> None:
        """Close idle connections and let the threads end."""
        self._connections.clear()
        self._threads.shutdown(wait=False, cancel_futures=True)

    def _post(
        self,
        url: str,
        body: bytes,
        timeout_ms: int,
    ) -> Result[HttpAnswer, CallFailure]:
        try:
            response = self._connections.request(
                'POST',
                url,
                body=body,
                headers={'Content-Type': 'application/json'},
                timeout=urllib3.Timeout(total=timeout_ms / MS_PER_SECOND),
            )
        except _NEVER_SENT:
            return Failure(CallFailure.NOT_SENT)
        except urllib3.exceptions.HTTPError:
            return Failure(CallFailure.NO_ANSWER)
        return Success(HttpAnswer(response.status, response.data))
