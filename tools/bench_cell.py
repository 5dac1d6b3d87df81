"""Control cost, recovery and configuration spread of real processes.

Runs the cell of each example on loopback: idle, during a change of the
configuration, under a bounded load, and after a kill of the owner. Starts and
takeover are read from the workers' logs, store calls from the counters of the
store stand-in.
"""

import json
import os
import tempfile
import threading
import time
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Any, Final

from fuchsiarill.ids import ProcessId
from tools.caller import Caller, clock_ms
from tools.cell import Cell
from tools.demo_table import takeover_ms
from tools.deployment import EXAMPLES, load_deployment
from tools.measures import Measure
from tools.processes import wait_until
from tools.tally import group_runs_by_task

_DEPLOYMENTS: Final = ('frostwick', 'cooperative')
_IDLE_S: Final = 10.0
_LOAD_S: Final = 10.0
_CALLERS_PER_CUSTOMER: Final = 2
_BATCH_COUNT: Final = 50
_BATCH_PAUSE_S: Final = 0.1
_TASK_RUN_TIME_MS: Final = 200
_POLL_INTERVAL_S: Final = 0.02
_TICKS_PER_S: Final = os.sysconf('SC_CLK_TCK')
_MS_PER_S: Final = 1000


@dataclass(frozen=True, slots=True)
class Costs:
    """Store calls and processor time of a cell over a period."""

    period_s: float
    reads_count: int
    writes_count: int
    processor_s: float

    def measures(self, phase: str, cell: Cell) -> Iterator[Measure]:
        """Yield store calls per second, and cores per entry process."""
        deployment = f'{cell.deployment.deployment}, {phase}'
        reads_per_s = self.reads_count / self.period_s
        writes_per_s = self.writes_count / self.period_s
        cores = self.processor_s / self.period_s / len(cell.entry_urls)
        yield _measure(
            'store_reads_per_s', reads_per_s, '1/s', '< 500', deployment
        )
        yield _measure(
            'store_writes_per_s',
            writes_per_s,
            '1/s',
            '< 150',
            deployment,
        )
        yield _measure(
            'entry_process_cores',
            cores,
            'cores',
            None,
            deployment,
        )


class CostMeter:
    """Measures store calls and processor time since its creation."""

    def __init__(self, cell: Cell) -> None:
        """Read the counters at the beginning of the period."""
        self._cell = cell
        self._began_s = time.monotonic()
        self._store = cell.control(cell.store_url)
        self._processor_time_s = self._entry_processes_s()

    def read(self) -> Costs:
        """Return the costs since the beginning of the period."""
        store = self._cell.control(self._cell.store_url)
        return Costs(
            time.monotonic() - self._began_s,
            store['reads_count'] - self._store['reads_count'],
            store['writes_count'] - self._store['writes_count'],
            self._entry_processes_s() - self._processor_time_s,
        )

    def _entry_processes_s(self) -> float:
        return sum(
            _processor_time_s(self._cell.processes.id_of(process))
            for process in self._cell.entry_urls
            if self._cell.processes.is_running(process)
        )


def run() -> Iterator[Measure]:
    """Measure the cell of each example."""
    for name in _DEPLOYMENTS:
        deployment = load_deployment(EXAMPLES / f'{name}-hosts.yaml')
        configuration = (EXAMPLES / deployment.configuration).read_text()
        with tempfile.TemporaryDirectory(prefix='fuchsiarill-bench-') as folder:
            with Cell(deployment, configuration, Path(folder)) as cell:
                yield from _measure_cell(cell)


def _measure_cell(cell: Cell) -> Iterator[Measure]:
    meter = CostMeter(cell)
    time.sleep(_IDLE_S)
    yield from meter.read().measures('idle', cell)
    yield _config_spread(cell)
    callers = _callers(cell)
    meter = CostMeter(cell)
    began_ms = clock_ms()
    _run_load(callers)
    costs = meter.read()
    yield from costs.measures('peak', cell)
    yield _start_rate(cell, began_ms, costs)
    yield _recovery(cell, callers)


def _config_spread(cell: Cell) -> Measure:
    operator = Caller(
        cell.deployment.tokens['operator'],
        list(cell.entry_urls.values()),
    )
    first = operator.entry_urls[0]
    current = operator.request('GET', f'{first}/v1/config') or {}
    change = {
        'text': f'{current["text"]}\n# changed by the benchmark\n',
        'expected_generation': current['generation'],
        'author': 'tools.bench_cell',
    }
    began_s = time.monotonic()
    written = operator.request('PUT', f'{first}/v1/config', body=change) or {}
    pending = list(operator.entry_urls)
    while pending:
        answer = operator.request('GET', f'{pending[-1]}/v1/config') or {}
        if answer.get('generation', 0) >= written['generation']:
            pending.pop()
            continue
        time.sleep(_POLL_INTERVAL_S)
    return _measure(
        'config_spread_s',
        time.monotonic() - began_s,
        's',
        '< 3',
        cell.deployment.deployment,
    )


def _callers(cell: Cell) -> list[Caller]:
    urls = list(cell.entry_urls.values())
    return [
        Caller(
            cell.deployment.tokens[customer],
            urls[part:] + urls[:part],
        )
        for customer in cell.deployment.customers
        for part in range(_CALLERS_PER_CUSTOMER)
    ]


def _run_load(callers: list[Caller]) -> None:
    threads = [
        threading.Thread(target=_submit_until_deadline, args=(caller, number))
        for number, caller in enumerate(callers)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()


def _submit_until_deadline(caller: Caller, number: int) -> None:
    deadline_s = time.monotonic() + _LOAD_S
    sent_count = len(caller.submitted_jobs)
    while time.monotonic() < deadline_s:
        bodies = [
            _job(f'bench-{number}-{sent_count + offset}')
            for offset in range(_BATCH_COUNT)
        ]
        sent_count += len(bodies)
        caller.submit(bodies)
        time.sleep(_BATCH_PAUSE_S)


def _job(key: str) -> dict[str, Any]:
    size = {'processors_milli': 200, 'memory_mb': 200}
    return {
        'idempotency_key': key,
        'job_class': 'bench',
        'task_size': size,
        'run_time_ms': _TASK_RUN_TIME_MS,
        'payload': json.dumps({'class': 'bench', 'declared': size}),
    }


def _start_rate(cell: Cell, began_ms: int, costs: Costs) -> Measure:
    started = [
        run
        for task_runs in group_runs_by_task(cell.worker_logs()).values()
        for run in task_runs
        if run.started_at_ms >= began_ms
    ]
    return _measure(
        'task_starts_per_s',
        len(started) / costs.period_s,
        '1/s',
        None,
        f'{cell.deployment.deployment}, peak',
    )


def _recovery(cell: Cell, callers: list[Caller]) -> Measure:
    sending = threading.Thread(target=_run_load, args=(callers,))
    sending.start()
    owner = cell.owner()
    if owner is None:
        raise RuntimeError('no process owns the partition')
    cell.processes.kill(owner)
    killed_at_ms = clock_ms()
    cell.entry_urls.pop(ProcessId(owner))
    wait_until(
        lambda: _takeover_ms(cell, killed_at_ms) is not None,
        'no new owner places tasks',
    )
    sending.join()
    return _measure(
        'recovery_s',
        (_takeover_ms(cell, killed_at_ms) or 0) / _MS_PER_S,
        's',
        '< 5',
        cell.deployment.deployment,
    )


def _takeover_ms(cell: Cell, killed_at_ms: int) -> int | None:
    return takeover_ms(group_runs_by_task(cell.worker_logs()), killed_at_ms)


def _processor_time_s(process_id: int) -> float:
    """Return the user plus system time of a process; see proc(5), `stat`."""
    text = Path(f'/proc/{process_id}/stat').read_text()
    fields = text.rpartition(')')[2].split()
    user_ticks, system_ticks = fields[11:13]
    return (int(user_ticks) + int(system_ticks)) / _TICKS_PER_S


def _measure(
    name: str,
    measured: float,
    unit: str,
    target: str | None,
    deployment: str,
) -> Measure:
    return Measure(name, round(measured, 3), unit, None, target, deployment)


def main() -> None:
    """Print every measure as one JSON line."""
    for measured in run():
        print(measured.as_line(), flush=True)


if __name__ == '__main__':
    main()
