"""Preemption: stops attempts to reclaim capacity for urgent or guaranteed jobs.

The caller checks that the customer of the jobs is entitled to the capacity.
Capacity above the guarantee of its customer is borrowed; it is reclaimed before
capacity of the customer to be served, which only urgent jobs reclaim. Of the
borrowers, the one with the largest share comes first. Idempotent batch tasks
are considered before service replicas, of each customer the most recently
placed first, as they lose the least run time. At-most-once tasks, urgent tasks
and gangs are never stopped.
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
from fuchsiarill.resources import NO_RESOURCES, Resources
from fuchsiarill.states import AttemptState

PreemptionPolicy = Callable[[CoreState, Account], Iterable[AttemptId]]

PREEMPTION_POLICIES: Final[Registry[str, PreemptionPolicy]] = Registry(
    'preemptions'
)
# Maximum number of attempts examined for one task, to bound the cost of a
# decision.
_EXAMINED_ATTEMPTS_MAX_COUNT: Final = 128
# Time for a worker to confirm the stops before further stops are requested for
# the same job.
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
    """Request stops on one worker so that a task of `size` fits there.

    Returns `False` if no worker with enough preemptible attempts is found, and
    `True` without further stops for `_STOP_CONFIRMATION_MS` after a request.
    """
    if now_ms < state.reclaim_pending_until_ms.get(job.job_id, 0):
        return True
    state.reclaim_pending_until_ms.pop(job.job_id, None)
    account = state.accounts[job.spec.customer]
    candidates = PREEMPTION_POLICIES.lookup(policy)(state, account)
    victims = _victims(state, job, size, candidates)
    if not victims:
        return False
    state.reclaim_pending_until_ms[job.job_id] = now_ms + _STOP_CONFIRMATION_MS
    for attempt in victims:
        _reclaim_from(state, attempt, now_ms)
    return True


def _reclaim_from(state: CoreState, attempt: Attempt, now_ms: int) -> None:
    customer = state.jobs[attempt.job_id].spec.customer
    state.accounts[customer].being_reclaimed += attempt.reserved
    request_stop(state, attempt, StopReason.RECLAIMED, now_ms)


@PREEMPTION_POLICIES.register('urgent')
def _candidates_for_urgent(
    state: CoreState, account: Account
) -> Iterator[AttemptId]:
    """Yield attempts of borrowers, then those of the customer itself.

    If the customer exceeds both its guarantee and its weighted share, yield
    only its own attempts.
    """
    if is_within_share(state, account, NO_RESOURCES):
        yield from _attempts_of_borrowers(state, account)
    yield from reversed(account.preemptible_batch)
    yield from reversed(account.preemptible_services)


@PREEMPTION_POLICIES.register('guaranteed')
def _candidates_for_guaranteed(
    state: CoreState,
    account: Account,
) -> Iterator[AttemptId]:
    """Yield only attempts of borrowers."""
    yield from _attempts_of_borrowers(state, account)


def _attempts_of_borrowers(
    state: CoreState, account: Account
) -> Iterator[AttemptId]:
    borrowers = [
        borrower
        for borrower in state.accounts.values()
        if borrower is not account and borrows(borrower)
    ]
    borrowers.sort(key=_share_of_account, reverse=True)
    for borrower in borrowers:
        yield from reversed(borrower.preemptible_batch)
    for borrower in borrowers:
        yield from reversed(borrower.preemptible_services)


def _share_of_account(account: Account) -> float:
    return account.share


def _victims(
    state: CoreState,
    job: JobRecord,
    size: Resources,
    candidates: Iterable[AttemptId],
) -> list[Attempt]:
    """Return attempts on one worker whose stops release enough for `size`.

    The list is empty if no worker is found.
    """
    attempts_by_worker: dict[WorkerId, list[Attempt]] = {}
    free_by_worker: dict[WorkerId, Resources] = {}
    for attempt_id in islice(candidates, _EXAMINED_ATTEMPTS_MAX_COUNT):
        attempt = state.attempts[attempt_id]
        worker = state.workers.get(attempt.worker_id)
        if worker is None or not _may_stop(attempt, worker, job):
            continue
        free = free_by_worker.get(worker.worker_id)
        if free is None:
            free = worker.free
        free += attempt.reserved
        free_by_worker[worker.worker_id] = free
        attempts_by_worker.setdefault(worker.worker_id, []).append(attempt)
        if size.fits_in(free):
            return _necessary_attempts(
                attempts_by_worker[worker.worker_id], free, size
            )
    return []


def _may_stop(
    attempt: Attempt,
    worker: WorkerView,
    job: JobRecord,
) -> bool:
    if attempt.state not in _PREEMPTIBLE_STATES:
        return False
    if worker.holds:
        # The released capacity might be held for another job.
        return False
    # The delay of the next probe is ignored for a worker on probation.
    return can_get_tasks(worker, worker.probe_after_ms) and is_eligible(
        worker, job
    )


def _necessary_attempts(
    attempts: list[Attempt],
    free: Resources,
    size: Resources,
) -> list[Attempt]:
    """Return the attempts without those that need not be stopped."""
    necessary = []
    for attempt in attempts:
        free_without_stop = free - attempt.reserved
        if size.fits_in(free_without_stop):
            free = free_without_stop
        else:
            necessary.append(attempt)
    return necessary
