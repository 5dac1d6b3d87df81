"""Stand-in for the platform's key-value service, run as a process.

Calls are counted by verb; a watch counts as one call however long it waits.
Controls besides the common ones: `lose_swap_replies` drops the replies to the
next N swaps that take effect, `put` writes keys unconditionally, as an
operator of the platform would.
"""

import argparse
import asyncio
import uuid
from dataclasses import dataclass
from typing import Any, Final

from fuchsiarill.actor import handles
from fuchsiarill.clock import MS_PER_SECOND, now_ms
from fuchsiarill.ids import ABSENT, Revision, StoreKey, StoreLeaseId
from fuchsiarill.ports.http_ports import (
    SWAP_RESULTS,
    SWAPS,
    VERSIONED,
    KeyRequest,
    LeaseRequest,
)
from fuchsiarill.ports.store import Swap, SwapOutcome, SwapResult, Versioned
from fuchsiarill.registry import Registry
from standins.http_server import serve_until_stopped
from standins.stand_in import Call, Control, Route, StandIn, StandInReply
from standins.stand_in import json_reply as as_json

VALUE_MAX_BYTES: Final = 1_000_000
_OK: Final = 200
_GONE: Final = 410
_TOO_LARGE: Final = 413
_READS: Final = ('get', 'watch')

ROUTES: Final[Registry[str, Route]] = Registry('store routes')
CONTROLS: Final[Registry[str, Control]] = Registry('store controls')


@dataclass(slots=True)
class Lease:
    """A lease and the keys that are deleted when it ends."""

    ttl_ms: int
    expires_at_ms: int
    keys: set[StoreKey]


@dataclass(frozen=True, slots=True)
class LeaseDue:
    """Sent when a lease would expire; it may have been renewed since."""

    lease_id: StoreLeaseId


@dataclass(frozen=True, slots=True)
class WatchDue:
    """Sent when the wait time of a watch is over."""

    watch: Call
    key: StoreKey


class StoreStandIn(StandIn):
    """Stores versioned keys, and serves leases and watches."""

    routes = ROUTES
    controls = CONTROLS

    def __init__(self) -> None:
        """Start without keys, leases and watches."""
        super().__init__('store stand-in')
        self.leases: dict[StoreLeaseId, Lease] = {}
        self.lose_swap_replies_count = 0
        self._stored: dict[StoreKey, Versioned] = {}
        self._watches: dict[StoreKey, list[Call]] = {}
        self._revision = 0

    @handles(LeaseDue)
    async def on_lease_due(self, message: LeaseDue) -> None:
        """End an expired lease, or check a renewed one again at its expiry."""
        lease = self.leases.get(message.lease_id)
        if lease is None:
            return
        if lease.expires_at_ms <= now_ms():
            self.end_lease(message.lease_id)
            return
        self.send_at(lease.expires_at_ms, message)

    @handles(WatchDue)
    async def on_watch_due(self, message: WatchDue) -> None:
        """Reply to a watch whose key has not changed in time."""
        watches = self._watches.get(message.key, [])
        if message.watch in watches:
            watches.remove(message.watch)
            message.watch.reply.answer(self.reply_of(message.key))

    def snapshot(self) -> dict[str, Any]:
        """Add the counts of calls, and the keys, watches and leases."""
        reads_count = sum(self.calls_count[verb] for verb in _READS)
        return super().snapshot() | {
            'reads_count': reads_count,
            'writes_count': self.calls_count.total() - reads_count,
            'keys': sorted(self._stored),
            'waiting_watches_count': sum(map(len, self._watches.values())),
            'leases_count': len(self.leases),
            'lose_swap_replies_count': self.lose_swap_replies_count,
        }

    def read(self, key: StoreKey) -> Versioned:
        """Return the value and revision of a key, `ABSENT` if it is not set."""
        return self._stored.get(key, Versioned(key, None, ABSENT))

    def reply_of(self, key: StoreKey) -> StandInReply:
        """Return the reply to a read of a key."""
        return StandInReply(_OK, VERSIONED.dump_json(self.read(key)))

    def write(self, key: StoreKey, text: str | None) -> None:
        """Set a key, or delete it for `None`, and reply to its watches."""
        self._revision += 1
        if text is None:
            self._stored.pop(key, None)
        else:
            self._stored[key] = Versioned(key, text, Revision(self._revision))
        for watch in self._watches.pop(key, ()):
            watch.reply.answer(self.reply_of(key))

    def add_watch(self, key: StoreKey, watch: Call, wait_ms: int) -> None:
        """Keep a watch until its key changes or `wait_ms` have passed."""
        self._watches.setdefault(key, []).append(watch)
        self.send_at(now_ms() + wait_ms, WatchDue(watch, key))

    def end_lease(self, lease_id: StoreLeaseId) -> None:
        """Remove a lease and delete its keys."""
        lease = self.leases.pop(lease_id, None)
        if lease is None:
            return
        for key in lease.keys:
            self.write(key, None)

    def find_lease(self, lease_id: StoreLeaseId) -> Lease | None:
        """Return a lease that has not expired; an expired one is ended."""
        lease = self.leases.get(lease_id)
        if lease is not None and lease.expires_at_ms <= now_ms():
            self.end_lease(lease_id)
            return None
        return lease

    def send_at(self, due_ms: int, message: object) -> None:
        """Send a message to this actor at a time of the monotonic clock."""
        asyncio.get_running_loop().call_at(
            due_ms / MS_PER_SECOND,
            self.mailbox.send,
            message,
        )


@ROUTES.register('/v1/get')
def _get(store: StoreStandIn, call: Call) -> StandInReply:
    return store.reply_of(KeyRequest.model_validate_json(call.body).key)


@ROUTES.register('/v1/swap')
def _swap(store: StoreStandIn, call: Call) -> StandInReply:
    swap = SWAPS.validate_json(call.body)
    if len((swap.value or '').encode()) > VALUE_MAX_BYTES:
        return as_json({}, _TOO_LARGE)
    if not _apply(store, swap):
        conflict = SwapResult(SwapOutcome.CONFLICT)
        return StandInReply(_OK, SWAP_RESULTS.dump_json(conflict))
    swapped = SwapResult(SwapOutcome.SWAPPED, store.read(swap.key).revision)
    is_lost = store.lose_swap_replies_count > 0
    if is_lost:
        store.lose_swap_replies_count -= 1
    return StandInReply(_OK, SWAP_RESULTS.dump_json(swapped), is_lost)


def _apply(store: StoreStandIn, swap: Swap) -> bool:
    lease = None
    if swap.lease_id is not None:
        lease = store.find_lease(swap.lease_id)
        if lease is None:
            return False
    if store.read(swap.key).revision != swap.expected:
        return False
    for other in store.leases.values():
        other.keys.discard(swap.key)
    if lease is not None:
        lease.keys.add(swap.key)
    store.write(swap.key, swap.value)
    return True


@ROUTES.register('/v1/watch')
def _watch(store: StoreStandIn, call: Call) -> StandInReply | None:
    request = KeyRequest.model_validate_json(call.body)
    if store.read(request.key).revision != request.after or not request.wait_ms:
        return store.reply_of(request.key)
    store.add_watch(request.key, call, request.wait_ms)
    return None


@ROUTES.register('/v1/grant')
def _grant(store: StoreStandIn, call: Call) -> StandInReply:
    request = LeaseRequest.model_validate_json(call.body)
    lease_id = StoreLeaseId(uuid.uuid4().hex)
    expires_at_ms = now_ms() + request.ttl_ms
    store.leases[lease_id] = Lease(request.ttl_ms, expires_at_ms, set())
    store.send_at(expires_at_ms, LeaseDue(lease_id))
    return as_json({'lease_id': lease_id})


@ROUTES.register('/v1/renew')
def _renew(store: StoreStandIn, call: Call) -> StandInReply:
    request = LeaseRequest.model_validate_json(call.body)
    lease = store.find_lease(request.lease_id)
    if lease is None:
        return as_json({}, _GONE)
    lease.expires_at_ms = now_ms() + lease.ttl_ms
    return as_json({'lease_id': request.lease_id})


@ROUTES.register('/v1/revoke')
def _revoke(store: StoreStandIn, call: Call) -> StandInReply:
    request = LeaseRequest.model_validate_json(call.body)
    store.end_lease(request.lease_id)
    return as_json({'lease_id': request.lease_id})


@CONTROLS.register('lose_swap_replies')
def _lose_swap_replies(store: StoreStandIn, count: int) -> None:
    store.lose_swap_replies_count = count


@CONTROLS.register('put')
def _put(store: StoreStandIn, entries: dict[StoreKey, str | None]) -> None:
    for key, text in entries.items():
        store.write(key, text)


async def _main(port: int) -> None:
    await serve_until_stopped([(StoreStandIn(), port)])


def main() -> None:
    """Serve on the given port until SIGTERM or SIGINT."""
    parser = argparse.ArgumentParser(prog='standins.store')
    parser.add_argument('--port', type=int, required=True)
    asyncio.run(_main(parser.parse_args().port))


if __name__ == '__main__':
    main()
