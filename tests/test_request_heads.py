"""A listener refuses malformed requests, and takes none of them for two."""

import contextlib
import socket
import time
from collections.abc import Iterator
from dataclasses import dataclass
from http import HTTPStatus
from pathlib import Path
from typing import Final

import pytest
import yaml
from prometheus_client import CollectorRegistry

from fuchsiarill.connection_limits import ConnectionLimits
from fuchsiarill.graphs.listener import (
    Listener,
    ListenerSettings,
    Request,
    Response,
)
from fuchsiarill.reception.observation import (
    ReceptionMetrics,
    ReceptionObserver,
)

_CASES: Final = yaml.safe_load(
    Path(__file__).with_name('cases').joinpath('request_heads.yaml').read_text()
)
# Within this time an interim response would arrive.
_QUIET_S: Final = 0.5
# Fits into the send buffer of a socket.
_LAST_BYTES: Final = 100_000
_TIMEOUT_S: Final = 30
_CHUNKED: Final = (
    b'POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n'
)


@dataclass(frozen=True, slots=True)
class _Served:
    """A listener, and the requests that its handler has received."""

    listener: Listener
    received: list[Request]


@pytest.fixture(scope='module')
def shared_served() -> Iterator[_Served]:
    received: list[Request] = []

    def answer(request: Request) -> Response:
        received.append(request)
        return Response(HTTPStatus.OK, request.path.encode())

    listener = Listener(
        '127.0.0.1:0',
        ListenerSettings(2, 16, ConnectionLimits),
        answer,
        ReceptionObserver('test', ReceptionMetrics(CollectorRegistry())),
    )
    listener.start()
    yield _Served(listener, received)
    listener.stop()


@pytest.fixture
def served(shared_served: _Served) -> _Served:
    shared_served.received.clear()
    return shared_served


def _exchange(listener: Listener, *pieces: bytes) -> bytes:
    """Send all pieces and return what is received until the end."""
    address = ('127.0.0.1', listener.port)
    with socket.create_connection(address, _TIMEOUT_S) as client:
        for piece in pieces:
            client.sendall(piece)
        client.shutdown(socket.SHUT_WR)
        answer = bytearray()
        with contextlib.suppress(ConnectionResetError):
            while latest := client.recv(65_536):
                answer += latest
    return bytes(answer)


@pytest.mark.parametrize('case', _CASES, ids=lambda case: case['name'])
def test_malformed_request(served: _Served, case: dict[str, str]) -> None:
    """Guards against a malformed request that is handled, or taken for two."""
    text = case['text'].replace('\n', '\r\n').replace('|', '\n')
    answer = _exchange(served.listener, text.encode())
    assert not served.received
    assert answer.count(b'HTTP/1.1 ') <= 1
    if answer:
        assert answer.startswith(b'HTTP/1.1 4') or b' 501 ' in answer
    assert b'Traceback' not in answer


def test_trailers_end_the_body(served: _Served) -> None:
    """Guards against trailers that are taken for the next request."""
    body = b'3;ext="a"\r\nhel\r\n2\r\nlo\r\n0\r\nX-Sum: GET /b HTTP/1.1\r\n\r\n'
    query = b'GET /c HTTP/1.1\r\nHost: h\r\n\r\n'
    answer = _exchange(served.listener, _CHUNKED + body + query)
    assert [request.path for request in served.received] == ['/a', '/c']
    assert served.received[0].body == b'hello'
    assert answer.count(b' 200 OK') == 2


def test_pipelined_requests_are_answered_in_order(served: _Served) -> None:
    """Guards against pipelined requests that are lost or reordered."""
    queries = b''.join(
        b'GET /%d HTTP/1.1\r\nHost: h\r\n\r\n' % number for number in range(9)
    )
    answer = _exchange(served.listener, queries[:70], queries[70:])
    assert [request.path for request in served.received] == [
        f'/{number}' for number in range(9)
    ]
    assert answer.count(b' 200 OK') == 9


def test_client_waits_for_the_consent_to_its_body(served: _Served) -> None:
    """Guards against a client that waits for `100 Continue` for ever."""
    head = (
        b'POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n'
        b'Expect: 100-continue\r\n\r\n'
    )
    address = ('127.0.0.1', served.listener.port)
    with socket.create_connection(address, _TIMEOUT_S) as client:
        client.sendall(head)
        assert client.recv(100).startswith(b'HTTP/1.1 100 Continue\r\n')
        client.sendall(b'hello')
        assert client.recv(100).startswith(b'HTTP/1.1 200 OK\r\n')
    assert served.received[0].body == b'hello'


def test_head_has_no_body(shared_served: _Served) -> None:
    """Guards against a body that is taken for the next response."""
    listener = shared_served.listener
    query = b'%s /a HTTP/1.1\r\nHost: h\r\n\r\n'
    head, answer = (
        _exchange(listener, query % method) for method in (b'HEAD', b'GET')
    )
    assert answer.endswith(b'\r\n\r\n/a')
    assert head.startswith(b'HTTP/1.1 200 OK\r\n')
    assert b'Content-Length: 2\r\n' in head
    assert head.endswith(b'\r\n\r\n')


def test_consent_is_not_sent_to_http_1_0(served: _Served) -> None:
    """Guards against an interim response that is taken for the final one."""
    head = (
        b'POST /a HTTP/1.0\r\nHost: h\r\nContent-Length: 5\r\n'
        b'Expect: 100-continue\r\n\r\n'
    )
    address = ('127.0.0.1', served.listener.port)
    with socket.create_connection(address, _TIMEOUT_S) as client:
        client.sendall(head)
        client.settimeout(_QUIET_S)
        with pytest.raises(TimeoutError):
            client.recv(100)
        client.settimeout(_TIMEOUT_S)
        client.sendall(b'hello')
        assert client.recv(100).startswith(b'HTTP/1.1 200 OK\r\n')


def test_largest_allowed_request(served: _Served) -> None:
    """Guards against limits below those that the platform grants clients."""
    lines = b''.join(b'%d:\r\n' % number for number in range(2_000))
    value = b'a' * (16_384 - len(lines) - len(b'X: \r\n'))
    head = b'POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 262144\r\n'
    body = b'b' * 262_144
    answer = _exchange(
        served.listener, head, lines, b'X: %s\r\n\r\n' % value, body
    )
    assert answer.startswith(b'HTTP/1.1 200 OK')
    assert served.received[0].body == body


def test_pipelining_client_reads_the_last_response() -> None:
    """Guards against a reset by a request that crosses the last response."""
    listener = Listener(
        '127.0.0.1:0',
        ListenerSettings(2, 16, ConnectionLimits),
        lambda _request: Response(HTTPStatus.OK, bytes(_LAST_BYTES)),
        ReceptionObserver('test', ReceptionMetrics(CollectorRegistry())),
    )
    listener.start()
    listener.is_draining = True
    query = b'GET /a HTTP/1.1\r\nHost: h\r\n\r\n'
    with socket.socket() as client:
        client.settimeout(_TIMEOUT_S)
        # Most of the response waits in the kernel at the other end.
        client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
        client.connect(('127.0.0.1', listener.port))
        client.sendall(query)
        answer = client.recv(1)
        time.sleep(_QUIET_S)
        client.sendall(query)
        while latest := client.recv(65_536):
            answer += latest
    listener.stop()
    assert answer.endswith(bytes(_LAST_BYTES))
