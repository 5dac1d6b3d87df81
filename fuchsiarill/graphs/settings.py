"""Settings of a process that serves job graphs, in YAML."""

from pathlib import Path
from typing import Final

import yaml
from pydantic import BaseModel, ConfigDict, Field, ValidationError
from returns.result import Failure, Result, Success

from fuchsiarill.events import Level
from fuchsiarill.ids import FailureDomain, ProcessId


class _Section(BaseModel):
    model_config = ConfigDict(frozen=True, extra='forbid')


class ListenSettings(_Section):
    """Addresses that the process listens on, each a host with a port."""

    callers: str
    readiness: str
    # Calls of the other processes.
    peers: str
    # Metrics and the state dump.
    metrics: str


class OutsideSettings(_Section):
    """Addresses of the outside systems."""

    store: str
    advice: str = ''


# An owner of some hundred workers uses this much; see docs/CAPACITY.md.
_OWNER_PROCESSORS: Final = 0.75
_OWNER_LINK_MBPS: Final = 50.0


class MachineSettings(_Section):
    """What the machine of the process offers."""

    # Share that the process gets of each processor, and their speed as a
    # multiple of a usual one.
    processor_share: float = 1.0
    processor_speed: float = 1.0
    link_mbps: float = 1000.0

    @property
    def is_small(self) -> bool:
        """Tell whether an owner is better run on another machine."""
        processors = self.processor_share * self.processor_speed
        return processors < _OWNER_PROCESSORS or (
            self.link_mbps < _OWNER_LINK_MBPS
        )


class OwnershipSettings(_Section):
    """Timing of the lease under which a process owns a pool."""

    # An owner that was killed is replaced after this time at the latest;
    # shorter outages of the store do not suspend the owner.
    lease_ttl_ms: int = 1900
    renewal_interval_ms: int = 350
    # Covers the links' delay and the clocks' difference in rate.
    lease_margin_ms: int = 300
    campaign_spread_ms: int = 40


class TaskLeaseSettings(_Section):
    """Timing of the leases under which tasks run on workers."""

    # Outlasts the replacement of an owner and an outage of the store of four
    # seconds; tasks of a lost worker start elsewhere after it.
    wanted_ms: int = 5000
    # Workers shorten longer leases to this.
    allowed_ms: int = 6000
    # A worker's clock may be this much slow.
    clock_slowness: float = 0.02
    # A woken worker ends what has lapsed within this time.
    wake_ms: int = 300
    # A worker answers a renewal that waits for an end after this time.
    renewal_wait_ms: int = 1000

    @property
    def duration_ms(self) -> int:
        """Return the length of a lease, by the worker's clock."""
        return min(self.wanted_ms, self.allowed_ms)

    @property
    def longest_ms(self) -> int:
        """Return when all has ended that an order leaves running."""
        slow_ms = self.duration_ms * (1 + self.clock_slowness)
        return int(slow_ms) + self.wake_ms


class CallSettings(_Section):
    """Deadlines of calls."""

    store_timeout_ms: int = 700
    # Workers answer in one round trip, about 10 ms between domains.
    worker_timeout_ms: int = 350
    advice_timeout_ms: int = 5000
    submit_retry_ms: int = 120
    # After this time a submission that the store refuses is refused too.
    submit_patience_ms: int = 700
    threads_max_count: int = 48
    waits_max_count: int = 400


class FrontSettings(_Section):
    """Limits of the HTTP front end."""

    threads_count: int = 12
    connections_max_count: int = 1000
    answer_margin_ms: int = 250
    # Time from a SIGTERM until the listener closes.
    drain_ms: int = 3500
    retry_after_s: int = 1


class RetentionSettings(_Section):
    """How long what has ended can be asked for."""

    settled_job_ms: int = 150_000


class GraphSettings(_Section):
    """Everything that a process learns from its settings file."""

    process: ProcessId
    failure_domain: FailureDomain
    listen: ListenSettings
    outside: OutsideSettings
    machine: MachineSettings = Field(default_factory=MachineSettings)
    ownership: OwnershipSettings = Field(default_factory=OwnershipSettings)
    task_lease: TaskLeaseSettings = Field(default_factory=TaskLeaseSettings)
    calls: CallSettings = Field(default_factory=CallSettings)
    front: FrontSettings = Field(default_factory=FrontSettings)
    retention: RetentionSettings = Field(default_factory=RetentionSettings)
    # A watch that hears nothing is answered after this time, so that a
    # silent connection is noticed within the bound of configurations.
    watch_wait_ms: int = 1000
    log_level: Level = Level.INFO


def parse_graph_settings(text: str) -> Result[GraphSettings, tuple[str, ...]]:
    """Read settings; a failure lists every problem, a line each."""
    try:
        document = yaml.safe_load(text)
        return Success(GraphSettings.model_validate(document))
    except yaml.YAMLError as error:
        return Failure((f'not YAML: {error}',))
    except ValidationError as error:
        return Failure(
            tuple(
                f'{".".join(map(str, row["loc"]))}: {row["msg"]}'
                for row in error.errors()
            ),
        )


def load_graph_settings(
    path: Path,
) -> Result[GraphSettings, tuple[str, ...]]:
    """Read a settings file; a failure names what is wrong with it."""
    try:
        text = path.read_text()
    except OSError as error:
        return Failure((f'{path}: {error.strerror}',))
    return parse_graph_settings(text)
