"""Translates HTTP requests of callers into messages to the intake actor."""

import json
import math
import time
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from http import HTTPStatus
from typing import Any, Final

from fuchsiarill import codes
from fuchsiarill.actor import Reply
from fuchsiarill.clock import MS_PER_SECOND
from fuchsiarill.contracts.authorization import authorize
from fuchsiarill.contracts.ceilings import never_fits
from fuchsiarill.front.bridge import NotSentError
from fuchsiarill.graphs.customers import unit_hold
from fuchsiarill.graphs.front import Front
from fuchsiarill.graphs.intake import (
    Cancel,
    CountPending,
    IntakeAnswer,
    LookUp,
    Submit,
)
from fuchsiarill.graphs.listener import Request, Response
from fuchsiarill.graphs.metrics import GraphMetrics
from fuchsiarill.graphs.model import JobGraph, QueuePolicy
from fuchsiarill.graphs.ports import DocumentError
from fuchsiarill.graphs.states import JobPhase
from fuchsiarill.ids import CustomerId, JobId
from fuchsiarill.platform.documents import read_job
from fuchsiarill.registry import Registry


@dataclass(frozen=True, slots=True)
class QueueRequest:
    """An authorized request to a queue.

    `job` is empty for a request to the queue as a whole.
    """

    request: Request
    policy: QueuePolicy
    job: str
    customer: CustomerId | None


_Handler = Callable[['CallerRequestHandler', QueueRequest], IntakeAnswer]

REQUEST_HANDLERS: Final[Registry[tuple[str, bool], _Handler]] = Registry(
    'request handlers by HTTP method and presence of a job id',
)

# A 429 or a 503 guarantees that a submitted job never runs. An unknown outcome
# is a 504, after which the caller retries with the same job id. A job that fits
# on no worker gets a 503, since workers may be added.
_STATUS_BY_CODE: Final = {
    codes.ACCEPTED: HTTPStatus.ACCEPTED,
    codes.DONE: HTTPStatus.OK,
    codes.UNKNOWN_JOB: HTTPStatus.GONE,
    codes.UNKNOWN_ROUTE: HTTPStatus.NOT_FOUND,
    codes.UNAUTHENTICATED: HTTPStatus.UNAUTHORIZED,
    codes.MALFORMED: HTTPStatus.BAD_REQUEST,
    codes.TOO_LARGE: HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
    codes.ABOVE_CEILING: HTTPStatus.TOO_MANY_REQUESTS,
    codes.STORE_UNAVAILABLE: HTTPStatus.SERVICE_UNAVAILABLE,
    codes.NOT_CONFIGURED: HTTPStatus.SERVICE_UNAVAILABLE,
    codes.RATE_EXCEEDED: HTTPStatus.TOO_MANY_REQUESTS,
    codes.NEVER_FITS: HTTPStatus.SERVICE_UNAVAILABLE,
    codes.OVERLOADED: HTTPStatus.SERVICE_UNAVAILABLE,
    codes.OUTCOME_UNCERTAIN: HTTPStatus.GATEWAY_TIMEOUT,
}
_REFUSALS: Final = frozenset(
    (HTTPStatus.SERVICE_UNAVAILABLE, HTTPStatus.TOO_MANY_REQUESTS)
)
_CODE_BY_ERROR: Final = {
    DocumentError: codes.MALFORMED,
    NotSentError: codes.OVERLOADED,
    TimeoutError: codes.OUTCOME_UNCERTAIN,
}
_ERROR_TYPES: Final = tuple(_CODE_BY_ERROR)
_STATE_BY_PHASE: Final = {
    JobPhase.SUCCEEDED: 'done',
    JobPhase.FAILED: 'failed',
    JobPhase.CANCELLED: 'cancelled',
}


class CallerRequestHandler:
    """Answers HTTP requests of callers; maps result codes to statuses."""

    def __init__(self, front: Front, metrics: GraphMetrics) -> None:
        """Create a handler that sends messages through `front`."""
        self.front = front
        self._metrics = metrics

    def answer(self, request: Request) -> Response:
        """Answer one request; called in a thread of the listener."""
        started_s = time.perf_counter()
        outcome = self._handle(request)
        duration_s = time.perf_counter() - started_s
        self._metrics.count_request(request.method, outcome.code, duration_s)
        return self._build_response(request, outcome)

    def call_intake(
        self,
        request: Request,
        build_message: Callable[[int, Reply[IntakeAnswer]], Any],
    ) -> IntakeAnswer:
        """Send a message to the intake and wait for its answer.

        `build_message` creates the message from the deadline and the reply.
        Raises `NotSentError` or `TimeoutError`.
        """
        deadline_ms = self.front.deadline_ms(request.caller_timeout_ms)
        return self.front.ask(partial(build_message, deadline_ms), deadline_ms)

    def _handle(self, request: Request) -> IntakeAnswer:
        config = self.front.view.config
        if config is None:
            return IntakeAnswer(codes.NOT_CONFIGURED)
        policy = config.find_queue(request.host, request.path)
        if policy is None:
            return IntakeAnswer(codes.UNKNOWN_ROUTE)
        authorization = authorize(
            config.contracts,
            request.authorization,
            is_public=policy.is_public,
        )
        if not authorization.is_granted:
            return IntakeAnswer(codes.UNAUTHENTICATED)
        if len(request.body) > config.limits.body_max_bytes:
            return IntakeAnswer(codes.TOO_LARGE)
        job = request.path.removeprefix(policy.prefix)
        try:
            return self._dispatch(
                QueueRequest(request, policy, job, authorization.customer)
            )
        except _ERROR_TYPES as error:
            return IntakeAnswer(_CODE_BY_ERROR[type(error)])

    def _dispatch(self, queue_request: QueueRequest) -> IntakeAnswer:
        handler_key = (queue_request.request.method, bool(queue_request.job))
        if handler_key not in REQUEST_HANDLERS:
            return IntakeAnswer(codes.UNKNOWN_ROUTE)
        return REQUEST_HANDLERS.lookup(handler_key)(self, queue_request)

    def _build_response(
        self, request: Request, outcome: IntakeAnswer
    ) -> Response:
        status = _STATUS_BY_CODE[outcome.code]
        headers: tuple[tuple[str, str], ...] = ()
        if status in _REFUSALS:
            retry_after_s = self.front.settings.front.retry_after_s
            if outcome.retry_after_ms:
                delay_s = outcome.retry_after_ms / MS_PER_SECOND
                retry_after_s = math.ceil(delay_s)
            headers = (('Retry-After', str(retry_after_s)),)
        return Response(
            status, _encode_outcome(request, outcome), headers=headers
        )


def _encode_outcome(request: Request, outcome: IntakeAnswer) -> bytes:
    if outcome.code is not codes.DONE:
        return json.dumps({'error': outcome.code.name}).encode()
    if outcome.phase is None:
        return json.dumps({'pending': outcome.pending_count}).encode()
    state = _STATE_BY_PHASE.get(outcome.phase)
    if state is None:
        state = 'running' if outcome.has_started else 'queued'
    return json.dumps({'state': state}).encode()


@REQUEST_HANDLERS.register(('POST', True))
def _submit(
    handler: CallerRequestHandler, queue_request: QueueRequest
) -> IntakeAnswer:
    request = queue_request.request
    graph = read_job(
        queue_request.job,
        queue_request.policy,
        request.body,
        queue_request.customer,
    )
    if _never_fits(handler, graph):
        return _refuse_unless_accepted(handler, request, graph)
    return handler.call_intake(request, partial(Submit, graph))


def _never_fits(handler: CallerRequestHandler, graph: JobGraph) -> bool:
    """Tell whether a unit of a job is above the ceiling of its customer."""
    config = handler.front.view.config
    if config is None or graph.customer is None:
        return False
    contract = config.contracts.find(graph.customer)
    return never_fits(contract, map(unit_hold, graph.steps))


def _refuse_unless_accepted(
    handler: CallerRequestHandler, request: Request, graph: JobGraph
) -> IntakeAnswer:
    """Refuse a job that never fits.

    One that was accepted under a higher ceiling stays accepted: its submission
    may have been repeated.
    """
    found = handler.call_intake(request, partial(LookUp, graph.pool, graph.job))
    if found.code is codes.DONE:
        return IntakeAnswer(codes.ACCEPTED)
    if found.code is codes.UNKNOWN_JOB:
        return IntakeAnswer(codes.ABOVE_CEILING)
    return found


@REQUEST_HANDLERS.register(('GET', True))
def _look_up(
    handler: CallerRequestHandler, queue_request: QueueRequest
) -> IntakeAnswer:
    build_message = partial(
        LookUp, queue_request.policy.pool, JobId(queue_request.job)
    )
    return handler.call_intake(queue_request.request, build_message)


@REQUEST_HANDLERS.register(('DELETE', True))
def _cancel(
    handler: CallerRequestHandler, queue_request: QueueRequest
) -> IntakeAnswer:
    build_message = partial(
        Cancel,
        queue_request.policy.pool,
        JobId(queue_request.job),
        queue_request.customer,
    )
    return handler.call_intake(queue_request.request, build_message)


@REQUEST_HANDLERS.register(('GET', False))
def _count_pending(
    handler: CallerRequestHandler, queue_request: QueueRequest
) -> IntakeAnswer:
    policy = queue_request.policy
    build_message = partial(CountPending, policy.pool, policy.queue)
    return handler.call_intake(queue_request.request, build_message)
