"""Makes room for urgent steps by stopping runs of lower priority.

A queue may preempt queues of lower priority, which have a higher `priority`
value. Only runs that save checkpoints are stopped: they lose little work and
resume later, on any worker.
"""

from dataclasses import dataclass
from typing import Final

from fuchsiarill import events, graph_events
from fuchsiarill.graphs.placement import PlacementRequest
from fuchsiarill.graphs.run_actions import apply_run_event
from fuchsiarill.graphs.runs import Run
from fuchsiarill.graphs.state import PoolState
from fuchsiarill.graphs.states import RunEvent, RunState
from fuchsiarill.graphs.worker_table import WorkerView

# A step preempts when it has to start within this time to meet the objective;
# the stop, its report and the start take about as long.
_START_WITHIN_MS: Final = 400
# Room is reserved for this time, in which the stopped runs should end and the
# unit should start.
_RESERVATION_MS: Final = 1500
# A task that has been preempted this often is not preempted again, so that a
# series of urgent jobs cannot prevent it from ever ending.
_PREEMPTIONS_MAX_COUNT: Final = 3
# A job later than this multiple of its objective has no value any more.
_VALUE_END_FACTOR: Final = 3
# Cost that each accelerator adds to the stop of a run, as much as eight
# processors.
_ACCELERATOR_COST_MILLI: Final = 8000


@dataclass(frozen=True, slots=True)
class _Preemption:
    """Runs to stop on a worker, and the cost of stopping them."""

    view: WorkerView
    victims: tuple[Run, ...]
    cost: float


def preempt(
    state: PoolState,
    request: PlacementRequest,
    candidates: list[WorkerView],
) -> bool:
    """Stop runs and reserve their room for the next unit of a blocked step.

    Returns whether room is reserved, by this call or by an earlier one whose
    reservation is still valid. No run is stopped on a worker that has room.
    """
    if request.now_ms < request.step.preempting_until_ms:
        return True
    if not _may_preempt(request):
        return False
    spec = request.step.spec
    wanted_count = spec.tasks_count if spec.is_gang else 1
    options = [
        _cheapest_preemption(state, request, view) for view in candidates
    ]
    preemptions = [
        preemption for preemption in options if preemption is not None
    ]
    preemptions.sort(key=lambda preemption: preemption.cost)
    if len(preemptions) < wanted_count:
        return False
    request.step.preempting_until_ms = request.now_ms + _RESERVATION_MS
    for preemption in preemptions[:wanted_count]:
        _execute_preemption(state, request, preemption)
    return True


def _may_preempt(request: PlacementRequest) -> bool:
    entry = request.entry
    if entry.latest_start_ms(request.step) - request.now_ms > _START_WITHIN_MS:
        return False
    value_end_ms = entry.accepted_ms + _VALUE_END_FACTOR * entry.objective_ms
    return request.step.spec.is_lasting or request.now_ms < value_end_ms


def _cheapest_preemption(
    state: PoolState,
    request: PlacementRequest,
    view: WorkerView,
) -> _Preemption | None:
    """Return runs whose end makes room for one task, the cheapest first.

    Returns `None` if the end of all preemptible runs is not enough, or if the
    worker has as many runs of the step as are allowed.
    """
    step = request.step
    per_worker_max = step.spec.per_worker_max
    if per_worker_max is not None:
        if step.runs_per_worker[view.worker] >= per_worker_max:
            return None
    free = view.free_for_step(step.key, step.rank_ms)
    victims: list[Run] = []
    cost = 0.0
    for run in sorted(_find_victims(state, request, view), key=_stop_cost):
        if step.spec.charge.fits_in(free):
            break
        victims.append(run)
        free += run.charge
        cost += _stop_cost(run)
    if not step.spec.charge.fits_in(free):
        return None
    return _Preemption(view, tuple(victims), cost)


def _find_victims(
    state: PoolState,
    request: PlacementRequest,
    view: WorkerView,
) -> list[Run]:
    priority = request.entry.policy.priority
    return [
        run
        for run in view.runs.values()
        if run.state is RunState.RUNNING
        and _may_be_preempted(state, run, priority)
    ]


def _may_be_preempted(state: PoolState, run: Run, priority: int) -> bool:
    job_and_step = state.find_step(run.task)
    if job_and_step is None or job_and_step[0].policy.priority <= priority:
        return False
    spec = job_and_step[1].spec
    if spec.is_lasting or spec.is_gang or not spec.is_checkpointing:
        return False
    unit = job_and_step[1].active.get(run.unit_key)
    return unit is None or unit.preemptions_count < _PREEMPTIONS_MAX_COUNT


def _stop_cost(run: Run) -> float:
    """Return the cost of stopping a run, in thousandths of a processor."""
    return run.charge.processors_milli + _ACCELERATOR_COST_MILLI * (
        run.charge.accelerators_count
    )


def _execute_preemption(
    state: PoolState, request: PlacementRequest, preemption: _Preemption
) -> None:
    preemption.view.reserve(request.step, request.now_ms + _RESERVATION_MS)
    for run in preemption.victims:
        _count_preemption(state, run)
        events.emit(
            graph_events.RUN_PREEMPTED,
            job=run.task.job,
            task=run.task.label,
            attempt=run.attempt,
            worker=run.worker,
            for_job=request.entry.job,
            priority=request.entry.policy.priority,
        )
        apply_run_event(state, run, RunEvent.STOP_ASKED, request.now_ms)


def _count_preemption(state: PoolState, run: Run) -> None:
    unit = state.active_unit(run)
    if unit is not None:
        unit.preemptions_count += 1
