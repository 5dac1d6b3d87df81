"""The actor that owns the links to peers, and the port that calls them."""

from dataclasses import dataclass
from typing import Any, Final

from returns.result import Failure, Result

from fuchsiarill.actor import Mailbox, Reply, handles
from fuchsiarill.clock import now_ms
from fuchsiarill.cluster.cluster_encoding import (
    document_fields,
    gossip_fields,
    read_document_struct,
    read_gossip,
)
from fuchsiarill.cluster.config_document import ConfigDocument
from fuchsiarill.cluster.member_table import Gossip
from fuchsiarill.cluster.peer_link import PeerCall, PeerLink
from fuchsiarill.cluster.peer_port import PeerFailure
from fuchsiarill.cluster.spawning_actor import SpawningActor
from fuchsiarill.ids import Generation
from fuchsiarill.owner.messages import Tick
from fuchsiarill.settings import PeerSettings

# The link waits at most twice for a connection and twice for an answer.
_WAITS_MAX_COUNT: Final = 4


@dataclass(frozen=True, slots=True)
class CallPeer:
    """Requests a call to the process at `address`."""

    address: str
    call: PeerCall


class Peers(SpawningActor):
    """Owns one link for each address in use."""

    def __init__(self, settings: PeerSettings) -> None:
        """Start without links."""
        super().__init__('peers')
        self._settings = settings
        self._links: dict[str, PeerLink] = {}
        self._used_at_ms: dict[str, int] = {}

    def start(self) -> None:
        """Run the actor and check for idle links at an interval."""
        super().start()
        self.tick_every(self._settings.idle_after_ms, Tick())

    async def stop(self) -> None:
        """Close all links."""
        await super().stop()
        for link in self._links.values():
            await link.stop()

    @handles(CallPeer)
    async def on_call(self, message: CallPeer) -> None:
        """Pass a call to the link of its address."""
        link = self._links.get(message.address)
        if link is None:
            link = PeerLink(message.address, self._settings)
            link.start()
            self._links[message.address] = link
        self._used_at_ms[message.address] = now_ms()
        if not link.mailbox.send(message.call):
            message.call.reply.answer(Failure(PeerFailure.NOT_SENT))

    @handles(Tick)
    async def on_tick(self, message: Tick) -> None:
        """Close the links that have been idle for `idle_after_ms`."""
        for address, used_at_ms in tuple(self._used_at_ms.items()):
            link = self._links[address]
            idle_ms = now_ms() - used_at_ms
            if link.calls_count or idle_ms < self._settings.idle_after_ms:
                continue
            self._used_at_ms.pop(address)
            await self._links.pop(address).stop()

    def snapshot(self) -> dict[str, Any]:
        """Return the state for a dump."""
        return {
            **super().snapshot(),
            'links': [link.snapshot() for link in self._links.values()],
        }


class RpcPeers:
    """`PeerPort` over capnp; its calls go through the actor's mailbox."""

    def __init__(self, peers: Mailbox, settings: PeerSettings) -> None:
        """Call through `peers` with the deadline in the settings."""
        self._peers = peers
        self._settings = settings

    async def gossip(
        self,
        address: str,
        message: Gossip,
    ) -> Result[Gossip, PeerFailure]:
        """Exchange member tables."""
        answer = await self.call(
            address,
            'gossip',
            {'message': gossip_fields(message)},
        )
        return answer.map(lambda received: read_gossip(received.message))

    async def offer_config(
        self,
        address: str,
        document: ConfigDocument,
    ) -> Result[Generation, PeerFailure]:
        """Offer a document; returns the generation in force at the peer."""
        answer = await self.call(
            address,
            'offerConfig',
            {'document': document_fields(document)},
        )
        return answer.map(lambda received: Generation(received.generation))

    async def fetch_config(
        self,
        address: str,
    ) -> Result[ConfigDocument, PeerFailure]:
        """Return the document in force at the peer, or `NO_DOCUMENT`."""
        answer = await self.call(address, 'fetchConfig', {})
        return answer.map(
            lambda received: read_document_struct(received.document),
        )

    async def dump(self, address: str) -> Result[str, PeerFailure]:
        """Return the state of all actors of the peer, as JSON."""
        answer = await self.call(address, 'dump', {})
        return answer.map(lambda received: str(received.state))

    async def call(
        self,
        address: str,
        method: str,
        request: dict[str, Any],
        wait_ms: int = 0,
        repeatable: bool = True,
    ) -> Result[Any, PeerFailure]:
        """Call a method of the schema; `wait_ms` is added to the deadline."""
        timeout_ms = self._settings.call_timeout_ms + wait_ms
        reply: Reply[Result[Any, PeerFailure]] = Reply()
        call = PeerCall(method, request, timeout_ms, reply, repeatable)
        if not self._peers.send(CallPeer(address, call)):
            return Failure(PeerFailure.NOT_SENT)
        try:
            return await reply.wait(_WAITS_MAX_COUNT * timeout_ms)
        except TimeoutError:
            return Failure(PeerFailure.NO_ANSWER)
