"""Ends of workers: what proves them, what is lost, and losses of power."""

from typing import Final

from fuchsiarill.graphs.crash_trials import is_young
from fuchsiarill.graphs.lost_runs import LostRun, WorkerLoss
from fuchsiarill.graphs.runs import Run
from fuchsiarill.graphs.state import PoolState
from fuchsiarill.graphs.states import AvailabilityState, RunState
from fuchsiarill.graphs.worker_table import WorkerView
from fuchsiarill.ids import JobId, WorkerId
from fuchsiarill.ports.agents import AgentFailure

# Covers the delay of reports and of failed calls in the comparison of the times
# at which workers ended.
_TIME_SLACK_MS: Final = 50


def proves_end(failure: AgentFailure) -> bool:
    """Tell whether a failure proves that the worker process has ended.

    A refused connection does not, not even of a leaving worker without an entry
    in the directory: it may have closed its port and still run its tasks, and a
    broken network link refuses connections too. Its task leases bound the wait.
    """
    return failure is AgentFailure.OTHER_WORKER


def loss_of(view: WorkerView, now_ms: int) -> WorkerLoss:
    """Return the runs that are lost if the worker's incarnation has ended.

    A leaving worker loses none: its end is planned.
    """
    runs: tuple[LostRun, ...] = ()
    if not _is_leaving(view):
        runs = tuple(
            _lost_run(run)
            for run in view.runs.values()
            if _may_have_started(view, run)
        )
    return WorkerLoss(
        view.worker,
        view.address,
        view.rack,
        view.born_ms,
        view.reported_ms,
        now_ms if view.silent_since_ms is None else view.silent_since_ms,
        runs,
    )


def is_power_loss(state: PoolState, loss: WorkerLoss) -> bool:
    """Tell whether all workers of the rack have ended by a loss of power.

    They have to have ended at one time. If a job had a young run on each of
    them, its tasks may have crashed them instead.
    """
    others = _ended_together(state, loss)
    if not others:
        return False
    jobs = _young_jobs(loss.runs)
    return not jobs.intersection(*map(_young_jobs, others.values()))


def _ended_together(
    state: PoolState, loss: WorkerLoss
) -> dict[WorkerId, tuple[LostRun, ...]]:
    """Return the other workers of the rack, with their runs.

    Returns none unless all of them may have ended at one time. Workers that had
    been silent before, or have reported first since then, are left out.
    """
    if loss.rack is None:
        return {}
    ended = {
        end.worker: end.runs
        for end in state.recent_ends.values()
        if end.worker != loss.worker
        and end.rack == loss.rack
        and _is_simultaneous(loss, end.reported_ms, end.silent_ms)
    }
    for view in state.workers:
        if view.rack != loss.rack or not _was_in_touch(view, loss):
            continue
        if view.silent_since_ms is None:
            return {}
        if not _is_simultaneous(loss, view.reported_ms, view.silent_since_ms):
            return {}
        ended.setdefault(
            view.worker, _runs_at_end(state, view, view.silent_since_ms)
        )
    return ended


def _runs_at_end(
    state: PoolState, view: WorkerView, silent_ms: int
) -> tuple[LostRun, ...]:
    """Return the runs of a silent worker, also after its leases expired."""
    runs = loss_of(view, silent_ms).runs
    remembered = state.losses.get(view.worker)
    if remembered is not None and remembered.born_ms == view.born_ms:
        return (*remembered.runs, *runs)
    return runs


def _young_jobs(runs: tuple[LostRun, ...]) -> set[JobId]:
    """Return the jobs with runs that had just started, for certain."""
    return {run.task.job for run in runs if run.is_young and run.is_confirmed}


def _is_leaving(view: WorkerView) -> bool:
    # The directory may have listed the next incarnation as live already.
    return (
        view.leaving_since_ms is not None
        or view.availability is AvailabilityState.LEAVING
    )


def _may_have_started(view: WorkerView, run: Run) -> bool:
    if run.state is RunState.END_UNSEEN:
        return False
    if view.silent_since_ms is None:
        return True
    return run.start_ordered_ms <= view.silent_since_ms


def _lost_run(run: Run) -> LostRun:
    return LostRun(
        run.task,
        run.attempt,
        run.unit_key,
        run.start_ordered_ms,
        is_young(run),
        run.is_on_trial,
        run.is_confirmed,
    )


def _was_in_touch(view: WorkerView, loss: WorkerLoss) -> bool:
    """Tell whether another worker was in touch until the loss."""
    if view.worker == loss.worker:
        return False
    if not 0 < view.in_touch_since_ms <= loss.reported_ms:
        return False
    silent_ms = view.silent_since_ms
    return silent_ms is None or silent_ms + _TIME_SLACK_MS >= loss.reported_ms


def _is_simultaneous(
    loss: WorkerLoss, reported_ms: int, silent_ms: int
) -> bool:
    """Tell whether a worker silent since then may have ended with the lost."""
    return max(reported_ms, loss.reported_ms) <= _TIME_SLACK_MS + min(
        silent_ms, loss.silent_ms
    )
