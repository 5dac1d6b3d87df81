"""Routes of callers: submit, list, query, explain and cancel jobs."""

from collections import defaultdict
from collections.abc import Callable
from functools import partial
from http import HTTPStatus
from typing import TYPE_CHECKING, Any, Final

from returns.result import Failure, Result, Success

from fuchsiarill import codes, texts
from fuchsiarill.actor import Reply
from fuchsiarill.answers import (
    JobAnswer,
    JobCancel,
    JobExplanation,
    JobList,
    JobQuery,
    refusal_answer,
)
from fuchsiarill.clock import MS_PER_SECOND
from fuchsiarill.front.bridge import ReleasedError
from fuchsiarill.front.replies import (
    RETRY_AFTER_MS,
    HttpReply,
    QueryError,
    malformed_refusal,
    refusal_reply,
    reply_of,
)
from fuchsiarill.front.routes import Access, HttpRequest, route
from fuchsiarill.front.submissions import answer_object, parse_batch
from fuchsiarill.ids import CustomerId, JobId, PartitionId
from fuchsiarill.job import JobSpec
from fuchsiarill.owner import messages
from fuchsiarill.refusal import Refusal, refuse
from fuchsiarill.routing import (
    JobMessage,
    partition_of_job,
    partition_of_key,
    partitions_of,
)
from fuchsiarill.states import JobState

if TYPE_CHECKING:
    from fuchsiarill.front.http_front import HttpFront

_WAIT_MAX_MS: Final = 30_000
_LIST_DEFAULT_COUNT: Final = 100
_LIST_MAX_COUNT: Final = 1_000
_RETRIED_CODES: Final = (codes.OWNER_UNAVAILABLE, codes.OUTCOME_UNCERTAIN)
_JOB_PATTERN: Final = '/v1/jobs/([^/]+)'


@route('POST', '/v1/jobs', Access.CALLER, 'customer')
def submit_jobs(front: 'HttpFront', request: HttpRequest) -> HttpReply:
    """Submit a batch; the reply has one answer for each job, in order."""
    parsed = _customer_with_contract(front, request).bind(
        lambda customer: parse_batch(request.body, customer),
    )
    if isinstance(parsed, Failure):
        return refusal_reply(parsed.failure())
    answers = _submit_by_partition(front, parsed.unwrap())
    for answer in answers:
        front.metrics.count_submission(answer.code)
    return HttpReply(
        _submission_status(answers),
        {'answers': [answer_object(item) for item in answers]},
    )


@route('GET', '/v1/jobs', Access.CALLER, 'customer', 'state', 'limit')
def list_jobs(front: 'HttpFront', request: HttpRequest) -> HttpReply:
    """List jobs of a customer, the latest accepted first in each partition."""
    customer = _customer_with_contract(front, request)
    if isinstance(customer, Failure):
        return refusal_reply(customer.failure())
    limit = request.count('limit', _LIST_DEFAULT_COUNT, _LIST_MAX_COUNT)
    query = JobList(customer.unwrap(), _parse_state(request), limit)
    jobs = _list_from_partitions(front, query)
    refusals = [job for job in jobs if job.refusal is not None]
    if refusals:
        return reply_of(refusals[0])
    job_objects = [answer_object(job) for job in jobs[:limit]]
    return HttpReply(HTTPStatus.OK, {'jobs': job_objects})


@route('GET', _JOB_PATTERN, Access.CALLER, 'customer', 'wait_ms')
def query_job(front: 'HttpFront', request: HttpRequest) -> HttpReply:
    """Return the state of a job; `wait_ms=N` waits up to N ms for its end.

    If too many requests wait, this process drains or the owner changes, the
    wait ends early and the reply has the current state.
    """
    wait_ms = request.count('wait_ms', 0, _WAIT_MAX_MS)
    answer = _wait_for_end(front, request, wait_ms) if wait_ms else None
    if answer is not None and answer.code not in _RETRIED_CODES:
        return reply_of(answer)
    answer = _ask_job_state(front, request, 0)
    body = answer_object(answer)
    if wait_ms and answer.code is codes.NOT_FINISHED:
        body['retry_after_ms'] = RETRY_AFTER_MS
    return HttpReply(answer.code.http_status, body)


@route('GET', f'{_JOB_PATTERN}/why', Access.CALLER, 'customer')
def explain_job(front: 'HttpFront', request: HttpRequest) -> HttpReply:
    """Explain what a job waits for."""
    explanation = _ask_owner_of_job(
        front,
        request,
        lambda customer, job_id, reply: messages.ExplainJob(
            JobQuery(customer, job_id),
            reply,
        ),
    )
    if not isinstance(explanation, JobExplanation):
        return reply_of(explanation)
    body = answer_object(explanation.answer) | {
        'why': dict(explanation.reasons),
    }
    return HttpReply(explanation.answer.code.http_status, body)


@route('DELETE', _JOB_PATTERN, Access.CALLER, 'customer')
def cancel_job(front: 'HttpFront', request: HttpRequest) -> HttpReply:
    """Cancel a job; the reply does not wait for its tasks to stop."""
    return reply_of(
        _ask_owner_of_job(
            front,
            request,
            lambda customer, job_id, reply: messages.CancelJob(
                JobCancel(customer, job_id),
                reply,
            ),
        ),
    )


def _submit_by_partition(
    front: 'HttpFront',
    specs: tuple[JobSpec, ...],
) -> list[JobAnswer]:
    """Send one message to each partition; return answers in spec order.

    A single refusal from a partition answers for each of its jobs.
    """
    batches: dict[PartitionId, list[int]] = defaultdict(list)
    for position, spec in enumerate(specs):
        batches[_partition_of(front, spec)].append(position)
    replies = front.ask_owners(
        [
            (
                partition,
                _submission_builder([specs[index] for index in positions]),
            )
            for partition, positions in batches.items()
        ],
    )
    answers: dict[int, JobAnswer] = {}
    for positions, reply in zip(batches.values(), replies, strict=True):
        if isinstance(reply, JobAnswer):
            reply = (reply,) * len(positions)
        answers.update(zip(positions, reply, strict=True))
    return [answer for _, answer in sorted(answers.items())]


def _list_from_partitions(
    front: 'HttpFront', query: JobList
) -> list[JobAnswer]:
    build = partial(messages.ListJobs, query)
    partitions = _partitions_of(front, query.customer)
    answers: list[JobAnswer] = []
    for answer in front.ask_owners([(name, build) for name in partitions]):
        answers.extend([answer] if isinstance(answer, JobAnswer) else answer)
    return answers


def _submission_builder(
    specs: list[JobSpec],
) -> Callable[[Reply[Any]], JobMessage]:
    return partial(messages.SubmitJobs, tuple(specs))


def _ask_job_state(
    front: 'HttpFront',
    request: HttpRequest,
    wait_ms: int,
) -> JobAnswer:
    answer: JobAnswer = _ask_owner_of_job(
        front,
        request,
        lambda customer, job_id, reply: messages.QueryJob(
            JobQuery(customer, job_id, wait_ms),
            reply,
        ),
        wait_ms,
    )
    return answer


def _wait_for_end(
    front: 'HttpFront',
    request: HttpRequest,
    wait_ms: int,
) -> JobAnswer | None:
    """Return the answer to a query that waits for the end of the job.

    Returns `None` when too many requests wait or this process drains.
    """
    with front.bridge.waiting() as admitted:
        if not admitted:
            return None
        try:
            return _repeat_query(front, request, wait_ms)
        except ReleasedError:
            return None


def _repeat_query(
    front: 'HttpFront',
    request: HttpRequest,
    wait_ms: int,
) -> JobAnswer:
    """Repeat the query until an owner answers or `wait_ms` is over.

    Queries fail while the ownership of the partition changes.
    """
    loop_time_s = front.bridge.loop.time
    ends_at_s = loop_time_s() + wait_ms / MS_PER_SECOND
    answer = _ask_job_state(front, request, wait_ms)
    while answer.code in _RETRIED_CODES:
        front.bridge.pause(RETRY_AFTER_MS)
        remaining_ms = int(MS_PER_SECOND * (ends_at_s - loop_time_s()))
        if remaining_ms <= 0:
            break
        answer = _ask_job_state(front, request, remaining_ms)
    return answer


def _ask_owner_of_job(
    front: 'HttpFront',
    request: HttpRequest,
    build: Callable[[CustomerId, JobId, Reply[Any]], JobMessage],
    wait_ms: int = 0,
) -> Any:
    """Return the answer of the owner of the job in the path, or a refusal."""
    checked_customer = _customer_with_contract(front, request)
    if isinstance(checked_customer, Failure):
        return refusal_answer(checked_customer.failure())
    customer = checked_customer.unwrap()
    job_id = JobId(request.path_groups[0])
    partition = partition_of_job(job_id)
    if partition not in _partitions_of(front, customer):
        return refusal_answer(
            refuse(codes.UNKNOWN_JOB, texts.UNKNOWN_JOB, job=job_id),
        )
    return front.ask_owners(
        [(partition, lambda reply: build(customer, job_id, reply))],
        wait_ms,
    )[0]


def _customer_with_contract(
    front: 'HttpFront',
    request: HttpRequest,
) -> Result[CustomerId, Refusal]:
    """Return the customer, or a refusal if it has no contract."""
    named_customer = request.customer()
    if isinstance(named_customer, Failure):
        return named_customer
    customer = named_customer.unwrap()
    if _partitions_of(front, customer):
        return Success(customer)
    return Failure(
        refuse(
            codes.UNKNOWN_CUSTOMER,
            texts.UNKNOWN_CUSTOMER,
            customer=customer,
        ),
    )


def _partitions_of(
    front: 'HttpFront',
    customer: CustomerId,
) -> list[PartitionId]:
    config = front.view.config
    contract = None if config is None else config.contract_of(customer)
    if config is None or contract is None:
        return []
    return partitions_of(config, contract.region)


def _partition_of(front: 'HttpFront', spec: JobSpec) -> PartitionId:
    """Return the partition of a job, or an empty id if there is no contract.

    The contract may have been removed since the request was checked; an empty
    id has no owner, so the job is refused.
    """
    partition = None
    if front.view.config is not None:
        partition = partition_of_key(
            front.view.config,
            spec.customer,
            spec.idempotency_key,
        )
    return PartitionId('') if partition is None else partition


def _parse_state(request: HttpRequest) -> JobState | None:
    name = request.query.get('state')
    if name is None:
        return None
    try:
        return JobState(name)
    except ValueError:
        raise QueryError(
            malformed_refusal('state', texts.UNKNOWN_STATE)
        ) from None


def _submission_status(answers: list[JobAnswer]) -> HTTPStatus:
    """Return the status of a single answer, or 200 for several answers."""
    statuses = {answer.code.http_status for answer in answers}
    if len(statuses) == 1 and len(answers) == 1:
        return statuses.pop()
    return HTTPStatus.OK
