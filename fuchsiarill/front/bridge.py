"""The bridge from HTTP threads to the actors.

A thread posts messages to actors in the event loop and blocks until the replies
arrive; the number of requests in progress is bounded and further requests are
refused. Requests that wait for an event, such as the end of a job, have a
smaller limit of their own, so that threads remain for other requests.
"""

import asyncio
import threading
from collections.abc import Callable, Coroutine, Iterator, Sequence
from concurrent.futures import CancelledError
from contextlib import contextmanager, suppress
from dataclasses import dataclass
from typing import Any, Final, TypeVar

from fuchsiarill.actor import Mailbox, Reply
from fuchsiarill.clock import MS_PER_SECOND

_Answer = TypeVar('_Answer')

_PERMILLE: Final = 1000


@dataclass(frozen=True, slots=True)
class ActorRequest:
    """A message for `mailbox`; `build` creates it with a given reply."""

    mailbox: Mailbox
    build: Callable[[Reply[Any]], object]


class ReleasedError(Exception):
    """A wait for an event ended early because the process drains."""


class NotSentError(Exception):
    """The mailbox of the actor is full; the request had no effect."""


class Bridge:
    """Lets HTTP threads send requests to the actors of one event loop."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        in_progress_max: int,
        waits_max: int = 0,
    ) -> None:
        """Limit the requests in progress and how many of them may wait."""
        self.loop = loop
        self._in_progress_max = in_progress_max
        self._waits_max = waits_max
        self._in_progress_count = 0
        self._waits_count = 0
        self._release_event = asyncio.Event()
        self._counts_lock = threading.Lock()

    @property
    def in_progress(self) -> int:
        """Return the number of requests in progress."""
        return self._in_progress_count

    def release(self) -> None:
        """End all waits for events; must be called in the event loop."""
        self._release_event.set()

    def pause(self, duration_ms: int) -> None:
        """Block the calling thread for a time, or until `release` is called."""
        release = self._release_event.wait()
        bounded_wait = asyncio.wait_for(release, duration_ms / MS_PER_SECOND)
        with suppress(TimeoutError):
            asyncio.run_coroutine_threadsafe(bounded_wait, self.loop).result()

    @property
    def load_permille(self) -> int:
        """Return the requests in progress in thousandths of their limit."""
        return _PERMILLE * self._in_progress_count // self._in_progress_max

    @contextmanager
    def admitted(self) -> Iterator[bool]:
        """Count a request in progress; yields whether the limit allows it."""
        with self._counts_lock:
            admitted = self._in_progress_count < self._in_progress_max
            self._in_progress_count += int(admitted)
        try:
            yield admitted
        finally:
            with self._counts_lock:
                self._in_progress_count -= int(admitted)

    @contextmanager
    def waiting(self) -> Iterator[bool]:
        """Count a request that waits; yields whether the limit allows it."""
        with self._counts_lock:
            admitted = self._waits_count < self._waits_max
            self._waits_count += int(admitted)
        try:
            yield admitted
        finally:
            with self._counts_lock:
                self._waits_count -= int(admitted)

    def ask(
        self,
        mailbox: Mailbox,
        build: Callable[[Reply[_Answer]], object],
        timeout_ms: int,
    ) -> _Answer:
        """Post one message and return its answer.

        Raises `NotSentError`, or `TimeoutError` when no answer came within
        `timeout_ms`.
        """
        answer = self.ask_all([ActorRequest(mailbox, build)], timeout_ms)[0]
        if isinstance(answer, Exception):
            raise answer
        return answer  # type: ignore[no-any-return]

    def ask_all(
        self,
        requests: Sequence[ActorRequest],
        timeout_ms: int,
        waits: bool = False,
    ) -> list[Any]:
        """Post several messages at once; return an answer for each.

        In place of an answer there may be a `NotSentError` or `TimeoutError`.
        With `waits`, the messages wait for an event: if `release` ends the
        wait, the result has a `ReleasedError` for each message.
        """
        gathering = _gather(requests, timeout_ms)
        if waits:
            gathering = self._gather_until_released(gathering, len(requests))
        future = asyncio.run_coroutine_threadsafe(gathering, self.loop)
        try:
            # The loop enforces `timeout_ms`; if no result comes in twice that
            # time, the loop has ended.
            return future.result(2 * timeout_ms / MS_PER_SECOND)
        except (TimeoutError, CancelledError):
            return [TimeoutError() for _ in requests]

    async def _gather_until_released(
        self,
        gathering: Coroutine[Any, Any, list[Any]],
        count: int,
    ) -> list[Any]:
        gather_task = asyncio.ensure_future(gathering)
        release_task = asyncio.ensure_future(self._release_event.wait())
        await asyncio.wait(
            (gather_task, release_task),
            return_when=asyncio.FIRST_COMPLETED,
        )
        release_task.cancel()
        if gather_task.done():
            return gather_task.result()
        gather_task.cancel()
        return [ReleasedError() for _ in range(count)]


async def _gather(
    requests: Sequence[ActorRequest], timeout_ms: int
) -> list[Any]:
    return await asyncio.gather(
        *(_ask(request, timeout_ms) for request in requests),
        return_exceptions=True,
    )


async def _ask(request: ActorRequest, timeout_ms: int) -> Any:
    reply: Reply[Any] = Reply()
    if not request.mailbox.send(request.build(reply)):
        raise NotSentError
    return await reply.wait(timeout_ms)
