"""Takeover of running tasks: adoption, orphans and the end of the recovery.

A worker answers the first exchange (request and report) of a new owner with
all tasks that it runs, and refuses older owners from then on. Each reported
task that this owner expects becomes one of its attempts. Any other running
task is an orphan: it is stopped, unless the commit of its job is pending. A
task that is not reported does not run on that worker.
"""

from dataclasses import dataclass
from typing import Final

from fuchsiarill.core.effects import CommandTask
from fuchsiarill.core.ledger import (
    job_of,
    lapse_bound_ms,
    position_of,
    task_of,
)
from fuchsiarill.core.recovery import Orphan
from fuchsiarill.core.requeue import request_stop, requeue_task
from fuchsiarill.core.resource_accounting import refresh_index, reserve_attempt
from fuchsiarill.core.state import CoreState
from fuchsiarill.core.steps import step_job
from fuchsiarill.core.worker_view import WorkerView
from fuchsiarill.ids import JobId
from fuchsiarill.job import (
    Attempt,
    Execution,
    JobRecord,
    JobSpec,
    StopReason,
    Urgency,
    Workload,
)
from fuchsiarill.states import AttemptState, JobEvent, JobState
from fuchsiarill.workers import (
    CommandKind,
    TaskOutcome,
    TaskReport,
    WorkerReport,
)

_ACTIVE_STATES: Final = frozenset((JobState.QUEUED, JobState.RUNNING))
# An unknown attempt with another outcome needs no adoption: it neither runs nor
# has a result.
_ADOPTED_OUTCOMES: Final = frozenset(
    (TaskOutcome.RUNNING, TaskOutcome.SUCCEEDED)
)


@dataclass(frozen=True, slots=True)
class _ReportContext:
    """The worker whose report is applied, and the time of the report."""

    worker: WorkerView
    now_ms: int


def reserve_restored_attempts(
    state: CoreState,
    worker: WorkerView,
    now_ms: int,
) -> None:
    """Reserve resources on a newly listed worker for its restored attempts."""
    for attempt_id in state.recovery.intents:
        attempt = state.attempts.get(attempt_id)
        if attempt is None or attempt.worker_id != worker.worker_id:
            continue
        worker.attempts.add(attempt_id)
        worker.reserve(attempt.reserved)
    refresh_index(state, worker, now_ms)


def adopt_tasks(
    state: CoreState,
    worker: WorkerView,
    report: WorkerReport,
    now_ms: int,
) -> None:
    """Adopt the unknown tasks of a report as attempts, or stop them.

    Also repeats the stops of attempts that still run. Must run before the
    outcomes of the report are applied, as these are applied to known attempts
    only.
    """
    worker.incarnation = report.incarnation
    _drop_ended_orphans(state, report, now_ms)
    context = _ReportContext(worker, now_ms)
    for task in report.tasks:
        attempt = state.attempts.get(task.attempt_id)
        if attempt is not None:
            _repeat_stop(state, attempt, task)
        elif task.outcome in _ADOPTED_OUTCOMES:
            _adopt_task(state, context, task)
    state.recovery.awaited_workers.discard(worker.worker_id)


def defer_accepted(state: CoreState, job: JobRecord) -> None:
    """Defer a new job that an older owner may have started without a record.

    Until the recovery ends, that is possible for urgent idempotent jobs of a
    `volatile_accept` contract; at any time for a job to which known orphans
    belong.
    """
    if job.job_id not in state.recovery.orphans:
        if not state.recovery.is_open or not may_be_volatile(state, job.spec):
            return
    state.recovery.deferred[job.job_id] = set(job.waiting)
    job.waiting.clear()


def may_be_volatile(state: CoreState, spec: JobSpec) -> bool:
    """Tell whether a job may be accepted without a durable record."""
    if spec.urgency is not Urgency.URGENT:
        return False
    if spec.execution is not Execution.IDEMPOTENT:
        return False
    contract = state.config.contract_of(spec.customer)
    return contract is not None and contract.volatile_accept


def advance_recovery(state: CoreState, now_ms: int) -> None:
    """End a complete recovery, and queue the deferred tasks.

    A task is queued once no unreported copy of it and no orphan of its job can
    run.
    """
    recovery = state.recovery
    if recovery.is_open and _is_recovery_complete(state, now_ms):
        recovery.is_open = False
        _drop_reported_intents(state)
        for cancelled_id in tuple(recovery.cancelled_jobs):
            _end_cancelled(state, state.jobs.get(cancelled_id), now_ms)
        recovery.cancelled_jobs.clear()
    if recovery.orphans:
        _drop_lapsed_orphans(state, now_ms)
    if recovery.is_open or not recovery.deferred:
        return
    for job_id in tuple(recovery.deferred):
        if job_id not in recovery.orphans:
            _release_deferred(state, job_id, now_ms)


def _is_recovery_complete(state: CoreState, now_ms: int) -> bool:
    recovery = state.recovery
    if now_ms >= recovery.ends_at_ms:
        return True
    return state.hosts_read and not recovery.awaited_workers


def _drop_reported_intents(state: CoreState) -> None:
    """Keep the intents of workers that may be listed later and report them."""
    for attempt_id in tuple(state.recovery.intents):
        if attempt_id not in state.unrenewed:
            state.recovery.intents.pop(attempt_id)


def _end_cancelled(
    state: CoreState,
    job: JobRecord | None,
    now_ms: int,
) -> None:
    if job is not None and not job.attempts:
        step_job(state, job, JobEvent.ALL_STOPPED, now_ms)


def _release_deferred(state: CoreState, job_id: JobId, now_ms: int) -> None:
    positions = state.recovery.deferred.pop(job_id)
    job = state.jobs.get(job_id)
    if job is None or not positions:
        return
    if job.state not in _ACTIVE_STATES:
        return
    if job.spec.workload is Workload.GANG and (job.attempts or job.results):
        requeue_task(state, job, min(positions), now_ms)
        return
    job.waiting.extend(sorted(positions))
    step_job(state, job, JobEvent.REQUEUED, now_ms)


def _adopt_task(
    state: CoreState,
    context: _ReportContext,
    task: TaskReport,
) -> None:
    task_id = task_of(task.attempt_id)
    job = state.jobs.get(job_of(task_id))
    if job is None or not _claim_position(state, job, position_of(task_id)):
        _stop_unadopted(state, context, task)
        return
    attempt = Attempt(
        attempt_id=task.attempt_id,
        task_id=task_id,
        job_id=job.job_id,
        worker_id=context.worker.worker_id,
        reserved=task.reserved,
        state=AttemptState.POSSIBLY_RUNNING,
        placed_at_ms=context.now_ms,
        lease_ends_at_ms=context.now_ms,
    )
    reserve_attempt(state, job, attempt)
    _drop_orphan(state, task)
    if job.state is JobState.CANCELLING:
        request_stop(state, attempt, StopReason.JOB_ENDED, context.now_ms)


def _claim_position(state: CoreState, job: JobRecord, position: int) -> bool:
    """Claim a position for adoption; `False` if no attempt is expected there.

    An attempt is expected while the position waits for a start or is deferred,
    and until the recovery ends if the job was cancelled before the takeover.
    """
    if job.state is JobState.CANCELLING:
        return job.job_id in state.recovery.cancelled_jobs
    if job.state not in _ACTIVE_STATES:
        return False
    deferred = state.recovery.deferred.get(job.job_id, set())
    if position in deferred:
        deferred.discard(position)
        return True
    if position in job.waiting:
        job.waiting.remove(position)
        return True
    return False


def _stop_unadopted(
    state: CoreState,
    context: _ReportContext,
    task: TaskReport,
) -> None:
    if task.outcome is not TaskOutcome.RUNNING:
        return
    job_id = job_of(task_of(task.attempt_id))
    worker_id = context.worker.worker_id
    lease_ms = lapse_bound_ms(state.config.policies.task_lease_ms)
    orphans = state.recovery.orphans.setdefault(job_id, {})
    orphans[task.attempt_id] = Orphan(worker_id, context.now_ms + lease_ms)
    job = state.jobs.get(job_id)
    if job is not None and job.state is JobState.ACCEPTING:
        # The task is adopted from a later report, once the job is durable.
        return
    state.effects.append(
        CommandTask(worker_id, task.attempt_id, CommandKind.STOP),
    )


def _repeat_stop(
    state: CoreState,
    attempt: Attempt,
    task: TaskReport,
) -> None:
    """Repeat the stop of an attempt that runs but is to be stopped.

    The worker executes a stop without effect if the start is delayed and
    follows it. If the job was cancelled before the takeover, this owner has not
    sent a stop yet.
    """
    if attempt.state is not AttemptState.STOPPING:
        return
    if task.outcome is TaskOutcome.RUNNING:
        state.effects.append(
            CommandTask(
                attempt.worker_id,
                attempt.attempt_id,
                CommandKind.STOP,
            ),
        )


def _drop_ended_orphans(
    state: CoreState, report: WorkerReport, now_ms: int
) -> None:
    running_ids = {
        task.attempt_id
        for task in report.tasks
        if task.outcome is TaskOutcome.RUNNING
    }
    for job_id, orphans in tuple(state.recovery.orphans.items()):
        for attempt_id, orphan in tuple(orphans.items()):
            if orphan.worker_id != report.worker_id:
                continue
            if attempt_id not in running_ids:
                orphans.pop(attempt_id)
        if not orphans:
            state.recovery.orphans.pop(job_id)


def _drop_lapsed_orphans(state: CoreState, now_ms: int) -> None:
    for job_id, orphans in tuple(state.recovery.orphans.items()):
        for attempt_id, orphan in tuple(orphans.items()):
            if orphan.lease_ends_at_ms <= now_ms:
                orphans.pop(attempt_id)
        if not orphans:
            state.recovery.orphans.pop(job_id)


def _drop_orphan(state: CoreState, task: TaskReport) -> None:
    job_id = job_of(task_of(task.attempt_id))
    orphans = state.recovery.orphans.get(job_id, {})
    orphans.pop(task.attempt_id, None)
    if not orphans:
        state.recovery.orphans.pop(job_id, None)
