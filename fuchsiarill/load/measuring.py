"""Measures the load of a pool, in one pass over its jobs and runs.

Load handled: hundreds of waiting steps and thousands of runs, measured twice a
second beside the decisions of the owner.
"""

from collections import Counter
from dataclasses import dataclass, field
from typing import Final

from fuchsiarill.graphs.job_entries import JobEntry, StepEntry
from fuchsiarill.graphs.model import (
    JobGraph,
    QueueId,
    QueuePolicy,
    Step,
    StepKey,
    WorkerListing,
)
from fuchsiarill.graphs.ordering import VALUE_END_FACTOR, rank_ms
from fuchsiarill.graphs.progress import JobProgress
from fuchsiarill.graphs.state import PoolState
from fuchsiarill.graphs.states import AvailabilityState
from fuchsiarill.graphs.worker_table import WorkerView
from fuchsiarill.ids import CustomerId, JobId
from fuchsiarill.load import pool_load
from fuchsiarill.load.ahead import (
    WaitingTasks,
    task_group,
    work_before_start_ms,
    work_ms,
)
from fuchsiarill.load.drain_rates import DrainRates
from fuchsiarill.load.largest import LargestWorkers, maximal
from fuchsiarill.load.waits import HeldCapacity, earliest_start_ms
from fuchsiarill.resources import NO_RESOURCES

_UNKNOWN_RUN_TIMES: Final = pool_load.RunTimeCurve()
# The path of a new job is interpolated and comes from later samples than those
# of waiting jobs. In a queue of equal jobs it was 2 ms below theirs of 2010 ms,
# so that the waits applied to none. A lower path only ranks a new job earlier.
_LEAST_PATH_SHARE: Final = 7 / 8
_NEWCOMER: Final = Step(1, NO_RESOURCES)


@dataclass(slots=True)
class _QueueTally:
    work_ms: float = 0
    # Expected times of the critical paths of the jobs that wait.
    paths_ms: list[int] = field(default_factory=list)

    @property
    def least_path_ms(self) -> int:
        """Return a time that three quarters of the jobs take at least."""
        if not self.paths_ms:
            return 0
        path_ms = sorted(self.paths_ms)[len(self.paths_ms) // 4]
        return int(path_ms * _LEAST_PATH_SHARE)


@dataclass(slots=True)
class _Tally:
    """What waits, and what runs hold."""

    queues: dict[QueueId, _QueueTally] = field(default_factory=dict)
    # Tasks that can run wherever any others can.
    general_tasks: list[WaitingTasks] = field(default_factory=list)
    # Those of them that precede jobs beyond their customer's rate.
    preferred_tasks: list[WaitingTasks] = field(default_factory=list)
    held: HeldCapacity = field(default_factory=HeldCapacity)
    capacity_milli: int = 0
    free_milli: int = 0
    run_times: dict[QueueId, pool_load.RunTimeCurve] = field(
        default_factory=dict
    )

    @property
    def usable_milli(self) -> int:
        """Return the capacity that is not held for ever."""
        return self.capacity_milli - self.held.lasting_milli

    def least_ms(self, queue: QueueId, expected_ms: float) -> float:
        """Return a lower bound of a run time from the expected one."""
        run_times = self.run_times.get(queue, _UNKNOWN_RUN_TIMES)
        return expected_ms / run_times.error_factor


@dataclass(frozen=True, slots=True)
class LoadMemory:
    """What an owner remembers from one measurement to the next."""

    drains: DrainRates = field(default_factory=DrainRates)
    largest: LargestWorkers = field(default_factory=LargestWorkers)


def measure_pool(
    state: PoolState, memory: LoadMemory, now_ms: int
) -> pool_load.PoolLoad:
    """Return the state of load of a pool."""
    beyond = find_beyond(state, now_ms)
    queues = {entry.graph.queue for entry in state.active_jobs.values()}
    queues.update(_policies(state))
    tally = _Tally(
        run_times={queue: _run_time_curve(state, queue) for queue in queues}
    )
    for entry in state.active_jobs.values():
        if entry.is_active:
            _add_job(state, tally, entry, now_ms, frozenset(beyond))
    _add_workers(state, tally, now_ms)
    return pool_load.PoolLoad(
        state.pool,
        state.epoch,
        now_ms + state.unix_offset_ms,
        _queue_loads(state, tally, memory.drains, now_ms),
        beyond,
        memory.largest.add(
            (
                view.entry.capacity
                for view in state.workers
                if view.entry is not None and view.is_listed
            ),
            now_ms,
        ),
        maximal(view.free for view in state.workers if _is_ready(view)),
    )


def find_beyond(state: PoolState, now_ms: int) -> dict[CustomerId, int]:
    """Return the customers that exceed the rate of their contract.

    With each goes the share of its jobs that is within the rate.
    """
    if state.config is None:
        return {}
    shares: dict[CustomerId, int] = {}
    for contract in state.config.contracts:
        share = state.job_rates.within_share(
            contract.customer, contract.weight, now_ms
        )
        if share < 1:
            shares[contract.customer] = int(share * pool_load.PERMILLE)
    return shares


def _add_job(
    state: PoolState,
    tally: _Tally,
    entry: JobEntry,
    now_ms: int,
    beyond: frozenset[CustomerId],
) -> None:
    # Jobs of an earlier owner do not start before its runs are known.
    if entry.is_inherited and not state.is_inheritance_settled:
        return
    if entry.waiting_steps():
        _add_waiting(state, tally, entry, now_ms, beyond)


def _add_waiting(
    state: PoolState,
    tally: _Tally,
    entry: JobEntry,
    now_ms: int,
    beyond: frozenset[CustomerId],
) -> None:
    queue_tally = tally.queues.setdefault(entry.graph.queue, _QueueTally())
    queue_tally.paths_ms.append(max(entry.critical_paths_ms))
    value_end_ms = entry.accepted_ms + VALUE_END_FACTOR * entry.objective_ms
    is_preferred = entry.graph.customer not in beyond and now_ms < value_end_ms
    for step in entry.waiting_steps():
        # Lasting tasks hold their room once they run; they have no work.
        if step.spec.is_lasting:
            continue
        queue = entry.graph.queue
        total_milli = _total_milli(step)
        expected_ms = state.run_times.expected_ms(queue, step.spec)
        queue_tally.work_ms += work_ms(total_milli, expected_ms)
        if not _is_general(entry, step.spec):
            continue
        least_ms = tally.least_ms(queue, expected_ms)
        tasks = WaitingTasks(
            task_group(least_ms, step.spec.charge.processors_milli),
            total_milli,
            work_ms(total_milli, least_ms),
            rank_ms(state, entry, step, now_ms),
        )
        tally.general_tasks.append(tasks)
        tally.preferred_tasks.extend([tasks] if is_preferred else ())


def _total_milli(step: StepEntry) -> int:
    """Return the width of all waiting tasks of a step together."""
    tasks_count = len(step.waiting)
    if step.spec.is_gang:
        tasks_count *= step.spec.tasks_count
    return tasks_count * step.spec.charge.processors_milli


def _is_general(entry: JobEntry, spec: Step) -> bool:
    """Tell whether the work needs nothing but usual workers.

    Other work may wait while usual workers have room, so that a new job does
    not wait for it.
    """
    if entry.policy.advice is not None or spec.is_gang:
        return False
    has_constraint = spec.required_label is not None or spec.per_worker_max
    return not has_constraint and not spec.charge.accelerators_count


def _add_workers(state: PoolState, tally: _Tally, now_ms: int) -> None:
    for view in state.workers:
        if _is_sound(view) and view.entry is not None:
            tally.capacity_milli += view.entry.capacity.processors_milli
            # Without waiting work nobody asks when the runs end.
            if tally.queues:
                _add_runs(state, tally, view, now_ms)
        if _is_ready(view):
            tally.free_milli += max(view.free.processors_milli, 0)


def _add_runs(
    state: PoolState, tally: _Tally, view: WorkerView, now_ms: int
) -> None:
    """Add the runs of a worker; the most frequent step of a measurement."""
    for run in view.runs.values():
        entry = state.jobs.get(run.task.job)
        displaceable_at = None
        left_ms = run.expected_end_ms - now_ms
        if entry is not None:
            left_ms = tally.least_ms(entry.graph.queue, left_ms)
        if entry is not None and run.task.step < len(entry.graph.steps):
            spec = entry.graph.steps[run.task.step]
            if spec.is_checkpointing and not spec.is_gang:
                displaceable_at = entry.policy.priority
        tally.held.add(
            run.charge.processors_milli,
            left_ms,
            displaceable_at,
        )


def _is_sound(view: WorkerView) -> bool:
    """Tell whether the capacity of a worker may serve waiting work."""
    return (
        view.is_listed
        and view.entry is not None
        and view.entry.listing is WorkerListing.LIVE
    )


def _is_ready(view: WorkerView) -> bool:
    return view.is_listed and view.availability is AvailabilityState.READY


def _policies(state: PoolState) -> dict[QueueId, QueuePolicy]:
    if state.config is None:
        return {}
    return {
        policy.queue: policy
        for policy in state.config.queues.values()
        if policy.pool == state.pool
    }


def _queue_loads(
    state: PoolState,
    tally: _Tally,
    drains: DrainRates,
    now_ms: int,
) -> dict[QueueId, pool_load.QueueLoad]:
    usable_milli = tally.usable_milli
    preferred_ms = work_before_start_ms(tally.preferred_tasks, usable_milli)
    loads: dict[QueueId, pool_load.QueueLoad] = {}
    for queue, policy in _policies(state).items():
        queue_tally = tally.queues.get(queue, _QueueTally())
        rank = _newcomer_rank_ms(
            state, policy, queue_tally.least_path_ms, now_ms
        )
        held = tally.held.held_before(policy.priority)
        ahead_ms = work_before_start_ms(
            (tasks for tasks in tally.general_tasks if tasks.rank_ms < rank),
            usable_milli,
        )
        loads[queue] = pool_load.QueueLoad(
            len(queue_tally.paths_ms),
            int(queue_tally.work_ms),
            tally.free_milli + tally.held.displaceable_milli(policy.priority),
            drains.rate_milli(queue, now_ms),
            queue_tally.least_path_ms,
            _waits_ms(tally, ahead_ms, held),
            _waits_ms(tally, preferred_ms, held),
            tally.run_times[queue],
        )
    return loads


def _waits_ms(
    tally: _Tally, works_ms: tuple[int, ...], held: 'Counter[int]'
) -> tuple[int, ...]:
    """Return the waits of new tasks by the work that precedes them."""
    if not tally.queues:
        return pool_load.NO_WAITS_MS
    return tuple(
        earliest_start_ms(before_ms, tally.usable_milli, held)
        for before_ms in works_ms
    )


def _newcomer_rank_ms(
    state: PoolState, policy: QueuePolicy, path_ms: int, now_ms: int
) -> int:
    """Return the rank of a new job of a queue with this critical path.

    A longer job may start later to meet its objective, so it ranks behind.
    """
    job = JobId('')
    graph = JobGraph(job, policy.queue, policy.pool, '', (_NEWCOMER,))
    expected_ms = (float(path_ms),)
    entry = JobEntry(graph, policy, JobProgress(), now_ms, expected_ms)
    step = StepEntry(StepKey(job, 0, 0), _NEWCOMER)
    return rank_ms(state, entry, step, now_ms)


def _run_time_curve(state: PoolState, queue: QueueId) -> pool_load.RunTimeCurve:
    times_ms = [
        int(
            state.run_times.expected_ms(
                queue, Step(1, NO_RESOURCES, estimate_ms=estimate_ms)
            )
        )
        for estimate_ms in (
            0,
            pool_load.SHORT_ESTIMATE_MS,
            pool_load.LONG_ESTIMATE_MS,
        )
    ]
    return pool_load.RunTimeCurve(*times_ms)
