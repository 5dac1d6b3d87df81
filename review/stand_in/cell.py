"""A small deployment on loopback: store, workers, machines and clients."""

import asyncio
import base64
import json
import os
import random
import secrets
import shutil
import signal
import socket
import tempfile
import time
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

from stand_in.http import OK, Answer, call
from stand_in.machines import Machine
from stand_in.record import Record
from stand_in.store import Store
from stand_in.worker import Kind, Worker

HELD = 0
BROKEN = 1
NOT_RUN = 2
SERVICE = 'order-desk'
HOST = 'desk.example'
PREFIX = '/orders/'
_ZONES = ('pour-hall', 'cure-room', 'pack-shed')
_FRONTEND_PORT = 8149
_READY_PORT = 8141
_STORE_PORT = 8142
_PEER_PORTS = (7380, 7395)
_METRICS_PORT = 9464
_WORKER_PORT = 8150
_FIRST_HOST = 10
_SUBNETS_MAX = 250
_START_TIMEOUT_S = 20
_POLL_S = 0.05
_DEADLINE_MS = 3000
_RETRY_S = 0.3
_JOB_ID_BYTES = 8
_WORKER_ID_BYTES = 4
_ACCEPTED = frozenset((OK, 201, 202))
_NEVER_RUNS = frozenset((429, 503))
_TRIES_MAX_COUNT = 5
_CASE_MAX_S = 110


class Cell:
    """The processes and stand-ins of one case; a context manager."""

    def __init__(
        self, record: Record, machines_count: int, kinds: list[Kind]
    ) -> None:
        """Allocate addresses; entering the context starts everything."""
        self.record = record
        self._net = _free_network()
        self._folder = Path(tempfile.mkdtemp(prefix='review-'))
        self.store = Store(f'{self._net}.2', _STORE_PORT)
        self.workers = [
            Worker(
                f'{number:04x}{secrets.token_hex(_WORKER_ID_BYTES)}',
                (f'{self._net}.{_FIRST_HOST + number}', _WORKER_PORT),
                kind,
                self.record,
            )
            for number, kind in enumerate(kinds)
        ]
        first = _FIRST_HOST + len(kinds)
        self.machines = [
            self._machine(number, f'{self._net}.{first + number}')
            for number in range(machines_count)
        ]
        self._next_client = 0

    async def __aenter__(self) -> 'Cell':
        """Start store, workers and machines; wait until all are ready."""
        try:
            await self._start()
        except BaseException:
            await self._end()
            raise
        return self

    async def __aexit__(self, *_: object) -> None:
        """End all processes."""
        await self._end()

    def put_config(self) -> None:
        """Write the operator's configuration with one queue."""
        config = {
            'version': 3,
            'services': [{'name': SERVICE, 'rejects_overload': False}],
            'routes': [
                {
                    'name': 'orders',
                    'host': HOST,
                    'prefix': PREFIX,
                    'service': SERVICE,
                    'timeout_ms': _DEADLINE_MS,
                    'priority': 1,
                    'max_attempts': 4,
                    'slack_factor': 2.0,
                    'target_runtime_ms': 3000,
                },
            ],
            'limits': {'max_header_bytes': 16384, 'max_body_bytes': 262144},
        }
        content = base64.b64encode(json.dumps(config).encode()).decode()
        self.store.put('op/config', content)

    async def wait_for(
        self,
        condition: Callable[[], bool],
        meaning: str,
        timeout_s: float = _START_TIMEOUT_S,
    ) -> None:
        """Wait until a condition holds; raises `TimeoutError`."""
        deadline_s = time.monotonic() + timeout_s
        while not condition():
            if time.monotonic() > deadline_s:
                raise TimeoutError(f'not in time: {meaning}')
            await asyncio.sleep(_POLL_S)

    async def wait_until_done(self, jobs: list[str], timeout_s: float) -> None:
        """Wait until all jobs are shown as done; raises `TimeoutError`."""
        deadline_s = time.monotonic() + timeout_s
        for job in jobs:
            while await self.state_of(job) != 'done':
                if time.monotonic() > deadline_s:
                    raise TimeoutError(f'job {job} is not done in time')
                await asyncio.sleep(_RETRY_S)

    def owner(self) -> Machine | None:
        """Return the machine that wrote the owner key of the service."""
        content = self.store.value(f'control/owner/{SERVICE}')
        if content is None:
            return None
        owner = json.loads(base64.b64decode(content))['process']
        for machine in self.machines:
            if machine.name == owner:
                return machine
        return None

    async def request(
        self,
        method: str,
        name: str,
        document: dict[str, Any] | None = None,
        machine: Machine | None = None,
    ) -> Answer | None:
        """Send one request of a client, by turns to each machine."""
        if machine is None:
            self._next_client += 1
            machine = self.machines[self._next_client % len(self.machines)]
        answer = await call(
            (machine.ip, _FRONTEND_PORT),
            method,
            f'{PREFIX}{name}',
            document,
            {'Host': HOST, 'X-Deadline-Ms': str(_DEADLINE_MS)},
        )
        shown = 'no answer'
        if answer is not None:
            shown = f'{answer.status} {json.dumps(answer.document)}'
        self.record.note(f'client {method} {name} at {machine.name}: {shown}')
        return answer

    async def submit(
        self, phases: list[dict[str, Any]], spec: dict[str, Any]
    ) -> str | None:
        """Hand a job in, as often as the page tells; `None` if rejected."""
        job = secrets.token_hex(_JOB_ID_BYTES)
        document = {'spec': json.dumps(spec), 'phases': phases}
        self.record.note(f'client submits {job}: {json.dumps(document)}')
        for _ in range(_TRIES_MAX_COUNT):
            answer = await self.request('POST', job, document)
            if answer is not None and answer.status in _ACCEPTED:
                return job
            if answer is not None and answer.status in _NEVER_RUNS:
                return None
            await asyncio.sleep(_RETRY_S)
        return None

    async def state_of(self, job: str) -> str:
        """Return the state that a job is shown in, the status otherwise."""
        answer = await self.request('GET', job)
        if answer is None:
            return 'no answer'
        return str(answer.document.get('state', answer.status))

    async def _start(self) -> None:
        await self.store.open()
        self.put_config()
        for worker in self.workers:
            await worker.start(self.store)
        for machine in self.machines:
            await machine.start()
        for machine in self.machines:
            await self._wait_until_ready(machine)
        await self.wait_for(
            lambda: self.owner() is not None, 'the service has an owner'
        )

    async def _end(self) -> None:
        for machine in self.machines:
            await machine.end()
        for worker in self.workers:
            worker.crash()
        self.store.close()
        await asyncio.sleep(_POLL_S)
        if os.environ.get('KEEP') != '1':
            shutil.rmtree(self._folder, ignore_errors=True)

    def _machine(self, number: int, ip: str) -> Machine:
        zone = _ZONES[number % len(_ZONES)]
        name = f'frontend-{zone}-{1 + number // len(_ZONES)}'
        fields = {
            'node_name': name,
            'ip': ip,
            'zone': zone,
            'internal_ports': _PEER_PORTS,
            'listen': {
                'frontend': f'{ip}:{_FRONTEND_PORT}',
                'ready': f'{ip}:{_READY_PORT}',
            },
            'platform': {'addr': f'{self._net}.2:{_STORE_PORT}'},
            'advice': f'{self._net}.3:{_STORE_PORT}',
            'bounds': {
                'hold_max_ms': 6000,
                'thaw_ms': 300,
                'config_apply_ms': 2000,
            },
            'limits': {'cpu_share': 1.0, 'cores': 2, 'link_mbps': 1000.0},
        }
        return Machine(name, fields, self._folder)

    async def _wait_until_ready(self, machine: Machine) -> None:
        deadline_s = time.monotonic() + _START_TIMEOUT_S
        while not await _is_ready(machine):
            if time.monotonic() > deadline_s:
                raise TimeoutError(f'{machine.name} is not ready')
            await asyncio.sleep(_POLL_S)


async def _is_ready(machine: Machine) -> bool:
    answer = await call((machine.ip, _READY_PORT), 'GET', '/readyz')
    return answer is not None and answer.status == OK


def run_case(case: Callable[[Record], Awaitable[None]], folder: Path) -> int:
    """Run a case; returns the exit status and writes `record.txt`.

    A case adds a line with `BROKEN` for each broken rule.
    """
    record = Record()
    # SIGTERM ends the case as Ctrl-C does: with all processes that it started.
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    try:
        asyncio.run(_run_bounded(case, record))
    except Exception as error:
        record.note(f'could not run: {error!r}')
        return NOT_RUN
    finally:
        record.write(folder / 'record.txt')
    if any('BROKEN' in line for line in record.lines):
        return BROKEN
    return HELD


async def _run_bounded(
    case: Callable[[Record], Awaitable[None]], record: Record
) -> None:
    async with asyncio.timeout(_CASE_MAX_S):
        await case(record)


def _free_network() -> str:
    """Return three octets of a loopback network whose ports are free."""
    while True:
        first, second = (
            random.randrange(1, _SUBNETS_MAX)
            for _ in range(2)  # noqa: S311
        )
        network = f'127.{first}.{second}'
        if all(
            _is_free(f'{network}.{_FIRST_HOST}', port)
            for port in (_FRONTEND_PORT, _READY_PORT, _METRICS_PORT)
        ):
            return network


def _is_free(host: str, port: int) -> bool:
    with socket.socket() as probe:
        try:
            probe.bind((host, port))
        except OSError:
            return False
    return True
