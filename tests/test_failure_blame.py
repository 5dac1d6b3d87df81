"""Tasks that fail everywhere, beside sound tasks and faulty workers."""

from itertools import pairwise
from typing import Final

import pytest

from fuchsiarill.clock import now_ms, sleep_ms
from fuchsiarill.graphs.model import EndKind, Step
from fuchsiarill.graphs.states import JobPhase
from fuchsiarill.graphs.worker_suspension import is_on_probation
from fuchsiarill.ids import JobId, WorkerId
from fuchsiarill.resources import Resources
from tests.graph_cell import P0, GraphCell, run_scenario
from tests.graph_owner import SIZE, Owner, ended, running, task

# Number of the last attempt that fails.
_ALWAYS: Final = 10**6
_SMALL: Final = Resources(500, 200)
_SOUND: Final = (Step(8, Resources(1000, 500)),)
_SOUND_MS: Final = 1500


async def _submit_failing_jobs(cell: GraphCell) -> None:
    """Submit two lasting jobs that fail at different speeds, and two others."""
    lasting = (Step(12, _SMALL, is_lasting=True),)
    await cell.submit(P0, 'l0', lasting, duration_ms=200, fails=_ALWAYS)
    await cell.submit(P0, 'l1', lasting, duration_ms=900, fails=_ALWAYS)
    batch = (Step(6, _SMALL),)
    await cell.submit(P0, 'f0', batch, duration_ms=100, fails=_ALWAYS)
    await cell.submit(P0, 'f1', batch, duration_ms=400, fails=_ALWAYS)


def test_failing_jobs_delay_no_sound_job() -> None:
    """Guards against workers that are suspended for the failures of jobs."""

    async def scenario(cell: GraphCell) -> None:
        await _submit_failing_jobs(cell)
        for number in range(15):
            await cell.submit(P0, f'j{number}', _SOUND, duration_ms=_SOUND_MS)
            await sleep_ms(1000)
        for number in range(15):
            await cell.wait_phase(f'j{number}', JobPhase.SUCCEEDED, 3000)

    run_scenario(scenario, workers_count=9)


def test_lasting_task_that_keeps_failing_starts_less_often() -> None:
    """Guards against a start each 200 ms, and against a task that stays down.

    A lasting task has to run again within 6 s of its last run.
    """

    async def scenario(cell: GraphCell) -> None:
        lasting = (Step(1, _SMALL, is_lasting=True),)
        started_ms = now_ms()
        await cell.submit(P0, 'a', lasting, duration_ms=200, fails=_ALWAYS)
        starts_ms: list[int] = []
        while now_ms() < started_ms + 30_000:
            await sleep_ms(10)
            if len(cell.fleet.starts) > len(starts_ms):
                starts_ms.append(now_ms())
        pauses_ms = [later - earlier for earlier, later in pairwise(starts_ms)]
        assert pauses_ms[0] < 500
        assert max(pauses_ms) < 6000
        assert len(starts_ms) < 15

    run_scenario(scenario)


def test_lasting_task_that_was_of_use_restarts_at_once() -> None:
    """Guards against a delay after the occasional end of a lasting task."""

    async def scenario(cell: GraphCell) -> None:
        lasting = (Step(1, _SMALL, is_lasting=True),)
        await cell.submit(P0, 'a', lasting, duration_ms=2500, fails=_ALWAYS)
        await sleep_ms(30_000)
        assert len(cell.fleet.starts) >= 11

    run_scenario(scenario)


@pytest.mark.parametrize('faulty_count', [1, 2, 4])
def test_faulty_workers_are_found_beside_failing_jobs(
    faulty_count: int,
) -> None:
    """Guards against faulty workers that pass for sound beside such jobs."""

    async def scenario(cell: GraphCell) -> None:
        faulty = {f'w{number}' for number in range(faulty_count)}
        for name in faulty:
            cell.fleet.agents[name].fails_all = True
        await _submit_failing_jobs(cell)
        for number in range(10):
            await cell.submit(P0, f'j{number}', _SOUND, duration_ms=_SOUND_MS)
            await sleep_ms(1000)
        for number in range(10):
            await cell.wait_phase(f'j{number}', JobPhase.SUCCEEDED, 6000)
        wasted = [
            row
            for row in cell.fleet.starts
            if row[2] in faulty and row[0].job.startswith('j')
        ]
        # The eight tasks of a job may start together, one more on probation.
        assert len(wasted) <= 9 * faulty_count

    run_scenario(scenario, workers_count=9)


def _fail_both_tasks(owner: Owner, worker: str, attempt: int) -> None:
    """Report failures of the two tasks of job `a` on a worker."""
    for position in range(2):
        key = task('a', position=position)
        row = ended(key, position + 1, EndKind.FAILED, attempt)
        owner.report(worker, ended=(row,))


def _is_suspended(owner: Owner, worker: str) -> bool:
    return owner.view(worker).failure_record.suspended_until_ms > owner.now_ms


def test_failures_of_a_task_to_blame_are_withdrawn() -> None:
    """Guards against a suspension that outlasts the reason for it.

    The worker stays on probation: three faulty workers look the same.
    """
    owner = Owner('w0', 'w1', 'w2', 'w3')
    for name in ('w0', 'w1', 'w2', 'w3'):
        owner.report(name)
    owner.add_job('a', Step(2, SIZE, is_lasting=True))
    owner.starts()
    for attempt, name in enumerate(('w0', 'w1'), start=1):
        _fail_both_tasks(owner, name, attempt)
        assert _is_suspended(owner, name)
    _fail_both_tasks(owner, 'w2', 3)
    for name in ('w0', 'w1', 'w2'):
        assert not _is_suspended(owner, name)
    assert is_on_probation(owner.view('w0'))
    assert not is_on_probation(owner.view('w3'))


def test_failure_on_probation_suspends_at_once() -> None:
    """Guards against faulty workers that are taken for sound ones.

    They have failed the same job first, which was blamed for that.
    """
    owner = Owner('w0', 'w1', 'w2')
    owner.report('w0')
    owner.view('w0').failure_record.suspensions_count = 1
    owner.add_job('a', Step(1, SIZE))
    assert len(owner.starts()) == 1
    owner.report('w0', ended=(ended(task('a'), 1, EndKind.FAILED),))
    assert _is_suspended(owner, 'w0')


def test_run_that_outlives_the_failures_clears_its_step() -> None:
    """Guards against a sound step that is blamed for three faulty workers."""
    names = ('w0', 'w1', 'w2', 'w3', 'w4')
    owner = Owner(*names)
    for name in names:
        owner.report(name)
    owner.add_job('a', Step(8, SIZE))
    placed = {start.task: start.worker for start in owner.starts()}
    by_worker = {worker: key for key, worker in placed.items()}
    survivor = by_worker.popitem()
    for worker, key in list(by_worker.items())[:3]:
        owner.report(worker, ended=(ended(key, 1, EndKind.FAILED),))
    step = next(iter(owner.core.state.jobs[JobId('a')].steps.values()))
    assert step.failures.is_to_blame
    owner.now_ms += 1000
    owner.report(survivor[0], (running(survivor[1]),))
    assert not step.failures.is_to_blame


def test_probation_run_is_not_spent_on_a_task_to_blame() -> None:
    """Guards against a worker that can't leave its probation.

    Its one run goes to a task that fails everywhere, so it is suspended again.
    """
    owner = Owner('w0', 'w1')
    owner.report('w0')
    owner.report('w1')
    owner.add_job('a', Step(1, SIZE, is_lasting=True))
    owner.starts()
    step = next(iter(owner.core.state.jobs[JobId('a')].steps.values()))
    owner.report('w0', ended=(ended(task('a'), 1, EndKind.FAILED),))
    assert step.failures.workers == {'w0'}
    step.failures.add(WorkerId('w2'), 100, is_on_probation=False)
    for name in ('w0', 'w1'):
        record = owner.view(name).failure_record
        record.suspensions_count = 1
        record.suspended_until_ms = owner.now_ms
    owner.now_ms += 600
    assert not owner.starts()
    owner.add_job('b', Step(1, SIZE))
    assert [start.task for start in owner.starts()] == [task('b')]
    # Nothing else wants the other worker, so the lasting task gets it.
    owner.now_ms += 2500
    assert [start.task for start in owner.starts()] == [task('a')]
