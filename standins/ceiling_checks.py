"""Check of the ceilings of customers over all workers."""

from collections.abc import Iterable, Mapping

from fuchsiarill.contracts.ceilings import limited
from fuchsiarill.resources import NO_RESOURCES, Resources
from standins.agent_incarnation import AgentModel


def find_excess(
    agents: Iterable[AgentModel],
    customer: str | None,
    ceilings: Mapping[str, Resources],
) -> str | None:
    """Return by what a customer is over its ceiling; `None` if it is not."""
    ceiling = None if customer is None else ceilings.get(customer)
    if ceiling is None:
        return None
    used = NO_RESOURCES
    for agent in agents:
        agent.end_due_runs()
        for run in agent.runs.values():
            if run.customer == customer:
                used += run.size
    if limited(used, ceiling).fits_in(ceiling):
        return None
    return f'brings {customer} over its ceiling, to {used.as_tuple()}'
