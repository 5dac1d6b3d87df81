"""The membership actor: directory, gossip and view of the processes.

In each round, one second apart by default, the actor exchanges its table with a
few random peers. The directory in the store is read before joining and while no
peer is known, and changed on join and on leave. The view consists of all
members of the table.
"""

import random
from dataclasses import dataclass, replace
from typing import Any, Final

from returns.result import Success

from fuchsiarill import events
from fuchsiarill.actor import Mailbox, Reply, handles
from fuchsiarill.clock import now_ms
from fuchsiarill.cluster.directory import ProcessDirectory
from fuchsiarill.cluster.member_table import (
    NO_GENERATION,
    Gossip,
    Member,
    MemberDetail,
    MemberTable,
)
from fuchsiarill.cluster.peer_port import PeerPort
from fuchsiarill.cluster.spawning_actor import SpawningActor
from fuchsiarill.cluster.store_evidence import StoreEvidence
from fuchsiarill.ids import Generation, PartitionId, ProcessId
from fuchsiarill.owner.messages import Tick
from fuchsiarill.settings import MembershipSettings
from fuchsiarill.states import ProcessState

# Bounds the addresses that a long-running process keeps of peers that may
# never return.
_ADDRESSES_MAX_COUNT: Final = 256

# Interval at which a known address outside the view is called, so that both
# sides of a network split find each other again.
_LOST_INTERVAL_ROUNDS: Final = 5


@dataclass(frozen=True, slots=True)
class GossipReceived:
    """Another process sent a message of an exchange of tables."""

    received: Gossip
    reply: Reply[Gossip]


@dataclass(frozen=True, slots=True)
class GossipAnswered:
    """Result of an exchange; `received` is `None` without an answer."""

    address: str
    received: Gossip | None
    requested_at_ms: int


@dataclass(frozen=True, slots=True)
class DirectoryRead:
    """Result of joining the directory, if necessary, and reading it.

    `joined` is whether the store has confirmed the entry of this process.
    """

    joined: bool
    addresses: dict[ProcessId, str]


@dataclass(frozen=True, slots=True)
class StateChanged:
    """This process entered a state."""

    state: ProcessState


@dataclass(frozen=True, slots=True)
class PartitionsOwned:
    """This process owns these partitions and no others."""

    partitions: tuple[PartitionId, ...]


@dataclass(frozen=True, slots=True)
class GenerationInForce:
    """This generation of the configuration is in force in this process."""

    generation: Generation


@dataclass(frozen=True, slots=True)
class LoadMeasured:
    """Requests in progress, in thousandths of the permitted number."""

    load_permille: int


@dataclass(frozen=True, slots=True)
class StoreHealthChanged:
    """The store became unreachable from this process, or reachable again."""

    is_down: bool


@dataclass(frozen=True, slots=True)
class GetView:
    """Requests all members in the view."""

    reply: Reply[tuple[Member, ...]]


@dataclass(frozen=True, slots=True)
class LeaveCluster:
    """Requests to notify a few peers and then to leave the directory."""

    reply: Reply[None]


@dataclass(frozen=True, slots=True)
class MembershipChanged:
    """The view, sent to subscribers whether or not it has changed.

    It is sent in each round, after each merge, and when the state, partitions
    or generation of this process change.
    Until `outage_until_ms` the store is regarded as down for all processes.
    """

    members: tuple[Member, ...]
    own: ProcessId
    outage_until_ms: int = 0


class Membership(SpawningActor):
    """Owns the member table of its process."""

    def __init__(
        self,
        settings: MembershipSettings,
        own_detail: MemberDetail,
        directory: ProcessDirectory,
        peers: PeerPort,
        random_source: random.Random,
    ) -> None:
        """Start with this process only; needs a running loop."""
        super().__init__('membership')
        self.subscribers: list[Mailbox] = []
        self.table = MemberTable(settings, own_detail, now_ms())
        self._settings = settings
        self._directory = directory
        self._peers = peers
        self._random_source = random_source
        self._has_joined = False
        self._addresses: dict[ProcessId, str] = {}
        self._generation = NO_GENERATION
        self._load_permille = 0
        self._store_is_down = False
        self._outage_evidence = StoreEvidence()
        self._rounds_count = 0

    def update_store_state(self, is_down: bool) -> None:
        """Report to the actor whether the store is unreachable."""
        self.mailbox.send(StoreHealthChanged(is_down))

    def start(self) -> None:
        """Run the actor, join the directory and gossip at an interval."""
        super().start()
        self.mailbox.send(Tick())
        self.tick_every(self._settings.gossip_interval_ms, Tick())

    @handles(Tick)
    async def on_tick(self, message: Tick) -> None:
        """Record a beat, publish the view and exchange tables with peers."""
        self._record_beat()
        self._publish()
        self._rounds_count += 1
        if self._is_directory_due():
            self.spawn(self._join_and_read())
        for address in self._choose_addresses():
            self.spawn(
                self._exchange_tables(address, self.table.opening_message())
            )

    @handles(DirectoryRead)
    async def on_directory(self, message: DirectoryRead) -> None:
        """Keep the addresses of possible peers and call some at once."""
        self._has_joined = self._has_joined or message.joined
        self._keep_addresses(message.addresses)
        for address in self._choose_addresses():
            self.spawn(
                self._exchange_tables(address, self.table.opening_message())
            )

    @handles(GossipReceived)
    async def on_gossip(self, message: GossipReceived) -> None:
        """Merge a message and answer with the state that its sender lacks."""
        message.reply.answer(self.table.merge(message.received, now_ms()))
        self._publish()

    @handles(GossipAnswered)
    async def on_answer(self, message: GossipAnswered) -> None:
        """Merge the answer and send the requested details."""
        received = message.received
        if received is None:
            return
        self.table.merge(received, now_ms())
        self._outage_evidence.record_answer(
            self.table.own_member,
            self.table.members(),
            (message.address, message.requested_at_ms),
        )
        wanted = self.table.requested_details(received.wanted)
        if wanted.details:
            self.spawn(self._exchange_tables(message.address, wanted))
        self._publish()

    @handles(StateChanged)
    async def on_state(self, message: StateChanged) -> None:
        """Publish the state of this process."""
        self._update_own(
            replace(self.table.own_member.detail, state=message.state)
        )

    @handles(PartitionsOwned)
    async def on_partitions(self, message: PartitionsOwned) -> None:
        """Publish the partitions that this process owns."""
        own_detail = self.table.own_member.detail
        self._update_own(replace(own_detail, partitions=message.partitions))

    @handles(GenerationInForce)
    async def on_generation(self, message: GenerationInForce) -> None:
        """Publish the generation in force with an immediate beat."""
        self._generation = message.generation
        self._record_beat()
        self._publish()

    @handles(LoadMeasured)
    async def on_load(self, message: LoadMeasured) -> None:
        """Publish the load with the next beat."""
        self._load_permille = message.load_permille

    @handles(StoreHealthChanged)
    async def on_store(self, message: StoreHealthChanged) -> None:
        """Publish whether the store is reachable, with an immediate beat.

        Gossip answers sent from now on must not carry the earlier state.
        """
        self._store_is_down = message.is_down
        self._record_beat()

    @handles(GetView)
    async def on_view(self, message: GetView) -> None:
        """Return the view."""
        message.reply.answer(self.table.members())

    @handles(LeaveCluster)
    async def on_leave(self, message: LeaveCluster) -> None:
        """Publish the stop of this process and leave the directory.

        If the store fails, the entry stays in the directory, which is harmless:
        an entry alone does not make a process a member.
        """
        own_detail = replace(
            self.table.own_member.detail, state=ProcessState.STOPPED
        )
        self._update_own(own_detail)
        self.spawn(self._leave(message.reply))

    def snapshot(self) -> dict[str, Any]:
        """Return the state for a dump."""
        return {
            **super().snapshot(),
            'joined': self._has_joined,
            'directory_count': len(self._addresses),
            'members': [
                {
                    'process': member.detail.process,
                    'address': member.detail.address,
                    'incarnation': member.detail.incarnation,
                    'heartbeat': member.beat.heartbeat,
                    'generation': member.beat.generation,
                    'state': member.state.value,
                    'heard_at_ms': member.last_heartbeat_at_ms,
                }
                for member in self.table.members()
            ],
        }

    def _update_own(self, detail: MemberDetail) -> None:
        self.table.update_own(detail)
        self._publish()

    def _record_beat(self) -> None:
        removed = self.table.beat(
            self._generation,
            self._load_permille,
            now_ms(),
            store_is_down=self._store_is_down,
        )
        self._report_removed(removed)

    def _publish(self) -> None:
        view = MembershipChanged(
            self.table.members(),
            self.table.own_member.detail.process,
            self._outage_evidence.outage_until_ms(),
        )
        for subscriber in self.subscribers:
            subscriber.send(view)

    def _report_removed(self, removed: tuple[Member, ...]) -> None:
        for member in removed:
            if member.detail.state is ProcessState.STOPPED:
                continue
            process = member.detail.process
            events.emit(events.MEMBER_REMOVED, process=process)
            self._keep_addresses({process: member.detail.address})

    def _keep_addresses(self, addresses: dict[ProcessId, str]) -> None:
        for process, address in addresses.items():
            self._addresses.pop(process, None)
            self._addresses[process] = address
        latest = list(self._addresses.items())[-_ADDRESSES_MAX_COUNT:]
        self._addresses = dict(latest)

    def _is_directory_due(self) -> bool:
        """Return whether to call the store in this round.

        Before joining or without peers, the store is called every
        `directory_retry_rounds` rounds.
        """
        if self._has_joined and len(self.table.members()) > 1:
            return False
        return self._rounds_count % self._settings.directory_retry_rounds == 1

    def _choose_addresses(self) -> list[str]:
        own_detail = self.table.own_member.detail
        member_addresses = {
            member.detail.address
            for member in self.table.members()
            if member.detail.process != own_detail.process
        }
        lost_addresses = {
            *self._addresses.values(),
            *self._settings.seeds,
        } - member_addresses
        lost_addresses.discard(own_detail.address)
        count = self._settings.gossip_peers_count
        addresses = self._sample_addresses(member_addresses, count)
        if not member_addresses:
            return self._sample_addresses(lost_addresses, count)
        if self._rounds_count % _LOST_INTERVAL_ROUNDS == 0:
            addresses.extend(self._sample_addresses(lost_addresses, 1))
        return addresses

    def _sample_addresses(self, addresses: set[str], count: int) -> list[str]:
        return self._random_source.sample(
            sorted(addresses),
            min(count, len(addresses)),
        )

    async def _join_and_read(self) -> None:
        has_joined = self._has_joined
        if not has_joined:
            has_joined = await self._directory.join(
                self.table.own_member.detail
            )
        addresses = await self._directory.addresses()
        self.mailbox.send(DirectoryRead(has_joined, addresses))

    async def _exchange_tables(
        self, address: str, opening_message: Gossip
    ) -> None:
        requested_at_ms = now_ms()
        match await self._peers.gossip(address, opening_message):
            case Success(answer):
                gossip_answered = GossipAnswered(
                    address, answer, requested_at_ms
                )
            case _:
                gossip_answered = GossipAnswered(address, None, requested_at_ms)
        self.mailbox.send(gossip_answered)

    async def _leave(self, reply: Reply[None]) -> None:
        for address in self._choose_addresses():
            own_member = self.table.own_member
            last_message = Gossip((own_member.beat,), (own_member.detail,))
            await self._peers.gossip(address, last_message)
        await self._directory.leave(self.table.own_member.detail)
        reply.answer(None)
