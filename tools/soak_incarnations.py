"""Faults that restart workers under their ids, in series of steps.

The calls that were sent to one incarnation of a worker may be executed by a
later one, and the worker may be cut off before its owner has got a report of
the new incarnation.
"""

import random
from collections.abc import Callable, Generator
from dataclasses import dataclass
from functools import partial, wraps
from typing import Any, Final

from tools.platform_cell import PlatformCell
from tools.soak_faults import FAULTS, EndFault, Fault, draw_label

# Connections that were open at the crash have no answer for this long.
_DOWN_MIN_MS: Final = 200
_DOWN_MAX_MS: Final = 800
_DELAY_MIN_MS: Final = 500
_DELAY_MAX_MS: Final = 8000
# Time in which calls to a worker are held. Its owner sends no starts after the
# first call that fails, which it sends 1 s after the last answer at the latest.
_HOLD_MIN_S: Final = 0.3
_HOLD_MAX_S: Final = 1.0
# Time from the restart of a worker to its cut.
_CUT_AFTER_MIN_S: Final = 0.1
_CUT_AFTER_MAX_S: Final = 2.5
# Most cuts outlast the leases of up to 6 s.
_CUT_SHORT_S: Final = (0.5, 2.5)
_CUT_LONG_S: Final = (6.5, 9.0)
_CUTS: Final = (_CUT_SHORT_S, _CUT_LONG_S, _CUT_LONG_S)
# The platform removes an entry that is not updated for 1.5 s.
_UNLISTED_MAX_S: Final = 1.4
_PAUSE_MAX_S: Final = 2.0
_REPETITIONS_MAX_COUNT: Final = 2
_MS_PER_S: Final = 1000


@dataclass(frozen=True, slots=True)
class _Step:
    """A part of a series that has begun."""

    note: str
    lasts_s: float
    daemons: tuple[str, ...] = ()


# Begins a step before it yields it, is resumed when the step ends, and ends all
# its faults when it is closed.
_Steps = Generator[_Step, None, None]
_Series = Callable[[PlatformCell, random.Random], _Steps]


def _in_series(series: _Series) -> Fault:
    """Turn a generator of steps into a fault."""

    @wraps(series)
    def wrapper(cell: PlatformCell, random_source: random.Random) -> EndFault:
        steps = series(cell, random_source)
        return _begin_next(steps) or EndFault(steps.close)

    return wrapper


def _begin_next(steps: _Steps) -> EndFault | None:
    step = next(steps, None)
    if step is None:
        return None
    return EndFault(
        steps.close,
        step.daemons,
        lasts_s=step.lasts_s,
        note=step.note,
        proceed=partial(_begin_next, steps),
    )


@dataclass(frozen=True, slots=True)
class _Returning:
    """Some workers that restart under their ids, and their faults."""

    cell: PlatformCell
    random_source: random.Random
    workers: list[str]
    label: str

    def hold_calls(self) -> _Step:
        """Leave calls without an answer; each worker has its own delay."""
        delays_ms = {
            worker: self.random_source.randint(_DELAY_MIN_MS, _DELAY_MAX_MS)
            for worker in self.workers
        }
        self._control(delayed_calls=delays_ms)
        return _Step(
            f'calls are held: {delays_ms}',
            self._draw_s(_HOLD_MIN_S, _HOLD_MAX_S),
        )

    def stop_holding(self) -> None:
        """Execute calls at once again; those that are held stay so."""
        self._control(delayed_calls={})

    def crash(self) -> float:
        """Crash the workers; returns how long they are down, in seconds."""
        downs_ms = {
            worker: self.random_source.randint(_DOWN_MIN_MS, _DOWN_MAX_MS)
            for worker in self.workers
        }
        self._control(unlisted_workers=self.workers)
        self.cell.control(crash_workers=downs_ms)
        return max(downs_ms.values()) / _MS_PER_S

    def list_again(self) -> None:
        """Update the entries of the workers with the next heartbeat."""
        self._control(unlisted_workers=[])

    def cut(self) -> _Step:
        """Cut the workers off from all daemons and from the directory."""
        self._control(silent_workers=self.workers)
        limits_s = self.random_source.choice(_CUTS)
        return _Step('workers are cut off', self._draw_s(*limits_s))

    def heal(self) -> None:
        """End the faults of these workers."""
        self.stop_holding()
        self._control(silent_workers=[])
        self.list_again()

    def pause(self) -> _Step:
        """Wait until the next restart."""
        return _Step('workers are back', self._draw_s(0, _PAUSE_MAX_S))

    def _draw_s(self, minimum_s: float, maximum_s: float) -> float:
        return self.random_source.uniform(minimum_s, maximum_s)

    def _control(self, **faults: Any) -> None:
        self.cell.control(
            **{name: {self.label: setting} for name, setting in faults.items()}
        )


def _draw_third(cell: PlatformCell, random_source: random.Random) -> _Returning:
    count = max(1, len(cell.workers) // 3)
    workers = sorted(random_source.sample(cell.workers, count))
    return _Returning(cell, random_source, workers, draw_label(random_source))


def _kill_owner(cell: PlatformCell) -> str | None:
    """Kill the owner of the pool; returns it unless none runs."""
    owner = cell.owner()
    if owner is None or not cell.processes.is_running(owner):
        return None
    cell.processes.kill(owner)
    return owner


@FAULTS.register('workers_return')
@_in_series
def _return_workers(cell: PlatformCell, random_source: random.Random) -> _Steps:
    """Restart workers under their ids, with entries that are updated late."""
    returning = _draw_third(cell, random_source)
    try:
        down_s = returning.crash()
        late_s = random_source.uniform(0, _UNLISTED_MAX_S - down_s)
        yield _Step(f'{returning.workers} restart', down_s + late_s)
    finally:
        returning.heal()


@FAULTS.register('calls_held')
@_in_series
def _hold_calls(cell: PlatformCell, random_source: random.Random) -> _Steps:
    """Execute calls seconds later, in whichever incarnation runs then."""
    returning = _draw_third(cell, random_source)
    try:
        yield returning.hold_calls()
    finally:
        returning.heal()


@FAULTS.register('return_and_cut')
@_in_series
def _return_and_cut(cell: PlatformCell, random_source: random.Random) -> _Steps:
    """Restart workers and cut them off, some times in a row.

    The owner may be killed between the restart and the cut.
    """
    returning = _draw_third(cell, random_source)
    try:
        for _ in range(random_source.randint(1, _REPETITIONS_MAX_COUNT)):
            yield from _restart_before_cut(returning)
            yield from _cut_and_heal(returning)
    finally:
        returning.heal()


@FAULTS.register('held_return_and_cut')
@_in_series
def _hold_return_and_cut(
    cell: PlatformCell, random_source: random.Random
) -> _Steps:
    """Hold calls before the same restarts, which may come twice.

    A held call may then be executed by an incarnation that began after the
    owner has settled the run of the call.
    """
    returning = _draw_third(cell, random_source)
    try:
        for _ in range(random_source.randint(1, _REPETITIONS_MAX_COUNT)):
            yield returning.hold_calls()
            yield from _restart_while_calls_are_held(returning)
            yield from _cut_and_heal(returning)
    finally:
        returning.heal()


def _cut_and_heal(returning: _Returning) -> _Steps:
    yield returning.cut()
    returning.heal()
    yield returning.pause()


def _restart_while_calls_are_held(returning: _Returning) -> _Steps:
    random_source = returning.random_source
    if random_source.randrange(2):
        returning.stop_holding()
    if random_source.randrange(2):
        down_s = returning.crash()
        up_s = random_source.uniform(_CUT_AFTER_MIN_S, _CUT_AFTER_MAX_S)
        yield _Step(f'{returning.workers} restart', down_s + up_s)
        returning.stop_holding()
    yield from _restart_before_cut(returning)


def _restart_before_cut(returning: _Returning) -> _Steps:
    random_source = returning.random_source
    down_s = returning.crash()
    cut_after_s = random_source.uniform(_CUT_AFTER_MIN_S, _CUT_AFTER_MAX_S)
    kill_after_s = random_source.random() * cut_after_s
    yield _Step(f'{returning.workers} restart', down_s + kill_after_s)
    returning.stop_holding()
    if random_source.randrange(2):
        returning.list_again()
    left_s = cut_after_s - kill_after_s
    owner = None if random_source.randrange(3) else _kill_owner(returning.cell)
    if owner is None:
        yield _Step('the owner stays', left_s)
        return
    try:
        yield _Step(f'owner {owner} is killed', left_s, (owner,))
    finally:
        returning.cell.start_daemon(owner)
