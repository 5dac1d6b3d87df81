"""Faults that the soak injects, each with its end.

A fault is a function that begins it and returns what ends it. Those that hit
a daemon act by signals or on its path to the store; the others act in the
emulator.
"""

import random
import signal
from collections.abc import Callable
from functools import partial, wraps
from typing import Any, Final

from fuchsiarill.registry import Registry
from standins.store_model import PathFault
from tools.platform_cell import PlatformCell

End = Callable[[], None]
_Fault = Callable[[PlatformCell, random.Random], End]
_Hit = Callable[[PlatformCell, str], End]

FAULTS: Final[Registry[str, _Fault]] = Registry('faults of the soak')


def _do_nothing() -> None:
    """Nothing is left to be ended."""


def _set(cell: PlatformCell, **faults: Any) -> None:
    cell.control(**faults)


def _start_when_ended(cell: PlatformCell, name: str) -> None:
    if cell.processes.is_running(name):
        cell.processes.send_signal(name, signal.SIGCONT)
        cell.processes.exit_status(name)
        cell.start_daemon(name)


def _resume(cell: PlatformCell, name: str) -> None:
    if cell.processes.is_running(name):
        cell.processes.send_signal(name, signal.SIGCONT)


def _running(cell: PlatformCell, draw: random.Random) -> str | None:
    """Return a daemon that runs, the owner in half of the cases."""
    names = [name for name in cell.daemons if cell.processes.is_running(name)]
    owner = cell.owner()
    if owner in names and draw.randrange(2):
        return owner
    return draw.choice(names) if names else None


def _hits_daemon(hit: _Hit) -> _Fault:
    """Make a fault of what is done to one daemon that runs."""

    @wraps(hit)
    def wrapper(cell: PlatformCell, draw: random.Random) -> End:
        name = _running(cell, draw)
        return _do_nothing if name is None else hit(cell, name)

    return wrapper


@FAULTS.register('kill')
@_hits_daemon
def _kill(cell: PlatformCell, name: str) -> End:
    cell.processes.kill(name)
    return partial(cell.start_daemon, name)


@FAULTS.register('restart')
@_hits_daemon
def _restart(cell: PlatformCell, name: str) -> End:
    """Ask a daemon to end, and start it again when it has."""
    cell.processes.send_signal(name, signal.SIGTERM)
    return partial(_start_when_ended, cell, name)


@FAULTS.register('pause')
@_hits_daemon
def _pause(cell: PlatformCell, name: str) -> End:
    cell.processes.send_signal(name, signal.SIGSTOP)
    return partial(_resume, cell, name)


@FAULTS.register('store_path')
def _store_path(cell: PlatformCell, draw: random.Random) -> End:
    """Let the store fail for one daemon, or for all."""
    fault = draw.choice((PathFault.REFUSED, PathFault.ANSWER_LOST))
    numbers = [daemon.number for daemon in cell.daemons.values()]
    if draw.randrange(3):
        numbers = [draw.choice(numbers)]
    cell.control(store_fault=dict.fromkeys(map(str, numbers), fault.value))
    mended = dict.fromkeys(map(str, numbers), PathFault.NONE.value)
    return partial(_set, cell, store_fault=mended)


@FAULTS.register('compact')
def _compact(cell: PlatformCell, draw: random.Random) -> End:
    cell.control(compact=True)
    return _do_nothing


@FAULTS.register('worker_restart')
def _restart_worker(cell: PlatformCell, draw: random.Random) -> End:
    cell.control(restart_worker=draw.choice(cell.workers))
    return _do_nothing


@FAULTS.register('worker_silent')
def _silence_worker(cell: PlatformCell, draw: random.Random) -> End:
    cell.control(silent_workers=[draw.choice(cell.workers)])
    return partial(_set, cell, silent_workers=[])


@FAULTS.register('worker_deaf')
def _deafen_worker(cell: PlatformCell, draw: random.Random) -> End:
    """Let a worker carry starts out without an answer."""
    cell.control(deaf_workers=[draw.choice(cell.workers)])
    return partial(_set, cell, deaf_workers=[])
