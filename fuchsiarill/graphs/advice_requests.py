"""Decides when to ask which workers may run a step."""

from typing import Final

from fuchsiarill.graphs.effects import RequestAdvice
from fuchsiarill.graphs.model import AdvicePolicy
from fuchsiarill.graphs.placement import Request, could_ever_fit
from fuchsiarill.graphs.state import PoolState
from fuchsiarill.graphs.worker_table import WorkerView
from fuchsiarill.graphs.worker_waits import NEVER_MS, wait_ms
from fuchsiarill.ids import WorkerId

# Workers named in one ask; the service's bound.
_ASKED_MAX_COUNT: Final = 100
# Travel of an ask and of the start that follows.
_TRAVEL_MS: Final = 150


def allowed_workers(
    state: PoolState,
    request: Request,
    candidates: list[WorkerView],
) -> list[WorkerView]:
    """Return the workers that are known to be allowed to run the step."""
    if request.entry.policy.advice is None:
        return candidates
    return [
        view
        for view in candidates
        if state.tickets.is_allowed(request.step.key, view.worker)
    ]


def ask(
    state: PoolState,
    request: Request,
    candidates: list[WorkerView],
) -> bool:
    """Ask for advice where it could help; tells whether to look again."""
    policy = request.entry.policy.advice
    if policy is None:
        return False
    step = request.step
    if not state.tickets.may_ask(step.key, request.now_ms):
        return True
    without = [
        view
        for view in candidates
        if state.tickets.ticket_for(step.key, view, request.now_ms) is None
    ]
    known = _soon_free(state, request, without, policy)
    unknown = _unknown(state, request, without)
    asked = ([view.worker for view in known] + unknown)[:_ASKED_MAX_COUNT]
    if not asked:
        return False
    _keep_room(request, known, _duration_ms(policy, len(asked)))
    state.tickets.asked(step.key, request.now_ms)
    state.effects.append(RequestAdvice(step.key, tuple(asked), step.rank_ms))
    return True


def _soon_free(
    state: PoolState,
    request: Request,
    views: list[WorkerView],
    policy: AdvicePolicy,
) -> list[WorkerView]:
    """Return allowed workers that have room when the tickets arrive.

    Those that have it sooner come first.
    """
    within_ms = _duration_ms(policy, 1)
    waits = {
        view.worker: wait_ms(state, request, view)
        for view in allowed_workers(state, request, views)
    }
    known = [
        view for view in views if waits.get(view.worker, NEVER_MS) <= within_ms
    ]
    return sorted(known, key=lambda view: waits[view.worker])


def _unknown(
    state: PoolState,
    request: Request,
    views: list[WorkerView],
) -> list[WorkerId]:
    """Return workers of which it is not known whether they are allowed."""
    step = request.step
    return [
        view.worker
        for view in views
        if not state.tickets.is_allowed(step.key, view.worker)
        and could_ever_fit(step.step, view)
    ]


def _keep_room(
    request: Request,
    views: list[WorkerView],
    duration_ms: int,
) -> None:
    """Keep room for the step until its tickets are there.

    Otherwise a step of a higher rank that holds a ticket by chance takes the
    room, again and again.
    """
    step = request.step
    for view in views:
        view.drop_reservations(step.key)
    for view in views[: len(step.waiting)]:
        view.reserve(step, request.now_ms + duration_ms)


def _duration_ms(policy: AdvicePolicy, workers_count: int) -> int:
    """Return how long an ask takes."""
    asked_ms = policy.decision_ms + policy.interval_ms * workers_count
    return int(asked_ms) + _TRAVEL_MS
