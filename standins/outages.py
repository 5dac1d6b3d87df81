"""How calls to a crashed worker fail until its next incarnation starts."""

from collections.abc import Awaitable, Callable
from enum import Enum
from typing import Final

from fuchsiarill.clock import sleep_ms
from fuchsiarill.ports.agents import AgentFailure
from fuchsiarill.registry import Registry


class Outage(Enum):
    """Behaviour of a crashed worker's port."""

    # Calls are not answered.
    SILENT = 'silent'
    # Connections are refused.
    REFUSED = 'refused'


# The argument is the time-out of the call in ms.
_FailingCall = Callable[[int], Awaitable[AgentFailure]]

OUTAGES: Final[Registry[Outage, _FailingCall]] = Registry('outages')


@OUTAGES.register(Outage.SILENT)
async def _time_out(timeout_ms: int) -> AgentFailure:
    await sleep_ms(timeout_ms)
    return AgentFailure.UNKNOWN


@OUTAGES.register(Outage.REFUSED)
async def _refuse(timeout_ms: int) -> AgentFailure:
    return AgentFailure.CONNECTION_REFUSED
