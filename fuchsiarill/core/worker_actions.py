"""Steps of the worker chart and the actions that the chart names."""

from collections.abc import Callable
from typing import Final

from fuchsiarill.core.attempt_actions import step_attempt
from fuchsiarill.core.state import CoreState, WorkerView
from fuchsiarill.job import Workload
from fuchsiarill.registry import Registry
from fuchsiarill.state_chart import load_chart
from fuchsiarill.states import AttemptEvent, WorkerEvent, WorkerState

WorkerAction = Callable[[CoreState, WorkerView, int], None]

WORKER_ACTIONS: Final[Registry[str, WorkerAction]] = Registry('worker actions')


@WORKER_ACTIONS.register('suspect_attempts')
def _suspect_attempts(
    state: CoreState,
    worker: WorkerView,
    now_ms: int,
) -> None:
    for attempt_id in tuple(worker.attempts):
        attempt = state.attempts[attempt_id]
        step_attempt(state, attempt, AttemptEvent.CONTACT_LOST, now_ms)


@WORKER_ACTIONS.register('move_services')
def _move_services(
    state: CoreState,
    worker: WorkerView,
    now_ms: int,
) -> None:
    for attempt_id in tuple(worker.attempts):
        attempt = state.attempts[attempt_id]
        if state.jobs[attempt.job_id].spec.workload is not Workload.SERVICE:
            continue
        step_attempt(state, attempt, AttemptEvent.STOP_ASKED, now_ms)


WORKER_CHART: Final = load_chart(
    'worker',
    WorkerState,
    WorkerEvent,
    WORKER_ACTIONS,
)


def step_worker(
    state: CoreState,
    worker: WorkerView,
    event: WorkerEvent,
    now_ms: int,
) -> bool:
    """Apply an event; returns `False` when the chart ignores it."""
    transition = WORKER_CHART.step(worker.state, event)
    if transition is None:
        return False
    worker.state = transition.target
    for action in transition.actions:
        WORKER_ACTIONS.lookup(action)(state, worker, now_ms)
    return True
