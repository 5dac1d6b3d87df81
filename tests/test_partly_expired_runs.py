"""Runs of one worker whose leases expire at different times."""

from dataclasses import replace
from typing import Final

from fuchsiarill.graphs.effects import StartRun
from fuchsiarill.graphs.model import Label, Step
from fuchsiarill.graphs.settings import TaskLeaseSettings
from fuchsiarill.ids import JobId, WorkerId
from fuchsiarill.ports.agents import AgentFailure
from tests.graph_owner import SIZE, Owner, entries, running, task

_WORKERS: Final = ('w0', 'w1')
_LEASES: Final = TaskLeaseSettings()


def _start_wide_job_beside_listed_run(owner: Owner) -> tuple[str, str]:
    """Start a run on each worker beside a listed one on the first.

    Returns the worker with the listed run, then the other worker. Both have
    been in touch for so long that calls of earlier owners extend no lease.
    """
    for name in _WORKERS:
        owner.report(name)
    owner.now_ms += 2000
    owner.add_job('old', Step(1, SIZE))
    busy = str(owner.starts()[0].worker)
    idle = _WORKERS[1 - _WORKERS.index(busy)]
    for _ in range(3):
        owner.now_ms += 400
        owner.report(busy, (running(task('old')),))
        owner.report(idle)
    owner.add_job('wide', Step(2, SIZE, per_worker_max=1))
    starts: list[StartRun] = owner.starts()
    assert len(starts) == 2
    for start in starts:
        owner.core.start_answered(
            start.worker, start.task, start.attempt, None, owner.now_ms
        )
    return busy, idle


def _cut_off_until(owner: Owner, wait_ms: int) -> None:
    for name in _WORKERS:
        owner.core.worker_failed(
            WorkerId(name), AgentFailure.UNKNOWN, owner.now_ms
        )
    owner.now_ms += wait_ms
    owner.decide()


def test_deadly_job_is_no_loss_of_power_while_a_lease_lasts() -> None:
    """Guards against crashes that a partly remembered loss hides.

    All workers of a rack crash under a job. The listed run of one of them is
    lost before the unlisted run of that job, and the other worker returns in
    between.
    """
    owner = Owner(*_WORKERS)
    labels = (Label('large'), Label('r1'))
    owner.core.update_workers(
        [replace(row, labels=labels) for row in entries(*_WORKERS)],
        owner.now_ms,
    )
    _, idle = _start_wide_job_beside_listed_run(owner)
    _cut_off_until(owner, _LEASES.longest_ms + 50)
    owner.report(idle, born_ms=2)
    progress = owner.core.state.jobs[JobId('wide')].progress
    assert sum(map(len, progress.crashed_attempts.values())) == 1


def test_runs_that_expire_apart_count_as_one_crash() -> None:
    """Guards against lost runs that the later ones replace, or count twice."""
    owner = Owner(*_WORKERS)
    busy, _ = _start_wide_job_beside_listed_run(owner)
    _cut_off_until(owner, _LEASES.longest_ms + 50)
    owner.now_ms += 2000
    owner.decide()
    assert not owner.view(busy).runs
    loss = owner.core.state.losses[WorkerId(busy)]
    assert sorted(run.task.job for run in loss.runs) == ['old', 'wide']
    owner.report(busy, born_ms=2)
    for job in ('old', 'wide'):
        progress = owner.core.state.jobs[JobId(job)].progress
        assert sum(map(len, progress.crashed_attempts.values())) == 1
