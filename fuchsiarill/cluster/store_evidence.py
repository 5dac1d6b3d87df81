"""Whether the store is down for everyone, as far as this process can tell.

An owner that loses the store can't tell an outage from a cut link. In an
outage it may go on renewing task leases; behind a cut link a new owner waits
for these leases to end, so renewals must end too. The evidence of an outage
is that a process in every failure domain has said, in an answer to a call of
this process, that the store is out of its reach too. Relayed words don't
count: they may be old.
"""

from fuchsiarill.cluster.member_table import Member
from fuchsiarill.core.recovery import OUTAGE_EVIDENCE_VALID_MS


class StoreEvidence:
    """What other processes have answered about the store."""

    def __init__(self) -> None:
        """Know of no other process."""
        self._down_at_ms: dict[str, int] = {}
        self._up_at_ms = 0

    def answered(
        self,
        own: Member,
        members: tuple[Member, ...],
        call: tuple[str, int],
    ) -> None:
        """Take over what the process at an address says of the store.

        `call` is the address and the time at which it was asked. Evidence is
        expected from the failure domain of every other process in the region,
        and for ever: silence of a whole domain may be a cut.
        """
        address, requested_at_ms = call
        for member in members:
            detail = member.detail
            if detail.process == own.detail.process:
                continue
            if detail.region != own.detail.region:
                continue
            self._down_at_ms.setdefault(detail.failure_domain, 0)
            if detail.address == address:
                self._note(member, requested_at_ms)

    def outage_until_ms(self) -> int:
        """Return until when an outage may be assumed; 0 without evidence."""
        oldest_ms = min(self._down_at_ms.values(), default=0)
        if oldest_ms <= self._up_at_ms:
            return 0
        return oldest_ms + OUTAGE_EVIDENCE_VALID_MS

    def _note(self, member: Member, requested_at_ms: int) -> None:
        if not member.beat.store_is_down:
            self._up_at_ms = max(self._up_at_ms, requested_at_ms)
            return
        domain = member.detail.failure_domain
        self._down_at_ms[domain] = max(
            self._down_at_ms[domain], requested_at_ms
        )
