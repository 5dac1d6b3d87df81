"""Routes without authentication: liveness, readiness and metrics."""

from http import HTTPStatus
from typing import TYPE_CHECKING

from fuchsiarill.front.replies import HttpReply
from fuchsiarill.front.routes import Access, HttpRequest, route
from fuchsiarill.process_messages import GetMeasures
from fuchsiarill.states import ProcessState

if TYPE_CHECKING:
    from fuchsiarill.front.http_front import HttpFront


@route('GET', '/healthz', Access.OPEN)
def liveness(front: 'HttpFront', request: HttpRequest) -> HttpReply:
    """Return status 200 as long as a thread of the server can respond."""
    return HttpReply(HTTPStatus.OK, {'state': front.view.state.value})


@route('GET', '/readyz', Access.OPEN)
def readiness(front: 'HttpFront', request: HttpRequest) -> HttpReply:
    """Return status 200 if the load balancer should send requests here."""
    status = HTTPStatus.SERVICE_UNAVAILABLE
    if front.view.state is ProcessState.SERVING:
        status = HTTPStatus.OK
    return HttpReply(status, {'state': front.view.state.value})


@route('GET', '/metrics', Access.OPEN)
def metrics(front: 'HttpFront', request: HttpRequest) -> HttpReply:
    """Return the metrics in the text format of Prometheus."""
    measures = front.ask(front.receivers.process, GetMeasures)
    return HttpReply(HTTPStatus.OK, front.metrics.render(measures))
