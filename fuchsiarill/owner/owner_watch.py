"""Watches the owner key of a partition that this process does not own."""

from collections.abc import Mapping

from returns.result import Success

from fuchsiarill.actor import Actor, Mailbox, handles
from fuchsiarill.clock import sleep_ms
from fuchsiarill.ids import ABSENT, PartitionId, ProcessId, Revision
from fuchsiarill.owner.campaign_messages import CandidatesUpdated, OwnerKeyRead
from fuchsiarill.owner.election_delay import watch_wait_ms
from fuchsiarill.owner.keys import owner_key
from fuchsiarill.owner.messages import Tick
from fuchsiarill.owner.store_calls import backoff_ms
from fuchsiarill.ports.store import StorePort


class OwnerWatch(Actor):
    """Reports the owner key to the campaign after each read or watch."""

    def __init__(
        self,
        store: StorePort,
        partition: PartitionId,
        process: ProcessId,
        campaign: Mailbox,
    ) -> None:
        """Watch on behalf of `campaign`."""
        super().__init__(f'owner watch {partition}')
        self._store = store
        self._partition = partition
        self._process = process
        self._campaign = campaign
        self._loads: Mapping[ProcessId, int] = {}
        self._revision: Revision | None = None
        self._failures_count = 0

    def start(self) -> None:
        """Run the actor and read the key."""
        super().start()
        self.mailbox.send(Tick())

    @handles(CandidatesUpdated)
    async def on_candidates(self, message: CandidatesUpdated) -> None:
        """Store the loads; the rank of this process sets the watch length."""
        self._loads = message.loads

    @handles(Tick)
    async def on_tick(self, message: Tick) -> None:
        """Read or watch the key once and trigger the next call."""
        key = owner_key(self._partition)
        if self._revision is None:
            read_result = await self._store.get(key)
        else:
            wait_ms = watch_wait_ms(self._partition, self._process, self._loads)
            read_result = await self._store.watch(key, self._revision, wait_ms)
        if isinstance(read_result, Success):
            owner_value = read_result.unwrap()
            self._failures_count = 0
            self._revision = owner_value.revision
            self._campaign.send(OwnerKeyRead(owner_value))
        else:
            # The key may have changed during the failure, so it is read again.
            # If it was absent, the watch is repeated instead; it returns at
            # once if the key exists by then.
            self._revision = ABSENT if self._revision == ABSENT else None
            await sleep_ms(backoff_ms(key, self._failures_count))
            self._failures_count += 1
        self.mailbox.send(Tick())
