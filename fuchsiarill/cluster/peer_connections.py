"""Connections of other processes, within limits.

Handles connections in any number and messages of any size: a message above the
limit ends its connection before it is read, and a connection beyond the
allowed number is closed at once. Established connections stay, since they are
those of the peers that are in use.
"""

from typing import Any

import capnp

from fuchsiarill.connection_limits import PeerLimits
from fuchsiarill.reception.observation import ReceptionObserver
from fuchsiarill.reception.refusals import Limit


class PeerConnections:
    """Serves the connections of the listener for peers."""

    def __init__(self, limits: PeerLimits, observer: ReceptionObserver) -> None:
        """Start without connections."""
        self._limits = limits
        self._observer = observer
        self._count = 0

    async def serve(self, stream: Any, call_server: Any) -> None:
        """Serve one connection until it ends."""
        if self._count >= self._limits.connections_max_count:
            self._observer.count_refusal(Limit.CONNECTIONS, 'no place', '')
            stream.close()
            return
        self._change_count(1)
        try:
            await self._serve_admitted(stream, call_server)
        finally:
            self._change_count(-1)

    async def _serve_admitted(self, stream: Any, call_server: Any) -> None:
        server = capnp.TwoPartyServer(
            stream,
            bootstrap=call_server,
            traversal_limit_in_words=self._limits.message_max_words,
        )
        await server.on_disconnect()

    def _change_count(self, change: int) -> None:
        self._count += change
        self._observer.show(self._count, 0)
