"""Retries of failed attempts: backoff, limits and the retry budget.

The retry budget of a customer grows with its successes, so that a fault that
affects all jobs does not multiply the load.
"""

from itertools import islice
from typing import Final

from fuchsiarill.core.probation import clear_blame, record_failure
from fuchsiarill.core.quotas import account_of
from fuchsiarill.core.requeue import attempt_position, requeue_task
from fuchsiarill.core.state import CoreState
from fuchsiarill.core.steps import step_job
from fuchsiarill.core.worker_view import WorkerView
from fuchsiarill.job import Attempt, Execution, JobRecord, Workload
from fuchsiarill.states import JobEvent, WorkerState

# An idempotent batch or gang job fails after this many failures, if it has
# failed on as many ready workers or, when fewer are ready, on all of them.
HEALTHY_WORKERS_MAX_COUNT: Final = 3
BACKOFF_FIRST_MS: Final = 500
BACKOFF_MAX_MS: Final = 60_000
# Retries with the usual backoff that a customer has before its first success;
# further retries are delayed by `BACKOFF_MAX_MS`.
_RETRIES_BEFORE_SUCCESS_COUNT: Final = 10.0
_RETRY_CREDIT_MAX: Final = 100.0
# The backoff of a service starts again from the first delay after a replica has
# failed or ended at least this long after its placement.
_STABLE_RUN_TIME_MS: Final = 600_000
# So many losses of a task in a row are common, with one host or with its
# replacement too. A task that is lost more often may crash its hosts.
_LOSSES_WITHOUT_DELAY_COUNT: Final = 2
# Lower bound of a delay with jitter, relative to the delay without.
_JITTER_MIN_RATIO: Final = 0.5


def handle_failure(
    state: CoreState,
    attempt: Attempt,
    now_ms: int,
) -> None:
    """Requeue the task of a failed attempt, or fail its job."""
    job = state.jobs[attempt.job_id]
    job.failures_count += 1
    job.failed_on.add(attempt.worker_id)
    record_failure(state, attempt, now_ms)
    if job.spec.workload is Workload.SERVICE:
        _restart_replica(state, job, attempt, now_ms)
        return
    at_most_once = job.spec.execution is Execution.AT_MOST_ONCE
    if at_most_once or _failed_on_healthy_workers(state, job):
        step_job(state, job, JobEvent.GAVE_UP, now_ms)
        return
    delay_ms = _retry_delay_ms(state, job)
    requeue_task(state, job, attempt_position(attempt), now_ms, delay_ms)


def requeue_lost(state: CoreState, attempt: Attempt, now_ms: int) -> None:
    """Requeue the task of a lost attempt, with backoff after repeated losses.

    A task may crash each host that starts it; the delay limits how many hosts
    it makes unavailable. Losses after a stable run don't add up.
    """
    job = state.jobs[attempt.job_id]
    position = attempt_position(attempt)
    losses_count = job.losses_counts.get(position, 0)
    if now_ms - attempt.placed_at_ms >= _STABLE_RUN_TIME_MS:
        losses_count = 0
    job.losses_counts[position] = losses_count + 1
    delay_ms = 0
    if losses_count >= _LOSSES_WITHOUT_DELAY_COUNT:
        delayed_count = losses_count + 1 - _LOSSES_WITHOUT_DELAY_COUNT
        delay_ms = backoff_ms(state, delayed_count)
    requeue_task(state, job, position, now_ms, delay_ms)


def earn_retry_credit(state: CoreState, job: JobRecord) -> None:
    """Add the credit of one success to the retry budget of the customer."""
    account = account_of(state, job.spec.customer)
    if account.contract is None:
        return
    increased_credit = (
        account.retry_credit + account.contract.retry_budget_ratio
    )
    account.retry_credit = min(increased_credit, _RETRY_CREDIT_MAX)


def restart_ended_replica(
    state: CoreState, attempt: Attempt, now_ms: int
) -> None:
    """Restart a replica that ended by itself."""
    job = state.jobs[attempt.job_id]
    job.failures_count += 1
    _restart_replica(state, job, attempt, now_ms)


def backoff_ms(state: CoreState, failures_count: int) -> int:
    """Return the exponential delay after a number of failures, with jitter."""
    doublings = min(max(failures_count - 1, 0), BACKOFF_MAX_MS.bit_length())
    limit_ms = min(BACKOFF_FIRST_MS << doublings, BACKOFF_MAX_MS)
    return int(
        limit_ms
        * (_JITTER_MIN_RATIO + _JITTER_MIN_RATIO * state.jitter.random())
    )


def _restart_replica(
    state: CoreState,
    job: JobRecord,
    attempt: Attempt,
    now_ms: int,
) -> None:
    if now_ms - attempt.placed_at_ms >= _STABLE_RUN_TIME_MS:
        job.failures_count = 1
        job.failed_on.clear()
        clear_blame(job)
    if len(job.failed_on) >= HEALTHY_WORKERS_MAX_COUNT:
        job.failed_on.clear()
    delay_ms = backoff_ms(state, job.failures_count)
    requeue_task(state, job, attempt_position(attempt), now_ms, delay_ms)


def _failed_on_healthy_workers(state: CoreState, job: JobRecord) -> bool:
    failed_healthy_ids = [
        worker_id
        for worker_id in job.failed_on
        if worker_id in state.workers
        and state.workers[worker_id].state is WorkerState.READY
    ]
    ready_workers = islice(
        filter(_is_ready, state.workers.values()),
        HEALTHY_WORKERS_MAX_COUNT,
    )
    if len(failed_healthy_ids) < len(list(ready_workers)):
        return False
    if job.failures_count >= HEALTHY_WORKERS_MAX_COUNT:
        return True
    # The job has failed on all of the few ready workers, so they are tried
    # again.
    job.failed_on.clear()
    return False


def _is_ready(worker: WorkerView) -> bool:
    return worker.state is WorkerState.READY


def _retry_delay_ms(state: CoreState, job: JobRecord) -> int:
    """Return the backoff, the longest one if the retry budget is used up."""
    account = account_of(state, job.spec.customer)
    if account.retry_credit < 1 - _RETRIES_BEFORE_SUCCESS_COUNT:
        return BACKOFF_MAX_MS
    account.retry_credit -= 1
    return backoff_ms(state, job.failures_count)
