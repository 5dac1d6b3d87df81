"""Simulation of workers that crash, leave, lose power or are cut off."""

from dataclasses import dataclass, replace
from typing import Final

from fuchsiarill.graphs import records
from fuchsiarill.graphs.effects import StartRun
from fuchsiarill.graphs.model import (
    BornMs,
    JobGraph,
    Label,
    Step,
    TaskKey,
    WorkerEntry,
    WorkerListing,
)
from fuchsiarill.graphs.states import JobPhase
from fuchsiarill.ids import Epoch, JobId, WorkerId
from fuchsiarill.ports.agents import AgentFailure
from fuchsiarill.resources import Resources
from tests.graph_owner import BATCH, POOL, Owner, entry, task
from tests.graph_world import World
from tests.simulated_worker import SimulatedWorker

OUTAGE_MS: Final = 3300
# Longer than the task leases.
LONG_OUTAGE_MS: Final = 8000
SMALL: Final = Resources(100, 100)
WORKERS: Final = ('w0', 'w1', 'w2', 'w3')
CRASH_AFTER_MS: Final = 50


@dataclass(slots=True)
class Outage:
    """A worker that has crashed, and when another one is at its address."""

    name: str
    back_ms: int
    keeps_id: bool
    is_replaced: bool = False


class CrashWorld(World):
    """A world in which workers crash and come back after an outage.

    A task in `crash_after_ms` ends its worker after that time of each run.
    """

    def __init__(self, *names: str, rack: str = '') -> None:
        """Create live workers, all in `rack` or in no known rack."""
        super().__init__(*names)
        self.crash_after_ms: dict[TaskKey, int] = {}
        self.outage_ms = OUTAGE_MS
        self.keeps_id = False
        # Start orders in the order of their arrival.
        self.starts: list[StartRun] = []
        # The other tasks on the worker at the arrival of each start order.
        self.neighbours: list[set[TaskKey]] = []
        self._labels = (Label('kind'), Label(rack)) if rack else ()
        self._addresses = {name: f'{name}:1' for name in names}
        self._outages: list[Outage] = []
        self._fatal_runs: list[tuple[int, str, tuple[TaskKey, int]]] = []
        self._successors_count = 0
        self._replaced: set[str] = set()
        self.publish_directory()

    def add(self, job: str, *steps: Step, run_ms: int = 300) -> None:
        """Accept a job whose runs take `run_ms`."""
        for position, step in enumerate(steps):
            self.steps[job, position] = step
        self.run_ms[job] = run_ms
        self.owner.add_job(job, *steps)

    def phase(self, job: str) -> JobPhase:
        """Return the phase of a job."""
        return self.owner.core.state.jobs[JobId(job)].progress.phase

    def starts_of(self, key: TaskKey) -> list[StartRun]:
        """Return the start orders of a task that have arrived."""
        return [start for start in self.starts if start.task == key]

    def worker_of(self, key: TaskKey) -> str | None:
        """Return the worker that runs a task."""
        for name, worker in self.workers.items():
            if any(task == key for task, _ in worker.runs):
                return name
        return None

    def crash(self, name: str) -> None:
        """End a worker without notice; it comes back after the outage."""
        worker = self.workers[name]
        worker.runs.clear()
        worker.is_reachable = False
        self._outages.append(
            Outage(name, self.now_ms + self.outage_ms, self.keeps_id)
        )

    def publish_directory(self) -> None:
        """Pass the directory with the addresses and labels to the owner."""
        entries = [
            self._entry(worker)
            for name, worker in self.workers.items()
            if name not in self._replaced
        ]
        self.apply_directory(entries)

    def replace_owner(self) -> None:
        """Continue with a new owner that reads the records of the old one."""
        previous = self.owner.core.state
        now_ms = self.now_ms
        self.owner = Owner(term=2)
        self.epoch = Epoch(self.epoch + 1)
        self.channels.clear()
        self.owner.now_ms = now_ms
        for view in previous.workers:
            self.owner.core.add_inherited_worker(
                view.worker, view.address, view.lease_expiry_ms
            )
        self.publish_directory()
        for job in previous.jobs.values():
            content = records.encode_progress(job.progress)
            self.owner.core.add_job(
                JobGraph(job.job, BATCH, POOL, '', job.graph.steps),
                records.decode_progress(content),
                self.now_ms,
                is_inherited=True,
            )

    def pass_time(self, duration_ms: int) -> None:
        """Advance the clock in steps; crash and replace workers."""
        for _ in range(duration_ms // 50):
            super().pass_time(50)
            self._run_faults()

    def _run_faults(self) -> None:
        due = [row for row in self._fatal_runs if row[0] <= self.now_ms]
        self._fatal_runs = [row for row in self._fatal_runs if row not in due]
        for _, name, key in due:
            worker = self.workers.get(name)
            if worker is not None and key in worker.runs:
                self.crash(name)
        for outage in self._outages:
            if not outage.is_replaced and outage.back_ms <= self.now_ms:
                outage.is_replaced = True
                self._bring_back(outage)
            if outage.is_replaced and not outage.keeps_id:
                self._answer_for_other_worker(WorkerId(outage.name))

    def _bring_back(self, outage: Outage) -> None:
        if outage.keeps_id:
            self.restart(outage.name)
            return
        self._replaced.add(outage.name)
        self._successors_count += 1
        successor = f's{self._successors_count}'
        self._addresses[successor] = self._addresses[outage.name]
        self.workers[successor] = SimulatedWorker(successor, self.now_ms)
        self.publish_directory()

    def _answer_for_other_worker(self, worker: WorkerId) -> None:
        """Answer calls to a worker that another one has replaced."""
        core = self.owner.core
        view = core.state.workers.find(worker)
        if view is None:
            return
        is_idle = not view.runs and not view.is_listed
        if is_idle and self.now_ms > view.lease_expiry_ms:
            core.state.workers.remove(worker)
            return
        # Several calls fail before the channel to the worker closes.
        for _ in range(2):
            core.worker_failed(worker, AgentFailure.OTHER_WORKER, self.now_ms)

    def _entry(self, worker: SimulatedWorker) -> WorkerEntry:
        listing = WorkerListing.LIVE
        if worker.is_leaving:
            listing = WorkerListing.LEAVING
        return replace(
            entry(worker.name),
            address=self._addresses[worker.name],
            labels=self._labels,
            listing=listing,
            born_ms=BornMs(worker.born_ms),
        )

    def _start_run(self, worker: SimulatedWorker, order: StartRun) -> None:
        self.starts.append(order)
        self.neighbours.append({task for task, _ in worker.runs})
        super()._start_run(worker, order)
        crash_after_ms = self.crash_after_ms.get(order.task)
        if crash_after_ms is not None:
            key = (order.task, order.attempt)
            self._fatal_runs.append(
                (self.now_ms + crash_after_ms, worker.name, key)
            )


def deadly_world(
    *,
    neighbours_count: int = 6,
    workers: tuple[str, ...] = WORKERS,
    crash_after_ms: int = CRASH_AFTER_MS,
) -> CrashWorld:
    """Return a world with a deadly task and sound neighbours beside it."""
    world = CrashWorld(*workers)
    world.pass_time(100)
    world.add('sound', Step(neighbours_count, SMALL), run_ms=1500)
    world.add('deadly', Step(1, SMALL))
    world.crash_after_ms[task('deadly')] = crash_after_ms
    return world
