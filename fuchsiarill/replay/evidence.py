"""The observation log of a replay, indexed by job, task and run."""

from collections.abc import Iterator
from dataclasses import dataclass
from functools import cached_property
from typing import Any

from fuchsiarill.replay.deployment import Deployment
from fuchsiarill.replay.kinds import OutcomeKind
from fuchsiarill.replay.observations import (
    Observation,
    ObservationKind,
    ObservationLog,
)
from fuchsiarill.resources import Resources


@dataclass(frozen=True, slots=True)
class Run:
    """One run of a task on a worker.

    A run that has not ended gets the end of the replay as `ended_ms`.
    """

    key: str
    position: int
    worker: str
    began_ms: int
    ended_ms: int
    reserved: Resources
    start: Observation


class Evidence:
    """The log of a replay with views derived from it, for outcome checks."""

    def __init__(
        self,
        log: ObservationLog,
        deployment: Deployment,
        duration_ms: int,
    ) -> None:
        """Use a closed log; the views are computed on first use."""
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
    def submissions(self) -> dict[str, Observation]:
        """Return the first submission of each key."""
        first: dict[str, Observation] = {}
        for entry in self.log.of(ObservationKind.SUBMITTED):
            first.setdefault(entry.details['key'], entry)
        return first

    @cached_property
    def ends(self) -> dict[str, Observation]:
        """Return the final answer that the caller of each key received."""
        return {
            entry.details['key']: entry
            for entry in self.log.of(ObservationKind.JOB_ENDED)
        }

    @cached_property
    def cancel_requested(self) -> frozenset[str]:
        """Return the keys of jobs that their callers asked to cancel."""
        return frozenset(
            entry.details['key']
            for entry in self.log.of(ObservationKind.CANCEL_ASKED)
        )

    @cached_property
    def runs(self) -> list[Run]:
        """Return the runs of all tasks in the order of their starts."""
        ended = {
            (entry.who, entry.details['attempt']): entry.time_ms
            for entry in self.log.of(ObservationKind.TASK_ENDED)
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
            for start in self.log.of(ObservationKind.TASK_STARTED)
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
        """Return the runs of each task, by key and position."""
        grouped: dict[tuple[str, int], list[Run]] = {}
        for run in self.runs:
            grouped.setdefault((run.key, run.position), []).append(run)
        return grouped


class JobOutcome(OutcomeKind):
    """Base of outcomes about jobs.

    It applies to jobs that match all filters; `keys` is a prefix of keys.
    """

    keys: str = ''
    customer: str | None = None
    urgency: str | None = None
    job_class: str | None = None
    workload: str | None = None

    def selected(self, evidence: Evidence) -> Iterator[tuple[str, Observation]]:
        """Yield the key and the submission of each matching job."""
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
