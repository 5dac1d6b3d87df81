"""Steps of the attempt chart and the actions that the chart names."""

from collections.abc import Callable
from typing import Final

from fuchsiarill.core.effects import CommandTask
from fuchsiarill.core.job_actions import step_job
from fuchsiarill.core.state import CoreState
from fuchsiarill.job import Attempt, Execution, JobRecord
from fuchsiarill.records import StartWithdrawn, TaskFinished
from fuchsiarill.registry import Registry
from fuchsiarill.state_chart import load_chart
from fuchsiarill.states import AttemptEvent, AttemptState, JobEvent
from fuchsiarill.workers import CommandKind, TaskReport

AttemptAction = Callable[[CoreState, Attempt, TaskReport | None, int], None]

ATTEMPT_ACTIONS: Final[Registry[str, AttemptAction]] = Registry(
    'attempt actions',
)
FAILURES_MAX_COUNT: Final = 3


@ATTEMPT_ACTIONS.register('release')
def _release(
    state: CoreState,
    attempt: Attempt,
    report: TaskReport | None,
    now_ms: int,
) -> None:
    worker = state.workers.get(attempt.worker_id)
    if worker is not None and attempt.attempt_id in worker.attempts:
        worker.attempts.discard(attempt.attempt_id)
        worker.reserved -= attempt.reserved
    state.attempts.pop(attempt.attempt_id, None)
    _job_of(state, attempt).attempts.pop(attempt.attempt_id, None)


@ATTEMPT_ACTIONS.register('note_started')
def _note_started(
    state: CoreState,
    attempt: Attempt,
    report: TaskReport | None,
    now_ms: int,
) -> None:
    job = _job_of(state, attempt)
    if job.started_at_ms is None:
        job.started_at_ms = now_ms
    step_job(state, job, JobEvent.TASK_STARTED, now_ms)


@ATTEMPT_ACTIONS.register('retry_at_once')
def _retry_at_once(
    state: CoreState,
    attempt: Attempt,
    report: TaskReport | None,
    now_ms: int,
) -> None:
    job = _job_of(state, attempt)
    if job.spec.execution is Execution.AT_MOST_ONCE:
        state.persist(StartWithdrawn(job.job_id, attempt.attempt_id))
    _requeue(state, attempt, now_ms)


@ATTEMPT_ACTIONS.register('retry_later')
def _retry_later(
    state: CoreState,
    attempt: Attempt,
    report: TaskReport | None,
    now_ms: int,
) -> None:
    job = _job_of(state, attempt)
    job.failures_count += 1
    exhausted = job.failures_count >= FAILURES_MAX_COUNT
    if exhausted or job.spec.execution is Execution.AT_MOST_ONCE:
        step_job(state, job, JobEvent.GAVE_UP, now_ms)
        return
    _requeue(state, attempt, now_ms)


@ATTEMPT_ACTIONS.register('keep_result')
def _keep_result(
    state: CoreState,
    attempt: Attempt,
    report: TaskReport | None,
    now_ms: int,
) -> None:
    job = _job_of(state, attempt)
    output = '' if report is None else report.output
    position = position_of(attempt)
    job.results[position] = output
    state.persist(TaskFinished(job.job_id, position, output))
    if len(job.results) == job.spec.tasks_count:
        step_job(state, job, JobEvent.ALL_SUCCEEDED, now_ms)
    _note_if_all_stopped(state, job, now_ms)


@ATTEMPT_ACTIONS.register('resolve_lost')
def _resolve_lost(
    state: CoreState,
    attempt: Attempt,
    report: TaskReport | None,
    now_ms: int,
) -> None:
    job = _job_of(state, attempt)
    if job.spec.execution is Execution.AT_MOST_ONCE:
        step_job(state, job, JobEvent.OUTCOME_LOST, now_ms)
        return
    _requeue(state, attempt, now_ms)


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


@ATTEMPT_ACTIONS.register('note_stopped')
def _note_stopped(
    state: CoreState,
    attempt: Attempt,
    report: TaskReport | None,
    now_ms: int,
) -> None:
    _note_if_all_stopped(state, _job_of(state, attempt), now_ms)


ATTEMPT_CHART: Final = load_chart(
    'attempt',
    AttemptState,
    AttemptEvent,
    ATTEMPT_ACTIONS,
)


def step_attempt(
    state: CoreState,
    attempt: Attempt,
    event: AttemptEvent,
    now_ms: int,
    report: TaskReport | None = None,
) -> bool:
    """Apply an event; returns `False` when the chart ignores it."""
    transition = ATTEMPT_CHART.step(attempt.state, event)
    if transition is None:
        return False
    attempt.state = transition.target
    for action in transition.actions:
        ATTEMPT_ACTIONS.lookup(action)(state, attempt, report, now_ms)
    return True


def stop_all(state: CoreState, job: JobRecord, now_ms: int) -> None:
    """Ask every attempt of a job to stop."""
    for attempt in tuple(job.attempts.values()):
        step_attempt(state, attempt, AttemptEvent.STOP_ASKED, now_ms)
    _note_if_all_stopped(state, job, now_ms)


def position_of(attempt: Attempt) -> int:
    """Return the position of the attempt's task within its job."""
    return int(attempt.task_id.rpartition('/')[2])


def _job_of(state: CoreState, attempt: Attempt) -> JobRecord:
    return state.jobs[attempt.job_id]


def _requeue(state: CoreState, attempt: Attempt, now_ms: int) -> None:
    job = _job_of(state, attempt)
    if step_job(state, job, JobEvent.REQUEUED, now_ms):
        job.waiting.append(position_of(attempt))


def _note_if_all_stopped(
    state: CoreState,
    job: JobRecord,
    now_ms: int,
) -> None:
    if not job.attempts:
        step_job(state, job, JobEvent.ALL_STOPPED, now_ms)
