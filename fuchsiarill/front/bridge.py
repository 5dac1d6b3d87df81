"""The bridge from HTTP threads to the actors.

A thread posts a message into the loop and blocks on its reply; the number of
requests in progress is bounded and a further one is refused.
"""

import asyncio
import threading
from collections.abc import Callable
from concurrent.futures import CancelledError
from typing import TypeVar

from fuchsiarill.actor import Mailbox, Reply
from fuchsiarill.clock import MS_PER_SECOND

_Answer = TypeVar('_Answer')


class Bridge:
    """Lets HTTP threads ask the actors of one loop."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        in_progress_max: int,
    ) -> None:
        """Serve at most `in_progress_max` asks at a time."""
        self._loop = loop
        self._permits = threading.BoundedSemaphore(in_progress_max)

    def ask(
        self,
        mailbox: Mailbox,
        build: Callable[[Reply[_Answer]], object],
        timeout_ms: int,
    ) -> _Answer | None:
        """Post the message made by `build`; return its answer.

        Returns `None` when the process has too many requests in progress or
        the mailbox is full: nothing was carried out. Raises `TimeoutError`
        when no answer came in time.
        """
        if not self._permits.acquire(blocking=False):
            return None
        try:
            return self._post(mailbox, build, timeout_ms)
        except CancelledError:
            raise TimeoutError from None
        finally:
            self._permits.release()

    def _post(
        self,
        mailbox: Mailbox,
        build: Callable[[Reply[_Answer]], object],
        timeout_ms: int,
    ) -> _Answer | None:
        asked = asyncio.run_coroutine_threadsafe(
            _ask(mailbox, build, timeout_ms),
            self._loop,
        )
        answers = asked.result(2 * timeout_ms / MS_PER_SECOND)
        return answers[0] if answers else None


async def _ask(
    mailbox: Mailbox,
    build: Callable[[Reply[_Answer]], object],
    timeout_ms: int,
) -> list[_Answer]:
    reply: Reply[_Answer] = Reply()
    if mailbox.send(build(reply)):
        return [await reply.wait(timeout_ms)]
    return []
