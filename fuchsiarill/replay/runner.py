"""Runs a trace in paused time and checks its outcomes."""

import asyncio
import random
from dataclasses import dataclass
from typing import Any, Final

from loguru import logger

from fuchsiarill import events
from fuchsiarill.clock import MS_PER_SECOND, now_ms, sleep_ms
from fuchsiarill.replay.checker import Unmet, check
from fuchsiarill.replay.kinds import EventKind, FaultKind, Undo
from fuchsiarill.replay.loop import ReplayLoop, process_name
from fuchsiarill.replay.seen import SeenKind, SeenLog
from fuchsiarill.replay.trace import Timed, Trace
from fuchsiarill.replay.world import World

_DISCARD_S: Final = 60
_FAILURES: Final = frozenset(
    (events.ACTOR_FAILED.number, events.ACTOR_DIED.number),
)


@dataclass(frozen=True, slots=True)
class Replayed:
    """What was seen in a replay, and which outcomes it contradicts."""

    log: SeenLog
    unmet: list[Unmet]


def replay(trace: Trace) -> Replayed:
    """Run a trace; equal traces give equal logs."""
    # The code under replay draws its jitter from the module-wide generator.
    random.seed(trace.frame.seed)
    loop = ReplayLoop()
    try:
        log = loop.run_until_complete(_play(trace))
    finally:
        _discard(loop)
    return Replayed(log, check(trace, log))


def _discard(loop: ReplayLoop) -> None:
    """Cancel what still runs; the log is closed already.

    Time is given by a timer, since a task may swallow its cancellation.
    """
    loop.set_exception_handler(_ignore)
    for task in asyncio.all_tasks(loop):
        task.cancel()
    loop.run_until_complete(asyncio.sleep(_DISCARD_S))
    loop.close()


def _ignore(loop: asyncio.AbstractEventLoop, context: Any) -> None:
    """Drops failures of tasks that were cut off in the middle."""


async def _play(trace: Trace) -> SeenLog:
    frame = trace.frame
    world = World(trace.deployment, trace.domains, frame.settings, frame.seed)
    asyncio.get_running_loop().set_exception_handler(_Noting(world.log).on_loop)
    sink = logger.add(
        _Noting(world.log).on_log,
        filter=_is_failure,
        format='{message}',
    )
    try:
        await _act(trace, world)
    finally:
        logger.remove(sink)
    return world.log


async def _act(trace: Trace, world: World) -> None:
    world.begin()
    # Faults first, so that an event at the same time already meets them.
    acts: list[Timed[Any]] = [*trace.faults, *trace.events]
    acts.sort(key=_time_of)
    for act in acts:
        await sleep_ms(max(0, act.at_ms - now_ms()))
        if isinstance(act.kind, FaultKind):
            _begin_fault(world, act, act.kind)
        elif isinstance(act.kind, EventKind):
            act.kind.happen(world)
    await sleep_ms(max(0, trace.frame.duration_ms - now_ms()))
    world.end()


def _time_of(act: Timed[Any]) -> int:
    return act.at_ms


def _begin_fault(world: World, act: Timed[Any], fault: FaultKind) -> None:
    world.log.note(SeenKind.FAULT_BEGAN, act.name, fault=str(fault))
    undo = fault.begin(world)
    if act.for_ms is not None:
        world.loop.call_later(
            act.for_ms / MS_PER_SECOND,
            _end_fault,
            world,
            act.name,
            undo,
        )


def _end_fault(world: World, name: str, undo: Undo) -> None:
    world.log.note(SeenKind.FAULT_ENDED, name)
    undo()


def _is_failure(record: Any) -> bool:
    return record['extra'].get('event') in _FAILURES


class _Noting:
    """Notes failures of actors and tasks in the log."""

    def __init__(self, log: SeenLog) -> None:
        self._log = log

    def on_log(self, message: str) -> None:
        """Note a failure that an actor logged."""
        self._log.note(
            SeenKind.ACTOR_FAILED,
            process_name(),
            error=str(message).strip(),
        )

    def on_loop(
        self,
        loop: asyncio.AbstractEventLoop,
        context: dict[str, Any],
    ) -> None:
        """Note a failure that no task handled."""
        self._log.note(
            SeenKind.ACTOR_FAILED,
            process_name(),
            error=repr(context.get('exception', context['message'])),
        )
