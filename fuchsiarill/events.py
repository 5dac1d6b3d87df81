"""Numbered log events in one registry, from which `docs/EVENTS.md` is written.

1xx process, 2xx configuration and membership, 3xx ownership and journal,
4xx workers, 5xx jobs, 6xx requests. `graph_events` has 7xx, of job graphs,
except that of the log itself.
"""

from typing import Final

from loguru import logger

from fuchsiarill.log_event import (
    EVENTS_BY_NUMBER,
    NO_ACTION,
    Level,
    LogEvent,
)


def all_events() -> list[LogEvent]:
    """Return every event in the order of its number."""
    return [EVENTS_BY_NUMBER[number] for number in sorted(EVENTS_BY_NUMBER)]


def emit(event: LogEvent, **fields: object) -> None:
    """Log an event; `fields` fill its template and are bound to the line."""
    bound = logger.bind(event=event.number, **fields)
    bound.log(event.level.value, event.template.format(**fields))


PROCESS_STARTED: Final = LogEvent(
    101,
    Level.INFO,
    'process {process} serves in failure domain {failure_domain}',
    NO_ACTION,
)
PROCESS_DRAINING: Final = LogEvent(
    102,
    Level.INFO,
    'process {process} is draining',
    NO_ACTION,
)
PROCESS_STOPPED: Final = LogEvent(
    103,
    Level.INFO,
    'process {process} has stopped',
    NO_ACTION,
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
    'actor {actor} ended unexpectedly, so the process ends: {error}',
    'Report the line as a defect; another process takes over.',
)
CALL_FAILED: Final = LogEvent(
    106,
    Level.ERROR,
    'a call of actor {actor} failed: {error}',
    'Report the line as a defect; requests that wait for the call time out.',
)
CONFIG_IN_FORCE: Final = LogEvent(
    201,
    Level.INFO,
    'configuration generation {generation} is in force',
    NO_ACTION,
)
CONFIG_REJECTED: Final = LogEvent(
    202,
    Level.ERROR,
    'configuration generation {generation} by {author!r} is rejected: '
    '{problem}',
    'The previous generation stays in force; apply a corrected document.',
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
    NO_ACTION,
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
    'the journal of partition {partition} cannot be read: {fault}',
    'Run a version that supports the format, or restore the keys of the '
    'partition; they are not changed meanwhile.',
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
    NO_ACTION,
)
OWNER_ACTOR_DIED: Final = LogEvent(
    306,
    Level.ERROR,
    '{actor}: an actor ended unexpectedly: {error}',
    'Report the line as a defect; the partition is released and reacquired.',
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
    'Report the line as a defect; the caller received an error.',
)
CLIENTS_REFUSED: Final = LogEvent(
    602,
    Level.WARNING,
    'listener {listener} has refused {count} requests or connections since the '
    'last such line at the limit {limit}, the last one from {address}: '
    '{problem}',
    'See "Limits on connections" in OPERATIONS.md if ordinary clients are met.',
)
LISTENER_FAILED: Final = LogEvent(
    603,
    Level.ERROR,
    'listener {listener} has a problem: {error}',
    'Report the line as a defect; the listener goes on.',
)
LOG_LINES_DROPPED: Final = LogEvent(
    746,
    Level.WARNING,
    '{count} log lines were dropped because the output does not keep up',
    'Read the output faster or raise the log level.',
)
