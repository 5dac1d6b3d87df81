"""What outcomes are checked against: the log, put into order by task."""

from collections.abc import Iterator
from dataclasses import dataclass
from functools import cached_property
from typing import Any

from fuchsiarill.replay.deployment import Deployment
from fuchsiarill.replay.kinds import OutcomeKind
from fuchsiarill.replay.seen import Seen, SeenKind, SeenLog
from fuchsiarill.resources import Resources


@dataclass(frozen=True, slots=True)
class Run:
    """One run of a task on a worker; an open end is that of the replay."""

    key: str
    position: int
    worker: str
    began_ms: int
    ended_ms: int
    reserved: Resources
    start: Seen


class Evidence:
    """The log of one replay and what follows from it directly."""

    def __init__(
        self,
        log: SeenLog,
        deployment: Deployment,
        duration_ms: int,
    ) -> None:
        """Look at a closed log."""
        self.log = log
        self.deployment = deployment
        self.duration_ms = duration_ms

    @cached_property
    def capacities(self) -> dict[str, Resources]:
        """Return the capacity of each worker."""
        return {
            entry.worker_id: entry.capacity for entry in self.deployment.hosts()
        }

    @cached_property
    def submissions(self) -> dict[str, Seen]:
        """Return the first submission of each key."""
        first: dict[str, Seen] = {}
        for entry in self.log.of(SeenKind.SUBMITTED):
            first.setdefault(entry.details['key'], entry)
        return first

    @cached_property
    def ends(self) -> dict[str, Seen]:
        """Return the final answer for each key that got one."""
        return {
            entry.details['key']: entry
            for entry in self.log.of(SeenKind.JOB_ENDED)
        }

    @cached_property
    def cancelled(self) -> frozenset[str]:
        """Return the keys that somebody asked to cancel."""
        return frozenset(
            entry.details['key'] for entry in self.log.of(SeenKind.CANCEL_ASKED)
        )

    @cached_property
    def runs(self) -> list[Run]:
        """Return the runs of all tasks in the order of their starts."""
        ended = {
            (entry.who, entry.details['attempt']): entry.time_ms
            for entry in self.log.of(SeenKind.TASK_ENDED)
        }
        return [
            Run(
                start.details['key'],
                start.details['position'],
                start.who,
                start.time_ms,
                ended.get(
                    (start.who, start.details['attempt']),
                    self.duration_ms,
                ),
                Resources(*start.details['reserved']),
                start,
            )
            for start in self.log.of(SeenKind.TASK_STARTED)
        ]

    @cached_property
    def first_runs(self) -> dict[str, Run]:
        """Return the first run of each key."""
        first: dict[str, Run] = {}
        for run in self.runs:
            first.setdefault(run.key, run)
        return first

    @cached_property
    def runs_by_task(self) -> dict[tuple[str, int], list[Run]]:
        """Return the runs of each task."""
        grouped: dict[tuple[str, int], list[Run]] = {}
        for run in self.runs:
            grouped.setdefault((run.key, run.position), []).append(run)
        return grouped


class JobOutcome(OutcomeKind):
    """Base of outcomes about jobs; all filters must match."""

    keys: str = ''
    customer: str | None = None
    urgency: str | None = None
    job_class: str | None = None
    workload: str | None = None

    def selected(self, evidence: Evidence) -> Iterator[tuple[str, Seen]]:
        """Yield the key and the submission of each job that is meant."""
        for key, submission in evidence.submissions.items():
            if not key.startswith(self.keys):
                continue
            if self.customer not in {None, submission.who}:
                continue
            if self._matches(submission.details):
                yield key, submission

    def _matches(self, details: dict[str, Any]) -> bool:
        return all(
            getattr(self, name) in {None, details[name]}
            for name in ('urgency', 'job_class', 'workload')
        )
