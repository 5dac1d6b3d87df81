"""A small HTTP/1.1 server and client on asyncio streams, with JSON bodies."""

import asyncio
import json
import socket
from collections.abc import Awaitable, Callable
from contextlib import suppress
from dataclasses import dataclass, field
from typing import Any
from urllib.parse import parse_qs, urlsplit

OK = 200
_MS_PER_SECOND = 1000
_BACKLOG_COUNT = 1024
_FILLERS_COUNT = 4
_DARK_STEP_S = 0.02
_HEAD_END = b'\r\n\r\n'
_BROKEN = (OSError, EOFError)
_FAILURES = (OSError, EOFError, TimeoutError)


@dataclass(frozen=True)
class Request:
    """A request that has been read in full."""

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    document: dict[str, Any]


@dataclass(frozen=True)
class Answer:
    """Status and document of a response."""

    status: int
    document: dict[str, Any] = field(default_factory=dict)


Handler = Callable[[Request], Awaitable[Answer]]


class HttpServer:
    """Serves one address until it is closed; may be opened again."""

    def __init__(self, host: str, port: int, handler: Handler) -> None:
        """Answer requests with `handler`."""
        self._host = host
        self._port = port
        self._handler = handler
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._listener = socket.socket()
        self._fillers: list[socket.socket] = []
        self._is_dark = False

    async def open(self) -> None:
        """Open the port."""
        self._listener = socket.socket()
        self._listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._listener.bind((self._host, self._port))
        self._server = await asyncio.start_server(
            self._serve, sock=self._listener, backlog=_BACKLOG_COUNT
        )

    def go_dark(self) -> None:
        """Answer nothing from now on, as a machine without power does.

        Open connections stay silent. The queue of new ones is full, so that
        later connections hang.
        """
        self._is_dark = True
        loop = asyncio.get_running_loop()
        loop.remove_reader(self._listener.fileno())
        self._listener.listen(0)
        for _ in range(_FILLERS_COUNT):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex((self._host, self._port))
            self._fillers.append(filler)

    def close(self) -> None:
        """Close the port and reset all connections, as a crash does."""
        self._is_dark = False
        if self._server is not None:
            self._server.close()
        for filler in self._fillers:
            filler.close()
        self._fillers.clear()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        with suppress(*_BROKEN):
            while True:
                request = await _read_request(reader)
                while self._is_dark:
                    await asyncio.sleep(_DARK_STEP_S)
                answer = await self._handler(request)
                writer.write(_encode_answer(answer))
                await writer.drain()
        self._writers.discard(writer)
        writer.close()


async def _read_head(
    reader: asyncio.StreamReader,
) -> tuple[str, dict[str, str]]:
    head = (await reader.readuntil(_HEAD_END)).decode('latin-1')
    first_line, *rows = head.strip().split('\r\n')
    headers = {}
    for row in rows:
        name, _, text = row.partition(':')
        headers[name.strip().lower()] = text.strip()
    return first_line, headers


async def _read_body(
    reader: asyncio.StreamReader, headers: dict[str, str]
) -> dict[str, Any]:
    length = int(headers.get('content-length', '0'))
    content = await reader.readexactly(length) if length else b'{}'
    document: dict[str, Any] = json.loads(content)
    return document


async def _read_request(reader: asyncio.StreamReader) -> Request:
    first_line, headers = await _read_head(reader)
    method, target, _ = first_line.split(' ')
    parts = urlsplit(target)
    query = {name: rows[0] for name, rows in parse_qs(parts.query).items()}
    document = await _read_body(reader, headers)
    return Request(method, parts.path, query, headers, document)


def _encode_answer(answer: Answer) -> bytes:
    body = json.dumps(answer.document).encode()
    head = (
        f'HTTP/1.1 {answer.status} stand-in\r\n'
        'Content-Type: application/json\r\n'
        f'Content-Length: {len(body)}\r\n\r\n'
    )
    return head.encode() + body


async def call(
    address: tuple[str, int],
    method: str,
    path: str,
    document: dict[str, Any] | None = None,
    headers: dict[str, str] | None = None,
    timeout_ms: int = 3000,
) -> Answer | None:
    """Make one call on a new connection; returns `None` without an answer."""
    body = b'' if document is None else json.dumps(document).encode()
    rows = {
        'Content-Type': 'application/json',
        'Content-Length': str(len(body)),
        **(headers or {}),
    }
    lines = [f'{method} {path} HTTP/1.1']
    lines.extend(f'{name}: {text}' for name, text in rows.items())
    request = '\r\n'.join(lines).encode() + _HEAD_END + body
    try:
        async with asyncio.timeout(timeout_ms / _MS_PER_SECOND):
            return await _exchange(address, request)
    except _FAILURES:
        return None


async def _exchange(address: tuple[str, int], request: bytes) -> Answer:
    reader, writer = await asyncio.open_connection(*address)
    try:
        writer.write(request)
        first_line, headers = await _read_head(reader)
        document = await _read_body(reader, headers)
    finally:
        writer.close()
    return Answer(int(first_line.split(' ')[1]), document)
