"""Placement of many units of one step."""

import pytest

from fuchsiarill.graphs import placement, step_placer
from fuchsiarill.graphs.model import EndKind, Step
from fuchsiarill.resources import Resources
from tests.graph_owner import CAPACITY, SIZE, Owner, ended, task

_WORKERS_COUNT = 40


@pytest.fixture(name='costs')
def count_costs(monkeypatch: pytest.MonkeyPatch) -> list[int]:
    """Count how often the cost of a worker is computed."""
    counts = [0]
    compute_cost = placement.cost_of

    def count_and_compute(*arguments: object) -> float:
        counts[0] += 1
        return compute_cost(*arguments)  # type: ignore[arg-type]

    monkeypatch.setattr(step_placer, 'cost_of', count_and_compute)
    return counts


def owner_with_workers() -> Owner:
    """Return an owner to which many workers have reported."""
    names = [f'w{number}' for number in range(_WORKERS_COUNT)]
    owner = Owner(*names)
    for name in names:
        owner.report(name)
    return owner


def test_wide_step_computes_few_costs(costs: list[int]) -> None:
    """Guards against a decision time that grows with tasks times workers.

    With 126 workers each start took 1.5 ms, which at 300 starts a second used
    half of a processor.
    """
    owner = owner_with_workers()
    owner.add_job('wide', Step(_WORKERS_COUNT, SIZE))
    assert len(owner.starts()) == _WORKERS_COUNT
    assert costs[0] <= 2 * _WORKERS_COUNT


def test_units_of_a_step_use_the_fullest_workers() -> None:
    """Guards against costs that are not updated after a placement.

    The units must fill one worker before they use the next.
    """
    owner = owner_with_workers()
    owner.add_job('a', Step(4, SIZE))
    per_worker = CAPACITY.processors_milli // SIZE.processors_milli
    assert len({start.worker for start in owner.starts()}) == 4 // per_worker


def test_unit_avoids_the_worker_where_it_failed() -> None:
    """Guards against a retry on the worker on which the unit has failed."""
    owner = Owner('w0', 'w1')
    owner.report('w0')
    owner.report('w1')
    owner.add_job('a', Step(1, Resources(500, 500)))
    first_worker = owner.starts()[0].worker
    owner.report(first_worker, (), (ended(task('a'), kind=EndKind.FAILED),))
    assert owner.starts()[0].worker != first_worker
