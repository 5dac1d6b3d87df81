"""The actor that campaigns for the ownership of one partition.

It steps the partition chart, whose actions are registered below. What takes
long runs in actors of its own: the watch of the owner key, the renewals, the
takeover of the journal and the owner itself.
"""

from collections.abc import Awaitable, Callable
from typing import Any, Final

from returns.result import Success

from fuchsiarill import events
from fuchsiarill.actor import Actor, Mailbox, handles
from fuchsiarill.cell_config import CellConfig
from fuchsiarill.clock import now_ms, sleep_ms
from fuchsiarill.ids import PartitionId
from fuchsiarill.owner import campaign_messages, messages
from fuchsiarill.owner.campaign_state import ElectionTimer, Helpers, Lease
from fuchsiarill.owner.claims import (
    OwnerLocated,
    acquire,
    new_claim,
    parse_claim,
)
from fuchsiarill.owner.election_delay import election_delay_ms
from fuchsiarill.owner.journal_format import JournalFault
from fuchsiarill.owner.keys import owner_key
from fuchsiarill.owner.lease_renewer import LeaseRenewer
from fuchsiarill.owner.owner_watch import OwnerWatch
from fuchsiarill.owner.partition_service import PartitionService, Ports
from fuchsiarill.owner.takeover import Takeover
from fuchsiarill.registry import Registry
from fuchsiarill.settings import ProcessSettings
from fuchsiarill.state_chart import load_chart
from fuchsiarill.states import PartitionEvent, PartitionState

# The clocks of this process and of the store may differ by 1% in rate.
_CLOCK_RATE: Final = 0.99
# After a failed takeover, so that a journal that cannot be read is not tried
# again at once by every process in turn.
_RETRY_TAKEOVER_MS: Final = 2_000
_REFUSED_JOURNAL_RETRY_MS: Final = 30_000
# Several times the latency between failure domains.
_LATE_CALLS_MS: Final = 300
_UNREADABLE: Final = frozenset(
    (JournalFault.CORRUPT, JournalFault.NEWER_FORMAT),
)


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
        self.lease = Lease()
        self.helpers = Helpers()
        self.election = ElectionTimer()
        self.reason = ''

    def start(self) -> None:
        """Run the actor and watch the owner key."""
        super().start()
        self.watch()

    async def stop(self) -> None:
        """Stop at once, without handing over; the lease lapses."""
        self.election.cancel()
        self.lease.cancel()
        await super().stop()
        await self.helpers.end()

    def snapshot(self) -> dict[str, Any]:
        """Return the state for a dump."""
        dump = super().snapshot() | {
            'partition': self.partition,
            'state': self.state.value,
            'deadline_ms': self.lease.deadline_ms,
        }
        if self.helpers.serving is not None:
            dump.update(self.helpers.serving.snapshot())
        return dump

    @handles(messages.Tick)
    async def on_tick(self, message: messages.Tick) -> None:
        """Repeat what was refused; give up what has failed."""
        self.helpers.repeat_config()
        # An acquisition ends within its message, unless it has failed.
        await self.step(PartitionEvent.NOT_ACQUIRED)
        fault = self.helpers.fault()
        if fault is None:
            return
        events.emit(events.OWNER_ACTOR_DIED, actor=self.name, error=fault)
        if self.state is PartitionState.STANDBY:
            await self.helpers.stop()
            self.watch()
            return
        self.reason = f'an actor has failed: {fault}'
        await self.step(PartitionEvent.DEPOSED)

    @handles(campaign_messages.OwnerKeyRead)
    async def on_seen(self, message: campaign_messages.OwnerKeyRead) -> None:
        """Tell the router; plan a claim when the partition is vacant."""
        if self.state is not PartitionState.STANDBY:
            return
        claim = parse_claim(message.found)
        self.router.send(OwnerLocated(self.partition, claim, mailbox=None))
        if message.found.value is not None:
            self.election.cancel()
            return
        if self.election.is_leaving:
            return
        loads = self.election.loads
        process = self.settings.process
        delay_ms = election_delay_ms(self.partition, process, loads)
        self.election.plan(delay_ms, self.mailbox)

    @handles(campaign_messages.CandidatesUpdated)
    async def on_candidates(
        self,
        message: campaign_messages.CandidatesUpdated,
    ) -> None:
        """Note who else may claim the partition."""
        self.election.loads = message.loads
        if self.helpers.watch is not None:
            self.helpers.watch.mailbox.send(message)

    @handles(campaign_messages.ElectionDue)
    async def on_due(self, message: campaign_messages.ElectionDue) -> None:
        """Claim the partition if it is still vacant."""
        if not self.election.is_leaving:
            await self.step(PartitionEvent.VACANT)

    @handles(campaign_messages.LeaseRenewed)
    async def on_renewed(
        self,
        message: campaign_messages.LeaseRenewed,
    ) -> None:
        """Extend the deadline from the time the renewal was asked for."""
        if not self.lease.has(message.token):
            return
        self.set_deadline(message.requested_at_ms)
        await self.step(PartitionEvent.RENEWED)

    @handles(campaign_messages.DeadlinePassed)
    async def on_deadline(
        self,
        message: campaign_messages.DeadlinePassed,
    ) -> None:
        """Stop what needs ownership unless it was extended meanwhile."""
        if now_ms() >= self.lease.deadline_ms:
            self.reason = 'the store lease was not renewed in time'
            await self.step(PartitionEvent.DEADLINE_PASSED)

    @handles(campaign_messages.OwnershipLost)
    async def on_lost(self, message: campaign_messages.OwnershipLost) -> None:
        """Step down; the store has dropped the lease."""
        if self.lease.has(message.token):
            self.reason = 'the store lease lapsed'
            await self.step(PartitionEvent.DEPOSED)

    @handles(messages.Deposed)
    async def on_deposed(self, message: messages.Deposed) -> None:
        """Step down; another process owns the partition."""
        self.reason = message.reason
        await self.step(PartitionEvent.DEPOSED)

    @handles(campaign_messages.TakenOver)
    async def on_taken(self, message: campaign_messages.TakenOver) -> None:
        """Serve the partition."""
        if not self.lease.has(message.token):
            return
        self.helpers.journal = message.journal
        await self.step(PartitionEvent.REPLAYED)

    @handles(campaign_messages.TakeoverFailed)
    async def on_failed(
        self,
        message: campaign_messages.TakeoverFailed,
    ) -> None:
        """Give the partition back; a journal in doubt is left alone."""
        if not self.lease.has(message.token):
            return
        self.election.pause(_RETRY_TAKEOVER_MS)
        if message.fault in _UNREADABLE:
            self.election.pause(_REFUSED_JOURNAL_RETRY_MS)
            events.emit(
                events.JOURNAL_REFUSED,
                partition=self.partition,
                fault=message.fault.value,
            )
        self.reason = f'takeover failed: {message.fault.value}'
        await self.step(PartitionEvent.DEPOSED)

    @handles(messages.ConfigChanged)
    async def on_config(self, message: messages.ConfigChanged) -> None:
        """Pass a newer configuration on to the owner."""
        self.config = message.config
        self.helpers.configure(message)

    @handles(messages.StoreOutageConfirmed)
    async def on_outage(self, message: messages.StoreOutageConfirmed) -> None:
        """Tell the owner that its tasks may go on."""
        if self.helpers.serving is not None:
            self.helpers.serving.notify_owner(message)

    @handles(messages.HandOver)
    async def on_hand_over(self, message: messages.HandOver) -> None:
        """Give up the partition for good, with its work finished."""
        self.election.is_leaving = True
        self.election.cancel()
        self.reason = 'the process shuts down'
        self.helpers.is_finished = True
        was_owner = self.helpers.serving is not None
        await self.step(PartitionEvent.HANDOVER_ASKED)
        if self.state is PartitionState.REPLAYING:
            await self.step(PartitionEvent.DEPOSED)
        if was_owner:
            # Calls that are on their way still get an answer here.
            await sleep_ms(_LATE_CALLS_MS)
        message.reply.answer(self.helpers.is_finished)

    async def step(self, event: PartitionEvent) -> None:
        """Apply an event of the chart and run its actions."""
        transition = PARTITION_CHART.step(self.state, event)
        if transition is None:
            return
        self.state = transition.target
        for action in transition.actions:
            await CAMPAIGN_ACTIONS.lookup(action)(self)

    def set_deadline(self, requested_at_ms: int) -> None:
        """Derive the deadline from the time a renewal was asked for."""
        store = self.settings.store
        held_ms = int(store.owner_lease_ms * _CLOCK_RATE)
        deadline_ms = requested_at_ms + held_ms - store.owner_margin_ms
        self.lease.extend(deadline_ms, self.mailbox)
        self.helpers.set_deadline(deadline_ms)

    def watch(self) -> None:
        """Watch the owner key."""
        self.helpers.watch = OwnerWatch(
            self.ports.store,
            self.partition,
            self.settings.process,
            self.mailbox,
        )
        self.helpers.watch.start()


CampaignAction = Callable[[Campaign], Awaitable[None]]

CAMPAIGN_ACTIONS: Final[Registry[str, CampaignAction]] = Registry(
    'campaign actions',
)


@CAMPAIGN_ACTIONS.register('acquire')
async def _acquire(campaign: Campaign) -> None:
    store = campaign.ports.store
    # A read costs the store less than the lease and the swap of a late claim.
    found = await store.get(owner_key(campaign.partition))
    held = None
    if isinstance(found, Success) and found.unwrap().value is None:
        held = await acquire(
            store,
            campaign.partition,
            new_claim(campaign.settings),
            campaign.settings.store.owner_lease_ms,
        )
    if held is None:
        await campaign.step(PartitionEvent.NOT_ACQUIRED)
        return
    await campaign.helpers.stop()
    campaign.lease.held = held
    campaign.set_deadline(held.requested_at_ms)
    campaign.helpers.renewer = LeaseRenewer(
        store,
        held,
        campaign.settings.store.owner_renew_interval_ms,
        campaign.mailbox,
    )
    campaign.helpers.renewer.start()
    await campaign.step(PartitionEvent.ACQUIRED)


@CAMPAIGN_ACTIONS.register('replay')
async def _replay(campaign: Campaign) -> None:
    held = campaign.lease.held
    if held is None:
        return
    campaign.helpers.takeover = Takeover(
        campaign.ports.store,
        campaign.partition,
        held.token,
        campaign.lease.deadline_ms,
        campaign.mailbox,
    )
    campaign.helpers.takeover.begin(
        campaign.settings.process,
        campaign.config.policies.task_lease_ms,
    )


@CAMPAIGN_ACTIONS.register('serve')
async def _serve(campaign: Campaign) -> None:
    journal = campaign.helpers.journal
    if journal is None:
        return
    serving = PartitionService(
        campaign.settings,
        campaign.config,
        campaign.ports,
        campaign.mailbox,
    )
    serving.begin(
        campaign.partition,
        journal,
        campaign.lease.deadline_ms,
    )
    campaign.helpers.serving = serving
    events.emit(
        events.OWNERSHIP_ACQUIRED,
        partition=campaign.partition,
        epoch=serving.epoch,
    )
    campaign.router.send(
        OwnerLocated(
            campaign.partition,
            new_claim(campaign.settings),
            serving.owner.mailbox,
        ),
    )


@CAMPAIGN_ACTIONS.register('step_down')
async def _step_down(campaign: Campaign) -> None:
    campaign.router.send(OwnerLocated(campaign.partition, None, mailbox=None))
    events.emit(
        events.OWNERSHIP_LOST,
        partition=campaign.partition,
        reason=campaign.reason,
    )
    campaign.lease.cancel()
    await campaign.helpers.stop()
    held = campaign.lease.held
    campaign.lease.held = None
    if held is not None:
        # Frees the partition at once where the store still knows the lease.
        await campaign.ports.store.revoke_lease(held.lease_id)
    if not campaign.election.is_leaving:
        campaign.watch()


@CAMPAIGN_ACTIONS.register('restrict')
async def _restrict(campaign: Campaign) -> None:
    events.emit(events.OWNERSHIP_UNCONFIRMED, partition=campaign.partition)
    campaign.helpers.set_deadline(campaign.lease.deadline_ms)


@CAMPAIGN_ACTIONS.register('unrestrict')
async def _unrestrict(campaign: Campaign) -> None:
    events.emit(events.OWNERSHIP_CONFIRMED, partition=campaign.partition)


@CAMPAIGN_ACTIONS.register('hand_over')
async def _hand_over(campaign: Campaign) -> None:
    serving = campaign.helpers.serving
    if serving is not None:
        campaign.helpers.is_finished = await serving.finish()
    await campaign.step(PartitionEvent.RELEASED)


PARTITION_CHART: Final = load_chart(
    'partition',
    PartitionState,
    PartitionEvent,
    CAMPAIGN_ACTIONS,
)
