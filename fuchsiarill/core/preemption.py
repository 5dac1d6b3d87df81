"""Preemption: reclaims capacity for a customer within its entitlement.

Borrowed capacity is reclaimed before a customer's own, and idempotent batch
tasks are stopped before services, those that lose the least run time first.
At-most-once tasks and urgent ones are never stopped.
"""

from collections.abc import Callable, Iterable, Iterator
from itertools import islice
from typing import Final

from fuchsiarill.core.accounts import Account
from fuchsiarill.core.placement import can_get_tasks, is_eligible
from fuchsiarill.core.quotas import borrows, is_within_share
from fuchsiarill.core.requeue import request_stop
from fuchsiarill.core.state import CoreState
from fuchsiarill.core.worker_view import WorkerView
from fuchsiarill.ids import AttemptId, WorkerId
from fuchsiarill.job import Attempt, JobRecord, StopReason
from fuchsiarill.registry import Registry
from fuchsiarill.resources import NOTHING, Resources
from fuchsiarill.states import AttemptState

Preemption = Callable[[CoreState, Account], Iterable[AttemptId]]

PREEMPTIONS: Final[Registry[str, Preemption]] = Registry('preemptions')
# Attempts examined for one waiting task, to bound the cost of a decision.
_ATTEMPTS_EXAMINED_COUNT: Final = 128
# Time for a worker to confirm the stops before others are requested.
_STOP_CONFIRMATION_MS: Final = 2_000
_PREEMPTIBLE_STATES: Final = frozenset(
    (AttemptState.STARTING, AttemptState.RUNNING)
)


def reclaim_for(
    state: CoreState,
    job: JobRecord,
    size: Resources,
    policy: str,
    now_ms: int,
) -> bool:
    """Stop attempts so that a task of `size` fits; `False` if none qualify."""
    if now_ms < state.reclaim_pending_until_ms.get(job.job_id, 0):
        return True
    state.reclaim_pending_until_ms.pop(job.job_id, None)
    account = state.accounts[job.spec.customer]
    order = PREEMPTIONS.lookup(policy)(state, account)
    victims = _victims(state, job, size, order)
    if not victims:
        return False
    state.reclaim_pending_until_ms[job.job_id] = now_ms + _STOP_CONFIRMATION_MS
    for attempt in victims:
        _stop(state, attempt, now_ms)
    return True


def _stop(state: CoreState, attempt: Attempt, now_ms: int) -> None:
    customer = state.jobs[attempt.job_id].spec.customer
    state.accounts[customer].reclaimed += attempt.reserved
    request_stop(state, attempt, StopReason.RECLAIMED, now_ms)


@PREEMPTIONS.register('urgent')
def _for_urgent(state: CoreState, account: Account) -> Iterator[AttemptId]:
    """Yield attempts of borrowers, then those of the customer itself.

    A customer that has used up its own share has only its own attempts
    stopped.
    """
    if is_within_share(state, account, NOTHING):
        yield from _borrowed(state, account)
    yield from reversed(account.preemptible_batch)
    yield from reversed(account.preemptible_services)


@PREEMPTIONS.register('guaranteed')
def _for_guaranteed(
    state: CoreState,
    account: Account,
) -> Iterator[AttemptId]:
    """Yield only attempts of customers that borrow."""
    yield from _borrowed(state, account)


def _borrowed(state: CoreState, account: Account) -> Iterator[AttemptId]:
    borrowers = [
        other
        for other in state.accounts.values()
        if other is not account and borrows(other)
    ]
    borrowers.sort(key=_share, reverse=True)
    for other in borrowers:
        yield from reversed(other.preemptible_batch)
    for other in borrowers:
        yield from reversed(other.preemptible_services)


def _share(account: Account) -> float:
    return account.share


def _victims(
    state: CoreState,
    job: JobRecord,
    size: Resources,
    order: Iterable[AttemptId],
) -> list[Attempt]:
    """Return attempts on one worker that together release enough for `size`."""
    collected: dict[WorkerId, list[Attempt]] = {}
    free_by_worker: dict[WorkerId, Resources] = {}
    for attempt_id in islice(order, _ATTEMPTS_EXAMINED_COUNT):
        attempt = state.attempts[attempt_id]
        worker = state.workers.get(attempt.worker_id)
        if worker is None or not _may_stop(attempt, worker, job):
            continue
        free = free_by_worker.get(worker.worker_id)
        if free is None:
            free = worker.free
        free += attempt.reserved
        free_by_worker[worker.worker_id] = free
        collected.setdefault(worker.worker_id, []).append(attempt)
        if size.fits_in(free):
            return _needed(collected[worker.worker_id], free, size)
    return []


def _may_stop(
    attempt: Attempt,
    worker: WorkerView,
    job: JobRecord,
) -> bool:
    if attempt.state not in _PREEMPTIBLE_STATES:
        return False
    if worker.holds:
        return False
    return can_get_tasks(worker, worker.probe_after_ms) and is_eligible(
        worker, job
    )


def _needed(
    attempts: list[Attempt],
    free: Resources,
    size: Resources,
) -> list[Attempt]:
    """Leave out attempts that need not be stopped."""
    needed = []
    for attempt in attempts:
        without = free - attempt.reserved
        if size.fits_in(without):
            free = without
        else:
            needed.append(attempt)
    return needed
