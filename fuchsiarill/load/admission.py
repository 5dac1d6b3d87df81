"""Decides whether a submitted job is accepted under the known load.

Load handled: more work than can be done before it loses its value. A job is
refused only if it can't be done in time even if all estimates err in its
favour, so that its caller learns at once what it would learn too late; and a
job with a task that exceeds every worker is refused, since it would wait
without end. Without knowledge of the load every job is accepted.
"""

from dataclasses import dataclass
from enum import Enum
from typing import Final

from fuchsiarill import codes
from fuchsiarill.clock import MS_PER_SECOND
from fuchsiarill.graphs.model import JobGraph
from fuchsiarill.graphs.ordering import VALUE_END_FACTOR
from fuchsiarill.load.pool_load import PERMILLE, PoolLoad, RunTimeCurve
from fuchsiarill.owner.hash_fraction import hash_fraction


class RefusalCause(Enum):
    """Why a submission is refused before anything is written."""

    # The job is beyond its customer's rate, and would wait for all other work.
    EXCESS = 'excess'
    # The job would lose its value before it could be done.
    WAIT = 'wait'
    # A task exceeds the capacity of every worker.
    NEVER_FITS = 'never_fits'
    # The store is known to be out of reach.
    STORE = 'store'


CODE_BY_CAUSE: Final = {
    RefusalCause.EXCESS: codes.RATE_EXCEEDED,
    RefusalCause.WAIT: codes.OVERLOADED,
    RefusalCause.NEVER_FITS: codes.NEVER_FITS,
    RefusalCause.STORE: codes.STORE_UNAVAILABLE,
}


@dataclass(frozen=True, slots=True)
class KnownLoad:
    """A state of load that is at most `age_ms` old."""

    load: PoolLoad
    age_ms: int


@dataclass(frozen=True, slots=True)
class LoadRefusal:
    """A refusal with the inputs that led to it.

    The job would wait for at least `least_wait_ms`, and could wait for
    `allowed_wait_ms` at most.
    """

    cause: RefusalCause
    least_wait_ms: int = 0
    allowed_wait_ms: int = 0
    age_ms: int = 0

    @property
    def code(self) -> codes.ResultCode:
        """Return the code of the answer."""
        return CODE_BY_CAUSE[self.cause]


def decide(known: KnownLoad | None, graph: JobGraph) -> LoadRefusal | None:
    """Return why a job is refused, or `None` if it is accepted."""
    if known is None or graph.schedule is not None:
        return None
    load = known.load
    if _never_fits(load, graph):
        return LoadRefusal(RefusalCause.NEVER_FITS, age_ms=known.age_ms)
    if any(step.is_lasting for step in graph.steps):
        return None
    allowed_ms = _allowed_wait_ms(load, graph)
    if allowed_ms is None or _has_room(load, graph):
        return None
    is_excess = is_beyond_rate(load, graph)
    # Waiting work has been served since the state was measured.
    wait_ms = load.least_wait_ms(
        graph.queue, _least_width_milli(graph), is_excess=is_excess
    )
    wait_ms -= known.age_ms
    if wait_ms <= allowed_ms:
        return None
    cause = RefusalCause.EXCESS if is_excess else RefusalCause.WAIT
    return LoadRefusal(cause, wait_ms, allowed_ms, known.age_ms)


def is_beyond_rate(load: PoolLoad, graph: JobGraph) -> bool:
    """Tell whether a job counts as sent beyond its customer's rate.

    The share of jobs that is within the rate is chosen by the job id, so that
    each process decides alike when the job is sent again.
    """
    if graph.customer is None or graph.customer not in load.beyond:
        return False
    within_permille = load.beyond[graph.customer]
    return hash_fraction(graph.job) * PERMILLE >= within_permille


def work_ms(load: PoolLoad, graph: JobGraph) -> float:
    """Return the expected work of a job, in ms of one processor."""
    queue = load.queues.get(graph.queue)
    if queue is None:
        return 0
    return sum(
        step.tasks_count
        * step.charge.processors_milli
        * queue.run_times.expected_ms(step.estimate_ms)
        / MS_PER_SECOND
        for step in graph.steps
    )


def _never_fits(load: PoolLoad, graph: JobGraph) -> bool:
    """Tell whether a task exceeds every worker; no workers prove nothing."""
    if not load.largest:
        return False
    return any(
        not any(step.charge.fits_in(largest) for largest in load.largest)
        for step in graph.steps
    )


def _has_room(load: PoolLoad, graph: JobGraph) -> bool:
    """Tell whether a task of the job could start on some worker now."""
    return any(
        step.charge.fits_in(room)
        for step in graph.steps
        if not step.after
        for room in load.largest_free
    )


def _least_width_milli(graph: JobGraph) -> int:
    """Return the width of the narrowest task that could start first."""
    return min(
        step.charge.processors_milli for step in graph.steps if not step.after
    )


def _allowed_wait_ms(load: PoolLoad, graph: JobGraph) -> int | None:
    """Return how long the job may wait and still be done with some value.

    The job may take longer than expected, and has a later objective then.
    Returns `None` if its run time, or its rank among the others, is not known.
    """
    policy, queue = graph.accepted_policy, load.queues.get(graph.queue)
    if policy is None or queue is None:
        return None
    path_ms = _critical_path_ms(graph, queue.run_times)
    if path_ms <= 0 or path_ms < queue.least_path_ms:
        return None
    # Without slack a longer job has to start earlier than a short one.
    if policy.slack_factor < 1:
        return None
    path_ms *= queue.run_times.error_factor
    objective_ms = policy.slack_factor * path_ms + policy.target_ms
    return int(VALUE_END_FACTOR * objective_ms - path_ms)


def _critical_path_ms(graph: JobGraph, run_times: RunTimeCurve) -> float:
    """Return the time of the longest chain of steps; 0 if none is known."""
    ends_ms: list[float] = []
    for step in graph.steps:
        start_ms = max((ends_ms[earlier] for earlier in step.after), default=0)
        ends_ms.append(start_ms + run_times.expected_ms(step.estimate_ms))
    return max(ends_ms)
