"""A link to a process that dies answers its callers and stays usable."""

import asyncio
import socket
from contextlib import closing
from functools import partial
from typing import Any, Final

import capnp

from fuchsiarill import codes
from fuchsiarill.actor import Reply
from fuchsiarill.answers import JobAnswer, JobQuery
from fuchsiarill.clock import sleep_ms
from fuchsiarill.cluster.encoding import SCHEMA, answer_fields
from fuchsiarill.cluster.peer_link import PeerLink
from fuchsiarill.ids import CustomerId, JobId, PartitionId
from fuchsiarill.owner.messages import AskJob
from fuchsiarill.settings import PeerSettings

# The verdict is the same if the link has not noticed the end by then.
_NOTICED_MS: Final = 200


def _free_port() -> int:
    with closing(socket.socket()) as probe:
        probe.bind(('127.0.0.1', 0))
        port: int = probe.getsockname()[1]
        return port


class _Servant(SCHEMA.Peer.Server):  # type: ignore[misc]
    async def query(self, _context: Any, **_extra: Any) -> None:
        _context.results.answer = answer_fields(JobAnswer(codes.NOT_FINISHED))


async def _hang_up_when_told(told: asyncio.Event, stream: Any) -> None:
    server = capnp.TwoPartyServer(stream, bootstrap=_Servant())
    await told.wait()
    stream.close()
    await server.on_disconnect()


async def _ask(link: PeerLink) -> JobAnswer:
    reply: Reply[JobAnswer] = Reply()
    query = JobQuery(CustomerId('a'), JobId('p-1'))
    link.mailbox.send(AskJob(query, reply))
    return await reply.wait(timeout_ms=20_000)


async def _ask_twice() -> list[JobAnswer]:
    port = _free_port()
    told = asyncio.Event()
    server = await capnp.AsyncIoStream.create_server(
        partial(_hang_up_when_told, told),
        '127.0.0.1',
        port,
    )
    link = PeerLink(
        PartitionId('p'),
        f'127.0.0.1:{port}',
        PeerSettings(port=port),
    )
    link.start()
    answers = [await _ask(link)]
    told.set()
    await sleep_ms(_NOTICED_MS)
    answers.append(await _ask(link))
    server.close()
    await link.stop()
    return answers


def test_lost_connection_leaves_process_alive() -> None:
    """Guards against an abort by capnp after a peer hung up while idle."""

    async def main() -> Any:
        async with capnp.kj_loop():
            return await _ask_twice()

    answers = asyncio.run(main())
    assert answers[0].code == codes.NOT_FINISHED
    assert len(answers) == 2
