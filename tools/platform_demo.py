"""Runs a cell on the emulated platform and kills the owner midway.

Ends with exit status 0 only when nothing was lost, doubled or overcommitted.
The last line has the form of that of `tools.demo`.
"""

import sys
import tempfile
import time
from collections import Counter
from pathlib import Path
from typing import Final

from tools.platform_cell import PlatformCell
from tools.platform_load import Fate, Load, settle, start_loads
from tools.processes import end_on_signals

_DAEMONS_COUNT: Final = 3
_WORKERS_COUNT: Final = 6
_CALLERS_COUNT: Final = 3
_JOBS_COUNT: Final = 20
_GAP_S: Final = 0.2
_CANCEL_EVERY: Final = 7
_KILL_AFTER_S: Final = 2.0
_FAILED_STATUS: Final = 1


def main() -> int:
    """Run the demo."""
    end_on_signals()
    with tempfile.TemporaryDirectory(prefix='fuchsiarill-demo-') as folder:
        with PlatformCell(
            Path(folder),
            _DAEMONS_COUNT,
            _WORKERS_COUNT,
        ) as cell:
            _say(f'{_WORKERS_COUNT} workers, {_DAEMONS_COUNT} processes')
            return _run(cell)


def _run(cell: PlatformCell) -> int:
    loads, threads = start_loads(
        cell,
        range(_CALLERS_COUNT),
        _JOBS_COUNT,
        _GAP_S,
        _CANCEL_EVERY,
    )
    time.sleep(_KILL_AFTER_S)
    owner = cell.owner()
    if owner is not None:
        cell.processes.kill(owner)
        _say(f'killed {owner}, the owner of the pool')
        time.sleep(1)
        cell.start_daemon(owner)
    for thread in threads:
        thread.join()
    settle(loads)
    return _report(cell, loads)


def _report(cell: PlatformCell, loads: list[Load]) -> int:
    seen = cell.control()
    jobs = [job for load in loads for job in load.jobs]
    fates = Counter(job.fate for job in jobs)
    over = [row for row in seen['violations'] if 'capacity' in row]
    doubled = [row for row in seen['violations'] if 'capacity' not in row]
    for row in seen['violations']:
        _say(row)
    _say(
        f'demo: submitted={len(jobs)} finished={fates[Fate.FINISHED]} '
        f'cancelled={fates[Fate.CANCELLED]} refused={fates[Fate.REFUSED]} '
        f'lost={fates[Fate.LOST]} doubled={len(doubled)} '
        f'overcommitted={len(over)}',
    )
    is_good = not seen['violations'] and not fates[Fate.LOST]
    return 0 if is_good else _FAILED_STATUS


def _say(line: str) -> None:
    print(line, flush=True)


if __name__ == '__main__':
    sys.exit(main())
