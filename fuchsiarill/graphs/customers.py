"""What each customer has allocated in one pool."""

from collections import defaultdict

from fuchsiarill.contracts.contract import CustomerContracts
from fuchsiarill.contracts.rates import JobRates
from fuchsiarill.graphs.runs import Run
from fuchsiarill.ids import CustomerId
from fuchsiarill.resources import NO_RESOURCES, Resources


def held_by(run: Run) -> Resources:
    """Return what a run counts for its customer.

    The processors of a filler count, although its worker is not charged them.
    """
    return run.charge + Resources(run.filler_milli)


class CustomerTable:
    """Resources of the runs of each customer whose ends are not known."""

    def __init__(self) -> None:
        """Create the table of a pool without runs."""
        self._uses: defaultdict[CustomerId, Resources] = defaultdict(Resources)
        # Jobs that this owner has seen accepted.
        self.rates = JobRates()

    def use_of(self, customer: CustomerId) -> Resources:
        """Return what a customer has allocated in the pool."""
        return self._uses.get(customer, NO_RESOURCES)

    def uses(self) -> dict[CustomerId, Resources]:
        """Return what each customer with runs has allocated in the pool."""
        return dict(self._uses)

    def count_job(
        self,
        contracts: CustomerContracts,
        customer: CustomerId | None,
        now_ms: int,
    ) -> None:
        """Count a new job in the rate of its customer's contract."""
        if customer is None:
            return
        contract = contracts.find(customer)
        if contract is not None:
            self.rates.count(customer, contract.weight, now_ms)

    def allocate(self, run: Run) -> None:
        """Count a new run; one without a customer is not counted."""
        if run.customer is not None:
            self._uses[run.customer] += held_by(run)

    def release(self, run: Run) -> None:
        """Discount a counted run that has ended."""
        if run.customer is None:
            return
        remaining = self._uses[run.customer] - held_by(run)
        if remaining == NO_RESOURCES:
            self._uses.pop(run.customer)
            return
        self._uses[run.customer] = remaining
