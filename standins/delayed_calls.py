"""Calls that get no answer and are executed later.

The worker that executes such a call may be a later incarnation than the one
that the call was meant for.
"""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

from fuchsiarill.clock import sleep_ms


class DelayedCalls:
    """Delays the calls to some addresses."""

    def __init__(self) -> None:
        """Delay no calls."""
        # Keys are addresses of workers.
        self.delays_ms: dict[str, int] = {}
        # The loop holds only weak references to its tasks.
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def calls_count(self) -> int:
        """Return the number of calls that are still to be executed."""
        return len(self._tasks)

    def delay(self, address: str, execute: Callable[[], None]) -> bool:
        """Execute a call later if calls to the address are delayed.

        Returns whether they are.
        """
        delay_ms = self.delays_ms.get(address)
        if delay_ms is None:
            return False
        self._spawn(self._execute_later(execute, delay_ms))
        return True

    async def _execute_later(
        self, execute: Callable[[], None], delay_ms: int
    ) -> None:
        await sleep_ms(delay_ms)
        execute()

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
