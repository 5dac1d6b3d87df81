"""State of a pool as plain values, for the dump that operators request."""

import math
from itertools import islice
from typing import Any, Final

from fuchsiarill.graphs.ceiling_reports import dump_ceilings
from fuchsiarill.graphs.core import GraphCore
from fuchsiarill.graphs.state import PoolState
from fuchsiarill.graphs.worker_table import WorkerView
from fuchsiarill.run_times.models import Model
from fuchsiarill.run_times.run_times import HIGH_SHARE, MEDIAN, GroupKey

_MODELS_MAX_COUNT: Final = 50


def dump_core(core: GraphCore) -> dict[str, Any]:
    """Return the counts of the pool and the state of each worker."""
    state = core.state
    return {
        'jobs_count': len(state.jobs),
        'waiting_units_count': _waiting_units_count(state),
        'is_inheritance_settled': state.is_inheritance_settled,
        'ceilings': dump_ceilings(state),
        'workers': [_dump_worker(state, view) for view in state.workers],
        'run_times': [
            _dump_model(group, model)
            for group, model in islice(
                reversed(state.run_times.models.items()), _MODELS_MAX_COUNT
            )
        ],
    }


def _waiting_units_count(state: PoolState) -> int:
    return sum(
        len(step.waiting)
        for entry in state.jobs.values()
        if entry.is_active
        for step in entry.steps.values()
    )


def _dump_model(group: GroupKey, model: Model) -> dict[str, Any]:
    """Return what is expected of a group of tasks, and from how many runs."""
    return {
        'group': '/'.join(group),
        'expected_ms': round(math.exp(model.sketch.quantile(MEDIAN))),
        'p90_ms': round(math.exp(model.sketch.quantile(HIGH_SHARE))),
        'runs_count': round(model.count),
        'estimate_slope': round(model.moments.slope, 2),
    }


def _dump_worker(state: PoolState, view: WorkerView) -> dict[str, Any]:
    return {
        'worker': view.worker,
        'standing': view.availability.value,
        'is_listed': view.is_listed,
        'is_recorded': view.is_recorded,
        'runs_count': len(view.runs),
        'free': view.free.as_tuple(),
        'slowness': round(state.run_times.slowness(view.worker), 2),
        'trials_count': view.trials_count,
        'suspended_until_ms': view.failure_record.suspended_until_ms,
    }
