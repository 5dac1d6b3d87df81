"""Requeues single tasks, or a gang as a whole, and stops attempts."""

from functools import partial
from typing import Final

from fuchsiarill.core.state import CoreState
from fuchsiarill.core.steps import step_attempt, step_job
from fuchsiarill.core.timers import call_at
from fuchsiarill.job import Attempt, JobRecord, StopReason, Workload
from fuchsiarill.states import AttemptEvent, JobEvent, JobState

_ACTIVE_STATES: Final = frozenset((JobState.QUEUED, JobState.RUNNING))


def attempt_position(attempt: Attempt) -> int:
    """Return the position of the attempt's task within its job."""
    return int(attempt.task_id.rpartition('/')[2])


def requeue_task(
    state: CoreState,
    job: JobRecord,
    position: int,
    now_ms: int,
    delay_ms: int = 0,
) -> None:
    """Queue a task for another start; a gang restarts as a whole."""
    if job.spec.workload is Workload.GANG:
        _restart_gang(state, job, now_ms, delay_ms)
        return
    if delay_ms:
        requeue_position = partial(_requeue_position, state, job, position)
        call_at(state, now_ms + delay_ms, requeue_position)
        return
    _requeue_position(state, job, position, now_ms)


def request_replacement(
    state: CoreState,
    job: JobRecord,
    attempt: Attempt,
    now_ms: int,
) -> None:
    """Queue a replacement of a replica.

    The replica runs until its replacement has started.
    """
    position = attempt_position(attempt)
    if job.state not in _ACTIVE_STATES or position in job.replaced_attempts:
        return
    job.replaced_attempts[position] = attempt.attempt_id
    job.waiting.append(position)
    step_job(state, job, JobEvent.REQUEUED, now_ms)


def request_stop(
    state: CoreState,
    attempt: Attempt,
    reason: StopReason,
    now_ms: int,
) -> None:
    """Stop an attempt; the first reason given is kept."""
    if attempt.stop_reason is None:
        attempt.stop_reason = reason
    step_attempt(state, attempt, AttemptEvent.STOP_ASKED, now_ms)


def stop_all(state: CoreState, job: JobRecord, now_ms: int) -> None:
    """Stop every attempt of a job that has ended or is being cancelled."""
    for attempt in tuple(job.attempts.values()):
        request_stop(state, attempt, StopReason.JOB_ENDED, now_ms)
    advance_if_all_stopped(state, job, now_ms)


def advance_if_all_stopped(
    state: CoreState,
    job: JobRecord,
    now_ms: int,
) -> None:
    """Requeue a restarting gang, or apply `ALL_STOPPED` to another job.

    Nothing happens while the job has attempts that have not ended.
    """
    if job.attempts:
        return
    if job.job_id in state.gang_restarts:
        _requeue_gang(state, job, now_ms)
        return
    step_job(state, job, JobEvent.ALL_STOPPED, now_ms)


def _requeue_position(
    state: CoreState,
    job: JobRecord,
    position: int,
    now_ms: int,
) -> None:
    if job.state not in _ACTIVE_STATES or not _needs_attempt(job, position):
        return
    job.waiting.append(position)
    step_job(state, job, JobEvent.REQUEUED, now_ms)


def _needs_attempt(job: JobRecord, position: int) -> bool:
    if position in job.results or position in job.waiting:
        return False
    return all(
        attempt_position(attempt) != position
        for attempt in job.attempts.values()
    )


def _restart_gang(
    state: CoreState,
    job: JobRecord,
    now_ms: int,
    delay_ms: int,
) -> None:
    if job.state not in _ACTIVE_STATES:
        return
    due_ms = max(state.gang_restarts.get(job.job_id, 0), now_ms + delay_ms)
    state.gang_restarts[job.job_id] = due_ms
    for attempt in tuple(job.attempts.values()):
        request_stop(state, attempt, StopReason.GANG_RESTART, now_ms)
    advance_if_all_stopped(state, job, now_ms)


def _requeue_gang(state: CoreState, job: JobRecord, now_ms: int) -> None:
    due_ms = state.gang_restarts.pop(job.job_id)
    if job.state not in _ACTIVE_STATES:
        return
    job.results.clear()
    if due_ms > now_ms:
        call_at(state, due_ms, partial(_enqueue_gang, state, job))
        return
    _enqueue_gang(state, job, now_ms)


def _enqueue_gang(state: CoreState, job: JobRecord, now_ms: int) -> None:
    if job.state not in _ACTIVE_STATES or job.attempts:
        return
    job.waiting = list(range(job.spec.tasks_count))
    step_job(state, job, JobEvent.REQUEUED, now_ms)
