"""Requests advice from the advice service, the most urgent step first.

Advice is a ticket for each worker on which the step may run. The service
handles one call at a time for each calling machine. Each reachable process,
including this one, is a route with at most one call in progress.
"""

import heapq
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, Final

from returns.result import Success

from fuchsiarill.actor import Mailbox, handles
from fuchsiarill.clock import sleep_ms
from fuchsiarill.cluster.spawning_actor import SpawningActor
from fuchsiarill.graphs.effects import RequestAdvice
from fuchsiarill.graphs.model import BornMs, StepKey, Ticket
from fuchsiarill.graphs.owner_messages import AdviceAnswered
from fuchsiarill.graphs.peer_links import PeerLinks
from fuchsiarill.graphs.peers import request_advice_from_peer
from fuchsiarill.graphs.ports import BusyTrackingAdvisor
from fuchsiarill.ids import ProcessId, WorkerId

_LOCAL_ROUTE: Final = ProcessId('')
# Pause before a route that another process was using is retried.
_BUSY_RETRY_DELAY_MS: Final = 60
# `None` without an answer from the service.
_Tickets = dict[WorkerId, Ticket] | None
Incarnations = dict[WorkerId, BornMs]


@dataclass(frozen=True, slots=True)
class AdviceRequest:
    """A request for advice, and the mailbox that receives the answer."""

    request: RequestAdvice
    receiver: Mailbox
    # Returns the workers to name and their incarnations, none if the owner
    # needs no advice for the step any more. Called just before the service is,
    # since workers may end while a request is queued.
    choose_workers: Callable[[], Incarnations]


@dataclass(frozen=True, slots=True)
class _Call:
    """A call of the service for a request, and the workers that it names."""

    advice_request: AdviceRequest
    incarnations: Incarnations

    @property
    def step(self) -> StepKey:
        """Return the step that the workers may run."""
        return self.advice_request.request.step

    @property
    def workers(self) -> tuple[WorkerId, ...]:
        """Return the named workers."""
        return tuple(self.incarnations)

    def answer(self, tickets: _Tickets) -> None:
        """Send the outcome of the call to the owner."""
        self.advice_request.receiver.send(
            AdviceAnswered(self.step, self.incarnations, tickets)
        )


@dataclass(frozen=True, slots=True)
class _RouteReleased:
    """A call through a route has ended."""

    route: ProcessId
    call: _Call
    tickets: _Tickets
    # The peer returned no answer from the service; the request is queued again.
    is_retried: bool = False


@dataclass(frozen=True, slots=True)
class _RouteRetryDue:
    """A route that another process was using may be retried."""

    route: ProcessId


@dataclass(order=True, slots=True)
class _QueuedRequest:
    rank_ms: int
    sequence: int
    advice_request: AdviceRequest = field(compare=False)


class Advisor(SpawningActor):
    """Distributes requests over the routes, each to the first free one."""

    def __init__(
        self,
        process: ProcessId,
        port: BusyTrackingAdvisor,
        links: PeerLinks,
        timeout_ms: int,
    ) -> None:
        """Call the service through `port` and the processes of `links`.

        `timeout_ms` bounds each call.
        """
        super().__init__('advisor')
        self._process = process
        self._port = port
        self._links = links
        self._timeout_ms = timeout_ms
        self._queue: list[_QueuedRequest] = []
        self._requests_count = 0
        self._busy_routes: set[ProcessId] = set()

    def snapshot(self) -> dict[str, Any]:
        """Return the state for a dump."""
        return {
            **super().snapshot(),
            'waiting_count': len(self._queue),
            'asked_count': self._requests_count,
            'busy_lanes_count': len(self._busy_routes),
        }

    @handles(AdviceRequest)
    async def on_request(self, message: AdviceRequest) -> None:
        """Queue a request."""
        self._requests_count += 1
        queued = _QueuedRequest(
            message.request.rank_ms, self._requests_count, message
        )
        heapq.heappush(self._queue, queued)
        self._assign_routes()

    @handles(_RouteRetryDue)
    async def on_route_retry_due(self, message: _RouteRetryDue) -> None:
        """Allow calls through a route again."""
        self._busy_routes.discard(message.route)
        self._assign_routes()

    @handles(_RouteReleased)
    async def on_route_released(self, message: _RouteReleased) -> None:
        """Forward the answer, or queue the request again."""
        self._busy_routes.discard(message.route)
        if message.is_retried:
            await self.on_request(message.call.advice_request)
            return
        message.call.answer(message.tickets)
        self._assign_routes()

    def _assign_routes(self) -> None:
        for route in self._routes():
            if not self._queue:
                return
            if route not in self._busy_routes:
                self._assign_route(route)

    def _assign_route(self, route: ProcessId) -> None:
        if route == _LOCAL_ROUTE and self._port.is_busy:
            # Another process is calling the service through this one.
            self._busy_routes.add(route)
            self.spawn(self._retry_route_later(route))
            return
        call = self._pop_call()
        if call is not None:
            self._busy_routes.add(route)
            self.spawn(self._call_through(route, call))

    def _routes(self) -> list[ProcessId]:
        """Return the routes in order of preference.

        Each process prefers itself and then the processes that follow it in
        the sorted ring of names, so that owners rarely use the same route.
        """
        ring = sorted(self._links.processes)
        later_processes = [name for name in ring if name > self._process]
        earlier_processes = [name for name in ring if name < self._process]
        return [_LOCAL_ROUTE, *later_processes, *earlier_processes]

    def _pop_call(self) -> _Call | None:
        """Return a call for the most urgent request that is still wanted."""
        while self._queue:
            advice_request = heapq.heappop(self._queue).advice_request
            call = _Call(advice_request, advice_request.choose_workers())
            if call.incarnations:
                return call
            call.answer(None)
        return None

    async def _call_through(self, route: ProcessId, call: _Call) -> None:
        try:
            await self._request_advice(route, call)
        except Exception:
            self.mailbox.send(_RouteReleased(route, call, None))
            raise

    async def _retry_route_later(self, route: ProcessId) -> None:
        await sleep_ms(_BUSY_RETRY_DELAY_MS)
        self.mailbox.send(_RouteRetryDue(route))

    async def _request_advice(self, route: ProcessId, call: _Call) -> None:
        if route == _LOCAL_ROUTE:
            tickets = await self._call_service(call)
            self.mailbox.send(_RouteReleased(route, call, tickets))
            return
        advice = await request_advice_from_peer(
            self._links,
            route,
            call.step,
            call.workers,
            self._timeout_ms,
        )
        if not advice.is_busy:
            tickets = advice.tickets
            self.mailbox.send(
                _RouteReleased(route, call, tickets, tickets is None),
            )
            return
        self.mailbox.send(call.advice_request)
        await self._retry_route_later(route)

    async def _call_service(self, call: _Call) -> _Tickets:
        call_result = await self._port.advise(
            call.step, call.workers, self._timeout_ms
        )
        match call_result:
            case Success(tickets):
                return dict(tickets)
        return None
