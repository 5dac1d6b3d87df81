"""Whether a new owner has to wait for the previous owner."""

import pytest
from returns.result import Result

from fuchsiarill.clock import now_ms, run_paused, sleep_ms
from fuchsiarill.graphs import keys, records
from fuchsiarill.graphs.pool_loading import PoolLoader
from fuchsiarill.ids import ProcessId, StoreKey
from fuchsiarill.ports.key_value import KvFailure, KvPage, KvWrite
from standins.store_model import StoreModel, StorePath
from tests.graph_cell import POOL

_TTL_MS = 1900
_TIMEOUT_MS = 500
_LIST_MS = 400
# Two calls of the store, each of which takes 10 ms.
_CHECK_MAX_MS = 100


class _SlowLists(StorePath):
    """A path on which lists of items take long."""

    async def list_prefix(
        self, prefix: str, after: StoreKey | None, timeout_ms: int
    ) -> Result[KvPage, KvFailure]:
        """Return a page after a delay."""
        await sleep_ms(_LIST_MS)
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
    send orders, is still valid.
    """

    async def main() -> bool:
        path = StorePath(StoreModel())
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
