"""A store that is called through a peer, over a real capnp connection."""

import asyncio
import socket
from collections.abc import Awaitable, Callable

import capnp
import pytest
from prometheus_client import CollectorRegistry
from returns.result import Failure, Success

from fuchsiarill.cluster.peer_connections import PeerConnections
from fuchsiarill.connection_limits import PeerLimits
from fuchsiarill.graphs.model import GraphConfig, StepKey, Ticket, WorkerEntry
from fuchsiarill.graphs.peer_links import PeerLinks, PeersListed
from fuchsiarill.graphs.peers import (
    PeerAdvice,
    request_advice_from_peer,
    serve_graph_peers,
)
from fuchsiarill.graphs.ports import (
    BusyTrackingAdvisor,
    DocumentError,
    DocumentLayout,
    GraphPorts,
)
from fuchsiarill.graphs.relayed_store import RelayedStore
from fuchsiarill.ids import (
    ABSENT,
    JobId,
    ProcessId,
    Revision,
    StoreKey,
    WorkerId,
)
from fuchsiarill.ports.key_value import (
    KvCommitted,
    KvConflict,
    KvFailure,
    KvTransaction,
    KvWrite,
)
from fuchsiarill.reception.observation import (
    ReceptionMetrics,
    ReceptionObserver,
)
from standins.agent_model import Fleet
from standins.store_model import PathFault, StoreModel, StorePath
from tests.graph_cell import CAPACITY, GrantingAdvisor

KEY = StoreKey('jobs/a')
PEER = ProcessId('p1')
_TIMEOUT_MS = 700


class _RelayedCell:
    """A process whose path to the store may fail, and a peer that relays."""

    def __init__(self) -> None:
        self.model = StoreModel()
        self.direct = StorePath(self.model)
        self.peer_path = StorePath(self.model)
        self.links = PeerLinks()
        self.store = RelayedStore(self.direct, self.links)
        self.fleet = Fleet()

    def ports(self) -> GraphPorts:
        """Return the outside systems of the peer."""
        documents = DocumentLayout(KEY, '', '', _read_config, _read_worker)
        return GraphPorts(
            self.peer_path,
            self.fleet,
            BusyTrackingAdvisor(GrantingAdvisor(self.fleet)),
            documents,
        )


def _read_config(content: bytes) -> GraphConfig:
    raise DocumentError('a peer reads no configuration')


def _read_worker(worker: WorkerId, content: bytes) -> WorkerEntry:
    raise DocumentError('a peer reads no workers')


def run_scenario(scenario: Callable[[_RelayedCell], Awaitable[None]]) -> None:
    """Run a scenario with a peer on a loopback address."""

    async def main() -> None:
        cell = _RelayedCell()
        with socket.socket() as probe:
            probe.bind(('127.0.0.1', 0))
            address = f'127.0.0.1:{probe.getsockname()[1]}'
        async with capnp.kj_loop():
            server = await serve_graph_peers(
                address,
                cell.ports(),
                5000,
                PeerConnections(
                    PeerLimits(),
                    ReceptionObserver(
                        'peers', ReceptionMetrics(CollectorRegistry())
                    ),
                ),
            )
            cell.links.start()
            cell.links.mailbox.send(PeersListed({PEER: address}))
            await asyncio.sleep(0.05)
            await scenario(cell)
            await cell.links.stop()
            server.close()

    asyncio.run(main())


@pytest.mark.parametrize('fault', [PathFault.REFUSED, PathFault.SILENT])
def test_calls_go_through_a_peer(fault: PathFault) -> None:
    """Guards against failed store calls while only the direct path fails."""

    async def scenario(cell: _RelayedCell) -> None:
        cell.direct.fault = fault
        transaction = KvTransaction(((KEY, ABSENT),), (KvWrite(KEY, b'1'),))
        commit_result = await cell.store.commit(transaction, _TIMEOUT_MS)
        assert isinstance(commit_result.unwrap(), KvCommitted)
        item = (await cell.store.get(KEY, _TIMEOUT_MS)).unwrap()
        assert item.value == b'1'
        second_result = await cell.store.commit(transaction, _TIMEOUT_MS)
        assert isinstance(second_result.unwrap(), KvConflict)
        page = await cell.store.list_prefix('jobs/', None, _TIMEOUT_MS)
        assert [item.key for item in page.unwrap().items] == [KEY]
        changes = await cell.store.watch_prefix('jobs/', Revision(1), 200)
        assert [item.key for item in changes.unwrap().items] == [KEY]

    run_scenario(scenario)


def test_lease_is_kept_through_a_peer() -> None:
    """Guards against an owner that loses its lease with its direct path."""

    async def scenario(cell: _RelayedCell) -> None:
        lease = (await cell.store.grant_lease(1500, _TIMEOUT_MS)).unwrap()
        cell.direct.fault = PathFault.SILENT
        renew_result = await cell.store.renew_lease(lease, _TIMEOUT_MS)
        assert renew_result == Success(lease)
        end_result = await cell.store.end_lease(lease, _TIMEOUT_MS)
        assert end_result == Success(lease)
        late_renew_result = await cell.store.renew_lease(lease, _TIMEOUT_MS)
        assert late_renew_result == Failure(KvFailure.LEASE_GONE)

    run_scenario(scenario)


def test_refusal_of_the_peer_does_not_settle_a_lost_answer() -> None:
    """Guards against a refusal after a direct call that may have written."""

    async def scenario(cell: _RelayedCell) -> None:
        cell.direct.fault = PathFault.ANSWER_LOST
        cell.peer_path.fault = PathFault.REFUSED
        transaction = KvTransaction(((KEY, ABSENT),), (KvWrite(KEY, b'1'),))
        commit_result = await cell.store.commit(transaction, _TIMEOUT_MS)
        assert commit_result == Failure(KvFailure.UNKNOWN)
        assert KEY in cell.model.items

    run_scenario(scenario)


def test_advice_is_requested_through_a_peer() -> None:
    """Guards against tickets that are lost on the way from a peer."""

    async def scenario(cell: _RelayedCell) -> None:
        step = StepKey(JobId('a'), 0, 1)
        workers = (WorkerId('w0'), WorkerId('w1'))
        for worker in workers:
            cell.fleet.add(worker, CAPACITY)
        advice = await request_advice_from_peer(
            cell.links, PEER, step, workers, 1000
        )
        assert advice.tickets == {
            WorkerId('w0'): Ticket('t1'),
            WorkerId('w1'): Ticket('t2'),
        }

    run_scenario(scenario)


def test_busy_peer_rejects_a_request() -> None:
    """Guards against requests that queue behind those of another process."""

    async def scenario(cell: _RelayedCell) -> None:
        step = StepKey(JobId('a'), 0, 1)
        calls = [
            request_advice_from_peer(
                cell.links, PEER, step, (WorkerId('w0'),), 1000
            )
            for _ in range(2)
        ]
        advices = await asyncio.gather(*calls)
        assert sorted(advice.is_busy for advice in advices) == [False, True]

    run_scenario(scenario)


async def _start_request(cell: _RelayedCell) -> asyncio.Task[PeerAdvice]:
    """Request advice through the peer; return once the call is in progress."""
    step = StepKey(JobId('a'), 0, 1)
    asking = asyncio.create_task(
        request_advice_from_peer(
            cell.links, PEER, step, (WorkerId('w0'),), 5000
        )
    )
    await asyncio.sleep(0.01)
    return asking


def test_process_that_leaves_answers_calls_in_progress() -> None:
    """Guards against calls that are dropped when a process drains.

    It withdraws its address, and answers the calls that it has received.
    """

    async def scenario(cell: _RelayedCell) -> None:
        asking = await _start_request(cell)
        cell.links.mailbox.send(PeersListed({}))
        advice = await asking
        assert advice.tickets is not None

    run_scenario(scenario)


def test_stopped_link_answers_its_callers() -> None:
    """Guards against callers that wait for a link that has stopped."""

    async def scenario(cell: _RelayedCell) -> None:
        asking = await _start_request(cell)
        await cell.links.stop()
        async with asyncio.timeout(2):
            advice = await asking
        assert advice.tickets is None

    run_scenario(scenario)
