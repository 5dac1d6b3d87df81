"""Learned run times: centre, tails, bounds, drift, factors and limits."""

import random
from statistics import median

import pytest

from fuchsiarill.graphs.model import ImageId, QueueId, Step
from fuchsiarill.ids import CustomerId, WorkerId
from fuchsiarill.resources import Resources
from fuchsiarill.run_times.run_times import HIGH_SHARE, EndedRun, RunTimes
from tools.run_time_trace import KINDS, Trace, TraceKind

_QUEUE = QueueId('quotes')
_WORKER = WorkerId('w0')
_STEP = Step(1, Resources(1000, 1000), estimate_ms=4000)
_USUAL_MS = 1000
_HOUR_MS = 3_600_000


def _run(duration_ms: float, worker: str = 'w0', **changes: object) -> EndedRun:
    return EndedRun(
        _QUEUE,
        _STEP,
        WorkerId(worker),
        int(duration_ms),
        **changes,  # type: ignore[arg-type]
    )


def _taught(count: int, now_ms: int = 0) -> RunTimes:
    """Return a model of runs that take about the usual time."""
    run_times = RunTimes()
    chance = random.Random(5)
    for _ in range(count):
        duration_ms = _USUAL_MS * chance.lognormvariate(0, 0.1)
        run_times.add_success(_run(duration_ms), now_ms)
    return run_times


def test_estimate_holds_until_the_queue_has_enough_samples() -> None:
    """Guards against decisions on one or two runs of a new queue."""
    run_times = _taught(3)
    assert run_times.expected_ms(_QUEUE, _STEP) == _STEP.estimate_ms
    run_times.add(_QUEUE, _STEP, _WORKER, _USUAL_MS)
    assert run_times.expected_ms(_QUEUE, _STEP) < _STEP.estimate_ms


def test_long_runs_do_not_pull_the_centre() -> None:
    """Guards against a mean that one run in ten of seven times doubles."""
    run_times = _taught(30)
    for _ in range(3):
        run_times.add_success(_run(7 * _USUAL_MS), 0)
    expected_ms = run_times.expected_ms(_QUEUE, _STEP)
    assert expected_ms == pytest.approx(_USUAL_MS, rel=0.15)
    assert run_times.quantile_ms(0.95, _QUEUE, _STEP) > 3 * _USUAL_MS


@pytest.mark.parametrize('kind', KINDS, ids=lambda kind: kind.name)
def test_wrong_estimates_are_corrected(kind: TraceKind) -> None:
    """Guards against a model that is worse than the estimates that it mends."""
    trace = Trace(kind, 11)
    run_times = RunTimes()
    for _ in range(50):
        run_times.add_success(trace.next_task().run, trace.now_ms)
    estimated = []
    learned = []
    covered = []
    for _ in range(300):
        fresh = trace.sample()
        group = (fresh.run.queue, fresh.run.step, fresh.run.customer)
        learned_ms = run_times.expected_ms(*group)
        estimated.append(_ratio(fresh.run.step.estimate_ms, fresh.usual_ms))
        learned.append(_ratio(learned_ms, fresh.usual_ms))
        high_ms = run_times.quantile_ms(HIGH_SHARE, *group)
        covered.append(fresh.actual_ms <= high_ms)
    assert median(learned) < median(estimated)
    assert 75 <= 100 * sum(covered) // len(covered) <= 99


def test_early_stops_do_not_shorten_run_times() -> None:
    """Guards against preempted runs that count as short ones."""
    run_times = _taught(20)
    for _ in range(100):
        run_times.add_bound(_run(_USUAL_MS / 10), 0)
    expected_ms = run_times.expected_ms(_QUEUE, _STEP)
    assert expected_ms == pytest.approx(_USUAL_MS, rel=0.15)


def test_late_stops_lengthen_run_times() -> None:
    """Guards against a model that sees only the runs short enough to end."""
    run_times = _taught(20)
    for _ in range(40):
        run_times.add_bound(_run(5 * _USUAL_MS), 0)
    assert run_times.expected_ms(_QUEUE, _STEP) > 3 * _USUAL_MS


def test_bounds_alone_teach_nothing() -> None:
    """Guards against run times learned from runs that never succeeded."""
    run_times = RunTimes()
    for _ in range(20):
        run_times.add_bound(_run(100), 0)
    assert run_times.expected_ms(_QUEUE, _STEP) == _STEP.estimate_ms


def test_old_runs_are_discounted_by_time() -> None:
    """Guards against a model that keeps the work of an hour ago."""
    run_times = _taught(120)
    for _ in range(8):
        run_times.add_success(_run(10 * _USUAL_MS), _HOUR_MS)
    assert run_times.expected_ms(_QUEUE, _STEP) > 8 * _USUAL_MS


def test_speed_of_workers_is_told_from_the_work() -> None:
    """Guards against workers that count as slow since the work takes longer."""
    run_times = RunTimes()
    for drift in (1, 3):
        for number in range(150):
            speed = 2 if number % 5 == 0 else 1
            duration_ms = _USUAL_MS * drift * speed
            run_times.add_success(_run(duration_ms, f'w{number % 5}'), 0)
    assert run_times.slowness(WorkerId('w0')) > 1.4 * run_times.slowness(
        WorkerId('w1')
    )
    assert run_times.slowness(WorkerId('w1')) == pytest.approx(1, abs=0.2)
    assert 'unknown' not in run_times.workers.rows


def test_work_away_from_its_data_takes_longer() -> None:
    """Guards against the time of remote runs in that of runs near the data."""
    run_times = _taught(40)
    for _ in range(40):
        run_times.add_success(_run(2.5 * _USUAL_MS, is_remote=True), 0)
    assert run_times.remoteness(_QUEUE) == pytest.approx(2.5, rel=0.25)
    assert run_times.expected_ms(_QUEUE, _STEP) < 1.5 * _USUAL_MS


def test_four_samples_at_different_times_are_enough() -> None:
    """Guards against times and speeds that are ignored since samples decay."""
    run_times = RunTimes()
    for number in range(4):
        assert not run_times.is_learned(_QUEUE)
        run_times.add_success(_run(1000), 1000 * number)
    assert run_times.is_learned(_QUEUE)
    for number in range(4):
        assert run_times.slowness(WorkerId('slow')) == 1
        run_times.add_success(_run(1000), 4000 + 1000 * number)
        run_times.add_success(_run(3000, 'slow'), 4000 + 1000 * number)
    usual = run_times.slowness(WorkerId('w0'))
    assert run_times.slowness(WorkerId('slow')) > 1.2 * usual


def test_models_are_bounded_in_number() -> None:
    """Guards against memory that grows with each new image or worker."""
    run_times = RunTimes()
    for number in range(3000):
        step = Step(1, _STEP.size, 1000, image=ImageId(f'i{number}'))
        customer = CustomerId(f'c{number}')
        run_times.add_success(
            EndedRun(_QUEUE, step, WorkerId(f'w{number}'), 1000, customer), 0
        )
    assert len(run_times.models) <= 256
    assert len(run_times.workers.rows) <= 1000
    assert run_times.is_learned(_QUEUE)


def _ratio(expected_ms: float, usual_ms: float) -> float:
    return max(expected_ms / usual_ms, usual_ms / expected_ms)
