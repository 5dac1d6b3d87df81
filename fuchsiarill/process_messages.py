"""Messages to the actor that runs the life of a process."""

from dataclasses import dataclass
from typing import Any

from returns.result import Result

from fuchsiarill.actor import Mailbox, Reply
from fuchsiarill.ids import ProcessId
from fuchsiarill.refusal import Refusal


@dataclass(frozen=True, slots=True)
class Receivers:
    """The actors that requests of callers and other processes go to."""

    router: Mailbox
    membership: Mailbox
    config: Mailbox
    process: Mailbox


@dataclass(frozen=True, slots=True)
class DrainAsked:
    """The process is to end gracefully."""


@dataclass(frozen=True, slots=True)
class AskDump:
    """Asks for the state of all actors of this process, as JSON."""

    reply: Reply[str]


@dataclass(frozen=True, slots=True)
class ForwardDump:
    """Asks for the dump of a process; `None` stands for this one."""

    process: ProcessId | None
    reply: Reply[Result[str, Refusal]]


@dataclass(frozen=True, slots=True)
class AskHosts:
    """Asks for the host list as rows; `None` when it can't be read."""

    reply: Reply[list[dict[str, Any]] | None]


@dataclass(frozen=True, slots=True)
class Measures:
    """What a scrape of the metrics reads from the actors."""

    generation: int
    owned_partitions_count: int
    mailbox_counts: dict[str, int]
    queued_counts: dict[str, int]


@dataclass(frozen=True, slots=True)
class AskMeasures:
    """Asks for the measures of this moment."""

    reply: Reply[Measures]
