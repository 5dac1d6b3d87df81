"""Passes messages for one partition to its owner in another process.

Submissions of concurrent requests are batched: while several calls are in
progress, further submissions wait and are sent together in the next call.
"""

import asyncio
import json
from collections import deque
from dataclasses import dataclass
from typing import Any, Final

from returns.result import Failure, Result, Success

from fuchsiarill import texts
from fuchsiarill.actor import Mailbox, handles
from fuchsiarill.answers import JobAnswer, JobExplanation, refusal_answer
from fuchsiarill.cluster.job_encoding import read_answer, spec_fields
from fuchsiarill.cluster.peer_port import PeerFailure
from fuchsiarill.cluster.peers import RpcPeers
from fuchsiarill.cluster.spawning_actor import SpawningActor
from fuchsiarill.codes import OUTCOME_UNCERTAIN, OWNER_UNAVAILABLE
from fuchsiarill.ids import PartitionId
from fuchsiarill.job import JobSpec
from fuchsiarill.owner import messages
from fuchsiarill.refusal import refuse
from fuchsiarill.routing import RouteStale
from fuchsiarill.settings import PeerSettings

# An owner answers a submission after its group commit, so several calls in
# progress keep it busy; more would only make the batches smaller.
_SUBMITS_IN_PROGRESS_MAX_COUNT: Final = 8
_RETRY_AFTER_MS: Final = 500


class _Collector:
    """Collects the answers to one message in the order of its specs."""

    def __init__(self, message: messages.SubmitJobs) -> None:
        self._reply = message.reply
        self._answers: dict[int, JobAnswer] = {}
        self._count = len(message.specs)

    def add_answer(self, position: int, answer: JobAnswer) -> None:
        """Store one answer; the last answer completes the reply."""
        self._answers[position] = answer
        if len(self._answers) == self._count:
            ordered = sorted(self._answers.items())
            self._reply.answer(tuple(answer for _, answer in ordered))


@dataclass(frozen=True, slots=True)
class _PendingSpec:
    spec: JobSpec
    collector: _Collector
    position: int


class OwnerLink(SpawningActor):
    """Makes the calls for the jobs of one partition."""

    def __init__(
        self,
        partition: PartitionId,
        address: str,
        settings: PeerSettings,
        peers: RpcPeers,
        router: Mailbox,
    ) -> None:
        """Call the owner at `address`; report stale routes to `router`."""
        super().__init__(f'owner link {partition}')
        self._partition = partition
        self._address = address
        self._settings = settings
        self._peers = peers
        self._router = router
        self._pending_specs: deque[_PendingSpec] = deque()
        self._submits_in_progress_count = 0

    @handles(messages.SubmitJobs)
    async def on_submit(self, message: messages.SubmitJobs) -> None:
        """Submit, batched with the other pending submissions."""
        collector = _Collector(message)
        self._pending_specs.extend(
            _PendingSpec(spec, collector, position)
            for position, spec in enumerate(message.specs)
        )
        if self._submits_in_progress_count < _SUBMITS_IN_PROGRESS_MAX_COUNT:
            self._submits_in_progress_count += 1
            self.spawn(self._submit_pending())

    @handles(messages.QueryJob)
    async def on_query(self, message: messages.QueryJob) -> None:
        """Forward a query to the owner."""
        self.spawn(self._forward_query(message))

    @handles(messages.CancelJob)
    async def on_cancel(self, message: messages.CancelJob) -> None:
        """Forward a cancellation to the owner."""
        self.spawn(self._forward_cancel(message))

    @handles(messages.ListJobs)
    async def on_list(self, message: messages.ListJobs) -> None:
        """Forward a list request to the owner."""
        self.spawn(self._forward_list(message))

    @handles(messages.ExplainJob)
    async def on_explain(self, message: messages.ExplainJob) -> None:
        """Forward a request for an explanation to the owner."""
        self.spawn(self._forward_explain(message))

    async def stop(self) -> None:
        """Refuse the pending submissions, then stop."""
        refusal = self._refusal_answer(PeerFailure.NOT_SENT)
        for pending in self._pending_specs:
            pending.collector.add_answer(pending.position, refusal)
        self._pending_specs.clear()
        await super().stop()

    def snapshot(self) -> dict[str, Any]:
        """Return the state for a dump."""
        return {
            **super().snapshot(),
            'address': self._address,
            'pending_count': len(self._pending_specs),
        }

    async def _submit_pending(self) -> None:
        while self._pending_specs:
            count = min(
                len(self._pending_specs), self._settings.batch_max_count
            )
            batch = [self._pending_specs.popleft() for _ in range(count)]
            answers = await self._submit_batch(
                [pending.spec for pending in batch]
            )
            for pending, answer in zip(batch, answers, strict=True):
                pending.collector.add_answer(pending.position, answer)
        self._submits_in_progress_count -= 1

    async def _submit_batch(self, specs: list[JobSpec]) -> list[JobAnswer]:
        encoded = [spec_fields(spec) for spec in specs]
        call_result = await self._call('submit', specs=encoded)
        if isinstance(call_result, Failure):
            refusal = self._refusal_answer(call_result.failure())
            return [refusal for _ in specs]
        return self._read_answers(call_result.unwrap().answers)

    async def _forward_query(self, message: messages.QueryJob) -> None:
        query = message.query
        call_result = await self._call(
            'query',
            wait_ms=query.wait_ms,
            customer=query.customer,
            jobId=query.job_id,
            waitMs=query.wait_ms,
        )
        message.reply.answer(self._read_single_answer(call_result))

    async def _forward_cancel(self, message: messages.CancelJob) -> None:
        cancel = message.cancel
        call_result = await self._call(
            'cancel',
            customer=cancel.customer,
            jobId=cancel.job_id,
        )
        message.reply.answer(self._read_single_answer(call_result))

    async def _forward_list(self, message: messages.ListJobs) -> None:
        query = message.query
        call_result = await self._call(
            'list',
            customer=query.customer,
            state='' if query.state is None else query.state.value,
            limit=query.limit,
        )
        if isinstance(call_result, Failure):
            message.reply.answer((self._refusal_answer(call_result.failure()),))
            return
        message.reply.answer(
            tuple(self._read_answers(call_result.unwrap().answers))
        )

    async def _forward_explain(self, message: messages.ExplainJob) -> None:
        call_result = await self._call(
            'why',
            customer=message.query.customer,
            jobId=message.query.job_id,
        )
        reasons = '{}'
        if isinstance(call_result, Success):
            reasons = call_result.unwrap().reasons
        explanation = JobExplanation(
            self._read_single_answer(call_result),
            json.loads(reasons),
        )
        message.reply.answer(explanation)

    async def _call(
        self,
        method: str,
        wait_ms: int = 0,
        **request: Any,
    ) -> Result[Any, PeerFailure]:
        request['partition'] = self._partition
        try:
            call_result = await self._peers.call(
                self._address,
                method,
                request,
                wait_ms,
            )
        except asyncio.CancelledError:
            # The link stops because the owner has changed; the caller is
            # answered at once instead of waiting for its own deadline.
            return Failure(PeerFailure.NO_ANSWER)
        if isinstance(call_result, Failure):
            self._report_stale()
        return call_result

    def _read_single_answer(
        self, call_result: Result[Any, PeerFailure]
    ) -> JobAnswer:
        if isinstance(call_result, Failure):
            return self._refusal_answer(call_result.failure())
        return self._read_answers([call_result.unwrap().answer])[0]

    def _read_answers(self, encoded: Any) -> list[JobAnswer]:
        answers = [read_answer(struct) for struct in encoded]
        if any(answer.code is OWNER_UNAVAILABLE for answer in answers):
            self._report_stale()
        return answers

    def _report_stale(self) -> None:
        self._router.send(RouteStale(self._partition, self._address))

    def _refusal_answer(self, failure: PeerFailure) -> JobAnswer:
        """Return a refusal; its code says if the call may have taken effect."""
        code = OUTCOME_UNCERTAIN
        text = texts.OUTCOME_UNCERTAIN
        if failure is PeerFailure.NOT_SENT:
            code = OWNER_UNAVAILABLE
            text = texts.OWNER_UNAVAILABLE
        return refusal_answer(
            refuse(
                code,
                text,
                partition=self._partition,
                retry_after_ms=_RETRY_AFTER_MS,
            ),
        )
