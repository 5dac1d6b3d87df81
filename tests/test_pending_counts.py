"""Counts of the jobs of a queue for which no task has started.

An order shows no start: a worker may refuse it or end before it arrives.
"""

from fuchsiarill.graphs import records
from fuchsiarill.graphs.model import EndKind, JobGraph, Step, TaskKey
from fuchsiarill.graphs.progress import JobProgress
from fuchsiarill.graphs.settings import TaskLeaseSettings
from fuchsiarill.ids import JobId
from fuchsiarill.ports.agents import AgentFailure
from tests.graph_owner import BATCH, POOL, SIZE, Owner, ended, running, task

_TASK = task('a')
_COUNTED = {BATCH: 1}


def _owner(*workers: str) -> Owner:
    owner = Owner(*workers)
    for worker in workers:
        owner.report(worker)
    return owner


def _order_start(owner: Owner) -> int:
    """Accept job `a`, order its start on `w0` and return the attempt."""
    owner.add_job('a', Step(1, SIZE))
    starts = owner.starts()
    assert [start.worker for start in starts] == ['w0']
    return starts[0].attempt


def _answer(owner: Owner, attempt: int, failure: AgentFailure | None) -> None:
    worker = owner.view('w0').worker
    owner.core.start_answered(worker, _TASK, attempt, failure, owner.now_ms)


def _next_owner(previous: Owner) -> Owner:
    """Return an owner that has loaded the progress record of job `a`."""
    entry = previous.core.state.jobs[JobId('a')]
    progress = records.decode_progress(records.encode_progress(entry.progress))
    owner = Owner('w0', term=2)
    owner.now_ms = previous.now_ms
    owner.core.add_job(entry.graph, progress, owner.now_ms, is_inherited=True)
    return owner


def _next_owner_without_record(*steps: Step) -> Owner:
    """Return an owner of a job whose progress was never written."""
    owner = Owner('w0', term=2)
    owner.core.add_job(
        JobGraph(JobId('a'), BATCH, POOL, '', steps),
        JobProgress(),
        owner.now_ms,
        is_inherited=True,
    )
    return owner


def test_ordered_start_is_no_start() -> None:
    """Guards against a job that is left out while its order is on its way."""
    owner = _owner('w0')
    _order_start(owner)
    assert owner.core.pending_counts() == _COUNTED


def test_job_whose_start_was_refused_is_counted() -> None:
    """Guards against jobs that are left out while a worker refuses them."""
    owner = _owner('w0')
    attempt = _order_start(owner)
    _answer(owner, attempt, AgentFailure.UNHEALTHY)
    assert owner.core.pending_counts() == _COUNTED


def test_job_whose_start_got_no_answer_is_counted() -> None:
    """Guards against a job that is left out since its order was lost."""
    owner = _owner('w0')
    attempt = _order_start(owner)
    _answer(owner, attempt, AgentFailure.UNKNOWN)
    assert owner.core.pending_counts() == _COUNTED
    owner.core.stop_answered(
        owner.view('w0').worker, _TASK, attempt, None, owner.now_ms
    )
    owner.now_ms += TaskLeaseSettings().late_call_ms
    owner.core.tick(owner.now_ms)
    owner.report('w0')
    assert not owner.view('w0').runs
    assert owner.core.pending_counts() == _COUNTED


def test_job_whose_start_was_lost_with_its_worker_is_counted() -> None:
    """Guards against jobs that are left out after a crash of their worker."""
    owner = _owner('w0')
    _order_start(owner)
    owner.core.worker_failed(
        owner.view('w0').worker, AgentFailure.OTHER_WORKER, owner.now_ms
    )
    assert not owner.view('w0').runs
    assert owner.core.pending_counts() == _COUNTED


def test_job_whose_start_preceded_a_restart_is_counted() -> None:
    """Guards against jobs that are left out after a restart of their worker."""
    owner = _owner('w0')
    _order_start(owner)
    owner.report('w0', born_ms=2)
    assert owner.core.pending_counts() == _COUNTED


def test_next_owner_counts_a_job_that_has_not_begun() -> None:
    """Guards against a record that holds an order as a start."""
    owner = _owner('w0')
    attempt = _order_start(owner)
    _answer(owner, attempt, AgentFailure.UNHEALTHY)
    assert _next_owner(owner).core.pending_counts() == _COUNTED


def test_next_owner_does_not_count_a_job_that_has_begun() -> None:
    """Guards against a record that lacks a confirmed start."""
    owner = _owner('w0')
    attempt = _order_start(owner)
    _answer(owner, attempt, None)
    assert not _next_owner(owner).core.pending_counts()


def test_confirmed_start_ends_the_wait_for_good() -> None:
    """Guards against a job that is counted again when its run is lost."""
    owner = _owner('w0')
    attempt = _order_start(owner)
    _answer(owner, attempt, None)
    assert not owner.core.pending_counts()
    owner.core.worker_failed(
        owner.view('w0').worker, AgentFailure.OTHER_WORKER, owner.now_ms
    )
    assert not owner.view('w0').runs
    assert not owner.core.pending_counts()


def test_late_start_that_is_listed_ends_the_wait() -> None:
    """Guards against a job that is counted while its late run goes on."""
    owner = _owner('w0')
    attempt = _order_start(owner)
    _answer(owner, attempt, AgentFailure.UNKNOWN)
    owner.report('w0', (running(_TASK, attempt),))
    assert not owner.core.pending_counts()


def test_end_of_a_late_start_ends_the_wait() -> None:
    """Guards against a job that is counted after a run without an answer."""
    owner = _owner('w0')
    attempt = _order_start(owner)
    _answer(owner, attempt, AgentFailure.UNKNOWN)
    owner.report(
        'w0', ended=(ended(_TASK, kind=EndKind.STOPPED, attempt=attempt),)
    )
    assert not owner.core.pending_counts()


def test_next_owner_finds_a_job_begun_by_its_listed_run() -> None:
    """Guards against a running job that a new owner counts as waiting."""
    owner = _next_owner_without_record(Step(1, SIZE))
    assert owner.core.pending_counts() == _COUNTED
    owner.report('w0', (running(_TASK),))
    assert not owner.core.pending_counts()


def test_next_owner_finds_a_job_begun_by_an_end() -> None:
    """Guards against a begun job that a new owner counts as waiting."""
    owner = _next_owner_without_record(Step(2, SIZE))
    key: TaskKey = task('a', position=1)
    owner.report('w0', ended=(ended(key),))
    assert not owner.core.pending_counts()
