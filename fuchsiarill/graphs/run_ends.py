"""Effect of the end of a run on its unit and its job."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

from fuchsiarill import events
from fuchsiarill.graphs import worker_suspension
from fuchsiarill.graphs.job_actions import step_job
from fuchsiarill.graphs.job_entries import JobEntry, StepEntry, Unit, unit_of
from fuchsiarill.graphs.model import EndKind, EndRow
from fuchsiarill.graphs.run_actions import step_run, stop_attempt
from fuchsiarill.graphs.runs import Run
from fuchsiarill.graphs.state import PoolState
from fuchsiarill.graphs.states import JobPhaseEvent, RunEvent
from fuchsiarill.graphs.worker_table import WorkerView
from fuchsiarill.registry import Registry


@dataclass(frozen=True, slots=True)
class EndContext:
    """A reported end with the unit and, if known, the run that it ended."""

    state: PoolState
    view: WorkerView
    row: EndRow
    entry: JobEntry
    step: StepEntry
    unit: Unit
    run: Run | None
    now_ms: int


_Handler = Callable[[EndContext], None]

END_KINDS: Final[Registry[EndKind, _Handler]] = Registry('kinds of run ends')


def apply_run_end(
    state: PoolState,
    view: WorkerView,
    row: EndRow,
    now_ms: int,
) -> None:
    """Apply an end that a worker reports; must be called once for each."""
    run = view.runs.get((row.task, row.attempt))
    context = _context(state, view, row, run, now_ms)
    _log_end(state, view, row, run, now_ms)
    if context is not None:
        END_KINDS.lookup(row.kind)(context)
    if run is not None:
        step_run(state, run, RunEvent.END_REPORTED, now_ms)


def _context(
    state: PoolState,
    view: WorkerView,
    row: EndRow,
    run: Run | None,
    now_ms: int,
) -> EndContext | None:
    found = state.find_step(row.task)
    if found is None:
        return None
    entry, step = found
    unit = step.find_unit(unit_of(step.step, row.task))
    if unit is None or not entry.is_active:
        return None
    return EndContext(state, view, row, entry, step, unit, run, now_ms)


@END_KINDS.register(EndKind.SUCCEEDED)
def _succeeded(context: EndContext) -> None:
    state, entry, step = context.state, context.entry, context.step
    worker_suspension.record_success(context.view)
    if context.run is not None:
        duration_ms = context.now_ms - context.run.ordered_ms
        state.run_times.add(
            entry.graph.queue,
            step.step,
            context.view.worker,
            duration_ms,
        )
    if step.step.is_lasting:
        return
    entry.complete_unit(step, context.unit)
    state.mark_dirty(entry.job)
    if not step.waiting and not step.active:
        state.tickets.remove_step(step.key)
    # The members of a gang end by themselves, at the same time. Other copies
    # of a single task are not needed any more.
    for other in list(context.unit.runs.values()):
        if other is context.run:
            continue
        _end_other(context, other)
    if entry.is_complete:
        step_job(state, entry, JobPhaseEvent.ALL_SUCCEEDED, context.now_ms)


def _end_other(context: EndContext, other: Run) -> None:
    if not context.step.step.is_gang:
        step_run(
            context.state,
            other,
            RunEvent.STOP_ASKED,
            context.now_ms,
        )


@END_KINDS.register(EndKind.FAILED)
def _failed(context: EndContext) -> None:
    state, entry, unit = context.state, context.entry, context.unit
    worker_suspension.record_failure(
        context.view, context.row.task, context.now_ms
    )
    unit.failed_on.add(context.view.worker)
    _returned(context)
    if context.step.step.is_lasting:
        return
    failed = entry.progress.failed_attempts.setdefault(unit.key, set())
    failed.add(context.row.attempt)
    state.mark_dirty(entry.job)
    if len(failed) >= entry.policy.attempts_max:
        step_job(state, entry, JobPhaseEvent.ATTEMPTS_USED_UP, context.now_ms)


@END_KINDS.register(EndKind.STOPPED)
@END_KINDS.register(EndKind.LAPSED)
@END_KINDS.register(EndKind.BROKEN)
@END_KINDS.register(EndKind.ALONE)
def _returned(context: EndContext) -> None:
    unit, row = context.unit, context.row
    unit.last_attempt = max(unit.last_attempt, row.attempt)
    if row.checkpoint and context.step.step.is_checkpointing:
        unit.checkpoint = row.checkpoint
        context.entry.progress.checkpoints[unit.key] = row.checkpoint
    # The other members of a gang make no progress without this one, and their
    # capacity is needed.
    stop_attempt(
        context.state,
        unit,
        row.attempt,
        context.run,
        context.now_ms,
    )


def _log_end(
    state: PoolState,
    view: WorkerView,
    row: EndRow,
    run: Run | None,
    now_ms: int,
) -> None:
    events.emit(
        events.RUN_ENDED,
        job=row.task.job,
        task=row.task.label,
        attempt=row.attempt,
        worker=view.worker,
        kind=row.kind.value,
        ran_ms=None if run is None else now_ms - run.ordered_ms,
        epoch=state.epoch,
    )
