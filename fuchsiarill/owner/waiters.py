"""Clients that wait for a commit or for the end of a job.

Every wait is limited in time, and the number of waiting clients is bounded.
"""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

from fuchsiarill.actor import Reply
from fuchsiarill.answers import JobAnswer
from fuchsiarill.ids import JobId

_COMMITS_MAX_COUNT: Final = 10_000
_ENDS_MAX_COUNT: Final = 10_000


@dataclass(frozen=True, slots=True)
class CommitWaiter:
    """Callbacks for a client that waits until `sequence` is durable.

    Exactly one of `on_commit` and `on_uncertain` is called, unless
    `try_early_answer` has answered without the commit and returned `True`.
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
        self._commits: deque[CommitWaiter] = deque()
        self._ends: dict[JobId, list[_EndWaiter]] = {}
        self._ends_count = 0

    @property
    def commits_count(self) -> int:
        """Return the number of clients that wait for a commit."""
        return len(self._commits)

    @property
    def ends_count(self) -> int:
        """Return the number of clients that wait for the end of a job."""
        return self._ends_count

    def is_full(self) -> bool:
        """Return whether the limit of clients that await commits is reached."""
        return len(self._commits) >= _COMMITS_MAX_COUNT

    def wait_for_commit(self, waiter: CommitWaiter) -> None:
        """Add a client; sequence numbers must not decrease."""
        self._commits.append(waiter)

    def committed(self, sequence: int) -> None:
        """Answer all clients whose records are durable."""
        while self._commits and self._commits[0].sequence <= sequence:
            self._commits.popleft().on_commit()

    def answer_early(self) -> None:
        """Answer all clients that no longer need a commit."""
        self._commits = deque(
            waiter for waiter in self._commits if not waiter.try_early_answer()
        )

    def give_up_commits(self) -> None:
        """Answer all that wait for a commit that the outcome is uncertain."""
        while self._commits:
            self._commits.popleft().on_uncertain()

    def wait_for_end(
        self,
        job_id: JobId,
        reply: Reply[JobAnswer],
        waits_until_ms: int,
    ) -> bool:
        """Add a client; `False` if too many are waiting."""
        if self._ends_count >= _ENDS_MAX_COUNT:
            return False
        waiter = _EndWaiter(reply, waits_until_ms)
        self._ends.setdefault(job_id, []).append(waiter)
        self._ends_count += 1
        return True

    def ended(self, job_id: JobId, answer: JobAnswer) -> None:
        """Answer all clients that wait for the end of a job."""
        for waiter in self._ends.pop(job_id, ()):
            self._ends_count -= 1
            waiter.reply.answer(answer)

    def expire(
        self,
        now_ms: int,
        answer_of: Callable[[JobId], JobAnswer],
    ) -> None:
        """Answer all clients whose wait has expired."""
        while self._commits and self._commits[0].waits_until_ms <= now_ms:
            self._commits.popleft().on_uncertain()
        self._expire_ends(now_ms, answer_of)

    def expire_ends(self, answer_of: Callable[[JobId], JobAnswer]) -> None:
        """Answer all clients that wait for the end of any job."""
        self._expire_ends(None, answer_of)

    def _expire_ends(
        self,
        now_ms: int | None,
        answer_of: Callable[[JobId], JobAnswer],
    ) -> None:
        for job_id, waiters in tuple(self._ends.items()):
            remaining = []
            for waiter in waiters:
                if now_ms is not None and waiter.waits_until_ms > now_ms:
                    remaining.append(waiter)
                    continue
                self._ends_count -= 1
                waiter.reply.answer(answer_of(job_id))
            if remaining:
                self._ends[job_id] = remaining
            else:
                self._ends.pop(job_id)
