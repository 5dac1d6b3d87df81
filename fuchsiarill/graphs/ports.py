"""Ports: interfaces of one process to the outside systems.

An adapter implements them and parses the documents of these systems.
"""

from collections.abc import Callable
from dataclasses import dataclass

from returns.result import Result

from fuchsiarill.graphs.model import GraphConfig, StepKey, Ticket, WorkerEntry
from fuchsiarill.ids import StoreKey, WorkerId
from fuchsiarill.ports.agents import AdvisorPort, AgentFailure, AgentPort
from fuchsiarill.ports.key_value import KeyValuePort


class DocumentError(Exception):
    """A document of an outside system is invalid; the text says why."""


@dataclass(frozen=True, slots=True)
class DocumentLayout:
    """Keys and parsers of the documents of operators and workers."""

    config_key: StoreKey
    # Prefix that is watched for changes of the configuration.
    config_prefix: str
    workers_prefix: str
    # Both raise `DocumentError`.
    read_config: Callable[[bytes], GraphConfig]
    read_worker: Callable[[WorkerId, bytes], WorkerEntry]


class BusyTrackingAdvisor:
    """An advisor that tracks whether a call of this process is in progress.

    The service handles one call at a time for each machine, so a concurrent
    call is better made by another process.
    """

    def __init__(self, advisor: AdvisorPort) -> None:
        """Track the calls of `advisor`."""
        self._advisor = advisor
        self._calls_count = 0

    @property
    def is_busy(self) -> bool:
        """Return whether a call is in progress."""
        return self._calls_count > 0

    async def advise(
        self,
        step: StepKey,
        workers: tuple[WorkerId, ...],
        timeout_ms: int,
    ) -> Result[dict[WorkerId, Ticket], AgentFailure]:
        """Forward a call; it counts as in progress until it returns."""
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
