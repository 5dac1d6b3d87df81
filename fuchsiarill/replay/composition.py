"""The actors of one replayed process, connected as in the daemon."""

import asyncio
import random
from typing import Any

from fuchsiarill.actor import Reply
from fuchsiarill.assembly import Assembly, Environment
from fuchsiarill.cluster.config_change import parse_on_event_loop
from fuchsiarill.cluster.peer_server import PeerCallServer
from fuchsiarill.process_messages import DrainRequested
from fuchsiarill.replay.fake_front import FakeFront, MessageFactory
from fuchsiarill.replay.network import Endpoint
from fuchsiarill.replay.peer_calls import CallContext, PeerCalls, as_received
from fuchsiarill.replay.simulated_environment import (
    SimulatedEnvironment,
    own_member_detail,
    process_ports,
)
from fuchsiarill.settings import ProcessSettings


class Composition:
    """The running actors of one incarnation of a process."""

    def __init__(
        self,
        settings: ProcessSettings,
        endpoint: Endpoint,
        environment: SimulatedEnvironment,
        incarnation: int,
    ) -> None:
        """Create and connect the actors."""
        calls = PeerCalls(
            settings.peers,
            environment.network,
            endpoint,
            environment.listeners,
        )
        assembly = Assembly(
            Environment(
                settings,
                own_member_detail(settings, incarnation),
                process_ports(settings, endpoint, environment),
                calls,
                parse_on_event_loop,
                random.Random(
                    f'{environment.seed} {settings.process} {incarnation}',
                ),
            ),
        )
        self.process = assembly.process
        self.front = FakeFront(settings, assembly.receivers, environment.log)
        self._actors = assembly.attach_front(self.front)
        self._peer_server = PeerCallServer(assembly.receivers, settings.peers)

    async def run(self) -> None:
        """Run the actors until the process ends by itself, then stop them."""
        for actor in self._actors:
            actor.start()
        await self.process.ended.wait()
        for actor in self._actors:
            await actor.stop()

    def drain(self) -> None:
        """Request a graceful shutdown, as SIGTERM does."""
        self.process.mailbox.send(DrainRequested())

    async def serve(
        self,
        method: str,
        request: dict[str, Any],
        reply: Reply[Any],
    ) -> None:
        """Run a method of the peer server; a time-out gives no answer."""
        context = CallContext()
        arguments = {name: as_received(request[name]) for name in request}
        try:
            await getattr(self._peer_server, method)(
                **arguments, _context=context
            )
        except TimeoutError:
            return
        reply.answer(context.fields)

    async def call_owner(
        self,
        build: MessageFactory,
        wait_ms: int,
        reply: Reply[Any],
    ) -> None:
        """Answer a caller's request with the answer of a partition owner."""
        reply.answer(await self.front.call_owner(build, wait_ms))

    async def call_config(
        self, build: MessageFactory, reply: Reply[Any]
    ) -> None:
        """Answer an operator's request; a time-out gives no answer."""
        try:
            answer = await self.front.call_config(build)
        except TimeoutError:
            return
        reply.answer(answer)


def run_composition(composition: Composition) -> asyncio.Task[None]:
    """Run the actors in a task that inherits the current context.

    The context (`contextvars`) holds the incarnation.
    """
    return asyncio.create_task(composition.run())
