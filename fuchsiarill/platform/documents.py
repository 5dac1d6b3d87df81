"""Parsers of platform documents: configuration, worker entries, jobs.

Every parser raises `DocumentError` for an invalid document.
"""

import json
import re
from dataclasses import replace
from typing import Any, Final

from fuchsiarill.contracts.contract import (
    CustomerContract,
    CustomerContracts,
    digest_key,
)
from fuchsiarill.graphs.model import (
    AdvicePolicy,
    BornMs,
    GraphConfig,
    ImageId,
    JobGraph,
    Label,
    PoolId,
    PoolPolicy,
    QueueId,
    QueuePolicy,
    RequestLimits,
    Schedule,
    Step,
    WorkerEntry,
    WorkerListing,
)
from fuchsiarill.graphs.ports import DocumentError
from fuchsiarill.ids import (
    CustomerId,
    FailureDomain,
    Generation,
    JobId,
    WorkerId,
)
from fuchsiarill.resources import Resources

_JOB_ID: Final = re.compile('[0-9a-f]{16}')
_PAYLOAD_MAX_BYTES: Final = 4000
_LISTING_BY_STATE: Final = {
    'ready': WorkerListing.LIVE,
    'draining': WorkerListing.LEAVING,
}
_QUEUE_TIMEOUT_DEFAULT_MS: Final = 60_000
_PARSE_ERRORS: Final = (
    KeyError,
    TypeError,
    ValueError,
    AttributeError,
    OverflowError,
)
# Bounds of an accepted job. The owner keeps each task of an open step in memory
# and adds up estimates as floating-point numbers.
_TASKS_MAX_COUNT: Final = 100_000
_AMOUNT_MAX: Final = 1_000_000_000_000


def read_config(content: bytes) -> GraphConfig:
    """Parse the operator's configuration."""
    document = _decode_object(content)
    try:
        return _config(document)
    except _PARSE_ERRORS as error:
        raise DocumentError(f'configuration: {error!r}') from error


def read_worker(worker: WorkerId, content: bytes) -> WorkerEntry:
    """Parse the entry of a worker, which any writer may have stored."""
    document = _decode_object(content)
    try:
        return _worker(worker, document)
    except _PARSE_ERRORS as error:
        raise DocumentError(f'entry of {worker}: {error!r}') from error


def read_job(
    job: str,
    policy: QueuePolicy,
    content: bytes,
    customer: CustomerId | None = None,
) -> JobGraph:
    """Parse a job of a customer; `job` must have 16 lower-case hex digits."""
    if not _JOB_ID.fullmatch(job):
        raise DocumentError(f'{job!r} is not a job id of 16 hex digits')
    document = _decode_object(content)
    try:
        return JobGraph(
            JobId(job),
            policy.queue,
            policy.pool,
            _payload(document.get('spec', '')),
            _steps(document['phases']),
            _schedule(document),
            replace(policy, host='', prefix='', timeout_ms=0),
            customer,
        )
    except _PARSE_ERRORS as error:
        raise DocumentError(f'job {job}: {error!r}') from error


def _decode_object(content: bytes) -> dict[str, Any]:
    try:
        document = json.loads(content)
    except (ValueError, RecursionError) as error:
        raise DocumentError(f'not JSON: {error}') from error
    if not isinstance(document, dict):
        raise DocumentError('not a JSON object')
    return document


def _config(document: dict[str, Any]) -> GraphConfig:
    queues = [_queue(row) for row in document['routes']]
    pools = [_pool(row) for row in document['services']]
    limits = document.get('limits', {})
    defaults = RequestLimits()
    return GraphConfig(
        Generation(int(document['version'])),
        {policy.queue: policy for policy in queues},
        {policy.pool: policy for policy in pools},
        RequestLimits(
            limits.get('max_header_bytes', defaults.header_max_bytes),
            limits.get('max_body_bytes', defaults.body_max_bytes),
            limits.get('header_timeout_ms', defaults.header_timeout_ms),
            limits.get('idle_timeout_ms', defaults.idle_timeout_ms),
        ),
        CustomerContracts(
            _contract(row) for row in document.get('tenants', ())
        ),
    )


def _queue(row: dict[str, Any]) -> QueuePolicy:
    advice = row.get('advice')
    return QueuePolicy(
        QueueId(row['name']),
        row['host'],
        row['prefix'],
        PoolId(row['service']),
        int(row.get('timeout_ms') or _QUEUE_TIMEOUT_DEFAULT_MS),
        int(row.get('priority', 0)),
        int(row.get('max_attempts', 1)),
        float(row.get('slack_factor', 1)),
        int(row.get('target_runtime_ms', 0)),
        advice
        and AdvicePolicy(
            float(advice['decision_ms']),
            float(advice['interval_ms']),
            int(advice['validity_ms']),
        ),
        bool(row.get('public', False)),
    )


def _contract(row: dict[str, Any]) -> CustomerContract:
    ceiling = row.get('max_count', {})
    weight = float(row.get('weight') or 1)
    if not 0 < weight <= _AMOUNT_MAX:
        raise ValueError(f'weight {weight} is not a positive number')
    return CustomerContract(
        CustomerId(_text(row['name'])),
        tuple(digest_key(_key(key)) for key in row.get('api_keys', ())),
        weight,
        Resources(
            _amount(ceiling.get('cpu', 0)),
            _amount(ceiling.get('mem_mb', 0)),
            _amount(ceiling.get('gpu', 0)),
        ),
    )


def _pool(row: dict[str, Any]) -> PoolPolicy:
    return PoolPolicy(
        PoolId(row['name']),
        bool(row.get('rejects_overload', False)),
        bool(row.get('standby', False)),
    )


def _worker(worker: WorkerId, document: dict[str, Any]) -> WorkerEntry:
    capacity = document['capacity']
    return WorkerEntry(
        worker,
        PoolId(_text(document['service'])),
        _text(document['addr']),
        FailureDomain(_text(document['zone'])),
        Resources(
            _whole_number(capacity['cpu']),
            _whole_number(capacity['mem_mb']),
            _whole_number(capacity['gpu']),
        ),
        tuple(Label(_text(label)) for label in document['labels']),
        _LISTING_BY_STATE[document['state']],
        BornMs(_whole_number(document.get('born', 0))),
        document.get('drain_left_ms'),
    )


def _text(content: object) -> str:
    if not isinstance(content, str):
        raise TypeError(f'{content!r} is not a string')
    return content


def _key(content: object) -> str:
    """Return a key; the text of the error does not contain it."""
    if not isinstance(content, str):
        raise TypeError('a key is not a string')
    try:
        content.encode()
    except UnicodeEncodeError:
        raise ValueError('a key is not valid Unicode') from None
    return content


def _whole_number(content: object) -> int:
    if not isinstance(content, int) or isinstance(content, bool):
        raise TypeError(f'{content!r} is not a whole number')
    return content


def _amount(content: object) -> int:
    """Return a whole number that the owner can add up."""
    amount = _whole_number(content)
    if not 0 <= amount <= _AMOUNT_MAX:
        raise ValueError(f'{amount} is not between 0 and {_AMOUNT_MAX}')
    return amount


def _label(content: object) -> Label | None:
    return Label(_text(content)) if content else None


def _payload(payload: object) -> str:
    text = _text(payload)
    if len(text.encode()) > _PAYLOAD_MAX_BYTES:
        raise ValueError(f'spec has over {_PAYLOAD_MAX_BYTES} bytes')
    return text


def _steps(rows: list[dict[str, Any]]) -> tuple[Step, ...]:
    if not rows:
        raise ValueError('a job has no steps')
    steps = tuple(_step(row) for row in rows)
    if sum(step.tasks_count for step in steps) > _TASKS_MAX_COUNT:
        raise ValueError(f'a job has over {_TASKS_MAX_COUNT} tasks')
    for position, step in enumerate(steps):
        if any(not 0 <= dependency < position for dependency in step.after):
            raise ValueError(
                f'step {position} may depend on earlier steps only'
            )
    return steps


def _step(row: dict[str, Any]) -> Step:
    count = _whole_number(row.get('count', 1))
    if count < 1:
        raise ValueError('a step has no tasks')
    return Step(
        count,
        Resources(
            _amount(row.get('cpu', 0)),
            _amount(row.get('mem_mb', 0)),
            _amount(row.get('gpu', 0)),
        ),
        estimate_ms=_amount(int(row.get('est_runtime_ms', 0))),
        after=tuple(_whole_number(number) for number in row.get('after', ())),
        is_checkpointing=bool(row.get('checkpointing')),
        is_gang=bool(row.get('gang')),
        is_rack_sensitive=bool(row.get('rack_sensitive')),
        is_speculative=bool(row.get('speculative')),
        is_lasting=bool(row.get('long_running')),
        is_filler=bool(row.get('fills')),
        required_label=_label(row.get('required_label')),
        data_rack=_label(row.get('data_rack')),
        per_worker_max=_amount(row.get('max_per_server') or 0) or None,
        image=ImageId(_text(row['image'])) if row.get('image') else None,
        target_tail_ms=_amount(int(row.get('target_ms') or 0)) or None,
        disruptions_max=_amount(row.get('max_disruptions') or 0) or None,
    )


def _schedule(document: dict[str, Any]) -> Schedule | None:
    count = int(document.get('repeat_count', 0))
    if count <= 0:
        return None
    return Schedule(
        int(document['start_at_ms']),
        _amount(int(document.get('period_ms', 0))),
        count,
    )
