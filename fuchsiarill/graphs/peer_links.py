"""Links to the other processes, shared by all who call them."""

from typing import Any, Final

from returns.result import Failure, Result

from fuchsiarill.actor import Reply, handles
from fuchsiarill.clock import now_ms
from fuchsiarill.cluster.peer_link import PeerCall, PeerLink
from fuchsiarill.cluster.peer_port import PeerFailure
from fuchsiarill.cluster.spawning import SpawningActor
from fuchsiarill.ids import ProcessId
from fuchsiarill.settings import PeerSettings

# A process that did not answer is left alone for this time.
_SUSPENSION_MS: Final = 1500
# The callee answers by itself before its caller gives up.
_ANSWER_MARGIN_MS: Final = 250


class PeersListed:
    """Addresses of the other processes."""

    def __init__(self, addresses: dict[ProcessId, str]) -> None:
        """Keep a copy of the addresses."""
        self.addresses = dict(addresses)


class PeerLinks(SpawningActor):
    """Owns a link for each process that the store names."""

    def __init__(self) -> None:
        """Start without links."""
        super().__init__('peer links')
        self._links: dict[ProcessId, PeerLink] = {}
        self._suspended_ms: dict[ProcessId, int] = {}
        self._turn = 0

    async def stop(self) -> None:
        """Close all links."""
        for link in self._links.values():
            await link.stop()
        await super().stop()

    @property
    def processes(self) -> tuple[ProcessId, ...]:
        """Return the processes that are not suspended."""
        now = now_ms()
        return tuple(
            process
            for process in self._links
            if self._suspended_ms.get(process, 0) <= now
        )

    @handles(PeersListed)
    async def on_peers(self, message: PeersListed) -> None:
        """Open and close links."""
        for process, address in message.addresses.items():
            link = self._links.get(process)
            if link is not None and link.address == address:
                continue
            self._close(process)
            self._open(process, address)
        for process in list(self._links):
            if process not in message.addresses:
                self._close(process)

    def next_process(self) -> ProcessId | None:
        """Return a process to try, another one each time."""
        processes = self.processes
        if not processes:
            return None
        self._turn += 1
        return processes[self._turn % len(processes)]

    def suspend(self, process: ProcessId) -> None:
        """Leave a process alone for a while."""
        self._suspended_ms[process] = now_ms() + _SUSPENSION_MS

    async def call(
        self,
        process: ProcessId,
        method: str,
        request: dict[str, Any],
        timeout_ms: int,
    ) -> Result[Any, PeerFailure]:
        """Call a process; one that does not answer is suspended."""
        link = self._links.get(process)
        if link is None:
            return Failure(PeerFailure.NOT_SENT)
        reply: Reply[Result[Any, PeerFailure]] = Reply()
        limit_ms = timeout_ms + _ANSWER_MARGIN_MS
        link.mailbox.send(
            PeerCall(method, request, limit_ms, reply, repeatable=False),
        )
        try:
            answer = await reply.wait(limit_ms + _ANSWER_MARGIN_MS)
        except TimeoutError:
            answer = Failure(PeerFailure.NO_ANSWER)
        if isinstance(answer, Failure):
            self.suspend(process)
        return answer

    def _open(self, process: ProcessId, address: str) -> None:
        host, port = address.rsplit(':', 1)
        link = PeerLink(address, PeerSettings(host=host, port=int(port)))
        link.start()
        self._links[process] = link

    def _close(self, process: ProcessId) -> None:
        former = self._links.pop(process, None)
        if former is not None:
            self.spawn(former.stop())
