"""Faults of the emulator, set by `POST /control`.

The body names faults with their settings; the answer is what workers and the
store have seen.
"""

from collections.abc import Callable
from typing import Any, Final

from fuchsiarill.registry import Registry
from standins.emulator.calls import ROUTES, Answer, Call
from standins.emulator.cell import EmulatedCell
from standins.store_model import PathFault

_Control = Callable[[EmulatedCell, Any], None]

CONTROLS: Final[Registry[str, _Control]] = Registry('faults of the emulator')


@ROUTES.register('POST /control')
async def _control(cell: EmulatedCell, call: Call) -> Answer:
    for name, setting in call.document.items():
        CONTROLS.lookup(name)(cell, setting)
    return Answer(200, cell.seen())


@CONTROLS.register('store_fault')
def _set_store_fault(cell: EmulatedCell, setting: dict[str, str]) -> None:
    """Let the path of single processes fail: a fault by number of its port."""
    for number, fault in setting.items():
        cell.doors[int(number)].fault = PathFault(fault)


@CONTROLS.register('compact')
def _compact(cell: EmulatedCell, setting: bool) -> None:
    """Drop the history of the store."""
    cell.store.compact()


@CONTROLS.register('restart_worker')
def _restart_worker(cell: EmulatedCell, setting: str) -> None:
    """End a worker with all that it runs, and begin a new life."""
    cell.restart(setting)


@CONTROLS.register('silent_workers')
def _set_silent(cell: EmulatedCell, setting: list[str]) -> None:
    """Cut these workers off, and no others."""
    for agent in cell.fleet.agents.values():
        agent.is_silent = agent.worker in setting


@CONTROLS.register('deaf_workers')
def _set_deaf(cell: EmulatedCell, setting: list[str]) -> None:
    """Let these workers, and no others, carry starts out unanswered."""
    for agent in cell.fleet.agents.values():
        agent.loses_answers = agent.worker in setting
