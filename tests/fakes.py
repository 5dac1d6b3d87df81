"""In-memory ports whose requests and responses can be lost or delayed.

A process reaches the store and the workers through its `NetworkLink`. A held
link queues requests and delivers them when it is released. This simulates a
process that pauses between its last check and its send.
"""

import asyncio
from collections import Counter
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from typing import Any, TypeVar

from returns.result import Failure, Result, Success

from fuchsiarill.clock import MS_PER_SECOND, now_ms, sleep_ms
from fuchsiarill.ids import (
    ABSENT,
    NO_EPOCH,
    AttemptId,
    Epoch,
    IncarnationId,
    Revision,
    StoreKey,
    StoreLeaseId,
    WorkerId,
)
from fuchsiarill.ports.store import (
    StoreFailure,
    Swap,
    SwapOutcome,
    SwapResult,
    Versioned,
)
from fuchsiarill.ports.workers import ExchangeFailure
from fuchsiarill.workers import (
    CommandKind,
    Exchange,
    HostEntry,
    StartCommand,
    TaskOutcome,
    TaskReport,
    WorkerReport,
)

_Response = TypeVar('_Response')
_LATENCY_MS = 2
_TIMEOUT_MS = 1_000
_POLL_INTERVAL_MS = 20


class NetworkLink:
    """Connection of one process; a call named `hold_on_call` holds the link.

    A late request is delivered `late_by_ms` later, also if nobody waits for the
    response any longer.
    """

    def __init__(self) -> None:
        self.is_cut = False
        self.is_held = False
        self.hold_on_call = ''
        self.unreachable: set[str] = set()
        self.lost_answers: Counter[str] = Counter()
        self.lost_requests: Counter[str] = Counter()
        self.late_requests: Counter[str] = Counter()
        self.late_by_ms = 0
        self.calls: Counter[str] = Counter()
        self._deliveries: set[asyncio.Task[Any]] = set()

    async def call(
        self,
        name: str,
        request: Callable[[], _Response],
        timeout_ms: int = _TIMEOUT_MS,
    ) -> _Response | None:
        """Deliver a request; `None` if no response arrives in time."""
        self.calls[name] += 1
        self.is_held = self.is_held or name == self.hold_on_call
        delivery = asyncio.create_task(self._deliver(name, request))
        self._deliveries.add(delivery)
        delivery.add_done_callback(self._deliveries.discard)
        await asyncio.wait((delivery,), timeout=timeout_ms / MS_PER_SECOND)
        if not delivery.done():
            return None
        return delivery.result()

    async def _deliver(
        self,
        name: str,
        request: Callable[[], _Response],
    ) -> _Response | None:
        await sleep_ms(_LATENCY_MS)
        if _consume_fault(self.late_requests, name):
            await sleep_ms(self.late_by_ms)
        while self.is_held:
            await sleep_ms(_POLL_INTERVAL_MS)
        if self.is_cut or _consume_fault(self.lost_requests, name):
            await sleep_ms(_TIMEOUT_MS)
            return None
        response = request()
        if _consume_fault(self.lost_answers, name):
            await sleep_ms(_TIMEOUT_MS)
            return None
        return response


def _consume_fault(counts: Counter[str], name: str) -> bool:
    if not counts[name]:
        return False
    counts[name] -= 1
    return True


@dataclass
class _Lease:
    ttl_ms: int
    ends_at_ms: int
    keys: set[StoreKey] = field(default_factory=set)


class StoreState:
    """Keys and leases of the simulated store."""

    def __init__(self) -> None:
        self.is_down = False
        self.largest_bytes = 0
        self._keys: dict[StoreKey, Versioned] = {}
        self._leases: dict[StoreLeaseId, _Lease] = {}
        self._revision = 0

    def read(self, key: StoreKey) -> Versioned:
        self._drop_lapsed()
        return self._keys.get(key, Versioned(key, None, ABSENT))

    def keys(self) -> list[StoreKey]:
        return sorted(self._keys)

    def put(self, key: StoreKey, text: str | None) -> Revision:
        self._revision += 1
        if text is None:
            self._keys.pop(key, None)
            return ABSENT
        self.largest_bytes = max(self.largest_bytes, len(text.encode()))
        self._keys[key] = Versioned(key, text, Revision(self._revision))
        return Revision(self._revision)

    def swap(self, swap: Swap) -> SwapResult:
        stored = self.read(swap.key)
        if stored.revision != swap.expected:
            return SwapResult(SwapOutcome.CONFLICT, stored.revision)
        if swap.lease_id is not None:
            lease = self._leases.get(swap.lease_id)
            if lease is None:
                return SwapResult(SwapOutcome.CONFLICT)
            lease.keys.add(swap.key)
        revision = self.put(swap.key, swap.value)
        return SwapResult(SwapOutcome.SWAPPED, revision)

    def grant(self, ttl_ms: int) -> StoreLeaseId:
        self._drop_lapsed()
        self._revision += 1
        lease_id = StoreLeaseId(f'lease-{self._revision}')
        self._leases[lease_id] = _Lease(ttl_ms, now_ms() + ttl_ms)
        return lease_id

    def renew(self, lease_id: StoreLeaseId) -> bool:
        self._drop_lapsed()
        lease = self._leases.get(lease_id)
        if lease is None:
            return False
        lease.ends_at_ms = now_ms() + lease.ttl_ms
        return True

    def revoke(self, lease_id: StoreLeaseId) -> bool:
        lease = self._leases.pop(lease_id, None)
        if lease is not None:
            for key in lease.keys:
                self.put(key, None)
        return True

    def _drop_lapsed(self) -> None:
        for lease_id, lease in tuple(self._leases.items()):
            if lease.ends_at_ms <= now_ms():
                self.revoke(lease_id)


class FakeStore:
    """`StorePort` of one process."""

    def __init__(self, state: StoreState, link: NetworkLink) -> None:
        self._state = state
        self._link = link

    async def get(self, key: StoreKey) -> Result[Versioned, StoreFailure]:
        return await self._read('get', key)

    async def swap(self, swap: Swap) -> SwapResult:
        response = await self._call('swap', lambda: self._state.swap(swap))
        return response or SwapResult(SwapOutcome.UNKNOWN)

    async def grant_lease(
        self, ttl_ms: int
    ) -> Result[StoreLeaseId, StoreFailure]:
        response = await self._call('lease', lambda: self._state.grant(ttl_ms))
        if response is None:
            return Failure(StoreFailure.UNREACHABLE)
        return Success(response)

    async def renew_lease(
        self, lease_id: StoreLeaseId
    ) -> Result[StoreLeaseId, StoreFailure]:
        is_known = await self._call(
            'lease', lambda: self._state.renew(lease_id)
        )
        if is_known is None:
            return Failure(StoreFailure.UNREACHABLE)
        if not is_known:
            return Failure(StoreFailure.LEASE_UNKNOWN)
        return Success(lease_id)

    async def revoke_lease(
        self, lease_id: StoreLeaseId
    ) -> Result[StoreLeaseId, StoreFailure]:
        is_revoked = await self._call(
            'lease', lambda: self._state.revoke(lease_id)
        )
        if is_revoked is None:
            return Failure(StoreFailure.UNREACHABLE)
        return Success(lease_id)

    async def watch(
        self, key: StoreKey, after: Revision, wait_ms: int
    ) -> Result[Versioned, StoreFailure]:
        waits_until_ms = now_ms() + wait_ms
        while self._state.read(key).revision == after:
            if now_ms() >= waits_until_ms or self._link.is_cut:
                break
            await sleep_ms(_POLL_INTERVAL_MS)
        return await self._read('watch', key)

    async def _read(
        self,
        name: str,
        key: StoreKey,
    ) -> Result[Versioned, StoreFailure]:
        stored = await self._call(name, lambda: self._state.read(key))
        if stored is None:
            return Failure(StoreFailure.UNREACHABLE)
        return Success(stored)

    async def _call(
        self,
        name: str,
        request: Callable[[], _Response],
    ) -> _Response | None:
        if self._state.is_down:
            self._link.calls[name] += 1
            await sleep_ms(_TIMEOUT_MS)
            return None
        return await self._link.call(name, request)


@dataclass
class _AttemptState:
    """An attempt that a worker has received and that is not acknowledged."""

    start: StartCommand
    outcome: TaskOutcome
    ends_at_ms: int
    lease_ends_at_ms: int


class FakeWorker:
    """A worker with its own clock; `accepted` lists all accepted starts."""

    def __init__(self, name: str, clock_ahead_ms: int) -> None:
        self.worker_id = WorkerId(name)
        self.is_cut = False
        self.highest_epoch = NO_EPOCH
        self.tasks: dict[AttemptId, _AttemptState] = {}
        self.accepted: list[tuple[AttemptId, Epoch]] = []
        self.refused: list[AttemptId] = []
        self._clock_ahead_ms = clock_ahead_ms
        self._restarts_count = 0

    @property
    def incarnation(self) -> IncarnationId:
        return IncarnationId(f'{self.worker_id}-{self._restarts_count}')

    def clock_ms(self) -> int:
        return now_ms() + self._clock_ahead_ms

    def restart(self) -> None:
        self._restarts_count += 1
        # Times of the former clock are ahead of the next one.
        self._clock_ahead_ms = 0
        self.tasks.clear()
        self.highest_epoch = NO_EPOCH

    def running(self) -> list[AttemptId]:
        self._advance()
        return [
            attempt_id
            for attempt_id, task in self.tasks.items()
            if task.outcome is TaskOutcome.RUNNING
        ]

    def exchange(self, request: Exchange) -> WorkerReport:
        self._advance()
        is_current = request.epoch >= self.highest_epoch
        self.highest_epoch = max(self.highest_epoch, request.epoch)
        if is_current and request.incarnation == self.incarnation:
            self._execute(request)
        else:
            self.refused.extend(start.attempt_id for start in request.starts)
        return WorkerReport(
            self.worker_id,
            self.highest_epoch,
            self.clock_ms(),
            tuple(
                TaskReport(
                    attempt_id,
                    task.outcome,
                    task.start.reserved,
                    output=task.start.payload,
                )
                for attempt_id, task in self.tasks.items()
            ),
            self.incarnation,
        )

    def _execute(self, request: Exchange) -> None:
        lease_ends_at_ms = (
            request.lease_until_worker_clock_ms - self._clock_ahead_ms
        )
        for acknowledged_id in request.acknowledged:
            self.tasks.pop(acknowledged_id, None)
        for attempt_id in request.renewals:
            renewed_task = self.tasks.get(attempt_id)
            if renewed_task is not None:
                renewed_task.lease_ends_at_ms = max(
                    renewed_task.lease_ends_at_ms, lease_ends_at_ms
                )
        for command in request.commands:
            task = self.tasks.get(command.attempt_id)
            if task is None or command.kind is not CommandKind.STOP:
                continue
            if task.outcome is TaskOutcome.RUNNING:
                task.outcome = TaskOutcome.STOPPED
        for start in request.starts:
            self._start(start, request.epoch, lease_ends_at_ms)

    def _start(
        self,
        start: StartCommand,
        epoch: Epoch,
        lease_ends_at_ms: int,
    ) -> None:
        if start.attempt_id in self.tasks:
            return
        outcome = TaskOutcome.RUNNING
        if self.clock_ms() > start.start_before_worker_clock_ms:
            outcome = TaskOutcome.REFUSED
            self.refused.append(start.attempt_id)
        else:
            self.accepted.append((start.attempt_id, epoch))
        self.tasks[start.attempt_id] = _AttemptState(
            start,
            outcome,
            now_ms() + start.run_time_ms,
            lease_ends_at_ms,
        )

    def _advance(self) -> None:
        for task in self.tasks.values():
            if task.outcome is not TaskOutcome.RUNNING:
                continue
            if task.lease_ends_at_ms <= now_ms():
                task.outcome = TaskOutcome.STOPPED
            if task.ends_at_ms <= min(now_ms(), task.lease_ends_at_ms):
                task.outcome = TaskOutcome.SUCCEEDED


class FakeWorkers:
    """`WorkerPort` of one process."""

    def __init__(
        self, workers: dict[str, FakeWorker], link: NetworkLink
    ) -> None:
        self._workers = workers
        self._link = link

    async def exchange(
        self,
        address: str,
        request: Exchange,
    ) -> Result[WorkerReport, ExchangeFailure]:
        worker = self._workers.get(address)
        if worker is None:
            # Nothing answers at the former address of a worker.
            await sleep_ms(_TIMEOUT_MS)
            return Failure(ExchangeFailure.NO_ANSWER)
        if worker.is_cut or address in self._link.unreachable:
            await sleep_ms(_TIMEOUT_MS)
            return Failure(ExchangeFailure.NO_ANSWER)
        report = await self._link.call(
            'start' if request.starts else 'exchange',
            lambda: worker.exchange(request),
        )
        if report is None:
            return Failure(ExchangeFailure.NO_ANSWER)
        return Success(report)


class FakeHostList:
    """`HostListPort` with a list that tests may change."""

    def __init__(self, entries: Mapping[str, HostEntry]) -> None:
        self._entries = entries

    async def fetch(self) -> Result[tuple[HostEntry, ...], StoreFailure]:
        return Success(tuple(self._entries.values()))
