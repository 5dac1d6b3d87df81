"""Makes calls to workers for the owners of pools in other processes.

It decides nothing: each call carries the epoch of its owner, and the time
until which the owner's lease permits it. The time is checked right before the
call is sent, so that a process that was paused sends no order late.
"""

import asyncio
from collections.abc import Awaitable, Callable
from contextlib import suppress
from dataclasses import dataclass, field
from typing import Any, Final

from returns.result import Failure

from fuchsiarill.actor import Reply, handles
from fuchsiarill.clock import MS_PER_SECOND, now_ms, sleep_ms
from fuchsiarill.cluster.spawning_actor import SpawningActor
from fuchsiarill.graphs.delivery_messages import (
    AgentAnswer,
    AgentCall,
    AgentResult,
    CollectedAnswers,
    SessionId,
)
from fuchsiarill.graphs.model import StartOrder
from fuchsiarill.graphs.settings import DeliverySettings
from fuchsiarill.ports.agents import (
    AgentAddress,
    AgentFailure,
    AgentPort,
    PaceOrder,
    RenewalOrder,
    StopOrder,
)
from fuchsiarill.registry import Registry

_TICK_INTERVAL_MS: Final = 1000
# Answers that arrive within this time of the first one share a message.
_BATCHING_MS: Final = 3

_MakeCall = Callable[
    [AgentPort, AgentAddress, Any, int], Awaitable[AgentResult]
]

AGENT_CALLS: Final[Registry[type, _MakeCall]] = Registry('calls to workers')


@dataclass(frozen=True, slots=True)
class DeliverCalls:
    """Request to make calls in a session, which is created if needed."""

    session: SessionId
    calls: tuple[AgentCall, ...]


@dataclass(frozen=True, slots=True)
class CollectAnswers:
    """Request for the answers of a session; waits up to `wait_ms` for one."""

    session: SessionId
    wait_ms: int
    reply: Reply[CollectedAnswers]


@dataclass(frozen=True, slots=True)
class _DropIdleSessions:
    """Periodic tick."""


@dataclass(slots=True)
class _Session:
    collected_ms: int
    answers: list[AgentAnswer] = field(default_factory=list)
    has_answers: asyncio.Event = field(default_factory=asyncio.Event)


class Deliverer(SpawningActor):
    """Owns the sessions of other processes and their uncollected answers."""

    def __init__(self, agents: AgentPort, settings: DeliverySettings) -> None:
        """Make the calls through `agents`."""
        super().__init__('deliverer')
        self._agents = agents
        self._settings = settings
        self._sessions: dict[SessionId, _Session] = {}

    def start(self) -> None:
        """Run the actor and its ticks."""
        super().start()
        self.tick_every(_TICK_INTERVAL_MS, _DropIdleSessions())

    def snapshot(self) -> dict[str, Any]:
        """Return the state for a dump."""
        return {
            **super().snapshot(),
            'uncollected_counts': {
                session_id: len(session.answers)
                for session_id, session in self._sessions.items()
            },
        }

    @handles(DeliverCalls)
    async def on_deliver(self, message: DeliverCalls) -> None:
        """Make each call in a task of its own."""
        session = self._sessions.setdefault(message.session, _Session(now_ms()))
        for call in message.calls:
            self.spawn(self._make_call(session, call))

    @handles(CollectAnswers)
    async def on_collect(self, message: CollectAnswers) -> None:
        """Wait for answers in a task of its own."""
        self.spawn(self._collect(message))

    @handles(_DropIdleSessions)
    async def on_drop_idle_sessions(self, message: _DropIdleSessions) -> None:
        """Drop the sessions of owners that collect no answers any more."""
        oldest_ms = now_ms() - self._settings.session_idle_ms
        for session_id, session in list(self._sessions.items()):
            if session.collected_ms < oldest_ms:
                self._sessions.pop(session_id)

    async def _make_call(self, session: _Session, call: AgentCall) -> None:
        if now_ms() > call.valid_until_ms:
            expired = Failure(AgentFailure.NOT_SENT)
            self._add_answer(session, AgentAnswer(call.number, expired))
            return
        make_call = AGENT_CALLS.lookup(type(call.order))
        # Unless the call returns, the worker may have executed it.
        outcome: AgentResult = Failure(AgentFailure.UNKNOWN)
        try:
            outcome = await make_call(
                self._agents, call.agent, call.order, call.timeout_ms
            )
        finally:
            self._add_answer(session, AgentAnswer(call.number, outcome))

    def _add_answer(self, session: _Session, answer: AgentAnswer) -> None:
        session.answers.append(answer)
        session.has_answers.set()

    async def _collect(self, message: CollectAnswers) -> None:
        session = self._sessions.get(message.session)
        if session is None:
            message.reply.answer(
                CollectedAnswers(now_ms(), is_known=False, answers=())
            )
            return
        session.collected_ms = now_ms()
        # An empty answer tells the owner that this process is alive.
        with suppress(TimeoutError):
            async with asyncio.timeout(message.wait_ms / MS_PER_SECOND):
                await session.has_answers.wait()
                await sleep_ms(_BATCHING_MS)
        answers = tuple(session.answers)
        session.answers.clear()
        session.has_answers.clear()
        message.reply.answer(
            CollectedAnswers(now_ms(), is_known=True, answers=answers)
        )


@AGENT_CALLS.register(StartOrder)
async def _start(
    agents: AgentPort, agent: AgentAddress, order: StartOrder, timeout_ms: int
) -> AgentResult:
    return await agents.start(agent, order, timeout_ms)


@AGENT_CALLS.register(StopOrder)
async def _stop(
    agents: AgentPort, agent: AgentAddress, order: StopOrder, timeout_ms: int
) -> AgentResult:
    return await agents.stop(agent, order, timeout_ms)


@AGENT_CALLS.register(PaceOrder)
async def _pace(
    agents: AgentPort, agent: AgentAddress, order: PaceOrder, timeout_ms: int
) -> AgentResult:
    return await agents.pace(agent, order, timeout_ms)


@AGENT_CALLS.register(RenewalOrder)
async def _renew(
    agents: AgentPort, agent: AgentAddress, order: RenewalOrder, timeout_ms: int
) -> AgentResult:
    return await agents.renew(agent, order, timeout_ms)
