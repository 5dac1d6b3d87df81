"""Tests of the worker behaviour that the scheduler relies on."""

import asyncio
from collections.abc import Callable
from dataclasses import replace
from pathlib import Path
from typing import Any

from returns.result import Failure

from fuchsiarill.cell_config import Amounts
from fuchsiarill.clock import run_paused, sleep_ms
from fuchsiarill.ids import (
    NO_INCARNATION,
    AttemptId,
    Epoch,
    FailureDomain,
    RackId,
    RegionId,
    WorkerId,
)
from fuchsiarill.ports.http_ports import HttpWorkers
from fuchsiarill.ports.workers import ExchangeFailure
from fuchsiarill.resources import Resources
from fuchsiarill.settings import WorkerSettings
from fuchsiarill.workers import (
    CommandKind,
    Exchange,
    StartCommand,
    TaskCommand,
    TaskOutcome,
    WorkerReport,
)
from standins.worker import TaskDue, WorkerStandIn
from standins.worker_log import LogKind, read_log
from standins.worker_settings import (
    Deviation,
    WorkerDefinition,
    WorkerProcessSettings,
)
from tests.serving import Served, serving

_SIZE = Resources(1000, 500, 0, 1)
_PAYLOAD = '{"declared": {"processors_milli": 1000, "memory_mb": 500}}'
_FIRST = AttemptId('job/0@1.1')
_SECOND = AttemptId('job/1@1.2')
_THIRD = AttemptId('job/2@1.3')
_EPOCH = Epoch(5)
_LONG_MS = 600_000
_NO_TIME_LIMIT_MS = 1_000_000_000_000


def _worker(folder: Path, **changes: Any) -> WorkerStandIn:
    capacity = Amounts(processors_milli=4000, memory_mb=8000, slots_count=8)
    deviation = changes.pop('deviation', Deviation())
    worker = WorkerDefinition(
        worker_id=WorkerId('w'),
        port=0,
        region=RegionId('r'),
        failure_domain=FailureDomain('d'),
        rack=RackId('k'),
        capacity=capacity,
        **changes,
    )
    settings = WorkerProcessSettings(
        log_folder=folder,
        workers=(worker,),
        deviation=deviation,
    )
    return WorkerStandIn(worker, settings)


def _start(
    attempt_id: AttemptId = _FIRST,
    run_time_ms: int = 0,
    before_ms: int = _NO_TIME_LIMIT_MS,
) -> StartCommand:
    return StartCommand(attempt_id, _SIZE, run_time_ms, _PAYLOAD, before_ms)


def _request(worker: WorkerStandIn, **changes: Any) -> Exchange:
    request = Exchange(
        _EPOCH, _NO_TIME_LIMIT_MS, incarnation=worker.incarnation
    )
    return replace(request, **changes)


async def _exchange(served: Served, request: Exchange) -> WorkerReport:
    port = HttpWorkers(WorkerSettings(), served.client)
    return (await port.exchange(served.address, request)).unwrap()


async def _exchange_until(
    served: Served,
    condition: Callable[[WorkerReport], bool],
) -> WorkerReport:
    while True:
        report = await _exchange(served, Exchange(_EPOCH, _NO_TIME_LIMIT_MS))
        if condition(report):
            return report


def _outcomes(report: WorkerReport) -> dict[AttemptId, TaskOutcome]:
    return {task.attempt_id: task.outcome for task in report.tasks}


def test_lapsed_lease_stops_a_task(tmp_path: Path) -> None:
    """Guards against a task that keeps running without lease renewals."""

    async def main() -> None:
        worker = _worker(tmp_path)
        async with serving(worker) as served:
            starts = (_start(), _start(_SECOND))
            request = _request(
                worker,
                lease_until_worker_clock_ms=worker.clock_ms + 2000,
                starts=starts,
            )
            await _exchange(served, request)
            await _exchange(served, _request(worker, renewals=(_SECOND,)))
            report = await _exchange_until(
                served,
                lambda got: got.tasks[0].outcome is TaskOutcome.STOPPED,
            )
            assert report.tasks[1].outcome is TaskOutcome.RUNNING

    asyncio.run(main())
    last = read_log(tmp_path / 'w.jsonl')[-1]
    assert (last.kind, last.detail) == (LogKind.END, 'lease lapsed')


def test_outcome_is_kept_until_acknowledged(tmp_path: Path) -> None:
    """Guards against an outcome that is lost with a lost answer."""

    async def main() -> None:
        worker = _worker(tmp_path)
        async with serving(worker) as served:
            request = _request(worker, starts=(_start(run_time_ms=1),))
            await _exchange(served, request)
            await _exchange_until(
                served,
                lambda got: got.tasks[0].outcome is TaskOutcome.SUCCEEDED,
            )
            again = await _exchange(served, Exchange(_EPOCH, _NO_TIME_LIMIT_MS))
            after_acknowledgement = await _exchange(
                served, _request(worker, acknowledged=(_FIRST,))
            )
            repeated = await _exchange(served, request)
            assert len(again.tasks) == 1
            assert not after_acknowledgement.tasks
            assert not repeated.tasks

    asyncio.run(main())


def test_starts_are_refused(tmp_path: Path) -> None:
    """Guards against accepting stale, late or excess starts.

    These are starts with an old epoch, after their time limit, or beyond the
    number of connections.
    """

    async def main() -> None:
        worker = _worker(tmp_path, connections_count=1, clock_offset_ms=-5000)
        async with serving(worker, threads_count=1) as served:
            first = await _exchange(served, Exchange(_EPOCH, _NO_TIME_LIMIT_MS))
            late = _start(before_ms=first.worker_clock_ms - 1)
            refused = await _exchange(served, _request(worker, starts=(late,)))
            stale_request = _request(
                worker, epoch=Epoch(4), starts=(_start(_SECOND),)
            )
            stale = await _exchange(served, stale_request)
            two_starts = (_start(_SECOND), _start(_THIRD))
            await _exchange(served, _request(worker, starts=two_starts))
            assert _outcomes(refused) == {_FIRST: TaskOutcome.REFUSED}
            assert stale.highest_epoch == _EPOCH
            assert _SECOND not in _outcomes(stale)

    asyncio.run(main())
    reasons = [
        (line.attempt, line.detail)
        for line in read_log(tmp_path / 'w.jsonl')
        if line.kind is LogKind.REFUSED
    ]
    assert reasons == [
        (_FIRST, 'late'),
        (_SECOND, 'epoch'),
        (_THIRD, 'connections'),
    ]


def test_exchange_for_another_incarnation_has_no_effect(
    tmp_path: Path,
) -> None:
    """Guards against calls for one incarnation that act in another one.

    A renewal lengthened a lease and an acknowledgement discarded an outcome
    that nobody had read. The first exchange of an owner names no incarnation.
    """

    async def main() -> None:
        worker = _worker(tmp_path)
        starts = (_start(), _start(_SECOND, run_time_ms=1))
        former = worker.incarnation
        worker.restart()
        request = _request(
            worker, lease_until_worker_clock_ms=2000, starts=starts
        )
        worker.carry_out(request)
        await sleep_ms(1000)
        await worker.on_due(TaskDue(_SECOND))
        stop = TaskCommand(CommandKind.STOP, _FIRST)
        for other in (former, NO_INCARNATION):
            request = _request(
                worker,
                incarnation=other,
                starts=(_start(_THIRD),),
                commands=(stop,),
                renewals=(_FIRST,),
                acknowledged=(_SECOND,),
            )
            worker.carry_out(request)
        assert _outcomes(worker.report()) == {
            _FIRST: TaskOutcome.RUNNING,
            _SECOND: TaskOutcome.SUCCEEDED,
        }
        assert worker.tasks[_FIRST].lease_ends_at_ms == 2000
        assert worker.highest_epoch == _EPOCH

    run_paused(main())


def test_silent_connection_is_replaced(tmp_path: Path) -> None:
    """Guards against a client that waits for ever on a silent connection."""

    async def main() -> None:
        worker = _worker(tmp_path)
        async with serving(worker, threads_count=1) as served:
            await _exchange(served, Exchange(_EPOCH, _NO_TIME_LIMIT_MS))
            await served.control(silence_open_connections=True)
            settings = WorkerSettings(call_timeout_ms=50)
            port = HttpWorkers(settings, served.client)
            request = _request(worker, starts=(_start(),))
            silent = await port.exchange(served.address, request)
            assert silent == Failure(ExchangeFailure.NO_ANSWER)
            assert not worker.tasks
            answered = await _exchange(served, request)
            assert _outcomes(answered) == {_FIRST: TaskOutcome.RUNNING}

    asyncio.run(main())


def test_commands_and_failing_worker(tmp_path: Path) -> None:
    """Guards against commands and injected failures without an effect."""

    async def main() -> None:
        worker = _worker(tmp_path)
        async with serving(worker) as served:
            starts = (_start(run_time_ms=_LONG_MS),)
            await _exchange(served, _request(worker, starts=starts))
            kinds = (CommandKind.CHECKPOINT, CommandKind.STOP)
            commands = tuple(TaskCommand(kind, _FIRST) for kind in kinds)
            report = await _exchange(
                served, _request(worker, commands=commands)
            )
            assert _outcomes(report) == {_FIRST: TaskOutcome.STOPPED}
            assert set(worker.checkpoints_ms) == {'job/0'}
            await served.control(fail_starts=True)
            failing = (_start(_SECOND, run_time_ms=_LONG_MS),)
            await _exchange(served, _request(worker, starts=failing))
            await _exchange_until(
                served,
                lambda got: _outcomes(got)[_SECOND] is TaskOutcome.FAILED,
            )

    asyncio.run(main())


def test_real_size_does_not_follow_the_reserved_one(tmp_path: Path) -> None:
    """Guards against sizes that an owner learns from its own reservations.

    When tasks used as much as was reserved, the reservations of their class
    grew sixteenfold, until one task filled a worker.
    """

    async def real(reserved: Resources) -> Resources:
        worker = _worker(tmp_path)
        start = StartCommand(_FIRST, reserved, 0, '', _NO_TIME_LIMIT_MS)
        worker.carry_out(_request(worker, starts=(start,)))
        return worker.tasks[_FIRST].real

    doubled = asyncio.run(real(_SIZE + _SIZE))
    assert asyncio.run(real(_SIZE)).memory_mb == doubled.memory_mb


def test_real_size_differs_by_the_seed(tmp_path: Path) -> None:
    """Guards against real sizes that vary for one seed or exceed the factor."""

    async def real(seed: int) -> Resources:
        deviation = Deviation(seed=seed, size_factor_max=4)
        worker = _worker(tmp_path, deviation=deviation)
        worker.carry_out(_request(worker, starts=(_start(),)))
        return worker.tasks[_FIRST].real

    drawn = [asyncio.run(real(seed)) for seed in (1, 1, 2, 3)]
    assert drawn[0] == drawn[1]
    assert len(set(drawn)) == 3
    for size in drawn:
        assert _SIZE.memory_mb // 4 <= size.memory_mb <= 4 * _SIZE.memory_mb
