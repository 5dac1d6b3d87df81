"""The callers: submit, retry as the answers advise, and collect the results.

Each job has a task of its own. A caller keeps its idempotency key, so a retry
after an uncertain answer is safe.
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
from fuchsiarill.replay.process import ReplayedProcess
from fuchsiarill.replay.seen import SeenKind, SeenLog
from fuchsiarill.routing import Route, partition_of_job, partition_of_key

_RETRY_MS: Final = 200
_ANSWER_MARGIN_MS: Final = 1_000
_RESULT_WAIT_MS: Final = 5_000


@dataclass(frozen=True, slots=True)
class Manner:
    """How a caller acts.

    `via` names the only process it asks; without, the load balancer picks.
    """

    retries: bool = True
    waits: bool = True
    via: str | None = None


class Callers:
    """All callers of one replay."""

    def __init__(
        self,
        log: SeenLog,
        network: Network,
        processes: dict[str, ReplayedProcess],
        config: CellConfig,
        random_source: random.Random,
    ) -> None:
        """Call `processes`; `random_source` is the load balancer's choice."""
        self.config = config
        self.job_ids: dict[str, JobId] = {}
        self._log = log
        self._network = network
        self._processes = processes
        self._random_source = random_source
        self._endpoint = Endpoint('caller', CLIENT_DOMAIN)
        self._volatile: set[str] = set()
        self._tasks: set[asyncio.Task[None]] = set()

    def submit(self, spec: JobSpec, manner: Manner) -> None:
        """Submit a job and follow it to its end."""
        self._log.note(
            SeenKind.SUBMITTED,
            spec.customer,
            key=spec.idempotency_key,
            workload=spec.workload.value,
            execution=spec.execution.value,
            urgency=spec.urgency.value,
            job_class=spec.job_class,
            tasks_count=spec.tasks_count,
            size=spec.task_size.as_tuple(),
        )
        self._run(self._follow(spec, manner))

    def cancel(self, spec: JobSpec, manner: Manner) -> None:
        """Cancel a job that was submitted before."""
        self._run(self._cancel(spec, manner))

    def _run(self, call: Any) -> None:
        task = asyncio.create_task(call)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _follow(self, spec: JobSpec, manner: Manner) -> None:
        while True:
            job_id = await self._accepted(spec, manner)
            if job_id is None:
                return
            self.job_ids[spec.idempotency_key] = job_id
            if not manner.waits:
                return
            if await self._collect(spec, job_id, manner):
                return

    async def _accepted(
        self,
        spec: JobSpec,
        manner: Manner,
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
            answers = await self._ask(spec, 'submit', build, manner)
            answer = None if answers is None else answers[0]
            if answer is not None and answer.refusal is None:
                return self._note_accepted(spec, answer)
            delay_ms = _retry_delay_ms(answer)
            if delay_ms is None or not manner.retries:
                return None
            await sleep_ms(delay_ms)

    def _note_accepted(self, spec: JobSpec, answer: JobAnswer) -> JobId | None:
        if answer.code is ACCEPTED_VOLATILE:
            self._volatile.add(spec.idempotency_key)
        return answer.job_id

    async def _collect(
        self,
        spec: JobSpec,
        job_id: JobId,
        manner: Manner,
    ) -> bool:
        """Wait for the result; `False` when the job has to be submitted again.

        That is so for a job that was accepted as volatile and is forgotten.
        """
        query = JobQuery(spec.customer, job_id, _RESULT_WAIT_MS)
        build = partial(_ask_route, query)
        while True:
            answer = await self._ask(
                spec,
                'query',
                build,
                manner,
                _RESULT_WAIT_MS,
            )
            if answer is None:
                await sleep_ms(_RETRY_MS)
                continue
            if answer.state in FINAL_STATES:
                self._note_end(spec, answer)
                return True
            if self._is_forgotten(spec, answer):
                return False
            if answer.refusal is not None:
                await sleep_ms(_RETRY_MS)

    def _is_forgotten(self, spec: JobSpec, answer: JobAnswer) -> bool:
        is_volatile = spec.idempotency_key in self._volatile
        return is_volatile and answer.code is UNKNOWN_JOB

    def _note_end(self, spec: JobSpec, answer: JobAnswer) -> None:
        self._log.note(
            SeenKind.JOB_ENDED,
            spec.customer,
            key=spec.idempotency_key,
            state='' if answer.state is None else answer.state.value,
            code=answer.code.name,
            outputs=list(answer.outputs),
        )

    async def _cancel(self, spec: JobSpec, manner: Manner) -> None:
        key = spec.idempotency_key
        job_id = self.job_ids.get(key)
        self._log.note(SeenKind.CANCEL_ASKED, spec.customer, key=key)
        while job_id is None:
            await sleep_ms(_RETRY_MS)
            job_id = self.job_ids.get(key)
        cancel = JobCancel(spec.customer, job_id)
        build = partial(_cancel_route, cancel)
        while True:
            answer = await self._ask(spec, 'cancel', build, manner)
            if answer is not None and _retry_delay_ms(answer) is None:
                return
            await sleep_ms(_RETRY_MS)

    async def _ask(
        self,
        spec: JobSpec,
        call: str,
        build: Callable[[Any], Route],
        manner: Manner,
        wait_ms: int = 0,
    ) -> Any:
        """Return the answer of one process, or `None` for none."""
        process = self._pick(manner)
        if process is None:
            return None
        # The front answers at its own deadline, before the caller gives up.
        timeout_ms = (
            process.settings.http.request_timeout_ms
            + wait_ms
            + _ANSWER_MARGIN_MS
        )
        answered = await self._network.ask(
            self._endpoint,
            process.endpoint,
            partial(process.ask_owner, build, wait_ms),
            timeout_ms,
        )
        match answered:
            case Success(answer):
                self._note_answer(spec, call, process.name, answer)
                return answer
            case Failure(CallFailure() as failure):
                self._log.note(
                    SeenKind.CALL_FAILED,
                    spec.customer,
                    key=spec.idempotency_key,
                    call=call,
                    process=process.name,
                    failure=failure.value,
                )
        return None

    def _pick(self, manner: Manner) -> ReplayedProcess | None:
        if manner.via is not None:
            return self._processes[manner.via]
        alive = [one for one in self._processes.values() if one.takes_calls]
        return self._random_source.choice(alive) if alive else None

    def _note_answer(
        self,
        spec: JobSpec,
        call: str,
        process: str,
        answer: Any,
    ) -> None:
        one: JobAnswer = answer[0] if isinstance(answer, tuple) else answer
        self._log.note(
            SeenKind.ANSWERED,
            spec.customer,
            key=spec.idempotency_key,
            call=call,
            process=process,
            code=one.code.name,
            job=one.job_id or '',
            refused=one.refusal is not None,
        )


def _retry_delay_ms(answer: JobAnswer | None) -> int | None:
    """Return when to repeat a request, or `None` for not at all."""
    if answer is None:
        return _RETRY_MS
    if answer.refusal is None or answer.code.retry is Retry.NEVER:
        return None
    return answer.refusal.retry_after_ms or _RETRY_MS


def _submit_route(partition: PartitionId, spec: JobSpec, reply: Any) -> Route:
    return Route(partition, messages.SubmitJobs((spec,), reply))


def _ask_route(query: JobQuery, reply: Any) -> Route:
    return Route(
        partition_of_job(query.job_id),
        messages.QueryJob(query, reply),
    )


def _cancel_route(cancel: JobCancel, reply: Any) -> Route:
    return Route(
        partition_of_job(cancel.job_id),
        messages.CancelJob(cancel, reply),
    )
