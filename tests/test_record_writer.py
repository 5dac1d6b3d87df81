"""Writes of the records of an owner while the store is slow."""

from typing import Final

from returns.result import Result

from fuchsiarill.actor import Mailbox
from fuchsiarill.clock import now_ms, run_paused, sleep_ms
from fuchsiarill.graphs import keys
from fuchsiarill.graphs.owner_messages import (
    OwnershipLost,
    RecordsSaved,
    SaveRecords,
)
from fuchsiarill.graphs.record_writer import RecordWriter
from fuchsiarill.ids import JobId, StoreKey
from fuchsiarill.ports.key_value import (
    KvCommitted,
    KvConflict,
    KvFailure,
    KvTransaction,
    KvWrite,
)
from standins.store_model import PathFault, StoreModel, StorePath
from tests.graph_cell import POOL

_COMMIT_MS: Final = 300
_TIMEOUT_MS: Final = 700
_JOBS_COUNT: Final = 150


class _SlowCommits(StorePath):
    """A path on which transactions take long, and may lose their answers."""

    def __init__(self) -> None:
        super().__init__(StoreModel())
        self.lost_answers_count = 0

    async def commit(
        self, transaction: KvTransaction, timeout_ms: int
    ) -> Result[KvCommitted | KvConflict, KvFailure]:
        """Commit after a delay."""
        self.fault = PathFault.NONE
        if self.lost_answers_count:
            self.lost_answers_count -= 1
            self.fault = PathFault.ANSWER_LOST
        await sleep_ms(_COMMIT_MS)
        return await super().commit(transaction, timeout_ms)


def _start_writer(path: _SlowCommits, owner: Mailbox) -> RecordWriter:
    fence_key = keys.owner_key(POOL)
    path.model.write(KvWrite(fence_key, b'own'))
    fence_revision = path.model.items[fence_key].revision
    writer = RecordWriter(path, (fence_key, fence_revision), _TIMEOUT_MS, owner)
    writer.start()
    return writer


def _progress_records() -> dict[StoreKey, bytes]:
    return {
        keys.progress_key(POOL, JobId(f'job-{number}')): b'{}'
        for number in range(_JOBS_COUNT)
    }


async def _save(path: _SlowCommits) -> int:
    """Save the progress of many jobs; return how long it took."""
    owner = Mailbox()
    writer = _start_writer(path, owner)
    records = _progress_records()
    started_ms = now_ms()
    writer.mailbox.send(SaveRecords(records))
    assert isinstance(await owner.receive(), RecordsSaved)
    took_ms = now_ms() - started_ms
    await writer.stop()
    assert records.keys() <= path.model.items.keys()
    return took_ms


def test_slow_store_delays_no_progress_for_seconds() -> None:
    """Guards against ends of runs and new workers that wait for a slow store.

    Workers get no start until the fleet record lists them, and that record is
    written after the progress of all jobs that changed before.
    """

    async def main() -> None:
        assert await _save(_SlowCommits()) <= 1000

    run_paused(main())


def test_lost_answers_lose_no_record() -> None:
    """Guards against a batch that is taken as written when another one is."""

    async def main() -> None:
        path = _SlowCommits()
        path.lost_answers_count = 3
        await _save(path)

    run_paused(main())


def test_lost_ownership_is_reported_once() -> None:
    """Guards against a second report, which could end a later term."""

    async def main() -> None:
        path = _SlowCommits()
        owner = Mailbox()
        writer = _start_writer(path, owner)
        path.model.write(KvWrite(keys.owner_key(POOL), b'other'))
        writer.mailbox.send(SaveRecords(_progress_records()))
        assert isinstance(await owner.receive(), OwnershipLost)
        await sleep_ms(10 * _COMMIT_MS)
        assert not len(owner)
        await writer.stop()

    run_paused(main())
