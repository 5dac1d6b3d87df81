"""Base of the stand-ins: an actor with routes, faults and a control path.

Requests are POSTs of JSON. `POST /control` sets faults: each field of its
body names a registered control. It returns the state of the stand-in, so an
empty object reads the state without changing it.
"""

import asyncio
import json
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import Any, ClassVar, Final

from fuchsiarill.actor import Actor, Reply, handles
from fuchsiarill.registry import Registry

CONTROL_PATH: Final = '/control'


@dataclass(frozen=True, slots=True)
class StandInReply:
    """HTTP status and encoded JSON body; a lost reply is never sent."""

    status: int
    body: bytes
    is_lost: bool = False


@dataclass(frozen=True, slots=True)
class Call:
    """One request; the task of the connection waits for the reply."""

    path: str
    body: bytes
    reply: Reply[StandInReply]


@dataclass(frozen=True, slots=True)
class Faults:
    """Faults that the connections apply before a call is handled.

    While `is_down` is set, each call closes its connection without a reply.
    While `is_paused` is set, calls wait and are handled later. Each call is
    delayed by `slow_ms`. Connections with a serial number up to
    `last_silent_serial` read but never reply.
    """

    is_down: bool = False
    is_paused: bool = False
    slow_ms: int = 0
    last_silent_serial: int = 0


Route = Callable[[Any, Call], StandInReply | None]
Control = Callable[[Any, Any], None]


class StandIn(Actor):
    """Handles calls one at a time.

    A route returns the reply, or `None` when it keeps the call to reply
    later. Subclasses define `routes`, and `controls` besides the common ones.
    """

    routes: ClassVar[Registry[str, Route]]
    controls: ClassVar[Registry[str, Control]]

    def __init__(self, name: str) -> None:
        """Start without faults."""
        super().__init__(name)
        self.faults = Faults()
        self.resumed = asyncio.Event()
        self.resumed.set()
        self.connections_max: int | None = None
        self.connections_opened_count = 0
        self.calls_count: Counter[str] = Counter()

    @handles(Call)
    async def on_call(self, call: Call) -> None:
        """Handle one call; a malformed request gets status 400."""
        try:
            reply = self._dispatch(call)
        except (ValueError, KeyError, TypeError) as error:
            reply = json_reply({'problem': str(error)}, 400)
        if reply is not None:
            call.reply.answer(reply)

    def snapshot(self) -> dict[str, Any]:
        """Return the state that `POST /control` replies with."""
        return super().snapshot() | {
            'calls_count': dict(self.calls_count),
            'connections_opened_count': self.connections_opened_count,
        }

    def _dispatch(self, call: Call) -> StandInReply | None:
        if call.path == CONTROL_PATH:
            for name, setting in json.loads(call.body or b'{}').items():
                self._find_control(name)(self, setting)
            return json_reply(self.snapshot())
        if call.path not in self.routes:
            return json_reply({}, 404)
        self.calls_count[call.path.rpartition('/')[2]] += 1
        return self.routes.lookup(call.path)(self, call)

    def _find_control(self, name: str) -> Control:
        if name in COMMON_CONTROLS:
            return COMMON_CONTROLS.lookup(name)
        return self.controls.lookup(name)


COMMON_CONTROLS: Final[Registry[str, Control]] = Registry('common controls')


@COMMON_CONTROLS.register('down')
def _set_down(stand_in: StandIn, setting: bool) -> None:
    stand_in.faults = replace(stand_in.faults, is_down=setting)


@COMMON_CONTROLS.register('paused')
def _set_paused(stand_in: StandIn, setting: bool) -> None:
    stand_in.faults = replace(stand_in.faults, is_paused=setting)
    if setting:
        stand_in.resumed.clear()
    else:
        stand_in.resumed.set()


@COMMON_CONTROLS.register('slow_ms')
def _set_slow(stand_in: StandIn, setting: int) -> None:
    stand_in.faults = replace(stand_in.faults, slow_ms=setting)


@COMMON_CONTROLS.register('silence_open_connections')
def _silence(stand_in: StandIn, setting: bool) -> None:
    last_silent_serial = stand_in.connections_opened_count if setting else 0
    stand_in.faults = replace(
        stand_in.faults, last_silent_serial=last_silent_serial
    )


def json_reply(document: object, status: int = 200) -> StandInReply:
    """Return a reply with the document encoded as JSON."""
    return StandInReply(status, json.dumps(document).encode())
