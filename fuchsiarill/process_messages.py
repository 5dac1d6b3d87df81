"""Messages to the actor that runs the life of a process."""

from collections import Counter
from dataclasses import dataclass, field
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
class DrainRequested:
    """The process is to end gracefully."""


@dataclass(frozen=True, slots=True)
class GetDump:
    """Asks for the state of all actors of this process, as JSON."""

    reply: Reply[str]


@dataclass(frozen=True, slots=True)
class ForwardDump:
    """Asks for the dump of a process; `None` stands for this one."""

    process: ProcessId | None
    reply: Reply[Result[str, Refusal]]


@dataclass(frozen=True, slots=True)
class GetHosts:
    """Asks for the host list as rows; `None` when it can't be read."""

    reply: Reply[list[dict[str, Any]] | None]


@dataclass(slots=True)
class Measures:
    """What a scrape of the metrics reads from the actors.

    `decision_counts` has one count for each bound of the decision times and
    one without bound.
    """

    generation: int = 0
    owned_partitions_count: int = 0
    mailbox_counts: Counter[str] = field(default_factory=Counter)
    queued_counts: Counter[str] = field(default_factory=Counter)
    decision_counts: tuple[int, ...] = ()
    decisions_ms: float = 0


@dataclass(frozen=True, slots=True)
class GetMeasures:
    """Asks for the measures of this moment."""

    reply: Reply[Measures]
