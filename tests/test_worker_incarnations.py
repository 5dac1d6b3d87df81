"""Exchanges that are delayed until the next incarnation of their worker."""

import json
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import replace
from pathlib import Path
from typing import Any, Final

import pytest
from returns.result import Failure, Result, Success

from fuchsiarill import codes
from fuchsiarill.actor import Reply
from fuchsiarill.answers import JobAnswer
from fuchsiarill.cell_config import Amounts
from fuchsiarill.clock import run_paused, sleep_ms
from fuchsiarill.ids import FailureDomain, RackId, WorkerId
from fuchsiarill.job import Execution
from fuchsiarill.ports.http_ports import EXCHANGES, REPORTS
from fuchsiarill.ports.workers import ExchangeFailure
from fuchsiarill.workers import Exchange, WorkerReport
from standins.stand_in import Call, StandInReply
from standins.worker import WorkerStandIn
from standins.worker_log import LogKind, read_log
from standins.worker_settings import WorkerDefinition, WorkerProcessSettings
from tests.builders import REGION, cell, spec
from tests.world import World, job_id_of

_CALL_TIMEOUT_MS: Final = 2_000
_RUN_TIME_MS: Final = 20_000
_TASK_LEASE_MS: Final = 4_000
_LONG_LEASE_MS: Final = 15_000
_LONG_RUN_TIME_MS: Final = 120_000
# The owner resolves a lost start within this time.
_RESOLUTION_MS: Final = 6_000
_POLL_INTERVAL_MS: Final = 10
_UPTIME_MS: Final = 3_600_000


class _StandInPort:
    """`WorkerPort` of worker stand-ins that run in the loop of the test."""

    def __init__(self, workers: dict[str, WorkerStandIn]) -> None:
        self.unreachable: set[str] = set()
        self.workers_by_address = dict(workers)

    async def exchange(
        self, address: str, request: Exchange
    ) -> Result[WorkerReport, ExchangeFailure]:
        worker = self.workers_by_address.get(address)
        if worker is None or address in self.unreachable:
            await sleep_ms(_CALL_TIMEOUT_MS)
            return Failure(ExchangeFailure.NO_ANSWER)
        body = EXCHANGES.dump_json(request)
        try:
            answer = await _call(worker, '/v1/exchange', body)
        except TimeoutError:
            return Failure(ExchangeFailure.NO_ANSWER)
        return Success(REPORTS.validate_json(answer.body))


class _Cell:
    """One owner and two worker stand-ins, one of which delays a start."""

    def __init__(self, folder: Path, task_lease_ms: int) -> None:
        self._folder = folder
        self.workers = {name: _worker(folder, name) for name in ('w1', 'w2')}
        self.port = _StandInPort(self.workers)
        self.world = World(cell(task_lease_ms=task_lease_ms), self.port)

    async def delay_start(
        self, execution: Execution
    ) -> tuple[JobAnswer, WorkerStandIn]:
        """Submit a job; return the answer and the worker that delays it."""
        owner = await self.world.until_owned()
        for worker in self.workers.values():
            worker.holds_starts = True
        job = spec('job', execution, run_time_ms=_RUN_TIME_MS)
        answer = await self.world.submit_one(owner, job)
        while not self._holders():
            await sleep_ms(_POLL_INTERVAL_MS)
        # Later starts are executed at once, this one stays delayed.
        for released_worker in self.workers.values():
            released_worker.holds_starts = False
        return answer, self._holders()[0]

    async def release(self, holder: WorkerStandIn) -> None:
        """Execute the delayed exchange."""
        assert holder.held
        await _control(holder, hold_starts=False)

    def change_address(self, worker: WorkerStandIn) -> None:
        """List a worker at another address."""
        name = worker.worker.worker_id
        by_address = self.port.workers_by_address
        by_address['elsewhere'] = by_address.pop(name)
        hosts = self.world.hosts
        hosts[name] = replace(hosts[name], address='elsewhere')

    async def until_started(self, count: int = 1) -> None:
        """Wait for a number of starts."""
        while len(self.starts()) < count:
            await sleep_ms(_POLL_INTERVAL_MS)

    def starts(self) -> list[WorkerId]:
        """Return the worker of each start so far."""
        return [
            line.worker
            for name in self.workers
            for line in read_log(self._folder / f'{name}.jsonl')
            if line.kind is LogKind.START
        ]

    def refusals(self) -> list[str]:
        """Return the reason of each refused start so far."""
        return [
            line.detail
            for name in self.workers
            for line in read_log(self._folder / f'{name}.jsonl')
            if line.kind is LogKind.REFUSED
        ]

    def _holders(self) -> list[WorkerStandIn]:
        return [worker for worker in self.workers.values() if worker.held]


def _worker(folder: Path, name: str) -> WorkerStandIn:
    worker = WorkerDefinition(
        worker_id=WorkerId(name),
        port=0,
        region=REGION,
        failure_domain=FailureDomain('d'),
        rack=RackId('rack'),
        capacity=Amounts(
            processors_milli=32_000, memory_mb=128_000, slots_count=8
        ),
        # Times of this clock are far ahead of that of the next incarnation.
        clock_offset_ms=_UPTIME_MS,
    )
    settings = WorkerProcessSettings(log_folder=folder, workers=(worker,))
    return WorkerStandIn(worker, settings)


async def _call(worker: WorkerStandIn, path: str, body: bytes) -> StandInReply:
    reply: Reply[StandInReply] = Reply()
    worker.mailbox.send(Call(path, body, reply))
    answer = await reply.wait(_CALL_TIMEOUT_MS)
    assert answer.status == 200, answer.body
    return answer


async def _control(worker: WorkerStandIn, **settings: Any) -> None:
    await _call(worker, '/control', json.dumps(settings).encode())


@asynccontextmanager
async def _running_cell(
    folder: Path, task_lease_ms: int = _TASK_LEASE_MS
) -> AsyncIterator[_Cell]:
    running_cell = _Cell(folder, task_lease_ms)
    for worker in running_cell.workers.values():
        worker.start()
    running_cell.world.start()
    await running_cell.world.until_owned()
    await sleep_ms(_CALL_TIMEOUT_MS)
    yield running_cell
    await running_cell.world.stop()
    for stopped_worker in running_cell.workers.values():
        await stopped_worker.stop()


@pytest.mark.parametrize(
    ('execution', 'starts_count'),
    [(Execution.AT_MOST_ONCE, 0), (Execution.IDEMPOTENT, 1)],
)
def test_start_for_a_former_incarnation_is_not_executed(
    tmp_path: Path, execution: Execution, starts_count: int
) -> None:
    """Guards against a start that runs after the owner has resolved it.

    The at-most-once job was already reported as unknown; the idempotent one
    ran on two workers at once.
    """

    async def main() -> None:
        async with _running_cell(tmp_path) as running_cell:
            answer, holder = await running_cell.delay_start(execution)
            await _control(holder, restart=True)
            await sleep_ms(_RESOLUTION_MS)
            assert len(running_cell.starts()) == starts_count
            await running_cell.release(holder)
            await sleep_ms(_CALL_TIMEOUT_MS)
            assert len(running_cell.starts()) == starts_count
            owner = await running_cell.world.until_owned()
            job_id = job_id_of(answer)
            settled = await running_cell.world.query(
                owner, job_id, _RUN_TIME_MS
            )
            is_unknown = settled.code is codes.JOB_UNKNOWN
            assert is_unknown is (execution is Execution.AT_MOST_ONCE)

    run_paused(main())


def test_start_for_a_former_incarnation_outlasts_no_lease(
    tmp_path: Path,
) -> None:
    """Guards against a run that starts after its lease has expired.

    The worker is cut off from its restart on, so the owner has only the bound
    on the leases.
    """

    async def main() -> None:
        async with _running_cell(tmp_path) as running_cell:
            _, holder = await running_cell.delay_start(Execution.IDEMPOTENT)
            running_cell.port.unreachable.add(holder.worker.worker_id)
            await _control(holder, restart=True)
            await running_cell.until_started()
            await running_cell.release(holder)
            assert holder.worker.worker_id not in running_cell.starts()

    run_paused(main())


def test_start_of_a_former_owner_is_not_executed_after_a_restart(
    tmp_path: Path,
) -> None:
    """Guards against two runs of an at-most-once task after a takeover.

    The new owner has learnt from the worker that the task was never started;
    the worker's next incarnation has seen no epoch.
    """

    async def main() -> None:
        async with _running_cell(tmp_path) as running_cell:
            world = running_cell.world
            _, holder = await running_cell.delay_start(Execution.AT_MOST_ONCE)
            await world.kill(await world.until_owned())
            world.start()
            await running_cell.until_started()
            running_cell.port.unreachable.add(holder.worker.worker_id)
            await _control(holder, restart=True)
            await running_cell.release(holder)
            assert len(running_cell.starts()) == 1

    run_paused(main())


def test_start_refused_by_a_new_incarnation_is_placed_again(
    tmp_path: Path,
) -> None:
    """Guards against an at-most-once job that ends as unknown without cause.

    The owner has not learnt of the restart when it sends the start; the worker
    answers with its new incarnation, which proves that the task did not run.
    """

    async def main() -> None:
        async with _running_cell(tmp_path) as running_cell:
            owner = await running_cell.world.until_owned()
            for worker in running_cell.workers.values():
                await _control(worker, restart=True)
            job = spec('job', Execution.AT_MOST_ONCE, run_time_ms=1_000)
            answer = await running_cell.world.submit_one(owner, job)
            settled = await running_cell.world.query(
                owner, job_id_of(answer), _RUN_TIME_MS
            )
            assert settled.code is codes.JOB_SUCCEEDED
            assert len(running_cell.starts()) == 1
            assert set(running_cell.refusals()) == {'incarnation'}

    run_paused(main())


def test_stop_for_a_former_incarnation_does_not_stay_queued(
    tmp_path: Path,
) -> None:
    """Guards against commands that are sent in each exchange from then on.

    The new incarnation executes no command that was meant for the former one,
    so the link sends it once more.
    """

    async def main() -> None:
        async with _running_cell(tmp_path) as running_cell:
            owner = await running_cell.world.until_owned()
            job = spec('job', run_time_ms=_RUN_TIME_MS)
            answer = await running_cell.world.submit_one(owner, job)
            await running_cell.until_started()
            for worker in running_cell.workers.values():
                await _control(worker, restart=True)
            cancelled = await running_cell.world.cancel(
                owner, job_id_of(answer)
            )
            assert cancelled.code is codes.CANCEL_STARTED
            await sleep_ms(_RESOLUTION_MS)
            links = owner.campaign.snapshot()['owner']['links']
            assert not any(
                link['commands_waiting_count'] for link in links.values()
            )

    run_paused(main())


def test_late_renewal_extends_no_lease_past_its_bound(tmp_path: Path) -> None:
    """Guards against two copies of a task after a delayed renewal.

    The worker has not restarted; it executes the renewals seconds after the
    owner has sent the last one, and is then cut off.
    """

    async def main() -> None:
        async with _running_cell(tmp_path, _LONG_LEASE_MS) as running_cell:
            owner = await running_cell.world.until_owned()
            job = spec('job', run_time_ms=_LONG_RUN_TIME_MS)
            await running_cell.world.submit_one(owner, job)
            await running_cell.until_started()
            first = running_cell.workers[running_cell.starts()[0]]
            await sleep_ms(_CALL_TIMEOUT_MS)
            await _control(first, hold_exchanges=True)
            await sleep_ms(_LONG_LEASE_MS - 3 * _CALL_TIMEOUT_MS)
            running_cell.port.unreachable.add(first.worker.worker_id)
            # No answer is awaited any longer, and the lease has not expired.
            await sleep_ms(2 * _CALL_TIMEOUT_MS)
            await _control(first, hold_exchanges=False)
            assert first.running_count == 1
            await running_cell.until_started(2)
            assert not first.running_count

    run_paused(main())


@pytest.mark.parametrize('execution', list(Execution))
@pytest.mark.parametrize('restarts_count', [1, 2])
@pytest.mark.parametrize('changes_address', [False, True])
def test_start_is_refused_by_each_later_incarnation(
    tmp_path: Path,
    execution: Execution,
    restarts_count: int,
    changes_address: bool,
) -> None:
    """Guards against a run after its start was settled by a restart.

    The worker may restart once more before it gets the delayed start, and
    return under another address.
    """

    async def main() -> None:
        async with _running_cell(tmp_path) as running_cell:
            answer, holder = await running_cell.delay_start(execution)
            for _ in range(restarts_count):
                await _control(holder, restart=True)
                await sleep_ms(_CALL_TIMEOUT_MS)
            if changes_address:
                running_cell.change_address(holder)
            await sleep_ms(_RESOLUTION_MS)
            starts = running_cell.starts()
            await running_cell.release(holder)
            await sleep_ms(_CALL_TIMEOUT_MS)
            assert running_cell.starts() == starts
            assert running_cell.refusals() == ['incarnation']
            owner = await running_cell.world.until_owned()
            settled = await running_cell.world.query(
                owner, job_id_of(answer), _RUN_TIME_MS
            )
            if execution is Execution.AT_MOST_ONCE:
                assert settled.code is codes.JOB_UNKNOWN
                assert not starts
            else:
                assert settled.code is codes.JOB_SUCCEEDED
                assert len(starts) == 1

    run_paused(main())


@pytest.mark.parametrize('execution', list(Execution))
def test_start_settled_by_a_report_is_refused(
    tmp_path: Path, execution: Execution
) -> None:
    """Guards against two runs in one incarnation of the worker.

    The worker has answered later exchanges without the start, so it is placed
    again, also that of an at-most-once task.
    """

    async def main() -> None:
        async with _running_cell(tmp_path) as running_cell:
            answer, holder = await running_cell.delay_start(execution)
            await running_cell.until_started()
            await running_cell.release(holder)
            assert len(running_cell.starts()) == 1
            assert running_cell.refusals() == ['late']
            owner = await running_cell.world.until_owned()
            settled = await running_cell.world.query(
                owner, job_id_of(answer), _RUN_TIME_MS + _RESOLUTION_MS
            )
            assert settled.code is codes.JOB_SUCCEEDED

    run_paused(main())


@pytest.mark.parametrize('execution', list(Execution))
def test_start_settled_by_its_lease_is_refused(
    tmp_path: Path, execution: Execution
) -> None:
    """Guards against a run after its lease must have expired.

    The worker is cut off and does not restart.
    """

    async def main() -> None:
        async with _running_cell(tmp_path) as running_cell:
            answer, holder = await running_cell.delay_start(execution)
            running_cell.port.unreachable.add(holder.worker.worker_id)
            await sleep_ms(_TASK_LEASE_MS + 2 * _RESOLUTION_MS)
            starts = running_cell.starts()
            await running_cell.release(holder)
            assert running_cell.starts() == starts
            assert running_cell.refusals() == ['late']
            owner = await running_cell.world.until_owned()
            settled = await running_cell.world.query(
                owner, job_id_of(answer), _RUN_TIME_MS + _RESOLUTION_MS
            )
            if execution is Execution.AT_MOST_ONCE:
                assert settled.code is codes.JOB_UNKNOWN
                assert not starts
            else:
                assert settled.code is codes.JOB_SUCCEEDED
                assert len(starts) == 1

    run_paused(main())


@pytest.mark.parametrize('execution', list(Execution))
def test_start_that_is_executed_after_its_stop_is_stopped(
    tmp_path: Path, execution: Execution
) -> None:
    """Guards against a task of a cancelled job that runs to its end.

    The worker has executed the stop before the start, which was delayed.
    """

    async def main() -> None:
        async with _running_cell(tmp_path) as running_cell:
            answer, holder = await running_cell.delay_start(execution)
            owner = await running_cell.world.until_owned()
            await running_cell.world.cancel(owner, job_id_of(answer))
            # The next exchange, with the stop, follows the time-out of the
            # first; the start is not late yet.
            await sleep_ms(_CALL_TIMEOUT_MS + 100)
            await running_cell.release(holder)
            assert len(running_cell.starts()) == 1
            await sleep_ms(_RESOLUTION_MS)
            assert not holder.running_count
            settled = await running_cell.world.query(owner, job_id_of(answer))
            assert settled.code is codes.JOB_CANCELLED

    run_paused(main())
