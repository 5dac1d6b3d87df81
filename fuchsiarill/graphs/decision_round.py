"""Decides which waiting units start, and where."""

from typing import NamedTuple

from fuchsiarill import events
from fuchsiarill.graphs import advice_requests
from fuchsiarill.graphs.effects import StartRun
from fuchsiarill.graphs.gang_reservations import reserve_for_gang
from fuchsiarill.graphs.job_entries import JobEntry, StepEntry
from fuchsiarill.graphs.model import StepKey, Ticket
from fuchsiarill.graphs.ordering import rank_ms
from fuchsiarill.graphs.placement import Request
from fuchsiarill.graphs.preemption import preempt
from fuchsiarill.graphs.run_actions import allocate_run, extend_leases
from fuchsiarill.graphs.runs import Run
from fuchsiarill.graphs.state import PoolState
from fuchsiarill.graphs.step_placer import StepPlacer
from fuchsiarill.graphs.worker_table import WorkerView


class _Ranked(NamedTuple):
    """A step with units that can start, sorted by its rank."""

    rank_ms: int
    key: StepKey
    entry: JobEntry
    step: StepEntry


def decide(state: PoolState, now_ms: int) -> None:
    """Start waiting units in the order of the ranks of their steps."""
    ranked = [
        _Ranked(rank_ms(entry, step, now_ms), step.key, entry, step)
        for entry in state.jobs.values()
        if _may_start(state, entry)
        for step in entry.steps.values()
        if _has_startable_units(state, step)
    ]
    ranked.sort(key=lambda row: row[:2])
    for row in ranked:
        _schedule_step(state, row, now_ms)


def _may_start(state: PoolState, entry: JobEntry) -> bool:
    if not entry.is_active:
        return False
    return state.is_inheritance_settled or not entry.is_inherited


def _has_startable_units(state: PoolState, step: StepEntry) -> bool:
    if not step.is_open or not step.waiting:
        return False
    return step.blocked_version != state.free_version


def _schedule_step(state: PoolState, row: _Ranked, now_ms: int) -> None:
    step = row.step
    step.rank_ms = row.rank_ms
    placer = StepPlacer(state)
    for unit in list(step.waiting.values()):
        request = Request(row.entry, step, unit, now_ms)
        placed = placer.place(request)
        if placed is None:
            _handle_blocked(state, request, placer.usable(request))
            return
        _start(state, request, placed)


def _handle_blocked(
    state: PoolState,
    request: Request,
    candidates: list[WorkerView],
) -> None:
    """Make room or request tickets for a unit that could not be placed.

    If neither is in progress, the step is skipped until capacity changes.
    """
    step = request.step
    allowed = advice_requests.allowed_workers(state, request, candidates)
    if not preempt(state, request, allowed) and step.step.is_gang:
        reserve_for_gang(state, request, allowed)
    if not advice_requests.request_advice(state, request, candidates):
        step.blocked_version = state.free_version


def _start(
    state: PoolState,
    request: Request,
    placed: list[WorkerView],
) -> None:
    entry, step, unit = request.entry, request.step, request.unit
    unit.last_attempt += 1
    step.activate(unit)
    if not entry.progress.has_started:
        entry.progress.has_started = True
    for task, view in zip(step.tasks_of(unit.key), placed, strict=True):
        run = Run(
            task,
            unit.last_attempt,
            unit.key,
            view.worker,
            step.step.charge,
            step.step.filler_milli,
            ordered_ms=request.now_ms,
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
    request: Request,
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
