"""Faults of the emulator, set by `POST /control`.

The body maps names of faults to settings, which name workers by their
addresses. The answer has the observations of the cell.
"""

from collections.abc import Callable
from itertools import chain
from typing import Any, Final

from fuchsiarill.registry import Registry
from fuchsiarill.resources import Resources
from standins.emulator.calls import ROUTES, Answer, Call
from standins.emulator.cell import EmulatedCell
from standins.outages import Outage
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
def _set_silent(cell: EmulatedCell, setting: dict[str, list[str]]) -> None:
    """Make workers ignore every call and not answer, across restarts.

    Replaces the workers of each named fault.
    """
    cell.silent_workers.update(setting)
    cell.fleet.silent_addresses = frozenset(
        chain.from_iterable(cell.silent_workers.values())
    )


@CONTROLS.register('unlisted_workers')
def _set_unlisted(cell: EmulatedCell, setting: dict[str, list[str]]) -> None:
    """Stop updates of workers' entries, across restarts.

    Replaces the workers of each named fault.
    """
    cell.unlisted_workers.update(setting)


@CONTROLS.register('delayed_calls')
def _delay_calls(
    cell: EmulatedCell, setting: dict[str, dict[str, int]]
) -> None:
    """Leave calls to workers without an answer and execute them later.

    Replaces the delays of each named fault, by worker in ms. The longest delay
    of a worker applies to calls that arrive from now on.
    """
    cell.delays_ms.update(setting)
    merged: dict[str, int] = {}
    for delays_ms in cell.delays_ms.values():
        for address, delay_ms in delays_ms.items():
            merged[address] = max(delay_ms, merged.get(address, 0))
    cell.fleet.delayed_calls.delays_ms = merged


@CONTROLS.register('crash_workers')
def _crash_workers(cell: EmulatedCell, setting: dict[str, int]) -> None:
    """Crash workers, which restart under their ids after the given ms.

    Open connections get no answer.
    """
    for address, down_ms in setting.items():
        agent = cell.fleet.agents[address]
        cell.fleet.crashes.crash_briefly(agent, Outage.SILENT, down_ms)


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
