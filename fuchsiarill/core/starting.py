"""Starts of attempts: reserve, commit the intent, send the start.

The intent is the record that an at-most-once task may have been started.
"""

from functools import partial

from fuchsiarill.core.effects import StartTask
from fuchsiarill.core.leases import lease_end_ms
from fuchsiarill.core.resource_accounting import reserve_attempt
from fuchsiarill.core.state import CoreState
from fuchsiarill.core.steps import step_attempt
from fuchsiarill.core.worker_view import WorkerView
from fuchsiarill.ids import attempt_id, task_id
from fuchsiarill.job import Attempt, Execution, JobRecord
from fuchsiarill.records import StartIntended
from fuchsiarill.resources import Resources
from fuchsiarill.states import AttemptEvent, AttemptState


def start_next(
    state: CoreState,
    job: JobRecord,
    worker: WorkerView,
    size: Resources,
    now_ms: int,
) -> None:
    """Place the next waiting task of a job on a worker and start it.

    An at-most-once task is sent only once its intent is durable.
    """
    position = job.waiting.pop(0)
    state.attempts_count += 1
    task = task_id(job.job_id, position)
    attempt = Attempt(
        attempt_id=attempt_id(task, state.epoch, state.attempts_count),
        task_id=task,
        job_id=job.job_id,
        worker_id=worker.worker_id,
        reserved=size,
        state=AttemptState.PLACED,
        placed_at_ms=now_ms,
        lease_ends_at_ms=lease_end_ms(state, now_ms),
        replaces=job.replaced_attempts.get(position),
    )
    reserve_attempt(state, job, attempt)
    _start_when_allowed(state, job, attempt, now_ms)


def _start_when_allowed(
    state: CoreState,
    job: JobRecord,
    attempt: Attempt,
    now_ms: int,
) -> None:
    if job.spec.execution is Execution.IDEMPOTENT:
        _start(state, attempt, now_ms)
        return
    intent = StartIntended(
        job.job_id,
        attempt.attempt_id,
        attempt.worker_id,
        state.workers[attempt.worker_id].incarnation,
    )
    state.persist(intent, partial(_start, state, attempt))


def _start(state: CoreState, attempt: Attempt, now_ms: int) -> None:
    if not step_attempt(state, attempt, AttemptEvent.SENT, now_ms):
        return
    attempt.lease_ends_at_ms = lease_end_ms(state, now_ms)
    spec = state.jobs[attempt.job_id].spec
    state.effects.append(
        StartTask(
            worker_id=attempt.worker_id,
            attempt_id=attempt.attempt_id,
            reserved=attempt.reserved,
            run_time_ms=spec.run_time_ms,
            payload=spec.payload,
        ),
    )
