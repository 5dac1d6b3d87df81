"""A cell on the emulated platform: processes of emulator and daemons."""

import json
from dataclasses import dataclass
from pathlib import Path
from typing import Any, Final

import urllib3
import yaml

from standins.emulator.cell import QUEUE_HOST, customer_names, key_of
from tools.processes import (
    LaunchedCell,
    Processes,
    free_ports,
    wait_until,
)

_PORTS_PER_DAEMON: Final = 5
_OK: Final = 200
_TIMEOUT: Final = urllib3.Timeout(total=4)
_EMULATOR: Final = 'emulator'
_SETTINGS_VARIABLE: Final = 'FUCHSIARILL_NODE_FILE'


@dataclass(frozen=True, slots=True)
class Daemon:
    """Name of one daemon and its ports on loopback."""

    name: str
    number: int
    store: int
    callers: int
    readiness: int
    peers: int
    metrics: int


class PlatformCell(LaunchedCell):
    """Starts and ends the processes of a cell, and injects faults."""

    def __init__(
        self,
        folder: Path,
        daemons_count: int,
        workers_count: int,
        customers_count: int = 0,
        settings: dict[str, Any] | None = None,
    ) -> None:
        """Allocate ports; entering the context starts all processes.

        `settings` override the settings of each daemon.
        """
        super().__init__(Processes(folder))
        self._folder = folder
        self._changed_settings = settings or {}
        self.customers = customer_names(customers_count)
        self.workers = [f'w{number}' for number in range(workers_count)]
        ports = iter(free_ports(daemons_count * _PORTS_PER_DAEMON))
        self.daemons = {
            f'p{number}': Daemon(
                f'p{number}',
                number,
                *(next(ports) for _ in range(_PORTS_PER_DAEMON)),
            )
            for number in range(daemons_count)
        }
        self._store_ports = [daemon.store for daemon in self.daemons.values()]
        self._http = urllib3.PoolManager(
            retries=False,
            timeout=_TIMEOUT,
            maxsize=daemons_count,
        )

    def start_daemon(self, name: str) -> None:
        """Start or restart one daemon; its ports stay the same."""
        daemon = self.daemons[name]
        path = self._folder / f'{name}.yaml'
        path.write_text(yaml.safe_dump(self._settings(daemon)))
        self.processes.start(
            name,
            'fuchsiarill.platform.daemon',
            environment={_SETTINGS_VARIABLE: str(path)},
        )

    def is_ready(self, name: str) -> bool:
        """Tell whether a daemon answers that it is ready for requests."""
        port = self.daemons[name].readiness
        try:
            answer = self._http.request(
                'GET',
                f'http://127.0.0.1:{port}/readyz',
            )
        except urllib3.exceptions.HTTPError:
            return False
        return answer.status == _OK

    def control(self, **faults: Any) -> dict[str, Any]:
        """Change faults of the emulator and return its state."""
        answer = self._http.request(
            'POST',
            f'http://127.0.0.1:{self._store_ports[0]}/control',
            body=json.dumps(faults),
        )
        state: dict[str, Any] = answer.json()
        return state

    def owner(self) -> str | None:
        """Return the owner of the pool as the store names it."""
        owner = self.control()['owner']
        return None if owner is None else str(owner['process'])

    def call(
        self,
        daemon: str,
        method: str,
        path: str,
        document: dict[str, Any] | None = None,
        customer: str | None = None,
    ) -> tuple[int | None, dict[str, Any]]:
        """Send a caller's request; without a response the status is `None`."""
        port = self.daemons[daemon].callers
        headers = {'Host': QUEUE_HOST, 'X-Deadline-Ms': '3000'}
        if customer is not None:
            headers['Authorization'] = f'Bearer {key_of(customer)}'
        try:
            answer = self._http.request(
                method,
                f'http://127.0.0.1:{port}{path}',
                body=None if document is None else json.dumps(document),
                headers=headers,
            )
        except urllib3.exceptions.HTTPError:
            return None, {}
        return answer.status, answer.json() if answer.data else {}

    def _start(self) -> None:
        self.processes.start(
            _EMULATOR,
            'standins.emulator',
            '--workers',
            len(self.workers),
            '--customers',
            len(self.customers),
            '--ports',
            *self._store_ports,
        )
        for name in self.daemons:
            self.start_daemon(name)
        wait_until(
            lambda: all(map(self.is_ready, self.daemons)),
            f'not all daemons are ready; see {self._folder}',
        )
        wait_until(lambda: self.owner() is not None, 'no daemon owns the pool')

    def _settings(self, daemon: Daemon) -> dict[str, Any]:
        store = f'127.0.0.1:{daemon.store}'
        return {
            'process': daemon.name,
            'failure_domain': f'zone-{daemon.number % 2}',
            'listen': {
                'callers': f'127.0.0.1:{daemon.callers}',
                'readiness': f'127.0.0.1:{daemon.readiness}',
                'peers': f'127.0.0.1:{daemon.peers}',
                'metrics': f'127.0.0.1:{daemon.metrics}',
            },
            'outside': {'store': store, 'advice': store},
            **self._changed_settings,
        }
