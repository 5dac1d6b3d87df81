"""HTTP connections whose time-out bounds a whole response.

The time-out of a socket bounds each read only. A server that sends the head of
a response or a chunk line in single bytes would hold a thread without end,
since these are read in one call of the library.
"""

import socket
import time
from typing import Any

import urllib3
from urllib3.connection import HTTPConnection


class _DeadlineSocket(socket.socket):
    """A socket whose time-out counts from when it was set, over all reads."""

    def __init__(self, connected: socket.socket) -> None:
        """Take over the connection of `connected`, which is detached."""
        self._deadline_s: float | None = None
        super().__init__(fileno=connected.detach())

    def settimeout(self, timeout_s: float | None, /) -> None:
        """Bound all reads together until this is called again."""
        super().settimeout(timeout_s)
        self._deadline_s = (
            None if timeout_s is None else time.monotonic() + timeout_s
        )

    def recv_into(self, *arguments: Any, **options: Any) -> int:
        """Receive some bytes; raises `TimeoutError` after the deadline."""
        if self._deadline_s is not None:
            remaining_s = self._deadline_s - time.monotonic()
            if remaining_s <= 0:
                raise TimeoutError('timed out')
            socket.socket.settimeout(self, remaining_s)
        return super().recv_into(*arguments, **options)


class _DeadlineConnection(HTTPConnection):
    """A connection that applies the time-out of a request as a whole.

    `urllib3` sets the time-out of the socket before it reads a response.
    """

    def _new_conn(self) -> socket.socket:
        connected = super()._new_conn()
        return _DeadlineSocket(connected)


class _DeadlinePool(urllib3.HTTPConnectionPool):
    ConnectionCls = _DeadlineConnection


class DeadlinePoolManager(urllib3.PoolManager):
    """Pools of connections whose responses end within their time-out."""

    def __init__(self, **options: Any) -> None:
        """Pass `options` to `urllib3.PoolManager`."""
        super().__init__(**options)
        self.pool_classes_by_scheme = {
            **self.pool_classes_by_scheme,
            'http': _DeadlinePool,
        }
