"""A threaded JSON-over-HTTP server that the stand-ins share."""

import json
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Any

from cheroot import wsgi


@dataclass(frozen=True, slots=True)
class StandInReply:
    """HTTP status and encoded JSON body."""

    status: int
    body: bytes


Handler = Callable[[bytes], StandInReply]


class JsonServer:
    """Serves POST requests from a table of paths."""

    def __init__(
        self,
        port: int,
        handlers: dict[str, Handler],
        threads_count: int = 16,
    ) -> None:
        """Prepare a listener on loopback."""
        self._handlers = handlers
        self._server = wsgi.Server(
            ('127.0.0.1', port),
            self._respond,
            numthreads=threads_count,
        )

    def serve(self) -> None:
        """Serve until interrupted."""
        try:
            self._server.start()
        except KeyboardInterrupt:
            self._server.stop()

    def _respond(
        self,
        environ: dict[str, Any],
        start_response: Callable[[str, list[tuple[str, str]]], object],
    ) -> Iterable[bytes]:
        handler = self._handlers.get(environ['PATH_INFO'])
        body = environ['wsgi.input'].read(
            int(environ.get('CONTENT_LENGTH') or 0),
        )
        reply = handler(body) if handler else StandInReply(404, b'{}')
        start_response(
            f'{reply.status} stand-in',
            [
                ('Content-Type', 'application/json'),
                ('Content-Length', str(len(reply.body))),
            ],
        )
        return [reply.body]


def json_reply(content: object, status: int = 200) -> StandInReply:
    """Return a reply with a JSON body."""
    return StandInReply(status, json.dumps(content).encode())
