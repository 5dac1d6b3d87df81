"""Settings of a process that serves job graphs, in YAML."""

import math
from pathlib import Path
from typing import Final

import yaml
from pydantic import BaseModel, ConfigDict, Field, ValidationError
from returns.result import Failure, Result, Success

from fuchsiarill.connection_limits import ConnectionLimits, PeerLimits
from fuchsiarill.ids import FailureDomain, ProcessId
from fuchsiarill.log_event import Level


class _Section(BaseModel):
    model_config = ConfigDict(frozen=True, extra='forbid')


class ListenSettings(_Section):
    """Addresses that the process listens on, each a host with a port."""

    callers: str
    readiness: str
    # Calls from the other processes.
    peers: str
    # Metrics and the state dump.
    metrics: str


class OutsideSettings(_Section):
    """Addresses of the outside systems."""

    store: str
    advice: str = ''


# Needs of an owner of several hundred workers; see docs/CAPACITY.md.
_OWNER_MIN_PROCESSORS: Final = 0.75
_OWNER_MIN_LINK_MBPS: Final = 50.0


class MachineSettings(_Section):
    """Resources of the machine of the process."""

    # Share of each processor that the process gets, and the speed of each as
    # a multiple of that of a usual processor.
    processor_share: float = 1.0
    processor_speed: float = 1.0
    link_mbps: float = 1000.0

    @property
    def is_small(self) -> bool:
        """Return whether the machine is too small for an owner."""
        processors = self.processor_share * self.processor_speed
        return processors < _OWNER_MIN_PROCESSORS or (
            self.link_mbps < _OWNER_MIN_LINK_MBPS
        )


class OwnershipSettings(_Section):
    """Timing of the lease under which a process owns a pool."""

    # The owner key of a killed owner is deleted after this time at the
    # latest. An owner that can't renew its lease is suspended after this
    # time, less `lease_margin_ms`.
    lease_ttl_ms: int = 1900
    renewal_interval_ms: int = 350
    # Covers the delay of links and the difference between clock rates.
    lease_margin_ms: int = 300
    # Maximum random delay of a campaign.
    campaign_spread_ms: int = 10


class TaskLeaseSettings(_Section):
    """Timing of the leases under which tasks run on workers."""

    # Longer than the replacement of an owner and than a store outage of
    # four seconds. Tasks of a lost worker start elsewhere after this time.
    wanted_ms: int = 5000
    # Workers reduce longer leases to this.
    allowed_ms: int = 6000
    # Share by which a worker's clock may run slow.
    clock_slowness: float = 0.02
    # A worker ends tasks with expired leases within this time after it
    # wakes up.
    wake_ms: int = 300
    # Time within which the platform may still execute a call without an
    # answer; its pages give no bound.
    late_call_ms: int = 12_000
    # Longest time for which a worker delays its answer to a renewal while it
    # waits for a run to end.
    renewal_wait_ms: int = 1000

    @property
    def duration_ms(self) -> int:
        """Return the duration of a lease, by the worker's clock."""
        return min(self.wanted_ms, self.allowed_ms)

    @property
    def longest_ms(self) -> int:
        """Return the time from the last renewal until all runs have ended."""
        return self._until_end_ms(self.duration_ms)

    @property
    def longest_allowed_ms(self) -> int:
        """Return the same time after a call that may act on any incarnation.

        Its expiry may be far ahead of the clock there, so that the worker
        reduces the lease to the longest that it allows.
        """
        return self._until_end_ms(self.allowed_ms)

    def _until_end_ms(self, duration_ms: int) -> int:
        slow_ms = duration_ms / (1 - self.clock_slowness)
        return math.ceil(slow_ms) + self.wake_ms


class CallSettings(_Section):
    """Time-outs of calls, and limits of the threads that make them."""

    store_timeout_ms: int = 700
    # Workers answer in one round trip, about 10 ms between domains.
    worker_timeout_ms: int = 350
    advice_timeout_ms: int = 5000
    # Pause before a store call that failed for a caller is repeated.
    submit_retry_ms: int = 120
    # A request of a caller whose store calls fail is refused after this time,
    # unless a write may have taken effect.
    submit_patience_ms: int = 700
    # Maximum numbers of threads: for short calls to outside systems, and for
    # long polls, such as watches of the store and renewals.
    threads_max_count: int = 48
    waits_max_count: int = 400


class FrontSettings(_Section):
    """Limits of the HTTP front end."""

    threads_count: int = 12
    # Of the 1,638 descriptors of the smallest machine, 200 are for files, 448
    # for calls, and 192 for the other listeners.
    connections_max_count: int = 768
    # Time by which an answer precedes the deadline of the caller; at most half
    # of the caller's time-out is used.
    answer_margin_ms: int = 250
    # Minimum time from a SIGTERM until the process ends. Callers are served
    # until then.
    drain_ms: int = 3500
    # Value of the `Retry-After` header of a refusal.
    retry_after_s: int = 1


class RetentionSettings(_Section):
    """How long settled jobs can be looked up."""

    settled_job_ms: int = 150_000


class LoadSettings(_Section):
    """Admission by the load of the pools, and what it needs."""

    # Whether submissions are refused because of load; without a value, where
    # the configuration has contracts of customers.
    is_enabled: bool | None = None
    # Interval at which an owner publishes the load while work waits.
    publish_interval_ms: int = 500
    # A submission reads the published load again if its copy is older.
    cache_ms: int = 500
    # An older state of load counts as unknown. Covers the interval, the cache,
    # a slow write and a slow read.
    record_max_age_ms: int = 2000
    # Maximum difference between the wall clocks of two machines.
    clock_skew_max_ms: int = 5000

    def applies(self, *, has_contracts: bool) -> bool:
        """Return whether the load is published and submissions are refused."""
        return has_contracts if self.is_enabled is None else self.is_enabled


class GraphSettings(_Section):
    """Contents of the settings file of a process."""

    process: ProcessId
    failure_domain: FailureDomain
    listen: ListenSettings
    outside: OutsideSettings
    machine: MachineSettings = Field(default_factory=MachineSettings)
    ownership: OwnershipSettings = Field(default_factory=OwnershipSettings)
    task_lease: TaskLeaseSettings = Field(default_factory=TaskLeaseSettings)
    calls: CallSettings = Field(default_factory=CallSettings)
    front: FrontSettings = Field(default_factory=FrontSettings)
    connections: ConnectionLimits = Field(default_factory=ConnectionLimits)
    peer_connections: PeerLimits = Field(default_factory=PeerLimits)
    retention: RetentionSettings = Field(default_factory=RetentionSettings)
    load: LoadSettings = Field(default_factory=LoadSettings)
    # Time within which a configuration has to be in force everywhere.
    config_apply_ms: int = 2000
    log_level: Level = Level.INFO

    @property
    def watch_wait_ms(self) -> int:
        """Return after which time the store answers a watch without changes.

        A dead connection delays a new configuration by this time, and the
        call that replaces it needs the rest of `config_apply_ms`.
        """
        return self.config_apply_ms // 2


def parse_graph_settings(text: str) -> Result[GraphSettings, tuple[str, ...]]:
    """Parse settings; a failure has one text for each problem."""
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
    """Read a settings file; a failure has one text for each problem."""
    try:
        text = path.read_text()
    except OSError as error:
        return Failure((f'{path}: {error.strerror}',))
    return parse_graph_settings(text)
