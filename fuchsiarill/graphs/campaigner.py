"""A campaign: one attempt of a process to become the owner of a pool."""

from dataclasses import dataclass
from typing import Final

from returns.result import Failure, Success

from fuchsiarill.clock import now_ms, sleep_ms
from fuchsiarill.graphs import keys, records
from fuchsiarill.graphs.model import PoolId
from fuchsiarill.graphs.settings import GraphSettings
from fuchsiarill.ids import ABSENT, Epoch, StoreLeaseId
from fuchsiarill.ports.key_value import (
    KeyValuePort,
    KvCommitted,
    KvConflict,
    KvItem,
    KvTransaction,
    KvWrite,
)

# Pause after a failed store call, before the process may campaign again.
_RETRY_DELAY_MS: Final = 150


@dataclass(frozen=True, slots=True)
class Election:
    """Outcome of a campaign; `epoch` is `None` when it was not won.

    `requested_ms` is the time at which the lease was requested.
    """

    epoch: Epoch | None
    lease: StoreLeaseId | None = None
    requested_ms: int = 0


@dataclass(frozen=True, slots=True)
class Campaigner:
    """Writes the owner key of a pool if the key does not exist."""

    store: KeyValuePort
    settings: GraphSettings
    pool: PoolId
    incarnation: str

    async def run(self) -> Election:
        """Request a lease and write the owner key under it."""
        ownership = self.settings.ownership
        requested_ms = now_ms()
        lease_result = await self.store.grant_lease(
            ownership.lease_ttl_ms,
            self.settings.calls.store_timeout_ms,
        )
        if isinstance(lease_result, Failure):
            await sleep_ms(_RETRY_DELAY_MS)
            return Election(None)
        lease = lease_result.unwrap()
        key = keys.owner_key(self.pool)
        write = KvWrite(
            key, records.encode_owner(self.owner_record(lease)), lease
        )
        commit_result = await self.store.commit(
            KvTransaction(((key, ABSENT),), (write,)),
            self.settings.calls.store_timeout_ms,
        )
        match commit_result:
            case Success(KvCommitted(revision)):
                return Election(Epoch(revision), lease, requested_ms)
            case Success(KvConflict(items)):
                written = _find_written(items, write)
                if written is not None:
                    return Election(
                        Epoch(written.revision), lease, requested_ms
                    )
                await self.end_lease(lease)
                return Election(None)
            case _:
                return await self._read_back(write, lease, requested_ms)

    def owner_record(self, lease: StoreLeaseId | None) -> records.OwnerRecord:
        """Return the owner record of this process under a lease."""
        return records.OwnerRecord(
            self.settings.process,
            self.incarnation,
            lease or '',
        )

    async def end_lease(self, lease: StoreLeaseId) -> None:
        """End a lease; if the call fails, the lease expires by itself."""
        await self.store.end_lease(
            lease,
            self.settings.calls.store_timeout_ms,
        )

    async def _read_back(
        self,
        write: KvWrite,
        lease: StoreLeaseId,
        requested_ms: int,
    ) -> Election:
        """Determine whether a write whose call failed has taken effect."""
        read_result = await self.store.get(
            write.key,
            self.settings.calls.store_timeout_ms,
        )
        if (
            isinstance(read_result, Success)
            and read_result.unwrap().value == write.value
        ):
            return Election(
                Epoch(read_result.unwrap().revision), lease, requested_ms
            )
        # Once the lease has ended, a late write under it can't take effect.
        await self.end_lease(lease)
        await sleep_ms(_RETRY_DELAY_MS)
        return Election(None)


def _find_written(items: tuple[KvItem, ...], write: KvWrite) -> KvItem | None:
    """Return the item that an earlier try of a write has written, if any.

    The store repeats a call through a peer after a lost answer, and a repeated
    write conflicts with the first one.
    """
    for item in items:
        if item.key == write.key and item.value == write.value:
            return item
    return None
