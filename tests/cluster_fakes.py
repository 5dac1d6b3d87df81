"""In-memory store and links for several processes in one paused loop."""

import asyncio
import random
from contextlib import suppress
from dataclasses import dataclass, field

from returns.result import Failure, Result, Success

from fuchsiarill.actor import Mailbox, Reply
from fuchsiarill.clock import sleep_ms
from fuchsiarill.cluster.config_change import parse_in_loop
from fuchsiarill.cluster.config_distribution import (
    ConfigDistributor,
    ConfigOffered,
    GetDocument,
)
from fuchsiarill.cluster.config_document import ConfigDocument
from fuchsiarill.cluster.directory import ProcessDirectory
from fuchsiarill.cluster.member_table import Gossip, MemberDetail
from fuchsiarill.cluster.membership import (
    GenerationInForce,
    GossipReceived,
    Membership,
)
from fuchsiarill.cluster.peer_port import PeerFailure
from fuchsiarill.ids import (
    ABSENT,
    FailureDomain,
    Generation,
    ProcessId,
    RegionId,
    Revision,
    StoreKey,
    StoreLeaseId,
)
from fuchsiarill.ports.store import (
    StoreFailure,
    Swap,
    SwapOutcome,
    SwapResult,
    Versioned,
)
from fuchsiarill.settings import ConfigSettings, MembershipSettings

_CALL_DURATION_MS = 2
_CALL_DEADLINE_MS = 1_000


@dataclass
class FakeCell:
    """State that all processes share: stored keys and failed links."""

    stored: dict[StoreKey, Versioned] = field(default_factory=dict)
    revision: int = 0
    replies_to_lose: int = 0
    cut_from_store: set[str] = field(default_factory=set)
    cut_links: set[frozenset[str]] = field(default_factory=set)
    watches: list[tuple[StoreKey, asyncio.Event]] = field(default_factory=list)
    running: dict[str, 'FakeProcess'] = field(default_factory=dict)
    swaps_count: int = 0
    gossip_count: int = 0

    def read(self, key: StoreKey) -> Versioned:
        return self.stored.get(key, Versioned(key, None, ABSENT))


class FakeStore:
    """`StorePort` of one process."""

    def __init__(self, cell: FakeCell, process: str) -> None:
        self._cell = cell
        self._process = process

    async def get(self, key: StoreKey) -> Result[Versioned, StoreFailure]:
        if not await self._reaches_store():
            return Failure(StoreFailure.UNREACHABLE)
        return Success(self._cell.read(key))

    async def swap(self, swap: Swap) -> SwapResult:
        if not await self._reaches_store():
            return SwapResult(SwapOutcome.UNKNOWN)
        cell = self._cell
        cell.swaps_count += 1
        if cell.read(swap.key).revision != swap.expected:
            return SwapResult(SwapOutcome.CONFLICT)
        cell.revision += 1
        revision = Revision(cell.revision)
        cell.stored[swap.key] = Versioned(swap.key, swap.value, revision)
        for key, change_event in cell.watches:
            if key == swap.key:
                change_event.set()
        if cell.replies_to_lose:
            cell.replies_to_lose -= 1
            await sleep_ms(_CALL_DEADLINE_MS)
            return SwapResult(SwapOutcome.UNKNOWN)
        return SwapResult(SwapOutcome.SWAPPED, revision)

    async def watch(
        self,
        key: StoreKey,
        after: Revision,
        wait_ms: int,
    ) -> Result[Versioned, StoreFailure]:
        if not await self._reaches_store():
            return Failure(StoreFailure.UNREACHABLE)
        change_event = asyncio.Event()
        self._cell.watches.append((key, change_event))
        if self._cell.read(key).revision == after:
            await self._wait_for_change(change_event, wait_ms)
        self._cell.watches.remove((key, change_event))
        if not await self._reaches_store():
            return Failure(StoreFailure.UNREACHABLE)
        return Success(self._cell.read(key))

    async def grant_lease(
        self,
        ttl_ms: int,
    ) -> Result[StoreLeaseId, StoreFailure]:
        raise NotImplementedError

    async def renew_lease(
        self,
        lease_id: StoreLeaseId,
    ) -> Result[StoreLeaseId, StoreFailure]:
        raise NotImplementedError

    async def revoke_lease(
        self,
        lease_id: StoreLeaseId,
    ) -> Result[StoreLeaseId, StoreFailure]:
        raise NotImplementedError

    async def _wait_for_change(
        self, change_event: asyncio.Event, wait_ms: int
    ) -> None:
        with suppress(TimeoutError):
            async with asyncio.timeout(wait_ms / 1000):
                await change_event.wait()

    async def _reaches_store(self) -> bool:
        await sleep_ms(_CALL_DURATION_MS)
        if self._process not in self._cell.cut_from_store:
            return True
        await sleep_ms(_CALL_DEADLINE_MS)
        return False


class FakePeers:
    """`PeerPort` of one process."""

    def __init__(self, cell: FakeCell, process: str) -> None:
        self._cell = cell
        self._process = process

    async def gossip(
        self,
        address: str,
        message: Gossip,
    ) -> Result[Gossip, PeerFailure]:
        peer = await self._reach_peer(address)
        if peer is None:
            return Failure(PeerFailure.NO_ANSWER)
        self._cell.gossip_count += 1
        reply: Reply[Gossip] = Reply()
        peer.membership.mailbox.send(GossipReceived(message, reply))
        return Success(await reply.wait(_CALL_DEADLINE_MS))

    async def offer_config(
        self,
        address: str,
        document: ConfigDocument,
    ) -> Result[Generation, PeerFailure]:
        peer = await self._reach_peer(address)
        if peer is None:
            return Failure(PeerFailure.NO_ANSWER)
        reply: Reply[Generation] = Reply()
        peer.config.mailbox.send(ConfigOffered(document, reply))
        return Success(await reply.wait(_CALL_DEADLINE_MS))

    async def fetch_config(
        self,
        address: str,
    ) -> Result[ConfigDocument, PeerFailure]:
        peer = await self._reach_peer(address)
        if peer is None:
            return Failure(PeerFailure.NO_ANSWER)
        reply: Reply[ConfigDocument] = Reply()
        peer.config.mailbox.send(GetDocument(reply))
        return Success(await reply.wait(_CALL_DEADLINE_MS))

    async def dump(self, address: str) -> Result[str, PeerFailure]:
        return Failure(PeerFailure.NOT_SENT)

    async def _reach_peer(self, address: str) -> 'FakeProcess | None':
        await sleep_ms(_CALL_DURATION_MS)
        link = frozenset((self._process, address))
        peer = self._cell.running.get(address)
        if link not in self._cell.cut_links and peer is not None:
            return peer
        await sleep_ms(_CALL_DEADLINE_MS)
        return None


class _GenerationRecorder(Mailbox):
    """Forwards messages and records each generation put in force."""

    def __init__(self, receiver: Mailbox) -> None:
        super().__init__()
        self.generations: list[Generation] = []
        self._receiver = receiver

    def send(self, message: object) -> bool:
        if isinstance(message, GenerationInForce):
            self.generations.append(message.generation)
        return self._receiver.send(message)


class FakeProcess:
    """Membership and configuration of one process; its id is its address."""

    def __init__(
        self,
        cell: FakeCell,
        process: str,
        domain: str,
        incarnation: int,
        membership: MembershipSettings | None = None,
    ) -> None:
        random_source = random.Random(f'{process} {incarnation}')
        store = FakeStore(cell, process)
        peers = FakePeers(cell, process)
        self._cell = cell
        self.process = process
        self.membership = Membership(
            membership or MembershipSettings(),
            MemberDetail(
                ProcessId(process),
                RegionId('rajkot'),
                FailureDomain(domain),
                process,
                incarnation,
            ),
            ProcessDirectory(store),
            peers,
            random_source,
        )
        self.config = ConfigDistributor(
            ConfigSettings(),
            store,
            peers,
            parse_in_loop,
            random_source,
        )
        self.recorder = _GenerationRecorder(self.membership.mailbox)
        self.config.membership = self.recorder
        self.membership.subscribers.append(self.config.mailbox)

    def start(self) -> None:
        self._cell.running[self.process] = self
        self.membership.start()
        self.config.start()

    async def stop(self) -> None:
        """Stop without notifying any peer, as if the process were killed."""
        self._cell.running.pop(self.process)
        await self.membership.stop()
        await self.config.stop()
