"""HTTP server for one port of the emulator."""

import asyncio
import json
import threading
from collections.abc import Callable, Iterable
from typing import Any, Final
from urllib.parse import parse_qs

from cheroot import wsgi

# Imported because these modules register their routes.
from standins.emulator import (  # noqa: F401
    controls,
    store_routes,
    worker_routes,
)
from standins.emulator.calls import ROUTES, Answer, Call
from standins.emulator.cell import EmulatedCell
from standins.store_model import StorePath

LOOPBACK: Final = '127.0.0.1'
# Each long poll occupies a thread: at most six watches of a scheduler process,
# and one renewal to each worker. The other threads serve short calls.
_THREADS_COUNT: Final = 96
# Longer than the longest wait in a model, that of a call to the store.
_ANSWER_TIMEOUT_S: Final = 40


class HttpEndpoint:
    """Serves one port.

    Its threads pass calls to routes, which run in the event loop of the store
    and worker models.
    """

    def __init__(
        self,
        cell: EmulatedCell,
        port: int,
        store_path: StorePath,
        loop: asyncio.AbstractEventLoop,
    ) -> None:
        """Create the server; `start` opens the port."""
        self._cell = cell
        self._store_path = store_path
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
        # WSGI requires a reason phrase after the status code.
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
            self._store_path,
        )
        route = f'{environ["REQUEST_METHOD"]} /{path.split("/")[1]}'
        if route not in ROUTES:
            return Answer(404)
        return await ROUTES.lookup(route)(self._cell, call)
