"""Messages to a campaign from its child actors, its timers and `Process`.

`token` is that of the claim to which a message refers; the campaign ignores
messages about earlier claims.
"""

from collections.abc import Mapping
from dataclasses import dataclass

from fuchsiarill.ids import ProcessId
from fuchsiarill.owner.journal_format import JournalFault
from fuchsiarill.owner.journal_reader import JournalContents
from fuchsiarill.ports.store import Versioned


@dataclass(frozen=True, slots=True)
class OwnershipLost:
    """The store no longer holds the lease of the owner."""

    token: str


@dataclass(frozen=True, slots=True)
class DeadlinePassed:
    """The ownership deadline has passed, unless it was extended since."""


@dataclass(frozen=True, slots=True)
class OwnerKeyRead:
    """Result of a read or a watch of the owner key."""

    owner_value: Versioned


@dataclass(frozen=True, slots=True)
class ElectionDue:
    """The delay before this process claims a vacant partition has passed."""


@dataclass(frozen=True, slots=True)
class CandidatesUpdated:
    """The live, serving processes of the region and each one's load.

    The load of a process is the number of partitions that it owns.
    """

    loads: Mapping[ProcessId, int]


@dataclass(frozen=True, slots=True)
class LeaseRenewed:
    """The lease was renewed by a call made at `requested_at_ms`."""

    token: str
    requested_at_ms: int


@dataclass(frozen=True, slots=True)
class TakenOver:
    """The journal was read and a new epoch was opened in it."""

    token: str
    journal: JournalContents


@dataclass(frozen=True, slots=True)
class TakeoverFailed:
    """The journal could not be read or its next epoch not opened."""

    token: str
    fault: JournalFault
