"""Requests of callers: submit, look up, cancel and count jobs.

Any process serves them from the store alone, without the owner of the pool:
a job is accepted when its key exists, and cancelled when the key of its
cancellation exists. The deadline of a request is by the runtime clock, and no
store call is retried after it. The answer may come later by a pause and a call:
a pause follows each failed call, a look-up makes two reads with the same
time-out, and a call through a peer follows a direct call. A count ignores its
deadline: it makes at most one store call, with the usual time-out.
"""

from dataclasses import dataclass, field
from typing import Any, Final

from returns.result import Failure, Success

from fuchsiarill import codes, events, graph_events
from fuchsiarill.actor import Reply, handles
from fuchsiarill.clock import now_ms, sleep_ms
from fuchsiarill.cluster.spawning_actor import SpawningActor
from fuchsiarill.graphs import graph_records, keys, records
from fuchsiarill.graphs.load_gate import LoadContext, LoadGate
from fuchsiarill.graphs.load_metrics import LoadMetrics
from fuchsiarill.graphs.model import JobGraph, PoolId, QueueId
from fuchsiarill.graphs.settings import GraphSettings
from fuchsiarill.graphs.states import JobPhase
from fuchsiarill.ids import ABSENT, CustomerId, JobId, StoreKey
from fuchsiarill.ports.key_value import (
    KeyValuePort,
    KvCommitted,
    KvFailure,
    KvTransaction,
    KvWrite,
)

# Requests share one read of the counts for this time. The counts in an answer
# may be 2 s old: this time, the 700 ms between two scans of the owner and a
# tick of 100 ms leave 700 ms for the write and the read.
_COUNTS_CACHE_MS: Final = 500


@dataclass(frozen=True, slots=True)
class IntakeAnswer:
    """Answer to a request.

    It has the result code, with the state of a job or the number of jobs that
    have not started. A refusal for load tells when to repeat the request.
    """

    code: codes.ResultCode
    phase: JobPhase | None = None
    has_started: bool = False
    pending_count: int = 0
    retry_after_ms: int = 0


@dataclass(frozen=True, slots=True)
class Submit:
    """Request to accept a job; the caller waits until `deadline_ms`."""

    graph: JobGraph
    deadline_ms: int
    reply: Reply[IntakeAnswer]


@dataclass(frozen=True, slots=True)
class LookUp:
    """Request for the state of a job."""

    pool: PoolId
    job: JobId
    deadline_ms: int
    reply: Reply[IntakeAnswer]


@dataclass(frozen=True, slots=True)
class Cancel:
    """Request to cancel a job of a customer.

    Without a customer the request may cancel any job.
    """

    pool: PoolId
    job: JobId
    customer: CustomerId | None
    deadline_ms: int
    reply: Reply[IntakeAnswer]


@dataclass(frozen=True, slots=True)
class CountPending:
    """Request for the number of jobs of a queue that have not started."""

    pool: PoolId
    queue: QueueId
    deadline_ms: int
    reply: Reply[IntakeAnswer]


@dataclass(slots=True)
class _PendingCounts:
    read_ms: int
    counts: dict[QueueId, int] = field(default_factory=dict)


@dataclass(slots=True)
class _RetryState:
    """State of a request whose store calls are retried.

    Retries stop at the deadline, and after `submit_patience_ms` unless a write
    may have taken effect.
    """

    verb: str
    job: JobId
    started_ms: int
    deadline_ms: int
    failures_count: int = 0
    # A write got no answer, so it may have taken effect.
    may_have_applied: bool = False


class Intake(SpawningActor):
    """Serves the requests of callers of one process."""

    def __init__(
        self,
        store: KeyValuePort,
        settings: GraphSettings,
        metrics: LoadMetrics,
    ) -> None:
        """Serve the requests from `store`."""
        super().__init__('intake')
        self._gate = LoadGate(store, settings, metrics, self.spawn)
        self._store = store
        self._call_settings = settings.calls
        self._counts_by_pool: dict[PoolId, _PendingCounts] = {}

    @handles(Submit)
    async def on_submit(self, message: Submit) -> None:
        """Accept a job in a task of its own."""
        self.spawn(self._submit_job(message))

    @handles(LoadContext)
    async def on_load_context(self, message: LoadContext) -> None:
        """Take note of owners, peers and the reachability of the store."""
        self._gate.update_context(message)

    @handles(LookUp)
    async def on_look_up(self, message: LookUp) -> None:
        """Look a job up in a task of its own."""
        self.spawn(self._look_up_job(message))

    @handles(Cancel)
    async def on_cancel(self, message: Cancel) -> None:
        """Cancel a job in a task of its own."""
        self.spawn(self._cancel_job(message))

    @handles(CountPending)
    async def on_count(self, message: CountPending) -> None:
        """Count jobs that have not started, in a task of its own."""
        self.spawn(self._count_pending(message))

    def snapshot(self) -> dict[str, Any]:
        """Return the state for a dump."""
        return {**super().snapshot(), 'load': self._gate.snapshot()}

    async def _submit_job(self, message: Submit) -> None:
        graph = message.graph
        refused = await self._gate.refusal_of(graph, message.deadline_ms)
        if refused is not None:
            message.reply.answer(
                IntakeAnswer(
                    refused.code, retry_after_ms=refused.retry_after_ms
                )
            )
            return
        retry = _RetryState('submit', graph.job, now_ms(), message.deadline_ms)
        key = keys.graph_key(graph.pool, graph.job)
        code = await self._create_key(
            key, graph_records.encode_graph(graph), retry
        )
        message.reply.answer(IntakeAnswer(code))

    async def _cancel_job(self, message: Cancel) -> None:
        key = keys.graph_key(message.pool, message.job)
        retry = _RetryState(
            'cancel',
            message.job,
            now_ms(),
            message.deadline_ms,
        )
        while True:
            read_result = await self._store.get(key, self._timeout_ms(retry))
            if isinstance(read_result, Success):
                break
            if not await self._wait_before_retry(retry):
                code = self._log_failed_request(retry, codes.STORE_UNAVAILABLE)
                message.reply.answer(IntakeAnswer(code))
                return
        content = read_result.unwrap().value
        if content is None or _is_of_other_customer(message, content):
            message.reply.answer(IntakeAnswer(codes.UNKNOWN_JOB))
            return
        cancel_key = keys.cancel_key(message.pool, message.job)
        code = await self._create_key(cancel_key, b'{}', retry)
        if code is codes.ACCEPTED:
            events.emit(graph_events.GRAPH_CANCEL_ACCEPTED, job=message.job)
        message.reply.answer(IntakeAnswer(code))

    async def _create_key(
        self,
        key: StoreKey,
        value: bytes,
        retry: _RetryState,
    ) -> codes.ResultCode:
        """Create a key; an existing key counts as success.

        The transaction is safe to repeat, since it creates the key only once.
        """
        transaction = KvTransaction(((key, ABSENT),), (KvWrite(key, value),))
        while True:
            commit_result = await self._store.commit(
                transaction,
                self._timeout_ms(retry),
            )
            is_answered = isinstance(commit_result, Success)
            self._gate.note_store_call(is_answered=is_answered)
            if is_answered:
                self._log_submission(key, retry, commit_result.unwrap())
                return codes.ACCEPTED
            if commit_result.failure() is not KvFailure.REFUSED:
                retry.may_have_applied = True
            if not await self._wait_before_retry(retry):
                break
        if retry.may_have_applied:
            return self._log_failed_request(retry, codes.OUTCOME_UNCERTAIN)
        return self._log_failed_request(retry, codes.STORE_UNAVAILABLE)

    def _log_submission(
        self,
        key: StoreKey,
        retry: _RetryState,
        outcome: object,
    ) -> None:
        if retry.verb != 'submit':
            return
        revision = None
        if isinstance(outcome, KvCommitted):
            revision = outcome.revision
        events.emit(
            graph_events.GRAPH_ACCEPTED,
            job=retry.job,
            queue=key.split('/')[1],
            revision=revision,
            took_ms=now_ms() - retry.started_ms,
            attempts=retry.failures_count + 1,
        )

    async def _wait_before_retry(self, retry: _RetryState) -> bool:
        """Wait after a failed store call; return whether another may follow."""
        retry.failures_count += 1
        await sleep_ms(self._call_settings.submit_retry_ms)
        now = now_ms()
        if retry.may_have_applied:
            # Only a further call can tell the caller the outcome.
            return now < retry.deadline_ms
        if retry.verb == 'submit' and self._gate.is_store_lost:
            return False
        retry_limit_ms = self._call_settings.submit_patience_ms
        return now < min(retry.deadline_ms, retry.started_ms + retry_limit_ms)

    def _timeout_ms(self, retry: _RetryState) -> int:
        left_ms = retry.deadline_ms - now_ms()
        return max(1, min(self._call_settings.store_timeout_ms, left_ms))

    def _log_failed_request(
        self, retry: _RetryState, code: codes.ResultCode
    ) -> codes.ResultCode:
        events.emit(
            graph_events.GRAPH_REFUSED,
            verb=retry.verb,
            job=retry.job,
            code=code.name,
            took_ms=now_ms() - retry.started_ms,
            reason=f'{retry.failures_count} calls of the store failed',
        )
        return code

    async def _look_up_job(self, message: LookUp) -> None:
        retry = _RetryState(
            'look up',
            message.job,
            now_ms(),
            message.deadline_ms,
        )
        while True:
            answer = await self._read_state(message, self._timeout_ms(retry))
            if answer is not None:
                message.reply.answer(answer)
                return
            if not await self._wait_before_retry(retry):
                code = self._log_failed_request(retry, codes.STORE_UNAVAILABLE)
                message.reply.answer(IntakeAnswer(code))
                return

    async def _read_state(
        self,
        message: LookUp,
        timeout_ms: int,
    ) -> IntakeAnswer | None:
        """Return the state of a job; `None` if a store call failed."""
        key = keys.progress_key(message.pool, message.job)
        read_result = await self._store.get(key, timeout_ms)
        if isinstance(read_result, Failure):
            return None
        value = read_result.unwrap().value
        if value is not None:
            progress = records.decode_progress(value)
            return IntakeAnswer(
                codes.DONE,
                progress.phase,
                progress.has_started,
            )
        read_result = await self._store.get(
            keys.graph_key(message.pool, message.job),
            timeout_ms,
        )
        if isinstance(read_result, Failure):
            return None
        if read_result.unwrap().value is None:
            return IntakeAnswer(codes.UNKNOWN_JOB)
        return IntakeAnswer(codes.DONE, JobPhase.ACTIVE)

    async def _count_pending(self, message: CountPending) -> None:
        cached_counts = self._counts_by_pool.get(message.pool)
        if (
            cached_counts is None
            or now_ms() - cached_counts.read_ms > _COUNTS_CACHE_MS
        ):
            read_result = await self._store.get(
                keys.pending_key(message.pool),
                self._call_settings.store_timeout_ms,
            )
            if isinstance(read_result, Failure):
                message.reply.answer(IntakeAnswer(codes.STORE_UNAVAILABLE))
                return
            value = read_result.unwrap().value
            cached_counts = _PendingCounts(
                now_ms(),
                records.decode_pending(value) if value else {},
            )
            self._counts_by_pool[message.pool] = cached_counts
        message.reply.answer(
            IntakeAnswer(
                codes.DONE,
                pending_count=cached_counts.counts.get(message.queue, 0),
            ),
        )


def _is_of_other_customer(message: Cancel, content: bytes) -> bool:
    if message.customer is None:
        return False
    graph = graph_records.decode_graph(message.pool, message.job, content)
    return graph.customer not in {None, message.customer}
