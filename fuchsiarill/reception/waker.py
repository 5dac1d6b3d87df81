"""Wakes the thread of a selector from other threads."""

import selectors
import socket
from collections.abc import Callable
from contextlib import suppress
from typing import Final

_READ_MAX_BYTES: Final = 4_096


class Waker:
    """Makes a selector call a function; repeated wakes cost nothing."""

    def __init__(
        self, selector: selectors.BaseSelector, handle: Callable[[], None]
    ) -> None:
        """Call `handle`, which calls `reset`, in the thread of `selector`."""
        reader, writer = socket.socketpair()
        reader.setblocking(False)
        writer.setblocking(False)
        self._reader = reader
        self._writer = writer
        self._is_woken = False
        selector.register(reader, selectors.EVENT_READ, handle)

    def wake(self) -> None:
        """Wake the thread, unless it is being woken already."""
        if self._is_woken:
            return
        self._is_woken = True
        with suppress(OSError):
            self._writer.send(b'\0')

    def reset(self) -> None:
        """Let further calls of `wake` wake the thread again.

        What was queued before one of these calls is handled after this one.
        """
        with suppress(BlockingIOError):
            self._reader.recv(_READ_MAX_BYTES)
        self._is_woken = False

    def close(self) -> None:
        """Close the sockets."""
        self._reader.close()
        self._writer.close()
