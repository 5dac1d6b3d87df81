"""The actors that run while a process owns a partition."""

from dataclasses import dataclass
from typing import Any, Final

from fuchsiarill.actor import Mailbox, Reply
from fuchsiarill.cell_config import CellConfig
from fuchsiarill.clock import MS_PER_SECOND, now_ms
from fuchsiarill.core.partition import PartitionCore
from fuchsiarill.ids import Epoch, PartitionId
from fuchsiarill.owner import messages
from fuchsiarill.owner.host_poll import HostPoll
from fuchsiarill.owner.journal import JournalActor
from fuchsiarill.owner.journal_reader import JournalContents
from fuchsiarill.owner.owner_actor import OwnerActor
from fuchsiarill.ports.host_list import HostListPort
from fuchsiarill.ports.store import StorePort
from fuchsiarill.ports.workers import WorkerPort
from fuchsiarill.records import EpochOpened
from fuchsiarill.settings import ProcessSettings

# Limit for the commits of all partitions together. The target for all store
# writes is 150/s; lease renewals and snapshots need the remainder.
_COMMITS_MAX_PER_S: Final = 90
_FINISH_TIMEOUT_MS: Final = 4_000


@dataclass(frozen=True, slots=True)
class Ports:
    """The interfaces of one process to external systems."""

    store: StorePort
    host_list: HostListPort
    workers: WorkerPort


class PartitionService:
    """The owner of one partition with its journal and its host poll."""

    def __init__(
        self,
        settings: ProcessSettings,
        config: CellConfig,
        ports: Ports,
        campaign: Mailbox,
    ) -> None:
        """Store the dependencies; `begin` creates and starts the actors."""
        self._settings = settings
        self._config = config
        self._ports = ports
        self._campaign = campaign

    def begin(
        self,
        partition: PartitionId,
        journal: JournalContents,
        deadline_ms: int,
    ) -> None:
        """Restore the state of the partition and start all actors."""
        # The takeover has appended the record of the new epoch.
        *older_records, epoch_record = journal.records
        epoch = Epoch(0)
        if isinstance(epoch_record, EpochOpened):
            epoch = epoch_record.epoch
        core = PartitionCore(partition, epoch, self._config)
        core.restore(older_records, now_ms())
        self.epoch = epoch
        self.partition = partition
        self.journal = JournalActor(
            self._ports.store,
            partition,
            journal,
            commit_interval_ms(self._settings, self._config),
        )
        self.owner = OwnerActor(
            core,
            self._settings,
            self._ports.workers,
            self.journal.mailbox,
            self._campaign,
        )
        self.journal.owner = self.owner.mailbox
        self.host_poll = HostPoll(
            self._settings.host_list,
            self._ports.host_list,
            self.owner.mailbox,
        )
        self.set_deadline(deadline_ms)
        for actor in (self.journal, self.owner, self.host_poll):
            actor.start()

    def set_deadline(self, deadline_ms: int) -> None:
        """Send the owner the ownership deadline."""
        self.notify_owner(messages.OwnershipDeadline(deadline_ms))

    def notify_owner(self, message: object) -> bool:
        """Send a message to the owner; `False` if its mailbox is full."""
        return self.owner.mailbox.send(message)

    async def finish(self) -> bool:
        """Let the owner finish its work.

        Returns `False` if the owner's mailbox is full or the owner does not
        finish within `_FINISH_TIMEOUT_MS`.
        """
        reply: Reply[bool] = Reply()
        if not self.notify_owner(messages.FinishWork(reply)):
            return False
        try:
            return await reply.wait(_FINISH_TIMEOUT_MS)
        except TimeoutError:
            return False

    async def stop(self) -> None:
        """Stop all actors."""
        await self.host_poll.stop()
        await self.owner.stop()
        await self.journal.stop()

    def fault(self) -> str | None:
        """Return the error that ended an actor, if any."""
        errors = (
            actor.fault()
            for actor in (self.owner, self.journal, self.host_poll)
        )
        return next(filter(None, errors), None)

    def snapshot(self) -> dict[str, Any]:
        """Return the state for a dump."""
        return {
            'owner': self.owner.snapshot(),
            'journal': self.journal.snapshot(),
        }


def commit_interval_ms(settings: ProcessSettings, config: CellConfig) -> int:
    """Return the minimum time between two commits of one partition."""
    partitions_count = sum(region.partitions_count for region in config.regions)
    interval_for_limit_ms = (
        partitions_count * MS_PER_SECOND // _COMMITS_MAX_PER_S
    )
    return max(settings.store.commit_interval_ms, interval_for_limit_ms)
