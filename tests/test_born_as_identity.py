"""Start times of workers, which tell incarnations apart and order nothing.

The time of day of a host may be set back before its worker starts again, and a
directory entry may be older than what the owner knows. Each test of a cell ends
with a check that no task ran twice or after its success.
"""

from dataclasses import replace
from typing import Final

import pytest

from fuchsiarill.clock import sleep_ms
from fuchsiarill.graphs.effects import FenceIncarnation
from fuchsiarill.graphs.model import BornMs, Step, WorkerListing
from fuchsiarill.graphs.progress import UnitKey
from fuchsiarill.graphs.states import JobPhase, RunState
from fuchsiarill.ids import JobId, WorkerId
from standins.agent_incarnation import AgentModel
from standins.outages import Outage
from tests.graph_cell import (
    CAPACITY,
    P0,
    GraphCell,
    owner_of,
    run_scenario,
)
from tests.graph_owner import SIZE, Owner, entry, running, task
from tests.worker_restarts import (
    FIRST_LIFE_MS,
    OTHER_WORKER,
    RUN_MS,
    STEP,
    WORKER,
    submit_delayed,
)

# Longer than the life of the cell, so below the start time of the first one.
_SET_BACK_MS: Final = 60_000
_FIRST_BORN_MS: Final = 5000
_SECOND_BORN_MS: Final = 2000


def _restart_set_back(cell: GraphCell) -> AgentModel:
    """Restart the worker; its start time is below that of the former one.

    Open connections to it stay without an answer.
    """
    agent = cell.fleet.add(WORKER, CAPACITY, outage=Outage.SILENT)
    agent.set_back(_SET_BACK_MS)
    return agent


def _list_incarnation(cell: GraphCell, born_ms: BornMs) -> None:
    former = cell.entries[WORKER]
    cell.entries[WORKER] = replace(former, born_ms=born_ms)
    cell.list_worker(WORKER)


def test_set_back_worker_that_reports_gets_runs() -> None:
    """Guards against a worker that stays unusable until the owner changes.

    The directory lists the incarnation, and so its labels, after its report.
    A run of the former one starts again.
    """

    async def scenario(cell: GraphCell) -> None:
        await sleep_ms(FIRST_LIFE_MS)
        await cell.submit(P0, 'a', STEP, duration_ms=3000)
        await sleep_ms(2500)
        agent = _restart_set_back(cell)
        await sleep_ms(1500)
        assert len(cell.fleet.starts) == 1
        _list_incarnation(cell, agent.born_ms)
        await cell.wait_phase('a', JobPhase.SUCCEEDED, 10_000)
        assert len(cell.fleet.starts) == 2

    run_scenario(scenario, processes_count=1, workers_count=1)


def test_set_back_worker_that_is_listed_is_called_at_once() -> None:
    """Guards against an entry that is ignored for its lower start time.

    A renewal is held by a connection on which nothing answers any more.
    """

    async def scenario(cell: GraphCell) -> None:
        await sleep_ms(FIRST_LIFE_MS)
        await cell.submit(P0, 'a', STEP, duration_ms=RUN_MS)
        await sleep_ms(2500)
        agent = _restart_set_back(cell)
        _list_incarnation(cell, agent.born_ms)
        await sleep_ms(300)
        assert len(cell.fleet.starts) == 2
        assert agent.runs

    run_scenario(scenario, processes_count=1, workers_count=1)


def test_runs_of_a_listed_set_back_worker_start_elsewhere() -> None:
    """Guards against runs that wait for an incarnation that is cut off."""

    async def scenario(cell: GraphCell) -> None:
        await sleep_ms(FIRST_LIFE_MS)
        await cell.submit(P0, 'a', STEP, duration_ms=3000)
        await sleep_ms(100)
        agent = _restart_set_back(cell)
        agent.is_silent = True
        _list_incarnation(cell, agent.born_ms)
        cell.add_worker(OTHER_WORKER)
        await cell.wait_phase('a', JobPhase.SUCCEEDED, 10_000)

    run_scenario(scenario, processes_count=1, workers_count=1)


def test_new_owner_waits_for_late_calls_on_a_set_back_worker() -> None:
    """Guards against a second run beside that of a late call.

    The listed incarnation executes a start of the former owner while it is cut
    off. The new owner takes it for the one that the former owner knew.
    """

    async def scenario(cell: GraphCell) -> None:
        await submit_delayed(cell, 8000)
        agent = _restart_set_back(cell)
        agent.is_silent = True
        _list_incarnation(cell, agent.born_ms)
        cell.add_worker(OTHER_WORKER)
        await sleep_ms(300)
        await cell.kill(owner_of(cell))
        await cell.wait_phase('a', JobPhase.SUCCEEDED, 60_000)

    run_scenario(scenario, processes_count=2, workers_count=1)


@pytest.mark.parametrize('is_set_back', [False, True])
@pytest.mark.parametrize('is_owner_new', [False, True])
def test_stale_entry_ends_no_runs(
    *, is_set_back: bool, is_owner_new: bool
) -> None:
    """Guards against runs that start twice because of an outdated entry.

    It lists the former incarnation again and again; a new owner has seen
    nothing of that one.
    """

    async def scenario(cell: GraphCell) -> None:
        await sleep_ms(FIRST_LIFE_MS)
        former_born_ms = cell.fleet.agents[WORKER].born_ms
        cell.add_worker(WORKER)
        if is_set_back:
            cell.fleet.agents[WORKER].set_back(_SET_BACK_MS)
            _list_incarnation(cell, cell.fleet.agents[WORKER].born_ms)
        await sleep_ms(3000)
        await cell.submit(owner_of(cell), 'a', STEP, duration_ms=RUN_MS)
        await sleep_ms(300)
        if is_owner_new:
            await cell.kill(owner_of(cell))
            await sleep_ms(8000)
        token = cell.fleet.agents[WORKER].token
        for _ in range(3):
            _list_incarnation(cell, cell.fleet.agents[WORKER].born_ms)
            await sleep_ms(300)
            _list_incarnation(cell, former_born_ms)
            await sleep_ms(300)
        await cell.wait_phase('a', JobPhase.SUCCEEDED, 30_000)
        assert len(cell.fleet.starts) == 1
        # An entry of an unknown incarnation is checked once.
        renewed = cell.fleet.agents[WORKER].token
        assert renewed.sequence == token.sequence + int(is_owner_new)

    run_scenario(scenario, processes_count=2, workers_count=1)


def _owner_with_run() -> Owner:
    """Return an owner of a run in the second, set back incarnation."""
    owner = Owner('w0')
    owner.report('w0', born_ms=_FIRST_BORN_MS)
    owner.report('w0', born_ms=_SECOND_BORN_MS)
    owner.add_job('a', Step(1, SIZE))
    owner.starts()
    owner.report('w0', (running(task('a')),), born_ms=_SECOND_BORN_MS)
    return owner


def test_overtaken_report_of_a_former_incarnation_ends_no_runs() -> None:
    """Guards against a late report that is taken for that of a restart.

    Its start time is the higher one. A channel that has been replaced may have
    received it.
    """
    owner = _owner_with_run()
    owner.report('w0', born_ms=_FIRST_BORN_MS)
    assert owner.view('w0').born_ms == _SECOND_BORN_MS
    assert owner.view('w0').runs


@pytest.mark.parametrize(
    'listed_born_ms', [_FIRST_BORN_MS, _SECOND_BORN_MS - 1, 9000]
)
def test_listed_incarnation_is_asked_about_once(listed_born_ms: int) -> None:
    """Guards against a call under a new token for each change of an entry.

    The incarnation that answers keeps its runs, whichever is listed.
    """
    owner = _owner_with_run()
    owner.core.take_effects()
    listed = replace(entry('w0'), born_ms=BornMs(listed_born_ms))
    for _ in range(3):
        owner.core.update_workers([listed], owner.now_ms)
    calls = [
        effect
        for effect in owner.core.take_effects()
        if isinstance(effect, FenceIncarnation)
    ]
    assert len(calls) == int(listed_born_ms != _FIRST_BORN_MS)
    owner.report('w0', (running(task('a')),), born_ms=_SECOND_BORN_MS)
    run = owner.view('w0').runs[task('a'), 1]
    assert run.state is RunState.RUNNING


def test_listed_incarnation_that_reports_ends_the_runs_of_the_former() -> None:
    """Guards against runs that stay on a worker that has restarted."""
    owner = _owner_with_run()
    listed_born_ms = _SECOND_BORN_MS - 1
    listed = replace(entry('w0'), born_ms=BornMs(listed_born_ms))
    owner.core.update_workers([listed], owner.now_ms)
    owner.report('w0', born_ms=listed_born_ms)
    assert not owner.view('w0').runs
    assert [start.attempt for start in owner.starts()] == [2]


def _crashes_count(owner: Owner) -> int:
    progress = owner.core.state.jobs[JobId('a')].progress
    return progress.crashes_count(UnitKey(0, 0, 0))


@pytest.mark.parametrize('is_forgotten', [False, True])
@pytest.mark.parametrize('is_lease_expired', [False, True])
def test_crash_before_a_set_back_start_counts(
    *, is_lease_expired: bool, is_forgotten: bool
) -> None:
    """Guards against a deadly task that is never given up on such a host.

    The owner may have forgotten the worker meanwhile.
    """
    owner = _owner_with_run()
    if is_lease_expired or is_forgotten:
        owner.now_ms += 30_000
        owner.decide()
    if is_forgotten:
        owner.core.state.workers.remove(WorkerId('w0'))
        owner.core.update_workers([entry('w0')], owner.now_ms)
    owner.report('w0', born_ms=_SECOND_BORN_MS - 1)
    assert _crashes_count(owner) == 1


def test_set_back_worker_at_the_address_proves_the_end() -> None:
    """Guards against an uncounted crash if the successor's time is set back."""
    owner = _owner_with_run()
    owner.core.update_workers([], owner.now_ms)
    owner.now_ms += 30_000
    owner.decide()
    owner.core.state.workers.remove(WorkerId('w0'))
    successor = replace(entry('w2'), address='w0:1', born_ms=BornMs(1))
    owner.core.update_workers([successor], owner.now_ms)
    assert _crashes_count(owner) == 1


def test_earlier_worker_at_the_address_proves_no_end() -> None:
    """Guards against a crash that an outdated entry of another worker proves.

    The worker had taken the address over, and is only cut off.
    """
    predecessor = replace(entry('w2'), address='w0:1', born_ms=BornMs(9000))
    owner = _owner_with_run()
    owner.core.update_workers([predecessor, entry('w0')], owner.now_ms)
    owner.report('w0', (running(task('a')),), born_ms=_SECOND_BORN_MS)
    owner.now_ms += 30_000
    owner.decide()
    owner.core.update_workers([predecessor, entry('w0')], owner.now_ms)
    assert not _crashes_count(owner)


def test_planned_end_is_no_crash_if_the_next_start_is_listed_first() -> None:
    """Guards against a crash that counts for the tasks of a leaving worker.

    The directory lists the next incarnation as live before it has reported.
    """
    owner = _owner_with_run()
    present = replace(entry('w0'), born_ms=BornMs(_SECOND_BORN_MS))
    leaving = replace(present, listing=WorkerListing.LEAVING)
    owner.core.update_workers([leaving], owner.now_ms)
    owner.decide()
    restarted = replace(present, born_ms=BornMs(_SECOND_BORN_MS - 1))
    owner.core.update_workers([restarted], owner.now_ms)
    owner.decide()
    owner.report('w0', born_ms=_SECOND_BORN_MS - 1)
    assert not _crashes_count(owner)
    assert [start.attempt for start in owner.starts()] == [2]
