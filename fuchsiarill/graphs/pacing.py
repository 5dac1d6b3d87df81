"""Slows tasks that fill while they disturb tasks that serve."""

from typing import Final

from fuchsiarill import events
from fuchsiarill.graphs.effects import PaceRun
from fuchsiarill.graphs.model import FULL_PACE_PERCENT
from fuchsiarill.graphs.runs import Run
from fuchsiarill.graphs.state import PoolState
from fuchsiarill.graphs.states import RunState
from fuchsiarill.graphs.worker_book import WorkerView

# A reported tail is a rough figure of the last half second; a change of pace
# shows in the second one after it.
_EFFECT_MS: Final = 900
# Shares of the target above which fillers slow, and below which they speed up.
_SLOW_SHARE: Final = 0.9
_SPEED_UP_SHARE: Final = 0.6
_PACES_PERCENT: Final = (0, 25, 50, 75, FULL_PACE_PERCENT)


def pace_fillers(state: PoolState, now_ms: int) -> None:
    """Set the pace of fillers by the worst tail beside them."""
    for view in state.workers:
        if not view.serving_count or not view.filler_milli:
            continue
        worst = _worst_share(state, view)
        if worst is None:
            continue
        for run in view.runs.values():
            if run.filler_milli and run.state is RunState.RUNNING:
                _pace(state, run, worst, now_ms)


def _worst_share(state: PoolState, view: WorkerView) -> float | None:
    """Return the largest tail as a share of its target."""
    worst: float | None = None
    for run in view.runs.values():
        entry = state.jobs.get(run.task.job)
        if entry is None or run.usage is None:
            continue
        target_ms = entry.graph.steps[run.task.step].target_tail_ms
        if target_ms is None:
            continue
        worst = max(worst or 0, run.usage / target_ms)
    return worst


def _pace(state: PoolState, run: Run, worst: float, now_ms: int) -> None:
    if now_ms - run.paced_ms < _EFFECT_MS:
        return
    percent = run.pace_percent
    if worst > _SLOW_SHARE:
        # Harm counts from its first second, so a filler stops at once.
        percent = _PACES_PERCENT[0]
    elif worst < _SPEED_UP_SHARE:
        position = _PACES_PERCENT.index(run.pace_percent)
        percent = _PACES_PERCENT[min(position + 1, len(_PACES_PERCENT) - 1)]
    if percent == run.pace_percent:
        return
    run.pace_percent = percent
    run.paced_ms = now_ms
    state.effects.append(PaceRun(run.worker, run.task, run.attempt, percent))
    events.emit(
        events.FILLER_PACED,
        job=run.task.job,
        worker=run.worker,
        percent=percent,
        tail_share=round(worst, 2),
    )
