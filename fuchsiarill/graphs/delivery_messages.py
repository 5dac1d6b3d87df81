"""Calls to workers that one process makes for the owner of their pool.

The owner decides; the delivering process holds the connections to workers. An
owner sends calls in batches and collects the answers of a session in batches.
"""

from dataclasses import dataclass
from typing import Any, NewType

from returns.result import Result

from fuchsiarill.graphs.model import StartOrder
from fuchsiarill.ports.agents import (
    AgentAddress,
    AgentFailure,
    PaceOrder,
    RenewalOrder,
    StopOrder,
)

# One period in which a process delivers for another one.
SessionId = NewType('SessionId', str)
# Number of a call within its session.
CallNumber = NewType('CallNumber', int)

AgentOrder = StartOrder | StopOrder | PaceOrder | RenewalOrder
# A `WorkerReport` for a renewal, else the worker's clock in ms.
AgentResult = Result[Any, AgentFailure]


@dataclass(frozen=True, slots=True)
class AgentCall:
    """A call to a worker.

    It is not sent after `valid_until_ms`, by the clock of the process that
    makes it.
    """

    number: CallNumber
    agent: AgentAddress
    order: AgentOrder
    valid_until_ms: int
    timeout_ms: int


@dataclass(frozen=True, slots=True)
class AgentAnswer:
    """Outcome of the call with the same number."""

    number: CallNumber
    outcome: AgentResult


@dataclass(frozen=True, slots=True)
class CollectedAnswers:
    """Answers of a session; `clock_ms` is the time of the delivering process.

    An unknown session has no answers: the process has restarted, or has
    dropped a session whose answers were not collected in time.
    """

    clock_ms: int
    is_known: bool
    answers: tuple[AgentAnswer, ...]
