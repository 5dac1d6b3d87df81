"""Clients that wait for a commit or for the end of a job.

Every wait is limited in time. The number of clients that wait for the end of a
job is bounded. At the limit of clients that wait for a commit, the owner
refuses new jobs and cancellations.
"""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

from fuchsiarill.actor import Reply
from fuchsiarill.answers import JobAnswer
from fuchsiarill.ids import JobId

_COMMIT_WAITERS_MAX_COUNT: Final = 10_000
_END_WAITERS_MAX_COUNT: Final = 10_000


@dataclass(frozen=True, slots=True)
class CommitWaiter:
    """Callbacks for a client that waits until `sequence` is durable.

    Exactly one of `on_commit` and `on_uncertain` is called, unless
    `try_early_answer` has answered without the commit and returned `True`. The
    default, `bool`, returns `False` and answers nothing.
    """

    sequence: int
    waits_until_ms: int
    on_commit: Callable[[], None]
    on_uncertain: Callable[[], None]
    try_early_answer: Callable[[], bool] = bool


@dataclass(frozen=True, slots=True)
class _EndWaiter:
    reply: Reply[JobAnswer]
    waits_until_ms: int


class Waiters:
    """All clients that one owner has not answered yet."""

    def __init__(self) -> None:
        """Start without a waiting client."""
        self._commit_waiters: deque[CommitWaiter] = deque()
        self._end_waiters: dict[JobId, list[_EndWaiter]] = {}
        self._end_waiters_count = 0

    @property
    def commit_waiters_count(self) -> int:
        """Return the number of clients that wait for a commit."""
        return len(self._commit_waiters)

    @property
    def end_waiters_count(self) -> int:
        """Return the number of clients that wait for the end of a job."""
        return self._end_waiters_count

    def is_full(self) -> bool:
        """Return whether the limit of clients that await commits is reached."""
        return len(self._commit_waiters) >= _COMMIT_WAITERS_MAX_COUNT

    def add_commit_waiter(self, waiter: CommitWaiter) -> None:
        """Add a client; its sequence number must not be below earlier ones."""
        self._commit_waiters.append(waiter)

    def answer_committed(self, sequence: int) -> None:
        """Answer all clients whose records are durable."""
        while (
            self._commit_waiters
            and self._commit_waiters[0].sequence <= sequence
        ):
            self._commit_waiters.popleft().on_commit()

    def answer_early(self) -> None:
        """Answer all clients whose jobs no longer await a commit."""
        self._commit_waiters = deque(
            waiter
            for waiter in self._commit_waiters
            if not waiter.try_early_answer()
        )

    def answer_commits_uncertain(self) -> None:
        """Tell clients that wait for a commit that its outcome is uncertain."""
        while self._commit_waiters:
            self._commit_waiters.popleft().on_uncertain()

    def add_end_waiter(
        self,
        job_id: JobId,
        reply: Reply[JobAnswer],
        waits_until_ms: int,
    ) -> bool:
        """Add a client; `False` if the limit of waiting clients is reached."""
        if self._end_waiters_count >= _END_WAITERS_MAX_COUNT:
            return False
        waiter = _EndWaiter(reply, waits_until_ms)
        self._end_waiters.setdefault(job_id, []).append(waiter)
        self._end_waiters_count += 1
        return True

    def answer_end_waiters(self, job_id: JobId, answer: JobAnswer) -> None:
        """Answer all clients that wait for the end of a job."""
        for waiter in self._end_waiters.pop(job_id, ()):
            self._end_waiters_count -= 1
            waiter.reply.answer(answer)

    def expire_waits(
        self,
        now_ms: int,
        answer_of: Callable[[JobId], JobAnswer],
    ) -> None:
        """Answer all clients whose wait has expired."""
        while (
            self._commit_waiters
            and self._commit_waiters[0].waits_until_ms <= now_ms
        ):
            self._commit_waiters.popleft().on_uncertain()
        self._answer_end_waiters(now_ms, answer_of)

    def answer_all_end_waiters(
        self, answer_of: Callable[[JobId], JobAnswer]
    ) -> None:
        """Answer all clients that wait for the end of any job."""
        self._answer_end_waiters(None, answer_of)

    def _answer_end_waiters(
        self,
        now_ms: int | None,
        answer_of: Callable[[JobId], JobAnswer],
    ) -> None:
        """Answer clients whose wait has expired; all if `now_ms` is `None`."""
        for job_id, waiters in tuple(self._end_waiters.items()):
            remaining_waiters = []
            for waiter in waiters:
                if now_ms is not None and waiter.waits_until_ms > now_ms:
                    remaining_waiters.append(waiter)
                    continue
                self._end_waiters_count -= 1
                waiter.reply.answer(answer_of(job_id))
            if remaining_waiters:
                self._end_waiters[job_id] = remaining_waiters
            else:
                self._end_waiters.pop(job_id)
