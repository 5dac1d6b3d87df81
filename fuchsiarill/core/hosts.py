"""Applies the host list and the configured draining to the workers."""

from collections import Counter

from fuchsiarill.core.adoption import reserve_restored_attempts
from fuchsiarill.core.quotas import refresh_shares
from fuchsiarill.core.resource_accounting import refresh_index
from fuchsiarill.core.state import CoreState
from fuchsiarill.core.steps import step_worker
from fuchsiarill.core.wait_queue import unblock_all
from fuchsiarill.core.worker_view import WorkerView
from fuchsiarill.ids import WorkerId
from fuchsiarill.resources import NO_RESOURCES
from fuchsiarill.states import WorkerEvent, WorkerState
from fuchsiarill.workers import HostEntry, HostState


def apply_host_list(
    state: CoreState,
    entries: tuple[HostEntry, ...],
    now_ms: int,
) -> None:
    """Add, update and remove workers by the host list.

    An empty list is ignored as a fault of the list: applying it would stop
    all starts.
    """
    if not entries and state.workers:
        return
    state.hosts_read = True
    listed_ids = {entry.worker_id for entry in entries}
    for worker_id in tuple(state.workers):
        if worker_id not in listed_ids:
            _remove_unlisted(state, worker_id, now_ms)
    for entry in entries:
        _apply_entry(state, entry, now_ms)
    _update_capacities(state)


def apply_draining(state: CoreState, now_ms: int) -> None:
    """Start or end the draining of workers by the configuration."""
    draining_ids = set(state.config.draining_workers)
    for worker in state.workers.values():
        _step_listed(state, worker, worker.worker_id in draining_ids, now_ms)


def _apply_entry(state: CoreState, entry: HostEntry, now_ms: int) -> None:
    worker = state.workers.get(entry.worker_id)
    if worker is None:
        worker = WorkerView(entry, WorkerState.UNSEEN)
        state.workers[entry.worker_id] = worker
        state.recovery.awaited_workers.add(entry.worker_id)
        reserve_restored_attempts(state, worker, now_ms)
    elif worker.entry != entry:
        # The index locates a worker by its entry.
        state.index.remove(worker)
        worker.update_entry(entry)
        refresh_index(state, worker, now_ms)
    is_draining = entry.worker_id in state.config.draining_workers
    _step_listed(state, worker, is_draining, now_ms)


def _step_listed(
    state: CoreState,
    worker: WorkerView,
    is_draining: bool,
    now_ms: int,
) -> None:
    event = WorkerEvent.LISTED_LIVE
    if is_draining or worker.entry.state is HostState.LEAVING:
        event = WorkerEvent.LISTED_LEAVING
    step_worker(state, worker, event, now_ms)


def _remove_unlisted(
    state: CoreState, worker_id: WorkerId, now_ms: int
) -> None:
    worker = state.workers[worker_id]
    step_worker(state, worker, WorkerEvent.UNLISTED, now_ms)
    if not worker.attempts:
        state.index.remove(worker)
        state.workers.pop(worker_id)
        state.released.pop(worker_id, None)


def _update_capacities(state: CoreState) -> None:
    capacities = Counter(
        worker.entry.capacity
        for worker in state.workers.values()
        if worker.state is not WorkerState.GONE
    )
    if capacities == state.capacities:
        return
    state.capacities = capacities
    state.sizes_version += 1
    state.total_capacity = sum(
        (capacity.times(count) for capacity, count in capacities.items()),
        start=NO_RESOURCES,
    )
    refresh_shares(state)
    unblock_all(state)
