"""Simulated callers: submit jobs, retry as answers advise, collect results.

Each job runs in its own asyncio task. A retry uses the same idempotency key,
so it is safe after an uncertain answer.
"""

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from typing import Any, Final

from returns.result import Failure, Success

from fuchsiarill.answers import JobAnswer, JobCancel, JobQuery
from fuchsiarill.cell_config import CellConfig
from fuchsiarill.clock import sleep_ms
from fuchsiarill.codes import ACCEPTED_VOLATILE, UNKNOWN_JOB, Retry
from fuchsiarill.ids import JobId, PartitionId
from fuchsiarill.job import JobSpec
from fuchsiarill.owner import messages
from fuchsiarill.owner.job_replies import FINAL_STATES
from fuchsiarill.ports.http_client import CallFailure
from fuchsiarill.replay.network import CLIENT_DOMAIN, Endpoint, Network
from fuchsiarill.replay.observations import ObservationKind, ObservationLog
from fuchsiarill.replay.process import ReplayedProcess
from fuchsiarill.routing import (
    ForwardToOwner,
    partition_of_job,
    partition_of_key,
)

_RETRY_MS: Final = 200
_ANSWER_MARGIN_MS: Final = 1_000
_RESULT_WAIT_MS: Final = 5_000


@dataclass(frozen=True, slots=True)
class CallerOptions:
    """Whether a caller retries its calls and waits for the result.

    `via` names the only process that the caller calls; by default the load
    balancer chooses a process for each call.
    """

    retries: bool = True
    waits: bool = True
    via: str | None = None


class Callers:
    """All callers of one replay."""

    def __init__(
        self,
        log: ObservationLog,
        network: Network,
        processes: dict[str, ReplayedProcess],
        config: CellConfig,
        random_source: random.Random,
    ) -> None:
        """Call `processes`; `random_source` acts as the load balancer."""
        self.config = config
        self.job_ids: dict[str, JobId] = {}
        self._log = log
        self._network = network
        self._processes = processes
        self._random_source = random_source
        self._endpoint = Endpoint('caller', CLIENT_DOMAIN)
        self._volatile_keys: set[str] = set()
        self._tasks: set[asyncio.Task[None]] = set()

    def submit(self, spec: JobSpec, options: CallerOptions) -> None:
        """Start a task that submits a job and waits for its result."""
        self._log.record(
            ObservationKind.SUBMITTED,
            spec.customer,
            key=spec.idempotency_key,
            workload=spec.workload.value,
            execution=spec.execution.value,
            urgency=spec.urgency.value,
            job_class=spec.job_class,
            tasks_count=spec.tasks_count,
            size=spec.task_size.as_tuple(),
        )
        self._start_task(self._run_job(spec, options))

    def cancel(self, spec: JobSpec, options: CallerOptions) -> None:
        """Start a task that cancels a job, once its id is known."""
        self._start_task(self._cancel(spec, options))

    def _start_task(self, coroutine: Any) -> None:
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _run_job(self, spec: JobSpec, options: CallerOptions) -> None:
        while True:
            job_id = await self._submit_until_accepted(spec, options)
            if job_id is None:
                return
            self.job_ids[spec.idempotency_key] = job_id
            if not options.waits:
                return
            if await self._wait_for_result(spec, job_id, options):
                return

    async def _submit_until_accepted(
        self,
        spec: JobSpec,
        options: CallerOptions,
    ) -> JobId | None:
        partition = partition_of_key(
            self.config,
            spec.customer,
            spec.idempotency_key,
        )
        if partition is None:
            return None
        build = partial(_submit_route, partition, spec)
        while True:
            answers = await self._call(spec, 'submit', build, options)
            answer = None if answers is None else answers[0]
            if answer is not None and answer.refusal is None:
                return self._record_acceptance(spec, answer)
            delay_ms = _retry_delay_ms(answer)
            if delay_ms is None or not options.retries:
                return None
            await sleep_ms(delay_ms)

    def _record_acceptance(
        self, spec: JobSpec, answer: JobAnswer
    ) -> JobId | None:
        if answer.code is ACCEPTED_VOLATILE:
            self._volatile_keys.add(spec.idempotency_key)
        return answer.job_id

    async def _wait_for_result(
        self,
        spec: JobSpec,
        job_id: JobId,
        options: CallerOptions,
    ) -> bool:
        """Wait for the result; `False` when the job has to be submitted again.

        That is the case when the system has lost a job that it accepted as
        volatile.
        """
        query = JobQuery(spec.customer, job_id, _RESULT_WAIT_MS)
        build = partial(_query_route, query)
        while True:
            answer = await self._call(
                spec,
                'query',
                build,
                options,
                _RESULT_WAIT_MS,
            )
            if answer is None:
                await sleep_ms(_RETRY_MS)
                continue
            if answer.state in FINAL_STATES:
                self._record_end(spec, answer)
                return True
            if self._is_lost_volatile(spec, answer):
                return False
            if answer.refusal is not None:
                await sleep_ms(_RETRY_MS)

    def _is_lost_volatile(self, spec: JobSpec, answer: JobAnswer) -> bool:
        is_volatile = spec.idempotency_key in self._volatile_keys
        return is_volatile and answer.code is UNKNOWN_JOB

    def _record_end(self, spec: JobSpec, answer: JobAnswer) -> None:
        self._log.record(
            ObservationKind.JOB_ENDED,
            spec.customer,
            key=spec.idempotency_key,
            state='' if answer.state is None else answer.state.value,
            code=answer.code.name,
            outputs=list(answer.outputs),
        )

    async def _cancel(self, spec: JobSpec, options: CallerOptions) -> None:
        key = spec.idempotency_key
        job_id = self.job_ids.get(key)
        self._log.record(ObservationKind.CANCEL_ASKED, spec.customer, key=key)
        while job_id is None:
            await sleep_ms(_RETRY_MS)
            job_id = self.job_ids.get(key)
        cancel = JobCancel(spec.customer, job_id)
        build = partial(_cancel_route, cancel)
        while True:
            answer = await self._call(spec, 'cancel', build, options)
            if answer is not None and _retry_delay_ms(answer) is None:
                return
            await sleep_ms(_RETRY_MS)

    async def _call(
        self,
        spec: JobSpec,
        call: str,
        build: Callable[[Any], ForwardToOwner],
        options: CallerOptions,
        wait_ms: int = 0,
    ) -> Any:
        """Return the answer of one process, or `None` if none arrives."""
        process = self._choose_process(options)
        if process is None:
            return None
        # The front end answers at its own deadline, before this time-out.
        timeout_ms = (
            process.settings.http.request_timeout_ms
            + wait_ms
            + _ANSWER_MARGIN_MS
        )
        answered = await self._network.call(
            self._endpoint,
            process.endpoint,
            partial(process.call_owner, build, wait_ms),
            timeout_ms,
        )
        match answered:
            case Success(answer):
                self._record_answer(spec, call, process.name, answer)
                return answer
            case Failure(CallFailure() as failure):
                self._log.record(
                    ObservationKind.CALL_FAILED,
                    spec.customer,
                    key=spec.idempotency_key,
                    call=call,
                    process=process.name,
                    failure=failure.value,
                )
        return None

    def _choose_process(self, options: CallerOptions) -> ReplayedProcess | None:
        if options.via is not None:
            return self._processes[options.via]
        available = [
            process
            for process in self._processes.values()
            if process.accepts_calls
        ]
        return self._random_source.choice(available) if available else None

    def _record_answer(
        self,
        spec: JobSpec,
        call: str,
        process: str,
        answer: Any,
    ) -> None:
        job_answer: JobAnswer = (
            answer[0] if isinstance(answer, tuple) else answer
        )
        self._log.record(
            ObservationKind.ANSWERED,
            spec.customer,
            key=spec.idempotency_key,
            call=call,
            process=process,
            code=job_answer.code.name,
            job=job_answer.job_id or '',
            refused=job_answer.refusal is not None,
        )


def _retry_delay_ms(answer: JobAnswer | None) -> int | None:
    """Return the delay before a retry, or `None` if none is advised."""
    if answer is None:
        return _RETRY_MS
    if answer.refusal is None or answer.code.retry is Retry.NEVER:
        return None
    return answer.refusal.retry_after_ms or _RETRY_MS


def _submit_route(
    partition: PartitionId, spec: JobSpec, reply: Any
) -> ForwardToOwner:
    return ForwardToOwner(partition, messages.SubmitJobs((spec,), reply))


def _query_route(query: JobQuery, reply: Any) -> ForwardToOwner:
    return ForwardToOwner(
        partition_of_job(query.job_id),
        messages.QueryJob(query, reply),
    )


def _cancel_route(cancel: JobCancel, reply: Any) -> ForwardToOwner:
    return ForwardToOwner(
        partition_of_job(cancel.job_id),
        messages.CancelJob(cancel, reply),
    )
