"""Messages that a campaign gets from its helpers and from membership."""

from collections.abc import Mapping
from dataclasses import dataclass

from fuchsiarill.ids import ProcessId
from fuchsiarill.owner.journal_format import JournalFault
from fuchsiarill.owner.journal_reader import JournalRead
from fuchsiarill.ports.store import Versioned


@dataclass(frozen=True, slots=True)
class OwnershipLost:
    """The store does not know the lease of the owner any longer."""

    token: str


@dataclass(frozen=True, slots=True)
class DeadlinePassed:
    """The deadline of the ownership may have passed."""


@dataclass(frozen=True, slots=True)
class OwnerKeyRead:
    """The owner key was read."""

    found: Versioned


@dataclass(frozen=True, slots=True)
class ElectionDue:
    """The turn of this process to claim a vacant partition has come."""


@dataclass(frozen=True, slots=True)
class CandidatesUpdated:
    """The live processes of the region and how many partitions each owns."""

    loads: Mapping[ProcessId, int]


@dataclass(frozen=True, slots=True)
class LeaseRenewed:
    """The lease of the owner was renewed."""

    token: str
    requested_at_ms: int


@dataclass(frozen=True, slots=True)
class TakenOver:
    """The journal was read and an epoch opened."""

    token: str
    journal: JournalRead


@dataclass(frozen=True, slots=True)
class TakeoverFailed:
    """The journal could not be taken over."""

    token: str
    fault: JournalFault
