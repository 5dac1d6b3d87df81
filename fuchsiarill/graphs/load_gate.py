"""Applies the published load of a pool to the submissions of one process.

Reads the record of the pool's owner with a cache, and refuses what the pure
decision refuses. Whatever can't be read or trusted counts as unknown, and the
submission is accepted as without this module.
"""

import asyncio
import time
from collections.abc import Callable, Coroutine, Mapping
from dataclasses import dataclass, field
from typing import Any, Final

from returns.result import Success

from fuchsiarill import codes, events, graph_events
from fuchsiarill.clock import MS_PER_SECOND, now_ms
from fuchsiarill.graphs import keys, load_records
from fuchsiarill.graphs.load_metrics import LoadMetrics
from fuchsiarill.graphs.model import JobGraph, PoolId
from fuchsiarill.graphs.settings import GraphSettings
from fuchsiarill.ids import ABSENT, Epoch, Revision
from fuchsiarill.load.admission import (
    KnownLoad,
    LoadRefusal,
    RefusalCause,
    decide,
    work_ms,
)
from fuchsiarill.load.pool_load import PoolLoad
from fuchsiarill.load.record_age import RecordAge, RecordRead
from fuchsiarill.load.return_times import (
    RETURN_MAX_MS,
    ReturnRequest,
    ReturnTimes,
)
from fuchsiarill.ports.key_value import KeyValuePort, KvItem

_NS_PER_MS: Final = 1_000_000
# Part of the time that a caller waits which a read of the load may take.
_READ_SHARE: Final = 4

_Spawn = Callable[[Coroutine[Any, Any, None]], 'asyncio.Task[None]']


@dataclass(frozen=True, slots=True)
class LoadContext:
    """What the process knows of the owners, the store and its peers."""

    owner_epochs: Mapping[PoolId, Epoch] = field(default_factory=dict)
    is_store_lost: bool = False
    processes_count: int = 1
    has_contracts: bool = False


@dataclass(frozen=True, slots=True)
class RefusedSubmission:
    """Answer to a refused submission; a delay of 0 leaves it to the front."""

    code: codes.ResultCode
    retry_after_ms: int = 0


@dataclass(slots=True)
class _LoadCopy:
    """The last read of a pool's record, and the reads before it."""

    # When the last read, successful or not, began and ended.
    started_ms: int = 0
    ended_ms: int | None = None
    revision: Revision = ABSENT
    load: PoolLoad | None = None
    age: RecordAge = field(default_factory=RecordAge)
    reading: 'asyncio.Task[None] | None' = None
    row: ReturnTimes = field(default_factory=ReturnTimes)


class LoadGate:
    """Refuses submissions of one process because of load or a lost store."""

    def __init__(
        self,
        store: KeyValuePort,
        settings: GraphSettings,
        metrics: LoadMetrics,
        spawn: _Spawn,
    ) -> None:
        """Read from `store`; `spawn` runs the reads."""
        self._store = store
        self._settings = settings
        self._metrics = metrics
        self._spawn = spawn
        self._context = LoadContext()
        self._copies: dict[PoolId, _LoadCopy] = {}
        # A call has succeeded since the store was reported lost.
        self._is_store_regained = False

    @property
    def is_enabled(self) -> bool:
        """Return whether submissions may be refused."""
        return self._settings.load.applies(
            has_contracts=self._context.has_contracts
        )

    @property
    def is_store_lost(self) -> bool:
        """Return whether the store is known to be out of reach."""
        is_lost = self._context.is_store_lost and not self._is_store_regained
        return is_lost and self.is_enabled

    def update_context(self, context: LoadContext) -> None:
        """Take note of what the process knows."""
        if context.is_store_lost != self._context.is_store_lost:
            self._is_store_regained = False
        self._context = context

    def note_store_call(self, *, is_answered: bool) -> None:
        """Take note of the outcome of a store call."""
        self._is_store_regained = is_answered

    async def refusal_of(
        self, graph: JobGraph, deadline_ms: int
    ) -> RefusedSubmission | None:
        """Return the answer to a refused submission, `None` if accepted."""
        if not self.is_enabled:
            return None
        copy = self._copies.setdefault(graph.pool, _LoadCopy())
        if self.is_store_lost:
            # The read shows whether the store is back.
            self._start_read(graph.pool, copy)
            refusal = LoadRefusal(RefusalCause.STORE)
            return self._refuse(graph, copy, refusal, 0)
        await self._refresh(graph.pool, copy, deadline_ms)
        known = self._known_load(graph.pool, copy)
        decided = decide(known, graph)
        if known is None or decided is None:
            return None
        if not await self._is_new(graph, deadline_ms):
            return None
        delay_ms = self._return_delay_ms(graph, copy, known.load, decided)
        return self._refuse(graph, copy, decided, delay_ms)

    def snapshot(self) -> dict[str, Any]:
        """Return the copies of the pools' load for a dump."""
        now = now_ms()
        return {
            'is_enabled': self.is_enabled,
            'is_store_lost': self.is_store_lost,
            'pools': {
                pool: {
                    'revision': copy.revision,
                    'age_ms': copy.age.age_ms(now, self._settings.load),
                    'load': copy.load and load_records.load_document(copy.load),
                }
                for pool, copy in self._copies.items()
            },
        }

    async def _refresh(
        self, pool: PoolId, copy: _LoadCopy, deadline_ms: int
    ) -> None:
        """Read the record if the copy is old; submissions share a read."""
        now = now_ms()
        cache_ms = self._settings.load.cache_ms
        if copy.ended_ms is not None and now - copy.ended_ms < cache_ms:
            return
        reading = self._start_read(pool, copy)
        # A call through a peer may take longer than the store's time-out.
        timeout_ms = min(
            copy.started_ms + self._settings.calls.store_timeout_ms - now,
            (deadline_ms - now) // _READ_SHARE,
        )
        if timeout_ms > 0:
            await asyncio.wait((reading,), timeout=timeout_ms / MS_PER_SECOND)

    def _start_read(
        self, pool: PoolId, copy: _LoadCopy
    ) -> 'asyncio.Task[None]':
        if copy.reading is None or copy.reading.done():
            copy.started_ms = now_ms()
            copy.reading = self._spawn(self._read(pool, copy))
        return copy.reading

    async def _read(self, pool: PoolId, copy: _LoadCopy) -> None:
        read_result = await self._store.get(
            keys.load_key(pool), self._settings.calls.store_timeout_ms
        )
        copy.ended_ms = now_ms()
        is_answered = isinstance(read_result, Success)
        self.note_store_call(is_answered=is_answered)
        if is_answered:
            _apply_read(copy, read_result.unwrap())

    def _known_load(self, pool: PoolId, copy: _LoadCopy) -> KnownLoad | None:
        """Return the load if it is fresh and from the present owner."""
        load = copy.load
        if load is None or load.pool != pool:
            return None
        if load.epoch != self._context.owner_epochs.get(pool):
            return None
        age_ms = copy.age.age_ms(now_ms(), self._settings.load)
        return None if age_ms is None else KnownLoad(load, age_ms)

    async def _is_new(self, graph: JobGraph, deadline_ms: int) -> bool:
        """Tell whether a job certainly has not been accepted yet."""
        timeout_ms = min(
            self._settings.calls.store_timeout_ms, deadline_ms - now_ms()
        )
        if timeout_ms <= 0:
            return False
        read_result = await self._store.get(
            keys.graph_key(graph.pool, graph.job), timeout_ms
        )
        if not isinstance(read_result, Success):
            return False
        return read_result.unwrap().value is None

    def _return_delay_ms(
        self,
        graph: JobGraph,
        copy: _LoadCopy,
        load: PoolLoad,
        refusal: LoadRefusal,
    ) -> int:
        if refusal.cause is RefusalCause.NEVER_FITS:
            return RETURN_MAX_MS
        request = ReturnRequest(
            graph.job,
            work_ms(load, graph),
            load.drain_milli,
            self._context.processes_count,
            refusal.least_wait_ms - refusal.allowed_wait_ms,
        )
        return copy.row.delay_ms(request, now_ms())

    def _refuse(
        self,
        graph: JobGraph,
        copy: _LoadCopy,
        refusal: LoadRefusal,
        delay_ms: int,
    ) -> RefusedSubmission:
        self._metrics.count_refusal(graph.pool, graph.queue, refusal.cause)
        events.emit(
            graph_events.SUBMISSION_REFUSED,
            job=graph.job,
            queue=graph.queue,
            customer=graph.customer,
            code=refusal.code.name,
            cause=refusal.cause.value,
            least_wait_ms=refusal.least_wait_ms,
            allowed_wait_ms=refusal.allowed_wait_ms,
            age_ms=refusal.age_ms,
            revision=copy.revision,
            retry_after_ms=delay_ms,
        )
        return RefusedSubmission(refusal.code, delay_ms)


def _apply_read(copy: _LoadCopy, item: KvItem) -> None:
    """Update a copy; a missing or damaged record leaves no knowledge."""
    if item.value is None:
        copy.load = None
    elif item.revision < copy.revision:
        # A read through a peer may be answered from before another one.
        return
    elif item.revision != copy.revision:
        copy.load = load_records.decode_load(item.value)
    copy.revision = item.revision
    if copy.load is None:
        copy.age = RecordAge()
        return
    copy.age.add(
        RecordRead(
            item.revision,
            copy.load.written_unix_ms,
            copy.started_ms,
            now_ms(),
            time.time_ns() // _NS_PER_MS,
        )
    )
