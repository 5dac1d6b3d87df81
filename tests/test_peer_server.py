"""Calls between processes carry every field of their messages."""

import asyncio
import socket
from contextlib import closing
from typing import Any

import capnp
import pytest
from prometheus_client import CollectorRegistry
from returns.result import Success

from fuchsiarill import codes
from fuchsiarill.actor import Actor, Mailbox, Reply, handles
from fuchsiarill.answers import JobAnswer, JobExplanation, JobList, JobQuery
from fuchsiarill.cluster.config_distribution import ConfigOffered, GetDocument
from fuchsiarill.cluster.config_document import NO_DOCUMENT, ConfigDocument
from fuchsiarill.cluster.member_table import Beat, Gossip, MemberDetail
from fuchsiarill.cluster.membership import GossipReceived
from fuchsiarill.cluster.owner_link import OwnerLink
from fuchsiarill.cluster.peer_server import serve_peers
from fuchsiarill.cluster.peers import Peers, RpcPeers
from fuchsiarill.ids import (
    CustomerId,
    FailureDomain,
    Generation,
    JobId,
    PartitionId,
    ProcessId,
    RegionId,
)
from fuchsiarill.owner import messages
from fuchsiarill.process_messages import GetDump, Receivers
from fuchsiarill.reception.observation import (
    ReceptionMetrics,
    ReceptionObserver,
)
from fuchsiarill.refusal import Refusal
from fuchsiarill.routing import ForwardToOwner
from fuchsiarill.settings import PeerSettings
from fuchsiarill.states import JobState, ProcessState

_DETAIL = MemberDetail(
    ProcessId('entry-1'),
    RegionId('rajkot'),
    FailureDomain('pour-hall'),
    '127.0.0.1:1',
    incarnation=1_800_000_000_000,
    version=3,
    state=ProcessState.DRAINING,
    partitions=(PartitionId('rajkot.0'), PartitionId('rajkot.1')),
)
_GOSSIP = Gossip(
    (Beat(_DETAIL.key, 2**32 - 1, Generation(7), 999),),
    (_DETAIL,),
    (1, 2**32 - 1),
)
_DOCUMENT = ConfigDocument(
    generation=Generation(9),
    author='dévi',
    text='cell: "ä"\n',
    tokens=('a', 'b'),
)
_ANSWERS = (
    JobAnswer(codes.JOB_SUCCEEDED, JobId('a'), JobState.SUCCEEDED, ('x', '')),
    JobAnswer(
        codes.QUEUE_FULL,
        refusal=Refusal(codes.QUEUE_FULL, 'full', 'jobs', 5),
    ),
)


class _Receiver(Actor):
    """Replaces all actors of the other process."""

    def __init__(self) -> None:
        super().__init__('receiver')
        self.received: list[Any] = []

    @handles(GossipReceived)
    async def on_gossip(self, message: GossipReceived) -> None:
        self.received.append(message.received)
        message.reply.answer(_GOSSIP)

    @handles(ConfigOffered)
    async def on_offer(self, message: ConfigOffered) -> None:
        self.received.append(message.document)
        message.reply.answer(Generation(9))

    @handles(GetDocument)
    async def on_document(self, message: GetDocument) -> None:
        message.reply.answer(NO_DOCUMENT)

    @handles(GetDump)
    async def on_dump(self, message: GetDump) -> None:
        message.reply.answer('{}')

    @handles(ForwardToOwner)
    async def on_route(self, routed: ForwardToOwner) -> None:
        message = routed.message
        assert routed.hops_left == 0
        match message:
            case messages.ListJobs():
                self.received.append(message.query)
                message.reply.answer(_ANSWERS)
            case messages.ExplainJob():
                self.received.append(message.query)
                explanation = JobExplanation(
                    _ANSWERS[0], {'reason': 'room', 'wanted': 3}
                )
                message.reply.answer(explanation)
            case messages.QueryJob():
                """Never answered, as by an owner that is too slow."""


async def _make_calls() -> list[Any]:
    with closing(socket.socket()) as probe:
        probe.bind(('127.0.0.1', 0))
        port = probe.getsockname()[1]
    settings = PeerSettings(port=port, call_timeout_ms=5_000)
    receiver = _Receiver()
    receiver.start()
    mailbox = receiver.mailbox
    server = await serve_peers(
        Receivers(mailbox, mailbox, mailbox, mailbox),
        settings,
        ReceptionObserver('peers', ReceptionMetrics(CollectorRegistry())),
    )
    peers = Peers(settings)
    peers.start()
    rpc_peers = RpcPeers(peers.mailbox, settings)
    address = f'127.0.0.1:{port}'
    router = Mailbox()
    partition = PartitionId('rajkot.0')
    link = OwnerLink(partition, address, settings, rpc_peers, router)
    link.start()
    call_results: list[Any] = [
        await rpc_peers.gossip(address, _GOSSIP),
        await rpc_peers.offer_config(address, _DOCUMENT),
        await rpc_peers.fetch_config(address),
        await rpc_peers.dump(address),
    ]
    call_results.extend(await _make_job_calls(link))
    call_results.append(len(router))
    server.close()
    await link.stop()
    await peers.stop()
    await receiver.stop()
    return [*call_results, receiver.received]


async def _make_job_calls(link: OwnerLink) -> list[Any]:
    list_reply: Reply[Any] = Reply()
    query = JobList(CustomerId('a'), JobState.RUNNING, 7)
    link.mailbox.send(messages.ListJobs(query, list_reply))
    explain_reply: Reply[Any] = Reply()
    job_query = JobQuery(CustomerId('a'), JobId('b'))
    link.mailbox.send(messages.ExplainJob(job_query, explain_reply))
    slow_reply: Reply[Any] = Reply()
    link.mailbox.send(messages.QueryJob(job_query, slow_reply))
    return [
        await reply.wait(20_000)
        for reply in (list_reply, explain_reply, slow_reply)
    ]


@pytest.fixture(scope='module')
def call_results() -> list[Any]:
    async def main() -> list[Any]:
        async with capnp.kj_loop():
            return await _make_calls()

    return asyncio.run(main())


def test_cluster_messages_keep_every_field(call_results: list[Any]) -> None:
    """Guards against a field that the encoding leaves out."""
    assert call_results[:4] == [
        Success(_GOSSIP),
        Success(Generation(9)),
        Success(NO_DOCUMENT),
        Success('{}'),
    ]
    assert call_results[-1][:2] == [_GOSSIP, _DOCUMENT]


def test_job_messages_keep_every_field(call_results: list[Any]) -> None:
    """Guards against an answer that loses a field in transit."""
    listed, explained = call_results[4:6]
    assert listed == _ANSWERS
    assert explained == JobExplanation(
        _ANSWERS[0], {'reason': 'room', 'wanted': 3}
    )
    assert call_results[-1][2:] == [
        JobList(CustomerId('a'), JobState.RUNNING, 7),
        JobQuery(CustomerId('a'), JobId('b')),
    ]


def test_slow_owner_does_not_close_the_connection(
    call_results: list[Any],
) -> None:
    """Guards against a slow owner that is regarded as unreachable."""
    slow, stale_count = call_results[6:8]
    assert slow.code is codes.OUTCOME_UNCERTAIN
    assert stale_count == 0
