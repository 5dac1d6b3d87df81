"""Links between processes of a test in one loop, with faults.

Calls pass through the capnp messages of the real links, but not through
sockets.
"""

from types import SimpleNamespace
from typing import Any, Final

from returns.result import Failure, Result, Success

from fuchsiarill.clock import now_ms, sleep_ms
from fuchsiarill.cluster.job_encoding import SCHEMA
from fuchsiarill.cluster.peer_port import PeerFailure
from fuchsiarill.graphs.peer_links import PeerLinks
from fuchsiarill.graphs.peers import OutsideCallServer
from fuchsiarill.ids import ProcessId

_DELAY_MS: Final = 4
_POLL_INTERVAL_MS: Final = 5


class LocalNetwork:
    """The servers of all processes; a paused one answers calls later."""

    def __init__(self) -> None:
        """Create without processes."""
        self.servers: dict[ProcessId, OutsideCallServer] = {}
        self.paused: set[ProcessId] = set()
        # Processes whose answers to collections are lost.
        self.losing_answers: set[ProcessId] = set()
        self.calls: list[tuple[ProcessId, str]] = []


class LocalPeers(PeerLinks):
    """Links of one process to the others of a `LocalNetwork`."""

    def __init__(self, process: ProcessId, network: LocalNetwork) -> None:
        """Create the links of `process`."""
        super().__init__()
        self._process = process
        self._network = network

    @property
    def processes(self) -> tuple[ProcessId, ...]:
        """Return the other processes that are not suspended."""
        now = now_ms()
        return tuple(
            process
            for process in self._network.servers
            if process != self._process
            and self._suspended_until_ms.get(process, 0) <= now
        )

    def has_link(self, process: ProcessId) -> bool:
        """Tell whether the process runs."""
        return process in self._network.servers

    async def call(
        self,
        process: ProcessId,
        method: str,
        request: dict[str, Any],
        timeout_ms: int,
    ) -> Result[Any, PeerFailure]:
        """Call a process; a call that times out may take effect later."""
        self._network.calls.append((process, method))
        delivering = self.spawn(self._execute(process, method, request))
        deadline_ms = now_ms() + timeout_ms
        while not delivering.done() and now_ms() < deadline_ms:
            await sleep_ms(1)
        if delivering.done() and not delivering.cancelled():
            answer: Any = delivering.result()
            if answer is not None:
                return Success(answer)
        self.suspend(process)
        return Failure(PeerFailure.NO_ANSWER)

    async def _execute(
        self, process: ProcessId, method: str, request: dict[str, Any]
    ) -> Any:
        await sleep_ms(_DELAY_MS)
        while process in self._network.paused:
            await sleep_ms(_POLL_INTERVAL_MS)
        server = self._network.servers.get(process)
        if server is None:
            return None
        context = SimpleNamespace(results=SimpleNamespace())
        await getattr(server, method)(**_receive(request), _context=context)
        if process in self._network.losing_answers:
            return None
        return _receive_results(context.results)


def _receive(request: dict[str, Any]) -> dict[str, Any]:
    """Return the request as a server reads it."""
    calls = request.get('calls')
    if calls is None:
        return request
    return request | {
        'calls': [SCHEMA.AgentCall.new_message(**fields) for fields in calls]
    }


def _receive_results(results: Any) -> Any:
    """Return the results as a caller reads them."""
    if hasattr(results, 'answers'):
        results.answers = [
            SCHEMA.AgentAnswer.new_message(**fields)
            for fields in results.answers
        ]
    return results
