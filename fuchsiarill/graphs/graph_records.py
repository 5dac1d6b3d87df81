"""JSON encoding of the jobs in the store."""

import json
from collections.abc import Iterable
from dataclasses import asdict
from typing import Any, Final

from fuchsiarill.graphs.model import (
    AdvicePolicy,
    JobGraph,
    PoolId,
    QueueId,
    QueuePolicy,
    Schedule,
    Step,
)
from fuchsiarill.graphs.records import encode_json
from fuchsiarill.ids import JobId
from fuchsiarill.resources import Resources


def encode_graph(graph: JobGraph) -> bytes:
    """Return the JSON form of a job; steps omit fields with default values."""
    document: dict[str, Any] = {
        'queue': graph.queue,
        'payload': graph.payload,
        'steps': [_encode_step(step) for step in graph.steps],
    }
    if graph.schedule is not None:
        document['schedule'] = asdict(graph.schedule)
    if graph.accepted_policy is not None:
        document['policy'] = _encode_policy(graph.accepted_policy)
    if graph.customer is not None:
        document['customer'] = graph.customer
    return encode_json(document)


def decode_graph(pool: PoolId, job: JobId, content: bytes) -> JobGraph:
    """Decode a job."""
    document = json.loads(content)
    schedule = document.get('schedule')
    queue = QueueId(document['queue'])
    policy = document.get('policy')
    return JobGraph(
        job,
        queue,
        pool,
        document['payload'],
        tuple(_decode_step(row) for row in document['steps']),
        Schedule(**schedule) if schedule else None,
        _decode_policy(queue, pool, policy) if policy else None,
        document.get('customer'),
    )


def _encode_policy(policy: QueuePolicy) -> list[Any]:
    """Return the fields of a policy that affect decisions about a job."""
    advice = policy.advice
    return [
        policy.priority,
        policy.attempts_max,
        policy.slack_factor,
        policy.target_ms,
        list(asdict(advice).values()) if advice else None,
    ]


def _decode_policy(queue: QueueId, pool: PoolId, row: list[Any]) -> QueuePolicy:
    priority, attempts_max, slack_factor, target_ms, advice = row
    return QueuePolicy(
        queue,
        '',
        '',
        pool,
        0,
        priority,
        attempts_max,
        slack_factor,
        target_ms,
        AdvicePolicy(*advice) if advice else None,
    )


def _encode_step(step: Step) -> dict[str, Any]:
    row = {
        name: _convert_to_json(getattr(step, name))
        for name in Step.__slots__
        if getattr(step, name) != _STEP_DEFAULTS.get(name)
    }
    row['size'] = step.size.as_tuple()
    return row


def _convert_to_json(field: object) -> object:
    return list(field) if isinstance(field, tuple) else field


def _decode_step(row: dict[str, Any]) -> Step:
    fields = dict(row)
    fields['size'] = Resources(*row['size'])
    fields['after'] = tuple(row.get('after', ()))
    return Step(**fields)


def _step_defaults(names: Iterable[str]) -> dict[str, Any]:
    default_step = Step(1, Resources())
    return {
        name: getattr(default_step, name) for name in names if name != 'size'
    }


_STEP_DEFAULTS: Final = _step_defaults(
    name for name in Step.__slots__ if name != 'tasks_count'
)
