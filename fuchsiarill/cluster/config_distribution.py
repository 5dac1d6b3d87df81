"""The actor that holds the cell configuration of its process.

A newer document comes from the store (see `config_source`), from an operator's
change through this process, from an offer by the process that watches the store
for the failure domain, or from a peer whose gossip reports a higher generation.
A lower generation is never put in force.
"""

import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any, Final

from returns.result import Failure

from fuchsiarill import codes, events
from fuchsiarill.actor import Mailbox, Reply, handles
from fuchsiarill.cell_config import CellConfig
from fuchsiarill.clock import sleep_ms
from fuchsiarill.cluster.config_change import (
    ChangeAnswer,
    ChangeRequest,
    ConfigChange,
    ConfigParser,
)
from fuchsiarill.cluster.config_document import NO_DOCUMENT, ConfigDocument
from fuchsiarill.cluster.config_source import (
    ConfigSource,
    DocumentFetched,
    SetWatching,
)
from fuchsiarill.cluster.member_table import NO_GENERATION, Member
from fuchsiarill.cluster.membership import GenerationInForce, MembershipChanged
from fuchsiarill.cluster.peer_port import PeerPort
from fuchsiarill.cluster.spawning_actor import SpawningActor
from fuchsiarill.ids import Generation
from fuchsiarill.owner.messages import ConfigChanged
from fuchsiarill.ports.store import StorePort
from fuchsiarill.registry import Registry
from fuchsiarill.settings import ConfigSettings
from fuchsiarill.state_chart import load_chart
from fuchsiarill.states import (
    ConfigurationEvent,
    ConfigurationState,
    MemberState,
    ProcessState,
)


@dataclass(frozen=True, slots=True)
class ConfigOffered:
    """A peer offers a document; the reply is the generation in force."""

    document: ConfigDocument
    reply: Reply[Generation]


@dataclass(frozen=True, slots=True)
class GetDocument:
    """Requests the document in force, or `NO_DOCUMENT`."""

    reply: Reply[ConfigDocument]


@dataclass(frozen=True, slots=True)
class ChangeConfig:
    """Requests a change of the configuration by an operator."""

    request: ChangeRequest
    reply: Reply[ChangeAnswer]


@dataclass(frozen=True, slots=True)
class CollectingEnded:
    """The collecting period after the start is over."""


class ConfigDistributor(SpawningActor):
    """Owns the document in force and distributes newer documents.

    For `collect_ms` after the start it only collects documents, then it puts
    the highest generation in force.
    """

    def __init__(
        self,
        settings: ConfigSettings,
        store: StorePort,
        peers: PeerPort,
        parser: ConfigParser,
        random_source: random.Random,
    ) -> None:
        """Start without a configuration."""
        super().__init__('config')
        self.subscribers: list[Mailbox] = []
        self.membership: Mailbox | None = None
        self.state = CONFIGURATION_CHART.initial
        self.document = NO_DOCUMENT
        self.source = ConfigSource(settings, store, self.mailbox, random_source)
        self.parser = parser
        self.rejected_generation = NO_GENERATION
        self._settings = settings
        self._store = store
        self._peers = peers
        self._random_source = random_source
        self._is_collecting = True
        self._candidate = NO_DOCUMENT
        self._is_pulling = False
        self._is_watching = False
        self._domain_addresses: tuple[str, ...] = ()

    def start(self) -> None:
        """Run the actor and start collecting documents."""
        super().start()
        self.source.start()
        self.spawn(self._end_collecting())

    async def stop(self) -> None:
        """Stop reading the store, then the actor."""
        await self.source.stop()
        await super().stop()

    @handles(ConfigOffered)
    async def on_offer(self, message: ConfigOffered) -> None:
        """Put an offered document in force if it is newer."""
        await self._handle_document(message.document)
        message.reply.answer(self.document.generation)

    @handles(DocumentFetched)
    async def on_fetched(self, message: DocumentFetched) -> None:
        """Put a fetched document in force if it is newer."""
        if message.from_peer:
            self._is_pulling = False
        if message.document is not None:
            await self._handle_document(message.document)

    @handles(CollectingEnded)
    async def on_collected(self, message: CollectingEnded) -> None:
        """Put the highest generation collected so far in force."""
        self._is_collecting = False
        await self._handle_document(self._candidate)

    @handles(GetDocument)
    async def on_get_document(self, message: GetDocument) -> None:
        """Return the document in force."""
        message.reply.answer(self.document)

    @handles(ChangeConfig)
    async def on_change(self, message: ChangeConfig) -> None:
        """Carry out an operator's change concurrently with other messages."""
        self.spawn(self._carry_out_change(message))

    @handles(MembershipChanged)
    async def on_view(self, message: MembershipChanged) -> None:
        """Watch the store if elected for it, and pull a newer document."""
        own_member = next(
            member
            for member in message.members
            if member.detail.process == message.own
        )
        domain_members = [
            member
            for member in message.members
            if member.detail.failure_domain == own_member.detail.failure_domain
        ]
        self._domain_addresses = tuple(
            member.detail.address
            for member in domain_members
            if member is not own_member
        )
        is_watching = _elect_watcher(domain_members) is own_member
        if is_watching is not self._is_watching:
            self._is_watching = is_watching
            self.source.mailbox.send(SetWatching(is_watching))
        self._pull_newer(message.members)

    def announce(self, document: ConfigDocument, config: CellConfig) -> None:
        """Put a document in force; notify the subscribers and membership.

        A process that watches the store also offers the document to the other
        processes of its failure domain.
        """
        self.document = document
        config_changed = ConfigChanged(config)
        for subscriber in self.subscribers:
            subscriber.send(config_changed)
        if self.membership is not None:
            self.membership.send(GenerationInForce(document.generation))
        if not self._is_watching:
            return
        for address in self._domain_addresses:
            self.spawn(self._offer_document(address, document))

    def snapshot(self) -> dict[str, Any]:
        """Return the state for a dump, without the text."""
        return {
            **super().snapshot(),
            'state': self.state.value,
            'generation': self.document.generation,
            'author': self.document.author,
            'rejected_generation': self.rejected_generation,
            'source': self.source.snapshot(),
        }

    async def _handle_document(self, document: ConfigDocument) -> None:
        if self._is_collecting:
            if document.generation > self._candidate.generation:
                self._candidate = document
            return
        event = ConfigurationEvent.OLDER_OFFERED
        if document.generation > self.document.generation:
            event = ConfigurationEvent.NEWER_OFFERED
        step = CONFIGURATION_CHART.step(self.state, event)
        if step is None:
            return
        for action in step.actions:
            if not await CONFIG_ACTIONS.lookup(action)(self, document):
                return
        self.state = step.target

    def _pull_newer(self, members: tuple[Member, ...]) -> None:
        known_generation = max(
            self.document.generation, self.rejected_generation
        )
        if self._is_collecting:
            known_generation = self._candidate.generation
        newer_addresses = [
            member.detail.address
            for member in members
            if member.beat.generation > known_generation
        ]
        if newer_addresses and not self._is_pulling:
            self._is_pulling = True
            self.spawn(
                self._pull_document(self._random_source.choice(newer_addresses))
            )

    async def _end_collecting(self) -> None:
        await sleep_ms(self._settings.collect_ms)
        self.mailbox.send(CollectingEnded())

    async def _pull_document(self, address: str) -> None:
        fetch_result = await self._peers.fetch_config(address)
        message = DocumentFetched(fetch_result.value_or(None), from_peer=True)
        self.mailbox.send(message)

    async def _offer_document(
        self, address: str, document: ConfigDocument
    ) -> None:
        await self._peers.offer_config(address, document)

    async def _carry_out_change(self, message: ChangeConfig) -> None:
        change = ConfigChange(self._store, message.request, self.parser)
        answer = await change.execute()
        if answer.code is codes.DONE:
            self.mailbox.send(DocumentFetched(answer.document))
        message.reply.answer(answer)


ConfigAction = Callable[[ConfigDistributor, ConfigDocument], Awaitable[bool]]

CONFIG_ACTIONS: Final[Registry[str, ConfigAction]] = Registry(
    'configuration actions',
)


@CONFIG_ACTIONS.register('put_in_force')
async def _put_in_force(
    config_actor: ConfigDistributor, document: ConfigDocument
) -> bool:
    """Parse a document and announce it.

    Returns `False` for a document that this process can't parse, also when the
    document comes again; the document in force stays.
    """
    if document.generation == config_actor.rejected_generation:
        return False
    parsed = await config_actor.parser(document.text)
    if isinstance(parsed, Failure):
        config_actor.rejected_generation = document.generation
        events.emit(
            events.CONFIG_REJECTED,
            generation=document.generation,
            author=document.author,
            problem=parsed.failure()[0].text,
        )
        return False
    config_actor.announce(document, parsed.unwrap())
    events.emit(events.CONFIG_IN_FORCE, generation=document.generation)
    return True


CONFIGURATION_CHART: Final = load_chart(
    'configuration',
    ConfigurationState,
    ConfigurationEvent,
    CONFIG_ACTIONS,
)

_ENDING_STATES: Final = frozenset(
    (ProcessState.DRAINING, ProcessState.STOPPED),
)


def _elect_watcher(domain_members: list[Member]) -> Member | None:
    """Return the live member with the lowest id that is not in an ending state.

    This member watches the store on behalf of its failure domain.
    """
    for member in sorted(
        domain_members, key=lambda other: other.detail.process
    ):
        is_ending = member.detail.state in _ENDING_STATES
        if member.state is MemberState.LIVE and not is_ending:
            return member
    return None
