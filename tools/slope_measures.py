"""Measurements for `tools.slopes`: bytes and processor time by size."""

from functools import partial
from typing import Final

from fuchsiarill.cell_config import parse_config
from fuchsiarill.ids import AttemptId, Epoch, IncarnationId, WorkerId
from fuchsiarill.ports.http_ports import EXCHANGES, REPORTS
from fuchsiarill.resources import Resources
from fuchsiarill.workers import (
    Exchange,
    TaskOutcome,
    TaskReport,
    WorkerReport,
)
from tools.measurement import measurement, processor_ms

_INCARNATION: Final = IncarnationId('0' * 32)
_TASKS_COUNTS: Final = (4, 8, 16, 32, 64)
_CONTRACTS_COUNTS: Final = (2, 10, 40, 80, 160)
_REPEATS: Final = 20

_CONTRACT: Final = """
  - customer: team-{number}
    region: region-1
    quota: {{processors_milli: 64000, memory_mb: 256000, slots_count: 64}}
    guaranteed: {{processors_milli: 32000, memory_mb: 128000, slots_count: 32}}
    submit_rate_per_s: 100
    submit_burst_count: 200
    token_sha256: "{number:064x}"
"""


def _attempt(number: int) -> AttemptId:
    return AttemptId(f'rajkot.0-4f1c5ae21fc0a8bc352c/{number}@17.{number}')


def _request(tasks_count: int) -> bytes:
    renewals = tuple(_attempt(number) for number in range(tasks_count))
    return EXCHANGES.dump_json(
        Exchange(
            Epoch(17),
            lease_until_worker_clock_ms=86_415_000,
            renewals=renewals,
            incarnation=_INCARNATION,
        ),
    )


def _report(tasks_count: int) -> bytes:
    used = Resources(1000, 2000, 0, 1)
    tasks = tuple(
        TaskReport(
            attempt_id=_attempt(number),
            outcome=TaskOutcome.RUNNING,
            reserved=used,
            used=used,
            run_time_ms=120_000,
        )
        for number in range(tasks_count)
    )
    report = WorkerReport(
        WorkerId('rajkot-pour-hall-r1-w3'),
        Epoch(17),
        worker_clock_ms=86_400_000,
        tasks=tasks,
        incarnation=_INCARNATION,
    )
    return REPORTS.dump_json(report)


def _encode_and_decode(tasks_count: int, report: bytes) -> None:
    _request(tasks_count)
    REPORTS.validate_json(report)


def _config_text(contracts_count: int) -> str:
    head = 'cell: slopes\nregions: [{name: region-1}]\ncontracts:'
    contracts = ''.join(
        _CONTRACT.format(number=number + 1) for number in range(contracts_count)
    )
    return f'{head}{contracts}operator_token_sha256: "{0:064x}"\n'


@measurement('exchange_bytes', 'bytes', 'task of the worker', _TASKS_COUNTS)
def exchange_bytes(tasks_count: int) -> float:
    """Return the JSON bytes of one exchange, request and report."""
    return len(_request(tasks_count)) + len(_report(tasks_count))


@measurement('exchange_codec_ms', 'ms', 'task of the worker', _TASKS_COUNTS)
def exchange_codec_ms(tasks_count: int) -> float:
    """Return the owner's time to encode a request and decode a report."""
    return processor_ms(
        partial(_encode_and_decode, tasks_count, _report(tasks_count)),
        _REPEATS,
    )


@measurement('config_bytes', 'bytes', 'contract', _CONTRACTS_COUNTS)
def config_bytes(contracts_count: int) -> float:
    """Return the UTF-8 bytes of the configuration document."""
    return len(_config_text(contracts_count).encode())


@measurement('config_parse_ms', 'ms', 'contract', _CONTRACTS_COUNTS)
def config_parse_ms(contracts_count: int) -> float:
    """Return the time to read and check the configuration document."""
    text = _config_text(contracts_count)
    return processor_ms(lambda: parse_config(text).unwrap(), 3)
