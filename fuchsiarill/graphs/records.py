"""JSON encoding of the records in the store."""

import json
from collections.abc import Iterable
from dataclasses import asdict, dataclass
from typing import Any, Final

from fuchsiarill.graphs.model import (
    AdvicePolicy,
    Checkpoint,
    JobGraph,
    PoolId,
    QueueId,
    QueuePolicy,
    Schedule,
    Step,
)
from fuchsiarill.graphs.progress import JobProgress, UnitKey
from fuchsiarill.graphs.states import JobPhase
from fuchsiarill.ids import JobId, ProcessId, WorkerId
from fuchsiarill.resources import Resources


@dataclass(frozen=True, slots=True)
class OwnerRecord:
    """Owner of a pool; `incarnation` differs after each process start."""

    process: ProcessId
    incarnation: str
    lease: str


@dataclass(frozen=True, slots=True)
class ProcessRecord:
    """Peer address of a process, and whether its machine is small."""

    address: str
    is_small: bool


@dataclass(frozen=True, slots=True)
class FleetMember:
    """A worker that may run tasks of the pool."""

    worker: WorkerId
    address: str


@dataclass(frozen=True, slots=True)
class FleetRecord:
    """Every worker that may have received a start.

    A new owner needs a report of each member, or waits until the member's
    task leases have expired. `owner` is the owner that wrote the record, and
    `term` is the number of terms so far, including its own.
    """

    term: int = 0
    members: tuple[FleetMember, ...] = ()
    owner: OwnerRecord | None = None


def encode_owner(record: OwnerRecord) -> bytes:
    """Return the JSON form of an owner record."""
    return _encode_json(asdict(record))


def decode_owner(content: bytes) -> OwnerRecord:
    """Decode an owner record."""
    return OwnerRecord(**json.loads(content))


def encode_process(record: ProcessRecord) -> bytes:
    """Return the JSON form of a process record."""
    return _encode_json(asdict(record))


def decode_process(content: bytes) -> ProcessRecord:
    """Decode a process record."""
    return ProcessRecord(**json.loads(content))


def encode_fleet(record: FleetRecord) -> bytes:
    """Return the JSON form of a fleet record."""
    rows = [[member.worker, member.address] for member in record.members]
    return _encode_json(
        {
            'term': record.term,
            'members': rows,
            'owner': asdict(record.owner) if record.owner else None,
        },
    )


def decode_fleet(content: bytes) -> FleetRecord:
    """Decode a fleet record."""
    document = json.loads(content)
    members = tuple(
        FleetMember(WorkerId(worker), address)
        for worker, address in document['members']
    )
    owner = document['owner']
    return FleetRecord(
        document['term'],
        members,
        OwnerRecord(**owner) if owner else None,
    )


def encode_pending(counts: dict[QueueId, int]) -> bytes:
    """Return the JSON form of the counts of jobs that have not started."""
    return _encode_json(counts)


def decode_pending(content: bytes) -> dict[QueueId, int]:
    """Decode the counts of jobs that have not started."""
    counts: dict[QueueId, int] = json.loads(content)
    return counts


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
    return _encode_json(document)


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
    )


def encode_progress(progress: JobProgress) -> bytes:
    """Return the JSON form of a job's progress; crashes are omitted if none."""
    document: dict[str, Any] = {
        'phase': progress.phase.value,
        'started': progress.has_started,
        'succeeded': [list(unit) for unit in sorted(progress.succeeded)],
        'failed': _encode_attempts(progress.failed_attempts),
        'checkpoints': [
            [*unit, checkpoint]
            for unit, checkpoint in progress.checkpoints.items()
        ],
    }
    if progress.crashed_attempts:
        document['crashed'] = _encode_attempts(progress.crashed_attempts)
    return _encode_json(document)


def decode_progress(content: bytes) -> JobProgress:
    """Decode a job's progress."""
    document = json.loads(content)
    return JobProgress(
        JobPhase(document['phase']),
        {UnitKey(*row) for row in document['succeeded']},
        _decode_attempts(document['failed']),
        {
            UnitKey(*row[:3]): Checkpoint(row[3])
            for row in document['checkpoints']
        },
        document['started'],
        _decode_attempts(document.get('crashed', [])),
    )


def _encode_attempts(attempts_of: dict[UnitKey, set[int]]) -> list[Any]:
    return [[*unit, sorted(attempts)] for unit, attempts in attempts_of.items()]


def _decode_attempts(rows: list[Any]) -> dict[UnitKey, set[int]]:
    return {UnitKey(*row[:3]): set(row[3]) for row in rows}


def _encode_json(document: object) -> bytes:
    return json.dumps(document, separators=(',', ':')).encode()


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
