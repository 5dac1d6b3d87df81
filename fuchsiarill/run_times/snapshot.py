"""Encoding of learned run times for the store, as JSON.

A snapshot has at most 64 kB: the groups and workers that were used last come
first. Fields that are missing get defaults and unknown ones are ignored, so
that versions can read each other's snapshots. A damaged row is left out.
"""

import base64
import json
from collections.abc import Iterable
from contextlib import suppress
from itertools import accumulate
from typing import Annotated, Any, Final, TypeVar

from pydantic import BaseModel, ConfigDict, Field, ValidationError
from returns.result import Failure, Result, Success

from fuchsiarill.graphs.model import QueueId
from fuchsiarill.ids import WorkerId
from fuchsiarill.run_times.models import EstimateMoments, Factor, Model
from fuchsiarill.run_times.run_times import MODELS_MAX_COUNT, GroupKey, RunTimes
from fuchsiarill.run_times.sketch import BUCKETS_COUNT, LogSketch

MAX_BYTES: Final = 64_000
# Sizes of the three lists: about 180 groups, 350 workers and 100 queues.
_MODELS_MAX_BYTES: Final = 36_000
_WORKERS_MAX_BYTES: Final = 21_000
_REMOTE_MAX_BYTES: Final = 6000
# Later versions may write more rows.
_ROWS_MAX_COUNT: Final = 400
_WEIGHT_STEPS: Final = 255
_DIGITS: Final = 4
# Logarithms of times in ms and of factors; counts are bounded by the models.
_LOG_MAX: Final = 40
_COUNT_MAX: Final = 10_000
_AGE_MAX_MS: Final = 1_000_000_000

_Log = Annotated[float, Field(ge=-_LOG_MAX, le=_LOG_MAX)]
_Count = Annotated[float, Field(ge=0, le=_COUNT_MAX)]
_Variance = Annotated[float, Field(gt=0, le=_LOG_MAX)]
_Positive = Annotated[float, Field(gt=0, le=_COUNT_MAX)]
_Age = Annotated[int, Field(ge=0, le=_AGE_MAX_MS)]


class _Row(BaseModel):
    model_config = ConfigDict(frozen=True, allow_inf_nan=False)

    count: _Count = 0
    age_ms: _Age = 0


class _ModelRow(_Row):
    group: tuple[str, ...]
    origin: _Log
    # Total of the weights; each byte of `shares` is that of a bucket, relative
    # to the largest, beginning with the bucket `first`.
    weight: _Positive
    shares: str
    first: int = Field(default=0, ge=0, lt=BUCKETS_COUNT)
    estimates_count: _Count = 0
    estimates_mean: _Log = 0
    time_variance: _Variance = EstimateMoments().time_variance
    error_variance: _Variance = EstimateMoments().error_variance


class _FactorRow(_Row):
    name: str
    mean: _Log = 0


def encode_run_times(run_times: RunTimes, now_ms: int, unix_ms: int) -> bytes:
    """Return a snapshot, of which `unix_ms` is the time."""
    models = (
        _model_row(group, model, now_ms)
        for group, model in reversed(run_times.models.items())
    )
    workers = (
        _factor_row(worker, factor, now_ms)
        for worker, factor in reversed(run_times.workers.rows.items())
    )
    remote = (
        _factor_row(queue, factor, now_ms)
        for queue, factor in reversed(run_times.remote.items())
    )
    document = {
        'unix_ms': unix_ms,
        'models': _first_rows(models, _MODELS_MAX_BYTES),
        'workers': _first_rows(workers, _WORKERS_MAX_BYTES),
        'remote': _first_rows(remote, _REMOTE_MAX_BYTES),
    }
    return _encode(document)


def decode_run_times(
    content: bytes, now_ms: int, unix_ms: int
) -> Result[RunTimes, str]:
    """Decode a snapshot; the failure tells why none of it can be used."""
    try:
        document = json.loads(content)
    except (ValueError, RecursionError) as error:
        return Failure(f'not JSON: {error}')
    if not isinstance(document, dict):
        return Failure('not an object')
    written_unix_ms = document.get('unix_ms')
    if not isinstance(written_unix_ms, int):
        return Failure('the time is missing')
    # The row of a snapshot of age 0 was last changed at this time.
    written_ms = now_ms - max(unix_ms - written_unix_ms, 0)
    run_times = RunTimes(now_ms=now_ms)
    model_rows = _valid_rows(_ModelRow, document.get('models'))
    for model_row in model_rows[-MODELS_MAX_COUNT:]:
        _restore_model(run_times, model_row, written_ms)
    for worker_row in _valid_rows(_FactorRow, document.get('workers')):
        factor = _restore_factor(worker_row, written_ms)
        run_times.workers.restore(WorkerId(worker_row.name), factor)
    for queue_row in _valid_rows(_FactorRow, document.get('remote')):
        factor = _restore_factor(queue_row, written_ms)
        run_times.remote[QueueId(queue_row.name)] = factor
    return Success(run_times)


def _model_row(group: GroupKey, model: Model, now_ms: int) -> dict[str, Any]:
    weights = model.sketch.weights()
    largest = max(weights) or 1
    shares = bytes(
        round(_WEIGHT_STEPS * weight / largest) for weight in weights
    )
    moments = model.moments
    return {
        'group': group,
        'count': _rounded(model.count),
        'age_ms': _age_ms(model.updated_ms, now_ms),
        'origin': _rounded(model.sketch.origin),
        'weight': _rounded(model.sketch.weight),
        'shares': base64.b64encode(shares.strip(b'\0')).decode(),
        'first': len(shares) - len(shares.lstrip(b'\0')),
        'estimates_count': _rounded(moments.count),
        'estimates_mean': _rounded(moments.mean),
        'time_variance': _rounded(moments.time_variance),
        'error_variance': _rounded(moments.error_variance),
    }


def _factor_row(name: str, factor: Factor, now_ms: int) -> dict[str, Any]:
    return {
        'name': name,
        'count': _rounded(factor.count),
        'age_ms': _age_ms(factor.updated_ms, now_ms),
        'mean': _rounded(factor.mean),
    }


def _age_ms(updated_ms: int, now_ms: int) -> int:
    return min(max(now_ms - updated_ms, 0), _AGE_MAX_MS)


def _first_rows(
    rows: Iterable[dict[str, Any]], max_bytes: int
) -> list[dict[str, Any]]:
    """Return the first rows whose encodings fit into a size."""
    listed = list(rows)
    sizes = accumulate(len(_encode(row)) + 1 for row in listed)
    return [
        row
        for row, size in zip(listed, sizes, strict=True)
        if size <= max_bytes
    ]


_RowType = TypeVar('_RowType', bound=_Row)


def _valid_rows(row_type: type[_RowType], rows: object) -> list[_RowType]:
    """Return the valid rows, the latest last."""
    valid: list[_RowType] = []
    if not isinstance(rows, list):
        return valid
    for row in reversed(rows[:_ROWS_MAX_COUNT]):
        with suppress(ValidationError):
            valid.append(row_type.model_validate(row))
    return valid


def _restore_model(
    run_times: RunTimes, row: _ModelRow, written_ms: int
) -> None:
    try:
        shares = base64.b64decode(row.shares, validate=True)
    except ValueError:
        return
    total = sum(shares)
    if not total or row.first + len(shares) > BUCKETS_COUNT:
        return
    weights = [float(0) for _ in range(BUCKETS_COUNT)]
    for position, share in enumerate(shares):
        weights[row.first + position] = row.weight * share / total
    run_times.models[GroupKey(row.group)] = Model(
        LogSketch(row.origin, weights),
        EstimateMoments(
            row.estimates_count,
            row.estimates_mean,
            row.time_variance,
            row.error_variance,
        ),
        row.count,
        written_ms - row.age_ms,
    )


def _restore_factor(row: _FactorRow, written_ms: int) -> Factor:
    return Factor(row.count, row.mean, written_ms - row.age_ms)


def _rounded(number: float) -> float:
    return round(number, _DIGITS)


def _encode(document: object) -> bytes:
    return json.dumps(document, separators=(',', ':')).encode()
