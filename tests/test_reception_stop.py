"""The end of a listener while clients have not read their responses."""

import socket
import threading
import time
from collections.abc import Iterator
from contextlib import ExitStack, contextmanager
from typing import Any, Final

from prometheus_client import CollectorRegistry

from fuchsiarill.connection_limits import ConnectionLimits
from fuchsiarill.reception.http_server import BoundedServer
from fuchsiarill.reception.observation import (
    ReceptionMetrics,
    ReceptionObserver,
)

_CLIENTS_COUNT: Final = 6
# Each of the clients used to delay the end by 1 s.
_STOP_MAX_S: Final = 4
# More than the buffers of both sockets on loopback take.
_RESPONSE_BYTES: Final = 12_000_000
_LIMITS: Final = ConnectionLimits(memory_max_bytes=200_000_000)
_REQUEST: Final = b'GET / HTTP/1.1\r\nHost: h\r\n\r\n'
_TIMEOUT_S: Final = 10


@contextmanager
def _open_server() -> Iterator[BoundedServer]:
    def respond(_environ: Any, start_response: Any) -> list[bytes]:
        start_response('200 OK', [('Content-Length', str(_RESPONSE_BYTES))])
        return [bytes(_RESPONSE_BYTES)]

    server = BoundedServer(('127.0.0.1', 0), respond, 4, 16, 1)
    metrics = ReceptionMetrics(CollectorRegistry())
    server.receive(lambda: _LIMITS, ReceptionObserver('test', metrics))
    server.prepare()
    threading.Thread(target=server.serve, daemon=True).start()
    try:
        yield server
    finally:
        server.stop()


def _request(server: BoundedServer) -> socket.socket:
    """Return a connection whose response has begun to arrive."""
    client = socket.create_connection(server.bind_addr, _TIMEOUT_S)
    client.sendall(_REQUEST)
    assert client.recv(1)
    return client


def test_clients_that_do_not_read_delay_the_end_together() -> None:
    """Guards against an end that takes a second for each such client."""
    with ExitStack() as stack:
        server = stack.enter_context(_open_server())
        for _ in range(_CLIENTS_COUNT):
            stack.enter_context(_request(server))
        begun_s = time.monotonic()
        server.stop()
        assert time.monotonic() - begun_s < _STOP_MAX_S


def test_client_that_reads_gets_its_response_at_the_end() -> None:
    """Guards against a response that is cut since others are not read."""
    with ExitStack() as stack:
        server = stack.enter_context(_open_server())
        for _ in range(_CLIENTS_COUNT):
            stack.enter_context(_request(server))
        reader = stack.enter_context(_request(server))
        stopping = threading.Thread(target=server.stop)
        stopping.start()
        received_bytes = 1
        while piece := reader.recv(1_000_000):
            received_bytes += len(piece)
        stopping.join()
        assert received_bytes > _RESPONSE_BYTES
