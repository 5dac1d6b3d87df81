"""Which jobs of a customer are marked as beyond its contract."""

from dataclasses import replace

from fuchsiarill.contracts.contract import CustomerContract, CustomerContracts
from fuchsiarill.graphs.model import JobGraph, Step
from fuchsiarill.graphs.progress import JobProgress
from fuchsiarill.ids import CustomerId, JobId
from tests.graph_owner import BATCH, CONFIG, POOL, SIZE, Owner

_CUSTOMER = CustomerId('acme')
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
