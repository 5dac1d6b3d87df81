"""Named deployments: domains, latencies, workers and configuration."""

from importlib import resources
from typing import Annotated, Any, Final

import yaml
from pydantic import BaseModel, ConfigDict, Field

from fuchsiarill.cell_config import Amounts, CellConfig
from fuchsiarill.ids import FailureDomain, RackId, RegionId, WorkerId
from fuchsiarill.replay.network import Latencies
from fuchsiarill.workers import HostEntry, HostState

_Positive = Annotated[int, Field(gt=0)]
_DEPLOYMENTS_FOLDER: Final = resources.files('fuchsiarill.replay').joinpath(
    'deployments'
)


class TraceModel(BaseModel):
    """Base of the models of trace files; rejects unknown fields."""

    model_config = ConfigDict(extra='forbid', frozen=True)


class WorkerGroup(TraceModel):
    """Equal workers in racks of `rack_size`.

    Consecutive racks are assigned to the failure domains round-robin.
    """

    prefix: str
    count: _Positive
    rack_size: _Positive
    capacity: Amounts
    connections_count: _Positive = 64


class Deployment(TraceModel):
    """One region with its failure domains and its workers."""

    region: RegionId
    domains: tuple[FailureDomain, ...]
    domain_latency_ms: Annotated[float, Field(ge=0)]
    client_latency_ms: Annotated[float, Field(ge=0)] = 1
    worker_groups: tuple[WorkerGroup, ...]
    config: CellConfig

    @property
    def latencies(self) -> Latencies:
        """Return the latencies that the simulated network uses."""
        return Latencies(self.domain_latency_ms, self.client_latency_ms)

    def hosts(self) -> tuple[HostEntry, ...]:
        """Return the host list entries of all workers, as live."""
        return tuple(
            self._entry(group, index)
            for group in self.worker_groups
            for index in range(group.count)
        )

    def _entry(self, group: WorkerGroup, index: int) -> HostEntry:
        rack_index = index // group.rack_size
        worker_id = WorkerId(f'{group.prefix}-{index}')
        return HostEntry(
            worker_id=worker_id,
            address=worker_id,
            region=self.region,
            failure_domain=self.domains[rack_index % len(self.domains)],
            rack=RackId(f'{group.prefix}-rack-{rack_index}'),
            capacity=group.capacity.as_resources(),
            connections_count=group.connections_count,
            state=HostState.LIVE,
        )


def named_deployments() -> list[str]:
    """Return the names of the deployments in the package, sorted."""
    return sorted(
        entry.name.removesuffix('.yaml')
        for entry in _DEPLOYMENTS_FOLDER.iterdir()
        if entry.name.endswith('.yaml')
    )


def read_deployment(name: str) -> dict[str, Any]:
    """Load the YAML document of a named deployment."""
    text = _DEPLOYMENTS_FOLDER.joinpath(f'{name}.yaml').read_text()
    document: dict[str, Any] = yaml.safe_load(text)
    return document


def merge(base: Any, changes: Any) -> Any:
    """Return a document with changes merged into it.

    Mappings merge by key. A list of contracts merges by customer when the
    changes are a mapping of customers; a null entry removes the contract.
    Everything else is replaced.
    """
    if isinstance(base, dict) and isinstance(changes, dict):
        merged = dict(base)
        for key, change in changes.items():
            merged[key] = merge(base[key], change) if key in base else change
        return merged
    if isinstance(base, (list, tuple)) and isinstance(changes, dict):
        return _merge_contracts(list(base), changes)
    return changes


def _merge_contracts(
    base: list[dict[str, Any]],
    changes: dict[str, Any],
) -> list[dict[str, Any]]:
    merged = []
    known = set()
    for contract in base:
        customer = contract['customer']
        known.add(customer)
        change = changes.get(customer, {})
        if change is not None:
            merged.append(merge(contract, change))
    merged += [
        {'customer': customer, **changes[customer]}
        for customer in changes
        if customer not in known
    ]
    return merged
