"""Slows filler tasks while they raise the latency of serving tasks.

A filler uses processors that other tasks leave idle. A serving task has a
target for its tail latency.
"""

from typing import Final

from fuchsiarill import events, graph_events
from fuchsiarill.graphs.effects import PaceRun
from fuchsiarill.graphs.model import FULL_PACE_PERCENT
from fuchsiarill.graphs.runs import Run
from fuchsiarill.graphs.state import PoolState
from fuchsiarill.graphs.states import RunState

# A reported tail latency is a rough estimate over the last half second; a
# change of pace shows in the second such interval after the change.
_ADJUSTMENT_INTERVAL_MS: Final = 900
# Shares of the target latency above which fillers are paused, and below which
# they are sped up.
_PAUSE_SHARE: Final = 0.9
_SPEED_UP_SHARE: Final = 0.6
_PACES_PERCENT: Final = (0, 25, 50, 75, FULL_PACE_PERCENT)


def pace_fillers(state: PoolState, now_ms: int) -> None:
    """Set the pace of fillers by the worst tail latency on their worker.

    Fillers on a worker without serving tasks keep their pace.
    """
    for view in state.workers:
        if not view.serving_count or not view.filler_milli:
            continue
        latency_shares = [
            _tail_latency_share(state, run) for run in view.runs.values()
        ]
        for run in view.runs.values():
            _adjust_pace(state, run, max(latency_shares), now_ms)


def _tail_latency_share(state: PoolState, run: Run) -> float:
    """Return the tail latency of a task as a share of its target.

    Returns 0 for a task without a target or a reported latency.
    """
    entry = state.jobs.get(run.task.job)
    if entry is None or run.usage is None:
        return 0
    target_ms = entry.graph.steps[run.task.step].target_tail_ms
    return 0 if target_ms is None else run.usage / target_ms


def _adjust_pace(
    state: PoolState, run: Run, worst_share: float, now_ms: int
) -> None:
    if not run.filler_milli or run.state is not RunState.RUNNING:
        return
    if now_ms - run.pace_changed_ms < _ADJUSTMENT_INTERVAL_MS:
        return
    percent = run.pace_percent
    if worst_share > _PAUSE_SHARE:
        # Violations of the target count from the first second, so a filler is
        # paused at once.
        percent = _PACES_PERCENT[0]
    elif worst_share < _SPEED_UP_SHARE:
        position = _PACES_PERCENT.index(run.pace_percent)
        percent = _PACES_PERCENT[min(position + 1, len(_PACES_PERCENT) - 1)]
    if percent == run.pace_percent:
        return
    run.pace_percent = percent
    run.pace_changed_ms = now_ms
    state.effects.append(PaceRun(run.worker, run.task, run.attempt, percent))
    events.emit(
        graph_events.FILLER_PACED,
        job=run.task.job,
        worker=run.worker,
        percent=percent,
        tail_share=round(worst_share, 2),
    )
