"""Order in which waiting steps are served."""

from typing import Final

from fuchsiarill.graphs.job_book import JobEntry, StepEntry

# A job that is late earns a fraction until this multiple of its objective.
_LATE_FACTOR: Final = 3
# Keeps the classes of lateness apart; days in ms.
_CLASS_MS: Final = 10**9


def rank_ms(entry: JobEntry, step: StepEntry, now_ms: int) -> int:
    """Return the rank of a step; the lowest is served first.

    Steps go by the latest time at which they have to start for the job to
    meet its objective; jobs that can't meet it any more follow.
    """
    if step.step.is_lasting:
        return entry.accepted_ms
    latest_ms = entry.latest_start_ms(step)
    if latest_ms >= now_ms:
        return latest_ms
    late_ms = latest_ms + (_LATE_FACTOR - 1) * entry.objective_ms
    if late_ms >= now_ms:
        return _CLASS_MS + late_ms
    return 2 * _CLASS_MS + entry.accepted_ms
