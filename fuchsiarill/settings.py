"""Settings of one process, read from YAML at start.

They hold only names, the failure domain, addresses, limits, times and log
options; all policy is in the cell configuration. `--check` of the daemon
reports every problem at once.
"""

from pathlib import Path
from typing import Annotated, Final

from pydantic import BaseModel, ConfigDict, Field
from returns.result import Failure, Result

from fuchsiarill.connection_limits import ConnectionLimits, PeerLimits
from fuchsiarill.ids import FailureDomain, ProcessId, RegionId
from fuchsiarill.log_event import Level, LogFormat
from fuchsiarill.yaml_document import read_yaml

_SETTINGS_MAX_BYTES: Final = 100_000
_PositiveInt = Annotated[int, Field(gt=0)]
_Count = Annotated[int, Field(ge=0)]
_PORT_MAX: Final = 65_535
_Port = Annotated[int, Field(ge=0, le=_PORT_MAX)]
# `Membership` acts when the round number modulo the interval is 1, which never
# happens with an interval of one round.
_IntervalRounds = Annotated[int, Field(ge=2)]


class _Model(BaseModel):
    model_config = ConfigDict(extra='forbid', frozen=True)


class StoreSettings(_Model):
    """Address of the store, and times of its calls and ownership leases."""

    url: str
    call_timeout_ms: _PositiveInt = 1_000
    owner_lease_ms: _PositiveInt = 3_000
    owner_renew_interval_ms: _PositiveInt = 1_000
    owner_margin_ms: _PositiveInt = 300
    commit_interval_ms: _PositiveInt = 20


class HttpSettings(_Model):
    """The HTTP listener and its limits.

    `waits_max_count` bounds the requests that wait for an event, such as the
    end of a job. Requests that need a token are refused while more than
    `messages_waiting_max_count` messages wait for the router.
    """

    host: str = '127.0.0.1'
    port: _Port
    threads_count: _PositiveInt = 16
    body_max_bytes: _PositiveInt = 1_000_000
    header_max_bytes: _PositiveInt = 16_000
    request_timeout_ms: _PositiveInt = 10_000
    connections_max_count: _PositiveInt = 256
    requests_max_count: _PositiveInt = 64
    waits_max_count: _Count = 8
    messages_waiting_max_count: _PositiveInt = 2_048
    connections: ConnectionLimits = ConnectionLimits()


class PeerSettings(_Model):
    """The listener for other processes, and limits of calls to them."""

    host: str = '127.0.0.1'
    port: _Port
    call_timeout_ms: _PositiveInt = 2_000
    calls_in_progress_max: _PositiveInt = 512
    batch_max_count: _PositiveInt = 256
    idle_after_ms: _PositiveInt = 60_000
    limits: PeerLimits = PeerLimits()


class MembershipSettings(_Model):
    """How processes discover each other and detect silent ones.

    `seeds` are addresses to try besides those in the directory, for example
    when the store is unreachable at start.
    `suspect_after_ms` is several times as long as gossip takes to reach 200
    processes.
    """

    gossip_interval_ms: _PositiveInt = 1_000
    gossip_peers_count: _PositiveInt = 3
    suspect_after_ms: _PositiveInt = 5_000
    remove_after_ms: _PositiveInt = 15_000
    forget_after_ms: _PositiveInt = 120_000
    directory_retry_rounds: _IntervalRounds = 3
    seeds: tuple[str, ...] = ()


class ConfigSettings(_Model):
    """How the cell configuration reaches this process.

    Polling is the fallback for the watch, offers and gossip.
    For `collect_ms` a starting process collects documents from the store and
    its peers; then it puts the highest generation found in force.
    """

    watch_wait_ms: _PositiveInt = 20_000
    poll_interval_ms: _PositiveInt = 30_000
    retry_interval_ms: _PositiveInt = 500
    collect_ms: _PositiveInt = 1_500


class DrainSettings(_Model):
    """Longest duration of each step of a drain, in the order of the steps.

    `notice_ms` is the time in which the load balancer detects that the
    readiness check fails. `answers_ms` bounds the requests in progress; closing
    the front end may take as long again.
    """

    notice_ms: _Count = 2_000
    hand_over_ms: _PositiveInt = 5_000
    answers_ms: _PositiveInt = 10_000
    leave_ms: _PositiveInt = 2_000


class HostListSettings(_Model):
    """Address of the host list, and the interval of reading it."""

    url: str
    poll_interval_ms: _PositiveInt = 1_000


class WorkerSettings(_Model):
    """Time limits of calls to workers.

    A worker is silent when its calls have failed for `silent_after_ms`.
    """

    call_timeout_ms: _PositiveInt = 2_000
    silent_after_ms: _PositiveInt = 5_000


class ProcessSettings(_Model):
    """The whole settings file of a daemon."""

    process: ProcessId
    region: RegionId
    failure_domain: FailureDomain
    http: HttpSettings
    peers: PeerSettings
    store: StoreSettings
    host_list: HostListSettings
    workers: WorkerSettings = WorkerSettings()
    membership: MembershipSettings = MembershipSettings()
    config: ConfigSettings = ConfigSettings()
    drain: DrainSettings = DrainSettings()
    log_format: LogFormat = LogFormat.TEXT
    log_level: Level = Level.INFO


def load_settings(
    path: Path,
) -> Result[ProcessSettings, tuple[str, ...]]:
    """Read the settings file; fails with one sentence for each problem."""
    try:
        text = path.read_text()
    except (OSError, UnicodeDecodeError) as error:
        return Failure((f'{path}: {error}',))
    check_result = read_yaml(text, _SETTINGS_MAX_BYTES).bind(
        lambda document: document.check_model(ProcessSettings),
    )
    return check_result.alt(
        lambda problems: tuple(
            f'{path}: {problem.sentence}' for problem in problems
        ),
    )
