"""Links between processes answer their callers and stay usable."""

import asyncio
import socket
from contextlib import closing
from typing import Any, Final

import capnp

from fuchsiarill import codes
from fuchsiarill.actor import Mailbox, Reply
from fuchsiarill.answers import JobAnswer, JobQuery
from fuchsiarill.clock import sleep_ms
from fuchsiarill.cluster.job_encoding import SCHEMA, answer_fields
from fuchsiarill.cluster.owner_link import OwnerLink
from fuchsiarill.cluster.peers import Peers, RpcPeers
from fuchsiarill.ids import CustomerId, JobClass, JobId, PartitionId
from fuchsiarill.job import Execution, JobSpec, Urgency, Workload
from fuchsiarill.owner.messages import QueryJob, SubmitJobs
from fuchsiarill.resources import Resources
from fuchsiarill.routing import RouteStale
from fuchsiarill.settings import PeerSettings

# Time for the link to notice the lost connection; the next call fails either
# way.
_NOTICE_WAIT_MS: Final = 200
_ANSWER_MS: Final = 20_000


def _free_port() -> int:
    with closing(socket.socket()) as probe:
        probe.bind(('127.0.0.1', 0))
        port: int = probe.getsockname()[1]
        return port


class _PeerHandler(SCHEMA.Peer.Server):  # type: ignore[misc]
    """Answers at once, or never while its connection is silent."""

    def __init__(self, peer: '_Peer') -> None:
        self._peer = peer

    async def query(self, _context: Any, **_extra: Any) -> None:
        await self._peer.wait_if_silent(self)
        _context.results.answer = answer_fields(JobAnswer(codes.NOT_FINISHED))

    async def submit(self, specs: Any, _context: Any, **_extra: Any) -> None:
        self._peer.batches.append(len(specs))
        await self._peer.wait_if_silent(self)
        _context.results.answers = [
            answer_fields(JobAnswer(codes.ACCEPTED, JobId(spec.idempotencyKey)))
            for spec in specs
        ]


class _Peer:
    """Another process and the link to it."""

    def __init__(self, timeout_ms: int = 2_000) -> None:
        self.port = _free_port()
        self.settings = PeerSettings(
            port=self.port,
            call_timeout_ms=timeout_ms,
            batch_max_count=5,
        )
        self.disconnect = asyncio.Event()
        self.silent: set[_PeerHandler] = set()
        self.silent_count = 0
        self.batches: list[int] = []
        self.router = Mailbox()
        self.peers = Peers(self.settings)
        self.link = OwnerLink(
            PartitionId('p'),
            f'127.0.0.1:{self.port}',
            self.settings,
            RpcPeers(self.peers.mailbox, self.settings),
            self.router,
        )
        self._server: Any = None

    async def start(self) -> None:
        self._server = await capnp.AsyncIoStream.create_server(
            self._serve_connection,
            '127.0.0.1',
            self.port,
        )
        self.peers.start()
        self.link.start()

    async def stop(self) -> None:
        self._server.close()
        await self.link.stop()
        await self.peers.stop()

    async def wait_if_silent(self, handler: _PeerHandler) -> None:
        """Never return on the first `silent_count` connections."""
        if len(self.silent) < self.silent_count:
            self.silent.add(handler)
        if handler in self.silent:
            await asyncio.Event().wait()

    async def query(self) -> JobAnswer:
        reply: Reply[JobAnswer] = Reply()
        query = JobQuery(CustomerId('a'), JobId('p-1'))
        self.link.mailbox.send(QueryJob(query, reply))
        return await reply.wait(_ANSWER_MS)

    async def submit(self, *keys: str) -> list[str]:
        reply: Reply[tuple[JobAnswer, ...]] = Reply()
        specs = tuple(_spec(key) for key in keys)
        self.link.mailbox.send(SubmitJobs(specs, reply))
        answers = await reply.wait(_ANSWER_MS)
        return [answer.job_id or '' for answer in answers]

    async def _serve_connection(self, stream: Any) -> None:
        server = capnp.TwoPartyServer(stream, bootstrap=_PeerHandler(self))
        await self.disconnect.wait()
        stream.close()
        await server.on_disconnect()


def _spec(key: str) -> JobSpec:
    return JobSpec(
        customer=CustomerId('a'),
        idempotency_key=key,
        workload=Workload.BATCH,
        execution=Execution.IDEMPOTENT,
        urgency=Urgency.NORMAL,
        job_class=JobClass('default'),
        tasks_count=1,
        task_size=Resources(1, 1, 0, 1),
        run_time_ms=0,
        payload='',
    )


def _run(main: Any) -> Any:
    async def in_kj_loop() -> Any:
        async with capnp.kj_loop():
            return await main

    return asyncio.run(in_kj_loop())


def test_lost_connection_leaves_process_alive() -> None:
    """Guards against an abort by capnp when an idle connection is closed."""

    async def main() -> list[JobAnswer]:
        peer = _Peer()
        await peer.start()
        answers = [await peer.query()]
        peer.disconnect.set()
        await sleep_ms(_NOTICE_WAIT_MS)
        answers.append(await peer.query())
        peer.disconnect.clear()
        answers.append(await peer.query())
        await peer.stop()
        return answers

    answers = _run(main())
    assert answers[0].code is codes.NOT_FINISHED
    assert answers[1].refusal is not None
    assert answers[2].code is codes.NOT_FINISHED


def test_silent_connection_is_replaced() -> None:
    """Guards against a connection that is used after a missed deadline."""

    async def main() -> None:
        peer = _Peer(timeout_ms=1_000)
        peer.silent_count = 1
        await peer.start()
        assert (await peer.query()).code is codes.NOT_FINISHED
        assert await peer.submit('a') == ['a']
        assert not len(peer.router)
        await peer.stop()

    _run(main())


def test_uncertain_outcome_is_reported() -> None:
    """Guards against a sent submission that is reported as not sent."""

    async def main() -> None:
        peer = _Peer(timeout_ms=1_000)
        peer.silent_count = 2
        await peer.start()
        reply: Reply[tuple[JobAnswer, ...]] = Reply()
        peer.link.mailbox.send(SubmitJobs((_spec('a'),), reply))
        assert (await reply.wait(_ANSWER_MS))[0].code is codes.OUTCOME_UNCERTAIN
        assert isinstance(await peer.router.receive(), RouteStale)
        await peer.stop()

    _run(main())


def test_stopped_link_answers_its_callers() -> None:
    """Guards against callers that wait after the owner has changed."""

    async def main() -> None:
        peer = _Peer(timeout_ms=_ANSWER_MS)
        peer.silent_count = 1
        await peer.start()
        query_task = asyncio.ensure_future(peer.query())
        submit_reply: Reply[tuple[JobAnswer, ...]] = Reply()
        specs = tuple(_spec(str(number)) for number in range(50))
        peer.link.mailbox.send(SubmitJobs(specs, submit_reply))
        while not peer.batches:
            await sleep_ms(1)
        await peer.link.stop()
        assert (await query_task).code is codes.OUTCOME_UNCERTAIN
        answer_codes = {
            answer.code for answer in await submit_reply.wait(_ANSWER_MS)
        }
        assert answer_codes <= {
            codes.OUTCOME_UNCERTAIN,
            codes.OWNER_UNAVAILABLE,
        }
        await peer.stop()

    _run(main())


def test_absent_process_is_reported_unavailable() -> None:
    """Guards against an uncertain outcome of a call that was never sent."""

    async def main() -> None:
        peer = _Peer()
        peer.peers.start()
        peer.link.start()
        assert (await peer.query()).code is codes.OWNER_UNAVAILABLE
        await peer.link.stop()
        await peer.peers.stop()

    _run(main())


def test_submissions_are_merged_and_answered_in_order() -> None:
    """Guards against answers that are assigned to another request."""

    async def main() -> None:
        peer = _Peer()
        await peer.start()
        keys = [[f'{batch}.{job}' for job in range(3)] for batch in range(40)]
        answers = await asyncio.gather(*(peer.submit(*batch) for batch in keys))
        assert answers == keys
        assert max(peer.batches) == 5
        assert len(peer.batches) < len(keys)
        await peer.stop()

    _run(main())
