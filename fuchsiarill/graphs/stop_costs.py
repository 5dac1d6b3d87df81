"""Which runs may be stopped for an urgent step, and what each stop costs.

Load: a burst of short urgent jobs while the workers are full of long bulk runs.
A stop costs the time until the run has started again elsewhere and the work
since its last checkpoint; it is dearer for a job that misses its objective
because of it.
"""

from collections.abc import Iterator
from typing import Final

from fuchsiarill.graphs.placement import PlacementRequest
from fuchsiarill.graphs.runs import NEVER_MS, Run
from fuchsiarill.graphs.state import PoolState
from fuchsiarill.graphs.states import RunState
from fuchsiarill.graphs.worker_table import WorkerView
from fuchsiarill.resources import NO_RESOURCES, Resources

# Time from a stop order until the task can run again elsewhere.
STOP_AND_RESTART_MS: Final = 500
# An end is awaited instead of a stop for this time at most: the time in which
# the run should end, and its report. After it the run is taken as slow.
AWAITED_MAX_MS: Final = 750
# Share by which run times deviate from the expected ones, even in a queue whose
# tasks are alike, and from an extrapolation of the progress of a run.
_EXPECTED_DEVIATION: Final = 0.25
_PROGRESS_DEVIATION: Final = 0.04
# From here on the end of a run is extrapolated from its progress. A run that
# seems to take less than this share of the expected time, which is wrong by up
# to 4 times, may have been resumed or adopted with the progress made before.
_PROGRESS_MIN_PERCENT: Final = 50
_PROGRESS_MIN_SHARE: Final = 0.25
_ALL_PERCENT: Final = 100
# Runs save a checkpoint at least once in this time, so a stop loses no more.
_LOST_MAX_MS: Final = 1000
# A task that has been preempted this often is not preempted again, so that a
# series of urgent jobs cannot prevent it from ever ending.
_PREEMPTIONS_MAX_COUNT: Final = 3
# Cost that each accelerator adds to the stop of a run, as much as eight
# processors.
_ACCELERATOR_COST_MILLI: Final = 8000
# Time for which a stopped run waits for room again under load. A job with less
# time left than this may miss its objective if its run is stopped.
_WAIT_AGAIN_MS: Final = 2000
# A late job has a fifth of its value, so such a stop loses four fifths of it;
# others lose only time.
_MADE_LATE_FACTOR: Final = 4


def soon_freed(
    state: PoolState, request: PlacementRequest, view: WorkerView
) -> Resources:
    """Return the room that is free on a worker as soon as a stop would free it.

    It is the room of runs whose stop is ordered, and of those of lower priority
    that are about to end. Reservations are subtracted, also those of steps that
    are scheduled later: stops were made for them. Runs of other priorities are
    left out, since their room goes to the first step that waits for it.
    """
    freed = NO_RESOURCES
    for run in view.runs.values():
        if run.state is RunState.STOPPING or (
            _is_ending_soon(run, request.now_ms)
            and _is_less_urgent(state, run, request.entry.policy.priority)
        ):
            freed += run.charge
    if freed == NO_RESOURCES:
        return freed
    step = request.step
    for reservation in view.reservations:
        if reservation.step != step.key and reservation.rank_ms > step.rank_ms:
            freed -= reservation.charge
    return freed


def _is_less_urgent(state: PoolState, run: Run, priority: int) -> bool:
    entry = state.jobs.get(run.task.job)
    return entry is not None and entry.policy.priority > priority


def _is_ending_soon(run: Run, now_ms: int) -> bool:
    """Tell whether a run should end before its task could run again elsewhere.

    A run that was awaited in vain is not awaited again.
    """
    if run.state is not RunState.RUNNING or run.expected_end_ms >= NEVER_MS:
        return False
    if run.awaited_until_ms is not None and now_ms > run.awaited_until_ms:
        return False
    remaining_ms = _latest_end_ms(run) - now_ms
    earliest_ms = STOP_AND_RESTART_MS - AWAITED_MAX_MS
    return earliest_ms <= remaining_ms <= STOP_AND_RESTART_MS


def await_ends(view: WorkerView, now_ms: int) -> None:
    """Note that a step waits for the ends of runs that are not stopped."""
    for run in view.runs.values():
        if run.awaited_until_ms is None and _is_ending_soon(run, now_ms):
            run.awaited_until_ms = now_ms + AWAITED_MAX_MS


def _latest_end_ms(run: Run) -> float:
    """Return by when a run should have ended at the latest.

    Without an estimate or a learned run time nothing is known of its end.
    """
    start_ms = run.start_ordered_ms
    duration_ms = run.expected_end_ms - start_ms
    if duration_ms <= 0:
        return NEVER_MS
    if run.progress_percent < _PROGRESS_MIN_PERCENT:
        return start_ms + duration_ms * (1 + _EXPECTED_DEVIATION)
    ran_ms = run.progress_changed_ms - start_ms
    extrapolated_ms = ran_ms * _ALL_PERCENT / run.progress_percent
    if extrapolated_ms < duration_ms * _PROGRESS_MIN_SHARE:
        return NEVER_MS
    return start_ms + extrapolated_ms * (1 + _PROGRESS_DEVIATION)


def find_victims(
    state: PoolState, request: PlacementRequest, view: WorkerView
) -> list[tuple[float, Run]]:
    """Return the runs that may be stopped with their costs, cheapest first."""
    victims = list(_priced_victims(state, request, view))
    victims.sort(key=_cost)
    return victims


def _cost(victim: tuple[float, Run]) -> float:
    return victim[0]


def _priced_victims(
    state: PoolState, request: PlacementRequest, view: WorkerView
) -> Iterator[tuple[float, Run]]:
    priority = request.entry.policy.priority
    for run in view.runs.values():
        if run.state is not RunState.RUNNING:
            continue
        if _is_ending_soon(run, request.now_ms):
            continue
        if _may_be_preempted(state, run, priority):
            yield (_stop_cost(state, run, request.now_ms), run)


def _may_be_preempted(state: PoolState, run: Run, priority: int) -> bool:
    job_and_step = state.find_step(run.task)
    if job_and_step is None or job_and_step[0].policy.priority <= priority:
        return False
    spec = job_and_step[1].spec
    if spec.is_lasting or spec.is_gang or not spec.is_checkpointing:
        return False
    unit = job_and_step[1].active.get(run.unit_key)
    return unit is None or unit.preemptions_count < _PREEMPTIONS_MAX_COUNT


def _stop_cost(state: PoolState, run: Run, now_ms: int) -> float:
    """Return the cost of stopping a run, in thousandths of a processor ms."""
    size_milli = run.charge.processors_milli + _ACCELERATOR_COST_MILLI * (
        run.charge.accelerators_count
    )
    lost_ms = min(now_ms - run.start_ordered_ms, _LOST_MAX_MS)
    cost = float(size_milli * (STOP_AND_RESTART_MS + lost_ms))
    if _would_be_late(state, run):
        cost *= _MADE_LATE_FACTOR
    return cost


def _would_be_late(state: PoolState, run: Run) -> bool:
    """Tell whether a stop makes a job miss the objective that it can meet."""
    job_and_step = state.find_step(run.task)
    if job_and_step is None:
        return False
    entry, step = job_and_step
    latest_end_ms = entry.latest_start_ms(step) + entry.expected_ms(step)
    slack_ms = latest_end_ms - run.expected_end_ms
    return 0 <= slack_ms < STOP_AND_RESTART_MS + _WAIT_AGAIN_MS
