"""The world of one replay: processes, fakes and callers in one loop."""

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
from fuchsiarill.replay.fake_workers import FakeWorker, Truth
from fuchsiarill.replay.fakes import FakeStore
from fuchsiarill.replay.loop import ReplayLoop
from fuchsiarill.replay.network import Network
from fuchsiarill.replay.operators import Operators
from fuchsiarill.replay.process import LifeEvent, ReplayedProcess
from fuchsiarill.replay.seen import SeenLog
from fuchsiarill.replay.simulated_environment import SimulatedEnvironment
from fuchsiarill.routing import partitions_of
from fuchsiarill.settings import ProcessSettings

_PEER_PORT: Final = 7000


class World:
    """Everything that a trace acts on."""

    def __init__(
        self,
        deployment: Deployment,
        domains: tuple[str, ...],
        settings: dict[str, Any],
        seed: int,
    ) -> None:
        """Create everything; one process for each entry of `domains`."""
        self.deployment = deployment
        self.random_source = random.Random(seed)
        self.log = SeenLog()
        self.network = Network(deployment.latencies, self.random_source)
        self.truths: dict[str, Truth] = {}
        self.specs: dict[str, JobSpec] = {}
        self.store = FakeStore(self.log)
        hosts = deployment.hosts()
        self.host_list = FakeHostList(self.log, hosts)
        self.workers = {
            str(entry.worker_id): FakeWorker(
                self.log,
                entry,
                number,
                self.truths,
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
        """Return the running loop."""
        loop = asyncio.get_running_loop()
        if not isinstance(loop, ReplayLoop):
            raise TypeError('a world needs a ReplayLoop')
        return loop

    def begin(self) -> None:
        """Run the fakes, write the configuration, start the processes."""
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
            process.step(LifeEvent.STARTED)

    def keep(self, task: asyncio.Task[None]) -> None:
        """Hold a reference to a running task until its end."""
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def end(self) -> None:
        """Stop noting; let held tasks be cancelled with the loop."""
        self.log.close()
        for process in self.processes.values():
            for incarnation in process.incarnations:
                incarnation.release(process.loop)

    def find_processes(self, name: str) -> list[ReplayedProcess]:
        """Return the processes that a trace names.

        `owner`, `standby` (one that is not) and `others` (all that are not)
        are taken as they are now; `all` are those that live; a failure domain
        stands for its processes.
        """
        alive = [one for one in self.processes.values() if one.is_alive]
        owner = self.owner_name()
        if name == 'owner':
            return [one for one in alive if one.name == owner]
        if name == 'standby':
            return [one for one in alive if one.name != owner][:1]
        if name == 'others':
            return [one for one in alive if one.name != owner]
        if name == 'all':
            return alive
        return [
            one
            for one in self.processes.values()
            if name in {one.name, one.endpoint.domain}
        ]

    def find_workers(self, names: tuple[str, ...]) -> list[FakeWorker]:
        """Return the workers that a trace names.

        A name is a worker, a failure domain, `all`, or `running KEY` for the
        workers that run a task of that job now.
        """
        found: dict[str, FakeWorker] = {}
        for name in names:
            for worker in self.workers.values():
                if _is_named(worker, name):
                    found[worker.name] = worker
        return list(found.values())

    def owner_name(self) -> str:
        """Return who holds the first partition's owner key, or nothing."""
        region = self.deployment.region
        partition = partitions_of(self.deployment.config, region)[0]
        return self._owner_of(partition)

    def _owner_of(self, partition: PartitionId) -> str:
        claimed = self.store.read(owner_key(partition)).value
        if claimed is None:
            return ''
        return OwnerClaim.model_validate_json(claimed).process

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
            own = process_settings(name, domain, self.deployment, settings)
            process = ReplayedProcess(
                ProcessSettings.model_validate(own),
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
    """Return the settings of one process, with the changes of the trace."""
    document = {
        'process': name,
        'region': deployment.region,
        'failure_domain': domain,
        'http': {'port': 1},
        'peers': {'host': name, 'port': _PEER_PORT},
        'store': {'url': 'store'},
        'host_list': {'url': 'host_list'},
    }
    whole: dict[str, Any] = merge(document, changes)
    return whole


def config_text(config: CellConfig) -> str:
    """Return the text of a configuration as an operator writes it."""
    return yaml.safe_dump(config.model_dump(mode='json'), sort_keys=False)


def customer_names(config: CellConfig) -> list[CustomerId]:
    """Return the customers of a configuration."""
    return [contract.customer for contract in config.contracts]


def worker_ids(workers: list[FakeWorker]) -> list[WorkerId]:
    """Return the ids of workers."""
    return [WorkerId(worker.name) for worker in workers]


def _is_named(worker: FakeWorker, name: str) -> bool:
    if name in {'all', worker.name, worker.endpoint.domain}:
        return True
    verb, _, key = name.partition(' ')
    return verb == 'running' and worker.runs(key)
