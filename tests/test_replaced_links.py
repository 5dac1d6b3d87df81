"""Attempts that are under way while the link to their worker is replaced.

The address of a worker changes, it leaves the host list, or the owner changes.
"""

from collections.abc import Awaitable, Callable
from dataclasses import replace
from typing import Final

import pytest

from fuchsiarill import codes
from fuchsiarill.answers import JobAnswer
from fuchsiarill.clock import run_paused, sleep_ms
from fuchsiarill.job import Execution
from fuchsiarill.workers import HostState
from tests.builders import cell, host, spec
from tests.fakes import FakeWorker
from tests.world import World, job_id_of

_RUN_TIME_MS: Final = 60_000
_TASK_LEASE_MS: Final = 4_000
# Longer than a takeover.
_LONG_LEASE_MS: Final = 15_000
# Longer than the interval of reading the host list.
_LIST_DELAY_MS: Final = 1_500
# Longer than a worker may be without contact before it counts as silent.
_SILENCE_MS: Final = 7_000
_SETTLED_MS: Final = 20_000


async def _start_world(
    processes_count: int = 1, task_lease_ms: int = _TASK_LEASE_MS
) -> World:
    world = World(cell(task_lease_ms=task_lease_ms))
    for _ in range(processes_count):
        world.start()
    await world.until_owned()
    await sleep_ms(_LIST_DELAY_MS)
    return world


async def _submit(world: World, execution: Execution) -> JobAnswer:
    """Submit a job that outlasts the faults of a test."""
    owner = await world.until_owned()
    job = spec('job', execution, run_time_ms=_RUN_TIME_MS)
    return await world.submit_one(owner, job)


async def _run_job(world: World, execution: Execution) -> tuple[JobAnswer, str]:
    """Submit a job; return its answer and the worker that runs it."""
    answer = await _submit(world, execution)
    await sleep_ms(500)
    return answer, _runner(world)


def _runner(world: World) -> str:
    names = [name for name, worker in world.workers.items() if worker.running()]
    assert len(names) == 1
    return names[0]


def _change_address(world: World, name: str, restarts: bool = True) -> None:
    """Let a worker return at another address."""
    worker = world.workers.pop(name)
    if restarts:
        worker.restart()
    address = f'{name}-moved'
    world.workers[address] = worker
    world.hosts[name] = replace(world.hosts[name], address=address)


async def _restart_elsewhere(world: World, name: str) -> None:
    """Restart a worker at a new address."""
    _change_address(world, name)


async def _restart_elsewhere_after_cut(world: World, name: str) -> None:
    """Restart a worker at a new address after it was cut off."""
    world.workers[name].is_cut = True
    await sleep_ms(_LIST_DELAY_MS)
    world.workers[name].is_cut = False
    _change_address(world, name)


async def _return_restarted(world: World, name: str) -> None:
    """Restart a worker that has left the host list for a while."""
    entry = world.hosts.pop(name)
    await sleep_ms(_LIST_DELAY_MS)
    world.workers[name].restart()
    world.hosts[name] = entry


async def _return_elsewhere(world: World, name: str) -> None:
    """Restart a worker at a new address after it has left the host list."""
    entry = world.hosts.pop(name)
    await sleep_ms(_LIST_DELAY_MS)
    world.hosts[name] = entry
    _change_address(world, name)


async def _end_unlisted(world: World, name: str) -> None:
    """End a worker that has reported since it left the host list."""
    world.hosts.pop(name)
    await sleep_ms(_SILENCE_MS)
    world.workers[name].is_cut = True


async def _end_after_relisting(world: World, name: str) -> None:
    """End a worker after the notice of its end was withdrawn."""
    entry = world.hosts[name]
    world.hosts[name] = replace(entry, state=HostState.LEAVING)
    await sleep_ms(_LIST_DELAY_MS)
    world.workers[name].is_cut = True
    world.hosts[name] = entry


async def _restart_elsewhere_under_new_owner(world: World, name: str) -> None:
    """Restart a worker at a new address while the owner changes."""
    await world.kill(await world.until_owned())
    _change_address(world, name)


_Fault = Callable[[World, str], Awaitable[None]]


@pytest.mark.parametrize('execution', list(Execution))
@pytest.mark.parametrize(
    'end_worker',
    [
        _restart_elsewhere,
        _restart_elsewhere_after_cut,
        _return_restarted,
        _return_elsewhere,
        _end_unlisted,
        _end_after_relisting,
        _restart_elsewhere_under_new_owner,
    ],
)
def test_attempt_of_ended_worker_is_settled(
    end_worker: _Fault, execution: Execution
) -> None:
    """Guards against a job that stays running after its worker has ended.

    An idempotent task runs again, an at-most-once task is unknown and is not
    started again.
    """

    async def main() -> None:
        world = await _start_world(processes_count=2)
        answer, name = await _run_job(world, execution)
        await end_worker(world, name)
        await sleep_ms(_SETTLED_MS)
        owner = await world.until_owned()
        settled = await world.query(owner, job_id_of(answer))
        if execution is Execution.AT_MOST_ONCE:
            assert settled.code is codes.JOB_UNKNOWN
            assert world.starts_of(answer) == 1
        else:
            assert world.starts_of(answer) == 2
            assert max(world.running_copies().values()) == 1
        await world.stop()

    run_paused(main())


@pytest.mark.parametrize('execution', list(Execution))
def test_task_outlives_a_change_of_address(execution: Execution) -> None:
    """Guards against a second start of a task that has never stopped."""

    async def main() -> None:
        world = await _start_world()
        answer, name = await _run_job(world, execution)
        _change_address(world, name, restarts=False)
        owner = await world.until_owned()
        settled = await world.query(
            owner, job_id_of(answer), _RUN_TIME_MS + _SETTLED_MS
        )
        assert settled.code is codes.JOB_SUCCEEDED
        assert world.starts_of(answer) == 1
        await world.stop()

    run_paused(main())


@pytest.mark.parametrize('execution', list(Execution))
@pytest.mark.parametrize('lost_message', ['lost_requests', 'lost_answers'])
@pytest.mark.parametrize('restarts', [False, True])
def test_start_in_progress_at_a_change_of_address_is_settled(
    lost_message: str, execution: Execution, restarts: bool
) -> None:
    """Guards against a start without an answer that nothing resolves.

    The link was replaced before the call had failed, and the new one did not
    know of the start.
    """

    async def main() -> None:
        world = await _start_world()
        owner = await world.until_owned()
        getattr(owner.link, lost_message)['start'] = 1
        answer = await _submit(world, execution)
        await sleep_ms(100)
        links = owner.campaign.snapshot()['owner']['links']
        holders = [
            name
            for name, link in links.items()
            if link['unanswered_starts_count']
        ]
        assert len(holders) == 1
        _change_address(world, holders[0], restarts=restarts)
        settled = await world.query(
            owner, job_id_of(answer), _RUN_TIME_MS + 2 * _SETTLED_MS
        )
        may_have_run = restarts and execution is Execution.AT_MOST_ONCE
        if may_have_run:
            assert settled.code is codes.JOB_UNKNOWN
        else:
            assert settled.code is codes.JOB_SUCCEEDED
        assert max(world.running_copies().values(), default=0) <= 1
        if execution is Execution.AT_MOST_ONCE:
            assert world.starts_of(answer) <= 1
        await world.stop()

    run_paused(main())


@pytest.mark.parametrize('execution', list(Execution))
def test_report_of_another_worker_at_the_address_ends_nothing(
    execution: Execution,
) -> None:
    """Guards against a second start of a task that still runs.

    The host list lags: the address of a running worker already belongs to
    another one, whose reports do not list the task.
    """

    async def main() -> None:
        world = await _start_world(task_lease_ms=_LONG_LEASE_MS)
        answer, name = await _run_job(world, execution)
        entry = world.hosts[name]
        world.workers['w3'] = FakeWorker('w3', 0)
        world.hosts['w3'] = host('w3')
        await sleep_ms(_LIST_DELAY_MS)
        _change_address(world, name, restarts=False)
        moved_entry = world.hosts[name]
        world.hosts[name] = entry
        world.workers[name] = world.workers.pop('w3')
        await sleep_ms(_SILENCE_MS)
        world.hosts[name] = moved_entry
        owner = await world.until_owned()
        settled = await world.query(
            owner, job_id_of(answer), _RUN_TIME_MS + _SETTLED_MS
        )
        assert settled.code is codes.JOB_SUCCEEDED
        assert world.starts_of(answer) == 1
        await world.stop()

    run_paused(main())


async def _take_over_without(world: World, name: str) -> None:
    """Let another owner take over while a worker is not in the host list."""
    world.hosts.pop(name)
    await sleep_ms(_LIST_DELAY_MS)
    await world.kill(await world.until_owned())
    await world.until_owned()
    # The other worker has reported, which ends the recovery.
    await sleep_ms(_LIST_DELAY_MS)


def test_restored_attempt_of_a_returned_worker_is_settled() -> None:
    """Guards against an inherited order that stays running without an end.

    Its worker returns to the host list once the recovery has ended, reports
    the task, and then ends.
    """

    async def main() -> None:
        world = await _start_world(2, _LONG_LEASE_MS)
        answer, name = await _run_job(world, Execution.AT_MOST_ONCE)
        entry = world.hosts[name]
        await _take_over_without(world, name)
        world.hosts[name] = entry
        await sleep_ms(_LIST_DELAY_MS)
        assert world.workers[name].running()
        world.workers[name].is_cut = True
        await sleep_ms(2 * _LONG_LEASE_MS)
        owner = await world.until_owned()
        settled = await world.query(owner, job_id_of(answer))
        assert settled.code is codes.JOB_UNKNOWN
        assert world.starts_of(answer) == 1
        await world.stop()

    run_paused(main())


def test_restored_attempt_of_a_returned_worker_holds_its_resources() -> None:
    """Guards against a worker that is overcommitted after a takeover."""

    async def main() -> None:
        world = await _start_world(2, _LONG_LEASE_MS)
        _answer, name = await _run_job(world, Execution.AT_MOST_ONCE)
        entry = world.hosts[name]
        await _take_over_without(world, name)
        world.hosts[name] = entry
        await sleep_ms(_LIST_DELAY_MS)
        owner = await world.until_owned()
        service = owner.campaign.children.service
        assert service is not None
        view = service.owner.core.state.workers[entry.worker_id]
        assert len(view.attempts) == 1
        await world.stop()

    run_paused(main())


def test_task_on_a_worker_that_left_in_the_recovery_runs_once() -> None:
    """Guards against two copies of a task that a new owner does not know of.

    The new owner can't reach the worker of the first copy, which leaves the
    host list before its leases must have expired.
    """

    async def main() -> None:
        world = await _start_world(2, _LONG_LEASE_MS)
        answer, name = await _run_job(world, Execution.IDEMPOTENT)
        await world.kill(await world.until_owned())
        world.processes[0].link.unreachable.add(name)
        await world.until_owned()
        await sleep_ms(_LIST_DELAY_MS)
        world.hosts.pop(name)
        while world.starts_of(answer) == 1:
            await sleep_ms(_LIST_DELAY_MS)
        assert max(world.running_copies().values()) == 1
        await world.stop()

    run_paused(main())


def test_task_on_an_unlisted_worker_runs_once_after_a_takeover() -> None:
    """Guards against two copies of a task that a new owner does not know of.

    The worker of the first copy has left the host list before the takeover.
    """

    async def main() -> None:
        world = await _start_world(2, _LONG_LEASE_MS)
        await _run_job(world, Execution.IDEMPOTENT)
        world_runner = _runner(world)
        await _take_over_without(world, world_runner)
        assert max(world.running_copies().values()) == 1
        await world.stop()

    run_paused(main())
