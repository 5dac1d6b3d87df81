"""A sound gang whose workers crash four times is shown as `failed`.

Exits with 1 if the rule is broken, 0 if it holds, 2 if the case can't run.
"""

import os
import sys
import tempfile
import time
from pathlib import Path
from typing import Final

from review.cell_2.launcher import CannotRun, Cell, run_case

_PATH: Final = '/quotes/5c0e7a21d94b36f8'
_TASK: Final = '5c0e7a21d94b36f8.0.0.'
_WORKERS_COUNT: Final = 8
_DAEMONS_COUNT: Final = 3
_JOB: Final = {
    'spec': '{"duration_ms":9000}',
    'phases': [
        {
            'count': _WORKERS_COUNT,
            'cpu': 6000,
            'mem_mb': 8000,
            'gang': True,
            'est_runtime_ms': 9000,
        },
    ],
}
# Each crash hits the worker of another task, so that no task has two crashes.
_CRASHED: Final = (0, 3, 5, 1)
_AFTER_START_S: Final = 2.0
_DOWN_MS: Final = 1000
_START_TIMEOUT_S: Final = 20
# `max_attempts` of the queue in the emulated platform's configuration.
_ATTEMPTS_MAX_COUNT: Final = 4
_END_TIMEOUT_S: Final = 25
_POLL_INTERVAL_S: Final = 0.25
_OK: Final = 200
_STATE: Final = 'state'
_FINAL: Final = frozenset(('done', 'failed', 'cancelled'))


def main() -> int:
    """Play the case and return the exit status."""
    record = Path(__file__).parent / 'record.txt'
    is_troubled = os.environ.get('TROUBLE', '1') != '0'
    with tempfile.TemporaryDirectory() as folder:
        with Cell(Path(folder), record, _DAEMONS_COUNT, _WORKERS_COUNT) as cell:
            cell.start('--gang-step', '0')
            return _play(cell, is_troubled=is_troubled)


def _play(cell: Cell, *, is_troubled: bool) -> int:
    status, _ = cell.call('p0', 'POST', _PATH, _JOB)
    cell.note(f'client: POST {_PATH} {_JOB}: {status}')
    if status is None or status // 100 != 2:
        raise CannotRun('the job was not accepted')
    for position in _CRASHED if is_troubled else ():
        if not _is_running(cell):
            break
        time.sleep(_AFTER_START_S)
        worker = _started(cell)[f'{_TASK}{position}']
        cell.note(f'{worker} runs task {position}')
        cell.control(crash_workers={worker: _DOWN_MS})
    state = _final_state(cell)
    failed_count = sum(
        line.startswith('end of ') and line.endswith(': FAILED')
        for line in cell.lines()
    )
    cell.note(f'state {state}; ends `failed` of its tasks: {failed_count}')
    if state not in _FINAL:
        raise CannotRun(f'the job is still {state}')
    return int(state != 'done' and failed_count < _ATTEMPTS_MAX_COUNT)


def _is_running(cell: Cell) -> bool:
    """Wait until all members run; returns whether the job has not ended."""
    cell.wait(
        lambda: _state(cell) in _FINAL or len(_started(cell)) == _WORKERS_COUNT,
        'the gang does not start',
        _START_TIMEOUT_S,
    )
    return _state(cell) not in _FINAL


def _started(cell: Cell) -> dict[str, str]:
    """Return the workers of the members that started since the last crash."""
    started: dict[str, str] = {}
    for line in cell.lines():
        if 'crashes' in line:
            started.clear()
        elif line.startswith('start of ') and line.endswith(': started'):
            words = line.split()
            started[words[2]] = words[-2].rstrip(':')
    return started


def _final_state(cell: Cell) -> str | None:
    deadline_s = time.monotonic() + _END_TIMEOUT_S
    state = _state(cell)
    while state not in _FINAL and time.monotonic() < deadline_s:
        time.sleep(_POLL_INTERVAL_S)
        state = _state(cell)
    cell.note(f'client: GET {_PATH}: {state}')
    return state


def _state(cell: Cell) -> str | None:
    for daemon in cell.daemons:
        status, answer = cell.call(daemon, 'GET', _PATH)
        if status == _OK:
            return str(answer[_STATE])
    return None


if __name__ == '__main__':
    sys.exit(run_case(main))
