"""What the processes of the graph scheduler do for each other.

The advice service serves one call at a time for each calling machine, so an
owner spreads its asks over all processes; and a process that the store turns
away calls it through another one.
"""

from dataclasses import dataclass
from functools import partial
from typing import Any

import capnp
from returns.result import Failure, Success

from fuchsiarill.cluster.encoding import SCHEMA
from fuchsiarill.graphs.model import StepKey, Ticket
from fuchsiarill.graphs.peer_links import PeerLinks
from fuchsiarill.graphs.ports import GraphPorts
from fuchsiarill.graphs.store_encoding import STORE_CALL_HANDLERS, answer_fields
from fuchsiarill.ids import JobId, ProcessId, WorkerId


class OutsideCallServer(SCHEMA.Peer.Server):  # type: ignore[misc]
    """Calls the outside systems on behalf of another process.

    Its ports reach the outside systems directly: a relayed call is not
    relayed again.
    """

    def __init__(self, ports: GraphPorts, timeout_ms: int) -> None:
        self._ports = ports
        self._timeout_ms = timeout_ms

    async def advise(
        self,
        job: str,
        occurrence: int,
        step: int,
        workers: Any,
        _context: Any,
        **_extra: Any,
    ) -> None:
        if self._ports.advisor.is_busy:
            _context.results.isBusy = True
            return
        answered = await self._ports.advisor.advise(
            StepKey(JobId(job), occurrence, step),
            tuple(WorkerId(worker) for worker in workers),
            self._timeout_ms,
        )
        _context.results.answered = isinstance(answered, Success)
        if isinstance(answered, Success):
            _context.results.granted = [
                {'worker': worker, 'ticket': ticket}
                for worker, ticket in answered.unwrap().items()
            ]

    async def callStore(  # noqa: N802
        self,
        call: Any,
        _context: Any,
        **_extra: Any,
    ) -> None:
        carry_out = STORE_CALL_HANDLERS.lookup(call.kind)
        answered = await carry_out(self._ports.store, call)
        _context.results.answer = answer_fields(answered)


async def serve_graph_peers(
    address: str, ports: GraphPorts, timeout_ms: int
) -> Any:
    """Listen for other processes; returns the server, which must be closed."""
    host, port = address.rsplit(':', 1)
    return await capnp.AsyncIoStream.create_server(
        partial(_connected, ports, timeout_ms),
        host,
        int(port),
    )


@dataclass(frozen=True, slots=True)
class PeerAdvice:
    """Answer of a peer; without tickets it could not ask."""

    granted: dict[WorkerId, Ticket] | None = None
    is_busy: bool = False


async def request_advice_from_peer(
    links: PeerLinks,
    process: ProcessId,
    step: StepKey,
    workers: tuple[WorkerId, ...],
    timeout_ms: int,
) -> PeerAdvice:
    """Ask for advice through a peer."""
    request = {
        'job': step.job,
        'occurrence': step.occurrence,
        'step': step.step,
        'workers': list(workers),
    }
    answered = await links.call(process, 'advise', request, timeout_ms)
    if isinstance(answered, Failure):
        return PeerAdvice()
    answer = answered.unwrap()
    if not answer.answered:
        return PeerAdvice(is_busy=answer.isBusy)
    return PeerAdvice(
        {WorkerId(row.worker): Ticket(row.ticket) for row in answer.granted},
    )


async def _connected(ports: GraphPorts, timeout_ms: int, stream: Any) -> None:
    servant = OutsideCallServer(ports, timeout_ms)
    server = capnp.TwoPartyServer(stream, bootstrap=servant)
    await server.on_disconnect()
