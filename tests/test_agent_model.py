"""Which starts the model of the workers counts as violations."""

import asyncio

from returns.result import Failure, Result

from fuchsiarill.clock import now_ms, run_paused, sleep_ms
from fuchsiarill.graphs.model import (
    NO_CHECKPOINT,
    NO_END,
    EndSequence,
    StartOrder,
    WorkerReport,
)
from fuchsiarill.ids import Epoch, FencingToken, WorkerId
from fuchsiarill.ports.agents import (
    AgentAddress,
    AgentFailure,
    RenewalOrder,
)
from fuchsiarill.resources import Resources
from standins.agent_model import Fleet
from standins.outages import Outage
from tests.graph_owner import task

_AGENT = AgentAddress(WorkerId('w0'), 'w0')
_TIMEOUT_MS = 350
_CAPACITY = Resources(8000, 16000)


async def _start(fleet: Fleet, attempt: int, epoch: int = 1) -> None:
    expiry_ms = fleet.agents['w0'].clock_ms() + 5000
    order = StartOrder(
        task('a'),
        attempt,
        '{"duration_ms": 100}',
        FencingToken(Epoch(epoch)),
        expiry_ms,
        NO_CHECKPOINT,
        None,
    )
    await fleet.start(_AGENT, order, _TIMEOUT_MS)


async def _report(
    fleet: Fleet, wait_ms: int = 0, acknowledged: EndSequence = NO_END
) -> Result[WorkerReport, AgentFailure]:
    order = RenewalOrder(FencingToken(Epoch(1)), acknowledged, None, wait_ms)
    return await fleet.renew(_AGENT, order, _TIMEOUT_MS)


def test_success_that_no_report_listed_may_be_repeated() -> None:
    """Guards against a violation that no owner can avoid.

    The worker restarts before it reports a success.
    """

    async def scenario() -> None:
        fleet = Fleet()
        fleet.add('w0', _CAPACITY)
        await _start(fleet, 1)
        await _report(fleet)
        await sleep_ms(200)
        # Another call makes the model end the run, without a report.
        await _start(fleet, 1)
        fleet.add('w0', _CAPACITY)
        await _start(fleet, 2)
        assert not fleet.violations

    run_paused(scenario())


def test_reported_success_must_not_be_repeated() -> None:
    """Guards against a model that forgives the loss of a reported success."""

    async def scenario() -> None:
        fleet = Fleet()
        fleet.add('w0', _CAPACITY)
        await _start(fleet, 1)
        await sleep_ms(200)
        await _report(fleet)
        fleet.add('w0', _CAPACITY)
        await _start(fleet, 2)
        assert fleet.violations

    run_paused(scenario())


def test_violation_tells_when_a_lost_success_was_listed() -> None:
    """Guards against a start after a success that the logs can't explain.

    An answer that its caller no longer waits for counts as a report too (soak
    seed 7223).
    """

    async def scenario() -> None:
        fleet = Fleet()
        fleet.add('w0', _CAPACITY)
        await _start(fleet, 1)
        await sleep_ms(200)
        await _report(fleet)
        listed_ms = now_ms()
        await sleep_ms(50)
        fleet.agents['w0'].crash(Outage.SILENT)
        ended_ms = now_ms()
        await sleep_ms(1000)
        fleet.add('w0', _CAPACITY)
        await _start(fleet, 2)
        assert f'first listed at {listed_ms} ms' in fleet.violations[0]
        assert 'owner of epoch 1, but' in fleet.violations[0]
        assert f'ended at {ended_ms} ms' in fleet.violations[0]

    run_paused(scenario())


def test_success_within_a_waiting_renewal_must_not_be_repeated() -> None:
    """Guards against a model that misses the ends that most reports have."""

    async def scenario() -> None:
        fleet = Fleet()
        fleet.add('w0', _CAPACITY)
        await _start(fleet, 1)
        await _report(fleet, wait_ms=1000)
        await _start(fleet, 2)
        assert fleet.violations

    run_paused(scenario())


def test_restart_breaks_a_waiting_renewal() -> None:
    """Guards against a success that a worker reports after its restart."""

    async def scenario() -> None:
        fleet = Fleet()
        fleet.add('w0', _CAPACITY)
        await _start(fleet, 1)
        renewal = asyncio.create_task(_report(fleet, wait_ms=1000))
        await sleep_ms(50)
        fleet.add('w0', _CAPACITY)
        assert await renewal == Failure(AgentFailure.UNKNOWN)

    run_paused(scenario())


def test_later_owner_may_repeat_a_success_that_nobody_acknowledged() -> None:
    """Guards against a violation that the later owner cannot avoid.

    The owner that got the report ended before its record was durable, and then
    the worker crashed (soak seed 4105). The repeated success counts again.
    """

    async def scenario() -> None:
        fleet = Fleet()
        fleet.add('w0', _CAPACITY)
        await _start(fleet, 1)
        await _report(fleet, wait_ms=1000)
        fleet.add('w0', _CAPACITY)
        await _start(fleet, 2, epoch=2)
        assert not fleet.violations
        await sleep_ms(200)
        await _start(fleet, 3, epoch=3)
        assert fleet.violations

    run_paused(scenario())


def test_acknowledged_success_must_not_be_repeated() -> None:
    """Guards against a model that forgives a later owner any repetition."""

    async def scenario() -> None:
        fleet = Fleet()
        fleet.add('w0', _CAPACITY)
        await _start(fleet, 1)
        await _report(fleet, wait_ms=1000)
        await _report(fleet, acknowledged=EndSequence(1))
        fleet.add('w0', _CAPACITY)
        await _start(fleet, 2, epoch=2)
        assert fleet.violations

    run_paused(scenario())
