"""Parsing of platform documents, and encoding of jobs for the store."""

import json
from dataclasses import replace
from typing import Any

import pytest

from fuchsiarill.graphs.graph_records import decode_graph, encode_graph
from fuchsiarill.graphs.model import (
    AdvicePolicy,
    PoolId,
    QueueId,
    QueuePolicy,
    WorkerListing,
)
from fuchsiarill.graphs.ports import DocumentError
from fuchsiarill.graphs.progress import JobProgress, UnitKey
from fuchsiarill.graphs.records import decode_progress, encode_progress
from fuchsiarill.graphs.states import JobPhase
from fuchsiarill.ids import WorkerId
from fuchsiarill.platform.documents import read_config, read_job, read_worker
from fuchsiarill.resources import Resources

JOB = '5c0e7a21d94b36f8'
POLICY = QueuePolicy(QueueId('q'), 'h', '/q/', PoolId('p'), 3000)
WORKER: dict[str, Any] = {
    'service': 'p',
    'addr': '10.0.0.1:80',
    'zone': 'hall',
    'version': 'v1',
    'slots': 8,
    'state': 'ready',
    'cold_left_ms': 0,
    'capacity': {'cpu': 16000, 'mem_mb': 32768, 'gpu': 1},
    'labels': ['a', 'r1-3'],
    'clock_ms': 1,
    'seq_no': 4,
    'born': 77,
}
STEP = {'count': 4, 'cpu': 500, 'mem_mb': 256, 'est_runtime_ms': 900}


def encoded(document: object) -> bytes:
    """Return a document as JSON bytes."""
    return json.dumps(document).encode()


def test_worker_entry() -> None:
    """Guards against sizes and states that are parsed wrongly."""
    entry = read_worker(WorkerId('i-1'), encoded(WORKER))
    assert entry.capacity == Resources(16000, 32768, 1)
    assert entry.listing is WorkerListing.LIVE
    assert (entry.pool, entry.address, entry.born_ms) == (
        'p',
        '10.0.0.1:80',
        77,
    )
    leaving = read_worker(
        WorkerId('i-1'),
        encoded(WORKER | {'state': 'draining', 'drain_left_ms': 1500}),
    )
    assert leaving.listing is WorkerListing.LEAVING
    assert leaving.notice_left_ms == 1500


@pytest.mark.parametrize(
    'changes',
    [
        {'state': 'resting'},
        {'addr': 7},
        {'capacity': {'cpu': '16'}},
        {'capacity': None},
        {'service': ['p']},
        {'labels': 5},
        {'born': 'x'},
    ],
)
def test_entry_of_another_writer_is_refused(changes: dict[str, Any]) -> None:
    """Guards against invalid entries that are accepted as workers."""
    with pytest.raises(DocumentError):
        read_worker(WorkerId('i-1'), encoded(WORKER | changes))


@pytest.mark.parametrize('content', [b'\xff\x00', b'[]', b'{}', b'{"state"'])
def test_unreadable_entry_is_refused(content: bytes) -> None:
    """Guards against an error other than `DocumentError` for any content."""
    with pytest.raises(DocumentError):
        read_worker(WorkerId('i-1'), content)


def test_config() -> None:
    """Guards against a request that gets the policy of another queue."""
    config = read_config(
        encoded(
            {
                'version': 7,
                'routes': [
                    {
                        'name': 'r-1',
                        'host': 'h',
                        'prefix': '/a/',
                        'service': 'p',
                        'timeout_ms': 3000,
                        'priority': 1,
                        'max_attempts': 4,
                        'slack_factor': 2.2,
                        'target_runtime_ms': 1000,
                        'advice': {
                            'decision_ms': 784.0,
                            'interval_ms': 7.0,
                            'validity_ms': 2000,
                        },
                    },
                    {
                        'name': 'r-2',
                        'host': 'h',
                        'prefix': '/a/b/',
                        'service': 'p',
                    },
                ],
                'services': [{'name': 'p', 'rejects_overload': False}],
            },
        ),
    )
    policy = config.find_queue('h', '/a/1')
    assert policy is not None
    assert policy.advice == AdvicePolicy(784, 7, 2000)
    assert (policy.priority, policy.attempts_max) == (1, 4)
    longest = config.find_queue('h', '/a/b/1')
    assert longest is not None
    assert longest.queue == 'r-2'
    assert config.find_queue('h', '/c/1') is None
    assert config.find_queue('x', '/a/1') is None


def test_config_that_lacks_a_part_is_refused() -> None:
    """Guards against an incomplete configuration that comes into force."""
    with pytest.raises(DocumentError):
        read_config(encoded({'version': 7, 'routes': [{'name': 'r-1'}]}))


def test_job_survives_the_store() -> None:
    """Guards against a field of a job that is lost in its record."""
    body = {
        'spec': 'text',
        'phases': [
            STEP,
            STEP
            | {
                'after': [0],
                'checkpointing': True,
                'gang': True,
                'rack_sensitive': True,
                'speculative': True,
                'long_running': True,
                'fills': True,
                'required_label': 'a',
                'data_rack': 'r1-3',
                'max_per_server': 2,
                'image': 'i',
                'target_ms': 50,
                'max_disruptions': 1,
                'gpu': 2,
            },
        ],
        'repeat_count': 3,
        'start_at_ms': 1000,
        'period_ms': 500,
    }
    advice = AdvicePolicy(880.5, 7.9, 2000)
    policy = replace(POLICY, priority=1, attempts_max=4, advice=advice)
    graph = read_job(JOB, policy, encoded(body))
    assert graph.occurrences_count == 3
    assert graph.steps[1].charge == Resources(0, 256, 2)
    assert graph.accepted_policy is not None
    assert graph.accepted_policy.attempts_max == 4
    assert graph.accepted_policy.advice == advice
    decoded = decode_graph(graph.pool, graph.job, encode_graph(graph))
    assert decoded == graph


def test_progress_survives_the_store() -> None:
    """Guards against a success or failed attempt that is lost in its record."""
    progress = JobProgress(
        JobPhase.ACTIVE,
        {UnitKey(0, 0, 1)},
        {UnitKey(0, 1, 0): {1, 101}},
        {},
        has_started=True,
    )
    assert decode_progress(encode_progress(progress)) == progress


@pytest.mark.parametrize(
    ('job', 'body'),
    [
        ('xyz', {'phases': [STEP]}),
        (JOB, {}),
        (JOB, {'phases': []}),
        (JOB, {'phases': [{'count': 0}]}),
        (JOB, {'phases': [STEP | {'after': [0]}]}),
        (JOB, {'phases': [STEP | {'cpu': 'many'}]}),
        (JOB, {'phases': [STEP], 'spec': 'x' * 4001}),
    ],
)
def test_malformed_job_is_refused(job: str, body: dict[str, Any]) -> None:
    """Guards against accepting a job that can't be run."""
    with pytest.raises(DocumentError):
        read_job(job, POLICY, encoded(body))


@pytest.mark.parametrize(
    'changes',
    [
        {'after': [0.5]},
        {'after': [False]},
        {'max_per_server': 'x'},
        {'max_per_server': [1]},
        {'max_per_server': -1},
        {'max_disruptions': 'x'},
        {'required_label': ['a']},
        {'data_rack': {'a': 1}},
        {'image': ['a']},
        {'target_ms': 'x'},
        {'cpu': -100},
        {'est_runtime_ms': float('inf')},
        {'est_runtime_ms': 10**400},
        {'count': 100_001},
    ],
)
def test_job_that_its_owner_cannot_run_is_refused(
    changes: dict[str, Any],
) -> None:
    """Guards against a job at which the owner of the pool fails.

    The job is durable once it is accepted, so each later owner would fail at it
    as well, and no job of the pool would start.
    """
    with pytest.raises(DocumentError):
        read_job(JOB, POLICY, encoded({'phases': [STEP, STEP | changes]}))


def test_schedule_with_a_negative_period_is_refused() -> None:
    """Guards against occurrences that are due before the first one."""
    body = {
        'phases': [STEP],
        'repeat_count': 3,
        'start_at_ms': 1000,
        'period_ms': -5,
    }
    with pytest.raises(DocumentError):
        read_job(JOB, POLICY, encoded(body))
