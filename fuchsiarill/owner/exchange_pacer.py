"""Schedules the exchanges of one worker link.

An exchange is one request to the worker and the report that it returns.

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

# Maximum relative change of an interval, up or down. It desynchronizes the
# exchanges of workers that were listed at the same time.
_JITTER_RATIO: Final = 0.1
_FULL_MAILBOX_RETRY_MS: Final = 50

_INTERVAL_MIN_MS: Final = 100
# Limit of one owner. A process can make about 700 calls per second; the limit
# leaves most of its processor time for scheduling decisions.
_CALLS_MAX_PER_S: Final = 200
# An exchange takes about 670 bytes and 330 more for each reported task. An
# interval that is the sum of these values limits the control traffic of a
# worker to about 10 KB/s, below its limit of 14 KB/s.
_INTERVAL_PER_EXCHANGE_MS: Final = 67
_INTERVAL_PER_TASK_MS: Final = 33


class ExchangePacer:
    """Sends the ticks that trigger the exchanges of a link.

    `workers_count` is the number of links that share the owner's call rate at
    the creation of this link.
    `send_tick` returns `False` if the mailbox of the link is full.
    """

    def __init__(
        self,
        worker_id: WorkerId,
        interval_max_ms: int,
        workers_count: int,
        send_tick: Callable[[], bool],
    ) -> None:
        """Use `interval_max_ms` while no task starts or ends."""
        self.interval_max_ms = interval_max_ms
        self._worker_id = worker_id
        self._interval_for_call_limit_ms = (
            workers_count * MS_PER_SECOND / _CALLS_MAX_PER_S
        )
        self._send_tick = send_tick
        self._current_interval_ms: float = interval_max_ms
        self._is_tick_pending = False
        self._ticks_count = 0
        self._timer: asyncio.TimerHandle | None = None

    def tick_started(self) -> None:
        """Record that the link has begun to handle the pending tick."""
        self._is_tick_pending = False
        self._ticks_count += 1

    def adapt_interval(self, request: Exchange, report: WorkerReport) -> None:
        """Adapt the interval to the outcome of an exchange.

        An exchange with starts or ended tasks sets the shortest interval;
        each other exchange doubles it, up to `interval_max_ms`.
        """
        has_ended = any(
            task.outcome is not TaskOutcome.RUNNING for task in report.tasks
        )
        if request.starts or has_ended:
            tasks_count = len(report.tasks)
            shortest_ms = max(
                _INTERVAL_MIN_MS,
                self._interval_for_call_limit_ms,
                _INTERVAL_PER_EXCHANGE_MS + _INTERVAL_PER_TASK_MS * tasks_count,
            )
            self._current_interval_ms = min(shortest_ms, self.interval_max_ms)
            return
        self._current_interval_ms = min(
            2 * self._current_interval_ms, self.interval_max_ms
        )

    def request_tick(self) -> None:
        """Send a tick now; it follows the messages already in the mailbox."""
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
        jitter_factor = 1 + _JITTER_RATIO * (2 * hash_fraction(seed) - 1)
        self._call_later(self._current_interval_ms * jitter_factor)

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
