"""Kinds of faults of processes and of workers."""

from functools import partial
from typing import Annotated, Any, Final, Literal

from pydantic import Field

from fuchsiarill.clock import MS_PER_SECOND
from fuchsiarill.replay.kinds import (
    FAULT_KINDS,
    FaultKind,
    Undo,
    undo_all,
    undo_switch,
)
from fuchsiarill.replay.network import CLIENT_DOMAIN, SERVICE_DOMAIN
from fuchsiarill.replay.process import LifeEvent, ReplayedProcess
from fuchsiarill.replay.world import World

_Factor = Annotated[float, Field(gt=0)]

# Long enough that a tick and the starts it causes leave before the pause.
_GATE_MS: Final = 150
_NO_WORKERS: Final = frozenset((SERVICE_DOMAIN, CLIENT_DOMAIN))


@FAULT_KINDS.register('kill')
class Kill(FaultKind):
    """SIGKILL; with a length the process starts again at its end."""

    process: str

    def begin(self, world: World) -> Undo:
        """Kill."""
        processes = world.find_processes(self.process)
        for process in processes:
            process.step(LifeEvent.KILLED)
        return partial(_step_all, processes, LifeEvent.STARTED)


@FAULT_KINDS.register('pause')
class Pause(FaultKind):
    """SIGSTOP until the end of the fault.

    In the last `gate_ms` before, the process still runs but what it sends is
    held, as if it was stopped between a check and the send that follows; it
    is delivered when the process resumes. Calls to the store and answers to
    callers pass unless `held` is `all`, or nothing would be left to send.
    """

    process: str
    gate_ms: Annotated[int, Field(ge=0)] = _GATE_MS
    held: Literal['workers', 'all'] = 'workers'

    def begin(self, world: World) -> Undo:
        """Close the gate, then freeze."""
        processes = world.find_processes(self.process)
        exempt = _NO_WORKERS if self.held == 'workers' else frozenset[str]()
        for process in processes:
            process.endpoint.gate_exempt = exempt
        _step_all(processes, LifeEvent.GATE_CLOSED)
        world.loop.call_later(
            self.gate_ms / MS_PER_SECOND,
            partial(_step_all, processes, LifeEvent.FROZEN),
        )
        return partial(_step_all, processes, LifeEvent.RESUMED)


@FAULT_KINDS.register('worker_dies')
class WorkerDies(FaultKind):
    """Hosts fail with all their tasks; at the end they start again, empty."""

    workers: tuple[str, ...]

    def begin(self, world: World) -> Undo:
        """Let the workers die."""
        workers = world.find_workers(self.workers)
        for worker in workers:
            worker.die()
            world.network.reset(worker.endpoint)
        return undo_all([one.come_back for one in workers])


@FAULT_KINDS.register('worker_pauses')
class WorkerPauses(FaultKind):
    """Hosts freeze; exchanges that reach them wait for the end."""

    workers: tuple[str, ...]

    def begin(self, world: World) -> Undo:
        """Freeze."""
        workers = world.find_workers(self.workers)
        for worker in workers:
            worker.pause()
        return undo_all([one.resume for one in workers])


class _WorkerSwitch(FaultKind):
    """Base of faults that set one attribute of workers."""

    workers: tuple[str, ...]

    def switch(self, world: World, attribute: str, setting: Any) -> Undo:
        """Set an attribute; the returned call sets it back."""
        return undo_all(
            [
                undo_switch(worker, attribute, setting)
                for worker in world.find_workers(self.workers)
            ],
        )


@FAULT_KINDS.register('worker_fails_all')
class WorkerFailsAll(_WorkerSwitch):
    """Every task that workers start fails after 50 ms."""

    def begin(self, world: World) -> Undo:
        """Let tasks fail."""
        return self.switch(world, 'fails_all', setting=True)


@FAULT_KINDS.register('worker_uses_more')
class WorkerUsesMore(_WorkerSwitch):
    """Tasks started there use `factor` times their declared size."""

    factor: _Factor

    def begin(self, world: World) -> Undo:
        """Let tasks use more."""
        return self.switch(world, 'size_factor', self.factor)


@FAULT_KINDS.register('worker_runs_longer')
class WorkerRunsLonger(_WorkerSwitch):
    """Tasks started there run `factor` times as long as declared."""

    factor: _Factor

    def begin(self, world: World) -> Undo:
        """Let tasks run longer."""
        return self.switch(world, 'run_time_factor', self.factor)


@FAULT_KINDS.register('worker_clock_rate')
class WorkerClockRate(_WorkerSwitch):
    """The clocks of workers run at `rate` times the true rate."""

    rate: _Factor

    def begin(self, world: World) -> Undo:
        """Change the rate."""
        return self.switch(world, 'clock_rate', self.rate)


def _step_all(processes: list[ReplayedProcess], event: LifeEvent) -> None:
    for process in processes:
        process.step(event)
