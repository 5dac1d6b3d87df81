"""Faults of the soak that overlap on one daemon."""

import random
import signal
from dataclasses import asdict
from types import SimpleNamespace
from typing import Any

from standins.emulator.cell import CAPACITY
from tools.soak_faults import FAULTS

# After this time a start over a shrunken capacity counts.
_BOUND_S = 3.5


class _FakeProcesses:
    """Records which processes are waited for; a start gives a new id."""

    def __init__(self) -> None:
        self.ids = {'p0': 1}
        self.waited_ids: list[int] = []

    def is_running(self, name: str) -> bool:
        return name in self.ids

    def id_of(self, name: str) -> int:
        return self.ids[name]

    def send_signal(self, name: str, number: signal.Signals) -> None:
        """Do nothing: the test counts only what is waited for."""

    def kill(self, name: str) -> None:
        self.ids.pop(name)

    def exit_status(self, name: str) -> int:
        self.waited_ids.append(self.ids[name])
        return 0


def _make_cell() -> Any:
    processes = _FakeProcesses()
    return SimpleNamespace(
        processes=processes,
        daemons={'p0': None},
        owner=lambda: 'p0',
        start_daemon=lambda name: processes.ids.update({name: 2}),
    )


def test_restart_does_not_wait_for_a_replaced_process() -> None:
    """Guards against a wait for a process that got no SIGTERM.

    A kill ends the terminating daemon, and starts it again before the restart
    fault ends (soak seeds 20261204 and 1612).
    """
    cell = _make_cell()
    end_restart = FAULTS.lookup('restart')(cell, random.Random(1))
    end_kill = FAULTS.lookup('kill')(cell, random.Random(1))
    end_kill()
    end_restart()
    assert not cell.processes.waited_ids


def test_restart_waits_for_the_process_that_it_ends() -> None:
    """Guards against a restart that never waits for the end of a daemon."""
    cell = _make_cell()
    FAULTS.lookup('restart')(cell, random.Random(1))()
    assert cell.processes.waited_ids == [1]


def test_daemon_fault_names_the_daemon_that_it_disrupts() -> None:
    """Guards against starts of a paused daemon that count as in touch."""
    cell = _make_cell()
    assert FAULTS.lookup('pause')(cell, random.Random(1)).daemons == ('p0',)


def test_capacity_fault_ends_with_the_full_capacity() -> None:
    """Guards against workers that stay small after the faults of a soak.

    A shrink that ends before starts over it count checks nothing.
    """
    controls: list[dict[str, Any]] = []
    cell: Any = SimpleNamespace(
        workers=['w0'], control=lambda **faults: controls.append(faults)
    )
    end = FAULTS.lookup('capacity')(cell, random.Random(1))
    assert not end.daemons
    assert end.lasts_min_s > _BOUND_S
    end()
    shrunken, restored = (row['capacities']['w0'] for row in controls)
    assert restored == asdict(CAPACITY)
    assert 0 < shrunken['processors_milli'] < CAPACITY.processors_milli
    assert 0 < shrunken['memory_mb'] < CAPACITY.memory_mb
