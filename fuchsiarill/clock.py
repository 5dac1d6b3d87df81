"""The clock of the runtime, and an event loop with virtual time.

Delays and deadlines of tasks are measured in the time of the running loop, not
with the module `time`, so that a test or a simulation under `PausedLoop` covers
hours in milliseconds. Only deadlines that a thread or the command line checks
use `time.monotonic`.
"""

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any, Final, TypeVar

_Outcome = TypeVar('_Outcome')

MS_PER_SECOND: Final = 1000


def now_ms() -> int:
    """Return the running loop's monotonic time in milliseconds."""
    return int(asyncio.get_running_loop().time() * MS_PER_SECOND)


async def sleep_ms(duration_ms: float) -> None:
    """Suspend the calling task for `duration_ms` of the loop's time."""
    await asyncio.sleep(duration_ms / MS_PER_SECOND)


class _AdvancingSelector(selectors.DefaultSelector):
    """Advances the virtual time where another selector would block."""

    def __init__(self) -> None:
        super().__init__()
        self.elapsed_s = 0.0

    def select(
        self,
        timeout: float | None = None,
    ) -> list[tuple[selectors.SelectorKey, int]]:
        ready = super().select(0)
        if ready:
            return ready
        if timeout is None:
            raise RuntimeError('paused loop: every task waits, no timer is set')
        self.elapsed_s += max(timeout, 0)
        return []


class PausedLoop(asyncio.SelectorEventLoop):
    """Event loop whose time is virtual and moves only to the next timer.

    It never blocks, so every run has the same sequence of events.
    """

    def __init__(self) -> None:
        """Start at time zero."""
        self._advancing_selector = _AdvancingSelector()
        super().__init__(self._advancing_selector)

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self._advancing_selector.elapsed_s


def run_paused(main: Coroutine[Any, Any, _Outcome]) -> _Outcome:
    """Run a coroutine to its end on a new `PausedLoop`."""
    with asyncio.Runner(loop_factory=PausedLoop) as runner:
        return runner.run(main)
