"""The HTTP front refuses invalid requests and isolates customers."""

import socket
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import Any

import pytest
import yaml

from fuchsiarill import codes
from fuchsiarill.front.http_front import FrontView
from fuchsiarill.owner import messages
from fuchsiarill.states import ProcessState
from tests.front_fakes import (
    CELL_TEXT,
    DESK,
    OPERATOR,
    STUDIO,
    RunningFront,
    ask_over,
    read_response,
    running_front,
)

_JOB = {
    'idempotency_key': 'a',
    'task_size': {'processors_milli': 1, 'memory_mb': 1},
}
_CASES = yaml.safe_load(
    Path(__file__)
    .with_name('cases')
    .joinpath('bad_submissions.yaml')
    .read_text(),
)


@pytest.fixture(scope='module')
def shared_front() -> Iterator[RunningFront]:
    with running_front() as front:
        yield front


def _build_body(case: dict[str, Any]) -> Any:
    if 'body' in case:
        return case['body']
    if 'payload_bytes' in case:
        return {'jobs': [_JOB | {'payload': 'x' * case['payload_bytes']}]}
    keys = case.get('keys', [])
    keys.extend(str(number) for number in range(case.get('jobs_count', 0)))
    if keys:
        return {'jobs': [_JOB | {'idempotency_key': key} for key in keys]}
    return {'jobs': [_JOB | case['job']]}


@pytest.mark.parametrize('case', _CASES, ids=lambda case: case['name'])
def test_bad_submission(
    shared_front: RunningFront, case: dict[str, Any]
) -> None:
    """Guards against a bad body that is accepted or breaks the connection."""
    before_count = shared_front.actors.submits_count
    connection = shared_front.connect()
    status, answer = ask_over(connection, 'POST', '/v1/jobs', _build_body(case))
    assert answer['code'] == case['code']
    assert answer['field'] == case['field']
    assert status == codes.by_number(case['code']).http_status
    assert shared_front.actors.submits_count == before_count
    valid_response = ask_over(connection, 'POST', '/v1/jobs', {'jobs': [_JOB]})
    assert valid_response[1]['answers'][0]['code'] == codes.ACCEPTED.number
    connection.close()


def test_valid_combinations_are_accepted(shared_front: RunningFront) -> None:
    """Guards against the refusal of a one-task gang or of a valid service."""
    for changed_fields in ({'workload': 'gang'}, {'workload': 'service'}):
        body = {'jobs': [_JOB | changed_fields]}
        assert shared_front.ask('POST', '/v1/jobs', body)[0] == 202


def test_batch_is_grouped_and_answered_in_order(
    shared_front: RunningFront,
) -> None:
    """Guards against answers in partition order, or one call for each job."""
    keys = [f'key-{number}' for number in range(50)]
    before_count = shared_front.actors.submits_count
    body = {'jobs': [_JOB | {'idempotency_key': key} for key in keys]}
    _, answer = shared_front.ask('POST', '/v1/jobs', body, STUDIO)
    assert [job['job_id'] for job in answer['answers']] == keys
    # The region of the design studio has two partitions.
    assert shared_front.actors.submits_count == before_count + 2


@pytest.mark.parametrize('token', [None, '', 'desk', f'{DESK}x', '\xff'])
@pytest.mark.parametrize('path', ['/v1/jobs', '/v1/config', '/v1/dump'])
def test_unknown_token(
    shared_front: RunningFront, path: str, token: str | None
) -> None:
    """Guards against a route that lacks authentication by mistake."""
    assert shared_front.ask('GET', path, None, token)[0] == 401


@pytest.mark.parametrize(
    'path',
    ['config', 'config/spread', 'status', 'hosts', 'dump'],
)
def test_routes_of_operators(shared_front: RunningFront, path: str) -> None:
    """Guards against a customer that can read the state of other customers."""
    assert shared_front.ask('GET', f'/v1/{path}')[0] == 403
    assert shared_front.ask('GET', f'/v1/{path}', None, OPERATOR)[0] == 200


@pytest.mark.parametrize(
    ('method', 'path', 'token', 'code'),
    [
        ('GET', '/v1/jobs?customer=design-studio', DESK, 204),
        ('GET', '/v1/jobs?customer=order-desk', DESK, None),
        ('GET', '/v1/jobs?customer=order-desk', OPERATOR, None),
        ('GET', '/v1/jobs?customer=nobody', OPERATOR, 205),
        ('GET', '/v1/jobs', OPERATOR, 201),
        ('GET', '/v1/jobs?state=running', DESK, None),
        ('GET', '/v1/jobs?state=sleeping', DESK, 201),
        ('GET', '/v1/jobs?limit=-1', DESK, 201),
        ('GET', '/v1/jobs?limit=1&limit=2', DESK, 201),
        ('GET', '/v1/jobs?pretty=1', DESK, 201),
        ('GET', '/v1/jobs/rajkot.0-7', DESK, 104),
        ('GET', '/v1/jobs/rajkot.0-7?wait_ms=a', DESK, 201),
        ('GET', '/v1/jobs/surat.0-7', DESK, 206),
        ('DELETE', '/v1/jobs/surat.0-7', DESK, 206),
        ('GET', '/v1/jobs/surat.0-7/why', DESK, 206),
        ('GET', '/v1/jobs/%0A', DESK, 206),
        ('GET', '/v1/jobs/rajkot.0-7/why', DESK, 104),
        ('DELETE', '/v1/jobs/rajkot.0-7', DESK, 105),
        ('GET', '/v1/nothing', DESK, 209),
        ('PATCH', '/v1/jobs', DESK, 209),
    ],
)
def test_routes_of_callers(
    shared_front: RunningFront,
    method: str,
    path: str,
    token: str,
    code: int | None,
) -> None:
    """Guards against access to others' jobs, and accepted bad parameters."""
    status, answer = shared_front.ask(method, path, None, token)
    assert answer.get('code') == code
    expected = 200 if code is None else codes.by_number(code).http_status
    assert status == expected


def test_conflict_carries_the_present_document(
    shared_front: RunningFront,
) -> None:
    """Guards against a conflict reply that omits the document in force."""
    body = {'text': '', 'expected_generation': 0, 'author': 'me'}
    status, answer = shared_front.ask('PUT', '/v1/config', body, OPERATOR)
    assert (status, answer['generation'], answer['author']) == (409, 1, 'first')
    assert answer['document'] == CELL_TEXT


def test_chunked_bodies(shared_front: RunningFront) -> None:
    """Guards against a chunked body that is ignored or never ends."""
    body = '{"jobs": [{"idempotency_key": "a", "task_size": {'
    rest = '"processors_milli": 1, "memory_mb": 1}}]}'
    connection = shared_front.connect()
    connection.request(
        'POST',
        '/v1/jobs',
        iter((body.encode(), rest.encode())),
        {'Authorization': f'Bearer {DESK}', 'Transfer-Encoding': 'chunked'},
        encode_chunked=True,
    )
    assert read_response(connection.getresponse())[0] == 202
    assert ask_over(connection, 'GET', '/v1/jobs')[0] == 200
    connection.close()


def test_malformed_chunk_closes_the_connection(
    shared_front: RunningFront,
) -> None:
    """Guards against the rest of a malformed body that is read as a request."""
    with socket.create_connection(
        ('127.0.0.1', shared_front.front.port)
    ) as raw:
        raw.sendall(
            b'POST /v1/jobs HTTP/1.1\r\nHost: a\r\n'
            b'Transfer-Encoding: chunked\r\n\r\nxyz\r\n',
        )
        answer = b''.join(iter(lambda: raw.recv(4096), b''))
    assert answer.startswith(b'HTTP/1.1 4')
    assert b'Connection: close' in answer


def test_waits_leave_threads_for_others() -> None:
    """Guards against waiting requests that occupy all threads."""
    path = '/v1/jobs/rajkot.0-7?wait_ms=30000'
    limits = {'threads_count': 4, 'waits_max_count': 2}
    with running_front(**limits) as front, ThreadPoolExecutor(2) as pool:
        waiting = [pool.submit(front.ask, 'GET', path) for _ in range(2)]
        while len(front.actors.waiting) < 2:
            assert front.ask('GET', '/healthz')[0] == 200
        answer = front.ask('GET', path)[1]
        assert answer['code'] == codes.NOT_FINISHED.number
        assert answer['retry_after_ms'] > 0
        assert front.ask('GET', '/v1/jobs')[0] == 200
        tick = messages.Tick()
        loop = front.front.bridge.loop
        loop.call_soon_threadsafe(front.actors.mailbox.send, tick)
        ended = {query.result()[1]['code'] for query in waiting}
        assert ended == {codes.NOT_FINISHED.number}


def test_drain_answers_waiting_callers() -> None:
    """Guards against a waiting request that a shutdown leaves unanswered."""
    path = '/v1/jobs/rajkot.0-7?wait_ms=30000'
    with running_front() as front, ThreadPoolExecutor(1) as pool:
        waiting = pool.submit(front.ask, 'GET', path)
        while not front.actors.waiting:
            assert front.ask('GET', '/healthz')[0] == 200
        bridge = front.front.bridge
        bridge.loop.call_soon_threadsafe(bridge.release)
        status, answer = waiting.result()
        assert (status, answer['code']) == (200, codes.NOT_FINISHED.number)


def test_overload_and_missing_configuration() -> None:
    """Guards against requests that a process accepts while it can't serve them.

    It may be overloaded, have no configuration or be draining; a draining
    process must also close the connection.
    """
    with running_front(requests_max_count=1) as front:
        with front.front.bridge.admitted():
            status, answer = front.ask('GET', '/v1/jobs')
            assert (status, answer['code']) == (503, codes.OVERLOADED.number)
            assert front.ask('GET', '/healthz')[0] == 200
        front.front.view = FrontView()
        connection = front.connect()
        connection.request('GET', '/v1/jobs')
        response = connection.getresponse()
        assert response.headers['Retry-After'] == '1'
        answer = read_response(response)[1]
        assert answer['code'] == codes.NOT_CONFIGURED.number
        assert ask_over(connection, 'GET', '/readyz')[0] == 503
        front.front.view = FrontView(ProcessState.DRAINING)
        connection.request('GET', '/readyz')
        response = connection.getresponse()
        assert response.headers['Connection'] == 'close'
        assert read_response(response) == (503, {'state': 'draining'})
        connection.close()


def test_metrics_are_bounded(shared_front: RunningFront) -> None:
    """Guards against an unbounded number of labels, and tokens in metrics."""
    connection = shared_front.connect()
    connection.request('GET', '/metrics')
    text = connection.getresponse().read().decode()
    connection.close()
    assert text.count('fuchsiarill_queued_jobs{') == 101
    assert 'fuchsiarill_config_generation 1.0' in text
    assert 'fuchsiarill_decision_seconds_bucket{le="0.0005"} 3.0' in text
    assert 'token' not in text


def test_slow_bodies_hold_no_thread() -> None:
    """Guards against slow clients that take all threads from the others."""
    head = b'POST /v1/jobs HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\na'
    with running_front(threads_count=2) as front:
        address = ('127.0.0.1', front.front.port)
        clients = [socket.create_connection(address) for _ in range(40)]
        for client in clients:
            client.sendall(head)
        body = {'jobs': [_JOB]}
        assert front.ask('POST', '/v1/jobs', body)[0] == 202
        for slow_client in clients:
            slow_client.close()
