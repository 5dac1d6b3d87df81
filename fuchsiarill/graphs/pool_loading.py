"""Reads the jobs of a pool and the records of its earlier owners."""

from dataclasses import dataclass

from returns.result import Failure, Result, Success

from fuchsiarill.clock import now_ms, sleep_ms
from fuchsiarill.graphs import keys, records
from fuchsiarill.graphs.model import PoolId
from fuchsiarill.graphs.owner_messages import PoolRecords
from fuchsiarill.graphs.prefix_watch import list_all, list_timeout_ms
from fuchsiarill.ids import ProcessId, StoreKey, StoreLeaseId
from fuchsiarill.ports.key_value import KeyValuePort, KvFailure, KvItem

_RETRY_DELAY_MS = 100


@dataclass(frozen=True, slots=True)
class PoolLoader:
    """Reads the records of a pool for its new owner.

    `ownership_ttl_ms` is the time to live of the lease of an owner.
    """

    store: KeyValuePort
    pool: PoolId
    process: ProcessId
    timeout_ms: int
    ownership_ttl_ms: int

    async def load(self) -> PoolRecords:
        """Read all records; retries until every read succeeds.

        The previous owner is examined before the jobs are read, since the wait
        for its task leases counts from then on.
        """
        fleet = await self._read_fleet()
        fleet_record = _decode_fleet_record(fleet)
        stop_ms = await self._find_previous_owner_stop(fleet_record.owner)
        failures_count = 0
        while True:
            timeout_ms = list_timeout_ms(self.timeout_ms, failures_count)
            loaded = await self._try_load(
                fleet, fleet_record, stop_ms, timeout_ms
            )
            if loaded is not None:
                return loaded
            failures_count += 1
            await sleep_ms(_RETRY_DELAY_MS)

    async def _try_load(
        self,
        fleet: KvItem,
        fleet_record: records.FleetRecord,
        previous_owner_stop_ms: int,
        timeout_ms: int,
    ) -> PoolRecords | None:
        pending = await self._get_item(keys.pending_key(self.pool))
        jobs = await list_all(
            self.store, keys.jobs_prefix(self.pool), timeout_ms
        )
        progress = await list_all(
            self.store, keys.progress_prefix(self.pool), timeout_ms
        )
        if any(isinstance(read, Failure) for read in (pending, jobs, progress)):
            return None
        progress_items = progress.unwrap()[0]
        items = (fleet, pending.unwrap(), *progress_items)
        return PoolRecords(
            fleet_record,
            *jobs.unwrap(),
            progress_items,
            {item.key: item.revision for item in items},
            previous_owner_stop_ms,
        )

    async def _read_fleet(self) -> KvItem:
        while True:
            match await self._get_item(keys.fleet_key(self.pool)):
                case Success(KvItem() as item):
                    return item
            await sleep_ms(_RETRY_DELAY_MS)

    async def _find_previous_owner_stop(
        self,
        previous_owner: records.OwnerRecord | None,
    ) -> int:
        """Return a time after which the previous owner sends no orders.

        This process sends no more orders of an earlier term, whose incarnation
        has ended or whose guard is revoked. Another process stops sending
        orders before its lease expires. That process may still send orders if
        its lease exists, since it may not have noticed that its owner key was
        deleted; such a lease is ended. Whether the lease exists is found out by
        a renewal: the store may confirm the end of a lease that has expired.
        """
        if previous_owner is None or previous_owner.process == self.process:
            return now_ms()
        lease = StoreLeaseId(previous_owner.lease)
        if not await self._does_lease_exist(lease):
            return now_ms()
        while True:
            end_result = await self.store.end_lease(lease, self.timeout_ms)
            is_gone = end_result == Failure(KvFailure.LEASE_GONE)
            if is_gone or isinstance(end_result, Success):
                return now_ms() + self.ownership_ttl_ms
            await sleep_ms(_RETRY_DELAY_MS)

    async def _does_lease_exist(self, lease: StoreLeaseId) -> bool:
        """Renew a lease; retries until a call succeeds."""
        while True:
            renewal_result = await self.store.renew_lease(
                lease, self.timeout_ms
            )
            if renewal_result == Failure(KvFailure.LEASE_GONE):
                return False
            if isinstance(renewal_result, Success):
                return True
            await sleep_ms(_RETRY_DELAY_MS)

    async def _get_item(self, key: StoreKey) -> Result[KvItem, KvFailure]:
        return await self.store.get(key, self.timeout_ms)


def _decode_fleet_record(item: KvItem) -> records.FleetRecord:
    if item.value is None:
        return records.FleetRecord()
    return records.decode_fleet(item.value)
