"""Numbered log events: their type and the registry that they join."""

from dataclasses import dataclass
from enum import Enum
from typing import Final

EVENTS_BY_NUMBER: Final[dict[int, 'LogEvent']] = {}
# Advice of an event on which an operator need not act.
NO_ACTION: Final = 'None.'


class Level(Enum):
    """Severity, with the names that loguru uses."""

    DEBUG = 'DEBUG'
    INFO = 'INFO'
    WARNING = 'WARNING'
    ERROR = 'ERROR'


class LogFormat(Enum):
    """How log lines are written."""

    TEXT = 'text'
    JSON = 'json'


@dataclass(frozen=True, slots=True)
class LogEvent:
    """One numbered event; creating it adds it to the registry.

    `template` is filled with the fields given to `emit`. `advice` tells an
    operator what to do.
    """

    number: int
    level: Level
    template: str
    advice: str

    def __post_init__(self) -> None:
        """Register the event; raises `ValueError` when its number is taken."""
        if self.number in EVENTS_BY_NUMBER:
            raise ValueError(f'log event {self.number} is registered twice')
        EVENTS_BY_NUMBER[self.number] = self
