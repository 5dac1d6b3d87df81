"""States of a connection of a client, and their time limits."""

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import Final

from fuchsiarill.connection_limits import ConnectionLimits
from fuchsiarill.reception.refusals import Limit
from fuchsiarill.registry import Registry
from fuchsiarill.state_chart import load_chart


class ClientState(Enum):
    """State of a connection; see `charts/reception.yaml`."""

    IDLE = 'idle'
    HEAD = 'head'
    BODY = 'body'
    SERVING = 'serving'
    SENDING = 'sending'
    SENDING_LAST = 'sending_last'
    LINGERING = 'lingering'
    CLOSED = 'closed'


class ClientEvent(Enum):
    """What happens to a connection."""

    BEGUN = 'begun'
    HEAD_READ = 'head_read'
    REQUEST_READ = 'request_read'
    ANSWERED = 'answered'
    ANSWERED_LAST = 'answered_last'
    SENT = 'sent'
    REFUSED = 'refused'
    ENDED = 'ended'


# No request has been handed on in these states, so that a refusal is true.
RECEIVING_STATES: Final = frozenset(
    (ClientState.IDLE, ClientState.HEAD, ClientState.BODY),
)
READING_STATES: Final = RECEIVING_STATES | {ClientState.LINGERING}
SENDING_STATES: Final = frozenset(
    (ClientState.SENDING, ClientState.SENDING_LAST),
)
CHART: Final = load_chart(
    'reception',
    ClientState,
    ClientEvent,
    ('serve', 'send', 'read_on', 'linger', 'close'),
)


@dataclass(frozen=True, slots=True)
class TimeLimit:
    """How long a connection may be in a state, and the limit it meets then."""

    limit: Limit
    duration_ms: int


_FindTimeLimit = Callable[[ConnectionLimits], TimeLimit]
TIME_LIMITS: Final[Registry[ClientState, _FindTimeLimit]] = Registry(
    'time limits by state of a connection',
)


@TIME_LIMITS.register(ClientState.IDLE)
def _limit_idle(limits: ConnectionLimits) -> TimeLimit:
    return TimeLimit(Limit.IDLE_TIME, limits.idle_ms)


@TIME_LIMITS.register(ClientState.HEAD)
def _limit_head(limits: ConnectionLimits) -> TimeLimit:
    return TimeLimit(Limit.HEAD_TIME, limits.head_ms)


@TIME_LIMITS.register(ClientState.BODY)
def _limit_body(limits: ConnectionLimits) -> TimeLimit:
    return TimeLimit(Limit.BODY_TIME, limits.body_ms)


@TIME_LIMITS.register(ClientState.SENDING)
@TIME_LIMITS.register(ClientState.SENDING_LAST)
def _limit_sending(limits: ConnectionLimits) -> TimeLimit:
    return TimeLimit(Limit.RESPONSE_TIME, limits.response_ms)


@TIME_LIMITS.register(ClientState.LINGERING)
def _limit_lingering(limits: ConnectionLimits) -> TimeLimit:
    return TimeLimit(Limit.LINGER, limits.linger_ms)
