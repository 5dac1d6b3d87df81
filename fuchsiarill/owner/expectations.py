"""Resolves attempts that a worker's report should list but does not.

A report lists every running attempt and every unacknowledged outcome. A
missing attempt was either never started or was lost in a restart of the
worker; the incarnation of the worker distinguishes the two cases.
"""

from collections.abc import Mapping
from dataclasses import dataclass

from fuchsiarill.ids import AttemptId, IncarnationId
from fuchsiarill.resources import NO_RESOURCES
from fuchsiarill.workers import TaskOutcome, TaskReport, WorkerReport


@dataclass(frozen=True, slots=True)
class SentStart:
    """A start command that no report has resolved yet.

    Only `incarnation` executes it, until `start_before_worker_clock_ms`.
    """

    incarnation: IncarnationId
    start_before_worker_clock_ms: int = 0


class Expectations:
    """The attempts that the next report of one worker should list."""

    def __init__(
        self, restored_starts: Mapping[AttemptId, IncarnationId]
    ) -> None:
        """Expect the unresolved starts that older owners may have sent.

        Each is mapped to the incarnation that the worker had at that time. If
        such a start arrives late, the worker refuses its lower epoch.
        """
        self._unresolved_starts = {
            attempt_id: SentStart(incarnation)
            for attempt_id, incarnation in restored_starts.items()
        }
        self._running: frozenset[AttemptId] = frozenset()

    @property
    def running(self) -> frozenset[AttemptId]:
        """Return the attempts that ran at the last report."""
        return self._running

    @property
    def unresolved_count(self) -> int:
        """Return the number of starts that no report has resolved."""
        return len(self._unresolved_starts)

    def expect(self, attempt_id: AttemptId, start: SentStart) -> None:
        """Record a start that is about to be sent."""
        self._unresolved_starts[attempt_id] = start

    def withdraw(self, attempt_id: AttemptId) -> None:
        """Remove a start that is known not to have been sent."""
        self._unresolved_starts.pop(attempt_id, None)

    def apply_report(
        self,
        report: WorkerReport,
    ) -> tuple[TaskReport, ...]:
        """Apply a report; return the outcomes of attempts missing from it."""
        listed_attempts = {task.attempt_id for task in report.tasks}
        missing_outcomes = [
            TaskReport(attempt_id, TaskOutcome.STOPPED, NO_RESOURCES)
            for attempt_id in sorted(self._running - listed_attempts)
        ]
        for attempt_id, start in tuple(self._unresolved_starts.items()):
            outcome = _outcome_of_missing_start(start, report)
            if attempt_id in listed_attempts:
                self._unresolved_starts.pop(attempt_id)
            elif outcome is not None:
                self._unresolved_starts.pop(attempt_id)
                missing_outcomes.append(
                    TaskReport(attempt_id, outcome, NO_RESOURCES)
                )
        self._running = frozenset(
            task.attempt_id
            for task in report.tasks
            if task.outcome is TaskOutcome.RUNNING
        )
        return tuple(missing_outcomes)


def _outcome_of_missing_start(
    start: SentStart,
    report: WorkerReport,
) -> TaskOutcome | None:
    """Return the outcome of a missing start; `None` if it may still arrive."""
    if start.incarnation != report.incarnation:
        # The incarnation that may have run the attempt has ended.
        return TaskOutcome.STOPPED
    if report.worker_clock_ms > start.start_before_worker_clock_ms:
        return TaskOutcome.REFUSED
    return None
