"""Links to the other processes, shared by all actors of a process.

A link is an actor that owns the connection to one process.
"""

from collections.abc import Collection
from typing import Any, Final

from returns.result import Failure, Result

from fuchsiarill.actor import Reply, handles
from fuchsiarill.clock import now_ms, sleep_ms
from fuchsiarill.cluster.peer_link import PeerCall, PeerLink
from fuchsiarill.cluster.peer_port import PeerFailure
from fuchsiarill.cluster.spawning_actor import SpawningActor
from fuchsiarill.ids import ProcessId
from fuchsiarill.settings import PeerSettings

# Processes are left out of `processes` for this time after a call over their
# link failed, or after they could not reach the store for a relayed call.
_SUSPENSION_MS: Final = 1500
# A process that drains answers for about this time after its withdrawal.
_CLOSING_MAX_MS: Final = 2500
_CLOSING_POLL_MS: Final = 50
# The callee reaches its own deadline before the caller's time-out.
_ANSWER_MARGIN_MS: Final = 250


class PeersListed:
    """Addresses of the other processes, as listed in the store."""

    def __init__(self, addresses: dict[ProcessId, str]) -> None:
        """Copy the addresses, since the sender changes its own."""
        self.addresses = dict(addresses)


class PeerLinks(SpawningActor):
    """Owns a link to each other process that the store lists."""

    def __init__(self) -> None:
        """Create without links."""
        super().__init__('peer links')
        self._links: dict[ProcessId, PeerLink] = {}
        self._suspended_until_ms: dict[ProcessId, int] = {}
        self._next_index = 0

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
            if self._suspended_until_ms.get(process, 0) <= now
        )

    @handles(PeersListed)
    async def on_peers_listed(self, message: PeersListed) -> None:
        """Open and close links to match the listed addresses."""
        for process, address in message.addresses.items():
            link = self._links.get(process)
            if link is not None and link.address == address:
                continue
            self._close_link(process)
            self._open_link(process, address)
        for process in list(self._links):
            if process not in message.addresses:
                self._close_link(process)

    def next_process(
        self, excluded: Collection[ProcessId] = ()
    ) -> ProcessId | None:
        """Return the next of `processes`, in round-robin order."""
        processes = [
            process for process in self.processes if process not in excluded
        ]
        if not processes:
            return None
        self._next_index += 1
        return processes[self._next_index % len(processes)]

    def suspend(self, process: ProcessId) -> None:
        """Exclude a process from `processes` for a fixed time."""
        self._suspended_until_ms[process] = now_ms() + _SUSPENSION_MS

    async def call(
        self,
        process: ProcessId,
        method: str,
        request: dict[str, Any],
        timeout_ms: int,
    ) -> Result[Any, PeerFailure]:
        """Call a process; suspend it if the call over its link fails."""
        link = self._links.get(process)
        if link is None:
            return Failure(PeerFailure.NOT_SENT)
        reply: Reply[Result[Any, PeerFailure]] = Reply()
        call_timeout_ms = timeout_ms + _ANSWER_MARGIN_MS
        link.mailbox.send(
            PeerCall(method, request, call_timeout_ms, reply, repeatable=False),
        )
        try:
            call_result = await reply.wait(call_timeout_ms + _ANSWER_MARGIN_MS)
        except TimeoutError:
            call_result = Failure(PeerFailure.NO_ANSWER)
        if isinstance(call_result, Failure):
            self.suspend(process)
        return call_result

    def _open_link(self, process: ProcessId, address: str) -> None:
        host, port = address.rsplit(':', 1)
        link = PeerLink(address, PeerSettings(host=host, port=int(port)))
        link.start()
        self._links[process] = link

    def _close_link(self, process: ProcessId) -> None:
        link = self._links.pop(process, None)
        if link is not None:
            self.spawn(_stop_when_idle(link))


async def _stop_when_idle(link: PeerLink) -> None:
    """Stop a link once its calls have ended, or after a limit.

    A process that drains withdraws its address and answers calls for some
    time after that.
    """
    deadline_ms = now_ms() + _CLOSING_MAX_MS
    while link.calls_count and now_ms() < deadline_ms:
        await sleep_ms(_CLOSING_POLL_MS)
    await link.stop()
