"""The listener for calls from other processes.

A job call names a partition; if this process does not own the partition, the
answer is a refusal and the call had no effect. The server answers a job call
before the caller's deadline, so that a slow owner does not make the caller
close the connection.
"""

import json
from functools import partial
from typing import Any, Final, TypeVar

import capnp

from fuchsiarill import codes, texts
from fuchsiarill.actor import Reply
from fuchsiarill.answers import (
    JobAnswer,
    JobCancel,
    JobExplanation,
    JobList,
    JobQuery,
    refusal_answer,
)
from fuchsiarill.cluster.cluster_encoding import (
    document_fields,
    gossip_fields,
    read_document_struct,
    read_gossip,
)
from fuchsiarill.cluster.config_distribution import ConfigOffered, GetDocument
from fuchsiarill.cluster.config_document import ConfigDocument
from fuchsiarill.cluster.job_encoding import SCHEMA, answer_fields, read_spec
from fuchsiarill.cluster.member_table import Gossip
from fuchsiarill.cluster.membership import GossipReceived
from fuchsiarill.cluster.peer_connections import PeerConnections
from fuchsiarill.ids import CustomerId, Generation, JobId, PartitionId
from fuchsiarill.owner import messages
from fuchsiarill.process_messages import GetDump, Receivers
from fuchsiarill.reception.observation import ReceptionObserver
from fuchsiarill.refusal import refuse
from fuchsiarill.routing import ForwardToOwner, JobMessage, answer_all
from fuchsiarill.settings import PeerSettings
from fuchsiarill.states import JobState

_Answer = TypeVar('_Answer')

# Part of the caller's deadline after which the server stops waiting for the
# owner and answers that the outcome is uncertain. The wait of a query is added
# in full.
_DEADLINE_RATIO: Final = 0.8
_RETRY_AFTER_MS: Final = 500


class PeerCallServer(SCHEMA.Peer.Server):  # type: ignore[misc]
    """Converts calls to messages for actors, and their replies to answers."""

    def __init__(self, receivers: Receivers, settings: PeerSettings) -> None:
        self._receivers = receivers
        self._settings = settings
        self._calls_count = 0

    async def submit(
        self,
        partition: str,
        specs: Any,
        _context: Any,
        **_extra: Any,
    ) -> None:
        reply: Reply[tuple[JobAnswer, ...]] = Reply()
        batch = tuple(read_spec(spec) for spec in specs)
        message = messages.SubmitJobs(batch, reply)
        answers = await self._ask_owner(partition, message, reply)
        _context.results.answers = [answer_fields(answer) for answer in answers]

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
        message = messages.QueryJob(query, reply)
        answer = await self._ask_owner(partition, message, reply, waitMs)
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
        message = messages.CancelJob(cancel, reply)
        answer = await self._ask_owner(partition, message, reply)
        _context.results.answer = answer_fields(answer)

    async def list(
        self,
        partition: str,
        customer: str,
        state: str,
        limit: int,
        _context: Any,
        **_extra: Any,
    ) -> None:
        reply: Reply[tuple[JobAnswer, ...]] = Reply()
        query = JobList(
            CustomerId(customer),
            JobState(state) if state else None,
            limit,
        )
        message = messages.ListJobs(query, reply)
        answers = await self._ask_owner(partition, message, reply)
        _context.results.answers = [answer_fields(answer) for answer in answers]

    async def why(
        self,
        partition: str,
        customer: str,
        jobId: str,
        _context: Any,
        **_extra: Any,
    ) -> None:
        reply: Reply[JobExplanation] = Reply()
        query = JobQuery(CustomerId(customer), JobId(jobId))
        message = messages.ExplainJob(query, reply)
        explanation = await self._ask_owner(partition, message, reply)
        _context.results.answer = answer_fields(explanation.answer)
        _context.results.reasons = json.dumps(dict(explanation.reasons))

    async def gossip(self, message: Any, _context: Any, **_extra: Any) -> None:
        reply: Reply[Gossip] = Reply()
        self._receivers.membership.send(
            GossipReceived(read_gossip(message), reply)
        )
        answer = await reply.wait(self._settings.call_timeout_ms)
        _context.results.message = gossip_fields(answer)

    async def offerConfig(  # noqa: N802
        self,
        document: Any,
        _context: Any,
        **_extra: Any,
    ) -> None:
        reply: Reply[Generation] = Reply()
        message = ConfigOffered(read_document_struct(document), reply)
        self._receivers.config.send(message)
        generation = await reply.wait(self._settings.call_timeout_ms)
        _context.results.generation = generation

    async def fetchConfig(  # noqa: N802
        self,
        _context: Any,
        **_extra: Any,
    ) -> None:
        reply: Reply[ConfigDocument] = Reply()
        self._receivers.config.send(GetDocument(reply))
        document = await reply.wait(self._settings.call_timeout_ms)
        _context.results.document = document_fields(document)

    async def dump(self, _context: Any, **_extra: Any) -> None:
        reply: Reply[str] = Reply()
        self._receivers.process.send(GetDump(reply))
        _context.results.state = await reply.wait(
            self._settings.call_timeout_ms,
        )

    async def _ask_owner(
        self,
        partition: str,
        message: JobMessage,
        reply: Reply[_Answer],
        wait_ms: int = 0,
    ) -> _Answer:
        """Return the owner's answer, or a refusal as the same answer type."""
        partition_id = PartitionId(partition)
        if self._calls_count >= self._settings.calls_in_progress_max:
            answer_all(message, _overloaded_answer())
        elif not self._receivers.router.send(
            ForwardToOwner(partition_id, message, hops_left=0)
        ):
            answer_all(message, _overloaded_answer())
        self._calls_count += 1
        try:
            return await reply.wait(
                _DEADLINE_RATIO * self._settings.call_timeout_ms + wait_ms,
            )
        except TimeoutError:
            answer_all(message, _uncertain_answer(partition_id))
        finally:
            self._calls_count -= 1
        return await reply.wait(self._settings.call_timeout_ms)


async def serve_peers(
    receivers: Receivers,
    settings: PeerSettings,
    observer: ReceptionObserver,
) -> Any:
    """Listen for other processes; returns the server, which must be closed."""
    connections = PeerConnections(settings.limits, observer)
    return await capnp.AsyncIoStream.create_server(
        partial(_serve_connection, receivers, settings, connections),
        settings.host,
        settings.port,
    )


async def _serve_connection(
    receivers: Receivers,
    settings: PeerSettings,
    connections: PeerConnections,
    stream: Any,
) -> None:
    await connections.serve(stream, PeerCallServer(receivers, settings))


def _overloaded_answer() -> JobAnswer:
    return refusal_answer(
        refuse(
            codes.OVERLOADED,
            texts.OVERLOADED,
            retry_after_ms=_RETRY_AFTER_MS,
        ),
    )


def _uncertain_answer(partition: PartitionId) -> JobAnswer:
    return refusal_answer(
        refuse(
            codes.OUTCOME_UNCERTAIN,
            texts.OUTCOME_UNCERTAIN,
            partition=partition,
        ),
    )
