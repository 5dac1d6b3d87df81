"""Crashes of worker models under deadly tasks, and their restarts.

The payload of a job may mark one task as deadly: `deadly_task` has its step and
position, and `crash_after_ms` the time from its start to the crash of the
worker. Without that time the worker crashes before it answers the start.
"""

import asyncio
import random
from collections.abc import Callable, Coroutine
from dataclasses import dataclass
from enum import Enum
from typing import Any, Final, Protocol

from fuchsiarill.clock import now_ms, sleep_ms
from fuchsiarill.graphs.model import StartOrder, TaskKey
from fuchsiarill.ids import Epoch, WorkerId
from fuchsiarill.registry import Registry
from standins.agent_incarnation import AgentModel
from standins.outages import Outage


class Restart(Enum):
    """Id of a crashed worker's next incarnation, at the same address."""

    SAME_ID = 'same_id'
    NEW_ID = 'new_id'


@dataclass(frozen=True, slots=True)
class CrashSettings:
    """Limits of the random choices made for each crash."""

    seed: int = 1
    down_min_ms: int = 2000
    down_max_ms: int = 5000
    outages: tuple[Outage, ...] = tuple(Outage)
    restarts: tuple[Restart, ...] = tuple(Restart)


@dataclass(frozen=True, slots=True)
class DeadlyStart:
    """Start of a deadly task by the owner with the given epoch."""

    task: TaskKey
    epoch: Epoch
    at_ms: int


@dataclass(frozen=True, slots=True)
class Crash:
    """Crash of a worker, caused by a deadly task."""

    task: TaskKey
    worker: WorkerId
    at_ms: int


class CrashObserver(Protocol):
    """The fleet, which replaces its incarnations."""

    def worker_crashed(self, crashed: AgentModel) -> None:
        """Handle a crash, which has ended all runs."""

    def worker_restarts(self, crashed: AgentModel, worker: WorkerId) -> None:
        """Add the next incarnation, whose id is `worker`.

        A worker that has another incarnation already is ignored.
        """


# The arguments are the crashed incarnation and the number of the crash.
_NewId = Callable[[AgentModel, int], WorkerId]

RESTARTS: Final[Registry[Restart, _NewId]] = Registry('restarts')


@RESTARTS.register(Restart.SAME_ID)
def _keep_id(crashed: AgentModel, number: int) -> WorkerId:
    return crashed.worker


@RESTARTS.register(Restart.NEW_ID)
def _make_id(crashed: AgentModel, number: int) -> WorkerId:
    return WorkerId(f'{crashed.address}-{number}')


class WorkerCrashes:
    """Crashes workers and restarts them after a random time."""

    def __init__(
        self, settings: CrashSettings, observer: CrashObserver
    ) -> None:
        """Seed the random choices."""
        self.starts: list[DeadlyStart] = []
        self.crashes: list[Crash] = []
        self._settings = settings
        self._observer = observer
        self._random_source = random.Random(settings.seed)
        # The loop holds only weak references to its tasks.
        self._tasks: set[asyncio.Task[None]] = set()

    def start_seen(
        self,
        model: AgentModel,
        order: StartOrder,
        behaviour: dict[str, Any],
    ) -> None:
        """Crash the worker now or later if the started task is deadly."""
        task = order.task
        if behaviour.get('deadly_task') != [task.step, task.position]:
            return
        self.starts.append(DeadlyStart(task, order.token.epoch, now_ms()))
        after_ms = behaviour.get('crash_after_ms')
        if after_ms is None:
            self._crash(model, task)
        else:
            self._spawn(self._crash_later(model, order, after_ms))

    def crash_briefly(
        self, model: AgentModel, outage: Outage, down_ms: int
    ) -> None:
        """Crash a worker, unless it is down, and restart it under its id.

        No task is the cause.
        """
        if model.outage is not None:
            return
        model.crash(outage)
        self._observer.worker_crashed(model)
        self._spawn(self._restart_later(model, model.worker, down_ms))

    async def _crash_later(
        self, model: AgentModel, order: StartOrder, after_ms: int
    ) -> None:
        await sleep_ms(after_ms)
        if (order.task, order.attempt) in model.runs:
            self._crash(model, order.task)

    def _crash(self, model: AgentModel, task: TaskKey) -> None:
        settings = self._settings
        model.crash(self._random_source.choice(settings.outages))
        self._observer.worker_crashed(model)
        self.crashes.append(Crash(task, model.worker, now_ms()))
        down_ms = self._random_source.randint(
            settings.down_min_ms, settings.down_max_ms
        )
        restart = self._random_source.choice(settings.restarts)
        worker = RESTARTS.lookup(restart)(model, len(self.crashes))
        self._spawn(self._restart_later(model, worker, down_ms))

    async def _restart_later(
        self, crashed: AgentModel, worker: WorkerId, down_ms: int
    ) -> None:
        await sleep_ms(down_ms)
        self._observer.worker_restarts(crashed, worker)

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
