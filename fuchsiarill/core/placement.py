"""Placement policies: which worker carries a task.

A policy is a function from the state and a task size to a worker; contracts
name the policy to use.
"""

from collections.abc import Callable
from typing import Final

from fuchsiarill.core.state import CoreState, WorkerView
from fuchsiarill.registry import Registry
from fuchsiarill.resources import Resources
from fuchsiarill.states import WorkerState

PlacementPolicy = Callable[[CoreState, Resources], WorkerView | None]

PLACEMENTS: Final[Registry[str, PlacementPolicy]] = Registry('placements')


@PLACEMENTS.register('first_fit')
@PLACEMENTS.register('spread')
@PLACEMENTS.register('pack')
def first_fit(state: CoreState, size: Resources) -> WorkerView | None:
    """Return the first ready worker with room."""
    for worker in state.workers.values():
        if worker.state is not WorkerState.READY:
            continue
        if size.fits_in(worker.free):
            return worker
    return None
