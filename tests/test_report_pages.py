"""Reports that lack some ends: a worker lists its ends in pages.

It lists the next page once the ends of the first one are acknowledged, which
takes a write to the store. Until then a run that is neither listed as running
nor as ended may have succeeded.
"""

from typing import Final

import pytest

from fuchsiarill.clock import now_ms, sleep_ms
from fuchsiarill.graphs.effects import StopRun
from fuchsiarill.graphs.model import Step, WorkerListing
from fuchsiarill.graphs.states import JobPhase
from fuchsiarill.ids import JobId, WorkerId
from fuchsiarill.ports.agents import AgentFailure
from fuchsiarill.resources import Resources
from standins.store_model import PathFault
from tests.graph_cell import (
    P0,
    GraphCell,
    Scenario,
    owner_of,
    run_scenario,
)
from tests.graph_owner import SIZE, Owner, ended, entries, running, task

_PAGE_COUNT: Final = 5
_TASKS_COUNT: Final = 40
_SMALL_TASKS: Final = (Step(_TASKS_COUNT, Resources(100, 100)),)


def _owner_with_two_runs() -> Owner:
    """Return an owner whose only worker is full with two tasks of a job."""
    owner = Owner('w0')
    owner.report('w0')
    owner.add_job('a', Step(2, SIZE))
    assert len(owner.starts()) == 2
    for position in range(2):
        key = task('a', position=position)
        owner.core.start_answered(WorkerId('w0'), key, 1, None, owner.now_ms)
    return owner


def _owner_with_an_unseen_end() -> Owner:
    """Return an owner that has seen the end of only one of two runs."""
    owner = _owner_with_two_runs()
    owner.report('w0', ended=(ended(task('a')),), has_more_ends=True)
    return owner


def test_run_whose_end_is_not_listed_yet_does_not_start_again() -> None:
    """Guards against a second run of a task whose success came a page later."""
    owner = _owner_with_an_unseen_end()
    owner.core.update_workers(entries('w0', 'w1'), owner.now_ms)
    owner.core.record_workers([WorkerId('w1')])
    owner.report('w1')
    assert not owner.starts()
    owner.report('w0', ended=(ended(task('a', position=1), 2),))
    assert not owner.starts()
    entry = owner.core.state.jobs[JobId('a')]
    assert entry.progress.phase is JobPhase.SUCCEEDED


def test_run_that_no_page_lists_starts_again() -> None:
    """Guards against a run that is waited for after all ends are listed."""
    owner = _owner_with_an_unseen_end()
    owner.report('w0')
    assert [start.task for start in owner.starts()] == [task('a', position=1)]


def test_room_of_a_run_is_taken_until_its_end_is_listed() -> None:
    """Guards against starts on a worker whose reports lack ends.

    Their own ends would be listed after all the others.
    """
    owner = _owner_with_an_unseen_end()
    owner.add_job('b', Step(1, SIZE))
    assert not owner.starts()
    view = owner.view('w0')
    assert view.allocated == SIZE
    owner.report('w0', ended=(ended(task('a', position=1), 2),))
    assert [start.task for start in owner.starts()] == [task('b')]


def test_stopped_run_is_waited_for_until_its_end_is_listed() -> None:
    """Guards against a stop that counts as done because of a full page.

    The run may have succeeded before the stop arrived.
    """
    owner = _owner_with_two_runs()
    owner.core.cancel_job(JobId('a'), owner.now_ms)
    orders = [row for row in owner.decide() if isinstance(row, StopRun)]
    assert len(orders) == 2
    for order in orders:
        owner.core.stop_answered(
            order.worker, order.task, order.attempt, None, owner.now_ms
        )
    owner.report('w0', ended=(ended(task('a')),), has_more_ends=True)
    view = owner.view('w0')
    assert view.allocated == SIZE
    owner.report('w0')
    assert not view.runs


def test_unseen_end_is_no_crash() -> None:
    """Guards against a crash counted for a run that had ended before it."""
    owner = _owner_with_an_unseen_end()
    owner.core.worker_failed(
        WorkerId('w0'), AgentFailure.OTHER_WORKER, owner.now_ms
    )
    owner.report('w0', born_ms=2)
    owner.list_incarnation('w0', 2)
    entry = owner.core.state.jobs[JobId('a')]
    assert not entry.progress.crashed_attempts
    assert [start.task for start in owner.starts()] == [task('a', position=1)]


def test_restart_releases_a_run_whose_end_was_not_listed() -> None:
    """Guards against a run that waits for a page of an ended incarnation."""
    owner = _owner_with_two_runs()
    owner.report('w0', (running(task('a', position=1)),))
    owner.report('w0', ended=(ended(task('a')),), has_more_ends=True)
    owner.report('w0', born_ms=2)
    owner.list_incarnation('w0', 2)
    started = {start.task for start in owner.starts()}
    assert started == {task('a', position=1)}


def test_inherited_job_waits_for_all_pages() -> None:
    """Guards against a start by a new owner that has read only one page."""
    owner = Owner('w0', term=2)
    owner.core.add_inherited_worker(WorkerId('w0'), 'w0:1', owner.now_ms + 5000)
    owner.add_job('a', Step(2, SIZE), is_inherited=True)
    owner.report('w0', ended=(ended(task('a')),), has_more_ends=True)
    assert not owner.starts()
    owner.report('w0')
    assert [start.task for start in owner.starts()] == [task('a', position=1)]


def test_leaving_worker_stays_leaving_after_a_page() -> None:
    """Guards against starts on a leaving worker once its last page came."""
    owner = _owner_with_an_unseen_end()
    owner.core.update_workers(
        entries('w0', listing=WorkerListing.LEAVING), owner.now_ms
    )
    owner.report('w0')
    assert not owner.starts()


async def _refuse_store_calls(cell: GraphCell) -> None:
    for path in cell.paths.values():
        path.fault = PathFault.REFUSED
    await sleep_ms(4200)
    for path in cell.paths.values():
        path.fault = PathFault.NONE


async def _kill_owner(cell: GraphCell) -> None:
    # The ends come while no process owns the pool.
    await sleep_ms(300)
    await cell.kill(owner_of(cell))


async def _drain_owner(cell: GraphCell) -> None:
    owner = owner_of(cell)
    cell.paths[owner].fault = PathFault.REFUSED
    await sleep_ms(1600)
    cell.processes[owner].drain()


@pytest.mark.parametrize(
    'disrupt', [_refuse_store_calls, _kill_owner, _drain_owner]
)
def test_tasks_with_many_unacknowledged_ends_run_once(
    disrupt: Scenario,
) -> None:
    """Guards against second runs while ends can't be acknowledged.

    That is so in an outage of the store, and between two owners.
    """

    async def scenario(cell: GraphCell) -> None:
        for agent in cell.fleet.agents.values():
            agent.ends_page_count = _PAGE_COUNT
        await cell.submit(P0, 'a', _SMALL_TASKS, duration_ms=1500)
        await sleep_ms(500)
        assert len(cell.fleet.starts) == _TASKS_COUNT
        await disrupt(cell)
        recovered_ms = now_ms()
        await cell.wait_phase('a', JobPhase.SUCCEEDED, 9000)
        assert len(cell.fleet.starts) == _TASKS_COUNT
        assert now_ms() - recovered_ms < 8000

    run_scenario(scenario)
