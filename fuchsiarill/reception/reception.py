"""The task that owns the connections of a listener.

It accepts connections, reads requests within the limits, hands each complete
request to cheroot's worker threads, and sends what a worker could not send at
once. It runs in the thread of the server and takes the place of cheroot's
`ConnectionManager`. Worker threads hand connections back through a queue.
"""

import selectors
import socket
from collections import deque
from collections.abc import Callable
from contextlib import suppress
from functools import partial
from threading import Event
from typing import Any, Final

from fuchsiarill.clock import MS_PER_SECOND
from fuchsiarill.connection_limits import ConnectionLimits
from fuchsiarill.reception.accepting import (
    Acceptor,
    free_descriptors_count,
    move_down,
)
from fuchsiarill.reception.connection import ClientConnection
from fuchsiarill.reception.last_responses import send_last
from fuchsiarill.reception.observation import ReceptionObserver, monotonic_ms
from fuchsiarill.reception.places import Places
from fuchsiarill.reception.refusals import Limit, RefusedError, encode_refusal
from fuchsiarill.reception.request_reader import RequestReader
from fuchsiarill.reception.states import (
    CHART,
    READING_STATES,
    RECEIVING_STATES,
    SENDING_STATES,
    TIME_LIMITS,
    ClientEvent,
    ClientState,
)
from fuchsiarill.reception.waker import Waker
from fuchsiarill.registry import Registry

_READ_MAX_BYTES: Final = 65_536
# Interval of the checks of time limits, and the pause after a failure to
# accept.
_SWEEP_INTERVAL_MS: Final = 100
_CONSENT: Final = b'HTTP/1.1 100 Continue\r\n\r\n'
_Action = Callable[['Reception', ClientConnection], None]
ACTIONS: Final[Registry[str, _Action]] = Registry('actions of a reception')


class Reception:
    """Connections of one listener."""

    def __init__(
        self,
        http_server: Any,
        find_limits: Callable[[], ConnectionLimits],
        connections_max_count: int,
        observer: ReceptionObserver,
    ) -> None:
        """Own the listening socket of `http_server`."""
        self.server = http_server
        self.places: Places[ClientConnection] = Places(
            find_limits(), connections_max_count
        )
        self._find_limits = find_limits
        self._observer = observer
        self._returned: deque[tuple[ClientConnection, ClientEvent]] = deque()
        self._selector = selectors.DefaultSelector()
        self._waker = Waker(self._selector, self._take_back)
        self._acceptor = Acceptor(
            http_server.socket,
            self._selector,
            self._admit,
            self._handle_shortage,
        )
        self._acceptor.resume()
        self._is_stopping = False
        self._is_closed = False
        self._has_stopped = Event()
        self._has_stopped.set()
        self._swept_at_ms = 0

    @property
    def can_add_keepalive_connection(self) -> bool:
        """Return whether a connection may stay open after its response."""
        return not self.places.is_full

    def put(self, connection: ClientConnection) -> None:
        """Take back a connection that stays open; for worker threads."""
        self.take_back(connection, ClientEvent.ANSWERED)

    def take_back(
        self, connection: ClientConnection, event: ClientEvent
    ) -> None:
        """Take back a connection after its response; for worker threads."""
        # Most clients take the response at once; otherwise it is sent later.
        with suppress(OSError):
            connection.send_some()
        self._returned.append((connection, event))
        if self._is_closed:
            self._close_returned()
            return
        self._waker.wake()

    def run(self, expiration_interval_s: float) -> None:
        """Serve until `stop` is called."""
        self._has_stopped.clear()
        try:
            while not self._is_stopping:
                self._turn(expiration_interval_s)
        finally:
            self._has_stopped.set()

    def stop(self) -> None:
        """Make `run` return, and wait until it has."""
        self._is_stopping = True
        self._waker.wake()
        self._has_stopped.wait()

    def close(self) -> None:
        """Close all connections, those in use after their responses."""
        self._is_closed = True
        self._close_returned()
        sending = []
        for connection in self.places:
            if connection.state in SENDING_STATES:
                sending.append(connection)
            elif connection.state is not ClientState.SERVING:
                connection.close_socket()
        send_last(sending)
        self._selector.close()
        self._waker.close()

    def step(self, connection: ClientConnection, event: ClientEvent) -> None:
        """Change the state of a connection and do what its chart says."""
        transition = CHART.step(connection.state, event)
        if transition is None:
            return
        connection.state = transition.target
        connection.since_ms = monotonic_ms()
        for action in transition.actions:
            ACTIONS.lookup(action)(self, connection)

    def watch(self, connection: ClientConnection, awaited: int) -> None:
        """Wait for these events of the selector, for none if 0."""
        if connection.awaited == awaited:
            return
        client_socket = connection.socket
        if awaited and connection.awaited:
            self._selector.modify(client_socket, awaited, connection)
        elif awaited:
            self._selector.register(client_socket, awaited, connection)
        else:
            self._selector.unregister(client_socket)
        connection.awaited = awaited

    def read(self, connection: ClientConnection, received: bytes) -> None:
        """Read what a client has sent, and serve a complete request."""
        reader = connection.reader
        try:
            reader.feed(received)
        except RefusedError as error:
            self.refuse(connection, error.limit, error.problem)
            return
        self.places.count(connection, connection.held_bytes)
        self._free_memory()
        if connection.state is ClientState.CLOSED:
            return
        if reader.is_complete:
            self.step(connection, ClientEvent.REQUEST_READ)
            return
        if reader.head is not None:
            self._await_body(connection)
        elif reader.is_begun:
            self.step(connection, ClientEvent.BEGUN)
        self.watch(connection, selectors.EVENT_READ)

    def refuse(
        self, connection: ClientConnection, limit: Limit, problem: str
    ) -> None:
        """Refuse what a client sends, and end the connection.

        After a request was handed on, the connection ends without a refusal.
        """
        self._observer.count_refusal(limit, problem, connection.address)
        if connection.state not in RECEIVING_STATES or not encode_refusal(
            limit
        ):
            self.step(connection, ClientEvent.ENDED)
            return
        connection.reader.drop()
        connection.wfile.write(encode_refusal(limit))
        self.step(connection, ClientEvent.REFUSED)

    def _turn(self, timeout_s: float) -> None:
        if self._acceptor.is_paused:
            timeout_s = _SWEEP_INTERVAL_MS / MS_PER_SECOND
        for key, _ in self._selector.select(timeout_s):
            if isinstance(key.data, ClientConnection):
                self._handle_ready(key.data)
            else:
                key.data()
        now_ms = monotonic_ms()
        if now_ms - self._swept_at_ms < _SWEEP_INTERVAL_MS:
            return
        self._swept_at_ms = now_ms
        self._acceptor.resume()
        self._expire(now_ms)
        self._observer.show(len(self.places), self.places.held_bytes)

    def _handle_ready(self, connection: ClientConnection) -> None:
        if connection.state in READING_STATES:
            self._guard(connection, self._receive)
        elif connection.state in SENDING_STATES:
            self._guard(connection, partial(_send, self))

    def _guard(
        self,
        connection: ClientConnection,
        handle: Callable[[ClientConnection], None],
    ) -> None:
        """End the connection when `handle` fails, so that others go on."""
        try:
            handle(connection)
        except OSError:
            self.step(connection, ClientEvent.ENDED)
        except Exception as error:
            self._observer.log_failure(repr(error))
            self.step(connection, ClientEvent.ENDED)

    def _receive(self, connection: ClientConnection) -> None:
        try:
            received = connection.socket.recv(_READ_MAX_BYTES)
        except BlockingIOError:
            self.watch(connection, selectors.EVENT_READ)
            return
        if not received:
            self.step(connection, ClientEvent.ENDED)
            return
        if connection.state is not ClientState.LINGERING:
            self.read(connection, received)
            return
        connection.lingered_bytes += len(received)
        if (
            connection.lingered_bytes
            > connection.reader.limits.linger_max_bytes
        ):
            self.step(connection, ClientEvent.ENDED)

    def _await_body(self, connection: ClientConnection) -> None:
        if connection.state is ClientState.BODY:
            return
        head = connection.reader.head
        if head is not None and head.waits_for_consent:
            connection.wfile.write(_CONSENT)
            connection.send_some()
        self.step(connection, ClientEvent.HEAD_READ)

    def _admit(self, client_socket: socket.socket, address: str) -> None:
        limit = self.places.limit_met_by(
            address, free_descriptors_count(client_socket)
        )
        if limit is not None and not self._make_place(limit, address):
            self._observer.count_refusal(limit, 'no place', address)
            with suppress(OSError):
                client_socket.send(encode_refusal(limit), socket.MSG_DONTWAIT)
            client_socket.close()
            return
        if limit is Limit.DESCRIPTORS:
            client_socket = move_down(client_socket)
        client_socket.setblocking(False)
        connection = ClientConnection(
            self.server,
            client_socket,
            address,
            RequestReader(self._find_limits),
        )
        connection.since_ms = monotonic_ms()
        self.places.add(connection)
        self._handle_ready(connection)

    def _make_place(self, limit: Limit, address: str) -> bool:
        """Close the connection that has waited longest, if there is one."""
        longest_waiting = self.places.longest_waiting(limit, address)
        if longest_waiting is None:
            return False
        self._drop(longest_waiting, limit)
        return True

    def _drop(self, connection: ClientConnection, limit: Limit) -> None:
        """Close a connection at once; a request in part is refused."""
        self._observer.count_refusal(limit, 'dropped', connection.address)
        if connection.state in RECEIVING_STATES and connection.reader.is_begun:
            connection.wfile.write(encode_refusal(limit))
            with suppress(OSError):
                connection.send_some()
        self.step(connection, ClientEvent.ENDED)

    def _free_memory(self) -> None:
        while self.places.is_memory_short:
            largest = self.places.largest()
            if largest is None:
                return
            self._drop(largest, Limit.MEMORY)

    def _handle_shortage(self, problem: str) -> None:
        self._observer.count_refusal(Limit.DESCRIPTORS, problem, '')
        self._make_place(Limit.DESCRIPTORS, '')

    def _take_back(self) -> None:
        self._waker.reset()
        while self._returned:
            connection, event = self._returned.popleft()
            connection.unload_request()
            self._guard(connection, partial(self.step, event=event))
        self._free_memory()

    def _expire(self, now_ms: int) -> None:
        limits = self._find_limits()
        time_limits = {
            state: TIME_LIMITS.lookup(state)(limits) for state in TIME_LIMITS
        }
        for connection in self.places:
            time_limit = time_limits.get(connection.state)
            if time_limit is None:
                continue
            if now_ms - connection.since_ms < time_limit.duration_ms:
                continue
            if time_limit.limit in {Limit.IDLE_TIME, Limit.LINGER}:
                self.step(connection, ClientEvent.ENDED)
                continue
            refuse = partial(
                self.refuse, limit=time_limit.limit, problem='too slow'
            )
            self._guard(connection, refuse)

    def _close_returned(self) -> None:
        while self._returned:
            self._returned.popleft()[0].close_after_response()


@ACTIONS.register('serve')
def _serve(reception: Reception, connection: ClientConnection) -> None:
    reception.watch(connection, 0)
    connection.load_request()
    reception.places.count(connection, connection.held_bytes)
    reception.server.requests.put(connection)


@ACTIONS.register('send')
def _send(reception: Reception, connection: ClientConnection) -> None:
    try:
        is_sent = connection.send_some()
    except OSError:
        reception.step(connection, ClientEvent.ENDED)
        return
    reception.places.count(connection, connection.held_bytes)
    if is_sent:
        reception.step(connection, ClientEvent.SENT)
    else:
        reception.watch(connection, selectors.EVENT_WRITE)


@ACTIONS.register('read_on')
def _read_on(reception: Reception, connection: ClientConnection) -> None:
    reception.read(connection, b'')


@ACTIONS.register('linger')
def _linger(reception: Reception, connection: ClientConnection) -> None:
    """Close, but let a client that goes on sending read the response first.

    A client that pipelines may send its next request before it has read that
    this response is the last; a reset would then destroy the response.
    """
    connection.reader.drop()
    try:
        has_ended = not connection.socket.recv(_READ_MAX_BYTES)
    except BlockingIOError:
        has_ended = False
    if has_ended:
        reception.step(connection, ClientEvent.ENDED)
        return
    with suppress(OSError):
        connection.socket.shutdown(socket.SHUT_WR)
    reception.watch(connection, selectors.EVENT_READ)


@ACTIONS.register('close')
def _close(reception: Reception, connection: ClientConnection) -> None:
    reception.watch(connection, 0)
    reception.places.remove(connection)
    connection.close_socket()
