"""Order in which waiting steps are scheduled."""

from typing import Final

from fuchsiarill.graphs.job_entries import JobEntry, StepEntry

# A late job has reduced value up to this multiple of its objective, and none
# after it.
_VALUE_END_FACTOR: Final = 3
# Factors that separate the parts of a rank: a time of the runtime clock stays
# below the first factor, which is three years in ms.
_PRIORITY_FACTOR_MS: Final = 100_000_000_000
_LATENESS_FACTOR_MS: Final = 100 * _PRIORITY_FACTOR_MS


def rank_ms(entry: JobEntry, step: StepEntry, now_ms: int) -> int:
    """Return the rank of a step; the lowest is scheduled first.

    Jobs within their objective precede late jobs, which precede jobs that have
    no value any more. Within each class, steps are ordered by the priority of
    the queue, then by the latest time at which they have to start. Steps of
    lasting tasks are never late; their last criterion is the time at which the
    job was accepted.
    """
    rank = entry.policy.priority * _PRIORITY_FACTOR_MS
    if step.spec.is_lasting:
        return rank + entry.accepted_ms
    age_ms = now_ms - entry.accepted_ms
    lateness_class = 0
    if age_ms > _VALUE_END_FACTOR * entry.objective_ms:
        lateness_class = 2
    elif age_ms > entry.objective_ms:
        lateness_class = 1
    return (
        rank
        + lateness_class * _LATENESS_FACTOR_MS
        + entry.latest_start_ms(step)
    )
