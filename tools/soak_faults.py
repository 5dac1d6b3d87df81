"""Faults that the soak test injects.

A registered function begins a fault and returns its end, which also names the
daemons that the fault disrupts. Faults of daemons use signals or act on the
path to the store; the others are set in the emulator.
"""

import random
import signal
from collections.abc import Callable
from dataclasses import asdict, dataclass
from functools import partial, wraps
from typing import Any, Final

from fuchsiarill.registry import Registry
from fuchsiarill.resources import Resources
from standins.emulator.cell import CAPACITY
from standins.store_model import PathFault
from tools.platform_cell import PlatformCell


@dataclass(frozen=True, slots=True)
class EndFault:
    """Ends a fault when called."""

    action: Callable[[], None]
    # Names of the daemons that are disrupted until then.
    daemons: tuple[str, ...] = ()
    # The fault has no effect that the soak checks before this time.
    lasts_min_s: float = 0
    # Replaces the random duration.
    lasts_s: float | None = None
    # What the fault has begun, for the output of the soak.
    note: str = ''
    # Begins the next step of a series, which has ended if it returns `None`.
    # Without it the fault ends after its duration.
    proceed: Callable[[], 'EndFault | None'] | None = None

    def __call__(self) -> None:
        """End the fault, with all steps of its series."""
        self.action()


Fault = Callable[[PlatformCell, random.Random], EndFault]
_DaemonFault = Callable[[PlatformCell, str], Callable[[], None]]

# Starts over a shrunken capacity count after 3.5 s.
_SHRUNKEN_MIN_S: Final = 8
_LABEL_BITS: Final = 32

FAULTS: Final[Registry[str, Fault]] = Registry('faults of the soak')


def _do_nothing() -> None:
    """Ends a fault that needs no action to end."""


_NO_END: Final = EndFault(_do_nothing)


def draw_label(random_source: random.Random) -> str:
    """Return a name under which a fault sets and ends its own controls."""
    return f'{random_source.getrandbits(_LABEL_BITS):x}'


def _end_by_control(
    cell: PlatformCell, *daemons: str, **faults: Any
) -> EndFault:
    return EndFault(partial(_control, cell, faults), daemons)


def _control(cell: PlatformCell, faults: dict[str, Any]) -> None:
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


def _on_running_daemon(daemon_fault: _DaemonFault) -> Fault:
    """Apply the decorated fault to a running daemon, if there is one."""

    @wraps(daemon_fault)
    def wrapper(cell: PlatformCell, random_source: random.Random) -> EndFault:
        name = _draw_running_daemon(cell, random_source)
        if name is None:
            return _NO_END
        return EndFault(daemon_fault(cell, name), (name,))

    return wrapper


@FAULTS.register('kill')
@_on_running_daemon
def _kill(cell: PlatformCell, name: str) -> Callable[[], None]:
    cell.processes.kill(name)
    return partial(cell.start_daemon, name)


@FAULTS.register('restart')
@_on_running_daemon
def _restart(cell: PlatformCell, name: str) -> Callable[[], None]:
    """Stop a daemon with SIGTERM; the end of the fault restarts it."""
    process_id = cell.processes.id_of(name)
    cell.processes.send_signal(name, signal.SIGTERM)
    return partial(_restart_when_ended, cell, name, process_id)


@FAULTS.register('pause')
@_on_running_daemon
def _pause(cell: PlatformCell, name: str) -> Callable[[], None]:
    cell.processes.send_signal(name, signal.SIGSTOP)
    return partial(_resume, cell, name)


@FAULTS.register('store_path')
def _break_store_path(
    cell: PlatformCell, random_source: random.Random
) -> EndFault:
    """Break the path to the store for one daemon, or for all."""
    fault = random_source.choice((PathFault.REFUSED, PathFault.ANSWER_LOST))
    daemons = list(cell.daemons.values())
    if random_source.randrange(3):
        daemons = [random_source.choice(daemons)]
    numbers = [str(daemon.number) for daemon in daemons]
    cell.control(store_fault=dict.fromkeys(numbers, fault.value))
    cleared = dict.fromkeys(numbers, PathFault.NONE.value)
    names = [daemon.name for daemon in daemons]
    return _end_by_control(cell, *names, store_fault=cleared)


@FAULTS.register('compact')
def _compact(cell: PlatformCell, random_source: random.Random) -> EndFault:
    cell.control(compact=True)
    return _NO_END


@FAULTS.register('worker_restart')
def _restart_worker(
    cell: PlatformCell, random_source: random.Random
) -> EndFault:
    cell.control(restart_worker=random_source.choice(cell.workers))
    return _NO_END


@FAULTS.register('worker_silent')
def _make_worker_silent(
    cell: PlatformCell, random_source: random.Random
) -> EndFault:
    label = draw_label(random_source)
    cell.control(silent_workers={label: [random_source.choice(cell.workers)]})
    return _end_by_control(cell, silent_workers={label: []})


@FAULTS.register('worker_deaf')
def _lose_start_answers(
    cell: PlatformCell, random_source: random.Random
) -> EndFault:
    """Make a worker execute starts without an answer."""
    cell.control(deaf_workers=[random_source.choice(cell.workers)])
    return _end_by_control(cell, deaf_workers=[])


@FAULTS.register('capacity')
def _change_capacity(
    cell: PlatformCell, random_source: random.Random
) -> EndFault:
    """Shrink a worker to a quarter up to three quarters of its capacity."""
    worker = random_source.choice(cell.workers)
    quarters = random_source.randint(1, 3)
    shrunken = Resources(
        CAPACITY.processors_milli * quarters // 4,
        CAPACITY.memory_mb * quarters // 4,
    )
    cell.control(capacities={worker: asdict(shrunken)})
    restored = {'capacities': {worker: asdict(CAPACITY)}}
    return EndFault(
        partial(_control, cell, restored), lasts_min_s=_SHRUNKEN_MIN_S
    )
