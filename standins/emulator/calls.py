"""Calls to the emulator, their answers and the registry of routes."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any, Final

from fuchsiarill.registry import Registry
from standins.emulator.cell import EmulatedCell
from standins.store_model import StorePath


@dataclass(frozen=True, slots=True)
class Answer:
    """HTTP status and JSON document of an answer."""

    status: int
    document: Any = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Call:
    """A parsed HTTP request."""

    path: str
    query: dict[str, str]
    document: dict[str, Any]
    # Worker that the call is for, from the header `X-Expect-Instance`.
    instance: str
    # Path to the store that belongs to the port of the call.
    store_path: StorePath

    @property
    def last_part(self) -> str:
        """Return the last segment of the path."""
        return self.path.rpartition('/')[2]


# For a call with an unknown outcome; its caller has usually timed out.
UNANSWERED: Final = Answer(500)
# For a crashed worker. All workers share a port, which stays open, so a refused
# connection appears as one that breaks before the answer.
BROKEN: Final = Answer(500)

Route = Callable[[EmulatedCell, Call], Awaitable[Answer]]

# Keys are the method and the first segment of the path.
ROUTES: Final[Registry[str, Route]] = Registry('routes of the emulator')
