"""Store calls through peers of which some do not answer, in simulated time."""

from collections.abc import Awaitable, Callable
from types import SimpleNamespace
from typing import Any, Final

from returns.result import Failure, Result, Success

from fuchsiarill.clock import now_ms, run_paused, sleep_ms
from fuchsiarill.cluster.job_encoding import SCHEMA
from fuchsiarill.cluster.peer_port import PeerFailure
from fuchsiarill.graphs.campaigner import Campaigner
from fuchsiarill.graphs.peer_links import PeerLinks
from fuchsiarill.graphs.relayed_store import RelayedStore
from fuchsiarill.graphs.store_encoding import (
    STORE_CALL_HANDLERS,
    encode_answer,
)
from fuchsiarill.ids import ABSENT, ProcessId, StoreKey
from fuchsiarill.ports.key_value import (
    KvCommitted,
    KvFailure,
    KvTransaction,
    KvWrite,
)
from standins.store_model import PathFault, StoreModel, StorePath
from tests.graph_cell import POOL, settings_of

_TTL_MS: Final = 1900
_TIMEOUT_MS: Final = 700
_PEER_RTT_MS: Final = 10
# Time from the request of a renewal until the owner must have the answer, less
# the interval of the renewals.
_RENEWAL_LIMIT_MS: Final = 1250
_KEY: Final = StoreKey('jobs/a')


class _RelayLinks(PeerLinks):
    """Links to peers that call the model of the store, or do not answer."""

    def __init__(self, **paths: StorePath | None) -> None:
        super().__init__()
        self._paths = {ProcessId(name): path for name, path in paths.items()}
        self._links = dict.fromkeys(self._paths)  # type: ignore[assignment]

    async def call(
        self,
        process: ProcessId,
        method: str,
        request: dict[str, Any],
        timeout_ms: int,
    ) -> Result[Any, PeerFailure]:
        path = self._paths[process]
        if path is None:
            await sleep_ms(timeout_ms + 250)
            self.suspend(process)
            return Failure(PeerFailure.NO_ANSWER)
        await sleep_ms(_PEER_RTT_MS)
        call = SCHEMA.StoreCall.new_message(**request['call'])
        call_result = await STORE_CALL_HANDLERS.lookup(call.kind)(path, call)
        answer = SCHEMA.StoreAnswer.new_message(**encode_answer(call_result))
        return Success(SimpleNamespace(answer=answer))


def _run(
    scenario: Callable[[StoreModel, RelayedStore], Awaitable[None]],
    direct_fault: PathFault,
    **peer_faults: PathFault | None,
) -> None:
    """Run a scenario; a peer with the fault `None` never answers."""

    async def main() -> None:
        model = StoreModel()
        paths: dict[str, StorePath | None] = {}
        for name, fault in peer_faults.items():
            path = None if fault is None else StorePath(model)
            if path is not None and fault is not None:
                path.fault = fault
            paths[name] = path
        direct = StorePath(model)
        store = RelayedStore(direct, _RelayLinks(**paths))
        direct.fault = direct_fault
        await scenario(model, store)

    run_paused(main())


async def _check_renewal(model: StoreModel, store: RelayedStore) -> None:
    path = StorePath(model)
    lease = (await path.grant_lease(_TTL_MS, _TIMEOUT_MS)).unwrap()
    started_ms = now_ms()
    renew_result = await store.renew_lease(lease, _TIMEOUT_MS)
    assert renew_result == Success(lease)
    assert now_ms() - started_ms <= _RENEWAL_LIMIT_MS


def test_renewal_is_relayed_past_a_silent_peer() -> None:
    """Guards against an owner that loses its pool through a frozen peer.

    The store does not answer the owner, and the first peer that it asks does
    not answer either.
    """
    _run(_check_renewal, PathFault.SILENT, p0=PathFault.NONE, p1=None)


def test_renewal_is_relayed_past_a_peer_without_a_path() -> None:
    """Guards against an owner that loses its pool with half of its peers.

    The first peer that it asks is cut off from the store too.
    """
    _run(
        _check_renewal,
        PathFault.SILENT,
        p0=PathFault.NONE,
        p1=PathFault.SILENT,
    )


def test_refusal_of_one_peer_does_not_end_a_call() -> None:
    """Guards against a call that fails although another peer can relay it."""
    _run(
        _check_renewal,
        PathFault.REFUSED,
        p0=PathFault.NONE,
        p1=PathFault.REFUSED,
    )


def test_refusal_after_a_silent_peer_does_not_settle_a_write() -> None:
    """Guards against a refusal of a job that a silent peer has written.

    A refusal proves to the caller that the job never runs.
    """

    async def scenario(model: StoreModel, store: RelayedStore) -> None:
        transaction = KvTransaction(((_KEY, ABSENT),), (KvWrite(_KEY, b'1'),))
        commit_result = await store.commit(transaction, _TIMEOUT_MS)
        assert commit_result == Failure(KvFailure.UNKNOWN)

    _run(scenario, PathFault.REFUSED, p0=PathFault.REFUSED, p1=None)


def test_write_past_a_silent_peer_is_made_once() -> None:
    """Guards against a write that is refused since a direct call has failed."""

    async def scenario(model: StoreModel, store: RelayedStore) -> None:
        transaction = KvTransaction(((_KEY, ABSENT),), (KvWrite(_KEY, b'1'),))
        commit_result = await store.commit(transaction, _TIMEOUT_MS)
        assert isinstance(commit_result.unwrap(), KvCommitted)

    _run(scenario, PathFault.SILENT, p0=PathFault.NONE, p1=None)


def test_election_with_a_lost_answer_is_won() -> None:
    """Guards against a winner that resigns, so that a pool has no owner.

    The answer to the write of the owner key is lost. The call is repeated
    through a peer and finds the key that the first call wrote.
    """

    async def scenario(model: StoreModel, store: RelayedStore) -> None:
        campaigner = Campaigner(store, settings_of('p2'), POOL, 'x')
        election = await campaigner.run()
        assert election.epoch is not None

    _run(scenario, PathFault.ANSWER_LOST, p0=PathFault.NONE)
