"""`AgentPort` implemented by HTTP calls to the agents on workers."""

import json
from typing import Any, Final

from returns.result import Failure, Result, Success

from fuchsiarill.graphs.model import (
    BornMs,
    Checkpoint,
    EndKind,
    EndRow,
    EndSequence,
    RunningRow,
    StartOrder,
    WorkerReport,
)
from fuchsiarill.platform.answers import (
    PlatformResponse,
    decode_response,
    parse_body,
)
from fuchsiarill.platform.fencing import encode_token
from fuchsiarill.platform.task_names import parse_task, task_name
from fuchsiarill.ports.agents import (
    AgentAddress,
    AgentFailure,
    PaceOrder,
    RenewalOrder,
    StopOrder,
)
from fuchsiarill.ports.http_client import CallFailure, HttpCall, HttpClient

_OK: Final = 200
_CONFLICT: Final = 409
# Allowance for the answer to a long poll, beyond `wait_ms` and the time-out of
# a short call.
_RENEWAL_MARGIN_MS: Final = 700
# A worker lists at most this many ends in one answer (PROTOCOL.md, "Running
# tasks").
ENDS_PAGE_MAX_COUNT: Final = 500

_FAILURE_BY_REASON: Final = {
    'fence': AgentFailure.FENCED,
    'old': AgentFailure.SUPERSEDED,
    'late': AgentFailure.EXPIRED,
    'room': AgentFailure.NO_ROOM,
    'ticket': AgentFailure.TICKET_INVALID,
}
_FAILURE_BY_STATUS: Final = {
    400: AgentFailure.MALFORMED,
    421: AgentFailure.OTHER_WORKER,
    429: AgentFailure.UNHEALTHY,
    503: AgentFailure.UNHEALTHY,
}
_FAILURE_BY_CALL_FAILURE: Final = {
    CallFailure.CONNECTION_REFUSED: AgentFailure.CONNECTION_REFUSED,
    CallFailure.NOT_SENT: AgentFailure.NOT_SENT,
}
_END_KIND_BY_NAME: Final = {
    'done': EndKind.SUCCEEDED,
    'failed': EndKind.FAILED,
    'stopped': EndKind.STOPPED,
    'lapsed': EndKind.LAPSED,
    'broken': EndKind.BROKEN,
    'alone': EndKind.ALONE,
}


class PlatformWorkers:
    """HTTP client of the agents on the platform's workers."""

    def __init__(self, client: HttpClient) -> None:
        """Use the connections of `client`."""
        self._client = client

    async def start(
        self,
        agent: AgentAddress,
        order: StartOrder,
        timeout_ms: int,
    ) -> Result[int, AgentFailure]:
        """Start a run; returns the worker's clock in ms."""
        body = {
            'task': task_name(order.task),
            'attempt': order.attempt,
            'spec': order.payload,
            'deadline_ms': order.expiry_ms,
            'fence_token': encode_token(order.token),
        }
        if order.checkpoint:
            body['checkpoint'] = order.checkpoint
        if order.ticket is not None:
            body['ticket'] = order.ticket
        return await self._send_order(agent, '/run-start', body, timeout_ms)

    async def stop(
        self,
        agent: AgentAddress,
        order: StopOrder,
        timeout_ms: int,
    ) -> Result[int, AgentFailure]:
        """Stop a run; returns the worker's clock in ms."""
        body = {
            'task': task_name(order.task),
            'attempt': order.attempt,
            'fence_token': encode_token(order.token),
        }
        return await self._send_order(agent, '/run-stop', body, timeout_ms)

    async def pace(
        self,
        agent: AgentAddress,
        order: PaceOrder,
        timeout_ms: int,
    ) -> Result[int, AgentFailure]:
        """Limit the speed of a run; returns the worker's clock in ms."""
        body = {
            'task': task_name(order.task),
            'attempt': order.attempt,
            'percent': order.percent,
            'fence_token': encode_token(order.token),
        }
        return await self._send_order(agent, '/pace', body, timeout_ms)

    async def renew(
        self,
        agent: AgentAddress,
        order: RenewalOrder,
        timeout_ms: int,
    ) -> Result[WorkerReport, AgentFailure]:
        """Request a report; renews the task leases if `expiry_ms` is set."""
        body = {
            'fence_token': encode_token(order.token),
            'acked_seq': order.acknowledged,
            'wait_ms': order.wait_ms,
        }
        if order.expiry_ms is not None:
            body['deadline_ms'] = order.expiry_ms
        call = _build_call(agent, '/hold', body)
        limit_ms = timeout_ms + order.wait_ms
        if order.wait_ms:
            limit_ms += _RENEWAL_MARGIN_MS
            call_result = await self._client.call_long_poll(call, limit_ms)
        else:
            call_result = await self._client.call(call, limit_ms)
        response = decode_response(call_result)
        if response.status != _OK:
            return Failure(_failure(response))
        report = parse_body(response, _report, agent.worker)
        if report is None:
            return Failure(AgentFailure.MALFORMED)
        return Success(report)

    async def _send_order(
        self,
        agent: AgentAddress,
        path: str,
        body: dict[str, Any],
        timeout_ms: int,
    ) -> Result[int, AgentFailure]:
        call_result = await self._client.call(
            _build_call(agent, path, body),
            timeout_ms,
        )
        response = decode_response(call_result)
        if response.status != _OK:
            return Failure(_failure(response))
        clock_ms = parse_body(response, _clock_ms, agent.worker)
        if clock_ms is None:
            return Failure(AgentFailure.UNKNOWN)
        return Success(clock_ms)


def _build_call(
    agent: AgentAddress, path: str, body: dict[str, Any]
) -> HttpCall:
    return HttpCall(
        'POST',
        f'http://{agent.address}{path}',
        json.dumps(body).encode(),
        {'X-Expect-Instance': agent.worker},
    )


def _failure(response: PlatformResponse) -> AgentFailure:
    if response.failure is not None:
        return _FAILURE_BY_CALL_FAILURE.get(
            response.failure, AgentFailure.UNKNOWN
        )
    if response.status == _CONFLICT:
        reason = str(response.body.get('reason'))
        return _FAILURE_BY_REASON.get(reason, AgentFailure.MALFORMED)
    return _FAILURE_BY_STATUS.get(response.status or 0, AgentFailure.UNKNOWN)


def _clock_ms(body: dict[str, Any]) -> int:
    return int(body['clock_ms'])


def _report(body: dict[str, Any]) -> WorkerReport:
    return WorkerReport(
        int(body['clock_ms']),
        BornMs(body.get('born', 0)),
        tuple(_running(row) for row in body['running']),
        tuple(_end(row) for row in body['finished']),
        has_more_ends=len(body['finished']) >= ENDS_PAGE_MAX_COUNT,
    )


def _running(row: list[Any]) -> RunningRow:
    task, attempt, checkpoint, percent = row[:4]
    return RunningRow(
        parse_task(task),
        attempt,
        Checkpoint(checkpoint),
        percent,
        row[4] if len(row) > 4 else None,
    )


def _end(row: list[Any]) -> EndRow:
    sequence, task, attempt, kind, checkpoint = row
    return EndRow(
        EndSequence(sequence),
        parse_task(task),
        attempt,
        _END_KIND_BY_NAME[kind],
        Checkpoint(checkpoint),
    )
