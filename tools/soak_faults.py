"""Faults that the soak test injects.

A registered function begins a fault and returns the function that ends it.
Faults of daemons use signals or act on the path to the store; the others are
set in the emulator.
"""

import random
import signal
from collections.abc import Callable
from functools import partial, wraps
from typing import Any, Final

from fuchsiarill.registry import Registry
from standins.store_model import PathFault
from tools.platform_cell import PlatformCell

EndFault = Callable[[], None]
_Fault = Callable[[PlatformCell, random.Random], EndFault]
_DaemonFault = Callable[[PlatformCell, str], EndFault]

FAULTS: Final[Registry[str, _Fault]] = Registry('faults of the soak')


def _do_nothing() -> None:
    """Ends a fault that needs no action to end."""


def _set_faults(cell: PlatformCell, **faults: Any) -> None:
    cell.control(**faults)


def _restart_when_ended(cell: PlatformCell, name: str, process_id: int) -> None:
    """Restart a daemon that got SIGTERM as `process_id`.

    A kill may have replaced that process in the meantime; the new one has got
    no signal and does not end.
    """
    if not cell.processes.is_running(name):
        return
    if cell.processes.id_of(name) == process_id:
        cell.processes.send_signal(name, signal.SIGCONT)
        cell.processes.exit_status(name)
        cell.start_daemon(name)


def _resume(cell: PlatformCell, name: str) -> None:
    if cell.processes.is_running(name):
        cell.processes.send_signal(name, signal.SIGCONT)


def _draw_running_daemon(
    cell: PlatformCell, random_source: random.Random
) -> str | None:
    """Return a running daemon; half of the draws prefer the owner."""
    names = [name for name in cell.daemons if cell.processes.is_running(name)]
    owner = cell.owner()
    if owner in names and random_source.randrange(2):
        return owner
    return random_source.choice(names) if names else None


def _on_running_daemon(daemon_fault: _DaemonFault) -> _Fault:
    """Apply the decorated fault to a running daemon, if there is one."""

    @wraps(daemon_fault)
    def wrapper(cell: PlatformCell, random_source: random.Random) -> EndFault:
        name = _draw_running_daemon(cell, random_source)
        return _do_nothing if name is None else daemon_fault(cell, name)

    return wrapper


@FAULTS.register('kill')
@_on_running_daemon
def _kill(cell: PlatformCell, name: str) -> EndFault:
    cell.processes.kill(name)
    return partial(cell.start_daemon, name)


@FAULTS.register('restart')
@_on_running_daemon
def _restart(cell: PlatformCell, name: str) -> EndFault:
    """Stop a daemon with SIGTERM; the end of the fault restarts it."""
    process_id = cell.processes.id_of(name)
    cell.processes.send_signal(name, signal.SIGTERM)
    return partial(_restart_when_ended, cell, name, process_id)


@FAULTS.register('pause')
@_on_running_daemon
def _pause(cell: PlatformCell, name: str) -> EndFault:
    cell.processes.send_signal(name, signal.SIGSTOP)
    return partial(_resume, cell, name)


@FAULTS.register('store_path')
def _break_store_path(
    cell: PlatformCell, random_source: random.Random
) -> EndFault:
    """Break the path to the store for one daemon, or for all."""
    fault = random_source.choice((PathFault.REFUSED, PathFault.ANSWER_LOST))
    numbers = [daemon.number for daemon in cell.daemons.values()]
    if random_source.randrange(3):
        numbers = [random_source.choice(numbers)]
    cell.control(store_fault=dict.fromkeys(map(str, numbers), fault.value))
    cleared = dict.fromkeys(map(str, numbers), PathFault.NONE.value)
    return partial(_set_faults, cell, store_fault=cleared)


@FAULTS.register('compact')
def _compact(cell: PlatformCell, random_source: random.Random) -> EndFault:
    cell.control(compact=True)
    return _do_nothing


@FAULTS.register('worker_restart')
def _restart_worker(
    cell: PlatformCell, random_source: random.Random
) -> EndFault:
    cell.control(restart_worker=random_source.choice(cell.workers))
    return _do_nothing


@FAULTS.register('worker_silent')
def _make_worker_silent(
    cell: PlatformCell, random_source: random.Random
) -> EndFault:
    cell.control(silent_workers=[random_source.choice(cell.workers)])
    return partial(_set_faults, cell, silent_workers=[])


@FAULTS.register('worker_deaf')
def _lose_start_answers(
    cell: PlatformCell, random_source: random.Random
) -> EndFault:
    """Make a worker execute starts without an answer."""
    cell.control(deaf_workers=[random_source.choice(cell.workers)])
    return partial(_set_faults, cell, deaf_workers=[])
