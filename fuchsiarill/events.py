"""Numbered log events, one registry; `docs/EVENTS.md` is written from it.

1xx process, 2xx configuration and membership, 3xx ownership and journal,
4xx workers, 5xx jobs, 6xx requests.
"""

import sys
from dataclasses import dataclass
from enum import Enum
from typing import Final

from loguru import logger

_BY_NUMBER: Final[dict[int, 'LogEvent']] = {}
_TEXT_FORMAT: Final = (
    '{time:YYYY-MM-DDTHH:mm:ss.SSSZ} {level} {extra[event]} {message}'
)


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
        """File the event; raises `ValueError` when its number is taken."""
        if self.number in _BY_NUMBER:
            raise ValueError(f'log event {self.number} is registered twice')
        _BY_NUMBER[self.number] = self


def all_events() -> list[LogEvent]:
    """Return every event in the order of its number."""
    return [_BY_NUMBER[number] for number in sorted(_BY_NUMBER)]


def emit(event: LogEvent, **parts: object) -> None:
    """Log an event with its fields."""
    bound = logger.bind(event=event.number, **parts)
    bound.log(event.level.value, event.template.format(**parts))


def configure_logging(log_format: LogFormat, level: Level) -> None:
    """Send log lines to standard error in the given format."""
    logger.remove()
    logger.configure(extra={'event': 0})
    logger.add(
        sys.stderr,
        level=level.value,
        format=_TEXT_FORMAT,
        serialize=log_format is LogFormat.JSON,
        backtrace=False,
        diagnose=False,
    )


_NO_ACTION: Final = 'None.'

PROCESS_STARTED: Final = LogEvent(
    101,
    Level.INFO,
    'process {process} serves in failure domain {failure_domain}',
    _NO_ACTION,
)
PROCESS_DRAINING: Final = LogEvent(
    102,
    Level.INFO,
    'process {process} drains',
    _NO_ACTION,
)
PROCESS_STOPPED: Final = LogEvent(
    103,
    Level.INFO,
    'process {process} has stopped',
    _NO_ACTION,
)
ACTOR_FAILED: Final = LogEvent(
    104,
    Level.ERROR,
    'actor {actor} failed on {message_type}: {error}',
    'Report the line as a defect; the process goes on with the next message.',
)
ACTOR_DIED: Final = LogEvent(
    105,
    Level.ERROR,
    'actor {actor} has ended by itself and the process ends: {error}',
    'Report the line as a defect; another process takes over.',
)
CONFIG_IN_FORCE: Final = LogEvent(
    201,
    Level.INFO,
    'configuration generation {generation} is in force',
    _NO_ACTION,
)
CONFIG_REJECTED: Final = LogEvent(
    202,
    Level.ERROR,
    'configuration generation {generation} by {author!r} is not taken: '
    '{problem}',
    'The generation before stays in force; apply a document without the fault.',
)
MEMBER_REMOVED: Final = LogEvent(
    203,
    Level.WARNING,
    'process {process} has been silent and is removed from the view',
    'Check the entry host and the links of its failure domain.',
)
OWNERSHIP_ACQUIRED: Final = LogEvent(
    301,
    Level.INFO,
    'partition {partition} is owned with epoch {epoch}',
    _NO_ACTION,
)
OWNERSHIP_LOST: Final = LogEvent(
    302,
    Level.WARNING,
    'partition {partition} is given up: {reason}',
    'Check the store and the load of the process if this recurs.',
)
JOURNAL_REFUSED: Final = LogEvent(
    303,
    Level.ERROR,
    'the journal of partition {partition} is not read: {fault}',
    'Run a version that knows the format, or restore the keys of the '
    'partition; nothing of it is changed meanwhile.',
)
OWNERSHIP_UNCONFIRMED: Final = LogEvent(
    304,
    Level.WARNING,
    'the store does not confirm the ownership of partition {partition}; '
    'only urgent idempotent work is started',
    'Check the store and the network to it; running tasks go on.',
)
OWNERSHIP_CONFIRMED: Final = LogEvent(
    305,
    Level.INFO,
    'the ownership of partition {partition} is confirmed again',
    _NO_ACTION,
)
OWNER_ACTOR_DIED: Final = LogEvent(
    306,
    Level.ERROR,
    '{actor}: an actor has ended by itself: {error}',
    'Report the line as a defect; the partition is given up and taken anew.',
)
WORKER_UNREACHABLE: Final = LogEvent(
    401,
    Level.WARNING,
    'worker {worker} does not answer',
    'Check the host; its tasks restart elsewhere when their leases lapse.',
)
REQUEST_FAILED: Final = LogEvent(
    601,
    Level.ERROR,
    'request of {path} failed: {error}',
    'Report the line as a defect; the caller was answered with its code.',
)
