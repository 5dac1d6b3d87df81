"""The actor that acquires, keeps and releases the ownership of one partition.

It interprets the state chart `charts/partition.yaml`, whose actions are
registered below. Separate actors do the long-running work: they watch the owner
key, renew the store lease, take over the journal and serve the partition.
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
from fuchsiarill.owner.campaign_state import ChildActors, ElectionTimer, Lease
from fuchsiarill.owner.claims import (
    OwnerLocated,
    acquire_ownership,
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

# The clocks of this process and of the store may differ by 1% in rate, so a
# lease counts as 1% shorter.
_LEASE_LENGTH_RATIO: Final = 0.99
# Delays of the next claim after a failed takeover. Without them all processes
# in turn would immediately try to read the same unreadable journal.
_TAKEOVER_RETRY_MS: Final = 2_000
_UNREADABLE_JOURNAL_RETRY_MS: Final = 30_000
# Time after a handover in which requests in transit may still arrive; several
# times the network latency between failure domains.
_LATE_REQUESTS_GRACE_MS: Final = 300
_UNREADABLE_JOURNAL_FAULTS: Final = frozenset(
    (JournalFault.CORRUPT, JournalFault.NEWER_FORMAT),
)


class Campaign(Actor):
    """Acquires, keeps and releases the ownership of one partition."""

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
        self.children = ChildActors()
        self.election = ElectionTimer()
        self.step_down_reason = ''

    def start(self) -> None:
        """Run the actor and watch the owner key."""
        super().start()
        self.start_owner_watch()

    async def stop(self) -> None:
        """Stop at once without a handover; the store lease lapses later."""
        self.election.cancel()
        self.lease.cancel()
        await super().stop()
        await self.children.shut_down()

    def snapshot(self) -> dict[str, Any]:
        """Return the state for a dump."""
        dump = super().snapshot() | {
            'partition': self.partition,
            'state': self.state.value,
            'deadline_ms': self.lease.deadline_ms,
        }
        if self.children.service is not None:
            dump.update(self.children.service.snapshot())
        return dump

    @handles(messages.Tick)
    async def on_tick(self, message: messages.Tick) -> None:
        """Resend a refused configuration; recover from errors of actors."""
        self.children.resend_config()
        # An acquisition runs within the handling of one message. A campaign
        # that is still acquiring at a tick was interrupted by an error.
        await self.step(PartitionEvent.NOT_ACQUIRED)
        error = self.children.fault()
        if error is None:
            return
        events.emit(events.OWNER_ACTOR_DIED, actor=self.name, error=error)
        if self.state is PartitionState.STANDBY:
            await self.children.stop()
            self.start_owner_watch()
            return
        self.step_down_reason = f'an actor has failed: {error}'
        await self.step(PartitionEvent.DEPOSED)

    @handles(campaign_messages.OwnerKeyRead)
    async def on_owner_key(
        self, message: campaign_messages.OwnerKeyRead
    ) -> None:
        """Update the router; schedule a claim if vacant, else cancel it."""
        if self.state is not PartitionState.STANDBY:
            return
        claim = parse_claim(message.owner_value)
        self.router.send(OwnerLocated(self.partition, claim, mailbox=None))
        if message.owner_value.value is not None:
            self.election.cancel()
            return
        if self.election.is_withdrawn:
            return
        loads = self.election.loads
        process = self.settings.process
        delay_ms = election_delay_ms(self.partition, process, loads)
        self.election.schedule(delay_ms, self.mailbox)

    @handles(campaign_messages.CandidatesUpdated)
    async def on_candidates(
        self, message: campaign_messages.CandidatesUpdated
    ) -> None:
        """Store the candidates and forward them to the owner watch."""
        self.election.loads = message.loads
        if self.children.owner_watch is not None:
            self.children.owner_watch.mailbox.send(message)

    @handles(campaign_messages.ElectionDue)
    async def on_election_due(
        self, message: campaign_messages.ElectionDue
    ) -> None:
        """Claim the partition if it is still vacant."""
        if not self.election.is_withdrawn:
            await self.step(PartitionEvent.VACANT)

    @handles(campaign_messages.LeaseRenewed)
    async def on_renewed(self, message: campaign_messages.LeaseRenewed) -> None:
        """Extend the ownership deadline, counted from the renewal request."""
        if not self.lease.matches(message.token):
            return
        self.set_deadline(message.requested_at_ms)
        await self.step(PartitionEvent.RENEWED)

    @handles(campaign_messages.DeadlinePassed)
    async def on_deadline(
        self, message: campaign_messages.DeadlinePassed
    ) -> None:
        """Restrict the owner or end a takeover if the deadline has passed."""
        if now_ms() >= self.lease.deadline_ms:
            self.step_down_reason = 'the store lease was not renewed in time'
            await self.step(PartitionEvent.DEADLINE_PASSED)

    @handles(campaign_messages.OwnershipLost)
    async def on_lease_lost(
        self, message: campaign_messages.OwnershipLost
    ) -> None:
        """Step down because the store no longer holds the owner's lease."""
        if self.lease.matches(message.token):
            self.step_down_reason = 'the store lease lapsed'
            await self.step(PartitionEvent.DEPOSED)

    @handles(messages.Deposed)
    async def on_deposed(self, message: messages.Deposed) -> None:
        """Step down because another process owns the partition."""
        self.step_down_reason = message.reason
        await self.step(PartitionEvent.DEPOSED)

    @handles(campaign_messages.TakenOver)
    async def on_taken_over(self, message: campaign_messages.TakenOver) -> None:
        """Start to serve the partition from the journal that was read."""
        if not self.lease.matches(message.token):
            return
        self.children.journal = message.journal
        await self.step(PartitionEvent.REPLAYED)

    @handles(campaign_messages.TakeoverFailed)
    async def on_takeover_failed(
        self, message: campaign_messages.TakeoverFailed
    ) -> None:
        """Release the partition and delay the next claim.

        The delay is longer for a journal that is corrupt or of a newer
        format; none of its entries is replaced.
        """
        if not self.lease.matches(message.token):
            return
        self.election.pause(_TAKEOVER_RETRY_MS)
        if message.fault in _UNREADABLE_JOURNAL_FAULTS:
            self.election.pause(_UNREADABLE_JOURNAL_RETRY_MS)
            events.emit(
                events.JOURNAL_REFUSED,
                partition=self.partition,
                fault=message.fault.value,
            )
        self.step_down_reason = f'takeover failed: {message.fault.value}'
        await self.step(PartitionEvent.DEPOSED)

    @handles(messages.ConfigChanged)
    async def on_config(self, message: messages.ConfigChanged) -> None:
        """Forward a newer configuration to the owner."""
        self.config = message.config
        self.children.configure(message)

    @handles(messages.StoreOutageConfirmed)
    async def on_outage(self, message: messages.StoreOutageConfirmed) -> None:
        """Tell the owner that it may renew task leases during the outage."""
        if self.children.service is not None:
            self.children.service.notify_owner(message)

    @handles(messages.HandOver)
    async def on_hand_over(self, message: messages.HandOver) -> None:
        """Finish pending work, release the partition and never claim again.

        The reply is `False` if the owner did not finish its work in time.
        """
        self.election.is_withdrawn = True
        self.election.cancel()
        self.step_down_reason = 'the process shuts down'
        self.children.is_work_finished = True
        was_owner = self.children.service is not None
        await self.step(PartitionEvent.HANDOVER_ASKED)
        if self.state is PartitionState.REPLAYING:
            await self.step(PartitionEvent.DEPOSED)
        if was_owner:
            # Requests in transit are refused in this time. Once the process
            # has exited, they get no answer.
            await sleep_ms(_LATE_REQUESTS_GRACE_MS)
        message.reply.answer(self.children.is_work_finished)

    async def step(self, event: PartitionEvent) -> None:
        """Apply a chart event and run the actions of its transition."""
        transition = PARTITION_CHART.step(self.state, event)
        if transition is None:
            return
        self.state = transition.target
        for action in transition.actions:
            await CAMPAIGN_ACTIONS.lookup(action)(self)

    def set_deadline(self, requested_at_ms: int) -> None:
        """Set the ownership deadline, counted from the lease request."""
        store = self.settings.store
        lease_ms = int(store.owner_lease_ms * _LEASE_LENGTH_RATIO)
        deadline_ms = requested_at_ms + lease_ms - store.owner_margin_ms
        self.lease.extend(deadline_ms, self.mailbox)
        self.children.set_deadline(deadline_ms)

    def start_owner_watch(self) -> None:
        """Start the watch of the owner key."""
        self.children.owner_watch = OwnerWatch(
            self.ports.store,
            self.partition,
            self.settings.process,
            self.mailbox,
        )
        self.children.owner_watch.start()


CampaignAction = Callable[[Campaign], Awaitable[None]]

CAMPAIGN_ACTIONS: Final[Registry[str, CampaignAction]] = Registry(
    'campaign actions',
)


@CAMPAIGN_ACTIONS.register('acquire')
async def _acquire(campaign: Campaign) -> None:
    store = campaign.ports.store
    # A read costs the store less than a lease and a swap that fail because
    # another process has claimed the partition first.
    read_result = await store.get(owner_key(campaign.partition))
    held_lease = None
    if isinstance(read_result, Success) and read_result.unwrap().value is None:
        held_lease = await acquire_ownership(
            store,
            campaign.partition,
            new_claim(campaign.settings),
            campaign.settings.store.owner_lease_ms,
        )
    if held_lease is None:
        await campaign.step(PartitionEvent.NOT_ACQUIRED)
        return
    await campaign.children.stop()
    campaign.lease.held_lease = held_lease
    campaign.set_deadline(held_lease.requested_at_ms)
    campaign.children.renewer = LeaseRenewer(
        store,
        held_lease,
        campaign.settings.store.owner_renew_interval_ms,
        campaign.mailbox,
    )
    campaign.children.renewer.start()
    await campaign.step(PartitionEvent.ACQUIRED)


@CAMPAIGN_ACTIONS.register('replay')
async def _replay(campaign: Campaign) -> None:
    held_lease = campaign.lease.held_lease
    if held_lease is None:
        return
    campaign.children.takeover = Takeover(
        campaign.ports.store,
        campaign.partition,
        held_lease.token,
        campaign.lease.deadline_ms,
        campaign.mailbox,
    )
    campaign.children.takeover.begin(
        campaign.settings.process, campaign.config.policies.task_lease_ms
    )


@CAMPAIGN_ACTIONS.register('serve')
async def _serve(campaign: Campaign) -> None:
    journal = campaign.children.journal
    if journal is None:
        return
    service = PartitionService(
        campaign.settings, campaign.config, campaign.ports, campaign.mailbox
    )
    service.begin(campaign.partition, journal, campaign.lease.deadline_ms)
    campaign.children.service = service
    events.emit(
        events.OWNERSHIP_ACQUIRED,
        partition=campaign.partition,
        epoch=service.epoch,
    )
    campaign.router.send(
        OwnerLocated(
            campaign.partition,
            new_claim(campaign.settings),
            service.owner.mailbox,
        ),
    )


@CAMPAIGN_ACTIONS.register('step_down')
async def _step_down(campaign: Campaign) -> None:
    campaign.router.send(OwnerLocated(campaign.partition, None, mailbox=None))
    events.emit(
        events.OWNERSHIP_LOST,
        partition=campaign.partition,
        reason=campaign.step_down_reason,
    )
    campaign.lease.cancel()
    await campaign.children.stop()
    held_lease = campaign.lease.held_lease
    campaign.lease.held_lease = None
    if held_lease is not None:
        # If the store still holds the lease, this frees the partition without
        # waiting for the lease to lapse.
        await campaign.ports.store.revoke_lease(held_lease.lease_id)
    if not campaign.election.is_withdrawn:
        campaign.start_owner_watch()


@CAMPAIGN_ACTIONS.register('restrict')
async def _restrict(campaign: Campaign) -> None:
    events.emit(events.OWNERSHIP_UNCONFIRMED, partition=campaign.partition)
    campaign.children.set_deadline(campaign.lease.deadline_ms)


@CAMPAIGN_ACTIONS.register('unrestrict')
async def _unrestrict(campaign: Campaign) -> None:
    events.emit(events.OWNERSHIP_CONFIRMED, partition=campaign.partition)


@CAMPAIGN_ACTIONS.register('hand_over')
async def _hand_over(campaign: Campaign) -> None:
    service = campaign.children.service
    if service is not None:
        campaign.children.is_work_finished = await service.finish()
    await campaign.step(PartitionEvent.RELEASED)


PARTITION_CHART: Final = load_chart(
    'partition',
    PartitionState,
    PartitionEvent,
    CAMPAIGN_ACTIONS,
)
