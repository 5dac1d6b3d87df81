"""HTTP server for one port of the emulator."""

import asyncio
import json
import threading
from collections.abc import Callable, Iterable
from typing import Any, Final
from urllib.parse import parse_qs

from cheroot import wsgi

from standins.emulator import (  # noqa: F401
    controls,
    store_routes,
    worker_routes,
)
from standins.emulator.calls import ROUTES, Answer, Call
from standins.emulator.cell import EmulatedCell
from standins.store_model import StorePath

LOOPBACK: Final = '127.0.0.1'
# A daemon watches at most six prefixes and has one long poll to each worker.
_THREADS_COUNT: Final = 96
# Longer than the longest wait of a call.
_ANSWER_TIMEOUT_S: Final = 40


class HttpEndpoint:
    """Serves one port; its threads pass calls to the models' event loop."""

    def __init__(
        self,
        cell: EmulatedCell,
        port: int,
        path: StorePath,
        loop: asyncio.AbstractEventLoop,
    ) -> None:
        """Prepare the port; `start` opens it."""
        self._cell = cell
        self._path = path
        self._loop = loop
        self._server = wsgi.Server(
            (LOOPBACK, port),
            self._respond,
            numthreads=_THREADS_COUNT,
        )

    def start(self) -> None:
        """Open the port and serve it in daemon threads."""
        self._server.prepare()
        threading.Thread(target=self._server.serve, daemon=True).start()

    def _respond(
        self,
        environ: dict[str, Any],
        start_response: Callable[[str, list[tuple[str, str]]], object],
    ) -> Iterable[bytes]:
        length = int(environ.get('CONTENT_LENGTH') or 0)
        content = environ['wsgi.input'].read(length) if length else b'{}'
        pending_answer = asyncio.run_coroutine_threadsafe(
            self._answer(environ, content),
            self._loop,
        )
        answer = pending_answer.result(_ANSWER_TIMEOUT_S)
        body = json.dumps(answer.document).encode()
        start_response(
            f'{answer.status} emulator',
            [
                ('Content-Type', 'application/json'),
                ('Content-Length', str(len(body))),
            ],
        )
        return [body]

    async def _answer(
        self,
        environ: dict[str, Any],
        content: bytes,
    ) -> Answer:
        path = environ['PATH_INFO']
        call = Call(
            path,
            {
                name: values[0]
                for name, values in parse_qs(environ['QUERY_STRING']).items()
            },
            json.loads(content),
            environ.get('HTTP_X_EXPECT_INSTANCE', ''),
            self._path,
        )
        route = f'{environ["REQUEST_METHOD"]} /{path.split("/")[1]}'
        if route not in ROUTES:
            return Answer(404)
        return await ROUTES.lookup(route)(self._cell, call)
