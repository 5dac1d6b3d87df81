"""Faults that the soak finds in the observations of workers and callers."""

from typing import Any

import pytest

from tools.platform_load import Job, Outcome
from tools.soak_tally import Disruptions, SoakRecord, find_faults

_TASK = '00000000000000ab.0.0.1'
# The process is disrupted from 10 s to 11 s, thus not in touch until 14 s.
_DISRUPTED_S = (10.0, 11.0)


def _faults_of(*jobs: Job, **observed: Any) -> list[str]:
    observations: dict[str, Any] = {
        'violations': [],
        'started_jobs': [],
        'deadly_starts': [],
        'crashes': [],
        'late_overloads': [],
    }
    disruptions = Disruptions()
    disruptions.add(['p0'], *_DISRUPTED_S)
    record = SoakRecord(observations | observed, list(jobs), disruptions)
    return find_faults(record)


def _starts(*times_ms: int, process: str | None = 'p0') -> list[dict[str, Any]]:
    return [
        {'task': _TASK, 'process': process, 'at_ms': at_ms}
        for at_ms in times_ms
    ]


def _crashes(*times_ms: int) -> list[dict[str, Any]]:
    return [{'task': _TASK, 'at_ms': at_ms} for at_ms in times_ms]


def _job(state: str, **changes: Any) -> Job:
    return Job('00000000000000ab', {}, state=state, **changes)


@pytest.mark.parametrize(
    ('starts', 'is_fault'),
    [
        (_starts(100, 300, 500, 700, 900), False),
        (_starts(100, 300, 500, 700, 900, 1100), True),
        # The last three follow the crashes, but one of them a disruption too.
        (_starts(100, 300, 500, 700, 900, 10_500), False),
        (_starts(100, 300, 500, 700, 900, 13_999), False),
        (_starts(100, 300, 500, 700, 900, 14_000), True),
        (_starts(700, 900, 1100, process=None), False),
        (_starts(700, 900, 10_500, process='p1'), True),
    ],
)
def test_third_start_after_three_crashes_is_a_fault(
    starts: list[dict[str, Any]], *, is_fault: bool
) -> None:
    """Guards against a soak that passes while a task crashes all workers."""
    faults = _faults_of(
        deadly_starts=starts, crashes=_crashes(200, 400, 600, 800, 1000)
    )
    assert bool(faults) is is_fault


def test_starts_before_the_third_crash_are_allowed() -> None:
    """Guards against a fault for crashes that no owner could prevent."""
    starts = _starts(100, 300, 500, 700, 900)
    assert not _faults_of(deadly_starts=starts, crashes=_crashes(200, 400))


@pytest.mark.parametrize(
    ('at_ms', 'faults_count'), [(9000, 1), (12_000, 0), (15_000, 1)]
)
def test_start_over_a_shrunken_capacity_is_a_fault(
    at_ms: int, faults_count: int
) -> None:
    """Guards against a soak that misses starts on workers that shrank.

    A daemon that was just disrupted may not have read the directory.
    """
    overload = {
        'worker': 'w0',
        'process': 'p0',
        'shrunk_ms': 1000,
        'at_ms': at_ms,
    }
    assert len(_faults_of(late_overloads=[overload])) == faults_count


@pytest.mark.parametrize(
    ('state', 'is_deadly', 'outcome', 'is_fault'),
    [
        ('done', False, Outcome.FINISHED, False),
        ('failed', False, Outcome.LOST, True),
        ('running', False, Outcome.LOST, True),
        ('failed', True, Outcome.UNFINISHED, False),
        ('running', True, Outcome.UNFINISHED, False),
        ('queued', True, Outcome.UNFINISHED, False),
        ('done', True, Outcome.FINISHED, True),
        ('gone', True, Outcome.LOST, True),
        ('', True, Outcome.LOST, True),
        ('cancelled', True, Outcome.LOST, True),
    ],
)
def test_only_deadly_jobs_may_fail(
    state: str, outcome: Outcome, *, is_deadly: bool, is_fault: bool
) -> None:
    """Guards against a sound job that is given up for the crashes of others.

    A job with a deadly task may fail or never end, but must not be forgotten
    or shown as done.
    """
    job = _job(state, is_deadly=is_deadly, is_acknowledged=True)
    assert job.outcome is outcome
    assert bool(_faults_of(job)) is is_fault


def test_violations_and_refused_jobs_are_faults() -> None:
    """Guards against a tally that drops what the workers have recorded."""
    refused = _job('', is_refused=True)
    assert len(_faults_of(refused, started_jobs=[refused.name])) == 1
    assert _faults_of(violations=['w0']) == ['w0']
