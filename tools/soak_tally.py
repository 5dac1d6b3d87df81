"""Faults that a soak finds in what workers and callers have seen.

A rule with a time bound holds only for orders of a daemon in touch: one that no
fault has disrupted within the contact time before the order.
"""

from collections import Counter
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, field
from typing import Any, Final

from fuchsiarill.registry import Registry
from tools.platform_load import Job, Outcome

_CONTACT_S: Final = 3.0
_MS_PER_S: Final = 1000
# After this many crashes under a task, its daemons must know that it is deadly.
_CRASHES_MAX_COUNT: Final = 3
_LATER_STARTS_MAX_COUNT: Final = 2


@dataclass(slots=True)
class Disruptions:
    """Times in which faults disrupted daemons, on the monotonic clock."""

    _spans: list[tuple[str, float, float]] = field(default_factory=list)

    def add(self, daemons: Iterable[str], begin_s: float, end_s: float) -> None:
        """Record a fault that has ended."""
        self._spans.extend((name, begin_s, end_s) for name in daemons)

    def is_in_touch(self, daemon: str | None, at_s: float) -> bool:
        """Tell whether no fault has disrupted a daemon for the contact time.

        A daemon that the store never named as owner is not in touch.
        """
        return daemon is not None and not any(
            name == daemon and begin_s <= at_s < end_s + _CONTACT_S
            for name, begin_s, end_s in self._spans
        )

    def choose_in_touch(
        self, orders: Iterable[dict[str, Any]]
    ) -> list[dict[str, Any]]:
        """Return the orders that daemons in touch have sent."""
        return [
            order
            for order in orders
            if self.is_in_touch(order['process'], order['at_ms'] / _MS_PER_S)
        ]


@dataclass(frozen=True, slots=True)
class SoakRecord:
    """Observations of the emulator, jobs of the callers, and disruptions."""

    observations: dict[str, Any]
    jobs: list[Job]
    disruptions: Disruptions


_Check = Callable[[SoakRecord], Iterator[str]]

CHECKS: Final[Registry[str, _Check]] = Registry('checks of the soak')


def find_faults(record: SoakRecord) -> list[str]:
    """Return a line for each fault that a check has found."""
    return [fault for name in CHECKS for fault in CHECKS.lookup(name)(record)]


@CHECKS.register('violations')
def _find_violations(record: SoakRecord) -> Iterator[str]:
    """Report what the workers saw wrong at any time."""
    yield from record.observations['violations']


@CHECKS.register('lost jobs')
def _find_lost_jobs(record: SoakRecord) -> Iterator[str]:
    """Report jobs that did not end as their tasks allow."""
    for job in record.jobs:
        if job.outcome is Outcome.LOST:
            yield f'job {job.name} is lost, its state is {job.state!r}'
        if job.is_deadly and job.outcome is Outcome.FINISHED:
            yield f'job {job.name} is done, but its deadly task never ended'


@CHECKS.register('refused jobs')
def _find_started_though_refused(record: SoakRecord) -> Iterator[str]:
    """Report jobs that ran although their callers were told otherwise."""
    started = set(record.observations['started_jobs'])
    for job in record.jobs:
        if job.is_refused and job.name in started:
            yield f'job {job.name} ran, though each submission was refused'


@CHECKS.register('shrunken workers')
def _find_late_overloads(record: SoakRecord) -> Iterator[str]:
    """Report starts over a capacity that shrank long before."""
    overloads = record.observations['late_overloads']
    for overload in record.disruptions.choose_in_touch(overloads):
        late_ms = overload['at_ms'] - overload['shrunk_ms']
        yield (
            f'{overload["process"]} starts a task over the capacity of '
            f'{overload["worker"]}, which shrank {late_ms} ms before'
        )


@CHECKS.register('deadly tasks')
def _find_repeated_deadly_starts(record: SoakRecord) -> Iterator[str]:
    """Report deadly tasks that are started though they crash all workers."""
    crash_times_ms: dict[str, list[int]] = {}
    for crash in record.observations['crashes']:
        crash_times_ms.setdefault(crash['task'], []).append(crash['at_ms'])
    starts = record.disruptions.choose_in_touch(
        record.observations['deadly_starts']
    )
    later_starts = Counter(
        start['task']
        for start in starts
        if _is_known_as_deadly(
            crash_times_ms.get(start['task'], []), start['at_ms']
        )
    )
    for task, count in later_starts.items():
        if count > _LATER_STARTS_MAX_COUNT:
            yield (
                f'task {task} is started {count} times more, after '
                f'{_CRASHES_MAX_COUNT} workers have crashed under it'
            )


def _is_known_as_deadly(crash_times_ms: list[int], at_ms: int) -> bool:
    before = [crash_ms for crash_ms in crash_times_ms if crash_ms < at_ms]
    return len(before) >= _CRASHES_MAX_COUNT
