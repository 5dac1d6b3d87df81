"""HTTP front end: routes are registered functions, run by cheroot's threads.

The threads only parse, post a message through the bridge and wait; every
decision is made by the actors.
"""

import hashlib
import hmac
import json
import re
import threading
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from http import HTTPStatus
from typing import Any, Final

from cheroot import wsgi
from returns.result import Failure

from fuchsiarill import codes, texts
from fuchsiarill.actor import Mailbox
from fuchsiarill.answers import JobAnswer, JobCancel, JobQuery, refused
from fuchsiarill.cell_config import CellConfig
from fuchsiarill.front.bridge import Bridge
from fuchsiarill.front.submissions import answer_object, parse_batch
from fuchsiarill.ids import CustomerId, JobId
from fuchsiarill.job import JobSpec
from fuchsiarill.owner import messages
from fuchsiarill.refusal import refuse
from fuchsiarill.registry import Registry
from fuchsiarill.routing import Route, partition_of_job, partition_of_key
from fuchsiarill.settings import HttpSettings

_BEARER: Final = 'Bearer '


@dataclass(frozen=True, slots=True)
class HttpRequest:
    """The parts of a request that routes use."""

    method: str
    path: str
    query: str
    body: bytes
    customer: CustomerId


@dataclass(frozen=True, slots=True)
class HttpReply:
    """Status and JSON body of a reply."""

    status: HTTPStatus
    body: Any


RouteHandler = Callable[['HttpFront', HttpRequest], HttpReply]

ROUTES: Final[Registry[tuple[str, str], RouteHandler]] = Registry('routes')


class HttpFront:
    """Serves callers of one process."""

    def __init__(
        self,
        settings: HttpSettings,
        bridge: Bridge,
        router: Mailbox,
        config: CellConfig,
    ) -> None:
        """Prepare the listener; `start` opens it."""
        self.settings = settings
        self.bridge = bridge
        self.router = router
        self.config = config
        self._server = wsgi.Server(
            (settings.host, settings.port),
            self._respond,
            numthreads=settings.threads_count,
        )
        self._server.max_request_body_size = settings.body_max_bytes
        self._server.max_request_header_size = settings.header_max_bytes

    def start(self) -> None:
        """Listen, in threads of the server."""
        self._server.prepare()
        threading.Thread(target=self._server.serve, daemon=True).start()

    def stop(self) -> None:
        """Finish requests in progress, then close the listener."""
        self._server.stop()

    def ask(self, route: Callable[[Any], Route]) -> Any:
        """Ask the owner of a partition; returns its answer or a refusal."""
        try:
            answer: Any = self.bridge.ask(
                self.router,
                route,
                self.settings.request_timeout_ms,
            )
        except TimeoutError:
            return refused(
                refuse(
                    codes.OUTCOME_UNCERTAIN,
                    texts.OUTCOME_UNCERTAIN,
                    partition='',
                ),
            )
        return _overloaded() if answer is None else answer

    def _respond(
        self,
        environ: dict[str, Any],
        start_response: Callable[[str, list[tuple[str, str]]], object],
    ) -> Iterable[bytes]:
        reply = self._reply(environ)
        body = json.dumps(reply.body).encode()
        status = f'{reply.status.value} {reply.status.phrase}'
        start_response(
            status,
            [
                ('Content-Type', 'application/json'),
                ('Content-Length', str(len(body))),
            ],
        )
        return [body]

    def _reply(self, environ: dict[str, Any]) -> HttpReply:
        customer = self._customer_of(environ.get('HTTP_AUTHORIZATION', ''))
        if customer is None:
            return _error(
                refused(
                    refuse(codes.UNAUTHENTICATED, texts.UNAUTHENTICATED),
                ),
            )
        length = int(environ.get('CONTENT_LENGTH') or 0)
        request = HttpRequest(
            method=environ['REQUEST_METHOD'],
            path=environ['PATH_INFO'],
            query=environ.get('QUERY_STRING', ''),
            body=environ['wsgi.input'].read(length),
            customer=customer,
        )
        for method, pattern in ROUTES:
            if method != request.method:
                continue
            if re.fullmatch(pattern, request.path):
                return ROUTES.lookup((method, pattern))(self, request)
        return _error(
            refused(
                refuse(
                    codes.UNKNOWN_ROUTE,
                    texts.UNKNOWN_ROUTE,
                    method=request.method,
                    path=request.path,
                ),
            ),
        )

    def _customer_of(self, authorization: str) -> CustomerId | None:
        token = authorization.removeprefix(_BEARER)
        digest = hashlib.sha256(token.encode()).hexdigest()
        for contract in self.config.contracts:
            if hmac.compare_digest(digest, contract.token_sha256):
                return contract.customer
        return None


@ROUTES.register(('POST', '/v1/jobs'))
def submit_jobs(front: HttpFront, request: HttpRequest) -> HttpReply:
    """Submit a batch; the reply has one answer for each job, in order."""
    parsed = parse_batch(request.body, request.customer)
    if isinstance(parsed, Failure):
        return _error(refused(parsed.failure()))
    answers = [_submit_one(front, spec) for spec in parsed.unwrap()]
    return HttpReply(
        HTTPStatus.OK,
        {'answers': [answer_object(one) for one in answers]},
    )


def _submit_one(front: HttpFront, spec: JobSpec) -> JobAnswer:
    partition = partition_of_key(
        front.config,
        spec.customer,
        spec.idempotency_key,
    )
    if partition is None:
        return _overloaded()
    answers = front.ask(
        lambda reply: Route(partition, messages.SubmitJobs((spec,), reply)),
    )
    if isinstance(answers, JobAnswer):
        return answers
    single: JobAnswer = answers[0]
    return single


@ROUTES.register(('GET', '/v1/jobs/[^/]+'))
def query_job(front: HttpFront, request: HttpRequest) -> HttpReply:
    """Return the state of a job; `wait_ms=N` waits for its end."""
    job_id = JobId(request.path.rpartition('/')[2])
    found = re.search(r'wait_ms=(\d+)', request.query)
    wait_ms = int(found.group(1)) if found else 0
    query = JobQuery(request.customer, job_id, wait_ms)
    return _error(
        front.ask(
            lambda reply: Route(
                partition_of_job(job_id),
                messages.AskJob(query, reply),
            ),
        ),
    )


@ROUTES.register(('DELETE', '/v1/jobs/[^/]+'))
def cancel_job(front: HttpFront, request: HttpRequest) -> HttpReply:
    """Cancel a job."""
    job_id = JobId(request.path.rpartition('/')[2])
    cancel = JobCancel(request.customer, job_id)
    return _error(
        front.ask(
            lambda reply: Route(
                partition_of_job(job_id),
                messages.CancelJob(cancel, reply),
            ),
        ),
    )


def _error(answer: JobAnswer) -> HttpReply:
    return HttpReply(answer.code.http_status, answer_object(answer))


def _overloaded() -> JobAnswer:
    return refused(refuse(codes.OVERLOADED, texts.OVERLOADED))
