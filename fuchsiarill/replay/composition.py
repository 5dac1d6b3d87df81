"""The actors of one process, connected as the daemon connects them."""

import asyncio
import random
from dataclasses import replace
from functools import partial
from typing import Any

from fuchsiarill.actor import Actor, Reply
from fuchsiarill.cell_config import CellConfig
from fuchsiarill.cluster.config_change import parse_in_loop
from fuchsiarill.cluster.config_spread import ConfigSpread
from fuchsiarill.cluster.directory import Directory
from fuchsiarill.cluster.membership import Membership
from fuchsiarill.cluster.owner_link import OwnerLink
from fuchsiarill.cluster.peer_server import PeerServant
from fuchsiarill.ids import PartitionId
from fuchsiarill.owner.campaign import Campaign
from fuchsiarill.owner.messages import Tick
from fuchsiarill.ports.store import StorePort
from fuchsiarill.ports.store_health import HealthNotingStore
from fuchsiarill.process import Parts, Process
from fuchsiarill.process_messages import DrainAsked, Receivers
from fuchsiarill.replay.fake_front import Build, FakeFront
from fuchsiarill.replay.network import Endpoint
from fuchsiarill.replay.peer_calls import CallContext, PeerCalls, received
from fuchsiarill.replay.surroundings import (
    Surroundings,
    own_detail,
    process_ports,
    read_owner,
)
from fuchsiarill.routing import Router
from fuchsiarill.settings import ProcessSettings


class Composition:
    """The running actors of one life of a process."""

    def __init__(
        self,
        settings: ProcessSettings,
        endpoint: Endpoint,
        surroundings: Surroundings,
        incarnation: int,
    ) -> None:
        """Create and connect the actors."""
        self.settings = settings
        ports = process_ports(settings, endpoint, surroundings)
        store = HealthNotingStore(ports.store)
        self.ports = replace(ports, store=store)
        calls = PeerCalls(
            settings.peers,
            surroundings.network,
            endpoint,
            surroundings.listeners,
        )
        chance = random.Random(
            f'{surroundings.seed} {settings.process} {incarnation}',
        )
        self.membership = Membership(
            settings.membership,
            own_detail(settings, incarnation),
            Directory(self.ports.store),
            calls,
            chance,
        )
        store.changed = self.membership.note_store
        self.config = ConfigSpread(
            settings.config,
            self.ports.store,
            calls,
            parse_in_loop,
            chance,
        )
        self.router = _router(settings, self.ports.store, calls)
        self.process = Process(
            settings,
            Parts(
                self.membership.mailbox,
                (
                    self.membership,
                    self.config,
                    self.config.source,
                    self.router,
                ),
                calls,
                self.ports.host_list,
            ),
            self._open_campaign,
        )
        receivers = Receivers(
            self.router.mailbox,
            self.membership.mailbox,
            self.config.mailbox,
            self.process.mailbox,
        )
        self.front = FakeFront(settings, receivers, surroundings.log)
        self._servant = PeerServant(receivers, settings.peers)
        self._connect()

    async def run(self) -> None:
        """Run the actors until the process ends by itself."""
        actors = self._actors()
        for starting in actors:
            starting.start()
        await self.process.ended.wait()
        for ending in actors:
            await ending.stop()

    def drain(self) -> None:
        """Ask for a graceful end, as SIGTERM does."""
        self.process.mailbox.send(DrainAsked())

    async def serve(
        self,
        method: str,
        request: dict[str, Any],
        reply: Reply[Any],
    ) -> None:
        """Run a method of the servant; without answer when it fails."""
        context = CallContext()
        arguments = {name: received(request[name]) for name in request}
        try:
            await getattr(self._servant, method)(**arguments, _context=context)
        except TimeoutError:
            return
        reply.answer(context.fields)

    async def ask_owner(
        self,
        build: Build,
        wait_ms: int,
        reply: Reply[Any],
    ) -> None:
        """Answer a caller."""
        reply.answer(await self.front.ask_owner(build, wait_ms))

    async def ask_config(self, build: Build, reply: Reply[Any]) -> None:
        """Answer an operator; without answer when the actor is silent."""
        try:
            answer = await self.front.ask_config(build)
        except TimeoutError:
            return
        reply.answer(answer)

    def _actors(self) -> tuple[Actor, ...]:
        return (
            self.router,
            self.process,
            self.front,
            self.membership,
            self.config,
        )

    def _connect(self) -> None:
        self.process.front = self.front
        self.router.membership = self.membership.mailbox
        self.config.membership = self.membership.mailbox
        self.config.subscribers.extend(
            (self.front.mailbox, self.process.mailbox),
        )
        self.membership.subscribers.extend(
            (
                self.config.mailbox,
                self.router.mailbox,
                self.process.mailbox,
            ),
        )

    def _open_campaign(
        self,
        partition: PartitionId,
        config: CellConfig,
    ) -> Campaign:
        campaign = Campaign(
            self.settings,
            partition,
            config,
            self.ports,
            self.router.mailbox,
        )
        campaign.start()
        campaign.mailbox.send(Tick())
        campaign.tick_every(
            self.settings.store.owner_renew_interval_ms,
            Tick(),
        )
        return campaign


def _router(
    settings: ProcessSettings,
    store: StorePort,
    calls: PeerCalls,
) -> Router:
    router = Router(
        settings.peers,
        lambda partition, address, peers: OwnerLink(
            partition,
            address,
            peers,
            calls,
            router.mailbox,
        ),
        partial(read_owner, store),
    )
    return router


def run_composition(composition: Composition) -> asyncio.Task[None]:
    """Run a process as a task of the present context."""
    return asyncio.create_task(composition.run())
