"""JSON encoding of the records in the store, except those of jobs."""

import json
from dataclasses import asdict, dataclass
from typing import Any

from fuchsiarill.graphs.fencing import BORN_UNKNOWN_MS
from fuchsiarill.graphs.model import BornMs, Checkpoint, QueueId
from fuchsiarill.graphs.progress import CrashedRun, JobProgress, UnitKey
from fuchsiarill.graphs.states import JobPhase
from fuchsiarill.ids import ProcessId, WorkerId


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
    # The last incarnation that has reported; 0 before.
    born_ms: BornMs = BORN_UNKNOWN_MS


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
    return encode_json(asdict(record))


def decode_owner(content: bytes) -> OwnerRecord:
    """Decode an owner record."""
    return OwnerRecord(**json.loads(content))


def encode_process(record: ProcessRecord) -> bytes:
    """Return the JSON form of a process record."""
    return encode_json(asdict(record))


def decode_process(content: bytes) -> ProcessRecord:
    """Decode a process record.

    Processes of an earlier version publish only their address.
    """
    if not content.startswith(b'{'):
        return ProcessRecord(content.decode(), is_small=False)
    return ProcessRecord(**json.loads(content))


def encode_fleet(record: FleetRecord) -> bytes:
    """Return the JSON form of a fleet record."""
    rows = [[member.worker, member.address] for member in record.members]
    return encode_json(
        {
            'term': record.term,
            'members': rows,
            'born_ms': {
                member.worker: member.born_ms
                for member in record.members
                if member.born_ms
            },
            'owner': asdict(record.owner) if record.owner else None,
        },
    )


def decode_fleet(content: bytes) -> FleetRecord:
    """Decode a fleet record."""
    document = json.loads(content)
    # A record of an earlier version has no such field.
    born_ms = document.get('born_ms', {})
    members = tuple(
        FleetMember(WorkerId(worker), address, BornMs(born_ms.get(worker, 0)))
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
    return encode_json(counts)


def decode_pending(content: bytes) -> dict[QueueId, int]:
    """Decode the counts of jobs that have not started."""
    counts: dict[QueueId, int] = json.loads(content)
    return counts


def encode_progress(progress: JobProgress) -> bytes:
    """Return the JSON form of a job's progress, without rare empty fields."""
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
    if progress.unanswered_starts:
        document['unanswered'] = [
            [*unit, sorted(workers)]
            for unit, workers in progress.unanswered_starts.items()
        ]
    if progress.unanswered_ms:
        # A version that does not know these rows drops them when it saves the
        # progress. The next owner then waits for the longest time.
        document['unanswered_ms'] = [
            [*unit, executable_ms]
            for unit, executable_ms in progress.unanswered_ms.items()
        ]
    if progress.crashed_attempts:
        document['crashed'] = _encode_attempts(progress.crashed_attempts)
    if progress.crashed_runs:
        # A version that does not know these rows drops them when it saves the
        # progress. The attempts above are complete without them.
        document['crashed_runs'] = [
            [*unit, *run]
            for unit, runs in progress.crashed_runs.items()
            for run in sorted(runs)
        ]
    return encode_json(document)


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
        _decode_crashed_runs(document.get('crashed_runs', [])),
        {
            UnitKey(*row[:3]): {WorkerId(worker) for worker in row[3]}
            for row in document.get('unanswered', [])
        },
        {
            UnitKey(*row[:3]): row[3]
            for row in document.get('unanswered_ms', [])
        },
    )


def _encode_attempts(attempts_of: dict[UnitKey, set[int]]) -> list[Any]:
    return [[*unit, sorted(attempts)] for unit, attempts in attempts_of.items()]


def _decode_attempts(rows: list[Any]) -> dict[UnitKey, set[int]]:
    return {UnitKey(*row[:3]): set(row[3]) for row in rows}


def _decode_crashed_runs(rows: list[Any]) -> dict[UnitKey, set[CrashedRun]]:
    runs_of: dict[UnitKey, set[CrashedRun]] = {}
    for *unit, attempt, position in rows:
        runs = runs_of.setdefault(UnitKey(*unit), set())
        runs.add(CrashedRun(attempt, position))
    return runs_of


def encode_json(document: object) -> bytes:
    """Return the compact JSON form of a document."""
    return json.dumps(document, separators=(',', ':')).encode()
