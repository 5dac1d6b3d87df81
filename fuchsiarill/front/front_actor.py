"""The actor that owns the HTTP server and the state its threads read."""

import asyncio
from dataclasses import dataclass, replace
from typing import Any

from fuchsiarill.actor import Actor, Mailbox, Reply, handles
from fuchsiarill.clock import now_ms, sleep_ms
from fuchsiarill.cluster.membership import LoadMeasured, StateChanged
from fuchsiarill.front.http_front import HttpFront
from fuchsiarill.owner.messages import ConfigChanged, Tick

_LOAD_INTERVAL_MS = 1_000
_IDLE_CHECK_INTERVAL_MS = 20


@dataclass(frozen=True, slots=True)
class StopFront:
    """Finish the requests in progress, then close the listener.

    Requests that wait for the end of a job may continue for half of
    `within_ms`. The reply is whether all requests were answered within
    `within_ms`.
    """

    within_ms: int
    reply: Reply[bool]


class FrontActor(Actor):
    """Updates the view of the HTTP threads, reports their load, stops them."""

    def __init__(self, front: HttpFront, membership: Mailbox) -> None:
        """Serve through `front`; report its load to `membership`."""
        super().__init__('front')
        self._front = front
        self._membership = membership

    def start(self) -> None:
        """Run the actor and open the listener.

        Raises `OSError` when the address can't be used.
        """
        super().start()
        self._front.start()
        self.tick_every(_LOAD_INTERVAL_MS, Tick())

    @handles(ConfigChanged)
    async def on_config(self, message: ConfigChanged) -> None:
        """Authenticate and route requests by the new configuration."""
        self._front.view = replace(self._front.view, config=message.config)

    @handles(StateChanged)
    async def on_state(self, message: StateChanged) -> None:
        """Answer health and readiness checks by the new state."""
        self._front.view = replace(self._front.view, state=message.state)

    @handles(Tick)
    async def on_tick(self, message: Tick) -> None:
        """Report the load of the front to the membership actor."""
        load = LoadMeasured(self._front.bridge.load_permille)
        self._membership.send(load)

    @handles(StopFront)
    async def on_stop(self, message: StopFront) -> None:
        """Wait for the requests in progress, then close the listener."""
        bridge = self._front.bridge
        await self._wait_until_idle(message.within_ms // 2)
        bridge.release()
        await self._wait_until_idle(message.within_ms // 2)
        finished = not bridge.in_progress
        loop = asyncio.get_running_loop()
        await loop.run_in_executor(None, self._front.stop)
        message.reply.answer(finished)

    def snapshot(self) -> dict[str, Any]:
        """Return the state for a dump."""
        return {
            **super().snapshot(),
            'state': self._front.view.state.value,
            'in_progress_count': self._front.bridge.in_progress,
        }

    async def _wait_until_idle(self, within_ms: int) -> None:
        ends_at_ms = now_ms() + within_ms
        while self._front.bridge.in_progress and now_ms() < ends_at_ms:
            await sleep_ms(_IDLE_CHECK_INTERVAL_MS)
