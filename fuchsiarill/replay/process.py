"""One process of the system in a replay: the real actors, on fake ports."""

import asyncio
from collections.abc import Callable, Coroutine
from contextvars import Context, copy_context
from enum import Enum
from functools import partial
from typing import Any, Final

from fuchsiarill.actor import Reply
from fuchsiarill.registry import Registry
from fuchsiarill.replay.composition import Composition, run_composition
from fuchsiarill.replay.fake_front import Build
from fuchsiarill.replay.loop import INCARNATION, Incarnation, ReplayLoop
from fuchsiarill.replay.network import Endpoint
from fuchsiarill.replay.seen import SeenKind
from fuchsiarill.replay.simulated_environment import SimulatedEnvironment
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
        environment: SimulatedEnvironment,
        loop: ReplayLoop,
    ) -> None:
        """Create a process that does not run yet."""
        self.settings = settings
        self.environment = environment
        self.loop = loop
        self.state = LIFE_CHART.initial
        self.endpoint = Endpoint(
            settings.process,
            settings.failure_domain,
            refusing=True,
        )
        self.composition: Composition | None = None
        self._tasks: set[asyncio.Task[None]] = set()
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
        return (
            runs
            and self.composition is not None
            and (self.composition.front.is_ready)
        )

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
        if self.composition is None:
            return
        self.environment.log.note(SeenKind.SHUTDOWN_ASKED, self.name)
        self._context().run(self.composition.drain)

    def serve(
        self,
        method: str,
        request: dict[str, Any],
        reply: Reply[Any],
    ) -> bool:
        """Take a call of another process."""
        return self._spawn(
            lambda present: present.serve(method, request, reply),
        )

    def ask_owner(
        self,
        build: Build,
        wait_ms: int,
        reply: Reply[Any],
    ) -> bool:
        """Take a request of a caller."""
        return self._spawn(
            lambda present: present.ask_owner(build, wait_ms, reply),
        )

    def ask_config(self, build: Build, reply: Reply[Any]) -> bool:
        """Take a request of an operator."""
        return self._spawn(lambda present: present.ask_config(build, reply))

    def boot(self) -> None:
        """Start the actors of a new life."""
        self.composition = self._context().run(
            Composition,
            self.settings,
            self.endpoint,
            self.environment,
            self.incarnation.number,
        )
        running = self._context().run(run_composition, self.composition)
        running.add_done_callback(partial(self._ended, self.incarnation))
        self._tasks.add(running)

    def _ended(
        self,
        incarnation: Incarnation,
        running: asyncio.Task[None],
    ) -> None:
        self._tasks.discard(running)
        if incarnation is self.incarnation:
            self.step(LifeEvent.STOPPED)

    def _spawn(
        self,
        call: Callable[[Composition], Coroutine[Any, Any, None]],
    ) -> bool:
        if self.composition is None:
            return False
        task = asyncio.create_task(
            call(self.composition),
            context=self._context(),
        )
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return True

    def _context(self) -> Context:
        context = copy_context()
        context.run(INCARNATION.set, self.incarnation)
        return context


LifeAction = Callable[[ReplayedProcess], None]

LIFE_ACTIONS: Final[Registry[str, LifeAction]] = Registry('life actions')


@LIFE_ACTIONS.register('boot')
def _boot(process: ReplayedProcess) -> None:
    number = process.incarnation.number + 1
    process.incarnations.append(Incarnation(process.name, number))
    process.endpoint.refusing = False
    process.endpoint.gate = None
    process.environment.log.note(
        SeenKind.PROCESS_STARTED,
        process.name,
        incarnation=number,
        domain=process.settings.failure_domain,
    )
    process.boot()


@LIFE_ACTIONS.register('close_gate')
def _close_gate(process: ReplayedProcess) -> None:
    process.endpoint.gate = []


@LIFE_ACTIONS.register('hold')
def _hold(process: ReplayedProcess) -> None:
    process.incarnation.hold()


@LIFE_ACTIONS.register('release')
def _release(process: ReplayedProcess) -> None:
    process.incarnation.release(process.loop)
    process.environment.network.open_gate(process.endpoint)


@LIFE_ACTIONS.register('end')
def _end(process: ReplayedProcess) -> None:
    process.incarnation.hold()
    process.composition = None
    process.endpoint.gate = None
    process.endpoint.refusing = True
    process.environment.network.reset(process.endpoint)
    process.environment.log.note(SeenKind.PROCESS_ENDED, process.name)


LIFE_CHART: Final = load_chart(
    'replayed_process',
    LifeState,
    LifeEvent,
    LIFE_ACTIONS,
)
