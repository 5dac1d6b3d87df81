"""`AdvisorPort` implemented by calls to the platform's advice service."""

import json
from typing import Any, Final

from returns.result import Failure, Result, Success

from fuchsiarill.graphs.model import StepKey, Ticket
from fuchsiarill.ids import WorkerId
from fuchsiarill.platform.answers import decode_response, parse_body
from fuchsiarill.platform.task_names import step_name
from fuchsiarill.ports.agents import AgentFailure
from fuchsiarill.ports.http_client import HttpCall, HttpClient

_OK: Final = 200
_BUSY: Final = 429


class PlatformAdvisor:
    """Requests tickets from the advice service over HTTP."""

    def __init__(self, address: str, client: HttpClient) -> None:
        """Use the service at `address`, a host with a port."""
        self._url = f'http://{address}/advise'
        self._client = client

    async def advise(
        self,
        step: StepKey,
        workers: tuple[WorkerId, ...],
        timeout_ms: int,
    ) -> Result[dict[WorkerId, Ticket], AgentFailure]:
        """Return a ticket for each worker that may run the step.

        Fails with `UNHEALTHY` while the service is busy, and with `UNKNOWN`
        after any other status or without a readable response.
        """
        body = {'step_id': step_name(step), 'workers': list(workers)}
        call = HttpCall('POST', self._url, json.dumps(body).encode())
        response = decode_response(await self._client.call(call, timeout_ms))
        if response.status == _BUSY:
            return Failure(AgentFailure.UNHEALTHY)
        if response.status != _OK:
            return Failure(AgentFailure.UNKNOWN)
        tickets = parse_body(response, _tickets, 'the advice service')
        if tickets is None:
            return Failure(AgentFailure.UNKNOWN)
        return Success(tickets)


def _tickets(body: dict[str, Any]) -> dict[WorkerId, Ticket]:
    return {
        WorkerId(worker): Ticket(ticket) for worker, ticket in body['granted']
    }
