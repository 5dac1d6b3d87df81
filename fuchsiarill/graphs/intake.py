"""Requests of callers: jobs to accept, to look up and to cancel.

Any process serves them from the store alone, so that no owner has to be
alive: a job is accepted when its key exists, and cancelled when the key of
its cancellation does.
"""

from dataclasses import dataclass, field
from typing import Final

from returns.result import Failure, Success

from fuchsiarill import codes, events
from fuchsiarill.actor import Reply, handles
from fuchsiarill.clock import now_ms, sleep_ms
from fuchsiarill.cluster.spawning import SpawningActor
from fuchsiarill.graphs import keys, records
from fuchsiarill.graphs.model import JobGraph, PoolId, QueueId
from fuchsiarill.graphs.settings import GraphSettings
from fuchsiarill.graphs.states import JobPhase
from fuchsiarill.ids import ABSENT, JobId, StoreKey
from fuchsiarill.ports.key_value import (
    KeyValuePort,
    KvCommitted,
    KvFailure,
    KvTransaction,
    KvWrite,
)

# Counts may be 2 s old; several requests share a read.
_PENDING_AGE_MS: Final = 500


@dataclass(frozen=True, slots=True)
class IntakeAnswer:
    """Outcome of a request."""

    code: codes.ResultCode
    phase: JobPhase | None = None
    has_started: bool = False
    pending_count: int = 0


@dataclass(frozen=True, slots=True)
class Submit:
    """Accept a job; the caller waits until `deadline_ms`."""

    graph: JobGraph
    deadline_ms: int
    reply: Reply[IntakeAnswer]


@dataclass(frozen=True, slots=True)
class LookUp:
    """Tell the state of a job."""

    pool: PoolId
    job: JobId
    deadline_ms: int
    reply: Reply[IntakeAnswer]


@dataclass(frozen=True, slots=True)
class Cancel:
    """Cancel a job."""

    pool: PoolId
    job: JobId
    deadline_ms: int
    reply: Reply[IntakeAnswer]


@dataclass(frozen=True, slots=True)
class CountPending:
    """Count the jobs of a queue of which nothing has started."""

    pool: PoolId
    queue: QueueId
    deadline_ms: int
    reply: Reply[IntakeAnswer]


@dataclass(slots=True)
class _PendingCounts:
    read_ms: int
    counts: dict[QueueId, int] = field(default_factory=dict)


@dataclass(slots=True)
class _Writing:
    """A transaction that is tried until the caller's patience ends."""

    verb: str
    job: JobId
    started_ms: int
    deadline_ms: int
    failures_count: int = 0
    # An attempt without an answer may have taken effect.
    may_have_happened: bool = False


class Intake(SpawningActor):
    """Serves the requests of callers of one process."""

    def __init__(self, store: KeyValuePort, settings: GraphSettings) -> None:
        """Serve from the store."""
        super().__init__('intake')
        self._store = store
        self._calls_settings = settings.calls
        self._pending: dict[PoolId, _PendingCounts] = {}

    @handles(Submit)
    async def on_submit(self, message: Submit) -> None:
        """Accept a job."""
        self.spawn(self._submit(message))

    @handles(LookUp)
    async def on_look_up(self, message: LookUp) -> None:
        """Look a job up."""
        self.spawn(self._look_up(message))

    @handles(Cancel)
    async def on_cancel(self, message: Cancel) -> None:
        """Cancel a job."""
        self.spawn(self._cancel(message))

    @handles(CountPending)
    async def on_count(self, message: CountPending) -> None:
        """Count waiting jobs."""
        self.spawn(self._count(message))

    async def _submit(self, message: Submit) -> None:
        graph = message.graph
        writing = _Writing('submit', graph.job, now_ms(), message.deadline_ms)
        key = keys.graph_key(graph.pool, graph.job)
        code = await self._create(key, records.encode_graph(graph), writing)
        message.reply.answer(IntakeAnswer(code))

    async def _cancel(self, message: Cancel) -> None:
        key = keys.graph_key(message.pool, message.job)
        writing = _Writing(
            'cancel',
            message.job,
            now_ms(),
            message.deadline_ms,
        )
        while True:
            found = await self._store.get(key, self._timeout_ms(writing))
            if isinstance(found, Success):
                break
            if not await self._may_repeat(writing):
                code = self._refuse(writing, codes.STORE_UNAVAILABLE)
                message.reply.answer(IntakeAnswer(code))
                return
        if found.unwrap().value is None:
            message.reply.answer(IntakeAnswer(codes.UNKNOWN_JOB))
            return
        cancel_key = keys.cancel_key(message.pool, message.job)
        code = await self._create(cancel_key, b'{}', writing)
        if code is codes.ACCEPTED:
            events.emit(events.GRAPH_CANCEL_ACCEPTED, job=message.job)
        message.reply.answer(IntakeAnswer(code))

    async def _create(
        self,
        key: StoreKey,
        value: bytes,
        writing: _Writing,
    ) -> codes.ResultCode:
        """Create a key; one that is there already is as good.

        The transaction is safe to repeat, since the key may be created once.
        """
        transaction = KvTransaction(((key, ABSENT),), (KvWrite(key, value),))
        while True:
            answered = await self._store.commit(
                transaction,
                self._timeout_ms(writing),
            )
            if isinstance(answered, Success):
                self._log_created(key, writing, answered.unwrap())
                return codes.ACCEPTED
            if answered.failure() is not KvFailure.REFUSED:
                writing.may_have_happened = True
            if not await self._may_repeat(writing):
                break
        if writing.may_have_happened:
            return self._refuse(writing, codes.OUTCOME_UNCERTAIN)
        return self._refuse(writing, codes.STORE_UNAVAILABLE)

    def _log_created(
        self,
        key: StoreKey,
        writing: _Writing,
        outcome: object,
    ) -> None:
        if writing.verb != 'submit':
            return
        revision = None
        if isinstance(outcome, KvCommitted):
            revision = outcome.revision
        events.emit(
            events.GRAPH_ACCEPTED,
            job=writing.job,
            queue=key.split('/')[1],
            revision=revision,
            took_ms=now_ms() - writing.started_ms,
            attempts=writing.failures_count + 1,
        )

    async def _may_repeat(self, writing: _Writing) -> bool:
        """Wait after a failed attempt, if there is time for another."""
        writing.failures_count += 1
        await sleep_ms(self._calls_settings.submit_retry_ms)
        now = now_ms()
        if writing.may_have_happened:
            # The caller is owed an answer that is certain.
            return now < writing.deadline_ms
        patience_ms = self._calls_settings.submit_patience_ms
        return now < min(writing.deadline_ms, writing.started_ms + patience_ms)

    def _timeout_ms(self, writing: _Writing) -> int:
        left_ms = writing.deadline_ms - now_ms()
        return max(1, min(self._calls_settings.store_timeout_ms, left_ms))

    def _refuse(
        self, writing: _Writing, code: codes.ResultCode
    ) -> codes.ResultCode:
        events.emit(
            events.GRAPH_REFUSED,
            verb=writing.verb,
            job=writing.job,
            code=code.name,
            took_ms=now_ms() - writing.started_ms,
            reason=f'{writing.failures_count} calls of the store failed',
        )
        return code

    async def _look_up(self, message: LookUp) -> None:
        writing = _Writing(
            'look up',
            message.job,
            now_ms(),
            message.deadline_ms,
        )
        while True:
            answer = await self._read_state(message, self._timeout_ms(writing))
            if answer is not None:
                message.reply.answer(answer)
                return
            if not await self._may_repeat(writing):
                code = self._refuse(writing, codes.STORE_UNAVAILABLE)
                message.reply.answer(IntakeAnswer(code))
                return

    async def _read_state(
        self,
        message: LookUp,
        timeout_ms: int,
    ) -> IntakeAnswer | None:
        key = keys.progress_key(message.pool, message.job)
        found = await self._store.get(key, timeout_ms)
        if isinstance(found, Failure):
            return None
        value = found.unwrap().value
        if value is not None:
            progress = records.decode_progress(value)
            return IntakeAnswer(
                codes.DONE,
                progress.phase,
                progress.has_started,
            )
        found = await self._store.get(
            keys.graph_key(message.pool, message.job),
            timeout_ms,
        )
        if isinstance(found, Failure):
            return None
        if found.unwrap().value is None:
            return IntakeAnswer(codes.UNKNOWN_JOB)
        return IntakeAnswer(codes.DONE, JobPhase.ACTIVE)

    async def _count(self, message: CountPending) -> None:
        held = self._pending.get(message.pool)
        if held is None or now_ms() - held.read_ms > _PENDING_AGE_MS:
            found = await self._store.get(
                keys.pending_key(message.pool),
                self._calls_settings.store_timeout_ms,
            )
            if isinstance(found, Failure):
                message.reply.answer(IntakeAnswer(codes.STORE_UNAVAILABLE))
                return
            value = found.unwrap().value
            held = _PendingCounts(
                now_ms(),
                records.decode_pending(value) if value else {},
            )
            self._pending[message.pool] = held
        message.reply.answer(
            IntakeAnswer(
                codes.DONE,
                pending_count=held.counts.get(message.queue, 0),
            ),
        )
