"""HTTP front end: routes are registered functions, run by cheroot's threads.

The threads authenticate and parse requests, refuse requests that are invalid or
exceed the load limits, post messages through the bridge and wait. The actors
make all decisions about jobs, hosts and the configuration.
"""

import json
import threading
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass
from typing import Any, Final

from fuchsiarill import codes, events, texts
from fuchsiarill.actor import Mailbox, Reply
from fuchsiarill.answers import JobAnswer, refusal_answer
from fuchsiarill.cell_config import CellConfig
from fuchsiarill.clock import MS_PER_SECOND
from fuchsiarill.connection_limits import ConnectionLimits
from fuchsiarill.front import caller_routes, health_routes, operator_routes
from fuchsiarill.front.authentication import OPERATOR, Identity, identify
from fuchsiarill.front.bridge import (
    ActorRequest,
    Bridge,
    NotSentError,
    ReleasedError,
)
from fuchsiarill.front.metrics import Metrics
from fuchsiarill.front.replies import (
    RETRY_AFTER_MS,
    HttpReply,
    QueryError,
    overloaded_refusal,
    refusal_reply,
)
from fuchsiarill.front.routes import (
    Access,
    Endpoint,
    HttpRequest,
    find_route,
    parse_query,
)
from fuchsiarill.ids import PartitionId
from fuchsiarill.process_messages import Receivers
from fuchsiarill.reception.http_server import RAW_REQUEST_KEY, BoundedServer
from fuchsiarill.reception.observation import ReceptionObserver
from fuchsiarill.refusal import Refusal, refuse
from fuchsiarill.routing import ForwardToOwner, JobMessage
from fuchsiarill.settings import HttpSettings
from fuchsiarill.states import ProcessState

_BuildMessage = Callable[[Reply[Any]], JobMessage]

# Importing these modules registers their routes.
ROUTE_GROUPS: Final = (caller_routes, health_routes, operator_routes)

# A body above the limit but below this multiple of it is read and refused on a
# connection that stays open; on a larger body the server closes the connection.
_BODY_READ_FACTOR: Final = 4


@dataclass(frozen=True, slots=True)
class FrontView:
    """State of the process for its HTTP threads; replaced as a whole."""

    state: ProcessState = ProcessState.STARTING
    config: CellConfig | None = None


class HttpFront:
    """Serves HTTP requests of callers and operators in one process."""

    def __init__(
        self,
        settings: HttpSettings,
        bridge: Bridge,
        receivers: Receivers,
        metrics: Metrics,
    ) -> None:
        """Prepare the listener; `start` opens it."""
        self.settings = settings
        self.bridge = bridge
        self.receivers = receivers
        self.metrics = metrics
        self.view = FrontView()
        timeout_s = -(-settings.request_timeout_ms // MS_PER_SECOND)
        self._server = BoundedServer(
            (settings.host, settings.port),
            self._respond,
            settings.threads_count,
            settings.connections_max_count,
            timeout_s,
        )
        limits = _request_limits(settings)
        self._server.receive(
            lambda: limits, ReceptionObserver('http', metrics.reception)
        )

    @property
    def port(self) -> int:
        """Return the port in use, which the kernel may have chosen."""
        return int(self._server.bind_addr[1])

    def start(self) -> None:
        """Listen and serve in threads of the server.

        Raises `OSError` when the address can't be used.
        """
        self._server.prepare()
        threading.Thread(target=self._server.serve, daemon=True).start()

    def stop(self) -> None:
        """Finish requests in progress, then close the listener."""
        self._server.stop()

    def ask(
        self,
        mailbox: Mailbox,
        build: Callable[[Reply[Any]], object],
    ) -> Any:
        """Return an actor's answer; raises `NotSentError` or `TimeoutError`."""
        return self.bridge.ask(
            mailbox,
            build,
            self.settings.request_timeout_ms,
        )

    def ask_owners(
        self,
        requests: Sequence[tuple[PartitionId, _BuildMessage]],
        wait_ms: int = 0,
    ) -> list[Any]:
        """Send requests to partition owners; each answer may be a refusal.

        `wait_ms` is how long the requests may wait for an event. Raises
        `ReleasedError` when the process drains during the wait.
        """
        answers = self.bridge.ask_all(
            [
                ActorRequest(
                    self.receivers.router, _route_builder(partition, build)
                )
                for partition, build in requests
            ],
            self.settings.request_timeout_ms + wait_ms,
            waits=bool(wait_ms),
        )
        if any(isinstance(answer, ReleasedError) for answer in answers):
            raise ReleasedError
        return [
            _answer_or_refusal(answer, partition)
            for answer, (partition, _) in zip(answers, requests, strict=True)
        ]

    def _respond(
        self,
        environ: dict[str, Any],
        start_response: Callable[[str, list[tuple[str, str]]], object],
    ) -> Iterable[bytes]:
        with self.bridge.admitted() as admitted:
            reply = self._handle_request_safely(environ, admitted)
        if self.view.state is ProcessState.DRAINING:
            environ[RAW_REQUEST_KEY].close_connection = True
        body, content_type = _encode_body(reply.body)
        headers = [
            ('Content-Type', content_type),
            ('Content-Length', str(len(body))),
        ]
        headers.extend(_retry_headers(reply.body))
        status = f'{reply.status.value} {reply.status.phrase}'
        start_response(status, headers)
        return [body]

    def _handle_request_safely(
        self,
        environ: dict[str, Any],
        admitted: bool,
    ) -> HttpReply:
        try:
            return self._handle_request(environ, admitted)
        except QueryError as error:
            return refusal_reply(error.refusal)
        except TimeoutError:
            return refusal_reply(
                refuse(
                    codes.INTERNAL_FAULT,
                    texts.NO_ANSWER,
                    retry_after_ms=RETRY_AFTER_MS,
                ),
            )
        except Exception as error:
            events.emit(
                events.REQUEST_FAILED,
                path=environ['PATH_INFO'],
                error=repr(error),
            )
            return refusal_reply(
                refuse(codes.INTERNAL_FAULT, texts.INTERNAL_FAULT),
            )

    def _handle_request(
        self, environ: dict[str, Any], admitted: bool
    ) -> HttpReply:
        method = environ['REQUEST_METHOD']
        body = _read_body(environ, self.settings.body_max_bytes)
        matched_route = find_route(method, environ['PATH_INFO'])
        if matched_route is None:
            return refusal_reply(_unknown_route_refusal(environ))
        endpoint, path_groups = matched_route
        identity = self._authorize(environ, endpoint, admitted)
        if isinstance(identity, Refusal):
            return refusal_reply(identity)
        if isinstance(body, Refusal):
            return refusal_reply(body)
        query = parse_query(environ.get('QUERY_STRING', ''), endpoint)
        request = HttpRequest(identity, path_groups, query, body)
        with self.metrics.time_request(method, endpoint.handler.__name__):
            return _call_handler(self, endpoint, request)

    def _authorize(
        self,
        environ: dict[str, Any],
        endpoint: Endpoint,
        admitted: bool,
    ) -> Identity | Refusal:
        """Return the identity of the sender, or the refusal of the request."""
        if endpoint.access is Access.OPEN:
            return OPERATOR
        if not admitted or self._is_overloaded():
            return overloaded_refusal()
        config = self.view.config
        if config is None:
            return refuse(
                codes.NOT_CONFIGURED,
                texts.NOT_CONFIGURED,
                retry_after_ms=RETRY_AFTER_MS,
            )
        identity = identify(config, environ.get('HTTP_AUTHORIZATION', ''))
        if identity is None:
            return refuse(codes.UNAUTHENTICATED, texts.UNAUTHENTICATED)
        if endpoint.access is Access.OPERATOR and identity is not OPERATOR:
            return refuse(codes.FORBIDDEN, texts.FORBIDDEN)
        return identity

    def _is_overloaded(self) -> bool:
        """Return whether too many messages wait for the router.

        Further requests are refused before their query and body are parsed,
        since they would be answered too late.
        """
        waiting_count = len(self.receivers.router)
        return waiting_count > self.settings.messages_waiting_max_count


def _request_limits(settings: HttpSettings) -> ConnectionLimits:
    return settings.connections.model_copy(
        update={
            'request_line_max_bytes': settings.header_max_bytes,
            'header_max_bytes': settings.header_max_bytes,
            'headers_max_bytes': settings.header_max_bytes,
            'body_max_bytes': _BODY_READ_FACTOR * settings.body_max_bytes,
        },
    )


def _call_handler(
    front: HttpFront,
    endpoint: Endpoint,
    request: HttpRequest,
) -> HttpReply:
    try:
        return endpoint.handler(front, request)
    except NotSentError:
        return refusal_reply(overloaded_refusal())


def _route_builder(
    partition: PartitionId,
    build: _BuildMessage,
) -> Callable[[Reply[Any]], ForwardToOwner]:
    return lambda reply: ForwardToOwner(partition, build(reply))


def _answer_or_refusal(answer: Any, partition: PartitionId) -> Any:
    if isinstance(answer, NotSentError):
        return refusal_answer(overloaded_refusal())
    if isinstance(answer, Exception):
        return _uncertain_answer(partition)
    return answer


def _uncertain_answer(partition: PartitionId) -> JobAnswer:
    return refusal_answer(
        refuse(
            codes.OUTCOME_UNCERTAIN,
            texts.OUTCOME_UNCERTAIN,
            partition=partition,
        ),
    )


def _unknown_route_refusal(environ: dict[str, Any]) -> Refusal:
    return refuse(
        codes.UNKNOWN_ROUTE,
        texts.UNKNOWN_ROUTE,
        method=environ['REQUEST_METHOD'],
        path=environ['PATH_INFO'],
    )


def _read_body(environ: dict[str, Any], limit_bytes: int) -> bytes | Refusal:
    body = environ['wsgi.input'].read()
    if len(body) <= limit_bytes:
        return bytes(body)
    return refuse(
        codes.TOO_LARGE,
        texts.TOO_LARGE,
        size_bytes=len(body),
        limit_bytes=limit_bytes,
    )


def _encode_body(body: Any) -> tuple[bytes, str]:
    if isinstance(body, bytes):
        return body, 'text/plain; version=0.0.4; charset=utf-8'
    return json.dumps(body).encode(), 'application/json'


def _retry_headers(body: Any) -> list[tuple[str, str]]:
    """Return the `Retry-After` header, if any, in whole seconds, rounded up."""
    if not isinstance(body, dict) or not body.get('retry_after_ms'):
        return []
    seconds = -(-body['retry_after_ms'] // MS_PER_SECOND)
    return [('Retry-After', str(seconds))]
