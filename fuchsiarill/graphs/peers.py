"""What the processes of the graph scheduler do for each other.

The advice service serves one call at a time for each calling machine, so an
owner spreads its asks over all processes.
"""

from functools import partial
from typing import Any

import capnp
from returns.result import Failure, Success

from fuchsiarill.actor import Mailbox, Reply
from fuchsiarill.cluster.encoding import SCHEMA
from fuchsiarill.cluster.peer_link import PeerCall
from fuchsiarill.graphs.model import StepKey, Ticket
from fuchsiarill.ids import JobId, WorkerId
from fuchsiarill.ports.agents import AdvisorPort


class HelpServant(SCHEMA.Peer.Server):  # type: ignore[misc]
    """Asks the advice service on behalf of another process."""

    def __init__(self, advisor: AdvisorPort, timeout_ms: int) -> None:
        self._advisor = advisor
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
        answered = await self._advisor.advise(
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


async def serve_help(
    address: str,
    advisor: AdvisorPort,
    timeout_ms: int,
) -> Any:
    """Listen for other processes; returns the server, which must be closed."""
    host, port = address.rsplit(':', 1)
    return await capnp.AsyncIoStream.create_server(
        partial(_connected, advisor, timeout_ms),
        host,
        int(port),
    )


async def ask_peer(
    link: Mailbox,
    step: StepKey,
    workers: tuple[WorkerId, ...],
    timeout_ms: int,
) -> dict[WorkerId, Ticket] | None:
    """Ask for advice through a peer; returns `None` without an answer."""
    reply: Reply[Any] = Reply()
    request = {
        'job': step.job,
        'occurrence': step.occurrence,
        'step': step.step,
        'workers': list(workers),
    }
    link.send(
        PeerCall('advise', request, timeout_ms, reply, repeatable=False),
    )
    try:
        answered = await reply.wait(2 * timeout_ms)
    except TimeoutError:
        return None
    if isinstance(answered, Failure):
        return None
    result = answered.unwrap()
    if not result.answered:
        return None
    return {
        WorkerId(row.worker): Ticket(row.ticket) for row in result.granted
    }


async def _connected(
    advisor: AdvisorPort,
    timeout_ms: int,
    stream: Any,
) -> None:
    servant = HelpServant(advisor, timeout_ms)
    server = capnp.TwoPartyServer(stream, bootstrap=servant)
    await server.on_disconnect()
