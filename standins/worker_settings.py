"""The YAML file of one worker process, which can serve several workers."""

from pathlib import Path
from typing import Annotated

import yaml
from pydantic import BaseModel, ConfigDict, Field

from fuchsiarill.cell_config import Amounts
from fuchsiarill.ids import FailureDomain, RackId, RegionId, WorkerId
from fuchsiarill.workers import HostEntry, HostState

_Count = Annotated[int, Field(ge=0)]
_Factor = Annotated[float, Field(ge=1, le=100)]


class _Model(BaseModel):
    model_config = ConfigDict(extra='forbid', frozen=True)


class Deviation(_Model):
    """How far real sizes and run times are from the declared ones.

    Each class of payloads gets a factor between `1 / max` and `max`, drawn
    from the seed; each attempt varies by a tenth around it.
    """

    seed: int = 1
    size_factor_max: _Factor = 1
    run_time_factor_max: _Factor = 1


class OneWorker(_Model):
    """One worker: where it is and what it offers.

    `clock_offset_ms` is the difference of its clock from the system's.
    """

    worker_id: WorkerId
    port: int
    region: RegionId
    failure_domain: FailureDomain
    rack: RackId
    capacity: Amounts
    connections_count: _Count = 64
    clock_offset_ms: int = 0


class WorkerProcessSettings(_Model):
    """All workers of one process; each writes `<log_folder>/<id>.jsonl`."""

    log_folder: Path
    workers: tuple[OneWorker, ...]
    usage_lag_ms: _Count = 1_000
    deviation: Deviation = Deviation()


def load_worker_settings(path: Path) -> WorkerProcessSettings:
    """Read the file.

    Raises `OSError`, `yaml.YAMLError` or `pydantic.ValidationError`.
    """
    return WorkerProcessSettings.model_validate(
        yaml.safe_load(path.read_text()),
    )


def host_entry(worker: OneWorker) -> HostEntry:
    """Return the row of the host list for a live worker."""
    return HostEntry(
        worker_id=worker.worker_id,
        address=f'127.0.0.1:{worker.port}',
        region=worker.region,
        failure_domain=worker.failure_domain,
        rack=worker.rack,
        capacity=worker.capacity.as_resources(),
        connections_count=worker.connections_count,
        state=HostState.LIVE,
    )
