"""Asks the advice service, the most urgent step first.

The service handles one call at a time for each calling machine. Each process
that can be reached is a lane with one call in progress, the own one included.
"""

import heapq
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, Final

from returns.result import Success

from fuchsiarill.actor import Mailbox, handles
from fuchsiarill.clock import sleep_ms
from fuchsiarill.cluster.spawning import SpawningActor
from fuchsiarill.graphs.effects import RequestAdvice
from fuchsiarill.graphs.model import BornMs, Ticket
from fuchsiarill.graphs.owner_messages import AdviceAnswered
from fuchsiarill.graphs.peer_links import PeerLinks
from fuchsiarill.graphs.peers import request_advice_from_peer
from fuchsiarill.graphs.ports import BusyTrackingAdvisor
from fuchsiarill.ids import ProcessId, WorkerId

_OWN_LANE: Final = ProcessId('')
# A lane whose process asks something else is tried again after this time.
_BUSY_MS: Final = 60
_Granted = dict[WorkerId, Ticket] | None


@dataclass(frozen=True, slots=True)
class AdviceRequest:
    """An ask with the lives of its workers and who gets the answer."""

    ask: RequestAdvice
    asked: dict[WorkerId, BornMs]
    receiver: Mailbox
    # Whether the step still has something to start.
    is_wanted: Callable[[], bool]


@dataclass(frozen=True, slots=True)
class _LaneFree:
    """An ask through a lane has ended."""

    lane: ProcessId
    message: AdviceRequest
    granted: _Granted
    # Another lane may have the answer that this one could not get.
    is_asked_again: bool = False


@dataclass(frozen=True, slots=True)
class _LaneRested:
    """A lane that was busy with something else is tried again."""

    lane: ProcessId


@dataclass(order=True, slots=True)
class _Waiting:
    rank_ms: int
    number: int
    message: AdviceRequest = field(compare=False)


class Advisor(SpawningActor):
    """Spreads asks for advice over the lanes."""

    def __init__(
        self,
        process: ProcessId,
        port: BusyTrackingAdvisor,
        links: PeerLinks,
        timeout_ms: int,
    ) -> None:
        """Ask through `port` and through the processes of `links`."""
        super().__init__('advisor')
        self._process = process
        self._port = port
        self._links = links
        self._timeout_ms = timeout_ms
        self._waiting: list[_Waiting] = []
        self._asked_count = 0
        self._busy: set[ProcessId] = set()

    def snapshot(self) -> dict[str, Any]:
        """Return the state for a dump."""
        return {
            **super().snapshot(),
            'waiting_count': len(self._waiting),
            'asked_count': self._asked_count,
            'busy_lanes_count': len(self._busy),
        }

    @handles(AdviceRequest)
    async def on_asked(self, message: AdviceRequest) -> None:
        """Queue an ask."""
        self._asked_count += 1
        waiting = _Waiting(message.ask.rank_ms, self._asked_count, message)
        heapq.heappush(self._waiting, waiting)
        self._fill_lanes()

    @handles(_LaneRested)
    async def on_lane_rested(self, message: _LaneRested) -> None:
        """Use a lane again."""
        self._busy.discard(message.lane)
        self._fill_lanes()

    @handles(_LaneFree)
    async def on_lane_free(self, message: _LaneFree) -> None:
        """Pass an answer on, or ask again through another lane."""
        self._busy.discard(message.lane)
        if message.is_asked_again:
            await self.on_asked(message.message)
            return
        asked = message.message
        asked.receiver.send(
            AdviceAnswered(asked.ask.step, asked.asked, message.granted),
        )
        self._fill_lanes()

    def _fill_lanes(self) -> None:
        for lane in self._lanes():
            if not self._waiting:
                return
            if lane not in self._busy:
                self._fill(lane)

    def _fill(self, lane: ProcessId) -> None:
        if lane == _OWN_LANE and self._port.is_busy:
            # Another process asks through this one.
            self._busy.add(lane)
            self.spawn(self._rest(lane))
            return
        message = self._next_wanted()
        if message is not None:
            self._busy.add(lane)
            self.spawn(self._use_lane(lane, message))

    def _lanes(self) -> list[ProcessId]:
        """Return the lanes in the order in which they are used.

        Each process begins with itself and goes on along the ring of names,
        so that owners seldom ask through the same one.
        """
        ring = sorted(self._links.processes)
        after = [name for name in ring if name > self._process]
        before = [name for name in ring if name < self._process]
        return [_OWN_LANE, *after, *before]

    def _next_wanted(self) -> AdviceRequest | None:
        while self._waiting:
            message = heapq.heappop(self._waiting).message
            if message.is_wanted():
                return message
            message.receiver.send(
                AdviceAnswered(message.ask.step, message.asked, None),
            )
        return None

    async def _use_lane(self, lane: ProcessId, message: AdviceRequest) -> None:
        try:
            await self._ask(lane, message)
        except Exception:
            self.mailbox.send(_LaneFree(lane, message, None))
            raise

    async def _rest(self, lane: ProcessId) -> None:
        await sleep_ms(_BUSY_MS)
        self.mailbox.send(_LaneRested(lane))

    async def _ask(self, lane: ProcessId, message: AdviceRequest) -> None:
        ask = message.ask
        if lane == _OWN_LANE:
            granted = await self._ask_service(ask)
            self.mailbox.send(_LaneFree(lane, message, granted))
            return
        advice = await request_advice_from_peer(
            self._links,
            lane,
            ask.step,
            ask.workers,
            self._timeout_ms,
        )
        if not advice.is_busy:
            granted = advice.granted
            self.mailbox.send(
                _LaneFree(lane, message, granted, granted is None),
            )
            return
        self.mailbox.send(message)
        await self._rest(lane)

    async def _ask_service(self, ask: RequestAdvice) -> _Granted:
        answered = await self._port.advise(
            ask.step,
            ask.workers,
            self._timeout_ms,
        )
        match answered:
            case Success(granted):
                return dict(granted)
        return None
