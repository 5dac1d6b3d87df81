"""Tests of the demo's count of job outcomes and faults from logs."""

from fuchsiarill import codes
from fuchsiarill.ids import AttemptId, WorkerId
from fuchsiarill.resources import NO_RESOURCES, Resources
from standins.worker_log import LogKind, LogLine
from tools.caller import SubmittedJob
from tools.tally import Outcome, count_outcomes

_ONE = WorkerId('one')
_TWO = WorkerId('two')
_CAPACITY = Resources(2000, 1000, 0, 2)
_SIZE = Resources(1000, 500, 0, 1)


def _line(
    time_ms: int,
    kind: LogKind,
    attempt: str = '',
    reserved: Resources = _SIZE,
    worker: WorkerId = _ONE,
    real: Resources = NO_RESOURCES,
) -> LogLine:
    detail = 'succeeded' if kind is LogKind.END else ''
    return LogLine(
        time_ms,
        worker,
        kind,
        AttemptId(attempt),
        reserved,
        real,
        detail,
    )


def _job(**changes: str) -> SubmittedJob:
    body = {'idempotency_key': 'key'} | changes
    return SubmittedJob(body, 'job', codes.ACCEPTED.number)


def test_job_without_outcome_is_lost() -> None:
    """Guards against a demo that passes although a job is lost.

    A batch job is lost while its task has not ended, a service once it has.
    """
    logs = {_ONE: [_line(1, LogKind.START, 'job/0@1.1')]}
    assert count_outcomes([_job()], logs).outcomes == {Outcome.LOST: 1}
    service = _job(workload='service')
    assert count_outcomes([service], logs).outcomes == {Outcome.FINISHED: 1}
    logs[_ONE].append(_line(2, LogKind.END, 'job/0@1.1'))
    assert count_outcomes([_job()], logs).outcomes == {Outcome.FINISHED: 1}
    assert count_outcomes([service], logs).outcomes == {Outcome.LOST: 1}


def test_overlapping_attempts_are_doubled() -> None:
    """Guards against a demo that misses a task that runs in two places."""
    one = [
        _line(1, LogKind.START, 'job/0@1.1'),
        _line(5, LogKind.END, 'job/0@1.1'),
    ]
    two = [_line(4, LogKind.START, 'job/0@2.1', worker=_TWO)]
    assert count_outcomes([_job()], {_ONE: one, _TWO: two}).doubled == ['job/0']
    two = [_line(5, LogKind.START, 'job/0@2.1', worker=_TWO)]
    assert not count_outcomes([_job()], {_ONE: one, _TWO: two}).doubled
    once = _job(execution='at_most_once')
    assert count_outcomes([once], {_ONE: one, _TWO: two}).doubled == ['job/0']


def test_overcommitted_worker_is_seen() -> None:
    """Guards against a demo that misses an overcommitted worker."""
    lines = [_line(0, LogKind.READY, reserved=_CAPACITY)]
    lines.extend(
        _line(1, LogKind.START, f'job/{number}@1.1') for number in range(2)
    )
    assert not count_outcomes([], {_ONE: lines}).overcommitted
    after_end = [
        *lines,
        _line(2, LogKind.END, 'job/0@1.1'),
        _line(2, LogKind.START, 'job/2@1.1'),
    ]
    assert not count_outcomes([], {_ONE: after_end}).overcommitted
    lines.append(_line(2, LogKind.START, 'job/2@1.1'))
    assert count_outcomes([], {_ONE: lines}).overcommitted == [_ONE]


def test_measured_size_counts_from_its_report_on() -> None:
    """Guards against counting measured usage before its report."""
    oversized = _line(1, LogKind.START, 'job/0@1.1', _CAPACITY)
    measured = _line(2, LogKind.MEASURED, 'job/0@1.1', _CAPACITY, real=_SIZE)
    second = _line(3, LogKind.START, 'job/1@1.1')
    ready = _line(0, LogKind.READY, reserved=_CAPACITY)
    early = count_outcomes([], {_ONE: [ready, oversized, second, measured]})
    assert early.overcommitted == [_ONE]
    late = count_outcomes([], {_ONE: [ready, oversized, measured, second]})
    assert not late.overcommitted
    assert late.first_reserved_exceeded == [_ONE]
    third = _line(4, LogKind.START, 'job/2@1.1')
    third_start = count_outcomes(
        [], {_ONE: [ready, oversized, measured, second, third]}
    )
    assert third_start.overcommitted == [_ONE]


def test_refused_and_cancelled_jobs_must_not_run() -> None:
    """Guards against missing runs of refused or cancelled jobs."""
    logs = {_ONE: [_line(1, LogKind.START, 'job/0@1.1')]}
    refused = _job()
    refused.code = codes.NEVER_FITS.number
    assert count_outcomes([refused], logs).ran_though_refused == ['job']
    cancelled = _job()
    cancelled.cancel_acknowledged = True
    assert count_outcomes([cancelled], logs).running_though_cancelled == ['job']
