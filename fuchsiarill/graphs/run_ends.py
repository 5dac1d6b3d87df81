"""Applies the end of a run to its unit (a task or a whole gang) and its job."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

from fuchsiarill import events, graph_events
from fuchsiarill.graphs import (
    crash_trials,
    failure_blame,
    restart_backoff,
    run_samples,
)
from fuchsiarill.graphs.job_actions import apply_job_event
from fuchsiarill.graphs.job_entries import JobEntry, StepEntry, Unit, unit_of
from fuchsiarill.graphs.model import EndKind, EndRow
from fuchsiarill.graphs.run_actions import apply_run_event, stop_attempt
from fuchsiarill.graphs.runs import Run
from fuchsiarill.graphs.state import PoolState
from fuchsiarill.graphs.states import JobPhaseEvent, RunEvent
from fuchsiarill.graphs.worker_table import WorkerView
from fuchsiarill.registry import Registry


@dataclass(frozen=True, slots=True)
class EndContext:
    """A reported end with its unit and its run.

    `run` is `None` if this owner does not know the run.
    """

    state: PoolState
    view: WorkerView
    row: EndRow
    entry: JobEntry
    step: StepEntry
    unit: Unit
    run: Run | None
    now_ms: int

    @property
    def ran_ms(self) -> int | None:
        """Return the time from the start order to the report of the end."""
        return _ran_ms(self.run, self.now_ms)


_Handler = Callable[[EndContext], None]

END_HANDLERS: Final[Registry[EndKind, _Handler]] = Registry('kinds of run ends')


def apply_run_end(
    state: PoolState,
    view: WorkerView,
    row: EndRow,
    now_ms: int,
) -> None:
    """Apply a reported run end; callers must pass each end only once."""
    run = view.runs.get((row.task, row.attempt))
    context = _find_context(state, view, row, run, now_ms)
    _log_end(state, view, row, run, now_ms)
    state.record_start(row.task.job)
    # The handler runs first, so that a unit that it completes is not requeued
    # by the `release` action of `END_REPORTED`.
    if context is not None:
        if run is not None:
            run_samples.record_reported_end(
                state, run, (context.entry, context.step), row.kind, now_ms
            )
        END_HANDLERS.lookup(row.kind)(context)
    if run is not None:
        apply_run_event(state, run, RunEvent.END_REPORTED, now_ms)


def _find_context(
    state: PoolState,
    view: WorkerView,
    row: EndRow,
    run: Run | None,
    now_ms: int,
) -> EndContext | None:
    job_and_step = state.find_step(row.task)
    if job_and_step is None:
        return None
    entry, step = job_and_step
    unit = step.find_unit(unit_of(step.spec, row.task))
    if unit is None or not entry.is_active:
        return None
    return EndContext(state, view, row, entry, step, unit, run, now_ms)


@END_HANDLERS.register(EndKind.SUCCEEDED)
def _apply_success(context: EndContext) -> None:
    state, entry, step = context.state, context.entry, context.step
    failure_blame.record_success(context.view, step)
    if step.spec.is_lasting:
        _delay_restart(context)
        return
    crash_trials.clear_unit(context.unit)
    entry.complete_unit(step, context.unit)
    state.mark_dirty(entry.job)
    if not step.waiting and not step.active:
        state.tickets.remove_step(step.key)
    # The success of one member completes a gang. Its other members end by
    # themselves at the same time, so they are not stopped. Other runs of a
    # single task are stopped.
    for other in list(context.unit.runs.values()):
        if other is context.run:
            continue
        _stop_unless_gang(context, other)
    if entry.is_complete:
        apply_job_event(
            state, entry, JobPhaseEvent.ALL_SUCCEEDED, context.now_ms
        )


def _delay_restart(context: EndContext) -> None:
    if context.ran_ms is not None:
        restart_backoff.record_end(context.unit, context.ran_ms, context.now_ms)


def _stop_unless_gang(context: EndContext, other: Run) -> None:
    if not context.step.spec.is_gang:
        apply_run_event(
            context.state,
            other,
            RunEvent.STOP_ASKED,
            context.now_ms,
        )


@END_HANDLERS.register(EndKind.FAILED)
def _apply_failure(context: EndContext) -> None:
    state, entry, unit = context.state, context.entry, context.unit
    failure_blame.record_failure(
        state,
        context.view,
        failure_blame.RunFailure(
            context.step, unit, context.row.task, context.ran_ms or 0
        ),
        context.now_ms,
    )
    unit.failed_on.add(context.view.worker)
    _apply_end_without_success(context)
    if context.step.spec.is_lasting:
        _delay_restart(context)
        return
    # A set, since several members of one attempt of a gang count once.
    failed_attempts = entry.progress.failed_attempts.setdefault(unit.key, set())
    failed_attempts.add(context.row.attempt)
    state.mark_dirty(entry.job)
    if len(failed_attempts) >= entry.policy.attempts_max:
        apply_job_event(
            state, entry, JobPhaseEvent.ATTEMPTS_USED_UP, context.now_ms
        )


@END_HANDLERS.register(EndKind.STOPPED)
@END_HANDLERS.register(EndKind.LAPSED)
@END_HANDLERS.register(EndKind.BROKEN)
@END_HANDLERS.register(EndKind.ALONE)
def _apply_end_without_success(context: EndContext) -> None:
    unit, row = context.unit, context.row
    unit.last_attempt = max(unit.last_attempt, row.attempt)
    if row.checkpoint and context.step.spec.is_checkpointing:
        unit.checkpoint = row.checkpoint
        context.entry.progress.checkpoints[unit.key] = row.checkpoint
    # The other members of a gang make no progress without this member, and the
    # next attempt of the gang or other tasks need their capacity.
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
        graph_events.RUN_ENDED,
        job=row.task.job,
        task=row.task.label,
        attempt=row.attempt,
        worker=view.worker,
        kind=row.kind.value,
        ran_ms=_ran_ms(run, now_ms),
        epoch=state.epoch,
    )


def _ran_ms(run: Run | None, now_ms: int) -> int | None:
    """Return for how long a run seems to have run, `None` if it is unknown.

    Includes the delivery of the start order and of the report.
    """
    return None if run is None else now_ms - run.start_ordered_ms
