"""Submissions to one process under load, with an in-memory store."""

import time

import pytest

from fuchsiarill import codes
from fuchsiarill.clock import now_ms, sleep_ms
from fuchsiarill.graphs import load_records
from fuchsiarill.graphs.intake import IntakeAnswer
from fuchsiarill.graphs.model import JobGraph
from fuchsiarill.ids import Epoch
from standins.store_model import PathFault
from tests.load_gate import (
    OVERLOAD,
    WIDE,
    Gate,
    Scenario,
    play,
    virtual_unix_ns,
)
from tests.test_admission import POOL, full_pool, job

RECORD = load_records.encode_load(OVERLOAD)


@pytest.fixture(autouse=True)
def _virtual_wall_clock(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(time, 'time_ns', virtual_unix_ns)


def test_overload_refuses_new_and_keeps_accepted_jobs() -> None:
    """Guards against a duplicate of an accepted job that gets a refusal.

    The refused job does not exist, and is accepted when the load has gone.
    """

    async def scenario(gate: Gate) -> None:
        accepted, refused = job(number=1), job(number=2)
        assert (await gate.submit(accepted)).code is codes.ACCEPTED
        await gate.publish()
        answer = await gate.submit(refused)
        assert answer.code is codes.OVERLOADED
        assert 1000 <= answer.retry_after_ms <= 30_000
        assert not gate.is_recorded(refused)
        assert (await gate.submit(accepted)).code is codes.ACCEPTED
        assert b'refusals_total{cause="wait"' in gate.metrics.render()
        # Without a read of its key, the job is not refused because of load.
        gate.path.fault = PathFault.REFUSED
        assert (await gate.submit(refused)).code is codes.STORE_UNAVAILABLE
        gate.path.fault = PathFault.NONE
        await gate.publish(full_pool(0))
        assert (await gate.submit(refused)).code is codes.ACCEPTED
        assert gate.is_recorded(refused)
        answer = await gate.submit(job(WIDE, number=3))
        assert answer == IntakeAnswer(codes.NEVER_FITS, retry_after_ms=30_000)

    play(scenario)


async def _owner_changes(gate: Gate) -> None:
    gate.tell(owner_epochs={POOL: Epoch(8)})


async def _owner_is_gone(gate: Gate) -> None:
    gate.tell(owner_epochs={})


async def _record_stays_the_same(gate: Gate) -> None:
    for number in range(5):
        await gate.submit(job(number=10 + number))
        await sleep_ms(500)


async def _record_is_written_late(gate: Gate) -> None:
    await gate.publish(count=1, ahead_ms=-3000)


async def _clock_goes_back(gate: Gate) -> None:
    await gate.publish(ahead_ms=-8000)


async def _clock_is_years_ahead(gate: Gate) -> None:
    await gate.publish(ahead_ms=10**11)


async def _nothing_is_read_for_long(gate: Gate) -> None:
    await sleep_ms(10_000)
    gate.write(RECORD)


async def _contracts_are_removed(gate: Gate) -> None:
    gate.tell(has_contracts=False)


@pytest.mark.parametrize(
    'change',
    [
        _owner_changes,
        _owner_is_gone,
        _record_stays_the_same,
        _record_is_written_late,
        _clock_goes_back,
        _clock_is_years_ahead,
        _nothing_is_read_for_long,
        _contracts_are_removed,
    ],
)
def test_record_that_proves_nothing_accepts(change: Scenario) -> None:
    """Guards against refusals for a load that may have gone."""

    async def scenario(gate: Gate) -> None:
        # A clock that differs by some seconds is usual.
        await gate.publish(ahead_ms=4000)
        assert (await gate.submit(job(number=1))).code is codes.OVERLOADED
        await change(gate)
        assert (await gate.submit(job(number=2))).code is codes.ACCEPTED

    play(scenario)


@pytest.mark.parametrize(
    'content',
    [
        b'',
        b'null',
        b'[' * 5000,
        b'{"pool":"desk","epoch":7,"written":1}',
        RECORD.replace(b'600000', b'-1'),
        RECORD.replace(b'600000', b'"many"'),
        RECORD + b' ' * 70_000,
        b'\xff\xfe',
    ],
)
def test_damaged_record_accepts(content: bytes) -> None:
    """Guards against refusals or failures because of an unreadable record."""

    async def scenario(gate: Gate) -> None:
        await gate.publish()
        gate.write(content)
        assert (await gate.submit(job(number=1))).code is codes.ACCEPTED

    play(scenario)


def test_silent_store_delays_by_one_read() -> None:
    """Guards against submissions that wait for the load again and again."""

    async def scenario(gate: Gate) -> None:
        await gate.publish()
        gate.path.fault = PathFault.SILENT
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
        graph = job(number=1)
        submitting = gate.intake.spawn(_submit_uncertain(gate, graph))
        await sleep_ms(300)
        gate.path.fault = PathFault.REFUSED
        gate.tell(is_store_lost=True)
        await submitting
        assert gate.is_recorded(graph)

    play(scenario)


async def _submit_uncertain(gate: Gate, graph: JobGraph) -> None:
    assert (await gate.submit(graph)).code is codes.OUTCOME_UNCERTAIN


def test_deployment_without_contracts_is_as_before() -> None:
    """Guards against new refusals and store calls in earlier deployments."""

    async def scenario(gate: Gate) -> None:
        gate.tell(has_contracts=False)
        gate.write(RECORD)
        assert (await gate.submit(job(number=1))).code is codes.ACCEPTED
        assert gate.path.calls_count == 1
        gate.path.fault = PathFault.REFUSED
        gate.tell(is_store_lost=True)
        started_ms = now_ms()
        answer = await gate.submit(job(number=2))
        assert answer.code is codes.STORE_UNAVAILABLE
        assert now_ms() - started_ms >= 700

    play(scenario)
