"""Calls that the emulator takes, and the registry of their routes."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any, Final

from fuchsiarill.registry import Registry
from standins.emulator.cell import EmulatedCell
from standins.store_model import StorePath


@dataclass(frozen=True, slots=True)
class Answer:
    """Status and document of an answer."""

    status: int
    document: Any = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Call:
    """A request, read from the wire."""

    path: str
    query: dict[str, str]
    document: dict[str, Any]
    instance: str
    # Port of the store through which the call came.
    store_path: StorePath

    @property
    def last_part(self) -> str:
        """Return what follows the last slash of the path."""
        return self.path.rpartition('/')[2]


# For a call whose caller has given up by now; what it gets does not matter.
UNANSWERED: Final = Answer(500)

Route = Callable[[EmulatedCell, Call], Awaitable[Answer]]

# By method and first part of the path.
ROUTES: Final[Registry[str, Route]] = Registry('routes of the emulator')
