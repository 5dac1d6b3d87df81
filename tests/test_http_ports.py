"""The HTTP clients of the ports against stand-ins with network faults."""

import asyncio
import contextlib
from dataclasses import replace

import pytest
from returns.result import Failure, Success

from fuchsiarill.ids import (
    ABSENT,
    Epoch,
    FailureDomain,
    RackId,
    RegionId,
    StoreKey,
    StoreLeaseId,
    WorkerId,
)
from fuchsiarill.ports.http_client import CallFailure, HttpClient
from fuchsiarill.ports.http_ports import HttpHostList, HttpStore, HttpWorkers
from fuchsiarill.ports.store import StoreFailure, Swap, SwapOutcome
from fuchsiarill.ports.workers import ExchangeFailure
from fuchsiarill.resources import NO_RESOURCES
from fuchsiarill.settings import (
    HostListSettings,
    StoreSettings,
    WorkerSettings,
)
from fuchsiarill.workers import Exchange, HostEntry, HostState
from standins.host_list import HostListStandIn
from standins.stand_in import Call, StandInReply
from standins.store import ROUTES, VALUE_MAX_BYTES, StoreStandIn
from tests.serving import Served, serving

_KEY = StoreKey('key')
_LONG_TIMEOUT_MS = 20_000


class _BadStore(StoreStandIn):
    """Answers every store call with a malformed body."""

    def _dispatch(self, call: Call) -> StandInReply | None:
        if call.path in ROUTES:
            return StandInReply(200, b'[]')
        return super()._dispatch(call)


def _store(served: Served, timeout_ms: int = _LONG_TIMEOUT_MS) -> HttpStore:
    settings = StoreSettings(url=served.url, call_timeout_ms=timeout_ms)
    return HttpStore(settings, served.client)


def test_late_response_reaches_no_other_call() -> None:
    """Guards against a late response read by the next call of a connection."""

    async def main() -> None:
        async with serving(StoreStandIn(), threads_count=1) as served:
            await served.control(put={'key': 'late', 'other': 'mine'})
            await served.control(slow_ms=300)
            timed_out_read = await _store(served, 50).get(_KEY)
            await served.control(slow_ms=0)
            other_read = await _store(served).get(StoreKey('other'))
            assert timed_out_read == Failure(StoreFailure.UNREACHABLE)
            assert other_read.unwrap().value == 'mine'

    asyncio.run(main())


def test_lost_reply_of_a_swap_is_unknown() -> None:
    """Guards against reporting a write that took effect as failed."""

    async def main() -> None:
        async with serving(StoreStandIn()) as served:
            await served.control(lose_swap_replies=1)
            swap_result = await _store(served).swap(Swap(_KEY, 'written'))
            read_result = await _store(served).get(_KEY)
            assert swap_result.outcome is SwapOutcome.UNKNOWN
            assert read_result.unwrap().value == 'written'

    asyncio.run(main())


def test_refused_connection_is_not_sent() -> None:
    """Guards against treating a call without effect as uncertain."""

    async def main() -> None:
        async with serving(StoreStandIn()) as served:
            unreachable = Served(1, served.client)
            swapped = await _store(unreachable).swap(Swap(_KEY, 'value'))
            lease = await _store(unreachable).grant_lease(1000)
            assert swapped.outcome is SwapOutcome.NOT_SENT
            assert lease == Failure(StoreFailure.NOT_SENT)

    asyncio.run(main())


def test_store_down_may_have_taken_effect() -> None:
    """Guards against treating a closed connection as a call not sent."""

    async def main() -> None:
        async with serving(StoreStandIn()) as served:
            await served.control(down=True)
            swapped = await _store(served).swap(Swap(_KEY, 'value'))
            assert swapped.outcome is SwapOutcome.UNKNOWN

    asyncio.run(main())


def test_value_above_the_limit_has_no_effect() -> None:
    """Guards against an oversized value that is accepted or uncertain."""

    async def main() -> None:
        async with serving(StoreStandIn()) as served:
            accepted_swap = await _store(served).swap(
                Swap(_KEY, 'x' * VALUE_MAX_BYTES),
            )
            larger = Swap(StoreKey('larger'), 'x' * (VALUE_MAX_BYTES + 1))
            refused_swap = await _store(served).swap(larger)
            assert accepted_swap.outcome is SwapOutcome.SWAPPED
            assert refused_swap.outcome is SwapOutcome.NOT_SENT

    asyncio.run(main())


def test_watches_leave_the_threads_to_other_calls() -> None:
    """Guards against watches that block the renewal of a lease."""

    async def main() -> None:
        async with serving(StoreStandIn(), threads_count=1) as served:
            store = _store(served)
            watches = [
                asyncio.create_task(store.watch(_KEY, ABSENT, _LONG_TIMEOUT_MS))
                for _ in range(4)
            ]
            while True:
                state = await served.control()
                if state['waiting_watches_count'] == len(watches):
                    break
            await store.swap(Swap(_KEY, 'changed'))
            watch_results = await asyncio.gather(*watches)
            state = await served.control()
            assert {
                watch_result.unwrap().value for watch_result in watch_results
            } == {'changed'}
            assert state['calls_count'] == {'watch': 4, 'swap': 1}

    asyncio.run(main())


def test_silent_connections_cost_one_call() -> None:
    """Guards against a failed call for each idle connection that is silent."""

    async def main() -> None:
        async with serving(StoreStandIn()) as served:
            await served.control(slow_ms=50)
            store = _store(served)
            await asyncio.gather(*(store.get(_KEY) for _ in range(3)))
            await served.control(slow_ms=0, silence_open_connections=True)
            timed_out_read = await _store(served, 200).get(_KEY)
            assert timed_out_read == Failure(StoreFailure.UNREACHABLE)
            longer_timeout_store = _store(served, 2_000)
            read_results = await asyncio.gather(
                *(longer_timeout_store.get(_KEY) for _ in range(3))
            )
            assert all(
                isinstance(read_result, Success) for read_result in read_results
            )

    asyncio.run(main())


def test_watch_ends_without_a_change() -> None:
    """Guards against a watch that never returns."""

    async def main() -> None:
        async with serving(StoreStandIn()) as served:
            watch_result = await _store(served).watch(_KEY, ABSENT, 20)
            assert watch_result.unwrap().revision == ABSENT

    asyncio.run(main())


def test_calls_beyond_the_bound_are_not_sent() -> None:
    """Guards against an unbounded queue of calls."""

    async def main() -> None:
        async with serving(StoreStandIn()) as served:
            await served.control(paused=True)
            client = HttpClient(threads_count=1, in_progress_max=2)
            url = f'{served.url}/v1/get'
            body = b'{"key": "key"}'
            pending_calls = [
                asyncio.create_task(client.post(url, body, _LONG_TIMEOUT_MS))
                for _ in range(2)
            ]
            await asyncio.sleep(0)
            refused_call = await client.post(url, body, _LONG_TIMEOUT_MS)
            await served.control(paused=False)
            responses = await asyncio.gather(*pending_calls)
            client.close()
            assert refused_call == Failure(CallFailure.NOT_SENT)
            assert [response.unwrap().status for response in responses] == [
                200,
                200,
            ]

    asyncio.run(main())


def test_wait_for_a_thread_counts_towards_the_deadline() -> None:
    """Guards against a call that is sent after its deadline."""

    async def main() -> None:
        async with serving(StoreStandIn()) as served:
            await served.control(paused=True)
            client = HttpClient(threads_count=1, in_progress_max=2)
            url = f'{served.url}/v1/get'
            body = b'{"key": "key"}'
            first = asyncio.create_task(
                client.post(url, body, _LONG_TIMEOUT_MS)
            )
            await asyncio.sleep(0)
            second = await client.post(url, body, 100)
            await served.control(paused=False)
            first_result = await first
            client.close()
            assert second == Failure(CallFailure.NOT_SENT)
            assert first_result.unwrap().status == 200
            state = await served.control()
            assert state['calls_count'] == {'get': 1}

    asyncio.run(main())


def test_answer_in_small_pieces_keeps_to_the_deadline() -> None:
    """Guards against a slow response that blocks its caller."""

    async def send_slowly(
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        writer.write(b'HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\n')
        for _ in range(1000):
            writer.write(b'x')
            await asyncio.sleep(0.02)

    async def main() -> None:
        server = await asyncio.start_server(send_slowly, '127.0.0.1', 0)
        port = server.sockets[0].getsockname()[1]
        client = HttpClient(threads_count=1, in_progress_max=1)
        response_result = await client.post(
            f'http://127.0.0.1:{port}/', b'', 500
        )
        client.close()
        server.close()
        assert response_result == Failure(CallFailure.NO_ANSWER)

    asyncio.run(main())


@pytest.mark.parametrize(
    'head',
    [b'', b'Content-Length: 999999999\r\n', b'Transfer-Encoding: chunked\r\n'],
)
def test_response_without_end(head: bytes) -> None:
    """Guards against a response that uses up the memory of a process."""
    sent: list[int] = []

    async def send_without_end(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        writer.write(b'HTTP/1.1 200 OK\r\n%s\r\n' % head)
        piece = b'x' * 1_000_000
        while not writer.is_closing() and len(sent) < 100:
            writer.write(b'F4240\r\n%s\r\n' % piece)
            sent.append(len(piece))
            with contextlib.suppress(ConnectionError):
                await writer.drain()

    async def main() -> None:
        server = await asyncio.start_server(send_without_end, '127.0.0.1', 0)
        port = server.sockets[0].getsockname()[1]
        client = HttpClient(threads_count=1, in_progress_max=1)
        response_result = await client.post(
            f'http://127.0.0.1:{port}/', b'', 30_000
        )
        client.close()
        server.close()
        assert response_result == Failure(CallFailure.NO_ANSWER)

    asyncio.run(main())
    assert sum(sent) < 50_000_000


def test_malformed_response_is_a_failure() -> None:
    """Guards against a malformed response that stops the calling actor."""

    async def main() -> None:
        async with serving(_BadStore()) as served:
            store = _store(served)
            workers = HttpWorkers(WorkerSettings(), served.client)
            report = await workers.exchange(
                f'{served.address}/v1/get?',
                Exchange(Epoch(1), lease_until_worker_clock_ms=1000),
            )
            swapped = await store.swap(Swap(_KEY, 'value'))
            assert swapped.outcome is SwapOutcome.UNKNOWN
            malformed = Failure(StoreFailure.UNREACHABLE)
            assert await store.get(_KEY) == malformed
            assert await store.renew_lease(StoreLeaseId('id')) == malformed
            assert report == Failure(ExchangeFailure.NO_ANSWER)

    asyncio.run(main())


def test_host_list_lags() -> None:
    """Guards against a stand-in that lists a leaving host without delay."""

    async def main() -> None:
        entry = HostEntry(
            worker_id=WorkerId('w'),
            address='127.0.0.1:1',
            region=RegionId('r'),
            failure_domain=FailureDomain('d'),
            rack=RackId('k'),
            capacity=NO_RESOURCES,
            connections_count=64,
            state=HostState.LIVE,
        )
        hosts = HostListStandIn((entry,), lag_ms=_LONG_TIMEOUT_MS)
        async with serving(hosts) as served:
            settings = HostListSettings(url=served.url)
            port = HttpHostList(settings, served.client)
            await served.control(states={'w': 'leaving'})
            assert (await port.fetch()).unwrap() == (entry,)
            await served.control(lag_ms=0)
            listed_hosts = (await port.fetch()).unwrap()
            assert listed_hosts == (replace(entry, state=HostState.LEAVING),)
            await served.control(remove=['w'])
            assert not (await port.fetch()).unwrap()

    asyncio.run(main())


def test_lapsed_lease_deletes_its_key() -> None:
    """Guards against an owner key that outlives its owner."""

    async def main() -> None:
        async with serving(StoreStandIn()) as served:
            store = _store(served)
            lease_id = (await store.grant_lease(3000)).unwrap()
            owner_swap = Swap(_KEY, 'owner', lease_id=lease_id)
            swap_result = await store.swap(owner_swap)
            watch_result = await store.watch(
                _KEY, swap_result.revision, _LONG_TIMEOUT_MS
            )
            renewal_result = await store.renew_lease(lease_id)
            assert isinstance(watch_result, Success)
            assert watch_result.unwrap().value is None
            assert renewal_result == Failure(StoreFailure.LEASE_UNKNOWN)

    asyncio.run(main())
