"""The actor that campaigns for the ownership of one partition.

It holds the store lease while its process owns the partition, and steps the
partition chart; the chart's actions are registered below.
"""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Final

from pydantic import BaseModel
from returns.result import Failure, Success

from fuchsiarill import events
from fuchsiarill.actor import Actor, Mailbox, handles
from fuchsiarill.cell_config import CellConfig
from fuchsiarill.clock import now_ms
from fuchsiarill.core.partition import PartitionCore
from fuchsiarill.ids import (
    NO_EPOCH,
    Epoch,
    PartitionId,
    ProcessId,
    StoreLeaseId,
)
from fuchsiarill.owner.host_poll import HostPoll
from fuchsiarill.owner.journal import (
    JournalActor,
    JournalEntry,
    read_journal,
    write_entry,
)
from fuchsiarill.owner.keys import owner_key
from fuchsiarill.owner.messages import OwnershipDeadline, Tick
from fuchsiarill.owner.owner_actor import OwnerActor
from fuchsiarill.ports.host_list import HostListPort
from fuchsiarill.ports.store import StorePort, Swap, SwapOutcome, Versioned
from fuchsiarill.ports.workers import WorkerPort
from fuchsiarill.records import EpochOpened
from fuchsiarill.registry import Registry
from fuchsiarill.settings import ProcessSettings
from fuchsiarill.state_chart import load_chart
from fuchsiarill.states import PartitionEvent, PartitionState

_DECIDE_INTERVAL_MS: Final = 100


class OwnerClaim(BaseModel):
    """Value of the owner key: who owns the partition and where it listens."""

    process: ProcessId
    peer_address: str


@dataclass(frozen=True, slots=True)
class OwnerFound:
    """Tells the router where a partition's owner is.

    `mailbox` is set when the owner is in this process.
    """

    partition: PartitionId
    claim: OwnerClaim | None
    mailbox: Mailbox | None


@dataclass(frozen=True, slots=True)
class Ports:
    """The outside systems of one process."""

    store: StorePort
    host_list: HostListPort
    workers: WorkerPort


class Campaign(Actor):
    """Acquires, keeps and gives up the ownership of one partition."""

    def __init__(
        self,
        settings: ProcessSettings,
        partition: PartitionId,
        config: CellConfig,
        ports: Ports,
        router: Mailbox,
    ) -> None:
        """Start in standby."""
        super().__init__(f'campaign {partition}')
        self.settings = settings
        self.partition = partition
        self.config = config
        self.ports = ports
        self.router = router
        self.state = PARTITION_CHART.initial
        self.lease_id: StoreLeaseId | None = None
        self.deadline_ms = 0
        self.owner: OwnerActor | None = None
        self.host_poll: HostPoll | None = None

    @property
    def claim(self) -> OwnerClaim:
        """Return the claim that this process writes."""
        peers = self.settings.peers
        return OwnerClaim(
            process=self.settings.process,
            peer_address=f'{peers.host}:{peers.port}',
        )

    @handles(Tick)
    async def on_tick(self, message: Tick) -> None:
        """Renew what is owned; look whether the partition is vacant."""
        if self.owner is not None:
            await self.renew()
            return
        found = await self.ports.store.get(owner_key(self.partition))
        match found:
            case Success(current) if current.value is None:
                await self.step(PartitionEvent.VACANT)
            case Success(current):
                self._announce(current)

    async def step(self, event: PartitionEvent) -> None:
        """Apply an event of the chart and run its actions."""
        transition = PARTITION_CHART.step(self.state, event)
        if transition is None:
            return
        self.state = transition.target
        for action in transition.actions:
            await CAMPAIGN_ACTIONS.lookup(action)(self)

    async def renew(self) -> None:
        """Extend the store lease and the deadline that follows from it."""
        if self.lease_id is None:
            return
        asked_at_ms = now_ms()
        renewed = await self.ports.store.renew_lease(self.lease_id)
        match renewed:
            case Success(_):
                self.set_deadline(asked_at_ms)
                await self.step(PartitionEvent.RENEWED)
            case Failure(_) if now_ms() >= self.deadline_ms:
                await self.step(PartitionEvent.DEADLINE_PASSED)

    def set_deadline(self, asked_at_ms: int) -> None:
        """Derive the deadline from the time a renewal was asked for."""
        store = self.settings.store
        held_ms = store.owner_lease_ms - store.owner_margin_ms
        self.deadline_ms = asked_at_ms + held_ms
        if self.owner is not None:
            self.owner.mailbox.send(OwnershipDeadline(self.deadline_ms))

    def _announce(self, current: Versioned) -> None:
        claim = OwnerClaim.model_validate_json(current.value or '')
        self.router.send(OwnerFound(self.partition, claim, mailbox=None))


CampaignAction = Callable[[Campaign], Awaitable[None]]

CAMPAIGN_ACTIONS: Final[Registry[str, CampaignAction]] = Registry(
    'campaign actions',
)


@CAMPAIGN_ACTIONS.register('acquire')
async def _acquire(campaign: Campaign) -> None:
    asked_at_ms = now_ms()
    store = campaign.ports.store
    granted = await store.grant_lease(campaign.settings.store.owner_lease_ms)
    if not isinstance(granted, Success):
        await campaign.step(PartitionEvent.NOT_ACQUIRED)
        return
    campaign.lease_id = granted.unwrap()
    written = await store.swap(
        Swap(
            key=owner_key(campaign.partition),
            value=campaign.claim.model_dump_json(),
            lease_id=campaign.lease_id,
        ),
    )
    if written.outcome is not SwapOutcome.SWAPPED:
        await store.revoke_lease(campaign.lease_id)
        await campaign.step(PartitionEvent.NOT_ACQUIRED)
        return
    campaign.set_deadline(asked_at_ms)
    await campaign.step(PartitionEvent.ACQUIRED)


@CAMPAIGN_ACTIONS.register('replay')
async def _replay(campaign: Campaign) -> None:
    journal = await read_journal(campaign.ports.store, campaign.partition)
    match journal:
        case Success(entries):
            await _open_epoch(campaign, entries)
        case Failure(_):
            await campaign.step(PartitionEvent.DEPOSED)


async def _open_epoch(
    campaign: Campaign,
    entries: tuple[JournalEntry, ...],
) -> None:
    epoch = Epoch(_last_epoch(entries) + 1)
    opened = await write_entry(
        campaign.ports.store,
        campaign.partition,
        len(entries) + 1,
        (EpochOpened(epoch, campaign.settings.process),),
    )
    if not opened:
        await campaign.step(PartitionEvent.DEPOSED)
        return
    campaign.owner = OwnerActor(
        PartitionCore(campaign.partition, epoch, campaign.config),
        JournalActor(
            campaign.ports.store,
            campaign.partition,
            len(entries) + 2,
            campaign.settings.store.commit_interval_ms,
        ),
        campaign.ports.workers,
        campaign.deadline_ms,
    )
    await campaign.step(PartitionEvent.REPLAYED)


@CAMPAIGN_ACTIONS.register('serve')
async def _serve(campaign: Campaign) -> None:
    owner = campaign.owner
    if owner is None:
        return
    owner.journal.start()
    owner.start()
    owner.tick_every(_DECIDE_INTERVAL_MS, Tick())
    campaign.host_poll = HostPoll(
        campaign.settings.host_list,
        campaign.ports.host_list,
        owner.mailbox,
    )
    campaign.host_poll.start()
    events.emit(
        events.OWNERSHIP_ACQUIRED,
        partition=campaign.partition,
        epoch=owner.core.state.epoch,
    )
    campaign.router.send(
        OwnerFound(campaign.partition, campaign.claim, owner.mailbox),
    )


@CAMPAIGN_ACTIONS.register('step_down')
async def _step_down(campaign: Campaign) -> None:
    campaign.router.send(OwnerFound(campaign.partition, None, mailbox=None))
    events.emit(
        events.OWNERSHIP_LOST,
        partition=campaign.partition,
        reason='deposed',
    )
    if campaign.host_poll is not None:
        await campaign.host_poll.stop()
    if campaign.owner is not None:
        await campaign.owner.stop()
        await campaign.owner.journal.stop()
        campaign.owner = None


@CAMPAIGN_ACTIONS.register('restrict')
async def _restrict(campaign: Campaign) -> None:
    """Needs no step: every start carries the deadline that has passed."""


@CAMPAIGN_ACTIONS.register('unrestrict')
async def _unrestrict(campaign: Campaign) -> None:
    """Needs no step: the next starts carry the new deadline."""


@CAMPAIGN_ACTIONS.register('hand_over')
async def _hand_over(campaign: Campaign) -> None:
    if campaign.lease_id is not None:
        await campaign.ports.store.revoke_lease(campaign.lease_id)
    await campaign.step(PartitionEvent.RELEASED)


PARTITION_CHART: Final = load_chart(
    'partition',
    PartitionState,
    PartitionEvent,
    CAMPAIGN_ACTIONS,
)


def _last_epoch(entries: tuple[JournalEntry, ...]) -> Epoch:
    latest = NO_EPOCH
    for entry in entries:
        for record in entry.records:
            if isinstance(record, EpochOpened):
                latest = max(latest, record.epoch)
    return latest
