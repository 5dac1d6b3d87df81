"""What the graph scheduler needs of an adapter, besides the ports."""

from collections.abc import Callable
from dataclasses import dataclass

from fuchsiarill.graphs.model import GraphConfig, WorkerEntry
from fuchsiarill.ids import StoreKey, WorkerId
from fuchsiarill.ports.agents import AdvisorPort, AgentPort
from fuchsiarill.ports.key_value import KeyValuePort


class DocumentError(Exception):
    """A document of an outside system can't be used; the text says why."""


@dataclass(frozen=True, slots=True)
class Directory:
    """Where operators and workers leave their documents in the store."""

    config_key: StoreKey
    # Changes of the configuration are watched under this prefix.
    config_prefix: str
    workers_prefix: str
    # Each raises `DocumentError`.
    read_config: Callable[[bytes], GraphConfig]
    read_worker: Callable[[WorkerId, bytes], WorkerEntry]


@dataclass(frozen=True, slots=True)
class GraphPorts:
    """The outside systems of one process."""

    store: KeyValuePort
    agents: AgentPort
    advisor: AdvisorPort
    directory: Directory
