"""JSON encoding of the state of load of a pool."""

import json
from collections.abc import Mapping
from dataclasses import asdict
from typing import Any, Final

from fuchsiarill.graphs.model import QueueId
from fuchsiarill.graphs.records import encode_json
from fuchsiarill.ids import CustomerId
from fuchsiarill.load.ahead import WIDTHS_MILLI
from fuchsiarill.load.pool_load import PoolLoad, QueueLoad, RunTimeCurve
from fuchsiarill.resources import Resources

# Far above the record of the largest known deployment, which has some dozens of
# queues and customers; a larger value is not a record of ours.
_RECORD_MAX_BYTES: Final = 65_536
_PARSE_ERRORS: Final = (
    AttributeError,
    KeyError,
    OverflowError,
    RecursionError,
    TypeError,
    ValueError,
)


def encode_load(load: PoolLoad) -> bytes:
    """Return the JSON form of a state of load."""
    return encode_json(load_document(load))


def load_document(load: PoolLoad) -> dict[str, Any]:
    """Return a state of load as plain values."""
    return {
        'pool': load.pool,
        'epoch': load.epoch,
        'written': load.written_unix_ms,
        'queues': {queue: asdict(row) for queue, row in load.queues.items()},
        'beyond': dict(load.beyond),
        'largest': [vector.as_tuple() for vector in load.largest],
        'free': [vector.as_tuple() for vector in load.largest_free],
    }


def decode_load(content: bytes) -> PoolLoad | None:
    """Decode a state of load; returns `None` for a damaged one."""
    if len(content) > _RECORD_MAX_BYTES:
        return None
    try:
        return _decode_load(json.loads(content))
    except _PARSE_ERRORS:
        return None


def _decode_load(document: Mapping[str, Any]) -> PoolLoad:
    return PoolLoad(
        _text(document['pool']),
        _amount(document['epoch']),
        _amount(document['written']),
        {
            QueueId(queue): _decode_queue(row)
            for queue, row in document['queues'].items()
        },
        {
            CustomerId(customer): _amount(share)
            for customer, share in document['beyond'].items()
        },
        tuple(_decode_vector(row) for row in document['largest']),
        tuple(_decode_vector(row) for row in document['free']),
    )


def _decode_queue(row: dict[str, Any]) -> QueueLoad:
    amounts = dict(row)
    run_times = amounts.pop('run_times')
    waits_ms = _decode_waits(amounts.pop('waits_ms'))
    excess_waits_ms = _decode_waits(amounts.pop('excess_waits_ms'))
    return QueueLoad(
        **{name: _amount(number) for name, number in amounts.items()},
        waits_ms=waits_ms,
        excess_waits_ms=excess_waits_ms,
        run_times=RunTimeCurve(
            **{name: _amount(number) for name, number in run_times.items()}
        ),
    )


def _decode_waits(row: list[Any]) -> tuple[int, ...]:
    if len(row) != len(WIDTHS_MILLI):
        raise ValueError('waits of other widths')
    return tuple(_amount(number) for number in row)


def _decode_vector(row: list[Any]) -> Resources:
    return Resources(*(_number(amount) for amount in row))


def _text(content: Any) -> Any:
    if not isinstance(content, str):
        raise TypeError('not a text')
    return content


def _number(content: Any) -> Any:
    if not isinstance(content, int) or isinstance(content, bool):
        raise TypeError('not a whole number')
    return content


def _amount(content: Any) -> Any:
    if _number(content) < 0:
        raise ValueError('a negative amount')
    return content
