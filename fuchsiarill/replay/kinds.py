"""What a trace can hold, in three registries that decorators fill.

Each kind is a model of its parameters with the method that acts on them.
"""

from collections.abc import Callable, Iterator
from dataclasses import dataclass
from functools import partial
from typing import TYPE_CHECKING, Any, Final

from fuchsiarill.registry import Registry
from fuchsiarill.replay.deployment import TraceModel
from fuchsiarill.replay.seen import Seen

if TYPE_CHECKING:
    from fuchsiarill.replay.evidence import Evidence
    from fuchsiarill.replay.world import World

Undo = Callable[[], None]


class EventKind(TraceModel):
    """Something that callers, operators or the platform do."""

    def happen(self, world: 'World') -> None:
        """Let it happen now; what takes time runs on as a task."""
        raise NotImplementedError


class FaultKind(TraceModel):
    """Something that goes wrong for a time."""

    def begin(self, world: 'World') -> Undo:
        """Let the fault begin; returns what ends it."""
        raise NotImplementedError


@dataclass(frozen=True, slots=True)
class Violation:
    """Why an outcome is not met, and the event that shows it, if one does."""

    text: str
    event: Seen | None = None

    def __str__(self) -> str:
        if self.event is None:
            return self.text
        return f'{self.text}: {self.event}'


class OutcomeKind(TraceModel):
    """A statement about what the fakes and the callers saw."""

    def violations(self, evidence: 'Evidence') -> Iterator[Violation]:
        """Yield everything that contradicts the statement."""
        raise NotImplementedError


EVENT_KINDS: Final[Registry[str, type[EventKind]]] = Registry('event kinds')
FAULT_KINDS: Final[Registry[str, type[FaultKind]]] = Registry('fault kinds')
OUTCOME_KINDS: Final[Registry[str, type[OutcomeKind]]] = Registry(
    'outcome kinds',
)


def undo_switch(target: Any, attribute: str, setting: Any) -> Undo:
    """Set an attribute; the returned call sets it back."""
    before = getattr(target, attribute)
    setattr(target, attribute, setting)
    return partial(setattr, target, attribute, before)


def undo_all(calls: list[Undo]) -> Undo:
    """Return one call for several."""
    return partial(_call_all, calls)


def _call_all(calls: list[Undo]) -> None:
    for call in calls:
        call()
