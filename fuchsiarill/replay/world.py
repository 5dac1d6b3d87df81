"""The simulated world of a replay: processes, fakes and callers."""

import asyncio
import random
from typing import Any, Final

import yaml

from fuchsiarill.cell_config import CellConfig
from fuchsiarill.cluster.config_document import CONFIG_KEY, NO_DOCUMENT
from fuchsiarill.ids import CustomerId, PartitionId, WorkerId
from fuchsiarill.job import JobSpec
from fuchsiarill.owner.claims import OwnerClaim
from fuchsiarill.owner.keys import owner_key
from fuchsiarill.replay.callers import Callers
from fuchsiarill.replay.deployment import Deployment, merge
from fuchsiarill.replay.fake_host_list import FakeHostList
from fuchsiarill.replay.fake_store import FakeStore
from fuchsiarill.replay.fake_workers import FakeWorker, TaskProfile
from fuchsiarill.replay.loop import ReplayLoop
from fuchsiarill.replay.network import Network
from fuchsiarill.replay.observations import ObservationLog
from fuchsiarill.replay.operators import Operators
from fuchsiarill.replay.process import LifecycleEvent, ReplayedProcess
from fuchsiarill.replay.simulated_environment import SimulatedEnvironment
from fuchsiarill.routing import partitions_of
from fuchsiarill.settings import ProcessSettings

_PEER_PORT: Final = 7000


class World:
    """The processes, fakes, callers and operators that a trace acts on."""

    def __init__(
        self,
        deployment: Deployment,
        domains: tuple[str, ...],
        settings: dict[str, Any],
        seed: int,
    ) -> None:
        """Create all parts, with one process for each entry of `domains`."""
        self.deployment = deployment
        self.random_source = random.Random(seed)
        self.log = ObservationLog()
        self.network = Network(deployment.latencies, self.random_source)
        self.profiles: dict[str, TaskProfile] = {}
        self.specs: dict[str, JobSpec] = {}
        self.store = FakeStore(self.log)
        hosts = deployment.hosts()
        self.host_list = FakeHostList(self.log, hosts)
        self.workers = {
            str(entry.worker_id): FakeWorker(
                self.log,
                entry,
                number,
                self.profiles,
            )
            for number, entry in enumerate(hosts, start=1)
        }
        self.processes = self._create_processes(domains, settings, seed)
        self._tasks: set[asyncio.Task[None]] = set()
        self.callers = Callers(
            self.log,
            self.network,
            self.processes,
            deployment.config,
            self.random_source,
        )
        self.operators = Operators(
            self.log,
            self.network,
            self.processes,
            self.random_source,
        )

    @property
    def loop(self) -> ReplayLoop:
        """Return the running loop; raises `TypeError` for another kind."""
        loop = asyncio.get_running_loop()
        if not isinstance(loop, ReplayLoop):
            raise TypeError('a world needs a ReplayLoop')
        return loop

    def begin(self) -> None:
        """Start the fakes, write the configuration, start the processes."""
        self.store.start()
        self.host_list.start()
        for worker in self.workers.values():
            worker.start()
        first = NO_DOCUMENT.successor(
            config_text(self.deployment.config),
            'trace',
            'first',
        )
        self.store.put(CONFIG_KEY, first.model_dump_json())
        for process in self.processes.values():
            process.step(LifecycleEvent.STARTED)

    def track_task(self, task: asyncio.Task[None]) -> None:
        """Keep a reference to a running task until it ends."""
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def end(self) -> None:
        """Close the log and release held tasks, so that they can end."""
        self.log.close()
        for process in self.processes.values():
            for incarnation in process.incarnations:
                incarnation.release(process.loop)

    def find_processes(self, name: str) -> list[ReplayedProcess]:
        """Return the processes that a name in a trace stands for.

        `owner` is the current owner of the first partition, `standby` one of
        the other live processes and `others` all of them; `all` stands for
        all live processes and a failure domain for all of its processes.
        """
        alive = [
            process for process in self.processes.values() if process.is_alive
        ]
        owner = self.owner_name()
        if name == 'owner':
            return [process for process in alive if process.name == owner]
        if name == 'standby':
            return [process for process in alive if process.name != owner][:1]
        if name == 'others':
            return [process for process in alive if process.name != owner]
        if name == 'all':
            return alive
        return [
            process
            for process in self.processes.values()
            if name in {process.name, process.endpoint.domain}
        ]

    def find_workers(self, names: tuple[str, ...]) -> list[FakeWorker]:
        """Return the workers that the names in a trace stand for.

        A name is a worker, a failure domain, `all`, or `running KEY` for the
        workers that now run a task of the job with that key.
        """
        found: dict[str, FakeWorker] = {}
        for name in names:
            for worker in self.workers.values():
                if _is_named(worker, name):
                    found[worker.name] = worker
        return list(found.values())

    def owner_name(self) -> str:
        """Return the owner of the first partition, or an empty name."""
        region = self.deployment.region
        partition = partitions_of(self.deployment.config, region)[0]
        return self._owner_of(partition)

    def _owner_of(self, partition: PartitionId) -> str:
        claim = self.store.read(owner_key(partition)).value
        if claim is None:
            return ''
        return OwnerClaim.model_validate_json(claim).process

    def _create_processes(
        self,
        domains: tuple[str, ...],
        settings: dict[str, Any],
        seed: int,
    ) -> dict[str, ReplayedProcess]:
        environment = SimulatedEnvironment(
            self.log,
            self.network,
            self.store,
            self.host_list,
            self.workers,
            {},
            seed,
        )
        processes = {}
        for number, domain in enumerate(domains, start=1):
            name = f'p{number}'
            document = process_settings(name, domain, self.deployment, settings)
            process = ReplayedProcess(
                ProcessSettings.model_validate(document),
                environment,
                self.loop,
            )
            processes[name] = process
            environment.listeners[f'{name}:{_PEER_PORT}'] = process
        return processes


def process_settings(
    name: str,
    domain: str,
    deployment: Deployment,
    changes: dict[str, Any],
) -> dict[str, Any]:
    """Return the settings of a process, merged with those of the trace."""
    document = {
        'process': name,
        'region': deployment.region,
        'failure_domain': domain,
        'http': {'port': 1},
        'peers': {'host': name, 'port': _PEER_PORT},
        'store': {'url': 'store'},
        'host_list': {'url': 'host_list'},
    }
    merged: dict[str, Any] = merge(document, changes)
    return merged


def config_text(config: CellConfig) -> str:
    """Return a configuration as the YAML text that operators submit."""
    return yaml.safe_dump(config.model_dump(mode='json'), sort_keys=False)


def customer_names(config: CellConfig) -> list[CustomerId]:
    """Return the customers that have a contract, in order."""
    return [contract.customer for contract in config.contracts]


def worker_ids(workers: list[FakeWorker]) -> list[WorkerId]:
    """Return the ids of workers in the same order."""
    return [WorkerId(worker.name) for worker in workers]


def _is_named(worker: FakeWorker, name: str) -> bool:
    if name in {'all', worker.name, worker.endpoint.domain}:
        return True
    verb, _, key = name.partition(' ')
    return verb == 'running' and worker.runs(key)
