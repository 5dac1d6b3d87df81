"""Reads the jobs of a pool and the records of its earlier owners."""

from dataclasses import dataclass

from returns.result import Failure, Result

from fuchsiarill.clock import sleep_ms
from fuchsiarill.graphs import keys, records
from fuchsiarill.graphs.model import PoolId
from fuchsiarill.graphs.owner_messages import PoolRecords
from fuchsiarill.graphs.prefix_watch import list_all
from fuchsiarill.ids import ProcessId, Revision, StoreKey, StoreLeaseId
from fuchsiarill.ports.key_value import KeyValuePort, KvFailure, KvItem

_RETRY_DELAY_MS = 100


@dataclass(frozen=True, slots=True)
class PoolLoader:
    """Reads the records of a pool for its new owner."""

    store: KeyValuePort
    pool: PoolId
    process: ProcessId
    timeout_ms: int

    async def load(self) -> PoolRecords:
        """Read all records; retries until every read succeeds."""
        while True:
            loaded = await self._try_load()
            if loaded is not None:
                return loaded
            await sleep_ms(_RETRY_DELAY_MS)

    async def _try_load(self) -> PoolRecords | None:
        fleet = await self._get_item(keys.fleet_key(self.pool))
        pending = await self._get_item(keys.pending_key(self.pool))
        jobs = await self._list_items(keys.jobs_prefix(self.pool))
        progress = await self._list_items(keys.progress_prefix(self.pool))
        reads = (fleet, pending, jobs, progress)
        if any(isinstance(read, Failure) for read in reads):
            return None
        fleet_record = _decode_fleet_record(fleet.unwrap())
        is_previous_owner_inactive = await self._is_previous_owner_inactive(
            fleet_record.owner
        )
        if is_previous_owner_inactive is None:
            return None
        progress_items = progress.unwrap()[0]
        items = (fleet.unwrap(), pending.unwrap(), *progress_items)
        return PoolRecords(
            fleet_record,
            *jobs.unwrap(),
            progress_items,
            {item.key: item.revision for item in items},
            is_previous_owner_inactive,
        )

    async def _is_previous_owner_inactive(
        self,
        previous_owner: records.OwnerRecord | None,
    ) -> bool | None:
        """Return whether the previous owner can send no more orders.

        This process sends no more orders of an earlier term, whose incarnation
        has ended or whose guard is revoked. Another process stops sending
        orders before its lease expires. That process may still send orders if
        its lease exists, since it may not have noticed that its owner key was
        deleted. This call ends such a lease, and so finds out whether the lease
        existed. An earlier call that ended the lease, but whose answer was
        lost, makes the lease look expired. Returns `None` if the call fails.
        """
        if previous_owner is None or previous_owner.process == self.process:
            return True
        end_result = await self.store.end_lease(
            StoreLeaseId(previous_owner.lease),
            self.timeout_ms,
        )
        if end_result == Failure(KvFailure.LEASE_GONE):
            return True
        return None if isinstance(end_result, Failure) else False

    async def _get_item(self, key: StoreKey) -> Result[KvItem, KvFailure]:
        return await self.store.get(key, self.timeout_ms)

    async def _list_items(
        self,
        prefix: str,
    ) -> Result[tuple[tuple[KvItem, ...], Revision], KvFailure]:
        return await list_all(self.store, prefix, self.timeout_ms)


def _decode_fleet_record(item: KvItem) -> records.FleetRecord:
    if item.value is None:
        return records.FleetRecord()
    return records.decode_fleet(item.value)
