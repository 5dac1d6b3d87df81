"""Kinds of events: actions of callers, operators and the platform."""

import asyncio
import random
from typing import Annotated, Any

from pydantic import Field

from fuchsiarill.clock import sleep_ms
from fuchsiarill.ids import CustomerId, JobClass
from fuchsiarill.job import Execution, JobSpec, Urgency, Workload
from fuchsiarill.replay.callers import CallerOptions
from fuchsiarill.replay.deployment import TraceModel
from fuchsiarill.replay.fake_workers import TaskProfile, scaled
from fuchsiarill.replay.kinds import EVENT_KINDS, EventKind
from fuchsiarill.replay.world import World, worker_ids
from fuchsiarill.resources import Resources
from fuchsiarill.workers import HostState

_Positive = Annotated[int, Field(gt=0)]
_Count = Annotated[int, Field(ge=0)]
_Factor = Annotated[float, Field(gt=0)]


class Size(TraceModel):
    """Declared size of one task."""

    processors_milli: _Positive = 1000
    memory_mb: _Positive = 1000
    accelerators_count: _Count = 0


class JobTemplate(EventKind):
    """A job as callers declare it, and how its tasks actually behave.

    A task uses `true_size_factor` times its declared size and runs for
    `true_run_time_factor` times its declared run time. The first
    `fails_count` runs of the job fail.
    """

    customer: CustomerId
    workload: Workload = Workload.BATCH
    execution: Execution = Execution.IDEMPOTENT
    urgency: Urgency = Urgency.NORMAL
    job_class: str = 'default'
    tasks_count: _Positive = 1
    size: Size = Size()
    run_time_ms: _Count = 1000
    true_size_factor: _Factor = 1
    true_run_time_factor: _Factor = 1
    fails_count: _Count = 0
    retries: bool = True
    waits: bool = True
    via: str | None = None

    def submit(self, world: World, key: str) -> None:
        """Submit the job under an idempotency key."""
        spec = self._spec(key)
        world.profiles[key] = TaskProfile(
            scaled(spec.task_size, self.true_size_factor),
            self.true_run_time_factor,
            self.fails_count,
        )
        world.specs[key] = spec
        world.callers.submit(spec, self._options())

    def _options(self) -> CallerOptions:
        return CallerOptions(self.retries, self.waits, self.via)

    def _spec(self, key: str) -> JobSpec:
        return JobSpec(
            customer=self.customer,
            idempotency_key=key,
            workload=self.workload,
            execution=self.execution,
            urgency=self.urgency,
            job_class=JobClass(self.job_class),
            tasks_count=self.tasks_count,
            task_size=Resources(
                self.size.processors_milli,
                self.size.memory_mb,
                self.size.accelerators_count,
                slots_count=1,
            ),
            run_time_ms=self.run_time_ms,
            payload=key,
        )


@EVENT_KINDS.register('submit')
class Submit(JobTemplate):
    """Submit one job; a key that was used before is a retry of that job."""

    key: str

    def apply(self, world: World) -> None:
        """Submit the job."""
        self.submit(world, self.key)


@EVENT_KINDS.register('stream')
class Stream(JobTemplate):
    """Submit `count` jobs at `rate_per_s`, with keys from `<prefix>-1` on.

    Intervals are exponentially distributed, or equal when `regular`. Run
    times are uniform between `run_time_ms` and `run_time_max_ms`, if given.
    """

    prefix: str
    rate_per_s: _Factor
    count: _Positive
    regular: bool = False
    run_time_max_ms: _Positive | None = None

    def apply(self, world: World) -> None:
        """Start a task that submits the jobs."""
        random_source = random.Random(world.random_source.random())
        world.track_task(
            asyncio.create_task(self._submit_jobs(world, random_source))
        )

    async def _submit_jobs(
        self, world: World, random_source: random.Random
    ) -> None:
        for number in range(1, self.count + 1):
            template = self
            if self.run_time_max_ms is not None:
                run_time_ms = random_source.randint(
                    self.run_time_ms,
                    self.run_time_max_ms,
                )
                template = self.model_copy(update={'run_time_ms': run_time_ms})
            template.submit(world, f'{self.prefix}-{number}')
            gap_s = 1 / self.rate_per_s
            if not self.regular:
                gap_s = random_source.expovariate(self.rate_per_s)
            await sleep_ms(gap_s * 1000)


@EVENT_KINDS.register('cancel')
class Cancel(EventKind):
    """Cancel the job that was submitted under a key."""

    key: str
    via: str | None = None

    def apply(self, world: World) -> None:
        """Start the cancellation."""
        world.callers.cancel(world.specs[self.key], CallerOptions(via=self.via))


@EVENT_KINDS.register('cancel_wave')
class CancelWave(EventKind):
    """Cancel all jobs submitted so far whose key begins with `prefix`."""

    prefix: str

    def apply(self, world: World) -> None:
        """Start all cancellations at the same time."""
        for key, spec in world.specs.items():
            if key.startswith(self.prefix):
                world.callers.cancel(spec, CallerOptions())


@EVENT_KINDS.register('retire')
class Retire(EventKind):
    """The host list shows workers as leaving."""

    workers: tuple[str, ...]

    def apply(self, world: World) -> None:
        """Mark the workers as leaving in the host list."""
        workers = worker_ids(world.find_workers(self.workers))
        world.host_list.change(workers, HostState.LEAVING)


@EVENT_KINDS.register('restore')
class Restore(EventKind):
    """The host list shows workers as live again."""

    workers: tuple[str, ...]

    def apply(self, world: World) -> None:
        """Mark the workers as live in the host list."""
        workers = worker_ids(world.find_workers(self.workers))
        world.host_list.change(workers, HostState.LIVE)


@EVENT_KINDS.register('unlist')
class Unlist(EventKind):
    """Workers crash and are removed from the host list."""

    workers: tuple[str, ...]

    def apply(self, world: World) -> None:
        """Remove the workers from the list, then crash them."""
        workers = world.find_workers(self.workers)
        world.host_list.unlist(worker_ids(workers))
        for worker in workers:
            worker.crash()


@EVENT_KINDS.register('configure')
class Configure(EventKind):
    """An operator changes the cell configuration.

    `changes` are merged into the current document: mappings merge by key, and
    `contracts` is a mapping of customers. `text` replaces the document.
    """

    changes: dict[str, Any] = Field(default_factory=dict)
    text: str | None = None
    author: str = 'operator'
    via: str | None = None

    def apply(self, world: World) -> None:
        """Start the change request."""
        world.operators.change(self.changes, self.text, self.author, self.via)


@EVENT_KINDS.register('configure_race')
class ConfigureRace(EventKind):
    """Several operators change the same generation at the same time."""

    changes: tuple[dict[str, Any], ...]

    def apply(self, world: World) -> None:
        """Start all change requests, based on the same document."""
        for number, change in enumerate(self.changes, start=1):
            world.operators.change(change, None, f'operator-{number}', None)


@EVENT_KINDS.register('shutdown')
class Shutdown(EventKind):
    """SIGTERM: processes drain and end.

    `process` is a name as in `World.find_processes`.
    """

    process: str

    def apply(self, world: World) -> None:
        """Send SIGTERM to the processes."""
        for process in world.find_processes(self.process):
            process.shut_down()
