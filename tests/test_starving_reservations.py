"""Room that is reserved for one task of a starving kind of work."""

from fuchsiarill.graphs.model import Step
from fuchsiarill.ids import JobId
from tests.graph_owner import SIZE, Owner, running, task


def test_no_room_is_reserved_where_a_task_may_not_run() -> None:
    """Guards against room that is kept from others and used by none.

    The worker has room for a starving task, but already runs as many tasks of
    its step as are allowed.
    """
    owner = Owner('w0', 'w1')
    owner.report('w1')
    owner.add_job('small', Step(2, SIZE, 1000))
    assert [start.worker for start in owner.starts()] == ['w1', 'w1']
    rows = (running(task('small')), running(task('small', 0, 1)))
    owner.report('w1', rows)
    owner.report('w0')
    owner.add_job('wide', Step(2, SIZE, 1000, per_worker_max=1))
    assert [start.worker for start in owner.starts()] == ['w0']
    owner.report('w0', (running(task('wide')),))
    owner.report('w1', rows)
    step = owner.core.state.jobs[JobId('wide')].steps[0, 0]
    step.wait.floor_since_ms = owner.now_ms
    step.wait.is_due = True
    assert not owner.starts()
    assert not owner.view('w0').reservations
    assert owner.view('w1').reservations
    owner.add_job('other', Step(1, SIZE, 1000))
    assert [start.worker for start in owner.starts()] == ['w0']
