"""Calls between processes of the graph scheduler.

The peers of a process are the other processes. The advice service serves one
call at a time for each calling machine, so an owner distributes its requests
over all processes. A process that can't reach the store calls it through a
peer.
"""

from dataclasses import dataclass
from functools import partial
from typing import Any

import capnp
from returns.result import Failure, Success

from fuchsiarill.cluster.job_encoding import SCHEMA
from fuchsiarill.cluster.peer_connections import PeerConnections
from fuchsiarill.graphs import keys
from fuchsiarill.graphs.model import StepKey, Ticket
from fuchsiarill.graphs.peer_links import PeerLinks
from fuchsiarill.graphs.ports import GraphPorts
from fuchsiarill.graphs.store_encoding import (
    STORE_CALL_HANDLERS,
    encode_answer,
    encode_get,
)
from fuchsiarill.ids import JobId, ProcessId, WorkerId


class OutsideCallServer(SCHEMA.Peer.Server):  # type: ignore[misc]
    """Calls outside systems on behalf of another process.

    Its ports reach the outside systems directly, so a relayed call is never
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
        call_result = await self._ports.advisor.advise(
            StepKey(JobId(job), occurrence, step),
            tuple(WorkerId(worker) for worker in workers),
            self._timeout_ms,
        )
        _context.results.answered = isinstance(call_result, Success)
        if isinstance(call_result, Success):
            _context.results.granted = [
                {'worker': worker, 'ticket': ticket}
                for worker, ticket in call_result.unwrap().items()
            ]

    async def callStore(  # noqa: N802
        self,
        call: Any,
        _context: Any,
        **_extra: Any,
    ) -> None:
        handle_call = STORE_CALL_HANDLERS.lookup(call.kind)
        call_result = await handle_call(self._ports.store, call)
        _context.results.answer = encode_answer(call_result)


async def serve_graph_peers(
    address: str,
    ports: GraphPorts,
    timeout_ms: int,
    connections: PeerConnections,
) -> Any:
    """Listen for calls of peers; returns the server."""
    host, port = address.rsplit(':', 1)
    return await capnp.AsyncIoStream.create_server(
        partial(_serve_connection, ports, timeout_ms, connections),
        host,
        int(port),
    )


@dataclass(frozen=True, slots=True)
class PeerAdvice:
    """Answer of a peer; `tickets` is `None` if the service gave no answer."""

    tickets: dict[WorkerId, Ticket] | None = None
    is_busy: bool = False


async def request_advice_from_peer(
    links: PeerLinks,
    process: ProcessId,
    step: StepKey,
    workers: tuple[WorkerId, ...],
    timeout_ms: int,
) -> PeerAdvice:
    """Request advice for `step` on `workers` through a peer."""
    request = {
        'job': step.job,
        'occurrence': step.occurrence,
        'step': step.step,
        'workers': list(workers),
    }
    call_result = await links.call(process, 'advise', request, timeout_ms)
    if isinstance(call_result, Failure):
        return PeerAdvice()
    answer = call_result.unwrap()
    if not answer.answered:
        return PeerAdvice(is_busy=answer.isBusy)
    return PeerAdvice(
        {
            WorkerId(grant.worker): Ticket(grant.ticket)
            for grant in answer.granted
        },
    )


async def can_peer_reach_store(
    links: PeerLinks, process: ProcessId, timeout_ms: int
) -> bool:
    """Tell whether a peer answers and can read the store."""
    read = encode_get(keys.process_key(process), timeout_ms)
    call_result = await links.call(
        process, 'callStore', {'call': read}, timeout_ms
    )
    if isinstance(call_result, Failure):
        return False
    return not call_result.unwrap().answer.failure


async def _serve_connection(
    ports: GraphPorts,
    timeout_ms: int,
    connections: PeerConnections,
    stream: Any,
) -> None:
    await connections.serve(stream, OutsideCallServer(ports, timeout_ms))
