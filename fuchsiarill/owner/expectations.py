"""What a worker may hold although its last report does not show it.

A report names everything that runs and every outcome that was not
acknowledged. An attempt that is missing was either never started or was
forgotten in a restart of the worker; its incarnation tells which.
"""

from collections.abc import Mapping
from dataclasses import dataclass

from fuchsiarill.ids import AttemptId
from fuchsiarill.resources import NOTHING
from fuchsiarill.workers import TaskOutcome, TaskReport, WorkerReport


@dataclass(frozen=True, slots=True)
class SentStart:
    """A start without an answer.

    The worker refuses it after `start_before_worker_clock_ms`. A restart sets
    that clock back; then `send_before_ms` counts, in the owner's clock.
    """

    incarnation: str
    start_before_worker_clock_ms: int = 0
    send_before_ms: int = 0


class Expectations:
    """The attempts of one worker that its next report should name."""

    def __init__(self, restored: Mapping[AttemptId, str]) -> None:
        """Expect restored starts; the worker refuses them by their epoch."""
        self._starts = {
            attempt_id: SentStart(incarnation)
            for attempt_id, incarnation in restored.items()
        }
        self._running: frozenset[AttemptId] = frozenset()

    @property
    def running(self) -> frozenset[AttemptId]:
        """Return what ran at the last report."""
        return self._running

    @property
    def unanswered_count(self) -> int:
        """Return the number of starts that no report has resolved."""
        return len(self._starts)

    def expect(self, attempt_id: AttemptId, start: SentStart) -> None:
        """Note a start that is about to be sent."""
        self._starts[attempt_id] = start

    def withdraw(self, attempt_id: AttemptId) -> None:
        """Forget a start that has provably not been sent."""
        self._starts.pop(attempt_id, None)

    def observe(
        self,
        report: WorkerReport,
        requested_at_ms: int,
    ) -> tuple[TaskReport, ...]:
        """Return the outcomes of attempts that the report should name.

        `requested_at_ms` is when the exchange of the report was asked for.
        """
        named = {task.attempt_id for task in report.tasks}
        missing = [
            TaskReport(attempt_id, TaskOutcome.STOPPED, NOTHING)
            for attempt_id in sorted(self._running - named)
        ]
        for attempt_id, start in tuple(self._starts.items()):
            outcome = _outcome_of(start, report, requested_at_ms)
            if attempt_id in named:
                self._starts.pop(attempt_id)
            elif outcome is not None:
                self._starts.pop(attempt_id)
                missing.append(TaskReport(attempt_id, outcome, NOTHING))
        self._running = frozenset(
            task.attempt_id
            for task in report.tasks
            if task.outcome is TaskOutcome.RUNNING
        )
        return tuple(missing)


def _outcome_of(
    start: SentStart,
    report: WorkerReport,
    requested_at_ms: int,
) -> TaskOutcome | None:
    """Return what became of a missing start; `None` if it may still arrive."""
    if report.incarnation and start.incarnation == report.incarnation:
        if report.worker_clock_ms > start.start_before_worker_clock_ms:
            return TaskOutcome.REFUSED
        return None
    # The worker may have run the attempt and forgotten it in a restart.
    if requested_at_ms > start.send_before_ms:
        return TaskOutcome.STOPPED
    return None
