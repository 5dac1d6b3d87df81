"""Log of the workers that got room or may get runs again.

Under overload hundreds of steps wait, while each end of a run frees room on
one worker. A step that could not be placed is considered again only for the
workers that the log names since then.
"""

from collections import deque
from collections.abc import Iterator
from itertools import islice
from typing import Final

from fuchsiarill.ids import WorkerId

# A step that has waited through more changes than this is considered again
# without regard to the log.
_CHANGES_MAX_COUNT: Final = 1000


class RoomChanges:
    """The latest changes, each at a position that only rises."""

    def __init__(self) -> None:
        """Create an empty log."""
        self._workers: deque[WorkerId] = deque(maxlen=_CHANGES_MAX_COUNT)
        self._oldest_valid_position = 0
        self.position = 0

    def add(self, worker: WorkerId) -> None:
        """Log that a worker got room or may get runs again."""
        self._workers.append(worker)
        self.position += 1

    def add_all(self) -> None:
        """Log that any placement may succeed now."""
        self.position += 1
        self._workers.clear()
        self._oldest_valid_position = self.position

    def since(self, position: int) -> Iterator[WorkerId] | None:
        """Return the workers that changed after `position`.

        Returns `None` if any worker may have changed.
        """
        if position < self._oldest_valid_position:
            return None
        changes_count = self.position - position
        if changes_count > len(self._workers):
            return None
        return islice(reversed(self._workers), changes_count)
