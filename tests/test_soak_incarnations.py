"""Faults of the soak that restart workers under their ids, in series."""

import json
import random
from itertools import product
from types import SimpleNamespace
from typing import Any, Final

import pytest

from tools.platform_load import CallerLoad, LoadSettings
from tools.soak import FaultSchedule, SoakSettings
from tools.soak_faults import FAULTS, EndFault

_CUTS: Final = ('return_and_cut', 'held_return_and_cut')
_SERIES: Final = ('calls_held', 'workers_return', *_CUTS)
_WORKERS: Final = [f'w{number}' for number in range(6)]
_THIRD_COUNT: Final = 2
_SEEDS: Final = range(20)
# Numbers of steps after which the soak ends; the last ends no series.
_STEPS_COUNTS: Final = (0, 1, 2, 3, 5, 8, 100)
_OWNER: Final = 'p1'
# A series that holds calls restarts workers 1 s later at most.
_SCHEDULE_S: Final = 1.1
_LEASE_MAX_MS: Final = 6000


class _FakeCell:
    """Records controls and kills."""

    def __init__(self) -> None:
        self.workers = _WORKERS
        self.daemons = {_OWNER: None}
        self.running = {_OWNER}
        self.processes = SimpleNamespace(
            is_running=lambda name: name in self.running,
            kill=self.running.remove,
        )
        self.start_daemon = self.running.add
        self.crashed: list[dict[str, int]] = []
        # Keys are names of controls, then names of faults.
        self.settings: dict[str, dict[str, Any]] = {}

    def owner(self) -> str:
        return _OWNER

    def control(self, **faults: Any) -> None:
        downs_ms = faults.pop('crash_workers', None)
        if downs_ms:
            self.crashed.append(downs_ms)
        for name, setting in faults.items():
            self.settings.setdefault(name, {}).update(setting)

    def active(self, name: str) -> list[Any]:
        settings = self.settings.get(name, {})
        return [setting for setting in settings.values() if setting]


def _begin(cell: Any, name: str, seed: int) -> EndFault:
    return FAULTS.lookup(name)(cell, random.Random(seed))


def _proceed(step: EndFault) -> EndFault | None:
    assert step.proceed is not None
    return step.proceed()


def _run_steps(cell: Any, name: str, seed: int, steps_max_count: int) -> None:
    """Run the steps of a series, and end it if it has more."""
    step = _begin(cell, name, seed)
    for _ in range(steps_max_count):
        next_step = _proceed(step)
        if next_step is None:
            return
        step = next_step
    step()


@pytest.mark.parametrize('name', _SERIES)
def test_series_ends_all_that_it_sets(name: str) -> None:
    """Guards against workers that stay cut off after the faults of a soak."""
    for seed, steps_max_count in product(_SEEDS, _STEPS_COUNTS):
        cell = _FakeCell()
        _run_steps(cell, name, seed, steps_max_count)
        assert cell.settings
        for control in cell.settings:
            assert not cell.active(control)
        assert cell.running == {_OWNER}


def test_overlapping_series_end_only_their_own_controls() -> None:
    """Guards against a series that ends the cut of another one."""
    cell: Any = _FakeCell()
    other = {'worker_silent': [_WORKERS[0]]}
    cell.control(silent_workers=other, delayed_calls={'x': {'w0': 700}})
    for seed in _SEEDS:
        _run_steps(cell, 'held_return_and_cut', seed, _STEPS_COUNTS[-1])
    assert cell.active('silent_workers') == [[_WORKERS[0]]]
    assert cell.active('delayed_calls') == [{'w0': 700}]


@pytest.mark.parametrize('name', _CUTS)
def test_cut_follows_the_restart_of_the_same_workers(name: str) -> None:
    """Guards against series in which no new incarnation is cut off."""
    for seed in _SEEDS:
        cell: Any = _FakeCell()
        step: EndFault | None = _begin(cell, name, seed)
        cuts_count = 0
        while step is not None:
            cut = cell.active('silent_workers')
            if cut:
                cuts_count += 1
                assert len(cut[0]) == _THIRD_COUNT
                assert sorted(cell.crashed[-1]) == cut[0]
            step = _proceed(step)
        assert 0 < cuts_count <= len(cell.crashed)


def test_calls_are_held_before_restarts() -> None:
    """Guards against series in which no call spans a restart."""
    for seed in _SEEDS:
        cell: Any = _FakeCell()
        step = _begin(cell, 'held_return_and_cut', seed)
        held = list(cell.active('delayed_calls')[0])
        assert not cell.crashed
        _proceed(step)
        assert list(cell.crashed[0]) == held


def test_kill_of_the_owner_names_the_daemon_until_it_is_started() -> None:
    """Guards against orders of a killed owner that count as in touch."""
    kills_count = 0
    for seed in _SEEDS:
        cell: Any = _FakeCell()
        step: EndFault | None = _begin(cell, 'return_and_cut', seed)
        while step is not None:
            killed = {_OWNER} - cell.running
            assert set(step.daemons) == killed
            if killed:
                kills_count += 1
                assert not cell.active('silent_workers')
            step = _proceed(step)
    assert kills_count


def test_schedule_plays_series_until_the_end_of_the_soak() -> None:
    """Guards against series that stop after a step, or outlast the soak."""
    cell: Any = _FakeCell()
    settings = SoakSettings(
        faults=('held_return_and_cut',), interval_max_s=1000
    )
    FaultSchedule(cell, settings).run(_SCHEDULE_S)
    assert 'delayed_calls' in cell.settings
    assert len(cell.crashed) == 1
    for control in cell.settings:
        assert not cell.active(control)


def test_long_tasks_outlast_leases() -> None:
    """Guards against a load in which overlapping runs are too short to see."""
    cell: Any = SimpleNamespace(
        daemons={'p0': None}, call=lambda *request: (200, {})
    )
    load = CallerLoad(cell, seed=1)
    load.run(LoadSettings(24, 0, 0, long_every=12))
    long_jobs = [
        job.name
        for job in load.jobs
        if all(
            phase['est_runtime_ms'] > _LEASE_MAX_MS
            for phase in job.document['phases']
        )
    ]
    assert long_jobs == [load.jobs[1].name, load.jobs[13].name]


def test_jobs_of_the_advised_queue_need_tickets() -> None:
    """Guards against starts that workers accept without the check of tickets.

    Deadly jobs and long ones must be in both queues.
    """
    paths: set[str] = set()

    def call(daemon: str, method: str, path: str, *document: Any) -> Any:
        paths.add(path)
        return 200, {}

    cell: Any = SimpleNamespace(daemons={'p0': None}, call=call)
    load = CallerLoad(cell, seed=1)
    load.run(
        LoadSettings(6, 0, 0, long_every=3, deadly_every=3, advised_every=2)
    )
    for number, job in enumerate(load.jobs):
        is_advised = number % 2 == 1
        behaviour = json.loads(job.document['spec'])
        assert behaviour.get('needs_ticket', False) is is_advised
        assert job.path in paths
        assert job.path.startswith('/appraisals/') is is_advised
        assert ('deadly_task' in behaviour) is (number in {1, 4})
