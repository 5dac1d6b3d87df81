"""Whether a new owner has to wait for the previous owner."""

import asyncio

import pytest
from returns.result import Failure, Result, Success

from fuchsiarill.actor import Mailbox
from fuchsiarill.clock import now_ms, run_paused, sleep_ms
from fuchsiarill.graphs import keys, records
from fuchsiarill.graphs.pool_loading import PoolLoader
from fuchsiarill.graphs.prefix_watch import (
    PrefixListed,
    PrefixWatcher,
    PrefixWatchSettings,
)
from fuchsiarill.ids import JobId, ProcessId, StoreKey, StoreLeaseId
from fuchsiarill.ports.key_value import KvFailure, KvPage, KvWrite
from standins.store_model import StoreModel, StorePath
from tests.graph_cell import POOL

_TTL_MS = 1900
_TIMEOUT_MS = 500
_LIST_MS = 400
# Two calls of the store, each of which takes 10 ms.
_CHECK_MAX_MS = 100


class _ConfirmingStore(StorePath):
    """A path on which the end of a lease that does not exist succeeds."""

    async def end_lease(
        self, lease: StoreLeaseId, timeout_ms: int
    ) -> Result[StoreLeaseId, KvFailure]:
        """End a lease and confirm it."""
        await super().end_lease(lease, timeout_ms)
        return Success(lease)


class _SlowLists(StorePath):
    """A path on which a page of a list takes a fixed time."""

    def __init__(self, model: StoreModel, duration_ms: int = _LIST_MS) -> None:
        super().__init__(model)
        self._duration_ms = duration_ms

    async def list_prefix(
        self, prefix: str, after: StoreKey | None, timeout_ms: int
    ) -> Result[KvPage, KvFailure]:
        """Return a page after a delay, or time out."""
        await sleep_ms(min(self._duration_ms, timeout_ms))
        if self._duration_ms > timeout_ms:
            return Failure(KvFailure.UNKNOWN)
        return await super().list_prefix(prefix, after, timeout_ms)


@pytest.mark.parametrize(
    ('previous', 'waited_ms', 'is_inactive'),
    [
        ('other', 0, False),
        ('other', _TTL_MS + 1, True),
        ('own', 0, True),
        (None, 0, True),
    ],
)
def test_previous_owner(
    previous: str | None,
    waited_ms: int,
    is_inactive: bool,
) -> None:
    """Guards against a takeover while the previous owner still sends orders.

    The key of an owner may be deleted while its lease, and so its right to
    send orders, is still valid. Guards also against a wait for an owner whose
    lease has expired: the store confirms the end of any lease.
    """

    async def main() -> bool:
        path = _ConfirmingStore(StoreModel())
        lease_result = await path.grant_lease(_TTL_MS, _TIMEOUT_MS)
        owner = None
        if previous is not None:
            owner = records.OwnerRecord(
                ProcessId(previous),
                'x',
                lease_result.unwrap(),
            )
        fleet = records.FleetRecord(3, (), owner)
        path.model.write(
            KvWrite(keys.fleet_key(POOL), records.encode_fleet(fleet)),
        )
        await sleep_ms(waited_ms)
        started_ms = now_ms()
        loader = PoolLoader(path, POOL, ProcessId('own'), _TIMEOUT_MS, _TTL_MS)
        loaded = await loader.load()
        assert loaded.fleet == fleet
        stop_ms = loaded.previous_owner_stop_ms
        if is_inactive:
            return started_ms <= stop_ms <= now_ms()
        return started_ms + _TTL_MS <= stop_ms <= now_ms() + _TTL_MS

    assert run_paused(main())


def test_slow_reads_do_not_extend_the_wait_for_the_previous_owner() -> None:
    """Guards against a wait for task leases that begins only after the load.

    Inherited tasks without a run wait until the task leases of the previous
    owner have expired. While the store lost answers, loads took over a second,
    by which the tasks then started later.
    """

    async def main() -> None:
        path = _SlowLists(StoreModel())
        lease_result = await path.grant_lease(_TTL_MS, _TIMEOUT_MS)
        owner = records.OwnerRecord(
            ProcessId('other'), 'x', lease_result.unwrap()
        )
        fleet = records.FleetRecord(3, (), owner)
        path.model.write(
            KvWrite(keys.fleet_key(POOL), records.encode_fleet(fleet)),
        )
        await sleep_ms(_TTL_MS + 1)
        started_ms = now_ms()
        loader = PoolLoader(path, POOL, ProcessId('own'), _TIMEOUT_MS, _TTL_MS)
        loaded = await loader.load()
        assert now_ms() >= started_ms + _LIST_MS
        assert loaded.previous_owner_stop_ms <= started_ms + _CHECK_MAX_MS

    run_paused(main())


def test_page_that_takes_longer_than_a_call_is_read() -> None:
    """Guards against an owner that never loads its pool.

    A page of a list may take longer than the usual time-out of a store call on
    a machine with a slow link.
    """

    async def main() -> None:
        path = _SlowLists(StoreModel(), 3 * _TIMEOUT_MS)
        path.model.write(KvWrite(keys.graph_key(POOL, JobId('a')), b'{}'))
        loader = PoolLoader(path, POOL, ProcessId('own'), _TIMEOUT_MS, _TTL_MS)
        async with asyncio.timeout(60):
            loaded = await loader.load()
        assert len(loaded.jobs) == 1
        settings = PrefixWatchSettings('jobs/', _TIMEOUT_MS, _TIMEOUT_MS)
        receiver = Mailbox()
        watcher = PrefixWatcher(settings, path, receiver)
        watcher.start()
        async with asyncio.timeout(60):
            message = await receiver.receive()
            while not isinstance(message, PrefixListed):
                message = await receiver.receive()
        await watcher.stop()
        assert len(message.items) == 1

    run_paused(main())


def test_records_are_read_at_the_same_time() -> None:
    """Guards against a takeover that takes the sum of all slow reads.

    Inherited jobs get no run, and new ones none either, until the load ends.
    """

    async def main() -> None:
        path = _SlowLists(StoreModel())
        started_ms = now_ms()
        loader = PoolLoader(path, POOL, ProcessId('own'), _TIMEOUT_MS, _TTL_MS)
        await loader.load()
        assert now_ms() - started_ms <= _LIST_MS + _CHECK_MAX_MS

    run_paused(main())
