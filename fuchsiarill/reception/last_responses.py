"""Sends the last responses of a listener that closes."""

import selectors
from collections.abc import Iterable
from contextlib import suppress
from typing import Final

from fuchsiarill.clock import MS_PER_SECOND
from fuchsiarill.reception.connection import ClientConnection
from fuchsiarill.reception.observation import monotonic_ms

# For all connections together: clients that do not read would otherwise delay
# the end of the process by this time each.
_LAST_SEND_TIMEOUT_MS: Final = 1_000


def send_last(connections: Iterable[ClientConnection]) -> None:
    """Send what the clients take within the time limit, then close them."""
    deadline_ms = monotonic_ms() + _LAST_SEND_TIMEOUT_MS
    unsent = set(connections)
    with selectors.DefaultSelector() as selector:
        for connection in unsent:
            selector.register(
                connection.socket, selectors.EVENT_WRITE, connection
            )
        remaining_ms = _LAST_SEND_TIMEOUT_MS
        while unsent and remaining_ms > 0:
            for key, _ in selector.select(remaining_ms / MS_PER_SECOND):
                if _is_finished(key.data):
                    selector.unregister(key.fileobj)
                    unsent.remove(key.data)
                    key.data.close_after_response()
            remaining_ms = deadline_ms - monotonic_ms()
    for connection in unsent:
        connection.close_socket()


def _is_finished(connection: ClientConnection) -> bool:
    """Send some; returns whether all is sent or can't be sent any more."""
    with suppress(OSError):
        return connection.send_some()
    connection.wfile.unsent.clear()
    return True
