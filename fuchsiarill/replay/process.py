"""One process of the system in a replay: the real actors, on fake ports."""

import asyncio
from collections.abc import Callable
from contextvars import copy_context
from enum import Enum
from functools import partial
from typing import Any, Final

from fuchsiarill.actor import Reply
from fuchsiarill.registry import Registry
from fuchsiarill.replay.composition import Composition, Surroundings, compose
from fuchsiarill.replay.loop import INCARNATION, Incarnation, ReplayLoop
from fuchsiarill.replay.network import Endpoint, Post
from fuchsiarill.replay.seen import SeenKind
from fuchsiarill.settings import ProcessSettings
from fuchsiarill.state_chart import load_chart


class LifeState(Enum):
    """Whether the operating system runs a process."""

    DEAD = 'dead'
    RUNNING = 'running'
    GATED = 'gated'
    PAUSED = 'paused'


class LifeEvent(Enum):
    """What can happen to a process from outside."""

    STARTED = 'started'
    GATE_CLOSED = 'gate_closed'
    FROZEN = 'frozen'
    RESUMED = 'resumed'
    KILLED = 'killed'
    STOPPED = 'stopped'


class ReplayedProcess:
    """A process that can be killed, started again and paused."""

    def __init__(
        self,
        settings: ProcessSettings,
        surroundings: Surroundings,
        loop: ReplayLoop,
    ) -> None:
        """Create a process that does not run yet."""
        self.settings = settings
        self.surroundings = surroundings
        self.loop = loop
        self.state = LIFE_CHART.initial
        self.endpoint = Endpoint(
            settings.process,
            settings.failure_domain,
            refusing=True,
        )
        self.composition: Composition | None = None
        self.is_draining = False
        self._draining: asyncio.Task[None] | None = None
        self.incarnations = [Incarnation(settings.process, 0)]

    @property
    def name(self) -> str:
        """Return the id of the process."""
        return self.settings.process

    @property
    def incarnation(self) -> Incarnation:
        """Return the present life, or the last one."""
        return self.incarnations[-1]

    @property
    def is_alive(self) -> bool:
        """Tell whether the process exists, paused or not."""
        return self.state is not LifeState.DEAD

    @property
    def takes_calls(self) -> bool:
        """Tell whether the platform's load balancer uses the process."""
        runs = self.state in {LifeState.RUNNING, LifeState.GATED}
        return runs and not self.is_draining

    def step(self, event: LifeEvent) -> None:
        """Apply an event of the chart and run its actions."""
        transition = LIFE_CHART.step(self.state, event)
        if transition is None:
            return
        self.state = transition.target
        for action in transition.actions:
            LIFE_ACTIONS.lookup(action)(self)

    def shut_down(self) -> None:
        """Send SIGTERM: the process drains and ends by itself."""
        if self.composition is None or self.is_draining:
            return
        self.is_draining = True
        self.surroundings.log.note(SeenKind.SHUTDOWN_ASKED, self.name)
        context = copy_context()
        context.run(INCARNATION.set, self.incarnation)
        self._draining = context.run(
            asyncio.create_task,
            self.composition.drain(),
        )
        self._draining.add_done_callback(self._drained)

    def post(self, build: Callable[[Reply[Any]], Any]) -> Post:
        """Return how a call is handed to the router of this process."""
        return partial(self._hand_over, build)

    def _drained(self, draining: asyncio.Task[None]) -> None:
        self.step(LifeEvent.STOPPED)

    def _hand_over(
        self,
        build: Callable[[Reply[Any]], Any],
        reply: Reply[Any],
    ) -> bool:
        if self.composition is None:
            return False
        return self.composition.accept(build(reply))


LifeAction = Callable[[ReplayedProcess], None]

LIFE_ACTIONS: Final[Registry[str, LifeAction]] = Registry('life actions')


@LIFE_ACTIONS.register('boot')
def _boot(process: ReplayedProcess) -> None:
    number = process.incarnation.number + 1
    process.incarnations.append(Incarnation(process.name, number))
    process.endpoint.refusing = False
    process.endpoint.gate = None
    process.is_draining = False
    process.surroundings.log.note(
        SeenKind.PROCESS_STARTED,
        process.name,
        incarnation=number,
        domain=process.settings.failure_domain,
    )
    context = copy_context()
    context.run(INCARNATION.set, process.incarnation)
    process.composition = context.run(
        compose,
        process.settings,
        process.endpoint,
        process.surroundings,
    )


@LIFE_ACTIONS.register('close_gate')
def _close_gate(process: ReplayedProcess) -> None:
    process.endpoint.gate = []


@LIFE_ACTIONS.register('hold')
def _hold(process: ReplayedProcess) -> None:
    process.incarnation.hold()


@LIFE_ACTIONS.register('release')
def _release(process: ReplayedProcess) -> None:
    process.incarnation.release(process.loop)
    process.surroundings.network.open_gate(process.endpoint)


@LIFE_ACTIONS.register('end')
def _end(process: ReplayedProcess) -> None:
    process.incarnation.hold()
    process.composition = None
    process.endpoint.gate = None
    process.endpoint.refusing = True
    process.surroundings.network.reset(process.endpoint)
    process.surroundings.log.note(SeenKind.PROCESS_ENDED, process.name)


LIFE_CHART: Final = load_chart(
    'replayed_process',
    LifeState,
    LifeEvent,
    LIFE_ACTIONS,
)
