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
_VALUE_END_FACTOR: Final = 3
# Work whose latest start is farther away gives way to late work that ends much
# sooner: its room is free again long before that latest start.
_FAR_MS: Final = 10_000
_SHORT_PATH_MAX_MS: Final = 2500
# Factors that separate the parts of a rank: a time of the runtime clock stays
# below the first factor, which is three years in ms.
_PRIORITY_FACTOR_MS: Final = 100_000_000_000
_CLASS_FACTOR_MS: Final = 100 * _PRIORITY_FACTOR_MS


class OrderClass(IntEnum):
    """Classes of waiting steps; the lowest is scheduled first."""

    # The job can meet its objective, or the tasks are lasting.
    IN_TIME = 0
    # The job has reduced value, and the rest of it takes little time.
    LATE_SHORT = 1
    # The job can meet its objective and loses nothing by waiting for late work.
    GIVING_WAY = 2
    LATE = 3
    # The job has no value any more.
    WORTHLESS = 4


def rank_ms(
    state: PoolState, entry: JobEntry, step: StepEntry, now_ms: int
) -> int:
    """Return the rank of a step; the lowest is scheduled first.

    Steps are ordered by class, then by the priority of the queue, then by the
    latest time at which they have to start. Steps of lasting tasks are never
    late; their last criterion is the time at which the job was accepted. A step
    whose kind of work has had no start for long is ranked first.
    """
    if step.wait.floor_since_ms is not None:
        return entry.accepted_ms
    rank = entry.policy.priority * _PRIORITY_FACTOR_MS
    if step.spec.is_lasting:
        return rank + entry.accepted_ms
    order_class = class_of(state, entry, step, now_ms)
    return rank + order_class * _CLASS_FACTOR_MS + entry.latest_start_ms(step)


def class_of(
    state: PoolState, entry: JobEntry, step: StepEntry, now_ms: int
) -> OrderClass:
    """Return the class of a step that is not lasting."""
    slack_ms = entry.latest_start_ms(step) - now_ms
    if slack_ms < 0:
        return _late_class(entry, step, now_ms)
    late_priority = state.order.late_priority
    if late_priority is None or slack_ms < _FAR_MS:
        return OrderClass.IN_TIME
    if entry.policy.priority <= late_priority:
        return OrderClass.IN_TIME
    return OrderClass.GIVING_WAY


def has_value(entry: JobEntry, step: StepEntry, now_ms: int) -> bool:
    """Tell whether a success of the job still has a value."""
    if step.spec.is_lasting:
        return True
    return entry.age_ms(step, now_ms) <= _VALUE_END_FACTOR * entry.objective_ms


def _late_class(entry: JobEntry, step: StepEntry, now_ms: int) -> OrderClass:
    if not has_value(entry, step, now_ms):
        return OrderClass.WORTHLESS
    if entry.path_ms(step) > _SHORT_PATH_MAX_MS:
        return OrderClass.LATE
    return OrderClass.LATE_SHORT
