"""Requests advice from the advice service, the most urgent step first.

The service handles one call at a time for each calling machine. Each reachable
process, including this one, is a route with at most one call in progress.
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

_LOCAL_ROUTE: Final = ProcessId('')
# A route that another process is using is retried after this time.
_BUSY_RETRY_MS: Final = 60
_Granted = dict[WorkerId, Ticket] | None


@dataclass(frozen=True, slots=True)
class AdviceRequest:
    """A request for advice, and the mailbox that receives the answer."""

    request: RequestAdvice
    # Incarnation of each worker when the request was made.
    incarnations: dict[WorkerId, BornMs]
    receiver: Mailbox
    # Returns whether the step still has tasks to start.
    is_wanted: Callable[[], bool]


@dataclass(frozen=True, slots=True)
class _RouteReleased:
    """A call through a route has ended."""

    route: ProcessId
    message: AdviceRequest
    granted: _Granted
    # Another route may get the answer that this one failed to get.
    is_retried: bool = False


@dataclass(frozen=True, slots=True)
class _RouteRetryDue:
    """A route that another process was using may be retried."""

    route: ProcessId


@dataclass(order=True, slots=True)
class _QueuedRequest:
    rank_ms: int
    number: int
    message: AdviceRequest = field(compare=False)


class Advisor(SpawningActor):
    """Distributes requests for advice over the routes."""

    def __init__(
        self,
        process: ProcessId,
        port: BusyTrackingAdvisor,
        links: PeerLinks,
        timeout_ms: int,
    ) -> None:
        """Call the service through `port` and the processes of `links`."""
        super().__init__('advisor')
        self._process = process
        self._port = port
        self._links = links
        self._timeout_ms = timeout_ms
        self._waiting: list[_QueuedRequest] = []
        self._requests_count = 0
        self._busy: set[ProcessId] = set()

    def snapshot(self) -> dict[str, Any]:
        """Return the state for a dump."""
        return {
            **super().snapshot(),
            'waiting_count': len(self._waiting),
            'asked_count': self._requests_count,
            'busy_lanes_count': len(self._busy),
        }

    @handles(AdviceRequest)
    async def on_request(self, message: AdviceRequest) -> None:
        """Queue a request."""
        self._requests_count += 1
        waiting = _QueuedRequest(
            message.request.rank_ms, self._requests_count, message
        )
        heapq.heappush(self._waiting, waiting)
        self._assign_routes()

    @handles(_RouteRetryDue)
    async def on_route_retry_due(self, message: _RouteRetryDue) -> None:
        """Allow calls through a route again."""
        self._busy.discard(message.route)
        self._assign_routes()

    @handles(_RouteReleased)
    async def on_route_released(self, message: _RouteReleased) -> None:
        """Forward the answer, or retry through another route."""
        self._busy.discard(message.route)
        if message.is_retried:
            await self.on_request(message.message)
            return
        answered = message.message
        answered.receiver.send(
            AdviceAnswered(
                answered.request.step,
                answered.incarnations,
                message.granted,
            ),
        )
        self._assign_routes()

    def _assign_routes(self) -> None:
        for route in self._routes():
            if not self._waiting:
                return
            if route not in self._busy:
                self._assign_route(route)

    def _assign_route(self, route: ProcessId) -> None:
        if route == _LOCAL_ROUTE and self._port.is_busy:
            # Another process is calling the service through this one.
            self._busy.add(route)
            self.spawn(self._retry_later(route))
            return
        message = self._next_wanted()
        if message is not None:
            self._busy.add(route)
            self.spawn(self._call_through(route, message))

    def _routes(self) -> list[ProcessId]:
        """Return the routes in order of preference.

        Each process prefers itself and then the processes that follow it in
        the sorted ring of names, so that owners rarely use the same route.
        """
        ring = sorted(self._links.processes)
        after = [name for name in ring if name > self._process]
        before = [name for name in ring if name < self._process]
        return [_LOCAL_ROUTE, *after, *before]

    def _next_wanted(self) -> AdviceRequest | None:
        while self._waiting:
            message = heapq.heappop(self._waiting).message
            if message.is_wanted():
                return message
            message.receiver.send(
                AdviceAnswered(
                    message.request.step, message.incarnations, None
                ),
            )
        return None

    async def _call_through(
        self, route: ProcessId, message: AdviceRequest
    ) -> None:
        try:
            await self._call(route, message)
        except Exception:
            self.mailbox.send(_RouteReleased(route, message, None))
            raise

    async def _retry_later(self, route: ProcessId) -> None:
        await sleep_ms(_BUSY_RETRY_MS)
        self.mailbox.send(_RouteRetryDue(route))

    async def _call(self, route: ProcessId, message: AdviceRequest) -> None:
        request = message.request
        if route == _LOCAL_ROUTE:
            granted = await self._call_service(request)
            self.mailbox.send(_RouteReleased(route, message, granted))
            return
        advice = await request_advice_from_peer(
            self._links,
            route,
            request.step,
            request.workers,
            self._timeout_ms,
        )
        if not advice.is_busy:
            granted = advice.granted
            self.mailbox.send(
                _RouteReleased(route, message, granted, granted is None),
            )
            return
        self.mailbox.send(message)
        await self._retry_later(route)

    async def _call_service(self, request: RequestAdvice) -> _Granted:
        answered = await self._port.advise(
            request.step,
            request.workers,
            self._timeout_ms,
        )
        match answered:
            case Success(granted):
                return dict(granted)
        return None
