"""State of a pool as plain values, for the dump that operators request."""

from typing import Any

from fuchsiarill.graphs.ceiling_reports import dump_ceilings
from fuchsiarill.graphs.core import GraphCore
from fuchsiarill.graphs.state import PoolState
from fuchsiarill.graphs.worker_table import WorkerView


def dump_core(core: GraphCore) -> dict[str, Any]:
    """Return the counts of the pool and the state of each worker."""
    state = core.state
    return {
        'jobs_count': len(state.jobs),
        'waiting_units_count': _waiting_units_count(state),
        'is_inheritance_settled': state.is_inheritance_settled,
        'ceilings': dump_ceilings(state),
        'workers': [_dump_worker(view) for view in state.workers],
    }


def _waiting_units_count(state: PoolState) -> int:
    return sum(
        len(step.waiting)
        for entry in state.jobs.values()
        if entry.is_active
        for step in entry.steps.values()
    )


def _dump_worker(view: WorkerView) -> dict[str, Any]:
    return {
        'worker': view.worker,
        'standing': view.availability.value,
        'is_listed': view.is_listed,
        'is_recorded': view.is_recorded,
        'runs_count': len(view.runs),
        'free': view.free.as_tuple(),
        'trials_count': view.trials_count,
        'suspended_until_ms': view.failure_record.suspended_until_ms,
    }
