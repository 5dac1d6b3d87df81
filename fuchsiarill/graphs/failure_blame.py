"""Tells failing tasks from failing workers.

A failure counts against its worker as long as the task may be sound. A step, or
one of its units, is to blame for its failures once it has failed on several
workers while none of its runs succeeded or outlived the failed ones. Its
earlier failures are then withdrawn from the workers.

Several faulty workers fail the same tasks too. Therefore a worker that has been
suspended is no evidence against a task, and stays on probation when failures
are withdrawn, until a run succeeds there.
"""

from dataclasses import dataclass
from typing import Final

from fuchsiarill import events, graph_events
from fuchsiarill.graphs import worker_suspension
from fuchsiarill.graphs.job_entries import FailureHistory, StepEntry, Unit
from fuchsiarill.graphs.model import TaskKey
from fuchsiarill.graphs.runs import Run
from fuchsiarill.graphs.state import PoolState
from fuchsiarill.graphs.states import AvailabilityState
from fuchsiarill.graphs.worker_table import WorkerView

# It is unlikely that this many workers began to be faulty at one time.
_WITNESSES_TO_BLAME_COUNT: Final = 3
# More than half of the ready workers are enough, whether suspended or not.
_MAJORITY_MIN_COUNT: Final = 2
# A run has outlived the failed ones if a report still lists it at this multiple
# of the longest age at a failure, and this much later.
_OUTLIVED_FACTOR: Final = 2
_OUTLIVED_MARGIN_MS: Final = 200
# A worker on probation that has not been tried for this long may get any run.
_IDLE_PROBATION_MS: Final = 2000


@dataclass(frozen=True, slots=True)
class RunFailure:
    """A run that failed or stalled, with its step and unit."""

    step: StepEntry
    unit: Unit
    task: TaskKey
    # Time from the start order; 0 if this owner did not know the run.
    ran_ms: int


def record_failure(
    state: PoolState, view: WorkerView, failure: RunFailure, now_ms: int
) -> None:
    """Record a failure; count it against the worker if the task may be sound.

    A failure that makes the step or the unit one to blame does not count
    either.
    """
    step, unit = failure.step, failure.unit
    was_to_blame = is_to_blame(step, unit)
    for history in (step.failures, unit.failures):
        history.add(
            view.worker,
            failure.ran_ms,
            is_on_probation=worker_suspension.is_on_probation(view),
        )
    if was_to_blame:
        return
    majority_count = _majority_count(state)
    if _has_failed_widely(step.failures, majority_count):
        step.failures.is_to_blame = True
    elif _has_failed_widely(unit.failures, majority_count):
        unit.failures.is_to_blame = True
    else:
        worker_suspension.record_failure(view, failure.task, now_ms)
        return
    _withdraw_failures(state, step, unit, now_ms)


def record_success(view: WorkerView, step: StepEntry) -> None:
    """Clear the worker of a run that succeeded, and the step of the run.

    The end of a lasting task shows nothing about its step.
    """
    worker_suspension.record_success(view)
    if not step.spec.is_lasting:
        step.failures.clear()


def review_listed_run(step: StepEntry, run: Run) -> None:
    """Clear the step and the unit of a run that has outlived their failures."""
    _review_age(step.failures, run)
    unit = step.active.get(run.unit_key)
    if unit is not None:
        _review_age(unit.failures, run)


def is_to_blame(step: StepEntry, unit: Unit) -> bool:
    """Tell whether a failure of the unit shows nothing about the worker."""
    return step.failures.is_to_blame or unit.failures.is_to_blame


def may_receive_unit(
    view: WorkerView, step: StepEntry, unit: Unit, now_ms: int
) -> bool:
    """Tell whether the worker may get a run of the unit.

    The next run on a worker on probation has to show whether the worker is
    sound. It is one of a task that has failed on no other worker, or any one if
    no such task wants the worker.
    """
    if not worker_suspension.may_receive_runs(view, now_ms):
        return False
    if not worker_suspension.is_on_probation(view):
        return True
    if (step.failures.workers | unit.failures.workers) <= {view.worker}:
        return True
    tried_from_ms = view.failure_record.suspended_until_ms
    if any(run.start_ordered_ms >= tried_from_ms for run in view.runs.values()):
        return False
    return now_ms - tried_from_ms >= _IDLE_PROBATION_MS


def _review_age(history: FailureHistory, run: Run) -> None:
    if not history.workers:
        return
    proof_ms = history.longest_ms * _OUTLIVED_FACTOR + _OUTLIVED_MARGIN_MS
    if run.listed_age_ms > proof_ms:
        history.clear()


def _has_failed_widely(history: FailureHistory, majority_count: int) -> bool:
    if len(history.witnesses) >= _WITNESSES_TO_BLAME_COUNT:
        return True
    return len(history.workers) >= majority_count


def _majority_count(state: PoolState) -> int:
    ready_count = sum(
        view.is_listed and view.availability is AvailabilityState.READY
        for view in state.workers
    )
    return max(ready_count // 2 + 1, _MAJORITY_MIN_COUNT)


def _withdraw_failures(
    state: PoolState, step: StepEntry, unit: Unit, now_ms: int
) -> None:
    """Take the failures of a step, or of only one unit, off the workers."""
    is_whole_step = step.failures.is_to_blame
    blamed = step.failures if is_whole_step else unit.failures
    events.emit(
        graph_events.TASKS_BLAMED,
        job=step.key.job,
        task=unit.key.label,
        is_whole_step=is_whole_step,
        workers=len(blamed.workers),
        longest_ms=blamed.longest_ms,
    )
    unit_tasks = step.tasks_of(unit.key)
    for view in state.workers:
        withdrawn = {
            task
            for task in view.failure_record.consecutive_failures
            if task in unit_tasks
            or (is_whole_step and task.step_key == step.key)
        }
        if withdrawn and worker_suspension.withdraw_failures(
            view, withdrawn, now_ms
        ):
            state.room_changes.add(view.worker)
