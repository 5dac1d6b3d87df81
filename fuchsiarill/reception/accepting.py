"""Accepts connections at one listening socket, also without descriptors."""

import errno
import resource
import selectors
import socket
from collections.abc import Callable
from typing import Final

# Connections that are accepted before others are served.
_ACCEPTED_MAX_COUNT: Final = 32
_SHORTAGES: Final = frozenset(
    (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM),
)


class Acceptor:
    """Hands on new connections, and pauses while the system has a shortage.

    A connection that is not accepted stays in the queue of the kernel, so the
    socket would be ready again at once.
    """

    def __init__(
        self,
        listening_socket: socket.socket,
        selector: selectors.BaseSelector,
        admit: Callable[[socket.socket, str], None],
        handle_shortage: Callable[[str], None],
    ) -> None:
        """Accept in the thread of `selector` after `resume`."""
        self.is_paused = True
        self._socket = listening_socket
        self._socket.setblocking(False)
        self._selector = selector
        self._admit = admit
        self._handle_shortage = handle_shortage

    def resume(self) -> None:
        """Accept connections again."""
        if self.is_paused:
            self._selector.register(
                self._socket, selectors.EVENT_READ, self.accept
            )
            self.is_paused = False

    def accept(self) -> None:
        """Accept the connections that wait, up to a number."""
        for _ in range(_ACCEPTED_MAX_COUNT):
            try:
                client_socket, address = self._socket.accept()
            except BlockingIOError:
                return
            except OSError as error:
                if error.errno in _SHORTAGES:
                    self._pause(str(error))
                    return
                continue
            self._admit(client_socket, address[0])

    def _pause(self, problem: str) -> None:
        self._selector.unregister(self._socket)
        self.is_paused = True
        self._handle_shortage(problem)


def free_descriptors_count(newest: socket.socket) -> int:
    """Return how many descriptors the process can still open.

    The lowest free descriptor is taken, so its number tells how many are in
    use as long as connections move down to the numbers of closed ones.
    """
    allowed_count, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return allowed_count - newest.fileno()


def move_down(client_socket: socket.socket) -> socket.socket:
    """Return the socket with the lowest free descriptor."""
    try:
        moved = client_socket.dup()
    except OSError:
        return client_socket
    client_socket.close()
    return moved
