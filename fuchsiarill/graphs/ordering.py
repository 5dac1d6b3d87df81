"""Order in which waiting steps are served."""

from typing import Final

from fuchsiarill.graphs.job_entries import JobEntry, StepEntry

# A job that is late earns a fraction until this multiple of its objective.
_LATE_FACTOR: Final = 3
# Multiples that keep the parts of a rank apart: a time of the runtime clock
# stays below the first one, three years in ms.
_PRIORITY_MS: Final = 100_000_000_000
_LATENESS_MS: Final = 100 * _PRIORITY_MS


def rank_ms(entry: JobEntry, step: StepEntry, now_ms: int) -> int:
    """Return the rank of a step; the lowest is served first.

    Jobs that can still be in time come before late ones, and those before
    jobs that earn nothing any more. Among them the priority of the queue
    decides, then the latest time at which the step has to start.
    """
    rank = entry.policy.priority * _PRIORITY_MS
    if step.step.is_lasting:
        return rank + entry.accepted_ms
    age_ms = now_ms - entry.accepted_ms
    lateness = 0
    if age_ms > _LATE_FACTOR * entry.objective_ms:
        lateness = 2
    elif age_ms > entry.objective_ms:
        lateness = 1
    return rank + lateness * _LATENESS_MS + entry.latest_start_ms(step)
