"""The HTTP server of every listener: cheroot behind a reception."""

from collections.abc import Callable
from typing import Any, Final

from cheroot import wsgi

from fuchsiarill.clock import MS_PER_SECOND
from fuchsiarill.connection_limits import ConnectionLimits
from fuchsiarill.reception.connection import ClientConnection
from fuchsiarill.reception.observation import ReceptionObserver
from fuchsiarill.reception.reception import Reception
from fuchsiarill.reception.states import ClientEvent

# Key of the cheroot request in the WSGI environment. The application sets its
# `close_connection` to close the connection after the response.
RAW_REQUEST_KEY: Final = 'fuchsiarill.request'


class _Gateway(wsgi.Gateway_10):
    """Passes cheroot's request to the application."""

    def __init__(self, req: Any) -> None:
        super().__init__(req)
        self.env[RAW_REQUEST_KEY] = req


class BoundedServer(wsgi.Server):
    """Serves requests that a reception has read within its limits."""

    def __init__(
        self,
        address: tuple[str, int],
        application: Callable[..., Any],
        threads_count: int,
        connections_max_count: int,
        shutdown_timeout_s: int,
    ) -> None:
        """Prepare a server; `receive` sets its limits."""
        super().__init__(
            address,
            application,
            numthreads=threads_count,
            request_queue_size=connections_max_count,
            shutdown_timeout=shutdown_timeout_s,
        )
        self.gateway = _Gateway
        self._connections_max_count = connections_max_count

    def receive(
        self,
        find_limits: Callable[[], ConnectionLimits],
        observer: ReceptionObserver,
    ) -> None:
        """Set the limits, which may change, within which requests are read."""
        limits = find_limits()
        # Tells HTTP/1.0 clients how long a connection stays open.
        self.timeout = limits.idle_ms // MS_PER_SECOND
        self._observer = observer
        self._find_limits = find_limits

    def prepare(self) -> None:
        """Open the listener; raises `OSError`."""
        super().prepare()
        # cheroot's manager hands on a connection before its request is read,
        # and no setting replaces it.
        self._connections.close()
        self._connections: Any = Reception(
            self, self._find_limits, self._connections_max_count, self._observer
        )

    def end_connection(self, connection: ClientConnection) -> None:
        """Take back a connection that is closed after its response."""
        self._connections.take_back(connection, ClientEvent.ANSWERED_LAST)

    def error_log(
        self, msg: str = '', level: int = 0, traceback: bool = False
    ) -> None:
        """Log a message of cheroot as an event."""
        self._observer.log_failure(str(msg))
