"""Asks the advice service, the most urgent step first.

The service handles one call at a time for each calling machine. Each process
that can be reached is a lane with one call in progress, the own one included.
"""

import heapq
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any, Final

from returns.result import Success

from fuchsiarill.actor import Mailbox, handles
from fuchsiarill.clock import now_ms
from fuchsiarill.cluster.peer_link import PeerLink
from fuchsiarill.cluster.spawning import SpawningActor
from fuchsiarill.graphs.effects import AskAdvice
from fuchsiarill.graphs.model import BornMs, StepKey, Ticket
from fuchsiarill.graphs.owner_messages import Advised
from fuchsiarill.graphs.peers import ask_peer
from fuchsiarill.ids import ProcessId, WorkerId
from fuchsiarill.ports.agents import AdvisorPort
from fuchsiarill.settings import PeerSettings

# A process that did not answer is left alone for this time.
_SUSPENSION_MS: Final = 2000
_OWN_LANE: Final = ProcessId('')

_Ask = Callable[
    [StepKey, tuple[WorkerId, ...]],
    Awaitable[dict[WorkerId, Ticket] | None],
]


@dataclass(frozen=True, slots=True)
class AdviceAsked:
    """An ask with the lives of its workers and who gets the answer."""

    ask: AskAdvice
    asked: dict[WorkerId, BornMs]
    receiver: Mailbox
    # Whether the step still has something to start.
    is_wanted: Callable[[], bool]


@dataclass(frozen=True, slots=True)
class PeersListed:
    """Addresses of the other processes."""

    addresses: dict[ProcessId, str]


@dataclass(frozen=True, slots=True)
class _LaneFree:
    """An ask through a lane has ended."""

    lane: ProcessId
    message: AdviceAsked
    granted: dict[WorkerId, Ticket] | None


@dataclass(order=True, slots=True)
class _Waiting:
    rank_ms: int
    number: int
    message: AdviceAsked = field(compare=False)


@dataclass(slots=True)
class _Lane:
    ask: _Ask
    link: PeerLink | None = None
    is_busy: bool = False
    suspended_until_ms: int = 0


class Advisor(SpawningActor):
    """Spreads asks for advice over the lanes."""

    def __init__(self, port: AdvisorPort, timeout_ms: int) -> None:
        """Start with the own lane."""
        super().__init__('advisor')
        self._port = port
        self._timeout_ms = timeout_ms
        self._waiting: list[_Waiting] = []
        self._asked_count = 0
        self._lanes = {_OWN_LANE: _Lane(self._ask_service)}

    async def stop(self) -> None:
        """Close the links to the other processes too."""
        for lane in self._lanes.values():
            if lane.link is not None:
                await lane.link.stop()
        await super().stop()

    def snapshot(self) -> dict[str, Any]:
        """Return the state for a dump."""
        return {
            **super().snapshot(),
            'waiting_count': len(self._waiting),
            'asked_count': self._asked_count,
            'lanes_count': len(self._lanes),
        }

    @handles(AdviceAsked)
    async def on_asked(self, message: AdviceAsked) -> None:
        """Queue an ask."""
        self._asked_count += 1
        waiting = _Waiting(message.ask.rank_ms, self._asked_count, message)
        heapq.heappush(self._waiting, waiting)
        self._fill_lanes()

    @handles(PeersListed)
    async def on_peers(self, message: PeersListed) -> None:
        """Open a lane for each process, and close those of former ones."""
        for process, address in message.addresses.items():
            lane = self._lanes.get(process)
            if lane is not None and lane.link is not None:
                if lane.link.address == address:
                    continue
                self.spawn(lane.link.stop())
            self._open_lane(process, address)
        for process in list(self._lanes):
            if process != _OWN_LANE and process not in message.addresses:
                former = self._lanes.pop(process).link
                if former is not None:
                    self.spawn(former.stop())

    @handles(_LaneFree)
    async def on_lane_free(self, message: _LaneFree) -> None:
        """Pass an answer on, or ask again through another lane."""
        lane = self._lanes.get(message.lane)
        if lane is not None:
            lane.is_busy = False
        if message.granted is None and message.lane != _OWN_LANE:
            if lane is not None:
                lane.suspended_until_ms = now_ms() + _SUSPENSION_MS
            await self.on_asked(message.message)
            return
        asked = message.message
        asked.receiver.send(
            Advised(asked.ask.step, asked.asked, message.granted),
        )
        self._fill_lanes()

    def _open_lane(self, process: ProcessId, address: str) -> None:
        host, port = address.rsplit(':', 1)
        settings = PeerSettings(host=host, port=int(port))
        link = PeerLink(address, settings)
        link.start()

        async def ask(
            step: StepKey,
            workers: tuple[WorkerId, ...],
        ) -> dict[WorkerId, Ticket] | None:
            return await ask_peer(link.mailbox, step, workers, self._timeout_ms)

        self._lanes[process] = _Lane(ask, link)

    def _fill_lanes(self) -> None:
        now = now_ms()
        for process, lane in self._lanes.items():
            if lane.is_busy or lane.suspended_until_ms > now:
                continue
            message = self._next_wanted()
            if message is None:
                return
            lane.is_busy = True
            self.spawn(self._ask(process, lane, message))

    def _next_wanted(self) -> AdviceAsked | None:
        while self._waiting:
            message = heapq.heappop(self._waiting).message
            if message.is_wanted():
                return message
            message.receiver.send(
                Advised(message.ask.step, message.asked, None),
            )
        return None

    async def _ask(
        self,
        process: ProcessId,
        lane: _Lane,
        message: AdviceAsked,
    ) -> None:
        granted = await lane.ask(message.ask.step, message.ask.workers)
        self.mailbox.send(_LaneFree(process, message, granted))

    async def _ask_service(
        self,
        step: StepKey,
        workers: tuple[WorkerId, ...],
    ) -> dict[WorkerId, Ticket] | None:
        answered = await self._port.advise(step, workers, self._timeout_ms)
        match answered:
            case Success(granted):
                return dict(granted)
        return None
