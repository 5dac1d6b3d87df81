"""Actions of the job chart, `charts/job.yaml`."""

from functools import partial
from typing import Final

from fuchsiarill.core.effects import JobSettled
from fuchsiarill.core.requeue import stop_all
from fuchsiarill.core.state import CoreState
from fuchsiarill.core.steps import JOB_ACTIONS
from fuchsiarill.core.wait_queue import dequeue, enqueue
from fuchsiarill.core.worker_holds import drop_reservation
from fuchsiarill.ids import JobId
from fuchsiarill.job import JobRecord
from fuchsiarill.records import CancelRequested, JobEnded

# Ended jobs are kept, so that a repeated submission gets its original answer.
ENDED_MAX_COUNT: Final = 20_000
ENDED_MAX_AGE_MS: Final = 86_400_000


@JOB_ACTIONS.register('enqueue')
def _enqueue(state: CoreState, job: JobRecord, now_ms: int) -> None:
    enqueue(state, job)


@JOB_ACTIONS.register('dequeue')
def _dequeue(state: CoreState, job: JobRecord, now_ms: int) -> None:
    dequeue(state, job)
    job.waiting.clear()
    state.reclaim_pending_until_ms.pop(job.job_id, None)
    state.gang_restarts.pop(job.job_id, None)
    drop_reservation(state, job.job_id, now_ms)


@JOB_ACTIONS.register('persist_cancel')
def _persist_cancel(state: CoreState, job: JobRecord, now_ms: int) -> None:
    state.persist_for(job, CancelRequested(job.job_id), now_ms)


@JOB_ACTIONS.register('stop_attempts')
def _stop_attempts(state: CoreState, job: JobRecord, now_ms: int) -> None:
    stop_all(state, job, now_ms)


@JOB_ACTIONS.register('persist_outcome')
def _persist_outcome(state: CoreState, job: JobRecord, now_ms: int) -> None:
    record = JobEnded(job.job_id, job.state)
    state.persist_for(
        job, record, now_ms, partial(_publish_outcome, state, job)
    )


def _publish_outcome(state: CoreState, job: JobRecord, now_ms: int) -> None:
    state.effects.append(JobSettled(job.job_id, job.state))
    state.ended.append((now_ms, job.job_id))
    while _has_expired(state, now_ms):
        expired = state.ended.popleft()
        if not _evict(state, expired[1]):
            state.ended.append(expired)
            break


def _has_expired(state: CoreState, now_ms: int) -> bool:
    if len(state.ended) > ENDED_MAX_COUNT:
        return True
    return now_ms - state.ended[0][0] > ENDED_MAX_AGE_MS


def _evict(state: CoreState, job_id: JobId) -> bool:
    """Remove a job; returns `False` while attempts of it are being stopped."""
    job = state.jobs.get(job_id)
    if job is None:
        return True
    if job.attempts:
        return False
    state.jobs.pop(job.job_id)
    state.job_by_key.pop((job.spec.customer, job.spec.idempotency_key), None)
    return True
