"""Runs a trace in virtual time and checks its outcomes."""

import asyncio
import random
from dataclasses import dataclass
from typing import Any, Final

from loguru import logger

from fuchsiarill import events
from fuchsiarill.clock import MS_PER_SECOND, now_ms, sleep_ms
from fuchsiarill.replay.checker import UnmetOutcome, check
from fuchsiarill.replay.kinds import EventKind, FaultKind, Undo
from fuchsiarill.replay.loop import ReplayLoop, process_name
from fuchsiarill.replay.observations import ObservationKind, ObservationLog
from fuchsiarill.replay.trace import TimedEntry, Trace
from fuchsiarill.replay.world import World

_CANCELLATION_TIME_S: Final = 60
_FAILURES: Final = frozenset(
    (events.ACTOR_FAILED.number, events.ACTOR_DIED.number),
)


@dataclass(frozen=True, slots=True)
class ReplayResult:
    """The observation log of a replay and the outcomes that it violates."""

    log: ObservationLog
    unmet: list[UnmetOutcome]


def replay(trace: Trace) -> ReplayResult:
    """Run a trace; equal traces give equal logs."""
    # The code under replay draws its jitter from the global generator.
    random.seed(trace.header.seed)
    loop = ReplayLoop()
    try:
        log = loop.run_until_complete(_run_trace(trace))
    finally:
        _cancel_remaining_tasks(loop)
    return ReplayResult(log, check(trace, log))


def _cancel_remaining_tasks(loop: ReplayLoop) -> None:
    """Cancel the remaining tasks and close the loop; the log is closed.

    Runs the loop for a fixed time instead of awaiting the tasks, since a task
    may ignore its cancellation.
    """
    loop.set_exception_handler(_ignore_failure)
    for task in asyncio.all_tasks(loop):
        task.cancel()
    loop.run_until_complete(asyncio.sleep(_CANCELLATION_TIME_S))
    loop.close()


def _ignore_failure(loop: asyncio.AbstractEventLoop, context: Any) -> None:
    """Drops failures of tasks that are cancelled at the end of a replay."""


async def _run_trace(trace: Trace) -> ObservationLog:
    header = trace.header
    world = World(trace.deployment, trace.domains, header.settings, header.seed)
    asyncio.get_running_loop().set_exception_handler(
        _FailureRecorder(world.log).on_loop
    )
    sink = logger.add(
        _FailureRecorder(world.log).on_log,
        filter=_is_failure,
        format='{message}',
    )
    try:
        await _run_schedule(trace, world)
    finally:
        logger.remove(sink)
    return world.log


async def _run_schedule(trace: Trace, world: World) -> None:
    world.begin()
    # Faults first, so that they are in effect for events at the same time.
    entries: list[TimedEntry[Any]] = [*trace.faults, *trace.events]
    entries.sort(key=_start_time_ms)
    for entry in entries:
        await sleep_ms(max(0, entry.at_ms - now_ms()))
        if isinstance(entry.kind, FaultKind):
            _begin_fault(world, entry, entry.kind)
        elif isinstance(entry.kind, EventKind):
            entry.kind.apply(world)
    await sleep_ms(max(0, trace.header.duration_ms - now_ms()))
    world.end()


def _start_time_ms(entry: TimedEntry[Any]) -> int:
    return entry.at_ms


def _begin_fault(
    world: World, entry: TimedEntry[Any], fault: FaultKind
) -> None:
    world.log.record(ObservationKind.FAULT_BEGAN, entry.name, fault=str(fault))
    undo = fault.begin(world)
    if entry.for_ms is not None:
        world.loop.call_later(
            entry.for_ms / MS_PER_SECOND,
            _end_fault,
            world,
            entry.name,
            undo,
        )


def _end_fault(world: World, name: str, undo: Undo) -> None:
    world.log.record(ObservationKind.FAULT_ENDED, name)
    undo()


def _is_failure(record: Any) -> bool:
    return record['extra'].get('event') in _FAILURES


class _FailureRecorder:
    """Records failures of actors and tasks in the log."""

    def __init__(self, log: ObservationLog) -> None:
        self._log = log

    def on_log(self, message: str) -> None:
        """Record a failure that an actor logged."""
        self._log.record(
            ObservationKind.ACTOR_FAILED,
            process_name(),
            error=str(message).strip(),
        )

    def on_loop(
        self,
        loop: asyncio.AbstractEventLoop,
        context: dict[str, Any],
    ) -> None:
        """Record an exception that no task handled."""
        self._log.record(
            ObservationKind.ACTOR_FAILED,
            process_name(),
            error=repr(context.get('exception', context['message'])),
        )
