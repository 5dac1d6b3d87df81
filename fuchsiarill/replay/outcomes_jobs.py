"""Outcomes about the final states of jobs and their waiting times."""

import math
from collections.abc import Iterator
from typing import Annotated

from pydantic import Field

from fuchsiarill.replay.evidence import Evidence, JobOutcome
from fuchsiarill.replay.kinds import OUTCOME_KINDS, Violation
from fuchsiarill.states import JobState

_Time = Annotated[int, Field(ge=0)]
_Percentile = Annotated[float, Field(gt=0, le=100)]


@OUTCOME_KINDS.register('all_finished')
class AllFinished(JobOutcome):
    """Every job has succeeded, and its caller has the result, by `by_ms`.

    Jobs whose cancellation is requested may also end as cancelled.
    """

    by_ms: _Time

    def violations(self, evidence: Evidence) -> Iterator[Violation]:
        """Find jobs that did not end, did not succeed or ended too late."""
        for key, submission in self.selected(evidence):
            end = evidence.ends.get(key)
            if end is None:
                yield Violation('never finished', submission)
                continue
            allowed = {JobState.SUCCEEDED.value}
            if key in evidence.cancel_requested:
                allowed.add(JobState.CANCELLED.value)
            if end.details['state'] not in allowed:
                yield Violation('did not succeed', end)
            elif end.time_ms > self.by_ms:
                yield Violation(f'finished after {self.by_ms} ms', end)


@OUTCOME_KINDS.register('job_state')
class JobStateAtEnd(JobOutcome):
    """The callers of the selected jobs received the final state `state`.

    With `by_ms` they received it by that time. The state `open` means that
    they received none.
    """

    state: str
    by_ms: _Time | None = None

    def violations(self, evidence: Evidence) -> Iterator[Violation]:
        """Compare the state of each job."""
        selected = list(self.selected(evidence))
        if not selected:
            yield Violation(f'no job has a key that begins with {self.keys!r}')
        for key, submission in selected:
            end = evidence.ends.get(key)
            state = 'open' if end is None else end.details['state']
            if state != self.state:
                yield Violation(f'its state is {state}', end or submission)
            elif end is not None and self._is_late(end.time_ms):
                yield Violation(f'ended after {self.by_ms} ms', end)

    def _is_late(self, time_ms: int) -> bool:
        return self.by_ms is not None and time_ms > self.by_ms


class _WaitOutcome(JobOutcome):
    """Base of outcomes about the time from submission to first start."""

    def waits(self, evidence: Evidence) -> dict[str, float]:
        """Return the wait of each job in ms; infinite if it never started.

        A job that never started is left out if its cancellation was requested.
        """
        waits = {}
        for key, submission in self.selected(evidence):
            run = evidence.first_runs.get(key)
            if run is not None:
                waits[key] = float(run.began_ms - submission.time_ms)
            elif key not in evidence.cancel_requested:
                waits[key] = math.inf
        return waits


@OUTCOME_KINDS.register('started_within')
class StartedWithin(_WaitOutcome):
    """Every selected job first starts within `ms` of its submission.

    Jobs submitted before `from_ms` or after `to_ms` are left out.
    """

    ms: _Time
    from_ms: _Time = 0
    to_ms: _Time | None = None

    def violations(self, evidence: Evidence) -> Iterator[Violation]:
        """Find jobs that waited too long."""
        to_ms = evidence.duration_ms if self.to_ms is None else self.to_ms
        for key, wait_ms in self.waits(evidence).items():
            submission = evidence.submissions[key]
            if not self.from_ms <= submission.time_ms <= to_ms:
                continue
            if wait_ms > self.ms:
                yield Violation(f'waited {wait_ms} ms', submission)


@OUTCOME_KINDS.register('waits_at_most')
class WaitsAtMost(_WaitOutcome):
    """The given percentile of the waiting times is at most `ms`."""

    ms: _Time
    percentile: _Percentile = 99

    def violations(self, evidence: Evidence) -> Iterator[Violation]:
        """Compute the percentile by the nearest-rank method and compare it."""
        waits = self.waits(evidence)
        if not waits:
            yield Violation('no job is selected')
            return
        ranked = sorted(waits, key=waits.__getitem__)
        rank = math.ceil(len(ranked) * self.percentile / 100) - 1
        key = ranked[rank]
        if waits[key] > self.ms:
            text = f'percentile {self.percentile} is {waits[key]} ms'
            yield Violation(text, evidence.submissions[key])
