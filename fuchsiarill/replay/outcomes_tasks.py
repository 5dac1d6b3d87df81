"""Outcomes about all tasks of a job."""

from collections.abc import Iterator
from typing import Annotated

from pydantic import Field

from fuchsiarill.replay.evidence import Evidence, JobOutcome, Run
from fuchsiarill.replay.kinds import OUTCOME_KINDS, Violation
from fuchsiarill.replay.observations import Observation

_Time = Annotated[int, Field(ge=0)]


@OUTCOME_KINDS.register('stays_alive')
class StaysAlive(JobOutcome):
    """Each selected job always has a running task, except for short gaps.

    Gaps last at most `gap_at_most_ms`. They are checked from the first start
    of the job to `to_ms`, by default the end of the replay.
    """

    gap_at_most_ms: _Time
    to_ms: _Time | None = None

    def violations(self, evidence: Evidence) -> Iterator[Violation]:
        """Find gaps between the runs of a job and after its last run."""
        to_ms = evidence.duration_ms if self.to_ms is None else self.to_ms
        for key, submission in self.selected(evidence):
            runs = [run for run in evidence.runs if run.key == key]
            if not runs:
                yield Violation('never ran', submission)
                continue
            yield from self._find_gaps(runs)
            alive_until_ms = max(run.ended_ms for run in runs)
            if to_ms - alive_until_ms > self.gap_at_most_ms:
                yield Violation(
                    f'nothing ran since {alive_until_ms} ms', submission
                )

    def _find_gaps(self, runs: list[Run]) -> Iterator[Violation]:
        alive_until_ms = runs[0].began_ms
        for run in runs:
            if run.began_ms - alive_until_ms > self.gap_at_most_ms:
                text = f'nothing ran since {alive_until_ms} ms'
                yield Violation(text, run.start)
            alive_until_ms = max(alive_until_ms, run.ended_ms)


@OUTCOME_KINDS.register('gang_together')
class GangTogether(JobOutcome):
    """All tasks of a gang first start within `ms` of each other, or none."""

    ms: _Time
    workload: str | None = 'gang'

    def violations(self, evidence: Evidence) -> Iterator[Violation]:
        """Compare the first start times of the tasks of each job."""
        for key, submission in self.selected(evidence):
            tasks_count = submission.details['tasks_count']
            starts_ms = _first_starts_ms(evidence, key, tasks_count)
            if starts_ms:
                yield from self._find_spread(starts_ms, tasks_count, submission)

    def _find_spread(
        self,
        starts_ms: list[int],
        tasks_count: int,
        submission: Observation,
    ) -> Iterator[Violation]:
        if len(starts_ms) < tasks_count:
            text = f'{len(starts_ms)} of {tasks_count} tasks started'
            yield Violation(text, submission)
        if max(starts_ms) - min(starts_ms) > self.ms:
            yield Violation(
                f'starts spread over more than {self.ms} ms', submission
            )


def _first_starts_ms(
    evidence: Evidence,
    key: str,
    tasks_count: int,
) -> list[int]:
    return [
        evidence.runs_by_task[(key, position)][0].began_ms
        for position in range(tasks_count)
        if (key, position) in evidence.runs_by_task
    ]
