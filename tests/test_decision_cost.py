"""How many steps a decision round considers under overload."""

import pytest

from fuchsiarill.graphs import decision_round
from fuchsiarill.graphs.model import QueueId, Step
from fuchsiarill.graphs.step_placer import StepPlacer
from fuchsiarill.ids import WorkerId
from tests.graph_owner import (
    ADVISED,
    BATCH,
    CAPACITY,
    SIZE,
    Owner,
    ended,
    task,
)

_WORKERS_COUNT = 30
_WAITING_COUNT = 200
_PER_WORKER = CAPACITY.processors_milli // SIZE.processors_milli
_RUNNING_COUNT = _WORKERS_COUNT * _PER_WORKER


@pytest.fixture(name='considered')
def count_considered_steps(monkeypatch: pytest.MonkeyPatch) -> list[int]:
    """Count the steps that decision rounds consider."""
    counts = [0]

    def create_placer(*arguments: object) -> StepPlacer:
        counts[0] += 1
        return StepPlacer(*arguments)  # type: ignore[arg-type]

    monkeypatch.setattr(decision_round, 'StepPlacer', create_placer)
    return counts


def _overloaded_owner(queue: QueueId = BATCH) -> Owner:
    """Return an owner with full workers and many waiting jobs."""
    names = [f'w{number}' for number in range(_WORKERS_COUNT)]
    owner = Owner(*names)
    for name in names:
        owner.report(name)
    owner.add_job('running', Step(_RUNNING_COUNT, SIZE))
    assert len(owner.starts()) == _RUNNING_COUNT
    for number in range(_WAITING_COUNT):
        owner.add_job(f'waiting-{number}', Step(1, SIZE), queue=queue)
    owner.decide()
    return owner


def _decide_without_tick(owner: Owner) -> int:
    """Run a round without the checks of a tick; return the starts."""
    owner.core.decide(owner.now_ms)
    return len(owner.core.take_effects())


def test_report_without_change_considers_no_step(
    considered: list[int],
) -> None:
    """Guards against rounds that consider every waiting step again.

    On a day with 176 workers, 85% of the owner's processor time were such
    rounds, so that urgent jobs waited for seconds.
    """
    owner = _overloaded_owner()
    considered[0] = 0
    owner.report('w0')
    owner.core.decide(owner.now_ms)
    assert considered[0] == 0


def test_freed_room_is_used_at_once(considered: list[int]) -> None:
    """Guards against a step that is not considered when room is freed."""
    owner = _overloaded_owner()
    considered[0] = 0
    owner.report('w0', ended=(ended(task('running', position=0)),))
    assert _decide_without_tick(owner) == 1


def test_room_without_permission_considers_no_step(
    considered: list[int],
) -> None:
    """Guards against considering steps that may not run on the freed worker.

    No step has got an answer of the advice service yet.
    """
    owner = _overloaded_owner(ADVISED)
    considered[0] = 0
    owner.report('w0', ended=(ended(task('running', position=0)),))
    owner.core.decide(owner.now_ms)
    assert considered[0] == 0


def test_waiting_steps_are_considered_again_in_time(
    considered: list[int],
) -> None:
    """Guards against a step that waits for a change that is never logged.

    Tickets and reservations expire with time only.
    """
    owner = _overloaded_owner()
    considered[0] = 0
    owner.now_ms += 500
    owner.core.decide(owner.now_ms)
    assert considered[0] == _WAITING_COUNT


def test_worker_that_reports_again_gets_work(considered: list[int]) -> None:
    """Guards against a worker that stays idle after it was unconfirmed."""
    owner = Owner('w0')
    owner.add_job('a', Step(1, SIZE))
    owner.decide()
    assert owner.core.state.workers.find(WorkerId('w0')) is not None
    owner.report('w0')
    assert _decide_without_tick(owner) == 1
