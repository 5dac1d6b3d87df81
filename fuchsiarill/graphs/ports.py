"""What the graph scheduler needs of an adapter, besides the ports."""

from collections.abc import Callable
from dataclasses import dataclass

from returns.result import Result

from fuchsiarill.graphs.model import GraphConfig, StepKey, Ticket, WorkerEntry
from fuchsiarill.ids import StoreKey, WorkerId
from fuchsiarill.ports.agents import AdvisorPort, AgentFailure, AgentPort
from fuchsiarill.ports.key_value import KeyValuePort


class DocumentError(Exception):
    """A document of an outside system can't be used; the text says why."""


@dataclass(frozen=True, slots=True)
class DocumentLayout:
    """Where operators and workers leave their documents in the store."""

    config_key: StoreKey
    # Changes of the configuration are watched under this prefix.
    config_prefix: str
    workers_prefix: str
    # Each raises `DocumentError`.
    read_config: Callable[[bytes], GraphConfig]
    read_worker: Callable[[WorkerId, bytes], WorkerEntry]


class BusyTrackingAdvisor:
    """An advisor that tells whether a call of this process is in progress.

    The service serves one call of a machine after the other, so a second one
    is better made by another process.
    """

    def __init__(self, advisor: AdvisorPort) -> None:
        """Watch the calls of `advisor`."""
        self._advisor = advisor
        self._calls_count = 0

    @property
    def is_busy(self) -> bool:
        """Tell whether a call is in progress."""
        return self._calls_count > 0

    async def advise(
        self,
        step: StepKey,
        workers: tuple[WorkerId, ...],
        timeout_ms: int,
    ) -> Result[dict[WorkerId, Ticket], AgentFailure]:
        """Pass a call on."""
        self._calls_count += 1
        try:
            return await self._advisor.advise(step, workers, timeout_ms)
        finally:
            self._calls_count -= 1


@dataclass(frozen=True, slots=True)
class GraphPorts:
    """The outside systems of one process."""

    store: KeyValuePort
    agents: AgentPort
    advisor: BusyTrackingAdvisor
    documents: DocumentLayout
