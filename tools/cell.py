"""A cell on loopback: entry processes and stand-ins for the platform."""

import json
from pathlib import Path
from typing import Any, Final

import urllib3
import yaml

from fuchsiarill.cluster.config_document import CONFIG_KEY, ConfigDocument
from fuchsiarill.ids import Generation, ProcessId, WorkerId
from fuchsiarill.ports.http_ports import HOST_ENTRIES
from fuchsiarill.workers import HostEntry
from standins.worker_log import LogLine, read_log
from standins.worker_settings import (
    WorkerDefinition,
    WorkerProcessSettings,
    host_entry,
)
from tools.deployment import Deployment
from tools.processes import (
    LaunchedCell,
    Processes,
    free_ports,
    wait_until,
)

_WORKERS_PER_PROCESS: Final = 9
_OK: Final = 200
_TIMEOUT: Final = urllib3.Timeout(total=5)


class Cell(LaunchedCell):
    """Starts and ends the processes of a deployment, and injects faults."""

    def __init__(
        self,
        deployment: Deployment,
        configuration: str,
        folder: Path,
        settings: dict[str, Any] | None = None,
    ) -> None:
        """Allocate ports; `settings` override the settings of each daemon."""
        self.deployment = deployment
        self.configuration = configuration
        super().__init__(Processes(folder))
        self.entries: dict[WorkerId, HostEntry] = {}
        self._folder = folder
        self._settings = settings or {}
        self._http = urllib3.PoolManager(retries=False, timeout=_TIMEOUT)
        self._ports = iter(
            free_ports(
                2
                + len(list(deployment.workers()))
                + 2 * len(deployment.entry_processes),
            ),
        )
        self.store_url = f'http://127.0.0.1:{next(self._ports)}'
        self.host_list_url = f'http://127.0.0.1:{next(self._ports)}'
        self.entry_urls: dict[ProcessId, str] = {}
        self._peer_ports: dict[ProcessId, int] = {}
        for entry in deployment.entry_processes:
            port = next(self._ports)
            self.entry_urls[entry.process] = f'http://127.0.0.1:{port}'
            self._peer_ports[entry.process] = next(self._ports)

    def start_entry(self, process: ProcessId) -> None:
        """Start or restart one daemon; its ports stay the same."""
        path = self._folder / f'{process}.yaml'
        self.processes.start(
            process,
            'fuchsiarill.daemon',
            '--config',
            path,
        )

    def is_ready(self, process: ProcessId) -> bool:
        """Tell whether a daemon answers that it is ready for requests."""
        try:
            answer = self._http.request(
                'GET',
                f'{self.entry_urls[process]}/readyz',
            )
        except urllib3.exceptions.HTTPError:
            return False
        return answer.status == _OK

    def wait_ready(self, process: ProcessId) -> None:
        """Wait until a daemon is ready; raises `TimeoutError`."""
        wait_until(
            lambda: self.is_ready(process),
            f'{process} is not ready; see {self._folder}/{process}.log',
        )

    def owner(self) -> ProcessId | None:
        """Return the owner of the first partition as the store names it."""
        key = f'partition/{self.deployment.region}.0/owner'
        found = self._post(f'{self.store_url}/v1/get', {'key': key})
        if found['value'] is None:
            return None
        return ProcessId(json.loads(found['value'])['process'])

    def control(self, url: str, **settings: Any) -> dict[str, Any]:
        """Change faults of the stand-in at `url` and return its state."""
        return self._post(f'{url}/control', settings)

    def worker_url(self, worker: WorkerId) -> str:
        """Return the base URL of a worker."""
        return f'http://{self.entries[worker].address}'

    def worker_logs(self) -> dict[WorkerId, list[LogLine]]:
        """Return the log lines that each worker has written so far."""
        return {
            worker: read_log(self._folder / f'{worker}.jsonl')
            for worker in self.entries
        }

    def _start(self) -> None:
        self._start_platform()
        for entry in self.deployment.entry_processes:
            self._write_settings(entry.process, entry.failure_domain)
            self.start_entry(entry.process)
        for process in self.entry_urls:
            self.wait_ready(process)
        wait_until(
            lambda: self.owner() is not None, 'no process owns the partition'
        )

    def _start_platform(self) -> None:
        self.processes.start(
            'store',
            'standins.store',
            '--port',
            self.store_url.rpartition(':')[2],
        )
        workers = [
            WorkerDefinition(
                worker_id=worker_id,
                port=next(self._ports),
                region=self.deployment.region,
                failure_domain=rack.failure_domain,
                rack=rack.rack,
                capacity=self.deployment.shapes[rack.shape],
            )
            for worker_id, rack in self.deployment.workers()
        ]
        for worker in workers:
            self.entries[worker.worker_id] = host_entry(worker)
        for number in range(0, -(-len(workers) // _WORKERS_PER_PROCESS)):
            first = number * _WORKERS_PER_PROCESS
            group = workers[first : first + _WORKERS_PER_PROCESS]
            self._start_workers(f'workers-{number}', tuple(group))
        self._start_host_list()
        platform = [self.store_url, self.host_list_url]
        platform.extend(map(self.worker_url, self.entries))
        for url in platform:
            self._wait_answering(url)
        self.control(self.store_url, put={CONFIG_KEY: self._document()})

    def _start_workers(
        self, name: str, workers: tuple[WorkerDefinition, ...]
    ) -> None:
        settings = WorkerProcessSettings(
            log_folder=self._folder,
            workers=workers,
            deviation=self.deployment.deviation,
        )
        path = self._folder / f'{name}.yaml'
        path.write_text(yaml.safe_dump(settings.model_dump(mode='json')))
        self.processes.start(name, 'standins.worker', '--config', path)

    def _start_host_list(self) -> None:
        path = self._folder / 'hosts.json'
        path.write_bytes(HOST_ENTRIES.dump_json(tuple(self.entries.values())))
        self.processes.start(
            'host-list',
            'standins.host_list',
            '--port',
            self.host_list_url.rpartition(':')[2],
            '--hosts',
            path,
            '--lag-ms',
            self.deployment.host_list_lag_ms,
        )

    def _write_settings(self, process: ProcessId, domain: str) -> None:
        seeds = [
            f'127.0.0.1:{port}'
            for other, port in self._peer_ports.items()
            if other != process
        ]
        settings = {
            'process': process,
            'region': self.deployment.region,
            'failure_domain': domain,
            'http': {'port': int(self.entry_urls[process].rpartition(':')[2])},
            'peers': {'port': self._peer_ports[process]},
            'membership': {'seeds': seeds},
            'store': {'url': self.store_url},
            'host_list': {'url': self.host_list_url},
        } | self._settings
        path = self._folder / f'{process}.yaml'
        path.write_text(yaml.safe_dump(settings))

    def _document(self) -> str:
        document = ConfigDocument(
            generation=Generation(1),
            author='tools.cell',
            text=self.configuration,
        )
        return document.model_dump_json()

    def _wait_answering(self, url: str) -> None:
        wait_until(lambda: self._answers(url), f'{url} does not answer')

    def _answers(self, url: str) -> bool:
        try:
            self.control(url)
        except urllib3.exceptions.HTTPError:
            return False
        return True

    def _post(self, url: str, body: dict[str, Any]) -> dict[str, Any]:
        answer = self._http.request('POST', url, json=body)
        if answer.status != _OK:
            raise RuntimeError(f'{url}: {answer.data.decode()}')
        document: dict[str, Any] = answer.json()
        return document
