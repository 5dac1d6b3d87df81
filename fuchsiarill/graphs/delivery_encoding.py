"""Encoding of the calls to workers that one process makes for another.

The fields are those of `AgentCall` and `AgentAnswer` in the capnp schema.
"""

from collections.abc import Callable
from typing import Any, Final

from returns.result import Failure, Success

from fuchsiarill.graphs.delivery_messages import (
    AgentAnswer,
    AgentCall,
    AgentOrder,
    CallNumber,
    CollectedAnswers,
)
from fuchsiarill.graphs.model import (
    BornMs,
    Checkpoint,
    EndKind,
    EndRow,
    EndSequence,
    RunningRow,
    StartOrder,
    TaskKey,
    Ticket,
    WorkerReport,
)
from fuchsiarill.ids import Epoch, JobId, WorkerId
from fuchsiarill.ports.agents import (
    AgentAddress,
    AgentFailure,
    PaceOrder,
    RenewalOrder,
    StopOrder,
)
from fuchsiarill.registry import Registry

_Fields = dict[str, Any]
_NO_EXPIRY_MS: Final = -1

_ORDER_ENCODERS: Final[Registry[type, Callable[[Any], _Fields]]] = Registry(
    'encoders of orders'
)
_ORDER_DECODERS: Final[Registry[str, Callable[[Any], AgentOrder]]] = Registry(
    'decoders of orders'
)


def encode_call(call: AgentCall) -> _Fields:
    """Return the fields of a call."""
    encode_order = _ORDER_ENCODERS.lookup(type(call.order))
    return {
        'number': call.number,
        'worker': call.agent.worker,
        'address': call.agent.address,
        'validUntilMs': call.valid_until_ms,
        'timeoutMs': call.timeout_ms,
        'epoch': call.order.epoch,
        **encode_order(call.order),
    }


def decode_call(fields: Any) -> AgentCall:
    """Return a received call; raises `LookupError` for an unknown kind."""
    decode_order = _ORDER_DECODERS.lookup(fields.kind)
    return AgentCall(
        CallNumber(fields.number),
        AgentAddress(WorkerId(fields.worker), fields.address),
        decode_order(fields),
        fields.validUntilMs,
        fields.timeoutMs,
    )


def encode_agent_answer(answer: AgentAnswer) -> _Fields:
    """Return the fields of an answer."""
    fields: _Fields = {'number': answer.number}
    match answer.outcome:
        case Failure(AgentFailure() as failure):
            fields['failure'] = failure.value
        case Success(WorkerReport() as report):
            fields.update(_encode_report(report))
        case Success(clock_ms):
            fields['clockMs'] = clock_ms
    return fields


def decode_collected(received: Any) -> CollectedAnswers:
    """Return the answers of a session; an answer of an unknown kind fails."""
    return CollectedAnswers(
        received.clockMs,
        received.isKnown,
        tuple(_decode_answer(fields) for fields in received.answers),
    )


@_ORDER_ENCODERS.register(StartOrder)
def _encode_start(order: StartOrder) -> _Fields:
    return {
        'kind': 'start',
        'task': _encode_task(order.task),
        'attempt': order.attempt,
        'payload': order.payload,
        'expiryMs': order.expiry_ms,
        'checkpoint': order.checkpoint,
        'ticket': order.ticket or '',
        'hasTicket': order.ticket is not None,
    }


@_ORDER_DECODERS.register('start')
def _decode_start(fields: Any) -> StartOrder:
    return StartOrder(
        _decode_task(fields.task),
        fields.attempt,
        fields.payload,
        Epoch(fields.epoch),
        fields.expiryMs,
        Checkpoint(fields.checkpoint),
        Ticket(fields.ticket) if fields.hasTicket else None,
    )


@_ORDER_ENCODERS.register(StopOrder)
def _encode_stop(order: StopOrder) -> _Fields:
    return {
        'kind': 'stop',
        'task': _encode_task(order.task),
        'attempt': order.attempt,
    }


@_ORDER_DECODERS.register('stop')
def _decode_stop(fields: Any) -> StopOrder:
    return StopOrder(
        _decode_task(fields.task), fields.attempt, Epoch(fields.epoch)
    )


@_ORDER_ENCODERS.register(PaceOrder)
def _encode_pace(order: PaceOrder) -> _Fields:
    return {
        'kind': 'pace',
        'task': _encode_task(order.task),
        'attempt': order.attempt,
        'percent': order.percent,
    }


@_ORDER_DECODERS.register('pace')
def _decode_pace(fields: Any) -> PaceOrder:
    return PaceOrder(
        _decode_task(fields.task),
        fields.attempt,
        fields.percent,
        Epoch(fields.epoch),
    )


@_ORDER_ENCODERS.register(RenewalOrder)
def _encode_renewal(order: RenewalOrder) -> _Fields:
    expiry_ms = order.expiry_ms
    return {
        'kind': 'renewal',
        'acknowledged': order.acknowledged,
        'expiryMs': _NO_EXPIRY_MS if expiry_ms is None else expiry_ms,
        'waitMs': order.wait_ms,
    }


@_ORDER_DECODERS.register('renewal')
def _decode_renewal(fields: Any) -> RenewalOrder:
    expiry_ms = fields.expiryMs
    return RenewalOrder(
        Epoch(fields.epoch),
        EndSequence(fields.acknowledged),
        None if expiry_ms == _NO_EXPIRY_MS else expiry_ms,
        fields.waitMs,
    )


def _encode_task(task: TaskKey) -> _Fields:
    return {
        'job': task.job,
        'occurrence': task.occurrence,
        'step': task.step,
        'position': task.position,
    }


def _decode_task(fields: Any) -> TaskKey:
    return TaskKey(
        JobId(fields.job), fields.occurrence, fields.step, fields.position
    )


def _encode_report(report: WorkerReport) -> _Fields:
    return {
        'isReport': True,
        'clockMs': report.clock_ms,
        'bornMs': report.born_ms,
        'running': [_encode_running(row) for row in report.running],
        'ended': [_encode_ended(row) for row in report.ended],
    }


def _encode_running(row: RunningRow) -> _Fields:
    return {
        'task': _encode_task(row.task),
        'attempt': row.attempt,
        'checkpoint': row.checkpoint,
        'progressPercent': row.progress_percent,
        'usage': row.usage or 0,
        'hasUsage': row.usage is not None,
    }


def _encode_ended(row: EndRow) -> _Fields:
    return {
        'sequence': row.sequence,
        'task': _encode_task(row.task),
        'attempt': row.attempt,
        'kind': row.kind.value,
        'checkpoint': row.checkpoint,
    }


def _decode_answer(fields: Any) -> AgentAnswer:
    number = CallNumber(fields.number)
    if fields.failure:
        return AgentAnswer(number, Failure(AgentFailure(fields.failure)))
    if fields.isReport:
        return AgentAnswer(number, Success(_decode_report(fields)))
    return AgentAnswer(number, Success(fields.clockMs))


def _decode_report(fields: Any) -> WorkerReport:
    return WorkerReport(
        fields.clockMs,
        BornMs(fields.bornMs),
        tuple(_decode_running(row) for row in fields.running),
        tuple(_decode_ended(row) for row in fields.ended),
    )


def _decode_running(fields: Any) -> RunningRow:
    return RunningRow(
        _decode_task(fields.task),
        fields.attempt,
        Checkpoint(fields.checkpoint),
        fields.progressPercent,
        fields.usage if fields.hasUsage else None,
    )


def _decode_ended(fields: Any) -> EndRow:
    return EndRow(
        EndSequence(fields.sequence),
        _decode_task(fields.task),
        fields.attempt,
        EndKind(fields.kind),
        Checkpoint(fields.checkpoint),
    )
