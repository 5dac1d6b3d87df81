"""Counts the crashes of workers under units and gives up those that cause them.

The end of a worker is proved by a later incarnation under the same id, or by
another worker at its address. The end is a crash unless the worker was leaving
or its rack lost power.
"""

from dataclasses import replace
from typing import Final

from fuchsiarill import events
from fuchsiarill.graphs.crash_trials import (
    WHOLE_RUN_CRASHES_COUNT,
    is_young,
    suspect_unit,
)
from fuchsiarill.graphs.job_actions import apply_job_event
from fuchsiarill.graphs.lost_runs import LostRun, WorkerLoss
from fuchsiarill.graphs.model import BornMs, WorkerEntry, WorkerListing
from fuchsiarill.graphs.progress import UnitKey
from fuchsiarill.graphs.runs import Run
from fuchsiarill.graphs.state import PoolState
from fuchsiarill.graphs.states import AvailabilityState, JobPhaseEvent
from fuchsiarill.graphs.worker_table import WorkerView
from fuchsiarill.ids import JobId, WorkerId
from fuchsiarill.ports.agents import AgentFailure

# A unit that was alone on trial in a crash is given up at the second one: the
# first may have had another cause.
_CONVICTING_CRASHES_COUNT: Final = 2
# A suspected unit is given up at this number of crashes in any case, since each
# further start may cost a worker.
_CRASHES_MAX_COUNT: Final = 3
# Covers the delay of reports and of failed calls in the comparison of the times
# at which workers ended.
_TIME_SLACK_MS: Final = 50
# How long a worker may stay away for a loss of its runs to count as a crash.
_LOSS_RETENTION_MS: Final = 60_000

_UnitId = tuple[JobId, UnitKey]


def proves_end(view: WorkerView, failure: AgentFailure) -> bool:
    """Tell whether a failure proves that the worker process has ended."""
    if failure is AgentFailure.OTHER_WORKER:
        return True
    # A leaving worker withdraws its directory entry and closes its port. A
    # refused connection alone proves nothing: a broken network link can reset
    # connections too.
    has_left = (
        view.availability is AvailabilityState.LEAVING and not view.is_listed
    )
    return has_left and failure is AgentFailure.CONNECTION_REFUSED


def loss_of(view: WorkerView, now_ms: int) -> WorkerLoss:
    """Return the runs that are lost if the worker's incarnation has ended.

    A leaving worker loses none: its end is planned.
    """
    runs: tuple[LostRun, ...] = ()
    if not _is_leaving(view):
        runs = tuple(
            _lost_run(view, run)
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


def remember_loss(state: PoolState, view: WorkerView, now_ms: int) -> None:
    """Keep the runs of a worker whose leases have expired.

    The worker may have crashed or may only be cut off.
    """
    loss = loss_of(view, now_ms)
    if loss.runs:
        state.losses[view.worker] = loss


def settle_loss(
    state: PoolState, worker: WorkerId, born_ms: BornMs, now_ms: int
) -> None:
    """Count or drop a remembered loss when the worker reports again.

    It has crashed only if it reports as a later incarnation.
    """
    loss = state.losses.pop(worker, None)
    if loss is not None and born_ms > loss.born_ms:
        count_end(state, loss, now_ms)


def apply_entries(
    state: PoolState, entries: list[WorkerEntry], now_ms: int
) -> None:
    """Settle the remembered losses that the directory explains.

    A later worker at the address proves the end of the earlier one. A worker
    that is listed as leaving has a planned end.
    """
    for expired in list(state.losses.values()):
        if now_ms - expired.reported_ms > _LOSS_RETENTION_MS:
            state.losses.pop(expired.worker)
    if not state.losses:
        return
    for entry in entries:
        if entry.listing is WorkerListing.LEAVING:
            state.losses.pop(entry.worker, None)
        for loss in list(state.losses.values()):
            if _is_successor(entry, loss):
                count_end(state, state.losses.pop(loss.worker), now_ms)


def count_end(state: PoolState, loss: WorkerLoss, now_ms: int) -> None:
    """Count the proved end of a worker for the units that it ran.

    The runs that were lost must have been marked as such before. An end that a
    loss of power explains is not counted.
    """
    remembered = state.losses.pop(loss.worker, None)
    if remembered is not None and remembered.born_ms == loss.born_ms:
        loss = replace(loss, runs=(*loss.runs, *remembered.runs))
    _record_end(state, loss)
    if not loss.runs:
        return
    is_power_loss = _is_power_loss(state, loss)
    units = _lost_units(loss)
    suspected_count = sum(run.is_suspected for run in units.values())
    events.emit(
        events.WORKER_CRASHED,
        worker=loss.worker,
        runs=len(loss.runs),
        suspected=suspected_count,
        is_power_loss=is_power_loss,
    )
    if is_power_loss:
        return
    for run in units.values():
        _count_crash(state, loss, run, suspected_count == 1, now_ms)


def _is_leaving(view: WorkerView) -> bool:
    # The directory may have listed the next incarnation as live already.
    return (
        view.leaving_since_ms is not None
        or view.availability is AvailabilityState.LEAVING
    )


def _may_have_started(view: WorkerView, run: Run) -> bool:
    if view.silent_since_ms is None:
        return True
    return run.start_ordered_ms <= view.silent_since_ms


def _lost_run(view: WorkerView, run: Run) -> LostRun:
    return LostRun(
        run.task,
        run.attempt,
        run.unit_key,
        run.is_on_trial or is_young(run),
        run.is_listed or _is_confirmed_before_silence(view, run),
    )


def _is_confirmed_before_silence(view: WorkerView, run: Run) -> bool:
    """Tell whether the incarnation that has ended confirmed the start.

    An answer without a later failure may be of the next incarnation.
    """
    if run.visible_since_ms is None or view.silent_since_ms is None:
        return False
    return run.visible_since_ms <= view.silent_since_ms


def _is_successor(entry: WorkerEntry, loss: WorkerLoss) -> bool:
    if entry.worker == loss.worker or entry.address != loss.address:
        return False
    return entry.born_ms > loss.born_ms


def _record_end(state: PoolState, loss: WorkerLoss) -> None:
    """Keep the end for the comparison with the ends of other workers."""
    state.recent_ends[loss.worker] = loss
    for end in list(state.recent_ends.values()):
        if end.reported_ms < loss.reported_ms - _LOSS_RETENTION_MS:
            state.recent_ends.pop(end.worker)


def _is_power_loss(state: PoolState, loss: WorkerLoss) -> bool:
    """Tell whether all workers of the rack may have ended at one time.

    Workers that had been silent before, or have reported first since then, are
    left out.
    """
    if loss.rack is None:
        return False
    ended_together = any(
        end.rack == loss.rack
        and _is_simultaneous(loss, end.reported_ms, end.silent_ms)
        for end in state.recent_ends.values()
        if end.worker != loss.worker
    )
    for view in state.workers:
        if view.rack != loss.rack or not _was_in_touch(view, loss):
            continue
        if view.silent_since_ms is None:
            return False
        if not _is_simultaneous(loss, view.reported_ms, view.silent_since_ms):
            return False
        ended_together = True
    return ended_together


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


def _lost_units(loss: WorkerLoss) -> dict[_UnitId, LostRun]:
    """Return one lost run for each unit: a gang counts once a crash."""
    return {(run.task.job, run.unit_key): run for run in loss.runs}


def _count_crash(
    state: PoolState,
    loss: WorkerLoss,
    run: LostRun,
    is_only_suspect: bool,
    now_ms: int,
) -> None:
    job_and_step = state.find_step(run.task)
    if job_and_step is None or not job_and_step[0].is_active:
        return
    entry, step = job_and_step
    unit = step.find_unit(run.unit_key)
    if unit is None or not entry.progress.add_crash(unit.key, run.attempt):
        return
    state.mark_dirty(entry.job)
    count = entry.progress.crashes_count(unit.key)
    if not _is_guilty(run, count, is_only_suspect):
        if run.is_suspected or count >= WHOLE_RUN_CRASHES_COUNT:
            suspect_unit(state, entry, unit)
        return
    events.emit(
        events.TASK_GIVEN_UP,
        job=entry.job,
        task=run.task.label,
        attempt=run.attempt,
        worker=loss.worker,
        crashes=count,
    )
    apply_job_event(state, entry, JobPhaseEvent.WORKERS_CRASHED, now_ms)


def _is_guilty(run: LostRun, count: int, is_only_suspect: bool) -> bool:
    if not run.is_suspected:
        return False
    if count >= _CRASHES_MAX_COUNT:
        return True
    return (
        count >= _CONVICTING_CRASHES_COUNT
        and is_only_suspect
        and run.is_confirmed
    )
