"""Agents that are called through other processes where one delivers.

Implements the same port as the direct client, so that an owner does not
depend on who makes a call.
"""

from collections.abc import Awaitable, Callable
from functools import partial
from typing import Final

from returns.result import Failure, Result

from fuchsiarill.actor import Reply
from fuchsiarill.clock import now_ms
from fuchsiarill.graphs.agent_dispatch import AgentDispatch
from fuchsiarill.graphs.delivery_messages import AgentOrder, AgentResult
from fuchsiarill.graphs.delivery_route import SubmitCall
from fuchsiarill.graphs.model import StartOrder, WorkerReport
from fuchsiarill.graphs.settings import DeliverySettings
from fuchsiarill.ports.agents import (
    AgentAddress,
    AgentFailure,
    AgentPort,
    PaceOrder,
    RenewalOrder,
    StopOrder,
)

# The answer of a worker travels back in a batch, and an owner with much to do
# reads it late.
_ANSWER_MARGIN_MS: Final = 700
# After these failures the worker is called in another way for some time.
_UNREACHED_FAILURES: Final = frozenset(
    (
        AgentFailure.UNKNOWN,
        AgentFailure.NOT_SENT,
        AgentFailure.CONNECTION_REFUSED,
    ),
)

_CallDirect = Callable[[], Awaitable[AgentResult]]


class DeliveredAgents:
    """Calls agents through the routes of a dispatch, or directly."""

    def __init__(
        self,
        agents: AgentPort,
        dispatch: AgentDispatch,
        settings: DeliverySettings,
    ) -> None:
        """Call through `agents` where `dispatch` has no open route."""
        self._agents = agents
        self._dispatch = dispatch
        self._settings = settings

    async def start(
        self, agent: AgentAddress, order: StartOrder, timeout_ms: int
    ) -> Result[int, AgentFailure]:
        """Start a run; returns the worker's clock in ms."""
        call_direct = partial(self._agents.start, agent, order, timeout_ms)
        return await self._call(agent, order, timeout_ms, call_direct)

    async def stop(
        self, agent: AgentAddress, order: StopOrder, timeout_ms: int
    ) -> Result[int, AgentFailure]:
        """Stop a run; returns the worker's clock in ms."""
        call_direct = partial(self._agents.stop, agent, order, timeout_ms)
        return await self._call(agent, order, timeout_ms, call_direct)

    async def pace(
        self, agent: AgentAddress, order: PaceOrder, timeout_ms: int
    ) -> Result[int, AgentFailure]:
        """Limit the speed of a run; returns the worker's clock in ms."""
        call_direct = partial(self._agents.pace, agent, order, timeout_ms)
        return await self._call(agent, order, timeout_ms, call_direct)

    async def renew(
        self, agent: AgentAddress, order: RenewalOrder, timeout_ms: int
    ) -> Result[WorkerReport, AgentFailure]:
        """Request a report; renews the task leases if `expiry_ms` is set."""
        call_direct = partial(self._agents.renew, agent, order, timeout_ms)
        return await self._call(
            agent, order, timeout_ms, call_direct, order.wait_ms
        )

    async def _call(
        self,
        agent: AgentAddress,
        order: AgentOrder,
        timeout_ms: int,
        call_direct: _CallDirect,
        wait_ms: int = 0,
    ) -> AgentResult:
        """Make one call; it is never made in two ways."""
        route = self._dispatch.find_route(agent.worker)
        if route is None:
            return await call_direct()
        reply: Reply[AgentResult] = Reply()
        submitted = SubmitCall(
            agent,
            order,
            now_ms() + self._settings.order_validity_ms,
            timeout_ms,
            reply,
        )
        outcome: AgentResult = Failure(AgentFailure.NOT_SENT)
        if route.mailbox.send(submitted):
            outcome = await _wait_for(
                reply, timeout_ms + wait_ms + _ANSWER_MARGIN_MS
            )
        if isinstance(outcome, Failure):
            if outcome.failure() in _UNREACHED_FAILURES:
                self._dispatch.avoid(agent.worker, route.process)
        return outcome


async def _wait_for(reply: Reply[AgentResult], timeout_ms: int) -> AgentResult:
    try:
        return await reply.wait(timeout_ms)
    except TimeoutError:
        return Failure(AgentFailure.UNKNOWN)
