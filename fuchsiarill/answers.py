"""Requests about jobs and their answers, as the processes exchange them.

Front ends build the requests, the owner of a partition answers them; neither
knows the encoding of the other.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any

from fuchsiarill.codes import ResultCode
from fuchsiarill.ids import CustomerId, JobId
from fuchsiarill.refusal import Refusal
from fuchsiarill.states import JobState


@dataclass(frozen=True, slots=True)
class JobAnswer:
    """Answer to one submission, query or cancellation.

    `outputs` holds the results of all tasks by position once the job has
    succeeded.
    """

    code: ResultCode
    job_id: JobId | None = None
    state: JobState | None = None
    outputs: tuple[str, ...] = ()
    refusal: Refusal | None = None


@dataclass(frozen=True, slots=True)
class JobQuery:
    """Asks for the state of a job; waits for its end up to `wait_ms`."""

    customer: CustomerId
    job_id: JobId
    wait_ms: int = 0


@dataclass(frozen=True, slots=True)
class JobCancel:
    """Asks to cancel a job."""

    customer: CustomerId
    job_id: JobId


@dataclass(frozen=True, slots=True)
class JobList:
    """Asks for the jobs of a customer, at most `limit` of them.

    `state` of `None` asks for jobs in any state.
    """

    customer: CustomerId
    state: JobState | None = None
    limit: int = 100


@dataclass(frozen=True, slots=True)
class JobExplanation:
    """Tells what a job waits for.

    `reasons` can be written as JSON; it is empty when `answer` refuses.
    """

    answer: JobAnswer
    reasons: Mapping[str, Any] = field(default_factory=dict)


def refused(refusal: Refusal) -> JobAnswer:
    """Return the answer that carries a refusal."""
    return JobAnswer(refusal.code, refusal=refusal)
