"""Settings file of one worker process, which can serve many workers."""

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
    """Deviation of real sizes and run times from the declared ones.

    Each class of payloads has a factor between `1 / max` and `max`, drawn
    from the seed; the factor of an attempt differs from it by up to a tenth.
    """

    seed: int = 1
    size_factor_max: _Factor = 1
    run_time_factor_max: _Factor = 1


class WorkerDefinition(_Model):
    """Location, capacity and clock of one worker.

    `clock_offset_ms` is added to the system clock to get the clock of the first
    incarnation; that of a later one begins at zero.
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
    """All workers of one process; each writes `<log_folder>/<id>.jsonl`.

    A worker reports the real usage of a task once the task has run for
    `usage_lag_ms` or has ended.
    """

    log_folder: Path
    workers: tuple[WorkerDefinition, ...]
    usage_lag_ms: _Count = 1_000
    deviation: Deviation = Deviation()


def load_worker_settings(path: Path) -> WorkerProcessSettings:
    """Read and validate a settings file.

    Raises `OSError`, `yaml.YAMLError` or `pydantic.ValidationError`.
    """
    return WorkerProcessSettings.model_validate(
        yaml.safe_load(path.read_text()),
    )


def host_entry(worker: WorkerDefinition) -> HostEntry:
    """Return the host list entry of a live worker."""
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
