"""Evidence that the store is down for all processes, not only for this one.

An owner that loses the store can't distinguish a store outage from a failure
of its own link. In an outage it may continue to renew task leases; behind a
failed link a new owner waits for these leases to expire, so renewals must
stop. The evidence of an outage is that a process in every failure domain of
the region has reported, in an answer to a call of this process, that it can't
reach the store either. Relayed reports don't count, since they may be outdated.
"""

from fuchsiarill.cluster.member_table import Member
from fuchsiarill.core.recovery import OUTAGE_EVIDENCE_VALID_MS


class StoreEvidence:
    """Answers of other processes about whether they reach the store."""

    def __init__(self) -> None:
        """Start without evidence."""
        self._reported_down_at_ms: dict[str, int] = {}
        self._reported_up_at_ms = 0

    def record_answer(
        self,
        own_member: Member,
        members: tuple[Member, ...],
        call: tuple[str, int],
    ) -> None:
        """Record the state of the store as reported from an address.

        `call` is the address and the time at which the call was sent. Evidence
        is required from the failure domain of every other process seen in the
        region, even after the process has left the view: the silence of a
        whole domain may be a network failure.
        """
        address, requested_at_ms = call
        for member in members:
            detail = member.detail
            if detail.process == own_member.detail.process:
                continue
            if detail.region != own_member.detail.region:
                continue
            self._reported_down_at_ms.setdefault(detail.failure_domain, 0)
            if detail.address == address:
                self._record_report(member, requested_at_ms)

    def outage_until_ms(self) -> int:
        """Return the end of the assumed outage; 0 without evidence."""
        oldest_ms = min(self._reported_down_at_ms.values(), default=0)
        if oldest_ms <= self._reported_up_at_ms:
            return 0
        return oldest_ms + OUTAGE_EVIDENCE_VALID_MS

    def _record_report(self, member: Member, requested_at_ms: int) -> None:
        if not member.beat.store_is_down:
            self._reported_up_at_ms = max(
                self._reported_up_at_ms, requested_at_ms
            )
            return
        domain = member.detail.failure_domain
        self._reported_down_at_ms[domain] = max(
            self._reported_down_at_ms[domain], requested_at_ms
        )
