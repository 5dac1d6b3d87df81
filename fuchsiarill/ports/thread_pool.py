"""A bounded number of blocking calls, each in a thread.

A call that finds the lane full is turned away at once, so nothing queues
without limit. The threads are daemon threads: a call that still waits for its
answer does not hold up the end of the process.
"""

import queue
import threading
from collections.abc import Callable
from concurrent.futures import Future
from dataclasses import dataclass
from typing import Any, TypeVar

_Outcome = TypeVar('_Outcome')


@dataclass(frozen=True, slots=True)
class _Job:
    work: Callable[[], Any]
    future: Future[Any]


class BoundedThreadPool:
    """Runs blocking functions for tasks of the event loop."""

    def __init__(
        self,
        name: str,
        threads_count: int,
        in_progress_max: int,
    ) -> None:
        """Allow `in_progress_max` calls, of which some wait for a thread."""
        self._name = name
        self._threads_max = threads_count
        self._threads_count = 0
        self._vacant = threading.BoundedSemaphore(in_progress_max)
        self._jobs: queue.SimpleQueue[_Job | None] = queue.SimpleQueue()
        self._idle = threading.Semaphore(0)

    def run(
        self,
        work: Callable[[], _Outcome],
    ) -> Future[_Outcome] | None:
        """Run a function in a thread; returns `None` when the lane is full.

        A place is free again when the function has ended, also when nobody
        waits for it any more. A function that waits for a thread can still
        be cancelled.
        """
        if not self._vacant.acquire(blocking=False):
            return None
        future: Future[_Outcome] = Future()
        self._jobs.put(_Job(work, future))
        self._add_thread()
        return future

    def close(self) -> None:
        """Let the idle threads end."""
        for _ in range(self._threads_count):
            self._jobs.put(None)

    def _add_thread(self) -> None:
        if self._idle.acquire(blocking=False):
            return
        if self._threads_count >= self._threads_max:
            return
        self._threads_count += 1
        threading.Thread(
            target=self._work,
            name=f'{self._name} {self._threads_count}',
            daemon=True,
        ).start()

    def _work(self) -> None:
        while True:
            job = self._jobs.get()
            if job is None:
                return
            self._carry_out(job)
            self._idle.release()

    def _carry_out(self, job: _Job) -> None:
        started = job.future.set_running_or_notify_cancel()
        try:
            outcome = job.work() if started else None
        except Exception as error:
            self._vacant.release()
            job.future.set_exception(error)
            return
        self._vacant.release()
        if started:
            job.future.set_result(outcome)
