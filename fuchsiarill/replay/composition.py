"""The actors of one process, connected as the daemon connects them."""

import asyncio
import random
from typing import Any

from fuchsiarill.actor import Reply
from fuchsiarill.assembly import Assembly, Environment
from fuchsiarill.cluster.config_change import parse_in_loop
from fuchsiarill.cluster.peer_server import PeerCallServer
from fuchsiarill.process_messages import DrainRequested
from fuchsiarill.replay.fake_front import Build, FakeFront
from fuchsiarill.replay.network import Endpoint
from fuchsiarill.replay.peer_calls import CallContext, PeerCalls, received
from fuchsiarill.replay.simulated_environment import (
    SimulatedEnvironment,
    own_detail,
    process_ports,
)
from fuchsiarill.settings import ProcessSettings


class Composition:
    """The running actors of one life of a process."""

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
                own_detail(settings, incarnation),
                process_ports(settings, endpoint, environment),
                calls,
                parse_in_loop,
                random.Random(
                    f'{environment.seed} {settings.process} {incarnation}',
                ),
            ),
        )
        self.process = assembly.process
        self.front = FakeFront(settings, assembly.receivers, environment.log)
        self._actors = assembly.attach_front(self.front)
        self._servant = PeerCallServer(assembly.receivers, settings.peers)

    async def run(self) -> None:
        """Run the actors until the process ends by itself."""
        for starting in self._actors:
            starting.start()
        await self.process.ended.wait()
        for ending in self._actors:
            await ending.stop()

    def drain(self) -> None:
        """Ask for a graceful end, as SIGTERM does."""
        self.process.mailbox.send(DrainRequested())

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


def run_composition(composition: Composition) -> asyncio.Task[None]:
    """Run a process as a task of the present context."""
    return asyncio.create_task(composition.run())
