"""Requests about jobs and the answers to them, free of any encoding.

Front ends build the requests, the owner of a partition answers them; neither
depends on the encoding that the other uses.
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

    Once the job's end is durable, `outputs` holds the results of the tasks that
    succeeded, in the order of their positions.
    """

    code: ResultCode
    job_id: JobId | None = None
    state: JobState | None = None
    outputs: tuple[str, ...] = ()
    refusal: Refusal | None = None


@dataclass(frozen=True, slots=True)
class JobQuery:
    """Requests the state of a job; waits up to `wait_ms` for its end."""

    customer: CustomerId
    job_id: JobId
    wait_ms: int = 0


@dataclass(frozen=True, slots=True)
class JobCancel:
    """Requests the cancellation of a job."""

    customer: CustomerId
    job_id: JobId


@dataclass(frozen=True, slots=True)
class JobList:
    """Requests at most `limit` jobs of a customer.

    A `state` of `None` selects jobs in any state.
    """

    customer: CustomerId
    state: JobState | None = None
    limit: int = 100


@dataclass(frozen=True, slots=True)
class JobExplanation:
    """Explains what a job waits for.

    `reasons` can be encoded as JSON; it is empty when `answer` is a refusal.
    """

    answer: JobAnswer
    reasons: Mapping[str, Any] = field(default_factory=dict)


def refusal_answer(refusal: Refusal) -> JobAnswer:
    """Return the answer that carries a refusal."""
    return JobAnswer(refusal.code, refusal=refusal)
