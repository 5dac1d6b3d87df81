"""Base class of actors that make calls concurrently with their handlers.

A handler that awaited a call to another process would block the mailbox for
up to the call's deadline, so the call runs as a task and posts its answer.
"""

import asyncio
from collections.abc import Coroutine
from typing import Any

from fuchsiarill import events
from fuchsiarill.actor import Actor


class SpawningActor(Actor):
    """An actor with calls in progress; `stop` cancels them."""

    def __init__(self, name: str) -> None:
        """Start without a call in progress."""
        super().__init__(name)
        self._calls: set[asyncio.Task[None]] = set()

    @property
    def calls_count(self) -> int:
        """Return the number of calls in progress."""
        return len(self._calls)

    def spawn(self, call: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        """Run a call as a task of this actor."""
        task = asyncio.get_running_loop().create_task(call, name=self.name)
        self._calls.add(task)
        task.add_done_callback(self._call_ended)
        return task

    async def stop(self) -> None:
        """Cancel the calls in progress, then the actor."""
        calls = tuple(self._calls)
        for call in calls:
            call.cancel()
        await asyncio.gather(*calls, return_exceptions=True)
        await super().stop()

    def snapshot(self) -> dict[str, Any]:
        """Return the state for a dump."""
        return {**super().snapshot(), 'calls_count': self.calls_count}

    def _call_ended(self, task: asyncio.Task[None]) -> None:
        self._calls.discard(task)
        error = None if task.cancelled() else task.exception()
        if error is not None:
            events.emit(
                events.CALL_FAILED,
                actor=self.name,
                error=repr(error),
            )
