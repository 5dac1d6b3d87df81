"""What is known of the durable claims of a pool and of the other pools.

A write without an answer may be applied later, as long as its conditions hold:
it names the revision of the record that it replaces. Until that revision is
known to have changed, the lowest of all values that the record may have counts
as claimed. At most one call is in progress at a time, so that each answer is
later than the one before.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field

from fuchsiarill.graphs.claim_records import NO_CLAIMS, ClaimRecord
from fuchsiarill.graphs.model import PoolId
from fuchsiarill.ids import ABSENT, CustomerId, Revision
from fuchsiarill.resources import NO_RESOURCES, Resources, lower_of


@dataclass(frozen=True, slots=True)
class ClaimItem:
    """The claims record of a pool as it was read; empty if it is missing."""

    pool: PoolId
    record: ClaimRecord
    revision: Revision


@dataclass(slots=True)
class ClaimLedger:
    """The record of the own pool, the others, and writes without an answer."""

    pool: PoolId
    own: ClaimRecord = NO_CLAIMS
    own_revision: Revision = ABSENT
    others: dict[PoolId, ClaimItem] = field(default_factory=dict)
    # The records were listed at this revision; 0 before the first list.
    listed_revision: Revision = ABSENT
    # Writes to `own_revision` that were sent and may still be applied.
    unresolved: list[ClaimRecord] = field(default_factory=list)
    # A write got no answer since the last list.
    is_uncertain: bool = False

    def counted(self, customer: CustomerId) -> Resources:
        """Return what is certainly claimed for a customer."""
        claimed = self.own.claimed(customer)
        for record in self.unresolved:
            claimed = lower_of(claimed, record.claimed(customer))
        return claimed

    def claimed_by_others(self, customer: CustomerId) -> Resources:
        """Return what the other pools claim for a customer."""
        claims = (
            item.record.claimed(customer) for item in self.others.values()
        )
        return sum(claims, start=NO_RESOURCES)

    def revision_of(self, pool: PoolId) -> Revision:
        """Return the known revision of another pool's record."""
        item = self.others.get(pool)
        return ABSENT if item is None else item.revision

    def latest_first(self) -> list[ClaimRecord]:
        """Return the own record, then those of the others, the latest first."""
        others = sorted(
            self.others.values(), key=lambda item: item.revision, reverse=True
        )
        return [self.own, *(item.record for item in others)]

    def apply_list(
        self, items: Iterable[ClaimItem], revision: Revision
    ) -> None:
        """Apply a list of all records, read at `revision` or later."""
        listed = {item.pool: item for item in items}
        own = listed.pop(self.pool, ClaimItem(self.pool, NO_CLAIMS, ABSENT))
        self._apply_own(own)
        self.others = listed
        self.listed_revision = Revision(max(self.listed_revision, revision))
        self.is_uncertain = False

    def send_write(self, record: ClaimRecord) -> None:
        """Note a write that is being sent."""
        self.unresolved.append(record)

    def confirm_write(self, record: ClaimRecord, revision: Revision) -> None:
        """Note that a write was applied: no earlier one can be any more."""
        self.own = record
        self.own_revision = revision
        self.unresolved.clear()

    def refuse_write(
        self, record: ClaimRecord, items: Iterable[ClaimItem] = ()
    ) -> None:
        """Note that a write was not applied, and what records a conflict shows.

        An earlier write may have been applied instead, which the own record
        among `items` shows.
        """
        if record in self.unresolved:
            self.unresolved.remove(record)
        for item in items:
            if item.pool == self.pool:
                self._apply_own(item)
            else:
                self.others[item.pool] = item

    def lose_answer(self) -> None:
        """Note that the last write got no answer."""
        self.is_uncertain = True

    def _apply_own(self, item: ClaimItem) -> None:
        if item.revision == self.own_revision:
            return
        self.own = item.record
        self.own_revision = item.revision
        self.unresolved.clear()
