"""An HTTP front on a free port, with one actor that fakes all others."""

import asyncio
import json
import threading
from collections import Counter
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from http.client import HTTPConnection, HTTPResponse
from pathlib import Path
from typing import Any

from returns.result import Success

from fuchsiarill import codes
from fuchsiarill.actor import Actor, handles
from fuchsiarill.answers import JobAnswer, JobExplanation
from fuchsiarill.cell_config import parse_config
from fuchsiarill.cluster.config_change import ChangeAnswer
from fuchsiarill.cluster.config_distribution import ChangeConfig, GetDocument
from fuchsiarill.cluster.config_document import ConfigDocument
from fuchsiarill.cluster.member_table import Beat, Member, MemberDetail
from fuchsiarill.cluster.membership import GetView
from fuchsiarill.front.bridge import Bridge
from fuchsiarill.front.http_front import FrontView, HttpFront
from fuchsiarill.front.metrics import Metrics
from fuchsiarill.ids import (
    FailureDomain,
    Generation,
    JobId,
    PartitionId,
    ProcessId,
    RegionId,
)
from fuchsiarill.job import JobSpec
from fuchsiarill.owner import messages
from fuchsiarill.process_messages import (
    ForwardDump,
    GetHosts,
    GetMeasures,
    Measures,
    Receivers,
)
from fuchsiarill.routing import ForwardToOwner
from fuchsiarill.settings import HttpSettings
from fuchsiarill.states import JobState, ProcessState

CELL_TEXT = Path(__file__).with_name('cases').joinpath('cell.yaml').read_text()
DESK = 'desk-token'
STUDIO = 'studio-token'
OPERATOR = 'operator-token'


class FakeActors(Actor):
    """Fakes the router, membership, configuration and process actors.

    Answers at once, but holds queries that wait for the end of a job until a
    `Tick`.
    """

    def __init__(self) -> None:
        super().__init__('fake')
        self.specs: dict[PartitionId, list[JobSpec]] = {}
        self.submits_count = 0
        self.waiting: list[messages.QueryJob] = []
        self.document = ConfigDocument(
            generation=Generation(1),
            author='first',
            text=CELL_TEXT,
        )

    @handles(ForwardToOwner)
    async def on_route(self, routed: ForwardToOwner) -> None:
        message = routed.message
        match message:
            case messages.SubmitJobs():
                self.submits_count += 1
                accepted = self.specs.setdefault(routed.partition, [])
                accepted.extend(message.specs)
                message.reply.answer(
                    tuple(
                        JobAnswer(codes.ACCEPTED, JobId(spec.idempotency_key))
                        for spec in message.specs
                    ),
                )
            case messages.QueryJob():
                if message.query.wait_ms:
                    self.waiting.append(message)
                    return
                message.reply.answer(_running_answer(message.query.job_id))
            case messages.ListJobs():
                job_id = JobId(f'{routed.partition}-{message.query.customer}')
                message.reply.answer((_running_answer(job_id),))
            case messages.ExplainJob():
                explanation = JobExplanation(
                    _running_answer(message.query.job_id), {'reason': 'room'}
                )
                message.reply.answer(explanation)
            case messages.CancelJob():
                job_id = message.cancel.job_id
                answer = JobAnswer(codes.CANCEL_STARTED, job_id)
                message.reply.answer(answer)

    @handles(messages.Tick)
    async def on_tick(self, message: messages.Tick) -> None:
        """Answer all queries that wait for the end of a job."""
        for waiting in self.waiting:
            waiting.reply.answer(_running_answer(waiting.query.job_id))

    @handles(GetView)
    async def on_view(self, message: GetView) -> None:
        detail = MemberDetail(
            ProcessId('entry-1'),
            RegionId('rajkot'),
            FailureDomain('pour-hall'),
            '127.0.0.1:1',
            incarnation=1,
        )
        beat = Beat(detail.key, 1, Generation(1), 0)
        message.reply.answer((Member(detail, beat, 0),))

    @handles(GetDocument)
    async def on_document(self, message: GetDocument) -> None:
        message.reply.answer(self.document)

    @handles(ChangeConfig)
    async def on_change(self, message: ChangeConfig) -> None:
        conflict = ChangeAnswer(codes.CONFIG_CONFLICT, self.document)
        message.reply.answer(conflict)

    @handles(GetHosts)
    async def on_hosts(self, message: GetHosts) -> None:
        message.reply.answer([])

    @handles(ForwardDump)
    async def on_dump(self, message: ForwardDump) -> None:
        message.reply.answer(Success('{"process": "entry-1"}'))

    @handles(GetMeasures)
    async def on_measures(self, message: GetMeasures) -> None:
        queued = Counter({f'team-{count}': count for count in range(150)})
        measures = Measures(1, 2, Counter(router=3), queued, (1, 2), 3)
        message.reply.answer(measures)


@dataclass
class RunningFront:
    """A running front and a client for it."""

    front: HttpFront
    actors: FakeActors

    def connect(self) -> HTTPConnection:
        return HTTPConnection('127.0.0.1', self.front.port, timeout=30)

    def ask(
        self,
        method: str,
        path: str,
        body: Any = None,
        token: str | None = DESK,
    ) -> tuple[int, Any]:
        connection = self.connect()
        try:
            return ask_over(connection, method, path, body, token)
        finally:
            connection.close()


def ask_over(
    connection: HTTPConnection,
    method: str,
    path: str,
    body: Any = None,
    token: str | None = DESK,
) -> tuple[int, Any]:
    """Send a request; `bytes` and `str` bodies are sent as they are."""
    headers = {} if token is None else {'Authorization': f'Bearer {token}'}
    raw = body
    if not isinstance(body, bytes | str | None):
        raw = json.dumps(body)
    connection.request(method, path, raw, headers)
    return read_response(connection.getresponse())


def read_response(response: HTTPResponse) -> tuple[int, Any]:
    return response.status, json.loads(response.read())


@contextmanager
def running_front(**settings: Any) -> Iterator[RunningFront]:
    """Run a front until the block ends."""
    loop = asyncio.new_event_loop()
    thread = threading.Thread(target=loop.run_forever)
    thread.start()
    starting = _start_front(HttpSettings(port=0, **settings))
    running = asyncio.run_coroutine_threadsafe(starting, loop).result(30)
    try:
        yield running
    finally:
        _stop_front(running, loop)
        thread.join()


def _stop_front(running: RunningFront, loop: asyncio.AbstractEventLoop) -> None:
    running.front.stop()
    stopping = asyncio.run_coroutine_threadsafe(running.actors.stop(), loop)
    stopping.result(30)
    loop.call_soon_threadsafe(loop.stop)


async def _start_front(settings: HttpSettings) -> RunningFront:
    actors = FakeActors()
    actors.start()
    mailbox = actors.mailbox
    front = HttpFront(
        settings,
        Bridge(
            asyncio.get_running_loop(),
            settings.requests_max_count,
            settings.waits_max_count,
        ),
        Receivers(mailbox, mailbox, mailbox, mailbox),
        Metrics(),
    )
    config = parse_config(CELL_TEXT).unwrap()
    front.view = FrontView(ProcessState.SERVING, config)
    front.start()
    return RunningFront(front, actors)


def _running_answer(job_id: JobId) -> JobAnswer:
    return JobAnswer(codes.NOT_FINISHED, job_id, JobState.RUNNING)
