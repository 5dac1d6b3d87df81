"""Decision round: which waiting units start, and on which workers.

A unit is a task, or a gang whose tasks start together.
"""

from collections.abc import Iterator
from itertools import islice
from typing import Final, NamedTuple

from fuchsiarill import events, graph_events
from fuchsiarill.graphs import (
    advice_requests,
    ceiling_limits,
    crash_trials,
    failure_blame,
    restart_backoff,
    start_windows,
)
from fuchsiarill.graphs.customer_order import (
    is_excess,
    may_have_room,
    update_shares,
)
from fuchsiarill.graphs.effects import StartRun
from fuchsiarill.graphs.gang_reservations import reserve_ahead
from fuchsiarill.graphs.job_entries import JobEntry, StepEntry, Unit
from fuchsiarill.graphs.model import StepKey
from fuchsiarill.graphs.order_state import kind_of
from fuchsiarill.graphs.ordering import rank_ms
from fuchsiarill.graphs.placement import PlacementRequest, UsableWorkers
from fuchsiarill.graphs.preemption import (
    preempt,
    release_room,
    update_rank,
)
from fuchsiarill.graphs.run_actions import allocate_run, extend_leases
from fuchsiarill.graphs.runs import Run
from fuchsiarill.graphs.state import PoolState
from fuchsiarill.graphs.step_placer import StepPlacer
from fuchsiarill.graphs.tickets import IssuedTicket
from fuchsiarill.graphs.worker_table import WorkerView
from fuchsiarill.ids import WorkerId

# While at most this many steps wait, each is considered once an interval.
_RECHECKS_PER_INTERVAL_COUNT: Final = 50
_RECHECK_INTERVAL_MS: Final = 100
# Less than half of the shortest validity of tickets, so that a ticket that
# expires is replaced.
_RECHECK_MAX_MS: Final = 500


class _RankedStep(NamedTuple):
    """An open step with waiting units; sorted by rank, then by key."""

    rank_ms: int
    key: StepKey
    entry: JobEntry
    step: StepEntry


def decide(state: PoolState, now_ms: int) -> None:
    """Start waiting units in the order of the ranks of their steps."""
    waiting = _find_waiting_steps(state)
    recheck_ms = now_ms + _recheck_interval_ms(len(waiting))
    update_shares(state)
    ranked_steps = [
        _RankedStep(rank_ms(state, entry, step, now_ms), step.key, entry, step)
        for entry, step in waiting
        if _is_due(state, entry, step, now_ms)
        and may_have_room(state, entry, step, now_ms)
    ]
    ranked_steps.sort(key=lambda ranked: ranked[:2])
    usable = UsableWorkers(state, now_ms)
    for ranked in ranked_steps:
        if not _schedule_step(state, ranked, usable, now_ms):
            _block_step(state, ranked.step, now_ms, recheck_ms)


def _find_waiting_steps(state: PoolState) -> list[tuple[JobEntry, StepEntry]]:
    waiting: list[tuple[JobEntry, StepEntry]] = []
    for entry in list(state.active_jobs.values()):
        if not entry.is_active:
            state.active_jobs.pop(entry.job)
            continue
        if entry.is_inherited and not state.is_inheritance_settled:
            continue
        waiting.extend((entry, step) for step in entry.waiting_steps())
    return waiting


def _recheck_interval_ms(waiting_count: int) -> int:
    """Return after which time a step is considered without a change of room.

    Tickets, reservations and suspensions expire with time. The interval grows
    with the number of waiting steps, so that the time for these checks stays
    bounded.
    """
    batches_count = 1 + waiting_count // _RECHECKS_PER_INTERVAL_COUNT
    return min(_RECHECK_INTERVAL_MS * batches_count, _RECHECK_MAX_MS)


def _is_due(
    state: PoolState, entry: JobEntry, step: StepEntry, now_ms: int
) -> bool:
    if step.wait.ceiling_since_ms is not None:
        return ceiling_limits.has_room(state, entry, step)
    return _is_due_for_workers(state, entry, step, now_ms)


def _is_due_for_workers(
    state: PoolState, entry: JobEntry, step: StepEntry, now_ms: int
) -> bool:
    if step.wait.is_due or now_ms >= step.wait.recheck_ms:
        return True
    changed = state.room_changes.since(step.wait.blocked_position)
    if changed is None:
        return True
    for worker in changed:
        if _may_have_room(state, entry, step, worker):
            return True
    step.wait.blocked_position = state.room_changes.position
    return False


def _may_have_room(
    state: PoolState, entry: JobEntry, step: StepEntry, worker: WorkerId
) -> bool:
    view = state.workers.find(worker)
    if view is None or not step.spec.charge.fits_in(view.free):
        return False
    if entry.policy.advice is None:
        return True
    return worker in state.tickets.allowed_workers(step.key)


def _block_step(
    state: PoolState, step: StepEntry, now_ms: int, recheck_ms: int
) -> None:
    wait = step.wait
    wait.is_due = False
    wait.blocked_position = state.room_changes.position
    wait.recheck_ms = recheck_ms
    if wait.since_ms is None:
        wait.since_ms = now_ms


def _schedule_step(
    state: PoolState, ranked: _RankedStep, usable: UsableWorkers, now_ms: int
) -> bool:
    """Start the units of a step; returns whether all could be placed.

    Suspects that wait for a quiet worker do so together and delay no other
    unit.
    """
    step = ranked.step
    update_rank(state, step, ranked.rank_ms)
    placer = StepPlacer(state, usable)
    has_waiting_suspect = False
    for unit in _admitted_units(state, ranked, placer, now_ms):
        # The others are not placed either, which saves the time to find out.
        if has_waiting_suspect and crash_trials.must_wait(unit, now_ms):
            continue
        request = PlacementRequest(ranked.entry, step, unit, now_ms)
        workers = placer.place(request)
        if workers is not None:
            _start_unit(state, request, workers)
            continue
        _handle_unplaced_unit(state, request, placer.usable_workers(request))
        if not crash_trials.is_waiting_for_quiet(unit, now_ms):
            return False
        has_waiting_suspect = True
    if step.waiting:
        return False
    release_room(state, step)
    return True


def _units_at_rank(
    state: PoolState, ranked: _RankedStep, now_ms: int
) -> Iterator[Unit]:
    """Return the due units; of a starving step one, the others rank lower."""
    due_units = _due_units(state, ranked, now_ms)
    if ranked.step.wait.floor_since_ms is None:
        return due_units
    return islice(due_units, 1)


def _admitted_units(
    state: PoolState, ranked: _RankedStep, placer: StepPlacer, now_ms: int
) -> Iterator[Unit]:
    """Yield the due units that may start under the ceiling of the customer.

    Without room under it, room on a worker would not help. Only tickets are
    requested, while the claim of the pool is being raised.
    """
    entry, step = ranked.entry, ranked.step
    for unit in _units_at_rank(state, ranked, now_ms):
        if ceiling_limits.admit(state, entry, step, now_ms):
            yield unit
            continue
        if ceiling_limits.may_start_soon(state, entry, step):
            request = PlacementRequest(entry, step, unit, now_ms)
            candidates = placer.usable_workers(request)
            advice_requests.request_advice(state, request, candidates)
        return


def _due_units(
    state: PoolState, ranked: _RankedStep, now_ms: int
) -> Iterator[Unit]:
    """Yield the units whose start is due, last those to blame for failures.

    Looks at each unit only when it is asked for, since a decision often ends at
    the first unit of a wide step.
    """
    to_blame: list[Unit] = []
    for unit in list(ranked.step.waiting.values()):
        if start_windows.is_inherited_open(state, ranked.entry, unit, now_ms):
            continue
        start_windows.forget_starts(state, ranked.entry, unit)
        if restart_backoff.is_delayed(unit, now_ms):
            continue
        if unit.failures.is_to_blame:
            to_blame.append(unit)
            continue
        yield unit
    yield from to_blame


def _handle_unplaced_unit(
    state: PoolState,
    request: PlacementRequest,
    candidates: list[WorkerView],
) -> None:
    """Make room and request tickets for a unit that could not be placed.

    No task makes room for one that is to blame for its failures, or for excess
    work of a customer.
    """
    step = request.step
    is_to_blame = failure_blame.is_to_blame(step, request.unit)
    if not is_to_blame and not is_excess(request.entry, step, request.now_ms):
        allowed = advice_requests.allowed_workers(state, request, candidates)
        if not preempt(state, request, allowed):
            reserve_ahead(state, request, allowed)
    advice_requests.request_advice(state, request, candidates)


def _start_unit(
    state: PoolState,
    request: PlacementRequest,
    workers: list[WorkerView],
) -> None:
    entry, step, unit = request.entry, request.step, request.unit
    unit.last_attempt += 1
    start_windows.forget_starts(state, entry, unit)
    step.activate(unit)
    kind = kind_of(entry.graph.queue, entry.graph.customer, step.spec)
    state.order.served_ms[kind] = request.now_ms
    for task, view in crash_trials.assign_workers(
        unit, step.tasks_of(unit.key), workers, request.now_ms
    ):
        run = Run(
            task,
            unit.last_attempt,
            unit.key,
            view.worker,
            step.spec.charge,
            step.spec.filler_milli,
            entry.graph.customer,
            start_ordered_ms=request.now_ms,
            expected_end_ms=state.expected_end_ms(
                entry, step.spec, request.now_ms, view
            ),
            progress_changed_ms=request.now_ms,
            is_partial=bool(unit.checkpoint),
            is_on_trial=task in unit.suspects,
        )
        unit.runs[run.key] = run
        step.runs_per_worker[view.worker] += 1
        view.consume_reservation(step.key)
        step.consume_room(view.worker)
        allocate_run(state, run)
        extend_leases(state, view, request.now_ms)
        _order_start(state, request, run, view)


def _order_start(
    state: PoolState,
    request: PlacementRequest,
    run: Run,
    view: WorkerView,
) -> None:
    issued: IssuedTicket | None = None
    if request.entry.policy.advice is not None:
        issued = state.tickets.ticket_for(
            request.step.key,
            view,
            request.now_ms,
        )
    start_windows.open_window(
        state.leases,
        run,
        None if issued is None else issued.expiry_ms,
        request.now_ms,
    )
    state.effects.append(
        StartRun(
            run.worker,
            run.task,
            run.attempt,
            request.entry.graph.payload,
            request.unit.checkpoint,
            None if issued is None else issued.ticket,
        ),
    )
    events.emit(
        graph_events.RUN_PLACED,
        job=run.task.job,
        task=run.task.label,
        attempt=run.attempt,
        worker=run.worker,
        waited_ms=request.now_ms - request.entry.accepted_ms,
        free_milli=view.free.processors_milli,
        epoch=state.epoch,
    )
