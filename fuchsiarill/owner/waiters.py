"""Callers that wait for a commit or for the end of a job.

Every wait has an end, and the number of waiting callers is bounded.
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
    """Told once all records up to `sequence` are durable, or too late.

    `answered_early` answers, if it can, without the commit.
    """

    sequence: int
    waits_until_ms: int
    committed: Callable[[], None]
    given_up: Callable[[], None]
    answered_early: Callable[[], bool] = bool


@dataclass(frozen=True, slots=True)
class _EndWaiter:
    reply: Reply[JobAnswer]
    waits_until_ms: int


class Waiters:
    """All callers that one owner has not answered yet."""

    def __init__(self) -> None:
        """Start with nobody waiting."""
        self._commits: deque[CommitWaiter] = deque()
        self._ends: dict[JobId, list[_EndWaiter]] = {}
        self._ends_count = 0

    @property
    def commits_count(self) -> int:
        """Return how many wait for a commit."""
        return len(self._commits)

    @property
    def ends_count(self) -> int:
        """Return how many wait for the end of a job."""
        return self._ends_count

    def is_full(self) -> bool:
        """Tell whether nobody else may wait for a commit."""
        return len(self._commits) >= _COMMITS_MAX_COUNT

    def wait_for_commit(self, waiter: CommitWaiter) -> None:
        """Add a caller; sequences come in rising order."""
        self._commits.append(waiter)

    def committed(self, sequence: int) -> None:
        """Answer all whose records are durable."""
        while self._commits and self._commits[0].sequence <= sequence:
            self._commits.popleft().committed()

    def answer_early(self) -> None:
        """Answer all who no longer need a commit."""
        self._commits = deque(
            waiter for waiter in self._commits if not waiter.answered_early()
        )

    def give_up_commits(self) -> None:
        """End the wait of all who wait for a commit."""
        while self._commits:
            self._commits.popleft().given_up()

    def wait_for_end(
        self,
        job_id: JobId,
        reply: Reply[JobAnswer],
        waits_until_ms: int,
    ) -> bool:
        """Add a caller; `False` when too many wait."""
        if self._ends_count >= _ENDS_MAX_COUNT:
            return False
        waiter = _EndWaiter(reply, waits_until_ms)
        self._ends.setdefault(job_id, []).append(waiter)
        self._ends_count += 1
        return True

    def ended(self, job_id: JobId, answer: JobAnswer) -> None:
        """Answer all who wait for the end of a job."""
        for waiter in self._ends.pop(job_id, ()):
            self._ends_count -= 1
            waiter.reply.answer(answer)

    def expire(
        self,
        now_ms: int,
        answer_of: Callable[[JobId], JobAnswer],
    ) -> None:
        """Answer all whose wait has ended."""
        while self._commits and self._commits[0].waits_until_ms <= now_ms:
            self._commits.popleft().given_up()
        self._expire_ends(now_ms, answer_of)

    def expire_ends(self, answer_of: Callable[[JobId], JobAnswer]) -> None:
        """End the wait of all who wait for the end of a job."""
        self._expire_ends(None, answer_of)

    def _expire_ends(
        self,
        now_ms: int | None,
        answer_of: Callable[[JobId], JobAnswer],
    ) -> None:
        for job_id, waiters in tuple(self._ends.items()):
            left = []
            for waiter in waiters:
                if now_ms is not None and waiter.waits_until_ms > now_ms:
                    left.append(waiter)
                    continue
                self._ends_count -= 1
                waiter.reply.answer(answer_of(job_id))
            if left:
                self._ends[job_id] = left
            else:
                self._ends.pop(job_id)
