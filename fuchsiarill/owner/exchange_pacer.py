"""Schedules the exchanges of a link with its worker.

A worker on which tasks start and end is polled more often, because the owner
learns of a free slot only from a report. The rate is limited by the calls that
one owner can make and by the control traffic that one worker may use.
"""

import asyncio
from collections.abc import Callable
from typing import Final

from fuchsiarill.clock import MS_PER_SECOND
from fuchsiarill.ids import WorkerId
from fuchsiarill.owner.hash_fraction import hash_fraction
from fuchsiarill.workers import Exchange, TaskOutcome, WorkerReport

# Desynchronizes the exchanges of workers that were listed at the same time.
_JITTER: Final = 0.1
_FULL_MAILBOX_RETRY_MS: Final = 50

_INTERVAL_MIN_MS: Final = 100
# One process can make about 700 calls per second, but needs the rest of its
# processor time for decisions.
_CALLS_MAX_PER_S: Final = 200
# An exchange takes about 670 bytes and 330 more for each task. At this rate a
# worker uses about 10 KB/s of the 14 KB/s allowed for control traffic.
_EXCHANGE_COST_MS: Final = 67
_TASK_COST_MS: Final = 33


class ExchangePacer:
    """Sends ticks to a link: at once on request, otherwise periodically."""

    def __init__(
        self,
        worker_id: WorkerId,
        interval_ms: int,
        workers_count: int,
        send_tick: Callable[[], bool],
    ) -> None:
        """Use `interval_ms` while no task starts or ends."""
        self.interval_ms = interval_ms
        self._worker_id = worker_id
        self._fair_share_ms = workers_count * MS_PER_SECOND / _CALLS_MAX_PER_S
        self._send_tick = send_tick
        self._current_interval_ms: float = interval_ms
        self._is_tick_pending = False
        self._ticks_count = 0
        self._timer: asyncio.TimerHandle | None = None

    def tick_started(self) -> None:
        """Record that the link has begun to handle the pending tick."""
        self._is_tick_pending = False
        self._ticks_count += 1

    def record(self, request: Exchange, report: WorkerReport) -> None:
        """Adapt the interval to the outcome of an exchange.

        An exchange with starts or ended tasks sets the shortest interval;
        each other exchange doubles it, up to `interval_ms`.
        """
        has_ended = any(
            task.outcome is not TaskOutcome.RUNNING for task in report.tasks
        )
        if request.starts or has_ended:
            tasks_count = len(report.tasks)
            shortest_ms = max(
                _INTERVAL_MIN_MS,
                self._fair_share_ms,
                _EXCHANGE_COST_MS + _TASK_COST_MS * tasks_count,
            )
            self._current_interval_ms = min(shortest_ms, self.interval_ms)
            return
        self._current_interval_ms = min(
            2 * self._current_interval_ms, self.interval_ms
        )

    def request_tick(self) -> None:
        """Send a tick now; it is handled after the messages before it."""
        if self._is_tick_pending:
            return
        self.cancel()
        self._is_tick_pending = self._send_tick()
        if not self._is_tick_pending:
            self._call_later(_FULL_MAILBOX_RETRY_MS)

    def schedule_tick(self) -> None:
        """Send a tick after the current interval, with jitter per worker."""
        if self._is_tick_pending:
            return
        seed = f'{self._worker_id} {self._ticks_count}'
        factor = 1 + _JITTER * (2 * hash_fraction(seed) - 1)
        self._call_later(self._current_interval_ms * factor)

    def cancel(self) -> None:
        """Cancel the scheduled tick."""
        if self._timer is not None:
            self._timer.cancel()

    def _call_later(self, delay_ms: float) -> None:
        self.cancel()
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(
            delay_ms / MS_PER_SECOND, self.request_tick
        )
