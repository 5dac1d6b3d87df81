"""A randomized soak of real processes on the emulated platform.

One seed gives one schedule of jobs and faults. The faults overlap. While it
runs, the workers of the emulator check that no task runs twice or after its
success, and that none is over its capacity; in the end every acknowledged
job must have come to its end, and no refused job may have run.
"""

import argparse
import heapq
import random
import sys
import tempfile
import time
from dataclasses import dataclass, field
from pathlib import Path
from typing import Final

from tools.platform_cell import PlatformCell
from tools.platform_load import Fate, Load, settle, start_loads
from tools.processes import end_on_signals
from tools.soak_faults import FAULTS, End

_DAEMONS_COUNT: Final = 4
_WORKERS_COUNT: Final = 6
_CALLERS_COUNT: Final = 3
_JOBS_MAX_COUNT: Final = 100_000
_GAP_S: Final = 0.15
_CANCEL_EVERY: Final = 9
# Faults begin this far apart, and last this long, at most.
_FAULT_GAP_S: Final = 2.5
_FAULT_MAX_S: Final = 5.0
# Leases lapse, and restarted daemons take over.
_QUIET_S: Final = 12.0
_POLL_S: Final = 0.05
_FAILED_STATUS: Final = 1


@dataclass(order=True, slots=True)
class _Due:
    """A fault that ends at a time."""

    at_s: float
    number: int
    end: End = field(compare=False)


class Schedule:
    """Begins faults at random times and ends them later."""

    def __init__(self, cell: PlatformCell, seed: int) -> None:
        """Prepare the schedule of a seed."""
        self._cell = cell
        self._draw = random.Random(seed)
        self._due: list[_Due] = []
        self._begun_count = 0

    def run(self, duration_s: float) -> None:
        """Play for a time, then end all that has begun."""
        started_s = time.monotonic()
        next_s = started_s
        while time.monotonic() - started_s < duration_s:
            now_s = time.monotonic()
            if next_s <= now_s:
                self._begin(now_s - started_s)
                next_s = now_s + self._draw.random() * _FAULT_GAP_S
            self._end_due(now_s)
            time.sleep(_POLL_S)
        self._end_due(float('inf'))

    def _begin(self, at_s: float) -> None:
        name = self._draw.choice(list(FAULTS))
        lasts_s = self._draw.random() * _FAULT_MAX_S
        _say(f'{at_s:6.2f} s: {name} for {lasts_s:.1f} s')
        end = FAULTS.lookup(name)(self._cell, self._draw)
        self._begun_count += 1
        due_s = time.monotonic() + lasts_s
        heapq.heappush(self._due, _Due(due_s, self._begun_count, end))

    def _end_due(self, now_s: float) -> None:
        while self._due and self._due[0].at_s <= now_s:
            heapq.heappop(self._due).end()


def main() -> int:
    """Play one seed."""
    parser = argparse.ArgumentParser(prog='tools.soak')
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--minutes', type=float, default=1)
    parser.add_argument('--logs', type=Path, help='folder that keeps the logs')
    options = parser.parse_args()
    end_on_signals()
    with tempfile.TemporaryDirectory(prefix='fuchsiarill-soak-') as folder:
        logs = options.logs or Path(folder)
        logs.mkdir(parents=True, exist_ok=True)
        with PlatformCell(logs, _DAEMONS_COUNT, _WORKERS_COUNT) as cell:
            return play(cell, options.seed, options.minutes * 60)


def play(cell: PlatformCell, seed: int, duration_s: float) -> int:
    """Play a seed on a cell that is ready; returns the exit status."""
    loads, threads = start_loads(
        cell,
        range(1000 * seed, 1000 * seed + _CALLERS_COUNT),
        _JOBS_MAX_COUNT,
        _GAP_S,
        _CANCEL_EVERY,
    )
    try:
        Schedule(cell, seed).run(duration_s)
    finally:
        for load in loads:
            load.stopping.set()
        for ending in threads:
            ending.join()
    time.sleep(_QUIET_S)
    settle(loads)
    return _verdict(cell, seed, loads)


def _verdict(cell: PlatformCell, seed: int, loads: list[Load]) -> int:
    seen = cell.control()
    jobs = [job for load in loads for job in load.jobs]
    faults = list(seen['violations'])
    faults.extend(
        f'job {job.name} is lost, its state is {job.state!r}'
        for job in jobs
        if job.fate is Fate.LOST
    )
    started = set(seen['started_jobs'])
    faults.extend(
        f'job {job.name} ran, though every try was refused'
        for job in jobs
        if job.is_refused and job.name in started
    )
    for fault in faults:
        _say(fault)
    counts = {fate: 0 for fate in Fate}
    for job in jobs:
        counts[job.fate] += 1
    parts = ' '.join(f'{fate.value}={count}' for fate, count in counts.items())
    _say(f'soak: seed={seed} jobs={len(jobs)} {parts} faults={len(faults)}')
    return _FAILED_STATUS if faults else 0


def _say(line: str) -> None:
    print(line, flush=True)


if __name__ == '__main__':
    sys.exit(main())
