"""A loopback HTTP server that sends the response set by a test."""

import json
from collections.abc import Iterable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from threading import Thread
from typing import Any

from cheroot import wsgi


@dataclass(slots=True)
class StubServer:
    """The response to send, and the requests received."""

    status: int = 200
    body: Any = field(default_factory=dict)
    requests: list[tuple[str, str, Any, dict[str, str]]] = field(
        default_factory=list,
    )
    address: str = ''

    def respond(
        self, environ: dict[str, Any], start_response: Any
    ) -> Iterable[bytes]:
        """Record the request and send the response."""
        size = int(environ.get('CONTENT_LENGTH') or 0)
        content = environ['wsgi.input'].read(size)
        path = environ['PATH_INFO']
        if environ.get('QUERY_STRING'):
            path = f'{path}?{environ["QUERY_STRING"]}'
        headers = {
            name: text
            for name, text in environ.items()
            if name.startswith('HTTP_')
        }
        self.requests.append(
            (
                environ['REQUEST_METHOD'],
                path,
                json.loads(content) if content else None,
                headers,
            ),
        )
        content_to_send = self.body
        if not isinstance(content_to_send, bytes):
            content_to_send = json.dumps(content_to_send).encode()
        start_response(
            f'{self.status} x', [('Content-Length', str(len(content_to_send)))]
        )
        return [content_to_send]


@contextmanager
def serve_stub() -> Iterator[StubServer]:
    """Serve on a free port of the loopback interface."""
    stub = StubServer()
    server = wsgi.Server(('127.0.0.1', 0), stub.respond, numthreads=2)
    server.prepare()
    thread = Thread(target=server.serve, daemon=True)
    thread.start()
    host, port = server.bind_addr
    stub.address = f'{host}:{port}'
    try:
        yield stub
    finally:
        server.stop()
        thread.join()
