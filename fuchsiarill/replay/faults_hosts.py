"""Kinds of faults: failures of processes and of workers."""

from functools import partial
from typing import Annotated, Any, Final, Literal

from pydantic import Field

from fuchsiarill.clock import MS_PER_SECOND
from fuchsiarill.replay.kinds import (
    FAULT_KINDS,
    FaultKind,
    Undo,
    combine_undos,
    set_attribute,
)
from fuchsiarill.replay.network import CLIENT_DOMAIN, SERVICE_DOMAIN
from fuchsiarill.replay.process import LifecycleEvent, ReplayedProcess
from fuchsiarill.replay.world import World

_Factor = Annotated[float, Field(gt=0)]

# Long enough for a periodic decision of the owner; the gate holds the starts
# that it sends.
_GATE_MS: Final = 150
_DOMAINS_WITHOUT_WORKERS: Final = frozenset((SERVICE_DOMAIN, CLIENT_DOMAIN))


@FAULT_KINDS.register('kill')
class Kill(FaultKind):
    """SIGKILL; a fault with a duration restarts the process at its end."""

    process: str

    def begin(self, world: World) -> Undo:
        """Kill the processes."""
        processes = world.find_processes(self.process)
        for process in processes:
            process.step(LifecycleEvent.KILLED)
        return partial(_step_all, processes, LifecycleEvent.STARTED)


@FAULT_KINDS.register('pause')
class Pause(FaultKind):
    """SIGSTOP until the end of the fault.

    In the first `gate_ms` of the fault the process still runs, but its
    messages are held until it resumes, as if it had been stopped between a
    check and the send that follows. Calls to the store and answers to
    callers still pass unless `held` is `all`: without them the process would
    have no starts to send.
    """

    process: str
    gate_ms: Annotated[int, Field(ge=0)] = _GATE_MS
    held: Literal['workers', 'all'] = 'workers'

    def begin(self, world: World) -> Undo:
        """Close the gate, and freeze the processes after `gate_ms`."""
        processes = world.find_processes(self.process)
        exempt = (
            _DOMAINS_WITHOUT_WORKERS
            if self.held == 'workers'
            else frozenset[str]()
        )
        for process in processes:
            process.endpoint.gate_exempt = exempt
        _step_all(processes, LifecycleEvent.GATE_CLOSED)
        world.loop.call_later(
            self.gate_ms / MS_PER_SECOND,
            partial(_step_all, processes, LifecycleEvent.FROZEN),
        )
        return partial(_step_all, processes, LifecycleEvent.RESUMED)


@FAULT_KINDS.register('worker_dies')
class WorkerDies(FaultKind):
    """Hosts crash with all their tasks; at the end they restart empty."""

    workers: tuple[str, ...]

    def begin(self, world: World) -> Undo:
        """Crash the workers and reset the connections to them."""
        workers = world.find_workers(self.workers)
        for worker in workers:
            worker.crash()
            world.network.reset(worker.endpoint)
        return combine_undos([host.restart for host in workers])


@FAULT_KINDS.register('worker_pauses')
class WorkerPauses(FaultKind):
    """Hosts freeze; exchanges that arrive are queued until the end."""

    workers: tuple[str, ...]

    def begin(self, world: World) -> Undo:
        """Freeze the workers."""
        workers = world.find_workers(self.workers)
        for worker in workers:
            worker.pause()
        return combine_undos([host.resume for host in workers])


class _WorkerAttributeFault(FaultKind):
    """Base of faults that set one attribute of workers."""

    workers: tuple[str, ...]

    def set_on_workers(
        self, world: World, attribute: str, setting: Any
    ) -> Undo:
        """Set an attribute; the returned function restores its old values."""
        return combine_undos(
            [
                set_attribute(worker, attribute, setting)
                for worker in world.find_workers(self.workers)
            ],
        )


@FAULT_KINDS.register('worker_fails_all')
class WorkerFailsAll(_WorkerAttributeFault):
    """Every task that the workers start fails after 50 ms."""

    def begin(self, world: World) -> Undo:
        """Make tasks fail."""
        return self.set_on_workers(world, 'fails_all', setting=True)


@FAULT_KINDS.register('worker_uses_more')
class WorkerUsesMore(_WorkerAttributeFault):
    """Tasks that start on the workers use `factor` times their usual usage."""

    factor: _Factor

    def begin(self, world: World) -> Undo:
        """Set the factor of the workers."""
        return self.set_on_workers(world, 'size_factor', self.factor)


@FAULT_KINDS.register('worker_runs_longer')
class WorkerRunsLonger(_WorkerAttributeFault):
    """Tasks that start on the workers run `factor` times as long as usual."""

    factor: _Factor

    def begin(self, world: World) -> Undo:
        """Set the factor of the workers."""
        return self.set_on_workers(world, 'run_time_factor', self.factor)


@FAULT_KINDS.register('worker_clock_rate')
class WorkerClockRate(_WorkerAttributeFault):
    """The clocks of workers run at `rate` times the true rate."""

    rate: _Factor

    def begin(self, world: World) -> Undo:
        """Set the clock rate of the workers."""
        return self.set_on_workers(world, 'clock_rate', self.rate)


def _step_all(processes: list[ReplayedProcess], event: LifecycleEvent) -> None:
    for process in processes:
        process.step(event)
