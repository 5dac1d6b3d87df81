"""Several processes of the graph scheduler in simulated time.

The store and the workers are in-memory models.
"""

import json
from collections.abc import Awaitable, Callable, Mapping
from dataclasses import replace
from types import SimpleNamespace
from typing import Any

from returns.result import Failure, Result, Success

from fuchsiarill.actor import Reply
from fuchsiarill.clock import now_ms, run_paused, sleep_ms
from fuchsiarill.cluster.peer_port import PeerFailure
from fuchsiarill.graphs import intake, keys, records
from fuchsiarill.graphs.metrics import GraphMetrics
from fuchsiarill.graphs.model import (
    GraphConfig,
    JobGraph,
    PoolId,
    PoolPolicy,
    QueueId,
    QueuePolicy,
    Step,
    StepKey,
    TaskKey,
    Ticket,
    WorkerEntry,
    WorkerListing,
)
from fuchsiarill.graphs.peer_links import PeerLinks
from fuchsiarill.graphs.ports import (
    BusyTrackingAdvisor,
    DocumentLayout,
    GraphPorts,
)
from fuchsiarill.graphs.process import GraphProcess
from fuchsiarill.graphs.settings import GraphSettings
from fuchsiarill.graphs.states import JobPhase
from fuchsiarill.ids import (
    CustomerId,
    FailureDomain,
    Generation,
    JobId,
    ProcessId,
    StoreKey,
    WorkerId,
)
from fuchsiarill.ports.agents import AdvisorPort, AgentFailure
from fuchsiarill.ports.key_value import KvWrite
from fuchsiarill.resources import Resources
from standins.agent_incarnation import AgentModel
from standins.agent_model import Fleet
from standins.store_model import StoreModel, StorePath
from standins.worker_crashes import CrashSettings

POOL = PoolId('costing')
QUEUE = QueueId('quotes')
CAPACITY = Resources(8000, 16000, 2)
TASK_SIZE = Resources(2000, 1000)
P0 = ProcessId('p0')
P1 = ProcessId('p1')
TWO_STEPS = (Step(3, TASK_SIZE), Step(2, TASK_SIZE, after=(0,)))
_CONFIG_KEY = StoreKey('settings/config')
_CALLER_TIMEOUT_MS = 2500


class NoPeers(PeerLinks):
    """Links of a process that can't reach any peer."""

    @property
    def processes(self) -> tuple[ProcessId, ...]:
        """Return an empty tuple."""
        return ()

    async def call(
        self,
        process: ProcessId,
        method: str,
        request: dict[str, Any],
        timeout_ms: int,
    ) -> Result[Any, PeerFailure]:
        """Fail without sending the call."""
        return Failure(PeerFailure.NOT_SENT)


class AnsweringPeers(NoPeers):
    """Links over which each running process answers that it has the store."""

    def __init__(self, running: Mapping[ProcessId, GraphProcess]) -> None:
        """Answer for the processes in `running`."""
        super().__init__()
        self._running = running

    async def call(
        self,
        process: ProcessId,
        method: str,
        request: dict[str, Any],
        timeout_ms: int,
    ) -> Result[Any, PeerFailure]:
        """Return an answer without a failure if the process runs."""
        if process not in self._running:
            return Failure(PeerFailure.NO_ANSWER)
        return Success(SimpleNamespace(answer=SimpleNamespace(failure='')))


class GrantingAdvisor:
    """An advice service that grants a ticket to every worker of a fleet."""

    def __init__(self, fleet: Fleet, validity_ms: int = 5000) -> None:
        """Grant tickets that `fleet` checks."""
        self._fleet = fleet
        self._validity_ms = validity_ms

    async def advise(
        self,
        step: StepKey,
        workers: tuple[WorkerId, ...],
        timeout_ms: int,
    ) -> Result[dict[WorkerId, Ticket], AgentFailure]:
        """Return a ticket for each worker."""
        await sleep_ms(20)
        return Success(
            self._fleet.grant_tickets(step, workers, self._validity_ms)
        )


def queue_policy(**changes: Any) -> QueuePolicy:
    """Return the policy of the only queue, with changes."""
    policy = QueuePolicy(
        QUEUE,
        'jobs.example',
        '/quotes/',
        POOL,
        3000,
        attempts_max=3,
        slack_factor=2,
        target_ms=500,
    )
    return replace(policy, **changes)


def settings_of(process: str, *, is_small: bool = False) -> GraphSettings:
    """Return the settings of a process, on a small or a large machine."""
    return GraphSettings.model_validate(
        {
            'process': process,
            'failure_domain': 'd',
            'listen': {
                'callers': 'none:1',
                'readiness': 'none:2',
                'peers': 'none:3',
                'metrics': 'none:4',
            },
            'outside': {'store': 'none:5'},
            'machine': {'link_mbps': 10 if is_small else 1000},
        },
    )


class GraphCell:
    """Processes, workers and a store in one loop with simulated time."""

    def __init__(
        self,
        processes_count: int,
        workers_count: int,
        crash_settings: CrashSettings | None = None,
    ) -> None:
        """Create the cell; `start` runs it."""
        self.store = StoreModel()
        self.fleet = Fleet(crash_settings, self._list_restarted)
        self.metrics = GraphMetrics()
        self.entries: dict[str, WorkerEntry] = {}
        self.paths: dict[ProcessId, StorePath] = {}
        self.processes: dict[ProcessId, GraphProcess] = {}
        self.process_starts_count = 0
        self.advisor: AdvisorPort = GrantingAdvisor(self.fleet)
        # Processes on machines that are too small for an owner.
        self.processes_on_small_machines: set[ProcessId] = set()
        self.are_peers_connected = False
        self.config = GraphConfig(
            Generation(1),
            {QUEUE: queue_policy()},
            {POOL: PoolPolicy(POOL)},
        )
        self._names = [
            ProcessId(f'p{number}') for number in range(processes_count)
        ]
        self._workers_count = workers_count
        self._pool_by_worker: dict[str, PoolId] = {}

    async def start(self) -> None:
        """Start all processes and workers, and list the workers."""
        self.store.write(KvWrite(_CONFIG_KEY, b'1'))
        for number in range(self._workers_count):
            self.add_worker(f'w{number}')
        for name in self._names:
            self.run_process(name)

    def add_worker(self, name: str, pool: PoolId = POOL) -> None:
        """Start or restart a worker and list it in a pool."""
        self._pool_by_worker[name] = pool
        self._list_agent(self.fleet.add(name, CAPACITY))

    def change_capacity(self, name: str, capacity: Resources) -> None:
        """Change the capacity of a worker and its directory entry."""
        self.fleet.change_capacity(name, capacity)
        self._list_agent(self.fleet.agents[name])

    def list_worker(self, name: str) -> None:
        """Write the directory entry of a worker."""
        self.store.write(KvWrite(StoreKey(f'workers/{name}'), name.encode()))

    def unlist_worker(self, name: str) -> None:
        """Remove the directory entry of a worker."""
        self.store.remove(StoreKey(f'workers/{name}'))

    def run_process(self, name: ProcessId) -> None:
        """Start a process."""
        self.process_starts_count += 1
        self.paths.setdefault(name, StorePath(self.store))
        settings = settings_of(
            name, is_small=name in self.processes_on_small_machines
        )
        ports = GraphPorts(
            self.paths[name],
            self.fleet,
            BusyTrackingAdvisor(self.advisor),
            DocumentLayout(
                _CONFIG_KEY,
                'settings/',
                'workers/',
                lambda _: self.config,
                lambda worker, _: self.entries[worker],
            ),
        )
        links = NoPeers()
        if self.are_peers_connected:
            links = AnsweringPeers(self.processes)
        process = GraphProcess(settings, ports, self.metrics, links)
        self.processes[name] = process
        process.start()

    def remove_queue(self) -> None:
        """Put a configuration in force that does not contain the queue."""
        self.config = replace(self.config, generation=Generation(2), queues={})
        self.store.write(KvWrite(_CONFIG_KEY, b'2'))

    async def kill(self, name: ProcessId) -> None:
        """Stop a process without a drain."""
        await self.processes.pop(name).stop()

    def owner(self, pool: PoolId = POOL) -> ProcessId | None:
        """Return the process in the owner key, if there is one."""
        self.store.expire()
        item = self.store.items.get(keys.owner_key(pool))
        if item is None or item.value is None:
            return None
        return records.decode_owner(item.value).process

    async def submit(
        self,
        name: ProcessId,
        job: str,
        steps: tuple[Step, ...],
        queue: QueueId = QUEUE,
        customer: CustomerId | None = None,
        **behaviour: Any,
    ) -> intake.IntakeAnswer:
        """Submit a job to a process; `behaviour` controls its tasks."""
        policy = self.config.queues[queue]
        if policy.advice is not None:
            behaviour['needs_ticket'] = True
        graph = JobGraph(
            JobId(job),
            queue,
            policy.pool,
            json.dumps(behaviour),
            steps,
            accepted_policy=policy,
            customer=customer,
        )
        for position, step in enumerate(steps):
            for index in range(step.tasks_count):
                task = TaskKey(JobId(job), 0, position, index)
                self.fleet.sizes[task] = step.size
        reply: Reply[intake.IntakeAnswer] = Reply()
        self.processes[name].intake.send(
            intake.Submit(graph, now_ms() + _CALLER_TIMEOUT_MS, reply),
        )
        return await reply.wait(2 * _CALLER_TIMEOUT_MS)

    async def cancel(
        self,
        name: ProcessId,
        job: str,
        customer: CustomerId | None = None,
    ) -> intake.IntakeAnswer:
        """Send the cancellation of a job to a process."""
        reply: Reply[intake.IntakeAnswer] = Reply()
        self.processes[name].intake.send(
            intake.Cancel(
                POOL,
                JobId(job),
                customer,
                now_ms() + _CALLER_TIMEOUT_MS,
                reply,
            ),
        )
        return await reply.wait(2 * _CALLER_TIMEOUT_MS)

    def phase(self, job: str) -> JobPhase | None:
        """Return the durable phase of a job."""
        item = self.store.items.get(keys.progress_key(POOL, JobId(job)))
        if item is None or item.value is None:
            return None
        return records.decode_progress(item.value).phase

    async def wait_phase(
        self,
        job: str,
        phase: JobPhase,
        within_ms: int,
    ) -> None:
        """Wait until the durable phase of a job is `phase`."""
        deadline_ms = now_ms() + within_ms
        while self.phase(job) is not phase:
            assert now_ms() < deadline_ms, f'{job} is {self.phase(job)}'
            await sleep_ms(20)

    async def stop(self) -> None:
        """Stop all processes, and check for violations on the workers."""
        for name in list(self.processes):
            await self.kill(name)
        assert self.fleet.violations == []
        assert self.fleet.late_overloads == []

    def _list_restarted(self, crashed: AgentModel, agent: AgentModel) -> None:
        if crashed.worker != agent.worker:
            self.unlist_worker(crashed.worker)
        self._list_agent(agent)

    def _list_agent(self, agent: AgentModel) -> None:
        self.entries[agent.worker] = WorkerEntry(
            agent.worker,
            self._pool_by_worker.get(agent.address, POOL),
            agent.address,
            FailureDomain('d'),
            agent.capacity.current,
            (),
            WorkerListing.LIVE,
            agent.born_ms,
        )
        self.list_worker(agent.worker)


Scenario = Callable[[GraphCell], Awaitable[None]]


def run_scenario(
    scenario: Scenario,
    processes_count: int = 3,
    workers_count: int = 3,
    crash_settings: CrashSettings | None = None,
) -> None:
    """Run a scenario on a cell after the election of an owner."""

    async def main() -> None:
        cell = GraphCell(processes_count, workers_count, crash_settings)
        await cell.start()
        await sleep_ms(1500)
        await scenario(cell)
        await cell.stop()

    run_paused(main())


def follower_of(cell: GraphCell) -> ProcessId:
    """Return a process that does not own the pool."""
    owner = cell.owner()
    return next(name for name in cell.processes if name != owner)


def owner_of(cell: GraphCell) -> ProcessId:
    """Return the owner of the pool, which must exist."""
    owner = cell.owner()
    assert owner is not None
    return owner
