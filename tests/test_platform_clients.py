"""Wire format of calls to the platform's store, workers and advice service."""

import asyncio
import base64
from collections.abc import Coroutine, Iterator
from typing import Any

import pytest
from returns.result import Failure, Success

from fuchsiarill.graphs.model import (
    Checkpoint,
    EndKind,
    EndSequence,
    StartOrder,
    StepKey,
    TaskKey,
    Ticket,
)
from fuchsiarill.ids import (
    ABSENT,
    Epoch,
    FencingToken,
    JobId,
    Revision,
    StoreKey,
    StoreLeaseId,
    WorkerId,
)
from fuchsiarill.platform.advice_client import PlatformAdvisor
from fuchsiarill.platform.store_client import PlatformStore
from fuchsiarill.platform.worker_client import PlatformWorkers
from fuchsiarill.ports.agents import AgentAddress, AgentFailure, RenewalOrder
from fuchsiarill.ports.http_client import HttpClient
from fuchsiarill.ports.key_value import (
    KvCommitted,
    KvConflict,
    KvFailure,
    KvItem,
    KvTransaction,
    KvWrite,
)
from tests.platform_server import StubServer, serve_stub

KEY = StoreKey('jobs/p/1/graph')
TASK = TaskKey(JobId('5c0e7a21d94b36f8'), 0, 1, 17)
_TOKEN = FencingToken(Epoch(7), 3)
ORDER = StartOrder(
    TASK,
    2,
    'text',
    _TOKEN,
    486000,
    Checkpoint('c'),
    Ticket('t'),
)
_TIMEOUT_MS = 5000


@pytest.fixture(name='stub')
def serve() -> Iterator[StubServer]:
    """Serve the response that a test sets."""
    with serve_stub() as stub:
        yield stub


def run(call: Coroutine[Any, Any, Any]) -> Any:
    """Run one call on a loop of its own."""
    return asyncio.run(call)


def store(stub: StubServer) -> PlatformStore:
    """Return a client that sends the calls of a store to `stub`."""
    return PlatformStore(stub.address, HttpClient(2, 4))


def agent(stub: StubServer) -> AgentAddress:
    """Return the address of `stub` as that of worker i-1."""
    return AgentAddress(WorkerId('i-1'), stub.address)


def test_item_is_decoded(stub: StubServer) -> None:
    """Guards against values that are returned without base64 decoding."""
    stub.body = {
        'key': KEY,
        'value': base64.b64encode(b'node').decode(),
        'revision': 412,
        'created': 400,
        'lease': 0,
        'at_rev': 530,
    }
    read_result = run(store(stub).get(KEY, _TIMEOUT_MS))
    assert read_result == Success(
        KvItem(KEY, b'node', Revision(412), Revision(400))
    )


def test_absent_key_is_an_answer(stub: StubServer) -> None:
    """Guards against an absent key that is reported as a failure."""
    stub.status = 404
    read_result = run(store(stub).get(KEY, _TIMEOUT_MS))
    assert read_result == Success(KvItem(KEY, None, ABSENT))


@pytest.mark.parametrize(
    ('status', 'failure'),
    [
        (503, KvFailure.REFUSED),
        (429, KvFailure.REFUSED),
        (404, KvFailure.LEASE_GONE),
        (500, KvFailure.UNKNOWN),
    ],
)
def test_failed_transaction(
    stub: StubServer,
    status: int,
    failure: KvFailure,
) -> None:
    """Guards against an unknown outcome that is reported as a refusal."""
    stub.status = status
    outcome = run(store(stub).commit(KvTransaction(), _TIMEOUT_MS))
    assert outcome == Failure(failure)


def test_unsent_transaction_is_refused() -> None:
    """Guards against an unsent call that is reported as an unknown outcome."""
    unreachable = PlatformStore('127.0.0.1:1', HttpClient(2, 4))
    outcome = run(unreachable.commit(KvTransaction(), _TIMEOUT_MS))
    assert outcome == Failure(KvFailure.REFUSED)


def test_unreadable_success_is_no_answer(stub: StubServer) -> None:
    """Guards against a truncated body that is reported as a refusal."""
    stub.body = b'{"revi'
    outcome = run(store(stub).commit(KvTransaction(), _TIMEOUT_MS))
    assert outcome == Failure(KvFailure.UNKNOWN)


def test_transaction_on_the_wire(stub: StubServer) -> None:
    """Guards against conditions or leases that are missing from the request."""
    stub.body = {'revision': 9}
    transaction = KvTransaction(
        ((KEY, ABSENT),),
        (KvWrite(KEY, b'x', StoreLeaseId('77')),),
        (StoreKey('old'),),
    )
    outcome = run(store(stub).commit(transaction, _TIMEOUT_MS))
    assert outcome == Success(KvCommitted(Revision(9)))
    assert stub.requests[0][:3] == (
        'POST',
        '/kv-txn',
        {
            'expected': [{'key': KEY, 'revision': 0}],
            'writes': [{'key': KEY, 'value': 'eA==', 'lease': 77}],
            'deletes': ['old'],
        },
    )


def test_conflict_shows_the_keys(stub: StubServer) -> None:
    """Guards against a conflict without the present items."""
    stub.status = 412
    stub.body = {'items': [{'key': KEY, 'value': 'eA==', 'revision': 3}]}
    outcome = run(store(stub).commit(KvTransaction(), _TIMEOUT_MS))
    assert outcome == Success(
        KvConflict((KvItem(KEY, b'x', Revision(3)),)),
    )


def test_watch(stub: StubServer) -> None:
    """Guards against deletions that are read as writes."""
    stub.body = {
        'events': [
            {'key': 'a', 'value': 'eA==', 'revision': 4, 'created': 4},
            {'key': 'b', 'revision': 5, 'compacted': True},
        ],
        'at_rev': 6,
    }
    changes = run(store(stub).watch_prefix('x/', Revision(3), 100)).unwrap()
    assert [item.value for item in changes.items] == [b'x', None]
    assert stub.requests[0][1] == '/kv-watch?prefix=x%2F&after=3&wait_ms=100'
    stub.status = 410
    watch_result = run(store(stub).watch_prefix('x/', Revision(3), 100))
    assert watch_result == Failure(KvFailure.COMPACTED)


def test_start_on_the_wire(stub: StubServer) -> None:
    """Guards against an order that another worker at the address accepts."""
    stub.body = {'clock_ms': 482113}
    workers = PlatformWorkers(HttpClient(2, 4))
    outcome = run(workers.start(agent(stub), ORDER, _TIMEOUT_MS))
    assert outcome == Success(482113)
    method, path, body, headers = stub.requests[0]
    assert (method, path) == ('POST', '/run-start')
    assert headers['HTTP_X_EXPECT_INSTANCE'] == 'i-1'
    assert body == {
        'task': '5c0e7a21d94b36f8.0.1.17',
        'attempt': 2,
        'spec': 'text',
        'deadline_ms': 486000,
        'fence_token': 7_000_003,
        'checkpoint': 'c',
        'ticket': 't',
    }


@pytest.mark.parametrize(
    ('status', 'reason', 'failure'),
    [
        (409, 'fence', AgentFailure.FENCED),
        (409, 'old', AgentFailure.SUPERSEDED),
        (409, 'late', AgentFailure.EXPIRED),
        (409, 'room', AgentFailure.NO_ROOM),
        (409, 'ticket', AgentFailure.TICKET_INVALID),
        (421, '', AgentFailure.OTHER_WORKER),
        (429, '', AgentFailure.UNHEALTHY),
        (503, '', AgentFailure.UNHEALTHY),
        (400, '', AgentFailure.MALFORMED),
        (500, '', AgentFailure.UNKNOWN),
    ],
)
def test_refused_start(
    stub: StubServer,
    status: int,
    reason: str,
    failure: AgentFailure,
) -> None:
    """Guards against a refusal that is mapped to the wrong failure."""
    stub.status = status
    stub.body = {'clock_ms': 1, 'reason': reason}
    workers = PlatformWorkers(HttpClient(2, 4))
    outcome = run(workers.start(agent(stub), ORDER, _TIMEOUT_MS))
    assert outcome == Failure(failure)


def test_report(stub: StubServer) -> None:
    """Guards against ends of runs that are mapped to the wrong kind."""
    task = '5c0e7a21d94b36f8.0.1.17'
    stub.body = {
        'clock_ms': 5,
        'born': 99,
        'running': [[task, 2, 'c', 41, 12.5], [task, 3, '', 100]],
        'finished': [
            [number, task, 1, kind_name, '']
            for number, kind_name in enumerate(
                ('done', 'failed', 'stopped', 'lapsed', 'broken', 'alone'),
                start=1,
            )
        ],
    }
    workers = PlatformWorkers(HttpClient(2, 4))
    order = RenewalOrder(_TOKEN, EndSequence(57), None, 0)
    report = run(workers.renew(agent(stub), order, _TIMEOUT_MS)).unwrap()
    assert [row.usage for row in report.running] == [12.5, None]
    assert [end.kind for end in report.ended] == list(EndKind)
    assert report.born_ms == 99
    assert stub.requests[0][2] == {
        'fence_token': 7_000_003,
        'acked_seq': 57,
        'wait_ms': 0,
    }


@pytest.mark.parametrize(
    ('ends_count', 'has_more'), [(0, False), (499, False), (500, True)]
)
def test_full_page_of_ends_may_have_a_successor(
    stub: StubServer, ends_count: int, *, has_more: bool
) -> None:
    """Guards against a page of ends that is taken for all ends."""
    task = '5c0e7a21d94b36f8.0.1.17'
    stub.body = {
        'clock_ms': 5,
        'born': 99,
        'running': [],
        'finished': [
            [number, task, number, 'done', '']
            for number in range(1, ends_count + 1)
        ],
    }
    workers = PlatformWorkers(HttpClient(2, 4))
    order = RenewalOrder(_TOKEN, EndSequence(0), None, 0)
    report = run(workers.renew(agent(stub), order, _TIMEOUT_MS)).unwrap()
    assert report.has_more_ends is has_more


def test_unreadable_report_is_no_report(stub: StubServer) -> None:
    """Guards against an exception in the actor that requested the report."""
    stub.body = {'clock_ms': 5, 'running': [['x']], 'finished': []}
    workers = PlatformWorkers(HttpClient(2, 4))
    order = RenewalOrder(_TOKEN, EndSequence(0), None, 0)
    outcome = run(workers.renew(agent(stub), order, _TIMEOUT_MS))
    assert outcome == Failure(AgentFailure.MALFORMED)


def test_advice(stub: StubServer) -> None:
    """Guards against tickets that are assigned to the wrong worker."""
    stub.body = {'granted': [['i-1', 'c81e'], ['i-2', 'c82e']]}
    advisor = PlatformAdvisor(stub.address, HttpClient(2, 4))
    step = StepKey(JobId('5c0e7a21d94b36f8'), 0, 1)
    workers = (WorkerId('i-1'), WorkerId('i-2'), WorkerId('i-3'))
    tickets = run(advisor.advise(step, workers, _TIMEOUT_MS)).unwrap()
    assert tickets == {'i-1': 'c81e', 'i-2': 'c82e'}
    assert stub.requests[0][2] == {
        'step_id': '5c0e7a21d94b36f8.0.1',
        'workers': ['i-1', 'i-2', 'i-3'],
    }
    stub.status = 429
    advice_result = run(advisor.advise(step, workers, _TIMEOUT_MS))
    assert advice_result == Failure(AgentFailure.UNHEALTHY)


@pytest.mark.parametrize(
    'body',
    [b'[]', b'3', b'{"revision": null}', b'{"items": 1}'],
)
def test_success_of_another_shape_is_no_answer(
    stub: StubServer,
    body: bytes,
) -> None:
    """Guards against an exception in the caller for a malformed body."""
    stub.body = body
    outcome = run(store(stub).commit(KvTransaction(), _TIMEOUT_MS))
    assert outcome == Failure(KvFailure.UNKNOWN)
    read_result = run(store(stub).list_prefix('jobs/', None, _TIMEOUT_MS))
    assert read_result == Failure(KvFailure.UNKNOWN)


@pytest.mark.parametrize('body', [b'[]', b'{}', b'{"clock_ms": "soon"}'])
def test_start_with_an_unreadable_answer_may_run(
    stub: StubServer,
    body: bytes,
) -> None:
    """Guards against a second start after an unreadable confirmation."""
    stub.body = body
    workers = PlatformWorkers(HttpClient(2, 4))
    outcome = run(workers.start(agent(stub), ORDER, _TIMEOUT_MS))
    assert outcome == Failure(AgentFailure.UNKNOWN)


def test_refusal_without_an_object_is_a_refusal(stub: StubServer) -> None:
    """Guards against an exception when the body is not a JSON object."""
    stub.status = 409
    stub.body = b'"fence"'
    workers = PlatformWorkers(HttpClient(2, 4))
    outcome = run(workers.start(agent(stub), ORDER, _TIMEOUT_MS))
    assert outcome == Failure(AgentFailure.MALFORMED)


def test_advice_of_another_shape_is_no_answer(stub: StubServer) -> None:
    """Guards against an exception that leaves the request unanswered."""
    stub.body = {'granted': [1]}
    advisor = PlatformAdvisor(stub.address, HttpClient(2, 4))
    step = StepKey(JobId('5c0e7a21d94b36f8'), 0, 1)
    outcome = run(advisor.advise(step, (WorkerId('i-1'),), _TIMEOUT_MS))
    assert outcome == Failure(AgentFailure.UNKNOWN)
