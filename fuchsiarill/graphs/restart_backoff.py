"""Backoff between the starts of a lasting task that keeps ending early."""

from typing import Final

from fuchsiarill.graphs.job_entries import Unit

# A lasting task that has run for this long was of use and restarts at once.
_EARLY_END_MS: Final = 2000
# The first early end may be the fault of the worker, so it causes no delay.
_FIRST_DELAY_MS: Final = 250
# A lasting task has to run again within 6 s of its last run.
_DELAY_MAX_MS: Final = 4000


def record_end(unit: Unit, ran_ms: int, now_ms: int) -> None:
    """Delay the next start after early ends in a row, twice as long each."""
    if ran_ms >= _EARLY_END_MS:
        unit.early_ends_count = 0
        return
    unit.early_ends_count += 1
    if unit.early_ends_count == 1:
        return
    doublings = min(unit.early_ends_count - 2, _DELAY_MAX_MS.bit_length())
    unit.start_after_ms = now_ms + min(
        _FIRST_DELAY_MS << doublings, _DELAY_MAX_MS
    )


def is_delayed(unit: Unit, now_ms: int) -> bool:
    """Tell whether the unit waits for its next start to be due."""
    return now_ms < unit.start_after_ms
