"""Route of an owner to workers through one other process.

The route sends calls in batches and collects their answers. Its state follows
the delivery route chart. A call whose batch was not sent fails as not sent;
any other call without an answer has an unknown outcome.
"""

import time
from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import Any, Final

from returns.result import Failure, Result

from fuchsiarill import events
from fuchsiarill.actor import Reply, handles
from fuchsiarill.clock import now_ms
from fuchsiarill.cluster.peer_port import PeerFailure
from fuchsiarill.cluster.spawning_actor import SpawningActor
from fuchsiarill.graphs.delivery_encoding import decode_collected, encode_call
from fuchsiarill.graphs.delivery_messages import (
    AgentAnswer,
    AgentCall,
    AgentOrder,
    AgentResult,
    CallNumber,
    CollectedAnswers,
    SessionId,
)
from fuchsiarill.graphs.peer_links import PeerLinks
from fuchsiarill.graphs.settings import DeliverySettings
from fuchsiarill.graphs.states import RouteEvent, RouteState
from fuchsiarill.ids import ProcessId
from fuchsiarill.ports.agents import AgentAddress, AgentFailure
from fuchsiarill.registry import Registry
from fuchsiarill.state_chart import load_chart

_NOT_SENT: Final = Failure(AgentFailure.NOT_SENT)
_UNANSWERED: Final = Failure(AgentFailure.UNKNOWN)

_Action = Callable[['DeliveryRoute', str], None]

ROUTE_ACTIONS: Final[Registry[str, _Action]] = Registry('route actions')


@dataclass(frozen=True, slots=True)
class SubmitCall:
    """Request to call a worker."""

    agent: AgentAddress
    order: AgentOrder
    # By the clock of this process; the call is not sent later.
    valid_until_ms: int
    timeout_ms: int
    reply: Reply[AgentResult]


@dataclass(frozen=True, slots=True)
class OpenRoute:
    """Request to open the route, if it is closed."""


@dataclass(frozen=True, slots=True)
class _SendBatch:
    """Request to send the calls that were queued before this message."""


@dataclass(frozen=True, slots=True)
class _BatchEnded:
    session: SessionId
    calls: tuple[AgentCall, ...]
    outcome: Result[Any, PeerFailure]


@dataclass(frozen=True, slots=True)
class _Collected:
    session: SessionId
    outcome: Result[Any, PeerFailure]


class DeliveryRoute(SpawningActor):
    """Owns the session with one process and the calls without an answer."""

    def __init__(
        self, process: ProcessId, links: PeerLinks, settings: DeliverySettings
    ) -> None:
        """Create the route; the first call that is submitted opens it."""
        super().__init__(f'delivery route {process}')
        self.process = process
        self.state = _CHART.initial
        self._links = links
        self._settings = settings
        self._session = SessionId('')
        # Clock of the process minus the runtime clock. The delay of the answer
        # makes it too low, so that orders expire early rather than late.
        self._clock_offset_ms = 0
        self._calls_count = 0
        self._queued: list[AgentCall] = []
        self._replies: dict[CallNumber, Reply[AgentResult]] = {}

    async def stop(self) -> None:
        """Answer the calls in progress as unanswered, then stop."""
        self.fail_calls()
        await super().stop()

    def snapshot(self) -> dict[str, Any]:
        """Return the state for a dump."""
        return {
            **super().snapshot(),
            'state': self.state.value,
            'session': self._session,
            'unanswered_count': len(self._replies),
        }

    @handles(OpenRoute)
    async def on_open(self, message: OpenRoute) -> None:
        """Open a session, unless there is one."""
        self._apply_event(RouteEvent.WANTED)

    @handles(SubmitCall)
    async def on_submit(self, message: SubmitCall) -> None:
        """Queue a call for the next batch; refuse it while not open."""
        if self.state is not RouteState.OPEN:
            message.reply.answer(_NOT_SENT)
            return
        self._calls_count += 1
        number = CallNumber(self._calls_count)
        self._replies[number] = message.reply
        if not self._queued:
            self.mailbox.send(_SendBatch())
        self._queued.append(
            AgentCall(
                number,
                message.agent,
                message.order,
                message.valid_until_ms,
                message.timeout_ms,
            )
        )

    @handles(_SendBatch)
    async def on_send_batch(self, message: _SendBatch) -> None:
        """Send the queued calls in a task of its own."""
        calls = tuple(self._queued)
        self._queued.clear()
        if calls:
            self.spawn(self._send_batch(self._session, calls))

    @handles(_BatchEnded)
    async def on_batch_ended(self, message: _BatchEnded) -> None:
        """Confirm the session, or fail the route.

        Calls that were certainly not sent may be made in another way.
        """
        if message.session != self._session:
            return
        if message.outcome == Failure(PeerFailure.NOT_SENT):
            for call in message.calls:
                self._answer(AgentAnswer(call.number, _NOT_SENT))
        if isinstance(message.outcome, Failure):
            self._fail(message.outcome.failure().value)
            return
        self._update_clock(message.outcome.unwrap().clockMs)
        self._apply_event(RouteEvent.CONFIRMED)

    @handles(_Collected)
    async def on_collected(self, message: _Collected) -> None:
        """Forward answers and collect the next ones."""
        if message.session != self._session:
            return
        if isinstance(message.outcome, Failure):
            self._fail(message.outcome.failure().value)
            return
        try:
            collected = decode_collected(message.outcome.unwrap())
        except ValueError as error:
            self._fail(f'an answer cannot be read: {error}')
            return
        self._apply_collected(collected)

    def open_session(self) -> None:
        """Open a session by an empty batch, which also reads the clock."""
        self._session = SessionId(f'{self.process}/{time.time_ns():x}')
        self.spawn(self._send_batch(self._session, ()))

    def collect(self) -> None:
        """Collect answers in a task of its own."""
        self.spawn(self._collect(self._session))

    def fail_calls(self) -> None:
        """Answer all calls in progress as unanswered."""
        replies = tuple(self._replies.items())
        self._replies.clear()
        unsent = {call.number for call in self._queued}
        self._queued.clear()
        for number, reply in replies:
            reply.answer(_NOT_SENT if number in unsent else _UNANSWERED)

    def log_lost(self, reason: str) -> None:
        """Log that the process does not deliver any more."""
        events.emit(
            events.DELIVERY_LOST,
            process=self.process,
            reason=reason,
            calls=len(self._replies),
        )

    def log_opened(self) -> None:
        """Log that the process delivers."""
        events.emit(events.DELIVERY_OPENED, process=self.process)

    def _apply_collected(self, collected: CollectedAnswers) -> None:
        self._update_clock(collected.clock_ms)
        for answer in collected.answers:
            self._answer(answer)
        if not collected.is_known:
            self._fail('the session is unknown')
            return
        self.collect()

    def _answer(self, answer: AgentAnswer) -> None:
        reply = self._replies.pop(answer.number, None)
        if reply is not None:
            reply.answer(answer.outcome)

    def _fail(self, reason: str) -> None:
        self._apply_event(RouteEvent.FAILED, reason)

    def _apply_event(self, event: RouteEvent, reason: str = '') -> None:
        transition = _CHART.step(self.state, event)
        if transition is None:
            return
        self.state = transition.target
        for action in transition.actions:
            ROUTE_ACTIONS.lookup(action)(self, reason)

    def _update_clock(self, clock_ms: int) -> None:
        self._clock_offset_ms = clock_ms - now_ms()

    async def _send_batch(
        self, session: SessionId, calls: tuple[AgentCall, ...]
    ) -> None:
        rows = [encode_call(self._with_remote_clock(call)) for call in calls]
        outcome = await self._links.call(
            self.process,
            'deliver',
            {'session': session, 'calls': rows},
            self._settings.batch_timeout_ms,
        )
        self.mailbox.send(_BatchEnded(session, calls, outcome))

    def _with_remote_clock(self, call: AgentCall) -> AgentCall:
        return replace(
            call,
            valid_until_ms=call.valid_until_ms + self._clock_offset_ms,
        )

    async def _collect(self, session: SessionId) -> None:
        wait_ms = self._settings.collect_wait_ms
        outcome = await self._links.call(
            self.process,
            'collectAnswers',
            {'session': session, 'waitMs': wait_ms},
            wait_ms + self._settings.batch_timeout_ms,
        )
        self.mailbox.send(_Collected(session, outcome))


@ROUTE_ACTIONS.register('open_session')
def _open_session(route: DeliveryRoute, reason: str) -> None:
    route.open_session()


@ROUTE_ACTIONS.register('collect')
def _collect(route: DeliveryRoute, reason: str) -> None:
    route.log_opened()
    route.collect()


@ROUTE_ACTIONS.register('fail_calls')
def _fail_calls(route: DeliveryRoute, reason: str) -> None:
    route.log_lost(reason)
    route.fail_calls()


_CHART: Final = load_chart(
    'delivery_route', RouteState, RouteEvent, ROUTE_ACTIONS
)
