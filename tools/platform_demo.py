"""Runs a cell on the emulated platform and kills the owner under load.

The exit status is 0 only when no job was lost, no task doubled and no worker
overcommitted. The last line has the same format as that of `tools.demo`.
"""

import sys
import tempfile
import time
from collections import Counter
from pathlib import Path
from typing import Final

from tools.platform_cell import PlatformCell
from tools.platform_load import (
    CallerLoad,
    LoadSettings,
    Outcome,
    start_loads,
    wait_for_final_states,
)
from tools.processes import end_on_signals

_DAEMONS_COUNT: Final = 3
_WORKERS_COUNT: Final = 6
_CALLERS_COUNT: Final = 3
_SETTINGS: Final = LoadSettings(jobs_count=20, interval_s=0.2, cancel_every=7)
_KILL_AFTER_S: Final = 2.0
_FAILED_STATUS: Final = 1


def main() -> int:
    """Run the demo on a cell of its own; returns the exit status."""
    end_on_signals()
    with tempfile.TemporaryDirectory(prefix='fuchsiarill-demo-') as folder:
        with PlatformCell(
            Path(folder),
            _DAEMONS_COUNT,
            _WORKERS_COUNT,
        ) as cell:
            _print_line(f'{_WORKERS_COUNT} workers, {_DAEMONS_COUNT} processes')
            return _run(cell)


def _run(cell: PlatformCell) -> int:
    loads, threads = start_loads(
        cell,
        dict.fromkeys(range(_CALLERS_COUNT), _SETTINGS),
    )
    time.sleep(_KILL_AFTER_S)
    owner = cell.owner()
    if owner is not None:
        cell.processes.kill(owner)
        _print_line(f'killed {owner}, the owner of the pool')
        time.sleep(1)
        cell.start_daemon(owner)
    for thread in threads:
        thread.join()
    wait_for_final_states(loads)
    return _report(cell, loads)


def _report(cell: PlatformCell, loads: list[CallerLoad]) -> int:
    state = cell.control()
    jobs = [job for load in loads for job in load.jobs]
    outcomes = Counter(job.outcome for job in jobs)
    overcommitted = [row for row in state['violations'] if 'capacity' in row]
    doubled = [row for row in state['violations'] if 'capacity' not in row]
    for row in state['violations']:
        _print_line(row)
    _print_line(
        f'demo: submitted={len(jobs)} finished={outcomes[Outcome.FINISHED]} '
        f'cancelled={outcomes[Outcome.CANCELLED]} '
        f'refused={outcomes[Outcome.REFUSED]} '
        f'lost={outcomes[Outcome.LOST]} doubled={len(doubled)} '
        f'overcommitted={len(overcommitted)}',
    )
    is_good = not state['violations'] and not outcomes[Outcome.LOST]
    return 0 if is_good else _FAILED_STATUS


def _print_line(line: str) -> None:
    print(line, flush=True)


if __name__ == '__main__':
    sys.exit(main())
