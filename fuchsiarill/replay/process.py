"""One process of the system in a replay: real actors on fake ports."""

import asyncio
from collections.abc import Callable, Coroutine
from contextvars import Context, copy_context
from enum import Enum
from functools import partial
from typing import Any, Final

from fuchsiarill.actor import Reply
from fuchsiarill.registry import Registry
from fuchsiarill.replay.composition import Composition, run_composition
from fuchsiarill.replay.fake_front import MessageFactory
from fuchsiarill.replay.loop import INCARNATION, Incarnation, ReplayLoop
from fuchsiarill.replay.network import Endpoint
from fuchsiarill.replay.observations import ObservationKind
from fuchsiarill.replay.simulated_environment import SimulatedEnvironment
from fuchsiarill.settings import ProcessSettings
from fuchsiarill.state_chart import load_chart


class LifecycleState(Enum):
    """Whether a process exists, runs, and may send messages."""

    DEAD = 'dead'
    RUNNING = 'running'
    GATED = 'gated'
    PAUSED = 'paused'


class LifecycleEvent(Enum):
    """Signals and other events that change the state of a process."""

    STARTED = 'started'
    GATE_CLOSED = 'gate_closed'
    FROZEN = 'frozen'
    RESUMED = 'resumed'
    KILLED = 'killed'
    STOPPED = 'stopped'


class ReplayedProcess:
    """A process that can be killed, restarted and paused."""

    def __init__(
        self,
        settings: ProcessSettings,
        environment: SimulatedEnvironment,
        loop: ReplayLoop,
    ) -> None:
        """Create a process that is not started yet."""
        self.settings = settings
        self.environment = environment
        self.loop = loop
        self.state = LIFECYCLE_CHART.initial
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
        """Return the current incarnation, or the last one when dead."""
        return self.incarnations[-1]

    @property
    def is_alive(self) -> bool:
        """Return whether the process exists, paused or not."""
        return self.state is not LifecycleState.DEAD

    @property
    def accepts_calls(self) -> bool:
        """Return whether the platform's load balancer uses the process."""
        runs = self.state in {LifecycleState.RUNNING, LifecycleState.GATED}
        return (
            runs
            and self.composition is not None
            and (self.composition.front.is_ready)
        )

    def step(self, event: LifecycleEvent) -> None:
        """Apply an event to the state chart and run the actions.

        An event without a transition from the current state is ignored.
        """
        transition = LIFECYCLE_CHART.step(self.state, event)
        if transition is None:
            return
        self.state = transition.target
        for action in transition.actions:
            LIFECYCLE_ACTIONS.lookup(action)(self)

    def shut_down(self) -> None:
        """Send SIGTERM: the process drains and ends by itself."""
        if self.composition is None:
            return
        self.environment.log.record(ObservationKind.SHUTDOWN_ASKED, self.name)
        self._context().run(self.composition.drain)

    def serve(
        self,
        method: str,
        request: dict[str, Any],
        reply: Reply[Any],
    ) -> bool:
        """Accept a call of another process; `False` when dead."""
        return self._spawn(
            lambda current: current.serve(method, request, reply),
        )

    def call_owner(
        self,
        build: MessageFactory,
        wait_ms: int,
        reply: Reply[Any],
    ) -> bool:
        """Accept a caller's request; `False` when dead."""
        return self._spawn(
            lambda current: current.call_owner(build, wait_ms, reply),
        )

    def call_config(self, build: MessageFactory, reply: Reply[Any]) -> bool:
        """Accept an operator's request; `False` when dead."""
        return self._spawn(lambda current: current.call_config(build, reply))

    def boot(self) -> None:
        """Create and start the actors of the current incarnation."""
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
            self.step(LifecycleEvent.STOPPED)

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


LifecycleAction = Callable[[ReplayedProcess], None]

LIFECYCLE_ACTIONS: Final[Registry[str, LifecycleAction]] = Registry(
    'lifecycle actions'
)


@LIFECYCLE_ACTIONS.register('boot')
def _boot(process: ReplayedProcess) -> None:
    number = process.incarnation.number + 1
    process.incarnations.append(Incarnation(process.name, number))
    process.endpoint.refusing = False
    process.endpoint.gate = None
    process.environment.log.record(
        ObservationKind.PROCESS_STARTED,
        process.name,
        incarnation=number,
        domain=process.settings.failure_domain,
    )
    process.boot()


@LIFECYCLE_ACTIONS.register('close_gate')
def _close_gate(process: ReplayedProcess) -> None:
    process.endpoint.gate = []


@LIFECYCLE_ACTIONS.register('hold')
def _hold(process: ReplayedProcess) -> None:
    process.incarnation.hold()


@LIFECYCLE_ACTIONS.register('release')
def _release(process: ReplayedProcess) -> None:
    process.incarnation.release(process.loop)
    process.environment.network.open_gate(process.endpoint)


@LIFECYCLE_ACTIONS.register('end')
def _end(process: ReplayedProcess) -> None:
    process.incarnation.hold()
    process.composition = None
    process.endpoint.gate = None
    process.endpoint.refusing = True
    process.environment.network.reset(process.endpoint)
    process.environment.log.record(ObservationKind.PROCESS_ENDED, process.name)


LIFECYCLE_CHART: Final = load_chart(
    'replayed_process',
    LifecycleState,
    LifecycleEvent,
    LIFECYCLE_ACTIONS,
)
