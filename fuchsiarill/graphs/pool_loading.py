"""Reads the jobs of a pool and the records of its earlier owners."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import NamedTuple, TypeVar

from returns.result import Failure, Result, Success

from fuchsiarill import events, graph_events
from fuchsiarill.clock import now_ms, sleep_ms
from fuchsiarill.graphs import keys, records
from fuchsiarill.graphs.model import PoolId
from fuchsiarill.graphs.owner_messages import PoolRecords
from fuchsiarill.graphs.prefix_watch import list_all, list_timeout_ms
from fuchsiarill.ids import ProcessId, Revision, StoreKey, StoreLeaseId
from fuchsiarill.ports.key_value import KeyValuePort, KvFailure, KvItem

_RETRY_DELAY_MS = 100

_Content = TypeVar('_Content')


class _LoadedFleet(NamedTuple):
    item: KvItem
    record: records.FleetRecord
    # The owner in the record sends no orders after this time.
    previous_owner_stop_ms: int


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
        """Read all records at the same time; retries each until it succeeds.

        An earlier owner can write no record any more, so the reads need no
        order. The wait for its task leases counts from its examination, which
        needs the fleet record only.
        """
        # Without the learned run times decisions are less accurate, so nothing
        # waits for them.
        learned_reading = asyncio.create_task(
            self.store.get(keys.run_times_key(self.pool), self.timeout_ms)
        )
        try:
            return await self._load_beside(learned_reading)
        finally:
            learned_reading.cancel()

    async def _load_beside(
        self, learned_reading: asyncio.Task[Result[KvItem, KvFailure]]
    ) -> PoolRecords:
        async with asyncio.TaskGroup() as group:
            examining = group.create_task(self._examine_previous_owner())
            pending_reading = group.create_task(
                self._read_item(keys.pending_key(self.pool))
            )
            jobs_reading = group.create_task(
                self._read_items(keys.jobs_prefix(self.pool))
            )
            progress_reading = group.create_task(
                self._read_items(keys.progress_prefix(self.pool))
            )
        fleet = examining.result()
        progress_items = progress_reading.result()[0]
        items = [fleet.item, pending_reading.result(), *progress_items]
        run_times = self._run_times_item(learned_reading)
        if run_times is not None:
            items.append(run_times)
        return PoolRecords(
            fleet.record,
            *jobs_reading.result(),
            progress_items,
            {item.key: item.revision for item in items},
            fleet.previous_owner_stop_ms,
            run_times,
        )

    def _run_times_item(
        self, reading: asyncio.Task[Result[KvItem, KvFailure]]
    ) -> KvItem | None:
        problem = 'the store has not answered in time'
        if reading.done():
            read_result = reading.result()
            if isinstance(read_result, Success):
                item: KvItem = read_result.unwrap()
                return item
            problem = read_result.failure().value
        events.emit(
            graph_events.RUN_TIMES_UNUSABLE, pool=self.pool, problem=problem
        )
        return None

    async def _examine_previous_owner(self) -> _LoadedFleet:
        fleet = await self._read_item(keys.fleet_key(self.pool))
        fleet_record = _decode_fleet_record(fleet)
        stop_ms = await self._find_previous_owner_stop(fleet_record.owner)
        return _LoadedFleet(fleet, fleet_record, stop_ms)

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

    async def _read_item(self, key: StoreKey) -> KvItem:
        return await _read_until_success(
            lambda _: self.store.get(key, self.timeout_ms)
        )

    async def _read_items(
        self, prefix: str
    ) -> tuple[tuple[KvItem, ...], Revision]:
        return await _read_until_success(
            lambda failures_count: list_all(
                self.store,
                prefix,
                list_timeout_ms(self.timeout_ms, failures_count),
            )
        )


async def _read_until_success(
    read: Callable[[int], Awaitable[Result[_Content, KvFailure]]],
) -> _Content:
    """Repeat a read, which is given the number of failures so far."""
    failures_count = 0
    while True:
        read_result = await read(failures_count)
        if isinstance(read_result, Success):
            content: _Content = read_result.unwrap()
            return content
        failures_count += 1
        await sleep_ms(_RETRY_DELAY_MS)


def _decode_fleet_record(item: KvItem) -> records.FleetRecord:
    if item.value is None:
        return records.FleetRecord()
    return records.decode_fleet(item.value)
