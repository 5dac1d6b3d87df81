"""Randomized soak test of real processes on the emulated platform.

A seed determines the schedule of jobs and faults. Faults overlap, and a few
jobs have a deadly task, which crashes each worker that starts it. During the
run, the workers of the emulator check that no task runs twice or after its
success, that no worker is over its capacity, and no customer over its ceiling.
Afterwards every acknowledged job without a deadly task must be finished or
cancelled, no refused job may have run, and deadly tasks must have been given
up.
"""

import argparse
import heapq
import random
import sys
import tempfile
import time
from dataclasses import dataclass, field, replace
from pathlib import Path
from typing import Final

from tools.platform_cell import PlatformCell
from tools.platform_load import (
    LoadSettings,
    Outcome,
    start_loads,
    wait_for_final_states,
)
from tools.processes import end_on_signals

# Imported because it registers faults.
from tools import soak_incarnations  # noqa: F401
from tools.soak_faults import FAULTS, EndFault
from tools.soak_tally import Disruptions, SoakRecord, find_faults

_JOBS_MAX_COUNT: Final = 100_000
_SUBMIT_INTERVAL_S: Final = 0.15
_CANCEL_EVERY: Final = 9
_LONG_EVERY: Final = 3
_FAULT_DURATION_MAX_S: Final = 5.0
# Ends all faults, and series before their next step.
_END_OF_RUN_S: Final = float('inf')
# Time for leases to expire and for restarted daemons to take over.
_RECOVERY_S: Final = 12.0
_POLL_INTERVAL_S: Final = 0.05
_S_PER_MINUTE: Final = 60
_FAILED_STATUS: Final = 1


@dataclass(frozen=True, slots=True)
class SoakSettings:
    """Seed, duration and faults of a soak, and the size of its cell."""

    seed: int = 1
    duration_minutes: float = 1
    daemons_count: int = 4
    workers_count: int = 6
    callers_count: int = 3
    # Names of the faults to choose from.
    faults: tuple[str, ...] = tuple(FAULTS)
    # Maximum time between the starts of two faults.
    interval_max_s: float = 2.5
    # One job of the first caller in so many has a deadly task; 0 for none. The
    # crashes leave room for others, since only one caller submits such jobs.
    deadly_every: int = 25
    # One job in so many is in the queue with an advice policy; 0 for none.
    advised_every: int = 2
    # Callers belong to that many customers in turn; 0 for no contracts.
    customers_count: int = 0
    # One job in so many begins with a gang; 0 for none.
    gang_every: int = 0


@dataclass(order=True, slots=True)
class _ActiveFault:
    """An injected fault with the time of its end."""

    ends_at_s: float
    number: int
    name: str = field(compare=False)
    began_at_s: float = field(compare=False)
    end: EndFault = field(compare=False)


class FaultSchedule:
    """Injects faults at random times, each for a random duration."""

    def __init__(self, cell: PlatformCell, settings: SoakSettings) -> None:
        """Seed the random choice of faults and times."""
        self._cell = cell
        self._settings = settings
        self._random_source = random.Random(settings.seed)
        self._active: list[_ActiveFault] = []
        self._injected_count = 0
        self._started_s = time.monotonic()
        self.disruptions = Disruptions()

    def run(self, duration_s: float) -> None:
        """Inject faults for a time, then end those still active."""
        self._started_s = time.monotonic()
        next_s = self._started_s
        while time.monotonic() - self._started_s < duration_s:
            now_s = time.monotonic()
            if next_s <= now_s:
                self._inject()
                next_s = now_s + self._random_source.uniform(
                    0, self._settings.interval_max_s
                )
            self._end_due(now_s)
            time.sleep(_POLL_INTERVAL_S)
        self._end_due(_END_OF_RUN_S)

    def _inject(self) -> None:
        name = self._random_source.choice(self._settings.faults)
        lasts_s = self._random_source.random() * _FAULT_DURATION_MAX_S
        began_at_s = time.monotonic()
        end = FAULTS.lookup(name)(self._cell, self._random_source)
        if end.lasts_s is None:
            end = replace(end, lasts_s=max(lasts_s, end.lasts_min_s))
        self._activate(name, began_at_s, end)

    def _activate(self, name: str, began_at_s: float, end: EndFault) -> None:
        lasts_s = end.lasts_s or 0
        elapsed_s = began_at_s - self._started_s
        note = f', {end.note}' if end.note else ''
        _print_line(f'{elapsed_s:6.2f} s: {name} for {lasts_s:.1f} s{note}')
        self._injected_count += 1
        heapq.heappush(
            self._active,
            _ActiveFault(
                time.monotonic() + lasts_s,
                self._injected_count,
                name,
                began_at_s,
                end,
            ),
        )

    def _end_due(self, now_s: float) -> None:
        while self._active and self._active[0].ends_at_s <= now_s:
            fault = heapq.heappop(self._active)
            ended_at_s = time.monotonic()
            next_end = None
            if now_s == _END_OF_RUN_S or fault.end.proceed is None:
                fault.end()
            else:
                next_end = fault.end.proceed()
            self.disruptions.add(
                fault.end.daemons, fault.began_at_s, time.monotonic()
            )
            if next_end is not None:
                self._activate(fault.name, ended_at_s, next_end)


def main() -> int:
    """Run the soak test with one seed; returns the exit status."""
    options = _parse_options()
    settings = SoakSettings(
        options.seed,
        options.minutes,
        options.daemons,
        options.workers,
        options.callers,
        tuple(options.faults),
        options.interval,
        options.deadly_every,
        options.advised_every,
        options.customers,
        options.gang_every,
    )
    end_on_signals()
    with tempfile.TemporaryDirectory(prefix='fuchsiarill-soak-') as folder:
        logs = options.logs or Path(folder)
        logs.mkdir(parents=True, exist_ok=True)
        with PlatformCell(
            logs,
            settings.daemons_count,
            settings.workers_count,
            settings.customers_count,
        ) as cell:
            return run_soak(cell, settings)


def _parse_options() -> argparse.Namespace:
    defaults = SoakSettings()
    parser = argparse.ArgumentParser(prog='tools.soak')
    parser.add_argument('--seed', type=int, default=defaults.seed)
    parser.add_argument(
        '--minutes', type=float, default=defaults.duration_minutes
    )
    for name in ('daemons', 'workers', 'callers', 'customers'):
        default_count = getattr(defaults, f'{name}_count')
        parser.add_argument(f'--{name}', type=int, default=default_count)
    parser.add_argument(
        '--faults', nargs='+', choices=FAULTS, default=defaults.faults
    )
    parser.add_argument(
        '--interval', type=float, default=defaults.interval_max_s
    )
    parser.add_argument(
        '--deadly-every', type=int, default=defaults.deadly_every
    )
    parser.add_argument(
        '--advised-every', type=int, default=defaults.advised_every
    )
    parser.add_argument('--gang-every', type=int, default=defaults.gang_every)
    parser.add_argument('--logs', type=Path, help='folder that keeps the logs')
    return parser.parse_args()


def run_soak(cell: PlatformCell, settings: SoakSettings) -> int:
    """Run load and faults on a cell that is ready; returns the exit status."""
    schedule = FaultSchedule(cell, settings)
    loads, threads = start_loads(cell, _load_by_caller_seed(settings))
    try:
        schedule.run(settings.duration_minutes * _S_PER_MINUTE)
    finally:
        for load in loads:
            load.stopping.set()
        for load_thread in threads:
            load_thread.join()
    time.sleep(_RECOVERY_S)
    wait_for_final_states(loads)
    jobs = [job for caller in loads for job in caller.jobs]
    return _report(
        settings.seed, SoakRecord(cell.control(), jobs, schedule.disruptions)
    )


def _load_by_caller_seed(settings: SoakSettings) -> dict[int, LoadSettings]:
    sound = LoadSettings(
        _JOBS_MAX_COUNT,
        _SUBMIT_INTERVAL_S,
        _CANCEL_EVERY,
        long_every=_LONG_EVERY,
        advised_every=settings.advised_every,
        gang_every=settings.gang_every,
    )
    first_seed = 1000 * settings.seed
    return dict.fromkeys(
        range(first_seed, first_seed + settings.callers_count), sound
    ) | {first_seed: replace(sound, deadly_every=settings.deadly_every)}


def _report(seed: int, record: SoakRecord) -> int:
    faults = find_faults(record)
    for fault in faults:
        _print_line(fault)
    counts = {outcome: 0 for outcome in Outcome}
    for job in record.jobs:
        counts[job.outcome] += 1
    parts = ' '.join(
        f'{outcome.value}={count}' for outcome, count in counts.items()
    )
    crashes_count = len(record.observations['crashes'])
    _print_line(
        f'soak: seed={seed} jobs={len(record.jobs)} {parts} '
        f'crashes={crashes_count} faults={len(faults)}'
    )
    return _FAILED_STATUS if faults else 0


def _print_line(line: str) -> None:
    print(line, flush=True)


if __name__ == '__main__':
    sys.exit(main())
