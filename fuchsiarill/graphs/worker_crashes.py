"""Counts the crashes of workers under tasks and gives up those that cause them.

The end of a worker is proved by a report of another incarnation under its id,
or by another worker at its address. The end is a crash unless the worker was
leaving or its rack lost power. It counts for the runs that the worker is known
to have started. A start order that may not have reached the worker makes its
task a suspect, whose next run is on trial, and no more.

Each member of a gang has a count of its own. A crash under one member breaks
the runs of the others, which shows nothing about them.
"""

from dataclasses import replace
from typing import Final

from fuchsiarill import events, graph_events
from fuchsiarill.graphs import crash_trials
from fuchsiarill.graphs.job_actions import apply_job_event
from fuchsiarill.graphs.job_entries import JobEntry, Unit
from fuchsiarill.graphs.lost_runs import LostRun, WorkerLoss
from fuchsiarill.graphs.model import BornMs, WorkerEntry, WorkerListing
from fuchsiarill.graphs.progress import CrashedRun, UnitKey
from fuchsiarill.graphs.runs import Run
from fuchsiarill.graphs.state import PoolState
from fuchsiarill.graphs.states import CrashVerdict, JobPhaseEvent
from fuchsiarill.graphs.worker_ends import is_power_loss, loss_of
from fuchsiarill.graphs.worker_table import WorkerView
from fuchsiarill.ids import JobId, WorkerId

# A task whose unit was the only suspect of a crash is given up at the second
# one, and no task is given up before.
_KNOWN_CRASHES_MIN_COUNT: Final = 2
# A task that has just started on trial is given up at this number of crashes in
# any case, since each further start may cost a worker.
_CRASHES_MAX_COUNT: Final = 3
# A task that ends its worker before the answer to the start is never known to
# have started. It is given up at this number of losses of either kind.
_LOSSES_MAX_COUNT: Final = 4
# How long a worker may stay away for a loss of its runs to count as a crash,
# and how long crashes are kept to be taken off the units that did not cause
# them.
_LOSS_RETENTION_MS: Final = 60_000

_UnitId = tuple[JobId, UnitKey]


def remember_loss(
    state: PoolState, view: WorkerView, expired: list[Run], now_ms: int
) -> None:
    """Keep the runs of a worker whose leases have expired.

    The worker may have crashed or may only be cut off.
    """
    keys = {run.key for run in expired}
    loss = loss_of(view, now_ms)
    runs = tuple(run for run in loss.runs if (run.task, run.attempt) in keys)
    if not runs:
        return
    remembered = state.losses.get(view.worker)
    if remembered is not None and remembered.born_ms == loss.born_ms:
        runs = (*remembered.runs, *runs)
    state.losses[view.worker] = replace(loss, runs=runs)


def settle_loss(
    state: PoolState, worker: WorkerId, born_ms: BornMs, now_ms: int
) -> None:
    """Count or drop a remembered loss when the worker reports again.

    It has crashed only if another incarnation reports.
    """
    loss = state.losses.pop(worker, None)
    if loss is not None and born_ms != loss.born_ms:
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
            if _is_successor(state, entry, loss):
                count_end(state, state.losses.pop(loss.worker), now_ms)


def count_end(state: PoolState, loss: WorkerLoss, now_ms: int) -> None:
    """Count the proved end of a worker for the tasks that it ran.

    The runs that were lost must have been marked as such before. An end that a
    loss of power explains is not counted.
    """
    # A remembered loss of another incarnation is kept: the owner forgets an
    # unlisted worker, and then knows no incarnation when it reports again.
    remembered = state.losses.get(loss.worker)
    if remembered is not None and remembered.born_ms == loss.born_ms:
        state.losses.pop(loss.worker)
        loss = replace(loss, runs=(*loss.runs, *remembered.runs))
    _record_end(state, loss)
    if not loss.runs:
        return
    has_no_power = is_power_loss(state, loss)
    suspects = _suspects_of(loss)
    events.emit(
        graph_events.WORKER_CRASHED,
        worker=loss.worker,
        runs=len(loss.runs),
        confirmed=sum(run.is_confirmed for run in loss.runs),
        suspected=len(_units_of(suspects)),
        is_power_loss=has_no_power,
    )
    if has_no_power:
        return
    verdicts = [
        (run, _count_crash(state, loss, run, suspects)) for run in loss.runs
    ]
    for run, verdict in verdicts:
        if verdict is None:
            continue
        _give_up(state, loss, run, verdict, now_ms)
        if len(_units_of(suspects)) == 1:
            _discount_other_crashes(state, run)


def _is_successor(
    state: PoolState, entry: WorkerEntry, loss: WorkerLoss
) -> bool:
    """Tell whether another worker has come to the address since the loss."""
    if entry.worker == loss.worker or entry.address != loss.address:
        return False
    view = state.workers.find(entry.worker)
    return view is not None and view.at_address_since_ms > loss.reported_ms


def _record_end(state: PoolState, loss: WorkerLoss) -> None:
    # An end is proved by each call until the channel closes; only the first
    # finds runs.
    if loss.runs or (loss.worker, loss.born_ms) not in state.recent_ends:
        state.recent_ends[loss.worker, loss.born_ms] = loss
    for key, end in list(state.recent_ends.items()):
        if end.reported_ms < loss.reported_ms - _LOSS_RETENTION_MS:
            state.recent_ends.pop(key)


def _suspects_of(loss: WorkerLoss) -> set[LostRun]:
    """Return the runs that may have caused a crash.

    Runs that had started well before a trial would have crashed the worker
    earlier, and none starts during a trial.
    """
    trials = [run for run in loss.runs if run.is_on_trial]
    if not trials:
        return {run for run in loss.runs if run.is_young}
    quiet_since_ms = min(run.start_ordered_ms for run in trials)
    quiet_since_ms -= crash_trials.QUIET_MS
    return {
        run
        for run in loss.runs
        if run.is_on_trial
        or (run.is_young and run.start_ordered_ms > quiet_since_ms)
    }


def _units_of(runs: set[LostRun]) -> set[_UnitId]:
    return {run.unit_id for run in runs}


def _count_crash(
    state: PoolState, loss: WorkerLoss, run: LostRun, suspects: set[LostRun]
) -> CrashVerdict | None:
    """Count a crash for a task; returns why to give it up, or `None`."""
    entry_and_unit = _find_unit(state, run)
    if entry_and_unit is None:
        return None
    entry, unit = entry_and_unit
    if not run.is_confirmed:
        if run not in suspects:
            return None
        crash_trials.suspect_task(state, entry, unit, run.task)
        unit.unconfirmed_losses.add((run.task, run.attempt))
        _log_crash(loss, run, _losses_count(entry, unit, run), is_suspect=True)
        return _verdict_on_unconfirmed_loss(entry, unit, run)
    crashed = CrashedRun(run.attempt, run.task.position)
    if not entry.progress.add_crash(unit.key, crashed):
        return None
    state.mark_dirty(entry.job)
    count = entry.progress.crashes_under(unit.key, run.task.position)
    _log_crash(loss, run, count, is_suspect=run in suspects)
    verdict = _verdict_on(entry, run, _units_of(suspects))
    if verdict is not None:
        return verdict
    if run in suspects or count >= crash_trials.WHOLE_RUN_CRASHES_COUNT:
        crash_trials.suspect_task(state, entry, unit, run.task)
    return None


def _verdict_on_unconfirmed_loss(
    entry: JobEntry, unit: Unit, run: LostRun
) -> CrashVerdict | None:
    """Return why a task with a loss that may be no crash is to be given up."""
    known_count = _known_crashes_count(entry, run)
    known_count += _unconfirmed_losses_count(unit, run)
    if not run.is_on_trial or known_count < _KNOWN_CRASHES_MIN_COUNT:
        return None
    if _losses_count(entry, unit, run) >= _LOSSES_MAX_COUNT:
        return CrashVerdict.UNCONFIRMED_LOSSES
    return None


def _losses_count(entry: JobEntry, unit: Unit, run: LostRun) -> int:
    """Return the number of crashes and unconfirmed losses under the task."""
    return _unconfirmed_losses_count(unit, run) + entry.progress.crashes_under(
        unit.key, run.task.position
    )


def _unconfirmed_losses_count(unit: Unit, run: LostRun) -> int:
    return sum(task == run.task for task, _ in unit.unconfirmed_losses)


def _verdict_on(
    entry: JobEntry, run: LostRun, suspected_units: set[_UnitId]
) -> CrashVerdict | None:
    """Return why a task on trial is to be given up, or `None`.

    The first crash may have had another cause.
    """
    known_count = _known_crashes_count(entry, run)
    if not run.is_on_trial or known_count < _KNOWN_CRASHES_MIN_COUNT:
        return None
    if suspected_units == {run.unit_id}:
        return CrashVerdict.ONLY_SUSPECT
    count = entry.progress.crashes_under(run.unit_key, run.task.position)
    if run.is_young and count >= _CRASHES_MAX_COUNT:
        return CrashVerdict.REPEATED_EARLY
    return None


def _known_crashes_count(entry: JobEntry, run: LostRun) -> int:
    """Return how many crashes are known to have hit workers of the task.

    Crashes without a recorded run may all have hit other members of a gang.
    """
    if entry.graph.steps[run.task.step].is_gang:
        return entry.progress.known_crashes_under(
            run.unit_key, run.task.position
        )
    return entry.progress.crashes_count(run.unit_key)


def _log_crash(
    loss: WorkerLoss, run: LostRun, count: int, *, is_suspect: bool
) -> None:
    events.emit(
        graph_events.CRASH_COUNTED,
        job=run.task.job,
        task=run.task.label,
        attempt=run.attempt,
        worker=loss.worker,
        ran_ms=max(loss.silent_ms - run.start_ordered_ms, 0),
        is_confirmed=run.is_confirmed,
        is_on_trial=run.is_on_trial,
        is_suspect=is_suspect,
        crashes=count,
    )


def _find_unit(state: PoolState, run: LostRun) -> tuple[JobEntry, Unit] | None:
    """Return the unit of a lost run, or `None` if it has been settled."""
    job_and_step = state.find_step(run.task)
    if job_and_step is None or not job_and_step[0].is_active:
        return None
    unit = job_and_step[1].find_unit(run.unit_key)
    return None if unit is None else (job_and_step[0], unit)


def _give_up(
    state: PoolState,
    loss: WorkerLoss,
    run: LostRun,
    verdict: CrashVerdict,
    now_ms: int,
) -> None:
    """Let the job of a task fail, unless another task has ended it."""
    entry_and_unit = _find_unit(state, run)
    if entry_and_unit is None:
        return
    entry, unit = entry_and_unit
    events.emit(
        graph_events.TASK_GIVEN_UP,
        job=entry.job,
        task=run.task.label,
        attempt=run.attempt,
        worker=loss.worker,
        crashes=_losses_count(entry, unit, run),
        verdict=verdict.value,
    )
    apply_job_event(state, entry, JobPhaseEvent.WORKERS_CRASHED, now_ms)


def _discount_other_crashes(state: PoolState, run: LostRun) -> None:
    """Take the crashes that a run's unit has caused off the other units."""
    for end in state.recent_ends.values():
        if run.unit_id in _units_of(_suspects_of(end)):
            for other in end.runs:
                _discount_crash(state, other)


def _discount_crash(state: PoolState, run: LostRun) -> None:
    entry_and_unit = _find_unit(state, run)
    if entry_and_unit is None:
        return
    entry, unit = entry_and_unit
    position = run.task.position
    unit.unconfirmed_losses.discard((run.task, run.attempt))
    crashed = CrashedRun(run.attempt, position)
    if entry.progress.remove_crash(unit.key, crashed):
        state.mark_dirty(entry.job)
    if not entry.progress.crashes_under(unit.key, position):
        crash_trials.end_trials(state, unit, run.task)
