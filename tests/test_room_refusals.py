"""Starts that a worker refuses because it has no room for them.

A worker that guards its capacity does so from the moment at which it shrinks,
before its directory entry shows it.
"""

from fuchsiarill.graphs.effects import StartRun
from fuchsiarill.graphs.model import Step
from fuchsiarill.ports.agents import AgentFailure
from tests.graph_owner import SIZE, Owner


def _start_and_refuse(owner: Owner) -> list[StartRun]:
    """Decide; the workers refuse all start orders, which are returned."""
    starts = owner.starts()
    for start in starts:
        owner.core.start_answered(
            start.worker,
            start.task,
            start.attempt,
            AgentFailure.NO_ROOM,
            owner.now_ms,
        )
    return starts


def test_refused_task_goes_to_another_worker() -> None:
    """Guards against a task that waits for a full worker beside a free one."""
    owner = Owner('w0', 'w1')
    for worker in ('w0', 'w1'):
        owner.report(worker)
    owner.add_job('a', Step(1, SIZE))
    first = _start_and_refuse(owner)[0]
    second = _start_and_refuse(owner)[0]
    assert {first.worker, second.worker} == {'w0', 'w1'}


def test_worker_without_room_gets_no_start_until_it_reports() -> None:
    """Guards against a start order in each round, all of which are refused.

    Each refusal has its price and uses up an attempt number of the term.
    """
    owner = Owner('w0')
    owner.report('w0')
    owner.add_job('a', Step(1, SIZE))
    assert len(_start_and_refuse(owner)) == 1
    assert not owner.starts()
    owner.report('w0')
    assert len(owner.starts()) == 1
