"""Crowds of clients that use a listener beyond its limits.

A crowd is fixed: its number of connections, and how many bytes each of them
sends at most. The connections stay open until the crowd is left; those that
the server has not closed go on sending a byte every half second, so that no
read of the server times out.
"""

import contextlib
import itertools
import socket
import threading
import time
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from typing import Final, Self

from fuchsiarill.registry import Registry
from tools.platform_cell import Daemon

FLOODS_COUNT: Final = 16
FLOOD_MAX_BYTES: Final = 4_000_000
_PIECE: Final = 65_536
_DRIP_INTERVAL_S: Final = 0.5
_CONNECT_TIMEOUT_S: Final = 2.0

_LINE: Final = b'POST /quotes/crowd HTTP/1.1\r\n'
_HEAD: Final = b'%sHost: quotes.example\r\n' % _LINE
_CHUNKED: Final = b'%sTransfer-Encoding: chunked\r\n\r\n' % _HEAD
_WAITING: Final = b'%sContent-Length: 200000\r\n\r\n' % _HEAD
_QUERY: Final = b'GET /quotes/crowd HTTP/1.1\r\nHost: quotes.example\r\n\r\n'
_METRICS_QUERY: Final = b'GET /metrics HTTP/1.1\r\nHost: h\r\n\r\n'


@dataclass(frozen=True, slots=True)
class Crowd:
    """What each connection sends: the start, then the pieces."""

    start: bytes = b''
    pieces: Callable[[], Iterator[bytes]] = lambda: itertools.repeat(b'')
    connections_count: int = FLOODS_COUNT
    # Bytes that are sent while the server accepts them.
    sent_max_bytes: int = FLOOD_MAX_BYTES
    drip: bytes = b'a'
    # Size of the receive buffer, which holds the responses, as no client reads
    # them; 0 stands for that of the system.
    receive_buffer_bytes: int = 0
    # Field of `tools.platform_cell.Daemon` that has the port.
    listener: str = 'callers'
    # A client that closes its connection at once and opens a new one.
    is_leaving: bool = False


_Define = Callable[[], Crowd]
CROWDS: Final[Registry[str, _Define]] = Registry('crowds by name')


def _repeated(piece: bytes) -> Callable[[], Iterator[bytes]]:
    return lambda: itertools.repeat(piece)


@CROWDS.register('trailer_without_end')
def _trailer_without_end() -> Crowd:
    start = b'%s5\r\nhello\r\n0\r\nX-Trailer: ' % _CHUNKED
    return Crowd(start, _repeated(b'a' * _PIECE))


@CROWDS.register('trailers_without_end')
def _trailers_without_end() -> Crowd:
    start = b'%s5\r\nhello\r\n0\r\n' % _CHUNKED
    return Crowd(start, _numbered_lines, drip=b'X: y\r\n')


@CROWDS.register('chunks_without_end')
def _chunks_without_end() -> Crowd:
    chunk = b'%x\r\n%s\r\n' % (_PIECE, b'a' * _PIECE)
    return Crowd(_CHUNKED, _repeated(chunk), drip=b'1\r\na\r\n')


@CROWDS.register('chunk_extension_without_end')
def _chunk_extension_without_end() -> Crowd:
    return Crowd(b'%s5;' % _CHUNKED, _repeated(b'a' * _PIECE))


@CROWDS.register('header_line_without_end')
def _header_line_without_end() -> Crowd:
    return Crowd(b'%sX-Header: ' % _HEAD, _repeated(b'a' * _PIECE))


@CROWDS.register('headers_of_one_name')
def _headers_of_one_name() -> Crowd:
    lines = b'Accept: b\r\n' * (_PIECE // 11)
    return Crowd(_HEAD, _repeated(lines), drip=b'Accept: b\r\n')


@CROWDS.register('headers_of_many_names')
def _headers_of_many_names() -> Crowd:
    return Crowd(_HEAD, _numbered_lines, drip=b'X: y\r\n')


@CROWDS.register('request_line_without_end')
def _request_line_without_end() -> Crowd:
    return Crowd(b'GET /', _repeated(b'a' * _PIECE))


@CROWDS.register('declared_huge_body')
def _declared_huge_body() -> Crowd:
    start = b'%sContent-Length: 10000000000\r\n\r\n' % _HEAD
    return Crowd(start, _repeated(b'a' * _PIECE))


@CROWDS.register('slow_heads')
def _slow_heads() -> Crowd:
    return Crowd(_HEAD, connections_count=300, sent_max_bytes=0)


@CROWDS.register('slow_bodies')
def _slow_bodies() -> Crowd:
    return Crowd(_WAITING, connections_count=300, sent_max_bytes=0)


@CROWDS.register('bodies_that_stop_short')
def _bodies_that_stop_short() -> Crowd:
    return Crowd(
        _WAITING,
        _repeated(b'a' * 10_000),
        connections_count=200,
        sent_max_bytes=190_000,
        drip=b'',
    )


@CROWDS.register('pipelined_without_end')
def _pipelined_without_end() -> Crowd:
    return Crowd(
        b'', _repeated(_QUERY * 500), drip=_QUERY, receive_buffer_bytes=4096
    )


@CROWDS.register('responses_not_read')
def _responses_not_read() -> Crowd:
    return Crowd(
        b'',
        _repeated(_METRICS_QUERY * 100),
        connections_count=2,
        drip=_METRICS_QUERY,
        receive_buffer_bytes=4096,
        listener='metrics',
    )


@CROWDS.register('idle_connections')
def _idle_connections() -> Crowd:
    return Crowd(b'', connections_count=400, sent_max_bytes=0, drip=b'')


@CROWDS.register('clients_that_leave')
def _clients_that_leave() -> Crowd:
    return Crowd(
        _WAITING,
        _repeated(b'a' * 10_000),
        connections_count=400,
        sent_max_bytes=50_000,
        is_leaving=True,
    )


def _numbered_lines() -> Iterator[bytes]:
    for first in itertools.count(0, 2_000):
        yield b''.join(
            b'X-%d: value\r\n' % number
            for number in range(first, first + 2_000)
        )


class RunningCrowd:
    """A crowd at one daemon; entering the context starts its clients."""

    def __init__(self, name: str, daemon: Daemon) -> None:
        """Prepare the clients of the crowd `name`."""
        crowd = CROWDS.lookup(name)()
        self._crowd = crowd
        self._address = ('127.0.0.1', int(getattr(daemon, crowd.listener)))
        self._is_left = threading.Event()
        self._done = threading.Semaphore(0)
        self._sockets: list[socket.socket] = []
        self._threads = [
            threading.Thread(target=self._flood, daemon=True)
            for _ in range(min(FLOODS_COUNT, crowd.connections_count))
        ]

    def __enter__(self) -> Self:
        """Start the clients."""
        for thread in self._threads:
            thread.start()
        return self

    def __exit__(self, *_error: object) -> None:
        """Close all connections and wait for the clients."""
        self._is_left.set()
        for thread in self._threads:
            thread.join()
        for client in self._sockets:
            client.close()

    def wait_sent(self, timeout_s: float) -> None:
        """Wait until all clients have sent, or until the time is over."""
        deadline_s = time.monotonic() + timeout_s
        for _ in self._threads:
            left_s = max(0, deadline_s - time.monotonic())
            if not self._done.acquire(timeout=left_s):
                return

    def _flood(self) -> None:
        """Run the share of one thread of the connections."""
        count = self._crowd.connections_count // len(self._threads)
        clients = []
        for _ in range(count):
            if self._is_left.is_set():
                break
            with contextlib.suppress(OSError):
                clients.append(self._open())
        self._done.release()
        while not self._is_left.wait(_DRIP_INTERVAL_S):
            for client in clients:
                with contextlib.suppress(OSError):
                    client.send(self._crowd.drip, socket.MSG_DONTWAIT)

    def _open(self) -> socket.socket:
        client = socket.create_connection(self._address, _CONNECT_TIMEOUT_S)
        self._sockets.append(client)
        buffer_bytes = self._crowd.receive_buffer_bytes
        if buffer_bytes:
            client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, buffer_bytes)
        client.sendall(self._crowd.start)
        pieces = self._crowd.pieces()
        sent_bytes = 0
        while sent_bytes < self._crowd.sent_max_bytes:
            if self._is_left.is_set():
                break
            piece = next(pieces)
            client.sendall(piece)
            sent_bytes += len(piece)
        if self._crowd.is_leaving:
            client.close()
        return client
