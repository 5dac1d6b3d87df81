"""Messages to the actor that controls the lifecycle of a process."""

from collections import Counter
from dataclasses import dataclass, field
from typing import Any

from returns.result import Result

from fuchsiarill.actor import Mailbox, Reply
from fuchsiarill.ids import ProcessId
from fuchsiarill.refusal import Refusal


@dataclass(frozen=True, slots=True)
class Receivers:
    """Mailboxes for the requests of callers and of other processes."""

    router: Mailbox
    membership: Mailbox
    config: Mailbox
    process: Mailbox


@dataclass(frozen=True, slots=True)
class DrainRequested:
    """Requests a graceful end of the process."""


@dataclass(frozen=True, slots=True)
class GetDump:
    """Requests the state of all actors of this process, as JSON."""

    reply: Reply[str]


@dataclass(frozen=True, slots=True)
class ForwardDump:
    """Requests the dump of a process; `None` means this process."""

    process: ProcessId | None
    reply: Reply[Result[str, Refusal]]


@dataclass(frozen=True, slots=True)
class GetHosts:
    """Requests the host list as rows; the reply is `None` on a failed read."""

    reply: Reply[list[dict[str, Any]] | None]


@dataclass(slots=True)
class Measures:
    """Values that a scrape of the metrics reads from the actors.

    `decision_counts` has one count for each upper bound of decision times, and
    one for longer times; `decisions_ms` is the sum of all decision times.
    """

    generation: int = 0
    owned_partitions_count: int = 0
    mailbox_counts: Counter[str] = field(default_factory=Counter)
    queued_counts: Counter[str] = field(default_factory=Counter)
    decision_counts: tuple[int, ...] = ()
    decisions_ms: float = 0


@dataclass(frozen=True, slots=True)
class GetMeasures:
    """Requests the current measures."""

    reply: Reply[Measures]
