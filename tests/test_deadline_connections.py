"""Responses that arrive slowly do not hold a thread past the deadline."""

import asyncio
import socket
import threading
import time
from typing import Final

import pytest
from returns.result import Failure

from fuchsiarill.ports.http_client import CallFailure, HttpClient

_TIMEOUT_MS: Final = 300
_LATER_TIMEOUT_MS: Final = 3_000
_SENDING_S: Final = 5
_BYTE_INTERVAL_S: Final = 0.05


def _answer_slowly(listening: socket.socket, beginning: bytes) -> None:
    """Send a line without an end, one byte at a time."""
    served, _ = listening.accept()
    end_s = time.monotonic() + _SENDING_S
    with served:
        served.recv(65_536)
        try:
            served.sendall(beginning)
            while time.monotonic() < end_s:
                served.sendall(b'a')
                time.sleep(_BYTE_INTERVAL_S)
        except OSError:
            return


async def _call_two(slow_port: int, other_port: int) -> list[object]:
    """Return the results of a slow call and of one after it."""
    client = HttpClient(threads_count=1, in_progress_max=4)
    slow = await client.post(
        f'http://127.0.0.1:{slow_port}/', b'{}', _TIMEOUT_MS
    )
    other = await client.post(
        f'http://127.0.0.1:{other_port}/', b'{}', _LATER_TIMEOUT_MS
    )
    client.close()
    return [slow, other.unwrap().body]


@pytest.mark.parametrize(
    'beginning',
    [
        b'HTTP/1.1 200 OK\r\nX: ',
        b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;',
    ],
)
def test_slow_line_frees_the_thread(beginning: bytes) -> None:
    """Guards against threads that a server holds by sending single bytes."""
    with (
        socket.create_server(('127.0.0.1', 0)) as slow,
        socket.create_server(('127.0.0.1', 0)) as other,
    ):
        threads = [
            threading.Thread(target=_answer_slowly, args=(slow, beginning)),
            threading.Thread(target=_answer, args=(other,), daemon=True),
        ]
        for thread in threads:
            thread.start()
        results = asyncio.run(
            _call_two(slow.getsockname()[1], other.getsockname()[1])
        )
        threads[0].join()
    assert results == [Failure(CallFailure.NO_ANSWER), b'ok']


def _answer(listening: socket.socket) -> None:
    served, _ = listening.accept()
    with served:
        served.recv(65_536)
        served.sendall(b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok')
