"""Decision round: which waiting units start, and on which workers.

A unit is a task, or a gang whose tasks start together.
"""

from typing import NamedTuple

from fuchsiarill import events
from fuchsiarill.graphs import advice_requests
from fuchsiarill.graphs.effects import StartRun
from fuchsiarill.graphs.gang_reservations import reserve_for_gang
from fuchsiarill.graphs.job_entries import JobEntry, StepEntry
from fuchsiarill.graphs.model import StepKey, Ticket
from fuchsiarill.graphs.ordering import rank_ms
from fuchsiarill.graphs.placement import PlacementRequest
from fuchsiarill.graphs.preemption import preempt
from fuchsiarill.graphs.run_actions import allocate_run, extend_leases
from fuchsiarill.graphs.runs import Run
from fuchsiarill.graphs.state import PoolState
from fuchsiarill.graphs.step_placer import StepPlacer
from fuchsiarill.graphs.worker_table import WorkerView


class _RankedStep(NamedTuple):
    """An open step with waiting units; sorted by rank, then by key."""

    rank_ms: int
    key: StepKey
    entry: JobEntry
    step: StepEntry


def decide(state: PoolState, now_ms: int) -> None:
    """Start waiting units in the order of the ranks of their steps."""
    ranked_steps = [
        _RankedStep(rank_ms(entry, step, now_ms), step.key, entry, step)
        for entry in state.jobs.values()
        if _may_start_job(state, entry)
        for step in entry.steps.values()
        if _has_startable_units(state, step)
    ]
    ranked_steps.sort(key=lambda ranked: ranked[:2])
    for ranked in ranked_steps:
        _schedule_step(state, ranked, now_ms)


def _may_start_job(state: PoolState, entry: JobEntry) -> bool:
    if not entry.is_active:
        return False
    return state.is_inheritance_settled or not entry.is_inherited


def _has_startable_units(state: PoolState, step: StepEntry) -> bool:
    if not step.is_open or not step.waiting:
        return False
    return step.blocked_version != state.free_version


def _schedule_step(state: PoolState, ranked: _RankedStep, now_ms: int) -> None:
    step = ranked.step
    step.rank_ms = ranked.rank_ms
    placer = StepPlacer(state)
    for unit in list(step.waiting.values()):
        request = PlacementRequest(ranked.entry, step, unit, now_ms)
        workers = placer.place(request)
        if workers is None:
            _handle_unplaced_unit(
                state, request, placer.usable_workers(request)
            )
            return
        _start_unit(state, request, workers)


def _handle_unplaced_unit(
    state: PoolState,
    request: PlacementRequest,
    candidates: list[WorkerView],
) -> None:
    """Make room and request tickets for a unit that could not be placed.

    Unless the step waits for an answer about tickets, decision rounds skip it
    until `free_version` changes or one of its units is requeued.
    """
    step = request.step
    allowed = advice_requests.allowed_workers(state, request, candidates)
    if not preempt(state, request, allowed) and step.spec.is_gang:
        reserve_for_gang(state, request, allowed)
    if not advice_requests.request_advice(state, request, candidates):
        step.blocked_version = state.free_version


def _start_unit(
    state: PoolState,
    request: PlacementRequest,
    workers: list[WorkerView],
) -> None:
    entry, step, unit = request.entry, request.step, request.unit
    unit.last_attempt += 1
    step.activate(unit)
    if not entry.progress.has_started:
        entry.progress.has_started = True
    for task, view in zip(step.tasks_of(unit.key), workers, strict=True):
        run = Run(
            task,
            unit.last_attempt,
            unit.key,
            view.worker,
            step.spec.charge,
            step.spec.filler_milli,
            start_ordered_ms=request.now_ms,
            progress_changed_ms=request.now_ms,
        )
        unit.runs[run.key] = run
        step.runs_per_worker[view.worker] += 1
        view.consume_reservation(step.key)
        allocate_run(state, run)
        extend_leases(state, view, request.now_ms)
        _order_start(state, request, run, view)


def _order_start(
    state: PoolState,
    request: PlacementRequest,
    run: Run,
    view: WorkerView,
) -> None:
    ticket: Ticket | None = None
    if request.entry.policy.advice is not None:
        ticket = state.tickets.ticket_for(
            request.step.key,
            view,
            request.now_ms,
        )
    state.effects.append(
        StartRun(
            run.worker,
            run.task,
            run.attempt,
            request.entry.graph.payload,
            request.unit.checkpoint,
            ticket,
        ),
    )
    events.emit(
        events.RUN_PLACED,
        job=run.task.job,
        task=run.task.label,
        attempt=run.attempt,
        worker=run.worker,
        waited_ms=request.now_ms - request.entry.accepted_ms,
        free_milli=view.free.processors_milli,
        epoch=state.epoch,
    )
