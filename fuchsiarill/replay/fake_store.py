"""Fake of the store, and the `StorePort` that calls it.

The fake records each call in the log. Faults set its public attributes.
"""

import asyncio
from dataclasses import dataclass, field
from functools import partial
from typing import Any, Final

from returns.result import Failure, Result, Success

from fuchsiarill.actor import Actor, Reply, handles
from fuchsiarill.clock import MS_PER_SECOND, now_ms
from fuchsiarill.ids import ABSENT, Revision, StoreKey, StoreLeaseId
from fuchsiarill.ports.store import (
    StoreFailure,
    Swap,
    SwapOutcome,
    SwapResult,
    Versioned,
)
from fuchsiarill.replay.network import SERVICE_DOMAIN, Endpoint, Network
from fuchsiarill.replay.observations import ObservationKind, ObservationLog
from fuchsiarill.settings import StoreSettings

OWNER_KEY_PREFIX: Final = 'partition/'


@dataclass(frozen=True, slots=True)
class StoreCall:
    """One call as it arrives at the store.

    `argument` depends on `operation`: a `Swap`, a lease id, a time to live in
    ms, or the revision that the caller of a watch already has.
    """

    operation: str
    process: str
    reply: Reply[Any]
    key: StoreKey = StoreKey('')
    argument: Any = None
    wait_ms: int = 0


@dataclass(eq=False, slots=True)
class ReplyLoss:
    """Drops the replies of the next `remaining_count` matching calls.

    A call matches by its operation and by the prefix of its key.
    """

    operation: str
    prefix: str
    remaining_count: int

    def applies_to(self, call: StoreCall) -> bool:
        """Return whether the reply to this call is lost, and count it."""
        if call.operation != self.operation or not self.remaining_count:
            return False
        if not call.key.startswith(self.prefix):
            return False
        self.remaining_count -= 1
        return True


@dataclass(slots=True)
class _Lease:
    ttl_ms: int
    expires_at_ms: float
    keys: set[StoreKey] = field(default_factory=set)


class FakeStore(Actor):
    """An in-memory store with revisions, leases and watches."""

    def __init__(self, log: ObservationLog) -> None:
        """Create an empty store without faults."""
        super().__init__('store')
        self.endpoint = Endpoint('store', SERVICE_DOMAIN)
        self.is_silent = False
        self.is_watch_stuck = False
        self.delay_ms = 0
        self.reply_losses: list[ReplyLoss] = []
        self.stored: dict[StoreKey, Versioned] = {}
        self._log = log
        self._leases: dict[StoreLeaseId, _Lease] = {}
        self._watches: list[StoreCall] = []
        self._revision = 0
        self._leases_count = 0

    @handles(StoreCall)
    async def on_call(self, call: StoreCall) -> None:
        """Execute a call and answer it.

        A silent store does not execute calls; a reply loss drops only the
        answer.
        """
        self._end_expired_leases()
        if self.is_silent:
            self._record(call, 'silent')
            return
        if call.operation == 'watch':
            self._watch(call)
            return
        outcome = getattr(self, f'_{call.operation}')(call)
        if self._loses_reply(call):
            self._record(call, 'reply lost')
            return
        self._record(call, _outcome_name(outcome))
        self._answer(call, outcome)

    def read(self, key: StoreKey) -> Versioned:
        """Return the current value and revision of a key."""
        self._end_expired_leases()
        return self.stored.get(key, Versioned(key, None, ABSENT))

    def drop_leases(self) -> None:
        """End all leases before they expire and delete their keys."""
        for lease_id in tuple(self._leases):
            self._end_lease(lease_id)

    def put(self, key: StoreKey, text: str) -> None:
        """Write a key directly, to set the state before a replay."""
        self._write(key, text)

    def _get(self, call: StoreCall) -> Result[Versioned, StoreFailure]:
        return Success(self.read(call.key))

    def _swap(self, call: StoreCall) -> SwapResult:
        swap: Swap = call.argument
        lease = self._leases.get(swap.lease_id or StoreLeaseId(''))
        if self.read(swap.key).revision != swap.expected:
            return SwapResult(SwapOutcome.CONFLICT)
        if swap.lease_id is not None:
            if lease is None:
                return SwapResult(SwapOutcome.CONFLICT)
            lease.keys.add(swap.key)
        self._write(swap.key, swap.value)
        return SwapResult(SwapOutcome.SWAPPED, self.read(swap.key).revision)

    def _grant(self, call: StoreCall) -> Result[StoreLeaseId, StoreFailure]:
        self._leases_count += 1
        lease_id = StoreLeaseId(f'lease-{self._leases_count}')
        self._leases[lease_id] = _Lease(
            call.argument,
            now_ms() + call.argument,
        )
        return Success(lease_id)

    def _renew(self, call: StoreCall) -> Result[StoreLeaseId, StoreFailure]:
        lease = self._leases.get(call.argument)
        if lease is None:
            return Failure(StoreFailure.LEASE_UNKNOWN)
        lease.expires_at_ms = now_ms() + lease.ttl_ms
        return Success(call.argument)

    def _revoke(self, call: StoreCall) -> Result[StoreLeaseId, StoreFailure]:
        self._end_lease(call.argument)
        return Success(call.argument)

    def _watch(self, call: StoreCall) -> None:
        self._record(call, 'waits')
        if self.is_watch_stuck:
            return
        if self.read(call.key).revision != call.argument:
            self._answer(call, Success(self.read(call.key)))
            return
        self._watches.append(call)
        asyncio.get_running_loop().call_later(
            call.wait_ms / MS_PER_SECOND,
            self._end_watch,
            call,
        )

    def _end_watch(self, call: StoreCall) -> None:
        if call in self._watches:
            self._watches.remove(call)
            if not self.is_silent and not self.is_watch_stuck:
                self._answer(call, Success(self.read(call.key)))

    def _answer(self, call: StoreCall, outcome: Any) -> None:
        asyncio.get_running_loop().call_later(
            self.delay_ms / MS_PER_SECOND,
            call.reply.answer,
            outcome,
        )

    def _loses_reply(self, call: StoreCall) -> bool:
        return any(loss.applies_to(call) for loss in self.reply_losses)

    def _write(self, key: StoreKey, text: str | None) -> None:
        self._revision += 1
        if text is None:
            self.stored.pop(key, None)
        else:
            self.stored[key] = Versioned(key, text, Revision(self._revision))
        for call in tuple(self._watches):
            if call.key == key:
                self._end_watch(call)

    def _end_expired_leases(self) -> None:
        for lease_id, lease in tuple(self._leases.items()):
            if lease.expires_at_ms <= now_ms():
                self._end_lease(lease_id)

    def _end_lease(self, lease_id: StoreLeaseId) -> None:
        lease = self._leases.pop(lease_id, None)
        if lease is None:
            return
        for key in sorted(lease.keys):
            self._write(key, None)

    def _record(self, call: StoreCall, outcome: str) -> None:
        self._log.record(
            ObservationKind.STORE_CALLED,
            call.process,
            operation=call.operation,
            key=call.key,
            outcome=outcome,
        )


class ProcessStore:
    """`StorePort` of one process."""

    def __init__(
        self,
        settings: StoreSettings,
        network: Network,
        source: Endpoint,
        store: FakeStore,
    ) -> None:
        """Call `store` from the endpoint `source`."""
        self._settings = settings
        self._network = network
        self._source = source
        self._store = store

    async def get(self, key: StoreKey) -> Result[Versioned, StoreFailure]:
        """Read the value and revision of a key."""
        return await self._call_or_unreachable('get', key)

    async def swap(self, swap: Swap) -> SwapResult:
        """Write a key if it still has the expected revision.

        Without an answer in time, the outcome is `UNKNOWN`.
        """
        answer = await self._call('swap', swap.key, swap)
        match answer:
            case Success(outcome):
                swapped: SwapResult = outcome
                return swapped
            case _:
                return SwapResult(SwapOutcome.UNKNOWN)

    async def grant_lease(
        self,
        ttl_ms: int,
    ) -> Result[StoreLeaseId, StoreFailure]:
        """Create a lease that expires after `ttl_ms` unless renewed."""
        return await self._call_or_unreachable('grant', StoreKey(''), ttl_ms)

    async def renew_lease(
        self,
        lease_id: StoreLeaseId,
    ) -> Result[StoreLeaseId, StoreFailure]:
        """Extend a lease by its time to live from now."""
        return await self._call_or_unreachable('renew', StoreKey(''), lease_id)

    async def revoke_lease(
        self,
        lease_id: StoreLeaseId,
    ) -> Result[StoreLeaseId, StoreFailure]:
        """End a lease and delete its keys."""
        return await self._call_or_unreachable('revoke', StoreKey(''), lease_id)

    async def watch(
        self,
        key: StoreKey,
        after: Revision,
        wait_ms: int,
    ) -> Result[Versioned, StoreFailure]:
        """Wait up to `wait_ms` for a revision of a key other than `after`."""
        return await self._call_or_unreachable('watch', key, after, wait_ms)

    async def _call_or_unreachable(
        self,
        operation: str,
        key: StoreKey,
        argument: Any = None,
        wait_ms: int = 0,
    ) -> Result[Any, StoreFailure]:
        answer = await self._call(operation, key, argument, wait_ms)
        match answer:
            case Success(outcome):
                call_result: Result[Any, StoreFailure] = outcome
                return call_result
            case _:
                return Failure(StoreFailure.UNREACHABLE)

    async def _call(
        self,
        operation: str,
        key: StoreKey,
        argument: Any,
        wait_ms: int = 0,
    ) -> Result[Any, Any]:
        call = partial(
            StoreCall,
            operation,
            self._source.name,
            key=key,
            argument=argument,
            wait_ms=wait_ms,
        )
        return await self._network.call(
            self._source,
            self._store.endpoint,
            lambda reply: self._store.mailbox.send(call(reply)),
            self._settings.call_timeout_ms + wait_ms,
        )


def _outcome_name(outcome: Any) -> str:
    match outcome:
        case SwapResult():
            return str(outcome.outcome.value)
        case Failure(reason):
            return str(reason.value)
        case _:
            return 'done'
