"""Preemption: room for a customer that waits for what it is owed.

Borrowed capacity is reclaimed before a customer's own, idempotent batch tasks
before services, and those that lose the least run time first. At-most-once
tasks and urgent ones are never stopped.
"""

from collections.abc import Callable, Iterable, Iterator
from itertools import islice
from typing import Final

from fuchsiarill.core.accounts import Account
from fuchsiarill.core.placement import can_get_tasks, suits
from fuchsiarill.core.quotas import borrows, is_within_share
from fuchsiarill.core.requeue import ask_to_stop
from fuchsiarill.core.state import CoreState
from fuchsiarill.core.worker_view import WorkerView
from fuchsiarill.ids import AttemptId, WorkerId
from fuchsiarill.job import Attempt, JobRecord, StopReason
from fuchsiarill.registry import Registry
from fuchsiarill.resources import NOTHING, Resources
from fuchsiarill.states import AttemptState

Preemption = Callable[[CoreState, Account], Iterable[AttemptId]]

PREEMPTIONS: Final[Registry[str, Preemption]] = Registry('preemptions')
# Attempts looked at for one waiting task, to bound the cost of a decision.
_LOOKED_AT_COUNT: Final = 128
# Time for a worker to confirm the stops before others are asked for.
_CONFIRM_MS: Final = 2_000
_ACTIVE: Final = frozenset((AttemptState.STARTING, AttemptState.RUNNING))


def reclaim_for(
    state: CoreState,
    job: JobRecord,
    size: Resources,
    policy: str,
    now_ms: int,
) -> bool:
    """Stop attempts so that a task of `size` finds room; `False` if none."""
    if now_ms < state.reclaims.get(job.job_id, 0):
        return True
    state.reclaims.pop(job.job_id, None)
    account = state.accounts[job.spec.customer]
    order = PREEMPTIONS.lookup(policy)(state, account)
    victims = _victims(state, job, size, order)
    if not victims:
        return False
    state.reclaims[job.job_id] = now_ms + _CONFIRM_MS
    for attempt in victims:
        _stop(state, attempt, now_ms)
    return True


def _stop(state: CoreState, attempt: Attempt, now_ms: int) -> None:
    customer = state.jobs[attempt.job_id].spec.customer
    state.accounts[customer].reclaimed += attempt.reserved
    ask_to_stop(state, attempt, StopReason.RECLAIMED, now_ms)


@PREEMPTIONS.register('urgent')
def _for_urgent(state: CoreState, account: Account) -> Iterator[AttemptId]:
    """Borrowed first, then what the customer runs itself.

    A customer that has used its own share up for other work makes room
    itself.
    """
    if is_within_share(state, account, NOTHING):
        yield from _borrowed(state, account)
    yield from reversed(account.stoppable)
    yield from reversed(account.services)


@PREEMPTIONS.register('guaranteed')
def _for_guaranteed(
    state: CoreState,
    account: Account,
) -> Iterator[AttemptId]:
    """Only what others borrow."""
    yield from _borrowed(state, account)


def _borrowed(state: CoreState, account: Account) -> Iterator[AttemptId]:
    borrowers = [
        other
        for other in state.accounts.values()
        if other is not account and borrows(other)
    ]
    borrowers.sort(key=_share, reverse=True)
    for other in borrowers:
        yield from reversed(other.stoppable)
    for other in borrowers:
        yield from reversed(other.services)


def _share(account: Account) -> float:
    return account.share


def _victims(
    state: CoreState,
    job: JobRecord,
    size: Resources,
    order: Iterable[AttemptId],
) -> list[Attempt]:
    """Return attempts on one worker whose end makes enough room there."""
    collected: dict[WorkerId, list[Attempt]] = {}
    rooms: dict[WorkerId, Resources] = {}
    for attempt_id in islice(order, _LOOKED_AT_COUNT):
        attempt = state.attempts[attempt_id]
        worker = state.workers.get(attempt.worker_id)
        if worker is None or not _may_stop(attempt, worker, job):
            continue
        room = rooms.get(worker.worker_id)
        if room is None:
            room = worker.free
        room += attempt.reserved
        rooms[worker.worker_id] = room
        collected.setdefault(worker.worker_id, []).append(attempt)
        if size.fits_in(room):
            return _needed(collected[worker.worker_id], room, size)
    return []


def _may_stop(
    attempt: Attempt,
    worker: WorkerView,
    job: JobRecord,
) -> bool:
    if attempt.state not in _ACTIVE:
        return False
    if worker.holds:
        return False
    return can_get_tasks(worker, worker.probe_after_ms) and suits(worker, job)


def _needed(
    attempts: list[Attempt],
    room: Resources,
    size: Resources,
) -> list[Attempt]:
    """Leave out attempts without which there is room as well."""
    needed = []
    for attempt in attempts:
        without = room - attempt.reserved
        if size.fits_in(without):
            room = without
        else:
            needed.append(attempt)
    return needed
