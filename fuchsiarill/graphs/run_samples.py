"""Passes the ends of runs to the model of run times.

An end with success is a sample. Other ends, and successes of runs whose
beginning this owner has not seen, show only that the run time is longer.
"""

from fuchsiarill.graphs.job_entries import JobEntry, StepEntry
from fuchsiarill.graphs.model import EndKind, Step
from fuchsiarill.graphs.runs import Run
from fuchsiarill.graphs.state import PoolState
from fuchsiarill.run_times.run_times import EndedRun


def record_reported_end(
    state: PoolState,
    run: Run,
    job_and_step: tuple[JobEntry, StepEntry],
    kind: EndKind,
    now_ms: int,
) -> None:
    """Record the end of a run that its worker has reported."""
    entry, step = job_and_step
    if step.spec.is_lasting:
        return
    if kind is EndKind.SUCCEEDED and not run.is_partial:
        ended = _ended_run(state, entry, step.spec, run, now_ms)
        state.run_times.add_success(ended, now_ms)
        return
    end_ms = now_ms if run.stop_ordered_ms is None else run.stop_ordered_ms
    ended = _ended_run(state, entry, step.spec, run, end_ms)
    state.run_times.add_bound(ended, now_ms)


def record_loss(state: PoolState, run: Run, now_ms: int) -> None:
    """Record that a run has ended without a report.

    It has run at least until the last report that lists it.
    """
    job_and_step = state.find_step(run.task)
    if job_and_step is None or not run.is_listed:
        return
    entry, step = job_and_step
    if step.spec.is_lasting:
        return
    listed_ms = run.start_ordered_ms + run.listed_age_ms
    ended = _ended_run(state, entry, step.spec, run, listed_ms)
    state.run_times.add_bound(ended, now_ms)


def _ended_run(
    state: PoolState, entry: JobEntry, step: Step, run: Run, end_ms: int
) -> EndedRun:
    view = state.workers.find(run.worker)
    return EndedRun(
        entry.graph.queue,
        step,
        run.worker,
        end_ms - run.start_ordered_ms,
        entry.graph.customer,
        is_remote=view is not None and view.is_away_from(step.data_rack),
    )
