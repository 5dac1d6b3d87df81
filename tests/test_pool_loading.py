"""Whether a new owner has to wait for the previous owner."""

import pytest

from fuchsiarill.clock import run_paused, sleep_ms
from fuchsiarill.graphs import keys, records
from fuchsiarill.graphs.pool_loading import PoolLoader
from fuchsiarill.ids import ProcessId
from fuchsiarill.ports.key_value import KvWrite
from standins.store_model import StoreModel, StorePath
from tests.graph_cell import POOL

_TTL_MS = 1900
_TIMEOUT_MS = 500


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
        loader = PoolLoader(path, POOL, ProcessId('own'), _TIMEOUT_MS)
        loaded = await loader.load()
        assert loaded.fleet == fleet
        return loaded.is_previous_owner_inactive

    assert run_paused(main()) is is_inactive
