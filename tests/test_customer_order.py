"""Which jobs of a customer are marked as beyond its contract."""

from dataclasses import replace

from fuchsiarill.contracts.contract import CustomerContract, CustomerContracts
from fuchsiarill.graphs.model import JobGraph, Step
from fuchsiarill.graphs.progress import JobProgress
from fuchsiarill.ids import CustomerId, JobId
from fuchsiarill.resources import Resources
from tests.graph_owner import (
    BATCH,
    CONFIG,
    POOL,
    SIZE,
    Owner,
    ended,
    running,
    task,
)

_CUSTOMER = CustomerId('acme')
_OTHER = CustomerId('other')
_CONTRACTS = CustomerContracts([CustomerContract(_CUSTOMER, weight=2)])


def excess_count(owner: Owner, *, is_inherited: bool = False) -> int:
    """Add 20 jobs at once and return how many are beyond the rate."""
    for number in range(20):
        graph = JobGraph(
            JobId(f'j{number}'),
            BATCH,
            POOL,
            '',
            (Step(1, SIZE, 100),),
            customer=_CUSTOMER,
        )
        owner.core.add_job(
            graph, JobProgress(), owner.now_ms, is_inherited=is_inherited
        )
    return sum(job.is_beyond_rate for job in owner.core.state.jobs.values())


def test_jobs_beyond_the_rate_are_marked() -> None:
    """Guards against a customer whose excess counts as guaranteed."""
    owner = Owner('w0')
    owner.core.configure(replace(CONFIG, contracts=_CONTRACTS))
    assert excess_count(owner) == 14


def test_inherited_jobs_are_within_the_rate() -> None:
    """Guards against jobs that lose their guarantee by a takeover.

    A new owner sees all jobs of the former one at the same time.
    """
    owner = Owner('w0')
    owner.core.configure(replace(CONFIG, contracts=_CONTRACTS))
    assert not excess_count(owner, is_inherited=True)


def test_no_job_is_marked_without_contracts() -> None:
    """Guards against limits on deployments that have no contracts."""
    assert not excess_count(Owner('w0'))


def _starts_excess_beside(step: Step, *, is_at_ceiling: bool = False) -> bool:
    """Return whether excess gets room while a step of another one waits.

    A task of two has ended, so that a task as small as it has room.
    """
    owner = Owner('w0')
    owner.core.configure(replace(CONFIG, contracts=_CONTRACTS))
    owner.report('w0')
    owner.add_job('fill', Step(2, SIZE, 60_000))
    assert len(owner.starts()) == 2
    rows = (running(task('fill')), running(task('fill', 0, 1)))
    owner.report('w0', rows)
    owner.add_job('waiting', step, customer=_OTHER)
    owner.add_job('excess', Step(1, SIZE, 60_000), customer=_CUSTOMER)
    jobs = owner.core.state.jobs
    jobs[JobId('excess')].is_beyond_rate = True
    assert not owner.starts()
    if is_at_ceiling:
        wait = jobs[JobId('waiting')].steps[0, 0].wait
        wait.ceiling_since_ms = owner.now_ms
    owner.core.tick(owner.now_ms)
    owner.report('w0', rows[1:], (ended(task('fill')),))
    owner.core.decide(owner.now_ms)
    return JobId('excess') in {
        run.task.job for run in owner.view('w0').runs.values()
    }


def test_excess_waits_for_guaranteed_work_that_wants_room() -> None:
    """Guards against excess that takes the room of a larger task."""
    assert not _starts_excess_beside(Step(1, Resources(2000, 1000), 60_000))


def test_excess_starts_beside_work_that_fits_on_no_worker() -> None:
    """Guards against room that nobody uses while such work has a value."""
    assert _starts_excess_beside(Step(1, Resources(3000, 1000), 60_000))


def test_excess_starts_beside_work_at_its_ceiling() -> None:
    """Guards against room kept for work that may not start."""
    step = Step(1, Resources(2000, 1000), 60_000)
    assert _starts_excess_beside(step, is_at_ceiling=True)
