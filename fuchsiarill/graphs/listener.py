"""An HTTP listener that passes each request to a given function."""

import threading
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from http import HTTPStatus
from typing import Any, Final

from fuchsiarill import events
from fuchsiarill.connection_limits import ConnectionLimits
from fuchsiarill.reception.http_server import RAW_REQUEST_KEY, BoundedServer
from fuchsiarill.reception.observation import ReceptionObserver

_SHUTDOWN_TIMEOUT_S: Final = 1


@dataclass(frozen=True, slots=True)
class Request:
    """An HTTP request."""

    method: str
    # Without the port.
    host: str
    path: str
    body: bytes
    # How long the caller waits, from the header `X-Deadline-Ms`; `None` when
    # the header is missing.
    caller_timeout_ms: int | None
    # Value of the header `Authorization`.
    authorization: str | None = None


@dataclass(frozen=True, slots=True)
class ListenerSettings:
    """Threads and limits of one listener."""

    threads_count: int
    connections_max_count: int
    # The limits of the time.
    find_limits: Callable[[], ConnectionLimits]


@dataclass(frozen=True, slots=True)
class Response:
    """An HTTP response."""

    status: HTTPStatus
    body: bytes = b''
    content_type: str = 'application/json'
    headers: tuple[tuple[str, str], ...] = field(default=())


class Listener:
    """Serves one address in its own threads."""

    def __init__(
        self,
        address: str,
        settings: ListenerSettings,
        handle_request: Callable[[Request], Response],
        observer: ReceptionObserver,
    ) -> None:
        """Create the listener of `address`; `start` opens it."""
        host, port = address.rsplit(':', 1)
        self._handle_request = handle_request
        self.is_draining = False
        self._in_progress_count = 0
        self._count_lock = threading.Lock()
        self._server = BoundedServer(
            (host, int(port)),
            self._serve_request,
            settings.threads_count,
            settings.connections_max_count,
            _SHUTDOWN_TIMEOUT_S,
        )
        self._server.receive(settings.find_limits, observer)

    @property
    def port(self) -> int:
        """Return the port in use, which the kernel may have chosen."""
        return int(self._server.bind_addr[1])

    @property
    def in_progress_count(self) -> int:
        """Return the number of requests whose response is not ready yet."""
        return self._in_progress_count

    def start(self) -> None:
        """Open the listener and serve it in a thread; raises `OSError`."""
        self._server.prepare()
        threading.Thread(target=self._server.serve, daemon=True).start()

    def stop(self) -> None:
        """Close the listener, then wait for the requests in progress.

        Connections that are still open after 1 s are closed.
        """
        self._server.stop()

    def _serve_request(
        self,
        environ: dict[str, Any],
        start_response: Callable[[str, list[tuple[str, str]]], object],
    ) -> Iterable[bytes]:
        with self._count_lock:
            self._in_progress_count += 1
        response = self._handle_request_safely(environ)
        with self._count_lock:
            self._in_progress_count -= 1
        if self.is_draining:
            environ[RAW_REQUEST_KEY].close_connection = True
        headers = [
            ('Content-Type', response.content_type),
            ('Content-Length', str(len(response.body))),
            *response.headers,
        ]
        status = f'{response.status.value} {response.status.phrase}'
        start_response(status, headers)
        return [response.body]

    def _handle_request_safely(self, environ: dict[str, Any]) -> Response:
        try:
            request = _parse_request(environ)
        except (ValueError, OverflowError):
            return Response(HTTPStatus.BAD_REQUEST)
        try:
            return self._handle_request(request)
        except Exception as error:
            events.emit(
                events.REQUEST_FAILED,
                path=environ['PATH_INFO'],
                error=repr(error),
            )
            # The request may have taken effect, so the response is no refusal.
            return Response(HTTPStatus.BAD_GATEWAY)


def _parse_request(environ: dict[str, Any]) -> Request:
    body = environ['wsgi.input'].read()
    deadline_header = environ.get('HTTP_X_DEADLINE_MS')
    return Request(
        environ['REQUEST_METHOD'],
        environ.get('HTTP_HOST', '').split(':')[0],
        environ['PATH_INFO'],
        body,
        int(float(deadline_header)) if deadline_header else None,
        environ.get('HTTP_AUTHORIZATION'),
    )
