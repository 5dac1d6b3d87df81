"""Actions of the attempt chart, `charts/attempt.yaml`."""

from fuchsiarill.core.effects import CommandTask
from fuchsiarill.core.learning import learn_from_success
from fuchsiarill.core.probation import record_success
from fuchsiarill.core.requeue import (
    advance_if_all_stopped,
    attempt_position,
    request_stop,
    requeue_task,
)
from fuchsiarill.core.resource_accounting import release_attempt
from fuchsiarill.core.retries import (
    earn_retry_credit,
    handle_failure,
    requeue_lost,
    restart_ended_replica,
)
from fuchsiarill.core.state import CoreState
from fuchsiarill.core.steps import ATTEMPT_ACTIONS, step_job
from fuchsiarill.job import (
    Attempt,
    Execution,
    JobRecord,
    StopReason,
    Workload,
)
from fuchsiarill.records import StartWithdrawn, TaskFinished
from fuchsiarill.states import AttemptState, JobEvent
from fuchsiarill.workers import CommandKind, TaskReport


@ATTEMPT_ACTIONS.register('release_resources')
def _release_resources(
    state: CoreState,
    attempt: Attempt,
    report: TaskReport | None,
    now_ms: int,
) -> None:
    release_attempt(state, attempt, now_ms)
    job = state.jobs[attempt.job_id]
    position = attempt_position(attempt)
    if job.replaced_attempts.get(position) == attempt.attempt_id:
        job.replaced_attempts.pop(position)


@ATTEMPT_ACTIONS.register('handle_started')
def _handle_started(
    state: CoreState,
    attempt: Attempt,
    report: TaskReport | None,
    now_ms: int,
) -> None:
    job = state.jobs[attempt.job_id]
    if job.started_at_ms is None:
        job.started_at_ms = now_ms
    step_job(state, job, JobEvent.TASK_STARTED, now_ms)
    if attempt.replaces is None:
        return
    job.replaced_attempts.pop(attempt_position(attempt), None)
    replaced_attempt = job.attempts.get(attempt.replaces)
    if replaced_attempt is not None:
        request_stop(state, replaced_attempt, StopReason.MOVED, now_ms)


@ATTEMPT_ACTIONS.register('retry_immediately')
def _retry_immediately(
    state: CoreState,
    attempt: Attempt,
    report: TaskReport | None,
    now_ms: int,
) -> None:
    job = state.jobs[attempt.job_id]
    _record_withdrawal(state, job, attempt, now_ms)
    if _is_partly_run(job):
        step_job(state, job, JobEvent.GAVE_UP, now_ms)
        return
    requeue_task(state, job, attempt_position(attempt), now_ms)


@ATTEMPT_ACTIONS.register('retry_after_failure')
def _retry_after_failure(
    state: CoreState,
    attempt: Attempt,
    report: TaskReport | None,
    now_ms: int,
) -> None:
    job = state.jobs[attempt.job_id]
    if job.spec.workload is Workload.SERVICE:
        _record_withdrawal(state, job, attempt, now_ms)
    handle_failure(state, attempt, now_ms)


@ATTEMPT_ACTIONS.register('record_success')
def _record_success(
    state: CoreState,
    attempt: Attempt,
    report: TaskReport | None,
    now_ms: int,
) -> None:
    job = state.jobs[attempt.job_id]
    record_success(state, attempt, now_ms)
    learn_from_success(state, attempt, report)
    earn_retry_credit(state, job)
    if job.spec.workload is Workload.SERVICE:
        restart_ended_replica(state, attempt, now_ms)
    else:
        output = '' if report is None else report.output
        _record_output(state, job, attempt_position(attempt), output, now_ms)
    advance_if_all_stopped(state, job, now_ms)


@ATTEMPT_ACTIONS.register('resolve_lost')
def _resolve_lost(
    state: CoreState,
    attempt: Attempt,
    report: TaskReport | None,
    now_ms: int,
) -> None:
    job = state.jobs[attempt.job_id]
    if job.spec.execution is Execution.AT_MOST_ONCE:
        step_job(state, job, JobEvent.OUTCOME_LOST, now_ms)
    else:
        requeue_lost(state, attempt, now_ms)
    advance_if_all_stopped(state, job, now_ms)


@ATTEMPT_ACTIONS.register('send_stop')
def _send_stop(
    state: CoreState,
    attempt: Attempt,
    report: TaskReport | None,
    now_ms: int,
) -> None:
    state.effects.append(
        CommandTask(attempt.worker_id, attempt.attempt_id, CommandKind.STOP),
    )


@ATTEMPT_ACTIONS.register('persist_withdrawal')
def _persist_withdrawal(
    state: CoreState,
    attempt: Attempt,
    report: TaskReport | None,
    now_ms: int,
) -> None:
    _record_withdrawal(state, state.jobs[attempt.job_id], attempt, now_ms)


@ATTEMPT_ACTIONS.register('handle_stopped')
def _handle_stopped(
    state: CoreState,
    attempt: Attempt,
    report: TaskReport | None,
    now_ms: int,
) -> None:
    job = state.jobs[attempt.job_id]
    if job.spec.workload is Workload.SERVICE:
        # A later owner must be able to tell that this replica has stopped.
        _record_withdrawal(state, job, attempt, now_ms)
    advance_if_all_stopped(state, job, now_ms)
    if job.spec.workload is not Workload.GANG:
        requeue_task(state, job, attempt_position(attempt), now_ms)
    elif attempt.stop_reason is not StopReason.GANG_RESTART:
        requeue_task(state, job, attempt_position(attempt), now_ms)


def _is_partly_run(job: JobRecord) -> bool:
    """Tell whether other members of an at-most-once gang may have run."""
    if job.spec.workload is not Workload.GANG:
        return False
    if job.spec.execution is not Execution.AT_MOST_ONCE:
        return False
    has_started_member = any(
        attempt.state is not AttemptState.PLACED
        for attempt in job.attempts.values()
    )
    return has_started_member or bool(job.results)


def _record_withdrawal(
    state: CoreState,
    job: JobRecord,
    attempt: Attempt,
    now_ms: int,
) -> None:
    if job.spec.execution is Execution.AT_MOST_ONCE:
        record = StartWithdrawn(job.job_id, attempt.attempt_id)
        state.persist_for(job, record, now_ms)


def _record_output(
    state: CoreState,
    job: JobRecord,
    position: int,
    output: str,
    now_ms: int,
) -> None:
    if job.job_id in state.gang_restarts:
        return
    job.results[position] = output
    is_complete = len(job.results) == job.spec.tasks_count
    for finished_position in _durable_positions(job, position, is_complete):
        record = TaskFinished(
            job.job_id, finished_position, job.results[finished_position]
        )
        state.persist_for(job, record, now_ms)
    if is_complete:
        step_job(state, job, JobEvent.ALL_SUCCEEDED, now_ms)


def _durable_positions(
    job: JobRecord,
    position: int,
    is_complete: bool,
) -> list[int]:
    # A restart of a gang discards its results, so they are recorded only once
    # no restart can follow.
    may_restart = (
        job.spec.workload is Workload.GANG
        and job.spec.execution is Execution.IDEMPOTENT
    )
    if not may_restart:
        return [position]
    return sorted(job.results) if is_complete else []
