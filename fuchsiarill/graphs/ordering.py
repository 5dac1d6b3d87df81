"""Order in which waiting steps are scheduled.

Load: more work than the workers can do in time, for seconds or minutes. Steps
that lose value by waiting come first, then those that have lost most of it
already, and bulk work with slack gives way while late work needs its room.
"""

from enum import IntEnum
from typing import Final

from fuchsiarill.graphs.job_entries import JobEntry, StepEntry
from fuchsiarill.graphs.state import PoolState

# A late job has reduced value up to this multiple of its objective, and none
# after it.
VALUE_END_FACTOR: Final = 3
# Work whose latest start is farther away gives way to late work that ends much
# sooner: its room is free again long before that latest start.
_FAR_MS: Final = 10_000
_SHORT_PATH_MAX_MS: Final = 2500
# Factors that separate the parts of a rank: a time of the runtime clock stays
# below the first factor, which is three years in ms.
_SHARE_FACTOR_MS: Final = 100_000_000_000
_PRIORITY_FACTOR_MS: Final = 2 * _SHARE_FACTOR_MS
_LONG_WORK_FACTOR_MS: Final = 100 * _PRIORITY_FACTOR_MS
_CLASS_FACTOR_MS: Final = 2 * _LONG_WORK_FACTOR_MS


class OrderClass(IntEnum):
    """Classes of waiting steps; the lowest is scheduled first."""

    # The job can meet its objective, or the tasks are lasting.
    IN_TIME = 0
    # The job has reduced value, and the rest of it takes little time.
    LATE_SHORT = 1
    # The job can meet its objective and loses nothing by waiting for late work.
    GIVING_WAY = 2
    LATE = 3
    # The job is beyond the rate that the contract of its customer guarantees.
    BEYOND_RATE = 4
    # The job has no value any more.
    WORTHLESS = 5


def rank_ms(
    state: PoolState, entry: JobEntry, step: StepEntry, now_ms: int
) -> int:
    """Return the rank of a step; the lowest is scheduled first.

    Steps are ordered by class, then by the priority of the queue, then by the
    latest time at which they have to start. Steps of lasting tasks are never
    late; their last criterion is the time at which the job was accepted. A step
    whose kind of work has had no start for long is ranked first.

    Steps of customers that use more than their share of the pool come after
    others of the same class and priority, and long work of theirs after all of
    the class: it would keep its room from the others for long.
    """
    if step.wait.floor_since_ms is not None:
        return entry.accepted_ms
    rank = entry.policy.priority * _PRIORITY_FACTOR_MS
    if step.spec.is_lasting:
        return rank + entry.accepted_ms
    rank += class_of(state, entry, step, now_ms) * _CLASS_FACTOR_MS
    if entry.graph.customer in state.order.over_share:
        rank += _SHARE_FACTOR_MS
        if entry.path_ms(step) > _SHORT_PATH_MAX_MS:
            rank += _LONG_WORK_FACTOR_MS
    return rank + entry.latest_start_ms(step)


def class_of(
    state: PoolState, entry: JobEntry, step: StepEntry, now_ms: int
) -> OrderClass:
    """Return the class of a step that is not lasting."""
    if entry.is_beyond_rate and has_value(entry, step, now_ms):
        return OrderClass.BEYOND_RATE
    slack_ms = entry.latest_start_ms(step) - now_ms
    if slack_ms < 0:
        return _late_class(entry, step, now_ms)
    if slack_ms >= _FAR_MS and _gives_way(state, entry):
        return OrderClass.GIVING_WAY
    return OrderClass.IN_TIME


def has_value(entry: JobEntry, step: StepEntry, now_ms: int) -> bool:
    """Tell whether a success of the job still has a value."""
    if step.spec.is_lasting:
        return True
    return entry.age_ms(step, now_ms) <= VALUE_END_FACTOR * entry.objective_ms


def _gives_way(state: PoolState, entry: JobEntry) -> bool:
    """Tell whether work with a latest start far away is not scheduled yet.

    With contracts it always gives way, since otherwise that of customers within
    their share would go before work of others that loses by waiting.
    """
    if state.order.weights_sum:
        return True
    late_priority = state.order.late_priority
    return late_priority is not None and entry.policy.priority > late_priority


def _late_class(entry: JobEntry, step: StepEntry, now_ms: int) -> OrderClass:
    if not has_value(entry, step, now_ms):
        return OrderClass.WORTHLESS
    if entry.path_ms(step) > _SHORT_PATH_MAX_MS:
        return OrderClass.LATE
    return OrderClass.LATE_SHORT
