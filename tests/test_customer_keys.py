"""API keys of customers: who may ask, and whose job it is."""

import json
from collections.abc import Callable
from typing import Any, cast

import pytest

from fuchsiarill import codes
from fuchsiarill.actor import Reply
from fuchsiarill.contracts.authorization import Authorization, authorize
from fuchsiarill.contracts.contract import (
    CustomerContract,
    CustomerContracts,
    digest_key,
)
from fuchsiarill.graphs.front import Front, FrontView
from fuchsiarill.graphs.graph_records import decode_graph, encode_graph
from fuchsiarill.graphs.intake import IntakeAnswer, LookUp, Submit
from fuchsiarill.graphs.listener import Request
from fuchsiarill.graphs.metrics import GraphMetrics
from fuchsiarill.graphs.model import PoolId, QueueId
from fuchsiarill.graphs.ports import DocumentError
from fuchsiarill.ids import CustomerId, JobId
from fuchsiarill.platform.callers import CallerRequestHandler
from fuchsiarill.platform.documents import read_config
from fuchsiarill.resources import Resources
from tests.graph_cell import settings_of

JOB = '5c0e7a21d94b36f8'
MASON = CustomerId('mason')
QUEUE: dict[str, Any] = {
    'name': 'quotes',
    'host': 'h.example',
    'prefix': '/quotes/',
    'service': 'desk',
}
OPEN_QUEUE = {**QUEUE, 'name': 'open', 'prefix': '/open/', 'public': True}
TENANT: dict[str, Any] = {
    'name': 'mason',
    'api_keys': ['key-1', 'key-2'],
    'weight': 18,
    'max_count': {'cpu': 64000, 'mem_mb': 0, 'gpu': 8},
}
BODY = json.dumps({'phases': [{'count': 1, 'cpu': 100}]}).encode()


def document(*tenants: dict[str, Any], version: int = 1) -> bytes:
    """Return a configuration with the given customers."""
    return json.dumps(
        {
            'version': version,
            'routes': [QUEUE, OPEN_QUEUE],
            'services': [{'name': 'desk'}],
            'tenants': list(tenants),
        },
    ).encode()


class RecordingFront:
    """A front that accepts each job and keeps its message."""

    def __init__(self, content: bytes) -> None:
        """Put a configuration in force."""
        self.view = FrontView(read_config(content))
        self.submitted: list[Submit] = []
        self.settings = settings_of('p0')
        # Answer to a look-up of a job.
        self.found = IntakeAnswer(codes.UNKNOWN_JOB)

    def deadline_ms(self, caller_timeout_ms: int | None) -> int:
        """Return some deadline."""
        return 1000

    def ask(
        self, build: Callable[[Reply[IntakeAnswer]], Any], deadline_ms: int
    ) -> IntakeAnswer:
        """Keep a submission and accept it; answer a look-up."""
        message = build(cast('Reply[IntakeAnswer]', None))
        if isinstance(message, LookUp):
            return self.found
        self.submitted.append(message)
        return IntakeAnswer(codes.ACCEPTED)


def submit(
    front: RecordingFront,
    header: str | None,
    prefix: str = '/quotes/',
    body: bytes = BODY,
) -> int:
    """Submit a job and return the status."""
    handler = CallerRequestHandler(cast(Front, front), GraphMetrics())
    request = Request('POST', 'h.example', f'{prefix}{JOB}', body, None, header)
    return handler.answer(request).status.value


def test_document_with_contracts() -> None:
    """Guards against ceilings, weights or keys that are read wrongly."""
    contract = read_config(document(TENANT)).contracts.find(MASON)
    assert contract is not None
    assert contract.weight == 18
    assert contract.ceiling == Resources(64000, 0, 8)
    assert contract.key_digests == (digest_key('key-1'), digest_key('key-2'))


@pytest.mark.parametrize(
    'broken',
    [
        {'name': 3},
        {'weight': -1},
        {'weight': 'many'},
        {'api_keys': [3]},
        {'max_count': {'cpu': -1}},
        {'max_count': {'cpu': '3'}},
    ],
)
def test_broken_contract_refuses_the_whole_document(
    broken: dict[str, Any],
) -> None:
    """Guards against a document of which only a part comes into force."""
    with pytest.raises(DocumentError):
        read_config(document({**TENANT, **broken}))


@pytest.mark.parametrize(
    ('header', 'status'),
    [
        ('Bearer key-1', 202),
        ('bearer  key-2 ', 202),
        ('Bearer key-3', 401),
        ('Bearer ', 401),
        ('Basic key-1', 401),
        ('key-1', 401),
        (None, 401),
    ],
)
def test_unknown_keys_are_refused(header: str | None, status: int) -> None:
    """Guards against jobs of callers without a contract."""
    front = RecordingFront(document(TENANT))
    assert submit(front, header) == status
    assert len(front.submitted) == (status == 202)


@pytest.mark.parametrize(
    ('header', 'customer'),
    [('Bearer key-1', MASON), ('Bearer other', None), (None, None)],
)
def test_public_queue_needs_no_key(
    header: str | None, customer: CustomerId | None
) -> None:
    """Guards against a refusal on a public queue, and a lost customer."""
    front = RecordingFront(document(TENANT))
    assert submit(front, header, '/open/') == 202
    assert front.submitted[0].graph.customer == customer


def test_withdrawn_key_is_refused() -> None:
    """Guards against a key that works on after its version is replaced."""
    front = RecordingFront(document(TENANT))
    assert submit(front, 'Bearer key-2') == 202
    replaced = {**TENANT, 'api_keys': ['key-1']}
    front.view = FrontView(read_config(document(replaced, version=2)))
    assert submit(front, 'Bearer key-2') == 401
    assert submit(front, 'Bearer key-1') == 202


def test_no_key_is_needed_without_contracts() -> None:
    """Guards against refusals on deployments that have no customers."""
    assert submit(RecordingFront(document()), None) == 202


def test_key_of_a_later_contract_is_found() -> None:
    """Guards against a look-up that ends at the first customer."""
    contracts = CustomerContracts(
        CustomerContract(CustomerId(name), (digest_key(f'key-{name}'),))
        for name in ('mason', 'tiler')
    )
    assert authorize(contracts, 'Bearer key-tiler', is_public=False) == (
        Authorization(is_granted=True, customer=CustomerId('tiler'))
    )


def test_record_keeps_the_customer_and_no_key() -> None:
    """Guards against work that no ceiling counts after a takeover."""
    front = RecordingFront(document(TENANT))
    submit(front, 'Bearer key-1')
    content = encode_graph(front.submitted[0].graph)
    assert b'key-1' not in content
    graph = decode_graph(PoolId('desk'), JobId(JOB), content)
    assert (graph.customer, graph.queue) == (MASON, QueueId('quotes'))


@pytest.mark.parametrize(
    ('phase', 'status'),
    [
        ({'count': 9, 'cpu': 8000}, 202),
        ({'count': 1, 'cpu': 64000}, 202),
        ({'count': 1, 'cpu': 64001}, 429),
        ({'count': 9, 'cpu': 8000, 'gang': True}, 429),
        ({'count': 1, 'cpu': 1, 'gpu': 9}, 429),
    ],
)
def test_unit_above_the_whole_ceiling_is_refused(
    phase: dict[str, Any], status: int
) -> None:
    """Guards against accepted jobs that can never start.

    A step wider than the ceiling runs in waves, a gang does not.
    """
    front = RecordingFront(document(TENANT))
    body = json.dumps({'phases': [phase]}).encode()
    assert submit(front, 'Bearer key-1', body=body) == status
    assert len(front.submitted) == (status == 202)


@pytest.mark.parametrize(
    ('found', 'status'),
    [(codes.DONE, 202), (codes.STORE_UNAVAILABLE, 503)],
)
def test_repeated_submission_keeps_an_accepted_job(
    found: codes.ResultCode, status: int
) -> None:
    """Guards against a refusal of a job that runs under an earlier ceiling."""
    front = RecordingFront(document(TENANT))
    front.found = IntakeAnswer(found)
    body = json.dumps({'phases': [{'count': 1, 'cpu': 64001}]}).encode()
    assert submit(front, 'Bearer key-1', body=body) == status
    assert not front.submitted


@pytest.mark.parametrize('header', ['Bearer', 'Bearer ', 'bearer  \t'])
def test_empty_key_is_no_key(header: str) -> None:
    """Guards against calls without a key that an empty row lets in."""
    contracts = read_config(document({**TENANT, 'api_keys': ['']})).contracts
    granted = authorize(contracts, header, is_public=False)
    assert not granted.is_granted


def test_error_of_a_broken_key_does_not_tell_it() -> None:
    """Guards against a key in a log line: a lone surrogate can't be encoded."""
    broken = {**TENANT, 'api_keys': ['private\ud800']}
    with pytest.raises(DocumentError) as raised:
        read_config(document(broken))
    assert 'private' not in str(raised.value)
