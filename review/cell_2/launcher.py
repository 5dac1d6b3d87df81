"""Starts the daemons as the deploy file does, on the recorded platform."""

import json
import os
import subprocess
import sys
import time
from collections.abc import Callable
from pathlib import Path
from types import TracebackType
from typing import Any, Final, Self

import urllib3
import yaml

from standins.emulator.cell import QUEUE_HOST
from tools.processes import free_ports

ROOT: Final = Path(__file__).resolve().parents[2]
LOOPBACK: Final = '127.0.0.1'
_PORT_NAMES: Final = ('store', 'callers', 'readiness', 'peers', 'metrics')
_DAEMON: Final = ('python3', '-m', 'fuchsiarill.platform.daemon')
_PLATFORM: Final = 'review.cell_2.platform'
_STOP_TIMEOUT_S: Final = 10
_START_TIMEOUT_S: Final = 40
# `grace_s` of the small sites.
_GRACE_S: Final = 6
_POLL_INTERVAL_S: Final = 0.05
_OK: Final = 200
_MS: Final = 1000
# The figures of the small sites, as the template of the settings has them.
_SITE: Final = {
    'task_lease': {'allowed_ms': 6000, 'wake_ms': 300},
    'config_apply_ms': 2000,
    'machine': {
        'processor_share': 0.537,
        'processor_speed': 2,
        'link_mbps': 1000,
    },
}


class CannotRun(Exception):
    """The case could not be played."""


def run_case(play: Callable[[], int]) -> int:
    """Return the exit status of a case, which is 2 if it could not be played.

    Python would end with 1 after an error, which stands for a broken rule.
    """
    try:
        return play()
    except Exception as problem:
        sys.stderr.write(f'{type(problem).__name__}: {problem}\n')
        return 2


class Cell:
    """Processes of one case; leaving the context ends them all."""

    def __init__(
        self, folder: Path, record: Path, daemons_count: int, workers_count: int
    ) -> None:
        """Allocate ports; settings and logs go to `folder`."""
        self._folder = folder
        self._record = record
        self._workers_count = workers_count
        ports = iter(free_ports(daemons_count * len(_PORT_NAMES)))
        self.daemons = {
            f'p{number}': {name: next(ports) for name in _PORT_NAMES}
            for number in range(daemons_count)
        }
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        # When each daemon that has not ended since got SIGTERM.
        self._stopping: dict[str, float] = {}
        self._http = urllib3.PoolManager(
            retries=False, timeout=urllib3.Timeout(total=4)
        )

    def __enter__(self) -> Self:
        """Start all processes; the caller waits for `until_ready`."""
        self._record.write_text('')
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """End all processes by their ids."""
        for process in self.processes.values():
            process.terminate()
        for process in self.processes.values():
            try:
                process.wait(_STOP_TIMEOUT_S)
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()

    def start(self, *platform_options: str) -> None:
        """Start the platform and the daemons and wait until all are ready."""
        ports = [str(daemon['store']) for daemon in self.daemons.values()]
        self._launch(
            'platform',
            [sys.executable, '-m', _PLATFORM],
            ['--record', str(self._record)],
            ['--workers', str(self._workers_count), *platform_options],
            ['--ports', *ports],
        )
        for name in self.daemons:
            self.start_daemon(name)
        self.wait(
            lambda: all(map(self._is_ready, self.daemons)),
            'the daemons are not ready',
        )
        self.wait(lambda: self.owner() is not None, 'no daemon owns the pool')

    def start_daemon(self, name: str) -> None:
        """Start or restart a daemon with its settings."""
        path = self._folder / f'{name}.yaml'
        path.write_text(yaml.safe_dump(self._settings(name)))
        self._launch(name, list(_DAEMON), settings=str(path))

    def kill(self, name: str) -> None:
        """Send SIGKILL to a daemon and wait for its end."""
        process = self.processes.pop(name)
        process.kill()
        process.wait()

    def terminate(self, name: str) -> None:
        """Send SIGTERM to a daemon; `restart_ended` starts it again."""
        self.processes[name].terminate()
        self._stopping[name] = time.monotonic()

    def restart_ended(self) -> None:
        """Start the daemons that have ended after their SIGTERM.

        One that still runs after the grace period is killed.
        """
        for name, since_s in list(self._stopping.items()):
            if time.monotonic() - since_s > _GRACE_S:
                self.processes[name].kill()
                self.processes[name].wait()
            if self.processes[name].poll() is not None:
                self._stopping.pop(name)
                self.note(f'{name} has ended and is started again')
                self.start_daemon(name)

    def wait(
        self,
        condition: Callable[[], bool],
        problem: str,
        timeout_s: float = _START_TIMEOUT_S,
    ) -> None:
        """Wait for a condition; raises `CannotRun` after the time-out."""
        deadline_s = time.monotonic() + timeout_s
        while not condition():
            if time.monotonic() > deadline_s:
                raise CannotRun(problem)
            time.sleep(_POLL_INTERVAL_S)

    def control(self, **faults: Any) -> dict[str, Any]:
        """Set faults of the platform and return its observations."""
        port = next(iter(self.daemons.values()))['store']
        answer = self._http.request(
            'POST',
            f'http://{LOOPBACK}:{port}/control',
            body=json.dumps(faults),
        )
        observed: dict[str, Any] = answer.json()
        return observed

    def owner(self) -> str | None:
        """Return the daemon that owns the pool as the store names it."""
        try:
            owner = self.control()['owner']
        except urllib3.exceptions.HTTPError:
            return None
        return None if owner is None else str(owner['process'])

    def call(
        self,
        daemon: str,
        method: str,
        path: str,
        document: dict[str, Any] | None = None,
    ) -> tuple[int | None, dict[str, Any]]:
        """Send a client's request and note it and its answer."""
        port = self.daemons[daemon]['callers']
        try:
            answer = self._http.request(
                method,
                f'http://{LOOPBACK}:{port}{path}',
                body=None if document is None else json.dumps(document),
                headers={
                    'Host': QUEUE_HOST,
                    'Content-Type': 'application/json',
                    'X-Deadline-Ms': '3000',
                },
            )
        except urllib3.exceptions.HTTPError:
            return None, {}
        return answer.status, answer.json() if answer.data else {}

    def note(self, text: str) -> None:
        """Append a line with the time of day to the record."""
        now = round(time.time() * _MS)
        with self._record.open('a') as lines:
            lines.write(f'{now} {text}\n')

    def lines(self) -> list[str]:
        """Return the lines of the record without their times."""
        lines = self._record.read_text().splitlines()
        return [line.partition(' ')[2] for line in lines]

    def _is_ready(self, name: str) -> bool:
        port = self.daemons[name]['readiness']
        try:
            answer = self._http.request(
                'GET', f'http://{LOOPBACK}:{port}/readyz'
            )
        except urllib3.exceptions.HTTPError:
            return False
        return answer.status == _OK

    def _launch(
        self, name: str, *command: list[str], settings: str = ''
    ) -> None:
        environment = dict(os.environ)
        if settings:
            environment['FUCHSIARILL_NODE_FILE'] = settings
        with (self._folder / f'{name}.log').open('ab') as output:
            self.processes[name] = subprocess.Popen(
                [word for words in command for word in words],
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=output,
            )

    def _settings(self, name: str) -> dict[str, Any]:
        ports = self.daemons[name]
        addresses = {
            label: f'{LOOPBACK}:{port}' for label, port in ports.items()
        }
        store = addresses.pop('store')
        return {
            'process': name,
            'failure_domain': f'zone-{int(name[1:]) % 2}',
            'listen': addresses,
            'outside': {'store': store, 'advice': store},
            **_SITE,
        }
