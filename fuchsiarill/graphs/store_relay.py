"""Relays store calls through peers, past those that are silent.

A peer may be frozen, or cut off from the store like this process. A call
without an answer after the usual time, or with a failure, is made again through
another peer, and the first conclusive answer counts.
"""

import asyncio
from typing import Any, Final

from returns.result import Failure, Result, Success

from fuchsiarill.clock import MS_PER_SECOND, now_ms
from fuchsiarill.graphs.peer_links import PeerLinks
from fuchsiarill.ids import ProcessId
from fuchsiarill.ports.key_value import KvFailure

# The store answers within 300 ms even when it is 60 times slower than usual; a
# peer adds a round trip. An owner whose direct call takes 450 ms can then ask
# three peers before its lease, which it renews early, is overdue.
_OVERDUE_MS: Final = 350
_PEERS_MAX_COUNT: Final = 3
_RELAYED_WATCH_MARGIN_MS: Final = 450
# Peers answer within the time-out of the call and this margin.
_ANSWER_MARGIN_MS: Final = 500
# Another peer may reach the store after one of these failures.
UNREACHABLE_FAILURES: Final = frozenset((KvFailure.REFUSED, KvFailure.UNKNOWN))
# A watch is answered late by design. A repeated end of a lease would find the
# lease gone, which tells a new owner that the lease had expired before.
_UNREPEATED_KINDS: Final = frozenset(('watch', 'end'))

_RelayResult = Result[Any, KvFailure]
_Calls = dict[asyncio.Task[_RelayResult], ProcessId]


class StoreRelay:
    """Calls the store through peers."""

    def __init__(self, links: PeerLinks) -> None:
        """Call the processes of `links`."""
        self._links = links

    async def call(self, call_fields: dict[str, Any]) -> _RelayResult | None:
        """Return the encoded answer of the store; `None` without a peer.

        Fails with `REFUSED` only if no peer may have executed the call.
        """
        calls: _Calls = {}
        try:
            outcome = await self._call_peers(call_fields, calls)
            for silent_call in _unfinished(calls):
                self._links.suspend(calls[silent_call])
        finally:
            for task in _unfinished(calls):
                task.cancel()
        return outcome

    async def _call_peers(
        self, call_fields: dict[str, Any], calls: _Calls
    ) -> _RelayResult | None:
        """Call one peer after the other; adds each call to `calls`."""
        timeout_ms = _timeout_ms(call_fields)
        deadline_ms = now_ms() + timeout_ms + _ANSWER_MARGIN_MS
        while True:
            wait_ms = deadline_ms - now_ms()
            process = self._next_peer(call_fields, calls)
            if process is not None:
                relaying = self._relay_through(process, call_fields, timeout_ms)
                calls[asyncio.create_task(relaying)] = process
                wait_ms = min(wait_ms, _OVERDUE_MS)
            unfinished = _unfinished(calls)
            if not unfinished or wait_ms <= 0:
                return _conclude(calls)
            await asyncio.wait(
                unfinished,
                timeout=wait_ms / MS_PER_SECOND,
                return_when=asyncio.FIRST_COMPLETED,
            )
            outcome = _conclude(calls)
            if outcome is not None and _is_conclusive(outcome):
                return outcome

    def _next_peer(
        self, call_fields: dict[str, Any], calls: _Calls
    ) -> ProcessId | None:
        peers_max_count = _PEERS_MAX_COUNT
        if call_fields['kind'] in _UNREPEATED_KINDS:
            peers_max_count = 1
        if len(calls) >= peers_max_count:
            return None
        return self._links.next_process(excluded=calls.values())

    async def _relay_through(
        self, process: ProcessId, call_fields: dict[str, Any], timeout_ms: int
    ) -> _RelayResult:
        call_result = await self._links.call(
            process, 'callStore', {'call': call_fields}, timeout_ms
        )
        if isinstance(call_result, Failure):
            return Failure(KvFailure.UNKNOWN)
        answer = call_result.unwrap().answer
        if not answer.failure:
            return Success(answer)
        failure = KvFailure(answer.failure)
        if failure in UNREACHABLE_FAILURES:
            self._links.suspend(process)
        return Failure(failure)


def _timeout_ms(call_fields: dict[str, Any]) -> int:
    timeout_ms = call_fields.get('timeoutMs')
    if timeout_ms is None:
        return int(call_fields['waitMs']) + _RELAYED_WATCH_MARGIN_MS
    return int(timeout_ms)


def _unfinished(calls: _Calls) -> set[asyncio.Task[_RelayResult]]:
    return {task for task in calls if not task.done()}


def _is_conclusive(outcome: _RelayResult) -> bool:
    if isinstance(outcome, Success):
        return True
    return outcome.failure() not in UNREACHABLE_FAILURES


def _conclude(calls: _Calls) -> _RelayResult | None:
    """Return the outcome of calls, of which some may still be in progress.

    A call in progress may be executed, so its outcome counts as unknown.
    """
    if not calls:
        return None
    outcome: _RelayResult = Failure(KvFailure.REFUSED)
    for task in calls:
        if not task.done():
            outcome = Failure(KvFailure.UNKNOWN)
            continue
        answer_result = task.result()
        if _is_conclusive(answer_result):
            return answer_result
        if answer_result == Failure(KvFailure.UNKNOWN):
            outcome = answer_result
    return outcome
