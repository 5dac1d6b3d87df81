"""Requests advice from the advice service, due and urgent steps first.

Advice is a ticket for each worker on which the step may run. The service
handles one call at a time for each calling machine. Each reachable process,
including this one, is a route with at most one call in progress. A call without
an answer after the usual time is made again through another route, and the
first answer counts.
"""

import heapq
import math
from dataclasses import dataclass, field
from operator import attrgetter
from typing import Any, Final

from returns.result import Success

from fuchsiarill import events, graph_events
from fuchsiarill.actor import Mailbox, Reply, handles
from fuchsiarill.clock import now_ms, sleep_ms
from fuchsiarill.cluster.spawning_actor import SpawningActor
from fuchsiarill.graphs.effects import RequestAdvice
from fuchsiarill.graphs.model import AdvicePolicy, BornMs, StepKey, Ticket
from fuchsiarill.graphs.owner_messages import (
    AdviceAnswered,
    ChooseAdvisedWorkers,
)
from fuchsiarill.graphs.peer_links import PeerLinks
from fuchsiarill.graphs.peers import request_advice_from_peer
from fuchsiarill.graphs.ports import BusyTrackingAdvisor
from fuchsiarill.graphs.runs import NEVER_MS
from fuchsiarill.ids import ProcessId, WorkerId

_LOCAL_ROUTE: Final = ProcessId('')
# Pause before a route is retried that another process was using, or through
# which a call failed.
_BUSY_RETRY_DELAY_MS: Final = 60
# A call is overdue after twice the time that the service takes for it, and this
# time for the network and for other calls of the machine.
_OVERDUE_FACTOR: Final = 2
_OVERDUE_MARGIN_MS: Final = 500
# An owner that has not chosen workers by then has stopped.
_CHOICE_TIMEOUT_MS: Final = 1000
# A request has at most this many calls in progress.
_CALLS_MAX_COUNT: Final = 2
# A queue is logged once an interval while a request has waited for so long.
_LOGGED_WAIT_MIN_MS: Final = 2000
_LOG_INTERVAL_MS: Final = 1000
# `None` without an answer from the service.
_Tickets = dict[WorkerId, Ticket] | None
_Incarnations = dict[WorkerId, BornMs]


@dataclass(frozen=True, slots=True)
class AdviceRequest:
    """A request of an owner for advice.

    The owner gets a `ChooseAdvisedWorkers` before each call of the service, and
    an `AdviceAnswered` once.
    """

    request: RequestAdvice
    policy: AdvicePolicy
    owner: Mailbox


@dataclass(frozen=True, slots=True)
class OwnerStopped:
    """The owner with this mailbox needs no advice any more."""

    owner: Mailbox


@dataclass(slots=True)
class _Pending:
    """A request until one of its calls is answered."""

    advice_request: AdviceRequest
    requested_ms: int
    calls_count: int = 0
    is_queued: bool = False
    is_answered: bool = False

    @property
    def step(self) -> StepKey:
        """Return the step that needs advice."""
        return self.advice_request.request.step

    def answer(self, incarnations: _Incarnations, tickets: _Tickets) -> None:
        """Send the outcome to the owner, unless one has been sent."""
        if self.is_answered:
            return
        self.is_answered = True
        self.advice_request.owner.send(
            AdviceAnswered(self.step, incarnations, tickets)
        )


@dataclass(frozen=True, slots=True)
class _Call:
    """One call of the service, and the workers that it names."""

    pending: _Pending
    incarnations: _Incarnations

    @property
    def workers(self) -> tuple[WorkerId, ...]:
        """Return the named workers."""
        return tuple(self.incarnations)

    @property
    def overdue_ms(self) -> float:
        """Return the time after which another route is tried."""
        policy = self.pending.advice_request.policy
        service_ms = policy.service_ms(len(self.incarnations))
        return _OVERDUE_FACTOR * service_ms + _OVERDUE_MARGIN_MS


@dataclass(frozen=True, slots=True)
class _RouteReleased:
    """A call through a route has ended."""

    route: ProcessId
    call: _Call
    tickets: _Tickets


@dataclass(frozen=True, slots=True)
class _CallDeclined:
    """The process of a route returned no answer from the service.

    It may be calling the service for another process. The route stays busy
    until a `_RouteRetryDue`.
    """

    call: _Call


@dataclass(frozen=True, slots=True)
class _CallOverdue:
    """A call has taken longer than usual."""

    route: ProcessId
    call: _Call


@dataclass(frozen=True, slots=True)
class _RouteRetryDue:
    """A route that gave no answer may be retried."""

    route: ProcessId


@dataclass(frozen=True, slots=True)
class _LogQueue:
    """Periodic tick: log requests that have waited long for a call."""


@dataclass(order=True, slots=True)
class _QueuedRequest:
    # Rank, or the time at which the request is due.
    position_ms: float
    sequence: int
    pending: _Pending = field(compare=False)


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
        # Requests by rank until they are due, and those that become due by that
        # time.
        self._queue: list[_QueuedRequest] = []
        self._due_queue: list[_QueuedRequest] = []
        self._requests_count = 0
        # Routes with a call of any process, and the calls of this one.
        self._busy_routes: set[ProcessId] = set()
        self._calls_count = 0

    def start(self) -> None:
        """Run the actor, and log long waits."""
        super().start()
        self.tick_every(_LOG_INTERVAL_MS, _LogQueue())

    def snapshot(self) -> dict[str, Any]:
        """Return the state for a dump."""
        return {
            **super().snapshot(),
            'waiting_count': len(self._waiting()),
            'asked_count': self._requests_count,
            'busy_lanes_count': len(self._busy_routes),
        }

    @handles(AdviceRequest)
    async def on_request(self, message: AdviceRequest) -> None:
        """Queue a request."""
        self._enqueue(_Pending(message, now_ms()))

    @handles(OwnerStopped)
    async def on_owner_stopped(self, message: OwnerStopped) -> None:
        """Drop the queued requests of an owner."""
        for pending in self._waiting():
            if pending.advice_request.owner is message.owner:
                pending.is_answered = True

    @handles(_RouteRetryDue)
    async def on_route_retry_due(self, message: _RouteRetryDue) -> None:
        """Allow calls through a route again."""
        self._busy_routes.discard(message.route)
        self._assign_routes()

    @handles(_RouteReleased)
    async def on_route_released(self, message: _RouteReleased) -> None:
        """Forward the first answer, or the failure of the last call."""
        self._busy_routes.discard(message.route)
        self._calls_count -= 1
        pending = message.call.pending
        pending.calls_count -= 1
        has_other_call = bool(pending.calls_count) or pending.is_queued
        if message.tickets is not None or not has_other_call:
            pending.answer(message.call.incarnations, message.tickets)
        self._assign_routes()

    @handles(_CallDeclined)
    async def on_call_declined(self, message: _CallDeclined) -> None:
        """Queue a request again that a process has not passed on."""
        self._calls_count -= 1
        message.call.pending.calls_count -= 1
        self._enqueue(message.call.pending)

    @handles(_CallOverdue)
    async def on_call_overdue(self, message: _CallOverdue) -> None:
        """Queue the request of a call that is still in progress again."""
        pending = message.call.pending
        if pending.is_answered:
            return
        events.emit(
            graph_events.ADVICE_OVERDUE,
            job=pending.step.job,
            route=message.route or self._process,
            waited_ms=int(message.call.overdue_ms),
        )
        if pending.calls_count < _CALLS_MAX_COUNT:
            self._enqueue(pending)

    @handles(_LogQueue)
    async def on_log_queue(self, message: _LogQueue) -> None:
        """Log the queue if a request has waited long for a call."""
        waiting = self._waiting()
        longest = min(waiting, key=attrgetter('requested_ms'), default=None)
        if longest is None:
            return
        waited_ms = now_ms() - longest.requested_ms
        if waited_ms < _LOGGED_WAIT_MIN_MS:
            return
        events.emit(
            graph_events.ADVICE_QUEUED,
            job=longest.step.job,
            step=f'{longest.step.occurrence}.{longest.step.step}',
            rank_ms=longest.advice_request.request.rank_ms,
            queued=len(waiting),
            waited_ms=waited_ms,
            routes=len(self._routes()),
            calls=self._calls_count,
            others=len(self._busy_routes) - self._calls_count,
        )

    def _enqueue(self, pending: _Pending) -> None:
        if pending.is_queued or pending.is_answered:
            return
        pending.is_queued = True
        self._requests_count += 1
        request = pending.advice_request.request
        if request.due_ms < NEVER_MS:
            heapq.heappush(
                self._due_queue,
                _QueuedRequest(request.due_ms, self._requests_count, pending),
            )
        if now_ms() < request.due_ms:
            heapq.heappush(
                self._queue,
                _QueuedRequest(request.rank_ms, self._requests_count, pending),
            )
        self._assign_routes()

    def _waiting(self) -> list[_Pending]:
        """Return the queued requests without an answer."""
        waiting: dict[int, _Pending] = {}
        for queued in (*self._queue, *self._due_queue):
            pending = queued.pending
            if pending.is_queued and not pending.is_answered:
                waiting[id(pending)] = pending
        return list(waiting.values())

    def _assign_routes(self) -> None:
        for route in self._routes():
            if not self._queue and not self._due_queue:
                return
            if route not in self._busy_routes:
                self._assign_route(route)

    def _assign_route(self, route: ProcessId) -> None:
        if route == _LOCAL_ROUTE and self._port.is_busy:
            # Another process is calling the service through this one.
            self._busy_routes.add(route)
            self.spawn(self._retry_route_later(route))
            return
        pending = self._pop_pending()
        if pending is not None:
            pending.calls_count += 1
            self._calls_count += 1
            self._busy_routes.add(route)
            self.spawn(self._call_through(route, pending))

    def _routes(self) -> list[ProcessId]:
        """Return the routes in order of preference.

        Each process prefers itself and then the processes that follow it in
        the sorted ring of names, so that owners rarely use the same route.
        """
        ring = sorted(self._links.processes)
        later_processes = [name for name in ring if name > self._process]
        earlier_processes = [name for name in ring if name < self._process]
        return [_LOCAL_ROUTE, *later_processes, *earlier_processes]

    def _pop_pending(self) -> _Pending | None:
        """Return the request to handle next, `None` without any."""
        due = _pop_queued(self._due_queue, now_ms())
        return due or _pop_queued(self._queue, math.inf)

    async def _call_through(self, route: ProcessId, pending: _Pending) -> None:
        call = _Call(pending, await _choose_workers(pending))
        if not call.incarnations:
            self.mailbox.send(_RouteReleased(route, call, None))
            return
        watch = self.spawn(self._watch_call(route, call))
        try:
            await self._request_advice(route, call)
        except Exception:
            self.mailbox.send(_RouteReleased(route, call, None))
            raise
        finally:
            watch.cancel()

    async def _watch_call(self, route: ProcessId, call: _Call) -> None:
        await sleep_ms(call.overdue_ms)
        self.mailbox.send(_CallOverdue(route, call))

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
            call.pending.step,
            call.workers,
            self._timeout_ms,
        )
        if advice.tickets is not None:
            self.mailbox.send(_RouteReleased(route, call, advice.tickets))
            return
        self.mailbox.send(_CallDeclined(call))
        await self._retry_route_later(route)

    async def _call_service(self, call: _Call) -> _Tickets:
        call_result = await self._port.advise(
            call.pending.step, call.workers, self._timeout_ms
        )
        match call_result:
            case Success(tickets):
                return dict(tickets)
        return None


def _pop_queued(
    queue: list[_QueuedRequest], position_max_ms: float
) -> _Pending | None:
    """Return the first request of a queue up to a position.

    A request that has been answered, or has left the other queue, is skipped.
    """
    while queue and queue[0].position_ms <= position_max_ms:
        pending = heapq.heappop(queue).pending
        is_waiting = pending.is_queued and not pending.is_answered
        pending.is_queued = False
        if is_waiting:
            return pending
    return None


async def _choose_workers(pending: _Pending) -> _Incarnations:
    """Return the workers to name in a call, none if it is not wanted.

    The owner chooses them just before the call, since workers may end while a
    request is queued.
    """
    reply: Reply[_Incarnations] = Reply()
    pending.advice_request.owner.send(ChooseAdvisedWorkers(pending.step, reply))
    try:
        return await reply.wait(_CHOICE_TIMEOUT_MS)
    except TimeoutError:
        return {}
