"""Tests of the state that a new owner restores from journal and reports."""

from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest
import yaml

from fuchsiarill import records
from fuchsiarill.core.effects import CommandTask, PersistRecord, StartTask
from fuchsiarill.core.ledger import fold, task_of
from fuchsiarill.core.partition import PartitionCore
from fuchsiarill.ids import (
    AttemptId,
    Epoch,
    IncarnationId,
    JobId,
    PartitionId,
    ProcessId,
    WorkerId,
)
from fuchsiarill.job import Execution, Urgency
from fuchsiarill.resources import Resources
from fuchsiarill.states import JobState
from fuchsiarill.workers import (
    CommandKind,
    TaskOutcome,
    TaskReport,
    WorkerReport,
)
from tests.builders import SIZE, cell, host, spec

_CASES = yaml.safe_load(
    Path(__file__).with_name('cases').joinpath('ledger.yaml').read_text(),
)
_LEASE_MS = 15_000
_EPOCH = Epoch(3)
_INCARNATION = IncarnationId('first')


class _Owner:
    """A restored core whose commits succeed at once."""

    def __init__(self, log: list[str], *, volatile: bool = False) -> None:
        self.core = PartitionCore(
            PartitionId('r.0'),
            _EPOCH,
            cell(volatile=volatile, task_lease_ms=_LEASE_MS),
        )
        old_process = ProcessId('old')
        epoch_record = records.EpochOpened(Epoch(2), old_process, _LEASE_MS)
        self.core.restore((epoch_record, *_parse_records(log)), 0)
        self.starts: list[str] = []
        self.stops: list[str] = []
        self.run_decisions(0)

    def state_of(self, name: str) -> JobState:
        job = self.core.state.jobs[JobId(name)]
        return job.state

    def reserved_on(self, name: str) -> Resources:
        workers = self.core.state.workers
        return workers[WorkerId(name)].reserved

    def report(self, worker: str, lines: list[str], now_ms: int) -> None:
        tasks = []
        for line in lines:
            outcome, name = line.split()
            tasks.append(
                TaskReport(AttemptId(name), TaskOutcome(outcome), SIZE),
            )
        self.core.worker_reported(
            WorkerReport(
                WorkerId(worker), _EPOCH, 0, tuple(tasks), _INCARNATION
            ),
            now_ms,
        )

    def run_decisions(self, now_ms: int) -> None:
        self.core.decide(now_ms)
        effects = self.core.take_effects()
        while effects:
            for effect in effects:
                self._apply_effect(effect, now_ms)
            self.core.decide(now_ms)
            effects = self.core.take_effects()

    def _apply_effect(self, effect: object, now_ms: int) -> None:
        if isinstance(effect, PersistRecord):
            self.core.committed(effect.sequence, now_ms)
        if isinstance(effect, StartTask):
            self.starts.append(task_of(effect.attempt_id))
        if isinstance(effect, CommandTask):
            if effect.kind is CommandKind.STOP:
                self.stops.append(effect.attempt_id)


def _parse_records(log: list[str]) -> Iterator[records.Record]:
    for line in log:
        kind, name, *arguments = line.split()
        job_id = JobId(name.partition('/')[0])
        match kind:
            case 'accepted':
                yield records.JobAccepted(job_id, _spec_of(name, arguments))
            case 'intent':
                yield records.StartIntended(
                    job_id,
                    AttemptId(name),
                    WorkerId(arguments[0]),
                )
            case 'withdrawn':
                yield records.StartWithdrawn(job_id, AttemptId(name))
            case 'finished':
                position = int(name.partition('/')[2])
                yield records.TaskFinished(job_id, position, 'output')
            case 'cancel':
                yield records.CancelRequested(job_id)
            case 'ended':
                yield records.JobEnded(job_id, JobState(arguments[0]))


def _spec_of(name: str, arguments: list[str]) -> Any:
    execution = Execution.IDEMPOTENT
    tasks_count = 1
    for word in arguments:
        if word == 'at_most_once':
            execution = Execution.AT_MOST_ONCE
        elif word.startswith('tasks='):
            tasks_count = int(word.partition('=')[2])
    return spec(name, execution, tasks_count=tasks_count)


@pytest.mark.parametrize('case', _CASES, ids=lambda case: case['name'])
def test_takeover(case: dict[str, Any]) -> None:
    """Guards against lost jobs and second starts after a takeover."""
    owner = _Owner(case['log'])
    owner.core.hosts_listed((host('w1'), host('w2')), 0)
    reports = case.get('reports', {})
    first_worker, *other_workers = case['answering']
    owner.report(first_worker, reports.get(first_worker, []), 10)
    owner.run_decisions(10)
    assert owner.starts == case['early']
    for name in other_workers:
        owner.report(name, reports.get(name, []), 20)
    owner.run_decisions(20)
    assert owner.starts == case['late']
    expected_starts = case.get('lapsed')
    if expected_starts is not None:
        lapsed_ms = _LEASE_MS * 2
        owner.report(first_worker, [], lapsed_ms)
        owner.core.expire_leases(lapsed_ms)
        owner.run_decisions(lapsed_ms)
        assert owner.starts == expected_starts
    assert owner.stops == case.get('stops', [])
    for name, state in case['state'].items():
        job_state = owner.state_of(name)
        if job_state is JobState.QUEUED and owner.starts:
            # The start was sent, but its worker has not confirmed it yet.
            job_state = JobState.RUNNING
        assert job_state is JobState(state)


@pytest.mark.parametrize('case', _CASES, ids=lambda case: case['name'])
def test_compaction_keeps_the_image(case: dict[str, Any]) -> None:
    """Guards against a snapshot that differs from its journal."""
    image = fold(_parse_records(case['log']))
    assert fold(image.compacted()) == image


def test_adopted_attempt_is_reserved() -> None:
    """Guards against a new owner that overcommits a worker.

    The resources of an attempt that the journal names must be reserved before
    its worker reports, and not a second time with the report.
    """
    owner = _Owner(['accepted b at_most_once', 'intent b/0@1.1 w2'])
    owner.core.hosts_listed((host('w1'), host('w2')), 0)
    assert owner.reserved_on('w2') == SIZE
    owner.report('w2', ['running b/0@1.1', 'running x/0@1.1'], 5)
    assert owner.reserved_on('w2') == SIZE


def test_same_key_after_takeover() -> None:
    """Guards against a second job for a key that an older owner accepted."""
    owner = _Owner([])
    submitted = owner.core.submit(spec('key'), 0).unwrap()
    owner.run_decisions(0)
    record = records.JobAccepted(submitted, spec('key'))
    successor = PartitionCore(PartitionId('r.0'), Epoch(4), cell())
    successor.restore((record,), 0)
    assert successor.submit(spec('key'), 0).unwrap() == submitted
    assert not successor.take_effects()


def test_urgent_volatile_job_is_held() -> None:
    """Guards against a second run of a volatile job that a worker runs."""
    owner = _Owner([], volatile=True)
    owner.core.hosts_listed((host('w1'), host('w2')), 0)
    owner.report('w1', [], 1)
    urgent = spec('urgent', urgency=Urgency.URGENT)
    job_id = owner.core.submit(urgent, 2).unwrap()
    owner.run_decisions(2)
    assert not owner.starts
    owner.report('w2', [f'running {job_id}/0@1.1'], 3)
    owner.run_decisions(3)
    assert not owner.starts
    assert owner.state_of(job_id) is JobState.RUNNING


def test_orphan_delays_its_resubmitted_job() -> None:
    """Guards against a second run of a task while its orphan still runs."""
    owner = _Owner([], volatile=True)
    owner.core.hosts_listed((host('w1'),), 0)
    urgent = spec('urgent', urgency=Urgency.URGENT)
    other_core = PartitionCore(PartitionId('r.0'), _EPOCH, cell(volatile=True))
    job_id = other_core.submit(urgent, 0).unwrap()
    owner.report('w1', [f'running {job_id}/0@1.1'], 1)
    owner.run_decisions(1)
    assert owner.stops
    owner.core.submit(urgent, 2)
    owner.run_decisions(2)
    assert not owner.starts
    owner.report('w1', [f'stopped {job_id}/0@1.1'], 3)
    owner.run_decisions(3)
    assert owner.starts == [f'{job_id}/0']
