"""The link to one other process: one connection, a deadline for each call.

A connection on which a call misses its deadline is closed and never used
again: even a late answer would not show that later calls are answered in time.
Calls run concurrently, and capnp matches answers to calls. A call that got no
answer and is safe to repeat is repeated once over another connection.
"""

import asyncio
from dataclasses import dataclass
from typing import Any, Final

import capnp
from returns.result import Failure, Result, Success

from fuchsiarill.actor import Reply, handles
from fuchsiarill.clock import MS_PER_SECOND
from fuchsiarill.cluster.job_encoding import SCHEMA
from fuchsiarill.cluster.peer_port import PeerFailure
from fuchsiarill.cluster.spawning_actor import SpawningActor
from fuchsiarill.settings import PeerSettings
from fuchsiarill.state_chart import load_chart
from fuchsiarill.states import ConnectionEvent, ConnectionState


@dataclass(frozen=True, slots=True)
class PeerCall:
    """Requests a call of a schema method; the reply holds the received struct.

    In each of at most two attempts, `timeout_ms` bounds the wait for a
    connection and, separately, the wait for the answer.
    """

    method: str
    request: dict[str, Any]
    timeout_ms: int
    reply: Reply[Result[Any, PeerFailure]]
    repeatable: bool = True


class Connection:
    """One connection, whose state follows the connection chart."""

    def __init__(self, address: str) -> None:
        """Start closed."""
        self.state = CONNECTION_CHART.initial
        self._address = address
        self.peer: Any = None
        self._stream: Any = None
        self._client: Any = None

    async def dial(self) -> None:
        """Connect; raises `OSError`.

        `bootstrap` is called once for each connection: calling it on a lost
        connection makes capnp abort the process when the result is dropped.
        """
        self.step(ConnectionEvent.DIALLED)
        host, _, port = self._address.rpartition(':')
        try:
            self._stream = await capnp.AsyncIoStream.create_connection(
                host=host,
                port=int(port),
            )
        except BaseException:
            self.step(ConnectionEvent.FAILED)
            raise
        self._client = capnp.TwoPartyClient(self._stream)
        self.peer = self._client.bootstrap().cast_as(SCHEMA.Peer)
        self.step(ConnectionEvent.CONNECTED)

    def step(self, event: ConnectionEvent) -> None:
        """Apply an event of the chart and run its actions."""
        transition = CONNECTION_CHART.step(self.state, event)
        if transition is None:
            return
        self.state = transition.target
        for action in transition.actions:
            CONNECTION_ACTIONS[action](self)

    def discard(self) -> None:
        """Close the sockets; calls in progress fail."""
        self._client.close()
        self._stream.close()


CONNECTION_ACTIONS: Final = {'discard': Connection.discard}
CONNECTION_CHART: Final = load_chart(
    'connection',
    ConnectionState,
    ConnectionEvent,
    CONNECTION_ACTIONS,
)


class PeerLink(SpawningActor):
    """Owns the connection to one address."""

    def __init__(self, address: str, settings: PeerSettings) -> None:
        """Create the link; it dials at the first call."""
        super().__init__(f'peer link {address}')
        self.address = address
        self._settings = settings
        self._connection: Connection | None = None
        self._dial_lock = asyncio.Lock()
        self._discarded_count = 0

    @handles(PeerCall)
    async def on_call(self, message: PeerCall) -> None:
        """Make a call concurrently with others, up to the limit."""
        if self.calls_count >= self._settings.calls_in_progress_max:
            message.reply.answer(Failure(PeerFailure.NOT_SENT))
            return
        self.spawn(self._execute(message))

    async def stop(self) -> None:
        """Cancel the calls in progress and close the connection.

        The callers learn that their calls have no answer.
        """
        await super().stop()
        if self._connection is not None:
            self._connection.step(ConnectionEvent.CLOSED)
            self._connection = None

    def snapshot(self) -> dict[str, Any]:
        """Return the state for a dump."""
        state = CONNECTION_CHART.initial
        if self._connection is not None:
            state = self._connection.state
        return {
            **super().snapshot(),
            'connection': state.value,
            'discarded_count': self._discarded_count,
        }

    async def _execute(self, call: PeerCall) -> None:
        answer: Result[Any, PeerFailure] = Failure(PeerFailure.NO_ANSWER)
        try:
            answer = await self._attempt(call)
            if call.repeatable and answer == Failure(PeerFailure.NO_ANSWER):
                answer = await self._attempt(call)
        finally:
            call.reply.answer(answer)

    async def _attempt(self, call: PeerCall) -> Result[Any, PeerFailure]:
        timeout_s = call.timeout_ms / MS_PER_SECOND
        try:
            async with asyncio.timeout(timeout_s):
                connection = await self._get_connection()
        except (OSError, TimeoutError):
            return Failure(PeerFailure.NOT_SENT)
        try:
            async with asyncio.timeout(timeout_s):
                method = getattr(connection.peer, call.method)
                return Success(await method(**call.request))
        except TimeoutError:
            self._discard(connection, ConnectionEvent.DEADLINE_MISSED)
        except capnp.KjException:
            self._discard(connection, ConnectionEvent.FAILED)
        return Failure(PeerFailure.NO_ANSWER)

    async def _get_connection(self) -> Connection:
        async with self._dial_lock:
            if self._connection is None:
                connection = Connection(self.address)
                await connection.dial()
                self._connection = connection
            return self._connection

    def _discard(self, connection: Connection, event: ConnectionEvent) -> None:
        """Close a connection, unless another call has done so."""
        connection.step(event)
        if self._connection is connection:
            self._connection = None
            self._discarded_count += 1
