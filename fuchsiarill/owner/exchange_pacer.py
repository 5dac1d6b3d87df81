"""When a link exchanges with its worker next.

A worker on which tasks start and end is asked sooner, since the owner learns
of a free slot only from a report. The pace is bounded by the calls that one
owner can make and by the bytes that one worker may spend on control.
"""

import asyncio
from collections.abc import Callable
from typing import Final

from fuchsiarill.clock import MS_PER_SECOND
from fuchsiarill.ids import WorkerId
from fuchsiarill.owner.hash_fraction import hash_fraction
from fuchsiarill.workers import Exchange, TaskOutcome, WorkerReport

# Spreads the exchanges of many workers that were listed at the same time.
_JITTER: Final = 0.1
_FULL_MAILBOX_RETRY_MS: Final = 50

_QUICK_MIN_MS: Final = 100
# One process makes about 700 calls a second and needs the rest of its
# processor for decisions.
_CALLS_MAX_PER_S: Final = 200
# An exchange has about 670 bytes and 330 more for each task; at this pace a
# worker spends about 10 KB/s of the 14 KB/s that control may cost it.
_BASE_MS: Final = 67
_PER_TASK_MS: Final = 33


class ExchangePacer:
    """Sends the ticks of a link: at once when asked, else at its pace."""

    def __init__(
        self,
        worker_id: WorkerId,
        interval_ms: int,
        workers_count: int,
        send_tick: Callable[[], bool],
    ) -> None:
        """Tick at `interval_ms` while nothing starts or ends."""
        self.interval_ms = interval_ms
        self._worker_id = worker_id
        self._shared_ms = workers_count * MS_PER_SECOND / _CALLS_MAX_PER_S
        self._send_tick = send_tick
        self._pace_ms: float = interval_ms
        self._is_asked = False
        self._ticks_count = 0
        self._timer: asyncio.TimerHandle | None = None

    def began(self) -> None:
        """Note that the tick is being handled."""
        self._is_asked = False
        self._ticks_count += 1

    def note(self, request: Exchange, report: WorkerReport) -> None:
        """Set the pace by what an exchange brought.

        News bring the shortest pace; each exchange without news doubles it.
        """
        has_ended = any(
            task.outcome is not TaskOutcome.RUNNING for task in report.tasks
        )
        if request.starts or has_ended:
            tasks_count = len(report.tasks)
            quick_ms = max(
                _QUICK_MIN_MS,
                self._shared_ms,
                _BASE_MS + _PER_TASK_MS * tasks_count,
            )
            self._pace_ms = min(quick_ms, self.interval_ms)
            return
        self._pace_ms = min(2 * self._pace_ms, self.interval_ms)

    def soon(self) -> None:
        """Exchange once the messages before are handled."""
        if self._is_asked:
            return
        self.cancel()
        self._is_asked = self._send_tick()
        if not self._is_asked:
            self._call_later(_FULL_MAILBOX_RETRY_MS)

    def later(self) -> None:
        """Exchange at the present pace, spread by the id of the worker."""
        if self._is_asked:
            return
        seed = f'{self._worker_id} {self._ticks_count}'
        factor = 1 + _JITTER * (2 * hash_fraction(seed) - 1)
        self._call_later(self._pace_ms * factor)

    def cancel(self) -> None:
        """Forget the next tick."""
        if self._timer is not None:
            self._timer.cancel()

    def _call_later(self, delay_ms: float) -> None:
        self.cancel()
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(delay_ms / MS_PER_SECOND, self.soon)
