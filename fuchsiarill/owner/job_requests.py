"""Handles client requests that reach the owner of a partition.

An acceptance is answered once its record is durable, or at once if the job is
volatile. Every wait has a time limit.
"""

from collections.abc import Callable
from functools import partial

import pydantic_core
from returns.result import Success

from fuchsiarill import codes
from fuchsiarill.answers import JobAnswer, JobExplanation, refusal_answer
from fuchsiarill.clock import now_ms
from fuchsiarill.core.partition import PartitionCore
from fuchsiarill.ids import CustomerId, JobId
from fuchsiarill.job import JobRecord, JobSpec
from fuchsiarill.owner import messages
from fuchsiarill.owner.durability import Durability
from fuchsiarill.owner.job_replies import (
    FINAL_STATES,
    answer_of,
    overloaded_answer,
    owner_unavailable_answer,
    uncertain_answer,
    unfinished_answer_of,
    unknown_job_answer,
)
from fuchsiarill.owner.waiters import CommitWaiter, Waiters
from fuchsiarill.states import JobState


class JobRequests:
    """Executes client requests and keeps track of waiting clients."""

    def __init__(
        self,
        core: PartitionCore,
        durability: Durability,
        commit_timeout_ms: int,
    ) -> None:
        """Answer from `core`; wait for a commit up to `commit_timeout_ms`."""
        self.waiters = Waiters()
        self.is_closed = False
        self.owned_until_ms = 0
        self._core = core
        self._durability = durability
        self._commit_timeout_ms = commit_timeout_ms

    def submit(self, message: messages.SubmitJobs) -> None:
        """Admit a batch and answer once all of it is durable."""
        answers = tuple(self._admit(spec) for spec in message.specs)
        if all(self._is_durable(answer) for answer in answers):
            message.reply.answer(answers)
            return
        partition = self._core.state.partition
        uncertain_answers = tuple(
            uncertain_answer(answer, partition) for answer in answers
        )
        self._answer_when_durable(
            partial(message.reply.answer, answers),
            partial(message.reply.answer, uncertain_answers),
            partial(self._answer_early, message, answers),
        )

    def query(self, message: messages.QueryJob) -> None:
        """Answer with the job's state at its end or when the wait expires.

        Without a wait, once closed or while too many clients wait, the answer
        is given at once.
        """
        query = message.query
        job = self._customer_job(query.customer, query.job_id)
        if job is None:
            message.reply.answer(self._missing_job_answer(query.job_id))
            return
        may_wait = query.wait_ms and not self.is_closed
        if may_wait and not self._has_durable_end(job):
            waits_until_ms = now_ms() + query.wait_ms
            if self.waiters.add_end_waiter(
                job.job_id,
                message.reply,
                waits_until_ms,
            ):
                return
        message.reply.answer(self.current_answer(query.job_id))

    def cancel(self, message: messages.CancelJob) -> None:
        """Cancel a job of the customer; answer once that is durable.

        Refused while too many records or clients await commits.
        """
        cancel = message.cancel
        job = self._customer_job(cancel.customer, cancel.job_id)
        if job is None:
            message.reply.answer(self._missing_job_answer(cancel.job_id))
            return
        if self._is_overloaded():
            message.reply.answer(overloaded_answer())
            return
        self._core.cancel(job.job_id, now_ms())
        answer = JobAnswer(codes.CANCEL_STARTED, job.job_id, job.state)
        answer_if_uncertain = uncertain_answer(
            answer, self._core.state.partition
        )
        self._answer_when_durable(
            partial(message.reply.answer, answer),
            partial(message.reply.answer, answer_if_uncertain),
        )

    def list_jobs(self, message: messages.ListJobs) -> None:
        """List jobs of a customer, most recently accepted first."""
        query = message.query
        answers: list[JobAnswer] = []
        for job in reversed(self._core.state.jobs.values()):
            if len(answers) >= query.limit:
                break
            if job.spec.customer != query.customer:
                continue
            answer = self.current_answer(job.job_id)
            if query.state in {None, answer.state}:
                answers.append(answer)
        message.reply.answer(tuple(answers))

    def explain(self, message: messages.ExplainJob) -> None:
        """Explain what a job waits for if it belongs to the customer."""
        query = message.query
        if self._customer_job(query.customer, query.job_id) is None:
            message.reply.answer(
                JobExplanation(self._missing_job_answer(query.job_id))
            )
            return
        explanation = self._core.explain(query.job_id, now_ms())
        reasons = pydantic_core.to_jsonable_python(explanation)
        message.reply.answer(
            JobExplanation(self.current_answer(query.job_id), reasons)
        )

    def answer_end_waiters(self, job_id: JobId) -> None:
        """Answer all clients that wait for the end of a job."""
        self.waiters.answer_end_waiters(job_id, self.current_answer(job_id))

    def expire_waits(self) -> None:
        """Answer all clients whose wait has expired."""
        self.waiters.expire_waits(now_ms(), self.current_answer)

    def close(self) -> None:
        """Refuse new jobs; answer all clients that wait for a job to end."""
        self.is_closed = True
        self.waiters.answer_all_end_waiters(self.current_answer)

    def current_answer(self, job_id: JobId) -> JobAnswer:
        """Return the answer for a job; an end counts once it is durable."""
        job = self._core.state.jobs.get(job_id)
        if job is None:
            return unknown_job_answer(job_id)
        if self._has_durable_end(job):
            return answer_of(job)
        return unfinished_answer_of(job)

    def abandon(self) -> None:
        """Close and answer all clients; uncommitted outcomes are uncertain."""
        self.close()
        self.waiters.answer_commits_uncertain()

    def _missing_job_answer(self, job_id: JobId) -> JobAnswer:
        """Return the refusal for a job that is absent or another customer's.

        Once the ownership has lapsed, a newer owner may have accepted the job.
        """
        if now_ms() >= self.owned_until_ms:
            return owner_unavailable_answer(self._core.state.partition)
        return unknown_job_answer(job_id)

    def _admit(self, spec: JobSpec) -> JobAnswer:
        state = self._core.state
        if self.is_closed:
            return owner_unavailable_answer(state.partition)
        is_known = (spec.customer, spec.idempotency_key) in state.job_by_key
        if self._is_overloaded() and not is_known:
            return overloaded_answer()
        submit_result = self._core.submit(spec, now_ms())
        if not isinstance(submit_result, Success):
            return refusal_answer(submit_result.failure())
        return self._acceptance_answer(submit_result.unwrap())

    def _acceptance_answer(self, job_id: JobId) -> JobAnswer:
        job = self._core.state.jobs[job_id]
        code = codes.ACCEPTED_VOLATILE if job.volatile else codes.ACCEPTED
        return JobAnswer(code, job_id)

    def _answer_early(
        self,
        message: messages.SubmitJobs,
        answers: tuple[JobAnswer, ...],
    ) -> bool:
        """Answer a batch unless a job of it still awaits a commit.

        A restriction of the core can make accepted jobs volatile, so that they
        no longer await a commit.
        """
        current = tuple(
            answer
            if answer.job_id is None
            else self._acceptance_answer(answer.job_id)
            for answer in answers
        )
        if not all(self._is_durable(answer) for answer in current):
            return False
        message.reply.answer(current)
        return True

    def _is_overloaded(self) -> bool:
        return self._durability.is_lagging() or self.waiters.is_full()

    def _is_durable(self, answer: JobAnswer) -> bool:
        """Return whether an answer need not wait for a commit.

        Refusals and acceptances of volatile jobs never wait.
        """
        if answer.code is not codes.ACCEPTED or answer.job_id is None:
            return True
        job = self._core.state.jobs[answer.job_id]
        return job.state is not JobState.ACCEPTING

    def _has_durable_end(self, job: JobRecord) -> bool:
        if job.state not in FINAL_STATES:
            return False
        return not self._durability.is_ending(job.job_id)

    def _customer_job(
        self, customer: CustomerId, job_id: JobId
    ) -> JobRecord | None:
        job = self._core.state.jobs.get(job_id)
        if job is None or job.spec.customer != customer:
            return None
        return job

    def _answer_when_durable(
        self,
        on_commit: Callable[[], None],
        on_uncertain: Callable[[], None],
        try_early_answer: Callable[[], bool] = bool,
    ) -> None:
        sequence = self._core.state.sequence
        if self._durability.is_committed(sequence):
            on_commit()
            return
        self.waiters.add_commit_waiter(
            CommitWaiter(
                sequence,
                now_ms() + self._commit_timeout_ms,
                on_commit,
                on_uncertain,
                try_early_answer,
            ),
        )
