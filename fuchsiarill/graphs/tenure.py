"""Election to owner of a pool, by an ephemeral key in the store.

A tenure is the part of a process that campaigns for one pool and owns it for
a term after each election that it wins. The revision at which the key was
written is the epoch: it rises with each owner and fences both the store and
the workers. The key is bound to a lease. The owner sends no orders once the
lease's time to live, less a margin, has passed since it requested the last
renewal that succeeded.
"""

from collections.abc import Callable
from dataclasses import replace
from typing import Any, Final

from returns.result import Failure, Success

from fuchsiarill import events, graph_events
from fuchsiarill.actor import handles
from fuchsiarill.clock import now_ms
from fuchsiarill.cluster.spawning_actor import SpawningActor
from fuchsiarill.graphs import keys, records
from fuchsiarill.graphs.campaign_delay import wait_for_campaign
from fuchsiarill.graphs.campaigner import Campaigner, Election
from fuchsiarill.graphs.lease_guard import LeaseGuard
from fuchsiarill.graphs.model import GraphConfig, PoolId
from fuchsiarill.graphs.owner_context import Term
from fuchsiarill.graphs.owner_messages import (
    ConfigInForce,
    OwnershipLost,
    PoolRecords,
)
from fuchsiarill.graphs.pool_loading import PoolLoader
from fuchsiarill.graphs.pool_owner import PoolOwner
from fuchsiarill.graphs.states import TenureEvent, TenureState
from fuchsiarill.graphs.tenure_messages import (
    Candidate,
    Drain,
    HandOverToLarger,
    LeaseRenewalAnswered,
    OwnerKeySeen,
    PoolRecordsRead,
    TenureTick,
)
from fuchsiarill.ids import ABSENT, StoreLeaseId
from fuchsiarill.log_event import LogEvent
from fuchsiarill.ports.key_value import KvFailure
from fuchsiarill.registry import Registry
from fuchsiarill.state_chart import load_chart

_TICK_INTERVAL_MS: Final = 100
# Time allowed for the last records to become durable in a handover.
_HANDOVER_TIMEOUT_MS: Final = 1500
_RETRY_MS: Final = 150


_Action = Callable[['Tenure'], None]

TENURE_ACTIONS: Final[Registry[str, _Action]] = Registry('tenure actions')


class Tenure(SpawningActor):
    """Campaigns to own one pool, and renews the lease of the ownership."""

    def __init__(
        self, pool: PoolId, config: GraphConfig, candidate: Candidate
    ) -> None:
        """Start as a follower."""
        super().__init__(f'tenure {pool}')
        self.pool = pool
        self.config = config
        self.state = TenureState.FOLLOWING
        self.owner: PoolOwner | None = None
        self._candidate = candidate
        self._context = candidate.context
        self._settings = candidate.context.settings
        self._store = candidate.context.ports.store
        self._campaigner = Campaigner(
            self._store, self._settings, pool, candidate.incarnation
        )
        self._key_revision = ABSENT
        self._is_vacant = False
        self._election = Election(None)
        self._guard: LeaseGuard | None = None
        self._loaded: PoolRecords | None = None
        self._renewal_requested_ms = 0
        self._is_renewing = False

    def start(self) -> None:
        """Run the actor and its ticks."""
        super().start()
        self.tick_every(_TICK_INTERVAL_MS, TenureTick())

    async def stop(self) -> None:
        """Stop the owner, then this actor."""
        if self.owner is not None:
            await self.owner.stop()
        await super().stop()

    @property
    def is_owner(self) -> bool:
        """Return whether this process owns the pool."""
        return self.owner is not None

    @property
    def is_elected(self) -> bool:
        """Return whether this process has been elected as the owner."""
        return self._election.epoch is not None

    def snapshot(self) -> dict[str, Any]:
        """Return the state for a dump."""
        snapshot = {
            **super().snapshot(),
            'pool': self.pool,
            'state': self.state.value,
            'key_revision': self._key_revision,
        }
        if self.owner is not None:
            snapshot['owner'] = self.owner.snapshot()
        return snapshot

    @handles(OwnerKeySeen)
    async def on_key_seen(self, message: OwnerKeySeen) -> None:
        """Detect a vacancy, or a change of the owner key since the election."""
        item = message.item
        if item.revision and item.revision < self._key_revision:
            return
        self._key_revision = max(item.revision, self._key_revision)
        self._is_vacant = item.value is None
        epoch = self._election.epoch
        if epoch is not None and item.revision > epoch:
            self._apply_event(TenureEvent.OWNERSHIP_LOST)
        if item.value is not None:
            self._end_earlier_lease(item.value)

    @handles(ConfigInForce)
    async def on_config(self, message: ConfigInForce) -> None:
        """Store a configuration and forward it to the owner."""
        self.config = message.config
        if self.owner is not None:
            self.owner.mailbox.send(message)

    @handles(OwnershipLost)
    async def on_ownership_lost(self, message: OwnershipLost) -> None:
        """Step down: the pool has a later owner, or the owner key changed."""
        events.emit(
            graph_events.TENURE_REFUTED,
            pool=self.pool,
            epoch=self._election.epoch,
            reason=message.reason,
        )
        self._apply_event(TenureEvent.OWNERSHIP_LOST)

    @handles(Election)
    async def on_election(self, message: Election) -> None:
        """Apply the outcome of a campaign.

        The lease of an election that is won during a drain is ended.
        """
        if message.epoch is None:
            self._apply_event(TenureEvent.NOT_ELECTED)
            return
        self._election = message
        self._apply_event(TenureEvent.ELECTED)
        if self.state is TenureState.RELEASED and message.lease is not None:
            self.spawn(self._campaigner.end_lease(message.lease))

    @handles(PoolRecordsRead)
    async def on_records_read(self, message: PoolRecordsRead) -> None:
        """Start the owner, unless the term has ended in the meantime."""
        if message.election is self._election:
            self._loaded = message.loaded
            self._apply_event(TenureEvent.LOADED)

    @handles(LeaseRenewalAnswered)
    async def on_lease_renewal(self, message: LeaseRenewalAnswered) -> None:
        """Extend the ownership, or end it if the lease or owner key is lost."""
        self._is_renewing = False
        if message.lease != self._election.lease or self._guard is None:
            return
        is_lease_gone = message.outcome == Failure(KvFailure.LEASE_GONE)
        if message.is_key_lost or is_lease_gone:
            events.emit(
                graph_events.TENURE_REFUTED,
                pool=self.pool,
                epoch=self._election.epoch,
                reason='the lease or the owner key is gone',
            )
            self._apply_event(TenureEvent.OWNERSHIP_LOST)
            return
        if isinstance(message.outcome, Success):
            self._guard.extend(
                self._ownership_deadline_ms(message.requested_ms)
            )
            if self.state is TenureState.SUSPENDED:
                self._apply_event(TenureEvent.LEASE_RENEWED)

    @handles(TenureTick)
    async def on_tick(self, message: TenureTick) -> None:
        """Campaign if vacant; suspend an overdue owner; renew a due lease."""
        if self.state is TenureState.FOLLOWING and self._is_vacant:
            self._apply_event(TenureEvent.VACANCY_SEEN)
        if self._guard is None:
            return
        if now_ms() >= self._guard.deadline_ms:
            self._apply_event(TenureEvent.LEASE_OVERDUE)
        self._renew_lease_if_due()

    @handles(Drain)
    async def on_drain(self, message: Drain) -> None:
        """Hand the pool over; end its lease, so that others campaign now."""
        self._apply_event(TenureEvent.DRAIN_ASKED)
        await self._release_pool()
        message.reply.answer(None)

    @handles(HandOverToLarger)
    async def on_hand_over(self, message: HandOverToLarger) -> None:
        """Hand the pool over, and take part in the election again."""
        if self.state is TenureState.OWNING:
            self._apply_event(TenureEvent.LARGER_MACHINE_FOUND)
            await self._release_pool()

    def campaign(self) -> None:
        """Try to become the owner, in a task of its own."""
        self.spawn(self._run_campaign())

    def load_records(self) -> None:
        """Read the jobs and earlier records, in a task of its own."""
        election = self._election
        self._guard = LeaseGuard(
            self._ownership_deadline_ms(election.requested_ms)
        )
        self._renewal_requested_ms = election.requested_ms
        events.emit(
            graph_events.TENURE_WON,
            pool=self.pool,
            epoch=election.epoch,
            campaign_ms=now_ms() - election.requested_ms,
        )
        self.spawn(self._read_records(election))

    def start_owner(self) -> None:
        """Start the owner with the loaded records."""
        epoch, loaded = self._election.epoch, self._loaded
        if epoch is None or loaded is None or self._guard is None:
            return
        term = Term(
            self.pool,
            epoch,
            self._guard,
            self.config,
            self._campaigner.owner_record(self._election.lease),
        )
        owner_context = replace(self._context, tenure=self.mailbox)
        self.owner = PoolOwner(term, owner_context, loaded)
        self.owner.start()
        self._loaded = None

    def step_down(self) -> None:
        """End the term; the owner key has another holder or none."""
        events.emit(
            graph_events.TENURE_LOST,
            pool=self.pool,
            epoch=self._election.epoch,
        )
        if self._guard is not None:
            self._guard.revoke()
        if self.owner is not None:
            self.spawn(self.owner.stop())
        if self._election.lease is not None:
            self.spawn(self._campaigner.end_lease(self._election.lease))
        self.owner = None
        self._guard = None
        self._election = Election(None)

    def log_event(self, event: LogEvent) -> None:
        """Log an event with the pool and the epoch."""
        events.emit(event, pool=self.pool, epoch=self._election.epoch)

    async def _release_pool(self) -> None:
        """Save the last records, then end the lease."""
        if self.owner is not None:
            await self.owner.hand_over(_HANDOVER_TIMEOUT_MS)
            owner = self.owner
            self.owner = None
            await owner.stop()
        self._guard = None
        lease = self._election.lease
        self._election = Election(None)
        if lease is not None:
            await self._campaigner.end_lease(lease)

    def _apply_event(self, event: TenureEvent) -> None:
        transition = _CHART.step(self.state, event)
        if transition is None:
            return
        self.state = transition.target
        for action in transition.actions:
            TENURE_ACTIONS.lookup(action)(self)

    def _ownership_deadline_ms(self, requested_ms: int) -> int:
        ownership = self._settings.ownership
        return requested_ms + ownership.lease_ttl_ms - ownership.lease_margin_ms

    async def _run_campaign(self) -> None:
        await wait_for_campaign(self.pool, self._candidate)
        if not self._is_vacant:
            self.mailbox.send(Election(None))
            return
        self.mailbox.send(await self._campaigner.run())

    def _renew_lease_if_due(self) -> None:
        interval_ms = self._settings.ownership.renewal_interval_ms
        if (
            self._is_renewing
            or now_ms() - self._renewal_requested_ms < interval_ms
        ):
            return
        lease = self._election.lease
        if lease is not None:
            self._is_renewing = True
            self._renewal_requested_ms = now_ms()
            self.spawn(self._renew_lease(lease))

    async def _renew_lease(self, lease: StoreLeaseId) -> None:
        requested_ms = now_ms()
        timeout_ms = self._settings.calls.store_timeout_ms
        outcome = await self._store.renew_lease(lease, timeout_ms)
        is_key_lost = False
        if isinstance(outcome, Success):
            if self.state is TenureState.SUSPENDED:
                # The key may have been deleted during the suspension.
                read_result = await self._store.get(
                    keys.owner_key(self.pool),
                    timeout_ms,
                )
                if isinstance(read_result, Failure):
                    outcome = Failure(read_result.failure())
                else:
                    epoch = self._election.epoch
                    is_key_lost = int(read_result.unwrap().revision) != epoch
        self.mailbox.send(
            LeaseRenewalAnswered(lease, requested_ms, outcome, is_key_lost)
        )

    async def _read_records(self, election: Election) -> None:
        loader = PoolLoader(
            self._store,
            self.pool,
            self._settings.process,
            self._settings.calls.store_timeout_ms,
            self._settings.ownership.lease_ttl_ms,
        )
        loaded = await loader.load()
        self.mailbox.send(PoolRecordsRead(election, loaded))

    def _end_earlier_lease(self, value: bytes) -> None:
        """End a lease that an earlier incarnation of this process holds."""
        record = records.decode_owner(value)
        if record.process != self._settings.process:
            return
        if record.incarnation != self._candidate.incarnation:
            self.spawn(self._campaigner.end_lease(StoreLeaseId(record.lease)))


@TENURE_ACTIONS.register('campaign')
def _campaign(tenure: Tenure) -> None:
    tenure.campaign()


@TENURE_ACTIONS.register('load')
def _load(tenure: Tenure) -> None:
    tenure.load_records()


@TENURE_ACTIONS.register('serve')
def _serve(tenure: Tenure) -> None:
    tenure.start_owner()


@TENURE_ACTIONS.register('suspend')
def _suspend(tenure: Tenure) -> None:
    tenure.log_event(graph_events.TENURE_SUSPENDED)


@TENURE_ACTIONS.register('resume')
def _resume(tenure: Tenure) -> None:
    tenure.log_event(graph_events.TENURE_RESUMED)


@TENURE_ACTIONS.register('step_down')
def _step_down(tenure: Tenure) -> None:
    tenure.step_down()


@TENURE_ACTIONS.register('hand_over')
def _hand_over(tenure: Tenure) -> None:
    """Do nothing: the handler of the message waits for the last records."""


_CHART: Final = load_chart('tenure', TenureState, TenureEvent, TENURE_ACTIONS)
