"""Faults of the emulator, set by `POST /control`.

The body maps names of faults to settings, which name workers by their
addresses. The answer has the observations of the cell.
"""

from collections.abc import Callable
from typing import Any, Final

from fuchsiarill.registry import Registry
from fuchsiarill.resources import Resources
from standins.emulator.calls import ROUTES, Answer, Call
from standins.emulator.cell import EmulatedCell
from standins.store_model import PathFault

_Control = Callable[[EmulatedCell, Any], None]

CONTROLS: Final[Registry[str, _Control]] = Registry('faults of the emulator')


@ROUTES.register('POST /control')
async def _control(cell: EmulatedCell, call: Call) -> Answer:
    for name, setting in call.document.items():
        CONTROLS.lookup(name)(cell, setting)
    return Answer(200, cell.observations())


@CONTROLS.register('store_fault')
def _set_store_fault(cell: EmulatedCell, setting: dict[str, str]) -> None:
    """Set the faults of store paths, by the position of their port."""
    for number, fault in setting.items():
        cell.store_paths[int(number)].fault = PathFault(fault)


@CONTROLS.register('compact')
def _compact(cell: EmulatedCell, setting: bool) -> None:
    """Compact the store, which drops its history."""
    cell.store.compact()


@CONTROLS.register('restart_worker')
def _restart_worker(cell: EmulatedCell, setting: str) -> None:
    """Restart a worker, which ends all its runs without a report."""
    cell.restart(setting)


@CONTROLS.register('silent_workers')
def _set_silent(cell: EmulatedCell, setting: list[str]) -> None:
    """Make exactly these workers ignore every call and not answer."""
    for address, agent in cell.fleet.agents.items():
        agent.is_silent = address in setting


@CONTROLS.register('deaf_workers')
def _lose_start_answers(cell: EmulatedCell, setting: list[str]) -> None:
    """Make exactly these workers execute starts without an answer."""
    for address, agent in cell.fleet.agents.items():
        agent.loses_answers = address in setting


@CONTROLS.register('capacities')
def _set_capacities(
    cell: EmulatedCell, setting: dict[str, dict[str, int]]
) -> None:
    """Change capacities, which the next heartbeats write to the directory."""
    for address, capacity in setting.items():
        cell.fleet.change_capacity(address, Resources(**capacity))
