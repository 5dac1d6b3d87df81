"""When a new job could start at the earliest, by the capacity that gets free.

Load handled: a pool whose workers are full of long runs while a burst of short
jobs arrives. The model is a fluid one: work is divisible and any processor may
do it, so that the result is below the real wait, which packing, constraints
and jobs that arrive later only add to.
"""

import math
from collections import Counter, defaultdict
from typing import Final

from fuchsiarill.clock import MS_PER_SECOND

# The waits of an hour and of ever lead to the same decisions.
WAIT_MAX_MS: Final = 3_600_000
# Runs are grouped by the time until their expected end, so that an estimate
# costs the same for any number of runs. The groups begin at 0, 256, 512, 1024
# ms and so on; each run counts as ending by the beginning of its group.
_FIRST_GROUP_BITS: Final = 8


class HeldCapacity:
    """Thousandths of processors that runs hold, by their expected end.

    Runs that a more urgent queue may stop are displaceable. `lasting_milli`
    does not get free.
    """

    def __init__(self) -> None:
        """Start without any runs."""
        self.lasting_milli = 0
        # By the priority of the queue if displaceable, else `None`, and by the
        # number of the group.
        self._held_milli: defaultdict[tuple[int | None, int], int] = (
            defaultdict(int)
        )

    def add(
        self, held_milli: int, left_ms: float, displaceable_at: int | None
    ) -> None:
        """Add a run that should end after `left_ms`.

        `displaceable_at` is the priority of the queue of a run that may be
        stopped for a more urgent one, else `None`.
        """
        if left_ms > WAIT_MAX_MS:
            self.lasting_milli += held_milli
            return
        group = 0
        if left_ms > 0:
            group = (int(left_ms) >> _FIRST_GROUP_BITS).bit_length()
        self._held_milli[displaceable_at, group] += held_milli

    def held_before(self, priority: int) -> 'Counter[int]':
        """Return what a queue of this priority can't displace, by end."""
        held: Counter[int] = Counter()
        for (displaceable_at, group), held_milli in self._held_milli.items():
            if displaceable_at is None or displaceable_at <= priority:
                held[_group_start_ms(group)] += held_milli
        return held

    def displaceable_milli(self, priority: int) -> int:
        """Return what a queue of this priority may displace."""
        return sum(
            held_milli
            for (displaceable_at, _), held_milli in self._held_milli.items()
            if displaceable_at is not None and displaceable_at > priority
        )


def _group_start_ms(group: int) -> int:
    return 1 << (_FIRST_GROUP_BITS + group - 1) if group else 0


def earliest_start_ms(
    work_ms: int, capacity_milli: int, held: 'Counter[int]'
) -> int:
    """Return when `work_ms` can be done, in ms of one processor.

    `capacity_milli` is the capacity that is not held for ever. What is held
    gets free evenly from now until its time: a run may end at any moment, and
    the first end of several is far earlier than each is expected to end.
    Without any capacity, the longest wait is returned.
    """
    if capacity_milli <= 0:
        return WAIT_MAX_MS
    remaining = float(work_ms * MS_PER_SECOND)
    reached_ms = 0
    free_milli = float(max(capacity_milli - held.total() + held[0], 0))
    gain_milli = sum(
        held_milli / end_ms for end_ms, held_milli in held.items() if end_ms
    )
    for end_ms in sorted(end_ms for end_ms in held if end_ms):
        duration_ms = end_ms - reached_ms
        gained_milli = gain_milli * duration_ms
        served = (free_milli + gained_milli / 2) * duration_ms
        if served >= remaining:
            break
        remaining -= served
        reached_ms = end_ms
        free_milli += gained_milli
        gain_milli -= held[end_ms] / end_ms
    reached_ms += int(_time_to_serve_ms(remaining, free_milli, gain_milli))
    return min(reached_ms, WAIT_MAX_MS)


def _time_to_serve_ms(
    work: float, free_milli: float, gain_milli: float
) -> float:
    """Return in which time work is done while capacity grows evenly.

    It is the positive root of `gain / 2 * t**2 + free * t - work`, written so
    that it is exact without a gain too.
    """
    if work <= 0:
        return 0
    root = math.sqrt(free_milli**2 + 2 * max(gain_milli, 0) * work)
    if free_milli + root <= 0:
        return WAIT_MAX_MS
    return 2 * work / (free_milli + root)
