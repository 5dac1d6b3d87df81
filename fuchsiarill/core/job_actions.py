"""Steps of the job chart and the actions that the chart names."""

from collections.abc import Callable
from functools import partial
from typing import Final

from fuchsiarill.core.effects import JobSettled
from fuchsiarill.core.state import CoreState
from fuchsiarill.job import JobRecord
from fuchsiarill.records import CancelAsked, JobEnded
from fuchsiarill.registry import Registry
from fuchsiarill.state_chart import load_chart
from fuchsiarill.states import JobEvent, JobState

JobAction = Callable[[CoreState, JobRecord, int], None]

JOB_ACTIONS: Final[Registry[str, JobAction]] = Registry('job actions')


@JOB_ACTIONS.register('enqueue')
def _enqueue(state: CoreState, job: JobRecord, now_ms: int) -> None:
    state.queue[job.job_id] = None


@JOB_ACTIONS.register('dequeue')
def _dequeue(state: CoreState, job: JobRecord, now_ms: int) -> None:
    state.queue.pop(job.job_id, None)
    job.waiting.clear()


@JOB_ACTIONS.register('persist_cancel')
def _persist_cancel(state: CoreState, job: JobRecord, now_ms: int) -> None:
    state.persist(CancelAsked(job.job_id))


@JOB_ACTIONS.register('stop_attempts')
def _stop_attempts(state: CoreState, job: JobRecord, now_ms: int) -> None:
    # Imported here because attempt actions step the job chart in turn.
    from fuchsiarill.core import attempt_actions  # noqa: PLC0415

    attempt_actions.stop_all(state, job, now_ms)


@JOB_ACTIONS.register('settle')
def _settle(state: CoreState, job: JobRecord, now_ms: int) -> None:
    ended = JobEnded(job.job_id, job.state)
    state.persist(ended, partial(_announce, state, job))


def _announce(state: CoreState, job: JobRecord, now_ms: int) -> None:
    state.effects.append(JobSettled(job.job_id, job.state))


JOB_CHART: Final = load_chart('job', JobState, JobEvent, JOB_ACTIONS)


def step_job(
    state: CoreState,
    job: JobRecord,
    event: JobEvent,
    now_ms: int,
) -> bool:
    """Apply an event; returns `False` when the chart ignores it."""
    transition = JOB_CHART.step(job.state, event)
    if transition is None:
        return False
    job.state = transition.target
    for action in transition.actions:
        JOB_ACTIONS.lookup(action)(state, job, now_ms)
    return True
