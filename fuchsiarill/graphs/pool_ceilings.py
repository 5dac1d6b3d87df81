"""Ceilings of customers as the owner of one pool knows and applies them."""

from dataclasses import dataclass, field

from fuchsiarill.contracts.ceilings import (
    excess,
    limited,
    without_limit,
)
from fuchsiarill.contracts.contract import CustomerContract
from fuchsiarill.graphs.claim_ledger import ClaimLedger
from fuchsiarill.graphs.model import GraphConfig, StepKey
from fuchsiarill.ids import ABSENT, CustomerId, Revision
from fuchsiarill.resources import NO_RESOURCES, Resources, lower_of


@dataclass(frozen=True, slots=True)
class CeilingWait:
    """The first step of a customer that waits for its ceiling.

    A claim that is larger by `charge` than the use lets its next unit start.
    """

    step: StepKey
    rank_ms: int
    charge: Resources
    since_ms: int
    since_unix_ms: int
    # The step keeps room under the ceiling from later ones.
    is_reserving: bool = False

    @property
    def order(self) -> tuple[int, StepKey]:
        """Return the key by which steps are scheduled."""
        return (self.rank_ms, self.step)


@dataclass(slots=True)
class PoolCeilings:
    """Known ceilings, the claims on them, and what follows for new starts."""

    ledger: ClaimLedger
    # Ceilings of the configuration, and the last ones of removed customers.
    known: dict[CustomerId, Resources] = field(default_factory=dict)
    # Customers with a contract.
    configured: frozenset[CustomerId] = frozenset()
    # Customers of inherited jobs. Without a contract, their work waits for the
    # first list, which may show their last ceiling.
    unlisted: set[CustomerId] = field(default_factory=set)
    # Claims of the previous owner of the pool, which may have runs that this
    # owner does not know yet.
    inherited: dict[CustomerId, Resources] = field(default_factory=dict)
    # What start orders of the previous owner may still allocate.
    late_uses: dict[CustomerId, Resources] = field(default_factory=dict)
    # Start orders of the previous owner may be unanswered.
    has_late_starts: bool = True
    # Shares of customers for which another pool waits.
    shares: dict[CustomerId, Resources] = field(default_factory=dict)
    # Customers whose ceiling was lowered. Nothing of them starts before the
    # claims that the others made until then are known.
    lowered: set[CustomerId] = field(default_factory=set)
    # Customers that got a limit while they may have had runs without it, and
    # until when (`None` before the next plan) only the use is claimed.
    introduced: dict[CustomerId, int | None] = field(default_factory=dict)
    config_revision: Revision = ABSENT
    waits: dict[CustomerId, CeilingWait] = field(default_factory=dict)
    # When the claim of a customer became larger than its demand.
    excess_since_ms: dict[CustomerId, int] = field(default_factory=dict)
    # A step has begun to wait since the last review of the claims.
    is_review_due: bool = False
    is_call_pending: bool = False
    next_call_ms: int = 0
    next_review_ms: int = 0
    next_list_ms: int = 0
    next_report_ms: int = 0
    next_observation_ms: int = 0
    _limits: dict[CustomerId, Resources] = field(default_factory=dict)

    def configure(self, config: GraphConfig) -> None:
        """Apply a configuration.

        A customer without a contract keeps its ceiling for its remaining work.
        """
        earlier = self.configured
        self.configured = frozenset(
            contract.customer for contract in config.contracts
        )
        for contract in config.contracts:
            customer = contract.customer
            if contract.has_ceiling:
                if customer in earlier and self._adds_limit(contract):
                    self.introduced[customer] = None
                self._set_ceiling(customer, contract.ceiling)
            else:
                self.known.pop(customer, None)
        self.config_revision = config.revision
        self.forget_limits()

    def inherit(self, config: GraphConfig) -> None:
        """Take over the claims in the record of the previous owner.

        The ceiling of a removed customer that is not in it may be in the record
        of another pool; the latest one tells it.
        """
        self.unlisted.clear()
        for customer, row in self.ledger.own.rows.items():
            self.inherited[customer] = row.claimed
        for record in self.ledger.latest_first():
            for customer, row in record.rows.items():
                if config.contracts.find(customer) is None:
                    self.known.setdefault(customer, row.ceiling)

    def limit_of(self, customer: CustomerId) -> Resources | None:
        """Return up to which use runs of a customer may start in the pool.

        Returns `None` for a customer without a ceiling. Claims of others that
        were made under a higher ceiling reduce the limit.
        """
        ceiling = self.known.get(customer)
        if ceiling is None:
            is_unlisted = customer in self.unlisted - self.configured
            return NO_RESOURCES if is_unlisted else None
        limit = self._limits.get(customer)
        if limit is None:
            limit = self._compute_limit(customer, ceiling)
            self._limits[customer] = limit
        return limit

    def add_inherited(self, customer: CustomerId | None) -> None:
        """Take note of the customer of an inherited job."""
        if customer is not None and not self.ledger.listed_revision:
            self.unlisted.add(customer)

    def room_beside_others(self, customer: CustomerId) -> Resources:
        """Return what the other pools leave of a customer's ceiling."""
        claimed = self.ledger.claimed_by_others(customer)
        return excess(self.known[customer], claimed)

    def forget_limits(self) -> None:
        """Compute the limits anew after a change of what they depend on."""
        self._limits.clear()

    @property
    def needs_list(self) -> bool:
        """Tell whether the records must be read before the next write.

        A pool that the configuration does not name any more may have made its
        first claims under an earlier one, so the list has to be as late as the
        configuration.
        """
        ledger = self.ledger
        if not ledger.listed_revision or ledger.is_uncertain:
            return True
        return ledger.listed_revision < self.config_revision

    def _adds_limit(self, contract: CustomerContract) -> bool:
        """Tell whether a component gets a limit that it did not have."""
        previous = self.known.get(contract.customer, NO_RESOURCES)
        return limited(contract.ceiling, previous) != contract.ceiling

    def _set_ceiling(self, customer: CustomerId, ceiling: Resources) -> None:
        previous = self.known.get(customer)
        self.known[customer] = ceiling
        if previous is not None and not previous.fits_in(ceiling):
            self.lowered.add(customer)

    def _compute_limit(
        self, customer: CustomerId, ceiling: Resources
    ) -> Resources:
        if customer in self.lowered and self.needs_list:
            return without_limit(NO_RESOURCES, ceiling)
        limit = lower_of(
            limited(self.ledger.counted(customer), ceiling),
            self.room_beside_others(customer),
        )
        share = self.shares.get(customer)
        if share is not None:
            limit = lower_of(limit, share)
        return without_limit(limit, ceiling)
