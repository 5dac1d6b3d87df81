"""Calls between processes: real encoding and server, simulated transport."""

from typing import Any, Protocol

from returns.result import Failure, Result, Success

from fuchsiarill.actor import Mailbox, Reply
from fuchsiarill.cluster.peer_port import PeerFailure
from fuchsiarill.cluster.peers import RpcPeers
from fuchsiarill.ports.http_client import CallFailure
from fuchsiarill.replay.network import Endpoint, Network
from fuchsiarill.settings import PeerSettings


class Struct:
    """A received capnp struct; absent fields read as empty text."""

    def __init__(self, fields: dict[str, Any]) -> None:
        """Wrap the fields that the encoding wrote."""
        self._fields = fields

    def __getattr__(self, name: str) -> Any:
        return as_received(self._fields.get(name, ''))


def as_received(field: Any) -> Any:
    """Return a field as the receiver of a struct reads it."""
    if isinstance(field, dict):
        return Struct(field)
    if isinstance(field, list):
        return [as_received(element) for element in field]
    return field


class CallContext:
    """Call context in which a peer server sets the results of a call."""

    def __init__(self) -> None:
        """Create empty results; attributes set on `results` become fields."""
        self.fields: dict[str, Any] = {}
        self.results = _Results(self.fields)


class _Results:
    """Stores each attribute that is set as a field of the answer."""

    _fields: dict[str, Any]

    def __init__(self, fields: dict[str, Any]) -> None:
        object.__setattr__(self, '_fields', fields)

    def __setattr__(self, name: str, written: Any) -> None:
        self._fields[name] = written


class Listener(Protocol):
    """A process that accepts calls of other processes."""

    endpoint: Endpoint

    def serve(
        self,
        method: str,
        request: dict[str, Any],
        reply: Reply[Any],
    ) -> bool:
        """Run a method of the peer server and answer with its results."""


class PeerCalls(RpcPeers):
    """Calls other processes, which `listeners` maps by address."""

    def __init__(
        self,
        settings: PeerSettings,
        network: Network,
        source: Endpoint,
        listeners: dict[str, Listener],
    ) -> None:
        """Call from `source`; the mailbox of the link actor is unused."""
        super().__init__(Mailbox(), settings)
        self._call_timeout_ms = settings.call_timeout_ms
        self._network = network
        self._source = source
        self._listeners = listeners

    async def call(
        self,
        address: str,
        method: str,
        request: dict[str, Any],
        wait_ms: int = 0,
        repeatable: bool = True,
    ) -> Result[Any, PeerFailure]:
        """Call a method of the schema; `wait_ms` extends the time-out."""
        listener = self._listeners.get(address)
        if listener is None:
            return Failure(PeerFailure.NOT_SENT)
        answer = await self._network.call(
            self._source,
            listener.endpoint,
            lambda reply: listener.serve(method, request, reply),
            self._call_timeout_ms + wait_ms,
        )
        match answer:
            case Success(fields):
                return Success(as_received(fields))
            case Failure(CallFailure.NOT_SENT):
                return Failure(PeerFailure.NOT_SENT)
            case _:
                return Failure(PeerFailure.NO_ANSWER)
