"""A thread pool with a bounded number of calls in progress.

A call above the bound is refused at once, so that the queue is bounded. The
threads are daemon threads, so that a blocked call does not delay the exit of
the process.
"""

import queue
import threading
from collections.abc import Callable
from concurrent.futures import Future
from dataclasses import dataclass
from typing import Any, TypeVar

_Outcome = TypeVar('_Outcome')


@dataclass(frozen=True, slots=True)
class _WorkItem:
    work: Callable[[], Any]
    future: Future[Any]


class BoundedThreadPool:
    """Runs blocking functions in threads for asyncio tasks."""

    def __init__(
        self,
        name: str,
        threads_count: int,
        in_progress_max: int,
    ) -> None:
        """Allow `in_progress_max` calls; some of them may wait for a thread."""
        self._name = name
        self._threads_max = threads_count
        self._threads_count = 0
        self._free_slots = threading.BoundedSemaphore(in_progress_max)
        self._work_items: queue.SimpleQueue[_WorkItem | None] = (
            queue.SimpleQueue()
        )
        self._idle_threads = threading.Semaphore(0)

    def run(
        self,
        work: Callable[[], _Outcome],
    ) -> Future[_Outcome] | None:
        """Run a function in a thread; returns `None` if the bound is reached.

        The function counts as in progress until it has ended, even if its
        result is no longer awaited. The returned future can be cancelled while
        the function waits for a thread.
        """
        if not self._free_slots.acquire(blocking=False):
            return None
        future: Future[_Outcome] = Future()
        self._work_items.put(_WorkItem(work, future))
        self._start_thread_if_needed()
        return future

    def close(self) -> None:
        """Let the threads exit once they are idle."""
        for _ in range(self._threads_count):
            self._work_items.put(None)

    def _start_thread_if_needed(self) -> None:
        if self._idle_threads.acquire(blocking=False):
            return
        if self._threads_count >= self._threads_max:
            return
        self._threads_count += 1
        threading.Thread(
            target=self._process_items,
            name=f'{self._name} {self._threads_count}',
            daemon=True,
        ).start()

    def _process_items(self) -> None:
        while True:
            item = self._work_items.get()
            if item is None:
                return
            self._execute(item)
            self._idle_threads.release()

    def _execute(self, item: _WorkItem) -> None:
        is_started = item.future.set_running_or_notify_cancel()
        try:
            outcome = item.work() if is_started else None
        except Exception as error:
            self._free_slots.release()
            item.future.set_exception(error)
            return
        self._free_slots.release()
        if is_started:
            item.future.set_result(outcome)
