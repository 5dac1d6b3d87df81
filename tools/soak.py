"""Randomized soak test of real processes on the emulated platform.

A seed determines the schedule of jobs and faults. Faults overlap. During the
run, the workers of the emulator check that no task runs twice or after its
success, and that no worker is over its capacity. Afterwards every
acknowledged job must be finished or cancelled, and no refused job may have
run.
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
from tools.platform_load import (
    CallerLoad,
    Outcome,
    start_loads,
    wait_for_final_states,
)
from tools.processes import end_on_signals
from tools.soak_faults import FAULTS, EndFault

_DAEMONS_COUNT: Final = 4
_WORKERS_COUNT: Final = 6
_CALLERS_COUNT: Final = 3
_JOBS_MAX_COUNT: Final = 100_000
_SUBMIT_INTERVAL_S: Final = 0.15
_CANCEL_EVERY: Final = 9
# Maximum time between the starts of two faults, and maximum duration of each.
_FAULT_INTERVAL_MAX_S: Final = 2.5
_FAULT_DURATION_MAX_S: Final = 5.0
# Time for leases to expire and for restarted daemons to take over.
_RECOVERY_S: Final = 12.0
_POLL_INTERVAL_S: Final = 0.05
_FAILED_STATUS: Final = 1


@dataclass(order=True, slots=True)
class _ActiveFault:
    """An injected fault with the time of its end."""

    ends_at_s: float
    number: int
    end: EndFault = field(compare=False)


class FaultSchedule:
    """Injects faults at random times, each for a random duration."""

    def __init__(self, cell: PlatformCell, seed: int) -> None:
        """Seed the random choice of faults and times."""
        self._cell = cell
        self._random_source = random.Random(seed)
        self._active: list[_ActiveFault] = []
        self._injected_count = 0

    def run(self, duration_s: float) -> None:
        """Inject faults for a time, then end those still active."""
        started_s = time.monotonic()
        next_s = started_s
        while time.monotonic() - started_s < duration_s:
            now_s = time.monotonic()
            if next_s <= now_s:
                self._inject(now_s - started_s)
                next_s = (
                    now_s + self._random_source.random() * _FAULT_INTERVAL_MAX_S
                )
            self._end_due(now_s)
            time.sleep(_POLL_INTERVAL_S)
        self._end_due(float('inf'))

    def _inject(self, elapsed_s: float) -> None:
        name = self._random_source.choice(list(FAULTS))
        lasts_s = self._random_source.random() * _FAULT_DURATION_MAX_S
        _print_line(f'{elapsed_s:6.2f} s: {name} for {lasts_s:.1f} s')
        end = FAULTS.lookup(name)(self._cell, self._random_source)
        self._injected_count += 1
        due_s = time.monotonic() + lasts_s
        heapq.heappush(
            self._active, _ActiveFault(due_s, self._injected_count, end)
        )

    def _end_due(self, now_s: float) -> None:
        while self._active and self._active[0].ends_at_s <= now_s:
            heapq.heappop(self._active).end()


def main() -> int:
    """Run the soak test with one seed; returns the exit status."""
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
            return run_soak(cell, options.seed, options.minutes * 60)


def run_soak(cell: PlatformCell, seed: int, duration_s: float) -> int:
    """Run load and faults on a cell that is ready; returns the exit status."""
    loads, threads = start_loads(
        cell,
        range(1000 * seed, 1000 * seed + _CALLERS_COUNT),
        _JOBS_MAX_COUNT,
        _SUBMIT_INTERVAL_S,
        _CANCEL_EVERY,
    )
    try:
        FaultSchedule(cell, seed).run(duration_s)
    finally:
        for load in loads:
            load.stopping.set()
        for load_thread in threads:
            load_thread.join()
    time.sleep(_RECOVERY_S)
    wait_for_final_states(loads)
    return _report(cell, seed, loads)


def _report(cell: PlatformCell, seed: int, loads: list[CallerLoad]) -> int:
    state = cell.control()
    jobs = [job for load in loads for job in load.jobs]
    faults = list(state['violations'])
    faults.extend(
        f'job {job.name} is lost, its state is {job.state!r}'
        for job in jobs
        if job.outcome is Outcome.LOST
    )
    started = set(state['started_jobs'])
    faults.extend(
        f'job {job.name} ran, though every attempt to submit it was refused'
        for job in jobs
        if job.is_refused and job.name in started
    )
    for fault in faults:
        _print_line(fault)
    counts = {outcome: 0 for outcome in Outcome}
    for job in jobs:
        counts[job.outcome] += 1
    parts = ' '.join(
        f'{outcome.value}={count}' for outcome, count in counts.items()
    )
    _print_line(
        f'soak: seed={seed} jobs={len(jobs)} {parts} faults={len(faults)}'
    )
    return _FAILED_STATUS if faults else 0


def _print_line(line: str) -> None:
    print(line, flush=True)


if __name__ == '__main__':
    sys.exit(main())
