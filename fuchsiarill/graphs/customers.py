"""What each customer has allocated in one pool."""

from collections import defaultdict

from fuchsiarill.graphs.model import Step
from fuchsiarill.graphs.runs import Run
from fuchsiarill.ids import CustomerId
from fuchsiarill.resources import NO_RESOURCES, Resources


def held_by(run: Run) -> Resources:
    """Return what a run counts for its customer.

    The processors of a filler count, although its worker is not charged them.
    """
    return run.charge + Resources(run.filler_milli)


def unit_hold(spec: Step) -> Resources:
    """Return what a unit of a step (a task or a gang) counts when it starts."""
    task_hold = spec.charge + Resources(spec.filler_milli)
    return task_hold.times(spec.tasks_count) if spec.is_gang else task_hold


class CustomerTable:
    """Resources of the runs of each customer whose ends are not known."""

    def __init__(self) -> None:
        """Create the table of a pool without runs."""
        self._uses: defaultdict[CustomerId, Resources] = defaultdict(Resources)
        self._inherited_uses: defaultdict[CustomerId, Resources] = defaultdict(
            Resources
        )

    def use_of(self, customer: CustomerId) -> Resources:
        """Return what a customer has allocated in the pool."""
        return self._uses.get(customer, NO_RESOURCES)

    def inherited_use_of(self, customer: CustomerId) -> Resources:
        """Return the part of the use that a previous owner has allocated."""
        return self._inherited_uses.get(customer, NO_RESOURCES)

    def uses(self) -> dict[CustomerId, Resources]:
        """Return what each customer with runs has allocated in the pool."""
        return dict(self._uses)

    def allocate(self, run: Run) -> None:
        """Count a new run; one without a customer is not counted."""
        if run.customer is None:
            return
        for uses in self._tables_of(run):
            uses[run.customer] += held_by(run)

    def release(self, run: Run) -> None:
        """Discount a counted run that has ended."""
        if run.customer is None:
            return
        for uses in self._tables_of(run):
            uses[run.customer] -= held_by(run)
            if uses[run.customer] == NO_RESOURCES:
                uses.pop(run.customer)

    def _tables_of(
        self, run: Run
    ) -> tuple[defaultdict[CustomerId, Resources], ...]:
        if run.is_inherited:
            return (self._uses, self._inherited_uses)
        return (self._uses,)
