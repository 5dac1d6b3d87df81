"""The listener for calls of other processes.

A call is for a partition that this process owns; if it does not, the answer
says so and nothing was carried out.
"""

from functools import partial
from typing import Any

import capnp

from fuchsiarill.actor import Mailbox, Reply
from fuchsiarill.answers import JobAnswer, JobCancel, JobQuery
from fuchsiarill.cluster.encoding import SCHEMA, answer_fields, read_spec
from fuchsiarill.ids import CustomerId, JobId, PartitionId
from fuchsiarill.owner import messages
from fuchsiarill.routing import Route
from fuchsiarill.settings import PeerSettings


class _PeerServant(SCHEMA.Peer.Server):  # type: ignore[misc]
    """Turns calls into messages and replies into answers."""

    def __init__(self, router: Mailbox, settings: PeerSettings) -> None:
        self._router = router
        self._settings = settings

    async def submit(
        self,
        partition: str,
        specs: Any,
        _context: Any,
        **_extra: Any,
    ) -> None:
        reply: Reply[tuple[JobAnswer, ...]] = Reply()
        batch = tuple(read_spec(spec) for spec in specs)
        self._post(partition, messages.SubmitJobs(batch, reply))
        answers = await reply.wait(self._settings.call_timeout_ms)
        _context.results.answers = [answer_fields(one) for one in answers]

    async def query(
        self,
        partition: str,
        customer: str,
        jobId: str,
        waitMs: int,
        _context: Any,
        **_extra: Any,
    ) -> None:
        reply: Reply[JobAnswer] = Reply()
        query = JobQuery(CustomerId(customer), JobId(jobId), waitMs)
        self._post(partition, messages.AskJob(query, reply))
        answer = await reply.wait(self._settings.call_timeout_ms + waitMs)
        _context.results.answer = answer_fields(answer)

    async def cancel(
        self,
        partition: str,
        customer: str,
        jobId: str,
        _context: Any,
        **_extra: Any,
    ) -> None:
        reply: Reply[JobAnswer] = Reply()
        cancel = JobCancel(CustomerId(customer), JobId(jobId))
        self._post(partition, messages.CancelJob(cancel, reply))
        answer = await reply.wait(self._settings.call_timeout_ms)
        _context.results.answer = answer_fields(answer)

    def _post(
        self,
        partition: str,
        message: messages.SubmitJobs | messages.AskJob | messages.CancelJob,
    ) -> None:
        self._router.send(Route(PartitionId(partition), message, hops_left=0))


async def serve_peers(router: Mailbox, settings: PeerSettings) -> Any:
    """Listen for other processes; returns the server, which must be closed."""
    return await capnp.AsyncIoStream.create_server(
        partial(_connected, router, settings),
        settings.host,
        settings.port,
    )


async def _connected(
    router: Mailbox,
    settings: PeerSettings,
    stream: Any,
) -> None:
    servant = _PeerServant(router, settings)
    server = capnp.TwoPartyServer(stream, bootstrap=servant)
    await server.on_disconnect()
