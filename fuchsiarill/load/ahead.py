"""Work that must be done before a new task can start.

Load handled: a burst of tasks of different widths on workers that are full. A
task starts once those ahead of it have started, not when they have ended, and
it may take room that is too small for a wider one ahead of it. Both are taken
into account, so that the result is a lower bound.
"""

import math
from bisect import bisect_left, bisect_right
from collections import Counter, defaultdict
from collections.abc import Iterable
from typing import Final, NamedTuple

from fuchsiarill.clock import MS_PER_SECOND

# Widths of new tasks in thousandths of a processor. For a task of at least such
# a width, waiting tasks up to the width count as being ahead.
WIDTHS_MILLI: Final = (500, 1000, 2000, 4000, 16_000, 64_000)
# Tasks are grouped by their expected time, to save time: four groups for each
# doubling, so that a group's tasks differ by less than a fifth.
_GROUPS_PER_DOUBLING: Final = 4


class TaskGroup(NamedTuple):
    """Tasks of nearly the same expected time, and of one class of widths.

    A task of class `first_class` is ahead of new tasks of this class or of a
    wider one.
    """

    time_group: int
    first_class: int


class WaitingTasks(NamedTuple):
    """Waiting tasks of one step, with the rank of the step.

    `total_milli` is the width of all of them together, `work_ms` their expected
    work in ms of one processor.
    """

    group: TaskGroup
    total_milli: int
    work_ms: float
    rank_ms: int


def task_group(expected_ms: float, width_milli: int) -> TaskGroup:
    """Return the group of a waiting task."""
    time_group = int(math.log2(max(expected_ms, 1)) * _GROUPS_PER_DOUBLING)
    return TaskGroup(time_group, bisect_left(WIDTHS_MILLI, width_milli))


def width_class(width_milli: int) -> int | None:
    """Return the class of a new task; `None` if it is narrower than all."""
    position = bisect_right(WIDTHS_MILLI, width_milli)
    return position - 1 if position else None


def work_before_start_ms(
    waiting: Iterable[WaitingTasks], capacity_milli: int
) -> tuple[int, ...]:
    """Return the work to be done before a new task starts, by its class.

    `waiting` has the tasks ahead of it. When it starts, others may still run
    on the whole capacity; the longest ones are taken to do so, and to have just
    started.
    """
    widths_milli: Counter[TaskGroup] = Counter()
    works_ms: defaultdict[TaskGroup, float] = defaultdict(float)
    for tasks in waiting:
        widths_milli[tasks.group] += tasks.total_milli
        works_ms[tasks.group] += tasks.work_ms
    longest_first = sorted(works_ms, reverse=True)
    return tuple(
        _work_of_class_ms(
            [
                (widths_milli[group], works_ms[group])
                for group in longest_first
                if group.first_class <= number
            ],
            capacity_milli,
        )
        for number, _ in enumerate(WIDTHS_MILLI)
    )


def _work_of_class_ms(
    groups: list[tuple[int, float]], capacity_milli: int
) -> int:
    room_milli = capacity_milli
    before_ms = 0.0
    for width_milli, group_ms in groups:
        running_milli = min(width_milli, room_milli)
        room_milli -= running_milli
        if width_milli:
            before_ms += group_ms * (width_milli - running_milli) / width_milli
    return int(before_ms)


def work_ms(width_milli: int, expected_ms: float) -> float:
    """Return the work of tasks of this total width, in ms of a processor."""
    return width_milli * expected_ms / MS_PER_SECOND
