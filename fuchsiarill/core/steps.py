"""Transitions of the job, attempt and worker charts.

The actions that the charts name are registered in `job_actions`,
`attempt_actions` and `worker_actions`; the charts are loaded, and checked
against these actions, when the first `PartitionCore` is created.
"""

from collections.abc import Callable
from functools import cache
from typing import Final

from fuchsiarill.core.state import CoreState
from fuchsiarill.core.worker_view import WorkerView
from fuchsiarill.job import Attempt, JobRecord
from fuchsiarill.registry import Registry
from fuchsiarill.state_chart import StateChart, load_chart
from fuchsiarill.states import (
    AttemptEvent,
    AttemptState,
    JobEvent,
    JobState,
    WorkerEvent,
    WorkerState,
)
from fuchsiarill.workers import TaskReport

JobAction = Callable[[CoreState, JobRecord, int], None]
AttemptAction = Callable[[CoreState, Attempt, TaskReport | None, int], None]
WorkerAction = Callable[[CoreState, WorkerView, int], None]

JOB_ACTIONS: Final[Registry[str, JobAction]] = Registry('job actions')
ATTEMPT_ACTIONS: Final[Registry[str, AttemptAction]] = Registry(
    'attempt actions',
)
WORKER_ACTIONS: Final[Registry[str, WorkerAction]] = Registry('worker actions')


@cache
def job_chart() -> StateChart[JobState, JobEvent]:
    """Return the state chart of jobs, loaded once."""
    return load_chart('job', JobState, JobEvent, JOB_ACTIONS)


@cache
def attempt_chart() -> StateChart[AttemptState, AttemptEvent]:
    """Return the state chart of attempts, loaded once."""
    return load_chart('attempt', AttemptState, AttemptEvent, ATTEMPT_ACTIONS)


@cache
def worker_chart() -> StateChart[WorkerState, WorkerEvent]:
    """Return the state chart of workers, loaded once."""
    return load_chart('worker', WorkerState, WorkerEvent, WORKER_ACTIONS)


def load_charts() -> None:
    """Load and check all charts; raises `ChartError`."""
    job_chart()
    attempt_chart()
    worker_chart()


def step_job(
    state: CoreState,
    job: JobRecord,
    event: JobEvent,
    now_ms: int,
) -> bool:
    """Apply an event; returns `False` when the chart ignores it."""
    transition = job_chart().step(job.state, event)
    if transition is None:
        return False
    job.state = transition.target
    for action in transition.actions:
        JOB_ACTIONS.lookup(action)(state, job, now_ms)
    return True


def step_attempt(
    state: CoreState,
    attempt: Attempt,
    event: AttemptEvent,
    now_ms: int,
    report: TaskReport | None = None,
) -> bool:
    """Apply an event; returns `False` when the chart ignores it."""
    transition = attempt_chart().step(attempt.state, event)
    if transition is None:
        return False
    attempt.state = transition.target
    for action in transition.actions:
        ATTEMPT_ACTIONS.lookup(action)(state, attempt, report, now_ms)
    return True


def step_worker(
    state: CoreState,
    worker: WorkerView,
    event: WorkerEvent,
    now_ms: int,
) -> bool:
    """Apply an event; returns `False` when the chart ignores it."""
    transition = worker_chart().step(worker.state, event)
    if transition is None:
        return False
    worker.state = transition.target
    for action in transition.actions:
        WORKER_ACTIONS.lookup(action)(state, worker, now_ms)
    return True
