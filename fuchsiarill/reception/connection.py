"""A connection of a client, as cheroot's worker threads see it.

A worker reads a complete request from memory and writes its response to
memory, so that no client can hold it.
"""

import contextlib
import io
import socket
from typing import Any, Final

from cheroot import server

from fuchsiarill.reception.buffers import remove_front
from fuchsiarill.reception.request_reader import RequestReader
from fuchsiarill.reception.states import ClientState

_LAST_SEND_TIMEOUT_S: Final = 1.0


class Outgoing:
    """The part of a response that has not been sent."""

    def __init__(self) -> None:
        """Start with nothing to send."""
        self.unsent = bytearray()

    def write(self, response: bytes) -> int:
        """Append a part of the response."""
        self.unsent += response
        return len(response)


class ClientRequest(server.HTTPRequest):
    """A request whose head has been checked by `heads.parse_head`."""

    def read_request_line(self) -> bool:
        """Read the request line; a URI that can't be parsed is refused."""
        read = super().read_request_line
        try:
            return bool(read())  # type: ignore[no-untyped-call]
        except ValueError:
            self.simple_response('400 Bad Request', 'Malformed Request-URI')
        return False

    def write(self, chunk: bytes) -> None:
        """Write a part of the body, which a response to HEAD does not have."""
        if self.method != b'HEAD':
            super().write(chunk)


class ClientConnection(server.HTTPConnection):
    """One connection; the reception owns it except while it is served."""

    RequestHandlerClass = ClientRequest  # noqa: WPS115

    def __init__(
        self,
        http_server: Any,
        client_socket: socket.socket,
        address: str,
        reader: RequestReader,
    ) -> None:
        """Take over a socket that does not block."""
        super().__init__(http_server, client_socket, _no_file)
        # These cached methods refer to the connection, which would be kept
        # until the next garbage collection.
        vars(self).pop('resolve_peer_creds')  # noqa: WPS421
        vars(self).pop('get_peer_creds')  # noqa: WPS421
        self.address = address
        self.remote_addr = address
        self.reader = reader
        self.state = ClientState.IDLE
        self.since_ms = 0
        self.counted_bytes = 0
        # Events of the selector that the connection waits for.
        self.awaited = 0
        self.lingered_bytes = 0
        self.wfile = Outgoing()
        self._request_bytes = 0

    @property
    def held_bytes(self) -> int:
        """Return the memory of the request and the response."""
        return (
            self.reader.held_bytes
            + self._request_bytes
            + len(self.wfile.unsent)
        )

    def load_request(self) -> None:
        """Let a worker thread read the request that is complete."""
        request = self.reader.take()
        self._request_bytes = len(request)
        self.rfile = io.BytesIO(request)

    def unload_request(self) -> None:
        """Free the memory of the request that was answered."""
        self._request_bytes = 0
        self.rfile = io.BytesIO()

    def send_some(self) -> bool:
        """Send what the client takes now; returns whether that is all.

        Raises `OSError` when the client has closed the connection.
        """
        unsent = self.wfile.unsent
        if not unsent:
            return True
        try:
            sent_bytes = self.socket.send(unsent)
        except BlockingIOError:
            return False
        remove_front(unsent, sent_bytes)
        return not unsent

    def close(self) -> None:
        """Hand the connection back to be closed after its response.

        Worker threads call this.
        """
        self.server.end_connection(self)

    def close_socket(self) -> None:
        """Close the socket at once."""
        self.rfile.close()
        self.socket.close()

    def close_after_response(self) -> None:
        """Send the rest of the response, then close the socket."""
        with contextlib.suppress(OSError):
            self.socket.settimeout(_LAST_SEND_TIMEOUT_S)
            self.socket.sendall(self.wfile.unsent)
            self.socket.shutdown(socket.SHUT_WR)
        self.close_socket()


def _no_file(_socket: Any, _mode: str, _buffer_bytes: int) -> io.BytesIO:
    return io.BytesIO()
