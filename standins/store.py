"""Stand-in of the platform's key-value service, as a process of its own."""

import argparse
import threading
import time
import uuid
from dataclasses import dataclass

from fuchsiarill.ids import ABSENT, Revision, StoreKey, StoreLeaseId
from fuchsiarill.ports.http_ports import (
    SWAP_RESULTS,
    SWAPS,
    VERSIONED,
    KeyRequest,
    LeaseRequest,
)
from fuchsiarill.ports.store import SwapOutcome, SwapResult, Versioned
from standins.http_server import JsonServer, StandInReply, json_reply


@dataclass(slots=True)
class _Lease:
    ttl_ms: int
    lapses_at_ms: float
    keys: set[StoreKey]


class StoreStandIn:
    """Keys, revisions, leases and watches, guarded by one condition."""

    def __init__(self) -> None:
        """Start empty."""
        self._changed = threading.Condition()
        self._stored: dict[StoreKey, Versioned] = {}
        self._leases: dict[StoreLeaseId, _Lease] = {}
        self._revision = 0

    def get(self, body: bytes) -> StandInReply:
        """Read a key."""
        request = KeyRequest.model_validate_json(body)
        with self._changed:
            self._drop_lapsed()
            return StandInReply(
                200,
                VERSIONED.dump_json(self._read(request.key)),
            )

    def swap(self, body: bytes) -> StandInReply:
        """Compare and swap."""
        swap = SWAPS.validate_json(body)
        with self._changed:
            self._drop_lapsed()
            lease = self._leases.get(swap.lease_id or StoreLeaseId(''))
            unleased = swap.lease_id is not None and lease is None
            if self._read(swap.key).revision != swap.expected or unleased:
                conflict = SwapResult(SwapOutcome.CONFLICT)
                return StandInReply(200, SWAP_RESULTS.dump_json(conflict))
            self._write(swap.key, swap.value)
            if lease is not None:
                lease.keys.add(swap.key)
            swapped = SwapResult(
                SwapOutcome.SWAPPED,
                self._read(swap.key).revision,
            )
            return StandInReply(200, SWAP_RESULTS.dump_json(swapped))

    def watch(self, body: bytes) -> StandInReply:
        """Wait for a change of a key."""
        request = KeyRequest.model_validate_json(body)
        ends_at_ms = _now_ms() + request.wait_ms
        with self._changed:
            while self._read(request.key).revision == request.after:
                left_ms = ends_at_ms - _now_ms()
                if left_ms <= 0:
                    break
                self._changed.wait(left_ms / 1000)
            return StandInReply(
                200,
                VERSIONED.dump_json(self._read(request.key)),
            )

    def grant(self, body: bytes) -> StandInReply:
        """Create a lease."""
        request = LeaseRequest.model_validate_json(body)
        lease_id = StoreLeaseId(uuid.uuid4().hex)
        with self._changed:
            self._leases[lease_id] = _Lease(
                request.ttl_ms,
                _now_ms() + request.ttl_ms,
                set(),
            )
        return json_reply({'lease_id': lease_id})

    def renew(self, body: bytes) -> StandInReply:
        """Extend a lease."""
        request = LeaseRequest.model_validate_json(body)
        with self._changed:
            self._drop_lapsed()
            lease = self._leases.get(request.lease_id)
            if lease is None:
                return json_reply({}, 410)
            lease.lapses_at_ms = _now_ms() + lease.ttl_ms
        return json_reply({'lease_id': request.lease_id})

    def revoke(self, body: bytes) -> StandInReply:
        """End a lease."""
        request = LeaseRequest.model_validate_json(body)
        with self._changed:
            self._end_lease(request.lease_id)
        return json_reply({'lease_id': request.lease_id})

    def _read(self, key: StoreKey) -> Versioned:
        return self._stored.get(key, Versioned(key, None, ABSENT))

    def _write(self, key: StoreKey, value: str | None) -> None:
        self._revision += 1
        if value is None:
            self._stored.pop(key, None)
        else:
            self._stored[key] = Versioned(key, value, Revision(self._revision))
        self._changed.notify_all()

    def _drop_lapsed(self) -> None:
        for lease_id, lease in tuple(self._leases.items()):
            if lease.lapses_at_ms <= _now_ms():
                self._end_lease(lease_id)

    def _end_lease(self, lease_id: StoreLeaseId) -> None:
        lease = self._leases.pop(lease_id, None)
        if lease is None:
            return
        for key in lease.keys:
            self._write(key, None)


def _now_ms() -> float:
    return time.monotonic() * 1000


def main() -> None:
    """Serve on the port given."""
    parser = argparse.ArgumentParser(prog='standins.store')
    parser.add_argument('--port', type=int, required=True)
    options = parser.parse_args()
    store = StoreStandIn()
    handlers = {
        f'/v1/{verb}': getattr(store, verb)
        for verb in ('get', 'swap', 'watch', 'grant', 'renew', 'revoke')
    }
    JsonServer(options.port, handlers, threads_count=64).serve()


if __name__ == '__main__':
    main()
