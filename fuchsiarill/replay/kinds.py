"""Registries of the event, fault and outcome kinds that traces can use.

Each kind is a model of its parameters. A method performs the event, starts the
fault or checks the outcome.
"""

from collections.abc import Callable, Iterator
from dataclasses import dataclass
from functools import partial
from typing import TYPE_CHECKING, Any, Final

from fuchsiarill.registry import Registry
from fuchsiarill.replay.deployment import TraceModel
from fuchsiarill.replay.observations import Observation

if TYPE_CHECKING:
    from fuchsiarill.replay.evidence import Evidence
    from fuchsiarill.replay.world import World

Undo = Callable[[], None]


class EventKind(TraceModel):
    """An action of callers, operators or the platform."""

    def apply(self, world: 'World') -> None:
        """Perform the action now; longer work continues in a task."""
        raise NotImplementedError


class FaultKind(TraceModel):
    """A failure that ends after a given duration or with the trace."""

    def begin(self, world: 'World') -> Undo:
        """Start the fault and return the function that ends it."""
        raise NotImplementedError


@dataclass(frozen=True, slots=True)
class Violation:
    """A reason why an outcome is not met, and the event that shows it."""

    text: str
    event: Observation | None = None

    def __str__(self) -> str:
        if self.event is None:
            return self.text
        return f'{self.text}: {self.event}'


class OutcomeKind(TraceModel):
    """A statement about the observations of the fakes and the callers."""

    def violations(self, evidence: 'Evidence') -> Iterator[Violation]:
        """Yield everything that violates the statement."""
        raise NotImplementedError


EVENT_KINDS: Final[Registry[str, type[EventKind]]] = Registry('event kinds')
FAULT_KINDS: Final[Registry[str, type[FaultKind]]] = Registry('fault kinds')
OUTCOME_KINDS: Final[Registry[str, type[OutcomeKind]]] = Registry(
    'outcome kinds',
)


def set_attribute(target: Any, attribute: str, setting: Any) -> Undo:
    """Set an attribute; the returned function restores its old value."""
    old_setting = getattr(target, attribute)
    setattr(target, attribute, setting)
    return partial(setattr, target, attribute, old_setting)


def combine_undos(calls: list[Undo]) -> Undo:
    """Return a function that calls all given functions in order."""
    return partial(_call_all, calls)


def _call_all(calls: list[Undo]) -> None:
    for call in calls:
        call()
