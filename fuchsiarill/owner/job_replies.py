"""Answers of the owner to requests about jobs."""

from typing import Final

from fuchsiarill import codes, texts
from fuchsiarill.answers import JobAnswer, refusal_answer
from fuchsiarill.ids import JobId, PartitionId
from fuchsiarill.job import JobRecord
from fuchsiarill.refusal import refuse
from fuchsiarill.states import JobState

CODE_OF_STATE: Final = {
    JobState.SUCCEEDED: codes.JOB_SUCCEEDED,
    JobState.FAILED: codes.JOB_FAILED,
    JobState.CANCELLED: codes.JOB_CANCELLED,
    JobState.UNKNOWN: codes.JOB_UNKNOWN,
}
FINAL_STATES: Final = frozenset(CODE_OF_STATE)
_RETRY_AFTER_MS: Final = 1_000


def unknown_job_answer(job_id: JobId) -> JobAnswer:
    """Return the refusal for a job id that the customer does not have."""
    return refusal_answer(
        refuse(codes.UNKNOWN_JOB, texts.UNKNOWN_JOB, job=job_id)
    )


def answer_of(job: JobRecord) -> JobAnswer:
    """Return the answer for a job whose state is durable."""
    code = CODE_OF_STATE.get(job.state, codes.NOT_FINISHED)
    outputs = tuple(job.results[position] for position in sorted(job.results))
    return JobAnswer(code, job.job_id, job.state, outputs)


def unfinished_answer_of(job: JobRecord) -> JobAnswer:
    """Return the answer for a job whose end, if any, is not durable yet."""
    state = job.state
    if state in FINAL_STATES:
        state = JobState.RUNNING
    return JobAnswer(codes.NOT_FINISHED, job.job_id, state)


def overloaded_answer() -> JobAnswer:
    """Return the refusal while too many records or clients await commits."""
    return refusal_answer(
        refuse(
            codes.OVERLOADED, texts.OVERLOADED, retry_after_ms=_RETRY_AFTER_MS
        ),
    )


def owner_unavailable_answer(partition: PartitionId) -> JobAnswer:
    """Return the refusal of an owner that stops or may have been replaced."""
    return refusal_answer(
        refuse(
            codes.OWNER_UNAVAILABLE,
            texts.OWNER_UNAVAILABLE,
            retry_after_ms=_RETRY_AFTER_MS,
            partition=partition,
        ),
    )


def uncertain_answer(answer: JobAnswer, partition: PartitionId) -> JobAnswer:
    """Return `OUTCOME_UNCERTAIN` in place of an answer; keep a refusal."""
    if answer.refusal is not None:
        return answer
    return refusal_answer(
        refuse(
            codes.OUTCOME_UNCERTAIN,
            texts.OUTCOME_UNCERTAIN,
            partition=partition,
        ),
    )
