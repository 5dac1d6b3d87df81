"""Submissions to one process under load, with an in-memory store.

A record of the load is written as an owner would write it. Times are virtual.
"""

import time
from collections.abc import Awaitable, Callable
from dataclasses import replace
from typing import Any

import pytest

from fuchsiarill import codes
from fuchsiarill.actor import Reply
from fuchsiarill.clock import now_ms, run_paused, sleep_ms
from fuchsiarill.graphs import keys, load_records
from fuchsiarill.graphs.intake import Intake, IntakeAnswer, Submit
from fuchsiarill.graphs.load_gate import LoadContext
from fuchsiarill.graphs.metrics import GraphMetrics
from fuchsiarill.graphs.model import JobGraph
from fuchsiarill.ids import Epoch
from fuchsiarill.load.pool_load import PoolLoad
from fuchsiarill.ports.key_value import KvWrite
from standins.store_model import PathFault, StoreModel, StorePath
from tests.graph_cell import settings_of
from tests.test_admission import POOL, TASK, full_pool, job

EPOCH = Epoch(7)
UNIX_START_MS = 1_800_000_000_000
WIDE = replace(TASK, size=replace(TASK.size, processors_milli=10**6))
OVERLOAD = full_pool(600_000)


class Gate:
    """An intake with a store in which a test publishes the load."""

    def __init__(self) -> None:
        """Create the intake of a process that knows the owner."""
        self.model = StoreModel()
        self.path = StorePath(self.model)
        self.metrics = GraphMetrics()
        self.intake = Intake(self.path, settings_of('p0'), self.metrics.load)
        self.context = LoadContext({POOL: EPOCH}, has_contracts=True)
        self.intake.mailbox.send(self.context)

    def tell(self, **changes: Any) -> None:
        """Change what the process knows of its surroundings."""
        self.context = replace(self.context, **changes)
        self.intake.mailbox.send(self.context)

    def publish(self, load: PoolLoad, clock_ahead_ms: int = 0) -> None:
        """Write a record that is measured now."""
        load = replace(load, written_unix_ms=unix_ms() + clock_ahead_ms)
        self.write(load_records.encode_load(load))

    def write(self, content: bytes) -> None:
        """Write any content as the record."""
        self.model.write(KvWrite(keys.load_key(POOL), content))

    async def publish_for(
        self, load: PoolLoad, duration_ms: int = 2000, **options: Any
    ) -> None:
        """Publish a load at intervals, while submissions read it."""
        for number in range(duration_ms // 500):
            self.publish(load, **options)
            await self.submit(job(WIDE, number=10**9 + number))
            await sleep_ms(500)
        self.publish(load, **options)

    async def submit(self, graph: JobGraph) -> IntakeAnswer:
        """Submit a job with the usual deadline."""
        reply: Reply[IntakeAnswer] = Reply()
        self.intake.mailbox.send(Submit(graph, now_ms() + 2750, reply))
        return await reply.wait(5000)

    def is_recorded(self, graph: JobGraph) -> bool:
        """Tell whether the store has a job."""
        return keys.graph_key(POOL, graph.job) in self.model.items


Scenario = Callable[[Gate], Awaitable[None]]


def unix_ms() -> int:
    """Return the wall clock, which tests advance with the virtual time."""
    return time.time_ns() // 1_000_000


@pytest.fixture(autouse=True)
def _virtual_wall_clock(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(
        time, 'time_ns', lambda: (UNIX_START_MS + now_ms()) * 1_000_000
    )


def play(scenario: Scenario) -> None:
    """Run a scenario with a gate."""

    async def main() -> None:
        gate = Gate()
        gate.intake.start()
        await scenario(gate)
        await gate.intake.stop()

    run_paused(main())


def test_overload_refuses_new_and_keeps_accepted_jobs() -> None:
    """Guards against a duplicate of an accepted job that gets a refusal.

    The refused job does not exist, and is accepted when the load has gone.
    """

    async def scenario(gate: Gate) -> None:
        accepted, refused = job(number=1), job(number=2)
        assert (await gate.submit(accepted)).code is codes.ACCEPTED
        await gate.publish_for(OVERLOAD)
        answer = await gate.submit(refused)
        assert answer.code is codes.OVERLOADED
        assert 1000 <= answer.retry_after_ms <= 30_000
        assert not gate.is_recorded(refused)
        assert (await gate.submit(accepted)).code is codes.ACCEPTED
        await gate.publish_for(full_pool(0))
        assert (await gate.submit(refused)).code is codes.ACCEPTED
        assert gate.is_recorded(refused)

    play(scenario)


def test_refusal_needs_a_read_of_the_job() -> None:
    """Guards against the refusal of a job that may have been accepted."""

    async def scenario(gate: Gate) -> None:
        await gate.publish_for(OVERLOAD)
        assert (await gate.submit(job(number=1))).code is codes.OVERLOADED
        gate.path.fault = PathFault.REFUSED
        answer = await gate.submit(job(number=2))
        assert answer.code is codes.STORE_UNAVAILABLE

    play(scenario)


@pytest.mark.parametrize(
    'content',
    [
        b'',
        b'null',
        b'{}',
        b'[' * 5000,
        b'{"pool":"desk","epoch":7,"written":1}',
        load_records.encode_load(OVERLOAD).replace(b'600000', b'-1'),
        load_records.encode_load(OVERLOAD).replace(b'600000', b'"many"'),
        load_records.encode_load(OVERLOAD) + b' ' * 70_000,
        b'\xff\xfe',
    ],
)
def test_damaged_record_accepts(content: bytes) -> None:
    """Guards against refusals or failures because of an unreadable record."""

    async def scenario(gate: Gate) -> None:
        await gate.publish_for(OVERLOAD)
        gate.write(content)
        await sleep_ms(600)
        assert (await gate.submit(job(number=1))).code is codes.ACCEPTED

    play(scenario)


def test_missing_record_accepts() -> None:
    """Guards against a process that waits for the first record."""

    async def scenario(gate: Gate) -> None:
        for number in range(5):
            started_ms = now_ms()
            answer = await gate.submit(job(number=number))
            assert answer.code is codes.ACCEPTED
            assert now_ms() - started_ms <= 30

    play(scenario)


def test_record_of_an_earlier_owner_accepts() -> None:
    """Guards against refusals for a load that a new owner has not measured."""

    async def scenario(gate: Gate) -> None:
        await gate.publish_for(OVERLOAD)
        gate.tell(owner_epochs={POOL: Epoch(8)})
        assert (await gate.submit(job(number=1))).code is codes.ACCEPTED
        gate.tell(owner_epochs={})
        assert (await gate.submit(job(number=2))).code is codes.ACCEPTED
        gate.tell(owner_epochs={POOL: EPOCH})
        assert (await gate.submit(job(number=3))).code is codes.OVERLOADED

    play(scenario)


def test_record_that_does_not_change_any_more_accepts() -> None:
    """Guards against an owner that is cut off, with a clock that is ahead."""

    async def scenario(gate: Gate) -> None:
        await gate.publish_for(OVERLOAD, clock_ahead_ms=4000)
        assert (await gate.submit(job(number=1))).code is codes.OVERLOADED
        for number in range(2, 8):
            await sleep_ms(500)
            answer = await gate.submit(job(number=number))
        assert answer.code is codes.ACCEPTED

    play(scenario)


def test_record_that_was_written_late_accepts() -> None:
    """Guards against an old load that a slow store writes as a new record."""

    async def scenario(gate: Gate) -> None:
        await gate.publish_for(OVERLOAD)
        await gate.publish_for(OVERLOAD, 500, clock_ahead_ms=-3000)
        assert (await gate.submit(job(number=1))).code is codes.ACCEPTED
        await gate.publish_for(OVERLOAD)
        assert (await gate.submit(job(number=2))).code is codes.OVERLOADED

    play(scenario)


@pytest.mark.parametrize('clock_ahead_ms', [-8000, 6000, -(10**12)])
def test_implausible_clock_accepts(clock_ahead_ms: int) -> None:
    """Guards against trust in a record whose age can't be right."""

    async def scenario(gate: Gate) -> None:
        await gate.publish_for(OVERLOAD, clock_ahead_ms=clock_ahead_ms)
        assert (await gate.submit(job(number=1))).code is codes.ACCEPTED

    play(scenario)


def test_first_read_after_a_pause_accepts() -> None:
    """Guards against trust in a record of unknown age."""

    async def scenario(gate: Gate) -> None:
        gate.publish(OVERLOAD)
        assert (await gate.submit(job(number=1))).code is codes.ACCEPTED
        await sleep_ms(10_000)
        gate.publish(OVERLOAD)
        assert (await gate.submit(job(number=2))).code is codes.ACCEPTED

    play(scenario)


def test_silent_store_delays_by_one_read() -> None:
    """Guards against submissions that wait for the load again and again."""

    async def scenario(gate: Gate) -> None:
        await gate.publish_for(OVERLOAD)
        gate.path.fault = PathFault.SILENT
        await sleep_ms(600)
        started_ms = now_ms()
        answer = await gate.submit(job(number=1))
        assert answer.code is codes.OUTCOME_UNCERTAIN
        assert now_ms() - started_ms <= 2750 + 700

    play(scenario)


def test_lost_store_refuses_at_once_and_only_until_it_is_back() -> None:
    """Guards against callers who wait for a store that is known to be lost."""

    async def scenario(gate: Gate) -> None:
        gate.path.fault = PathFault.REFUSED
        gate.tell(is_store_lost=True)
        started_ms = now_ms()
        answer = await gate.submit(job(number=1))
        assert answer.code is codes.STORE_UNAVAILABLE
        assert now_ms() == started_ms
        # The watches report later that the store is back.
        gate.path.fault = PathFault.NONE
        await gate.submit(job(number=2))
        await sleep_ms(50)
        assert (await gate.submit(job(number=3))).code is codes.ACCEPTED

    play(scenario)


def test_write_that_may_have_taken_effect_is_not_refused() -> None:
    """Guards against a refusal of a job that runs."""

    async def scenario(gate: Gate) -> None:
        gate.path.fault = PathFault.ANSWER_LOST
        reply: Reply[IntakeAnswer] = Reply()
        graph = job(number=1)
        gate.intake.mailbox.send(Submit(graph, now_ms() + 2750, reply))
        await sleep_ms(300)
        gate.path.fault = PathFault.REFUSED
        gate.tell(is_store_lost=True)
        assert (await reply.wait(5000)).code is codes.OUTCOME_UNCERTAIN
        assert gate.is_recorded(graph)

    play(scenario)


def test_task_above_every_worker_is_refused() -> None:
    """Guards against jobs that no worker will ever run."""

    async def scenario(gate: Gate) -> None:
        await gate.publish_for(full_pool(0))
        answer = await gate.submit(job(WIDE, number=1))
        assert answer == IntakeAnswer(codes.NEVER_FITS, retry_after_ms=30_000)

    play(scenario)


def test_deployment_without_contracts_is_as_before() -> None:
    """Guards against new refusals and store calls in earlier deployments."""

    async def scenario(gate: Gate) -> None:
        gate.tell(has_contracts=False)
        await gate.publish_for(OVERLOAD)
        calls_count = gate.path.calls_count
        assert (await gate.submit(job(number=1))).code is codes.ACCEPTED
        assert gate.path.calls_count == calls_count + 1
        gate.path.fault = PathFault.REFUSED
        gate.tell(is_store_lost=True)
        started_ms = now_ms()
        answer = await gate.submit(job(number=2))
        assert answer.code is codes.STORE_UNAVAILABLE
        assert now_ms() - started_ms >= 700

    play(scenario)


def test_refusals_are_counted_by_cause() -> None:
    """Guards against refusals that operators do not see."""

    async def scenario(gate: Gate) -> None:
        await gate.publish_for(OVERLOAD, 1000)
        await gate.submit(job(number=1))
        metrics = gate.metrics.render().decode()
        assert 'load_refusals_total{cause="wait",pool="desk"' in metrics
        dump = gate.intake.snapshot()['load']
        assert dump['pools'][POOL]['age_ms'] <= 2000

    play(scenario)
