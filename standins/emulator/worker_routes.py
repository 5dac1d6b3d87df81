"""Routes of workers and the advice service in the platform's protocol."""

from collections.abc import Callable
from typing import Any, Final

from returns.result import Result, Success

from fuchsiarill.clock import sleep_ms
from fuchsiarill.graphs.model import (
    Checkpoint,
    EndKind,
    EndSequence,
    StartOrder,
    Ticket,
    WorkerReport,
)
from fuchsiarill.ids import WorkerId
from fuchsiarill.platform.fencing import decode_token
from fuchsiarill.platform.task_names import parse_task, task_name
from fuchsiarill.ports.agents import (
    AgentAddress,
    AgentFailure,
    PaceOrder,
    RenewalOrder,
    StopOrder,
)
from standins.agent_incarnation import AgentModel
from standins.emulator.calls import (
    BROKEN,
    ROUTES,
    UNANSWERED,
    Answer,
    Call,
)
from standins.emulator.cell import (
    ADVICE_DELAY_MS,
    TICKET_VALIDITY_MS,
    EmulatedCell,
)

# Longer than the time-out of any caller. A call that is not answered occupies a
# thread until then.
_TIMEOUT_MS: Final = 1500
_CONFLICT_REASONS: Final = {
    AgentFailure.FENCED: 'fence',
    AgentFailure.SUPERSEDED: 'old',
    AgentFailure.EXPIRED: 'late',
    AgentFailure.NO_ROOM: 'room',
    AgentFailure.TICKET_INVALID: 'ticket',
}


_END_NAMES: Final = {
    EndKind.SUCCEEDED: 'done',
    EndKind.FAILED: 'failed',
    EndKind.STOPPED: 'stopped',
    EndKind.LAPSED: 'lapsed',
    EndKind.BROKEN: 'broken',
    EndKind.ALONE: 'alone',
}


@ROUTES.register('POST /run-start')
async def _start(cell: EmulatedCell, call: Call) -> Answer:
    body = call.document
    order = StartOrder(
        parse_task(body['task']),
        body['attempt'],
        body['spec'],
        decode_token(body['fence_token']),
        body['deadline_ms'],
        Checkpoint(body.get('checkpoint', '')),
        Ticket(body['ticket']) if 'ticket' in body else None,
    )
    cell.note_owner()
    started = await cell.fleet.start(_agent(cell, call), order, _TIMEOUT_MS)
    return _agent_answer(cell, call, started, _clock)


@ROUTES.register('POST /run-stop')
async def _stop(cell: EmulatedCell, call: Call) -> Answer:
    body = call.document
    order = StopOrder(
        parse_task(body['task']),
        body['attempt'],
        decode_token(body['fence_token']),
    )
    stopped = await cell.fleet.stop(_agent(cell, call), order, _TIMEOUT_MS)
    return _agent_answer(cell, call, stopped, _clock)


@ROUTES.register('POST /pace')
async def _pace(cell: EmulatedCell, call: Call) -> Answer:
    body = call.document
    order = PaceOrder(
        parse_task(body['task']),
        body['attempt'],
        body['percent'],
        decode_token(body['fence_token']),
    )
    paced = await cell.fleet.pace(_agent(cell, call), order, _TIMEOUT_MS)
    return _agent_answer(cell, call, paced, _clock)


@ROUTES.register('POST /hold')
async def _hold(cell: EmulatedCell, call: Call) -> Answer:
    body = call.document
    order = RenewalOrder(
        decode_token(body['fence_token']),
        EndSequence(body['acked_seq']),
        body.get('deadline_ms'),
        body.get('wait_ms', 0),
    )
    reported = await cell.fleet.renew(_agent(cell, call), order, _TIMEOUT_MS)
    return _agent_answer(cell, call, reported, _report)


@ROUTES.register('POST /advise')
async def _advise(cell: EmulatedCell, call: Call) -> Answer:
    await sleep_ms(ADVICE_DELAY_MS)
    step = parse_task(f'{call.document["step_id"]}.0').step_key
    granted = cell.fleet.grant_tickets(
        step, call.document['workers'], TICKET_VALIDITY_MS
    )
    return Answer(200, {'granted': list(granted.items())})


def _agent(cell: EmulatedCell, call: Call) -> AgentAddress:
    """Return the worker that a call is for.

    An id that is no longer in use begins with its address.
    """
    worker = WorkerId(call.instance)
    model = cell.fleet.find(worker)
    if model is not None:
        return AgentAddress(worker, model.address)
    return AgentAddress(worker, call.instance.partition('-')[0])


def _clock(model: AgentModel, _: object) -> dict[str, Any]:
    return {'clock_ms': model.clock_ms()}


def _report(model: AgentModel, report: WorkerReport) -> dict[str, Any]:
    return {
        'clock_ms': report.clock_ms,
        'born': report.born_ms,
        'running': [
            [
                task_name(row.task),
                row.attempt,
                row.checkpoint,
                row.progress_percent,
            ]
            for row in report.running
        ],
        'finished': [
            [
                row.sequence,
                task_name(row.task),
                row.attempt,
                _END_NAMES[row.kind],
                row.checkpoint,
            ]
            for row in report.ended
        ],
    }


def _agent_answer(
    cell: EmulatedCell,
    call: Call,
    answered: Result[Any, AgentFailure],
    encode: Callable[[AgentModel, Any], dict[str, Any]],
) -> Answer:
    model = cell.fleet.find(WorkerId(call.instance))
    if model is None:
        return Answer(421)
    if isinstance(answered, Success):
        return Answer(200, encode(model, answered.unwrap()))
    failure = answered.failure()
    reason = _CONFLICT_REASONS.get(failure)
    if reason is not None:
        return Answer(409, {'clock_ms': model.clock_ms(), 'reason': reason})
    if failure is AgentFailure.UNKNOWN:
        return UNANSWERED
    if failure is AgentFailure.CONNECTION_REFUSED:
        return BROKEN
    return Answer(503)
