"""Hosts file of an example: the processes that the demo starts.

It lists the failure domains, the entry processes and the workers by rack.
Ports are chosen at the start.
"""

from collections.abc import Iterator
from pathlib import Path
from typing import Annotated, Final

import yaml
from pydantic import BaseModel, ConfigDict, Field

from fuchsiarill.cell_config import Amounts
from fuchsiarill.ids import (
    CustomerId,
    FailureDomain,
    ProcessId,
    RackId,
    RegionId,
    WorkerId,
)
from standins.worker_settings import Deviation

EXAMPLES: Final = Path(__file__).resolve().parent.parent / 'examples'

_Positive = Annotated[int, Field(gt=0)]
_Count = Annotated[int, Field(ge=0)]


class _Model(BaseModel):
    model_config = ConfigDict(extra='forbid', frozen=True)


class EntryProcess(_Model):
    """Name and failure domain of one daemon."""

    process: ProcessId
    failure_domain: FailureDomain


class Rack(_Model):
    """Workers of one rack, all with the capacity called `shape`."""

    rack: RackId
    failure_domain: FailureDomain
    shape: str
    workers_count: _Positive


class Deployment(_Model):
    """Content of the file; `tokens` are the callers' tokens by customer.

    The operator's token has the name `operator`.
    """

    deployment: str
    configuration: Path
    region: RegionId
    host_list_lag_ms: _Count
    tokens: dict[str, str]
    entry_processes: tuple[EntryProcess, ...]
    shapes: dict[str, Amounts]
    racks: tuple[Rack, ...]
    deviation: Deviation = Deviation()

    @property
    def customers(self) -> tuple[CustomerId, ...]:
        """Return the customers in the order of the file.

        The demo requests accelerators for all but the first.
        """
        return tuple(
            CustomerId(name) for name in self.tokens if name != 'operator'
        )

    def workers(self) -> Iterator[tuple[WorkerId, Rack]]:
        """Yield each worker with its rack, numbered from 1 in each rack."""
        for rack in self.racks:
            for number in range(1, rack.workers_count + 1):
                yield WorkerId(f'{rack.rack}-{number:02}'), rack


def load_deployment(path: Path) -> Deployment:
    """Read and validate a hosts file.

    Raises `OSError`, `yaml.YAMLError` or `pydantic.ValidationError`.
    """
    return Deployment.model_validate(yaml.safe_load(path.read_text()))
