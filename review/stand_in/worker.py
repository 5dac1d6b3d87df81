"""A worker, by the protocol pages: orders, leases, and ends of runs."""

import asyncio
import base64
import json
import random
import time
from dataclasses import dataclass, field
from typing import Any

from stand_in.http import OK, Answer, HttpServer, Request
from stand_in.record import Record, Start
from stand_in.store import Store

_MS_PER_SECOND = 1000
_HOLD_MAX_MS = 6000
_HEARTBEAT_S = 1.5
_STEP_S = 0.005
_WORK_STEP_S = 0.02
_ENDS_MAX_COUNT = 500
_FULL_PERCENT = 100
_CONFLICT = 409
_OTHER_INSTANCE = 421
_UNAVAILABLE = 503
_NOT_FOUND = 404


@dataclass(frozen=True)
class Kind:
    """What a worker reports of itself; amounts as on the wire."""

    service: str
    zone: str
    labels: tuple[str, ...]
    cpu: int
    mem_mb: int
    gpu: int = 0
    slots: int = 8


@dataclass
class _Run:
    start: Start
    work_ms: int | None
    cpu: int
    how: str


@dataclass
class _Life:
    """State of one life of a worker."""

    born_ms: int
    begun_s: float
    seq_no: int = 0
    fence: int = 0
    lease_ms: int = 0
    ends_count: int = 0
    cpu_in_use: int = 0
    runs: dict[tuple[str, int], _Run] = field(default_factory=dict)
    ends: list[tuple[list[Any], Start]] = field(default_factory=list)
    refused: dict[str, int] = field(default_factory=dict)

    def clock_ms(self) -> int:
        """Return the worker's clock."""
        return int((time.monotonic() - self.begun_s) * _MS_PER_SECOND)


class Worker:
    """One worker at a fixed address; `spec` of a task tells its work.

    A `spec` is JSON with `ms`, the work of a task, none if it lasts, `cpu`, and
    `how` it ends, which is `done` by default.
    """

    def __init__(
        self, name: str, address: tuple[str, int], kind: Kind, record: Record
    ) -> None:
        """Create a worker; `start` begins a life."""
        self.name = name
        self.kind = kind
        # Answers each start with 503 and does nothing.
        self.is_unhealthy = False
        self._address = address
        self._record = record
        self._server = HttpServer(*address, self._answer)
        self._store: Store | None = None
        self._life: _Life | None = None
        self._tasks: list[asyncio.Task[None]] = []

    @property
    def cpu_in_use(self) -> int:
        """Return the processors of all runs, in thousandths."""
        return 0 if self._life is None else self._life.cpu_in_use

    async def start(self, store: Store) -> None:
        """Begin a life, and register in the store at once."""
        self._store = store
        self._server.close()
        self._life = _Life(int(time.time() * _MS_PER_SECOND), time.monotonic())
        await self._server.open()
        self._tasks = [
            asyncio.create_task(self._beat()),
            asyncio.create_task(self._work()),
        ]
        self._record.note(f'{self.name} starts: {self.kind}')

    def crash(self, *, is_dark: bool = False) -> None:
        """End the life without a word; all that runs is lost.

        A dark worker has lost power: its connections stay open, new ones hang,
        and nothing answers until it starts again.
        """
        if is_dark:
            self._server.go_dark()
        else:
            self._server.close()
        for task in self._tasks:
            task.cancel()
        if self._life is not None:
            for run in self._life.runs.values():
                run.start.ended_ms = self._record.now_ms()
                run.start.how = 'lost'
        self._life = None
        shown = 'loses power' if is_dark else 'crashes'
        self._record.note(f'{self.name} {shown}')

    async def _beat(self) -> None:
        # The beats of different workers have no common phase.
        pause_s = random.uniform(0, _HEARTBEAT_S)  # noqa: S311
        while self._store is not None and self._life is not None:
            self._life.seq_no += 1
            entry = json.dumps(self._entry(self._life)).encode()
            self._store.put(
                f'servers/{self.name}', base64.b64encode(entry).decode()
            )
            await asyncio.sleep(pause_s)
            pause_s = _HEARTBEAT_S

    def _entry(self, life: _Life) -> dict[str, Any]:
        kind = self.kind
        return {
            'service': kind.service,
            'addr': f'{self._address[0]}:{self._address[1]}',
            'zone': kind.zone,
            'version': 'v1',
            'slots': kind.slots,
            'state': 'ready',
            'cold_left_ms': 0,
            'seq_no': life.seq_no,
            'capacity': {
                'cpu': kind.cpu,
                'mem_mb': kind.mem_mb,
                'gpu': kind.gpu,
            },
            'labels': list(kind.labels),
            'born': life.born_ms,
        }

    async def _work(self) -> None:
        """End the runs whose work is done or whose lease has expired."""
        while self._life is not None:
            self._end_due_runs(self._life)
            await asyncio.sleep(_WORK_STEP_S)

    def _end_due_runs(self, life: _Life) -> None:
        now_ms = self._record.now_ms()
        is_lapsed = life.clock_ms() > life.lease_ms
        if is_lapsed:
            for _, start in life.ends:
                start.is_lapsed = True
        for run in list(life.runs.values()):
            work_ms = run.work_ms
            if work_ms is not None and now_ms - run.start.at_ms >= work_ms:
                self._end(life, run, run.how)
            elif is_lapsed:
                self._end(life, run, 'lapsed')

    def _end(self, life: _Life, run: _Run, how: str) -> None:
        start = run.start
        life.runs.pop((start.task, start.attempt))
        life.cpu_in_use -= run.cpu
        life.ends_count += 1
        self._refuse(life, start.task, start.attempt)
        row = [life.ends_count, start.task, start.attempt, how, '']
        life.ends.append((row, start))
        start.ended_ms = self._record.now_ms()
        start.how = how
        self._record.note(f'{start.name} ends {how}')

    def _refuse(self, life: _Life, task: str, attempt: int) -> None:
        life.refused[task] = max(life.refused.get(task, 0), attempt)

    async def _answer(self, request: Request) -> Answer:
        life = self._life
        if life is None:
            return Answer(_UNAVAILABLE)
        instance = request.headers.get('x-expect-instance', self.name)
        if instance != self.name:
            return Answer(_OTHER_INSTANCE)
        order = request.document
        if order.get('fence_token', 0) < life.fence:
            return self._conflict(life, 'fence')
        if request.path == '/run-start' and self.is_unhealthy:
            self._record.note(f'{self.name} refuses {order["task"]}: unhealthy')
            return Answer(_UNAVAILABLE, {'clock_ms': life.clock_ms()})
        life.fence = order.get('fence_token', 0)
        if request.path == '/hold':
            return await self._hold(life, order)
        return self._execute(life, request.path, order)

    def _execute(self, life: _Life, path: str, order: dict[str, Any]) -> Answer:
        if path == '/run-start':
            return self._start_run(life, order)
        if path == '/run-stop':
            return self._stop_run(life, order)
        return Answer(OK if path == '/pace' else _NOT_FOUND)

    def _conflict(self, life: _Life, reason: str) -> Answer:
        return Answer(
            _CONFLICT, {'clock_ms': life.clock_ms(), 'reason': reason}
        )

    def _extend(self, life: _Life, deadline_ms: int | None) -> None:
        if deadline_ms is not None:
            longest_ms = life.clock_ms() + _HOLD_MAX_MS
            life.lease_ms = max(life.lease_ms, min(deadline_ms, longest_ms))

    def _start_run(self, life: _Life, order: dict[str, Any]) -> Answer:
        task, attempt = order['task'], order['attempt']
        if order['deadline_ms'] < life.clock_ms():
            return self._conflict(life, 'late')
        self._extend(life, order['deadline_ms'])
        if attempt <= life.refused.get(task, 0):
            return self._conflict(life, 'old')
        if (task, attempt) not in life.runs:
            self._begin(life, order)
        return Answer(OK, {'clock_ms': life.clock_ms()})

    def _begin(self, life: _Life, order: dict[str, Any]) -> None:
        start = Start(
            self._record.now_ms(), self.name, order['task'], order['attempt']
        )
        spec = json.loads(order['spec'])
        run = _Run(
            start,
            spec.get('ms'),
            spec.get('cpu', 0),
            spec.get('how', 'done'),
        )
        life.runs[start.task, start.attempt] = run
        life.cpu_in_use += run.cpu
        self._record.starts.append(start)
        self._record.note(
            f'{start.name} starts; {life.cpu_in_use} of {self.kind.cpu} in use,'
            f' labels {",".join(self.kind.labels)}'
        )
        self._check_start(life, start, spec.get('label'))

    def _check_start(
        self, life: _Life, start: Start, label: str | None
    ) -> None:
        kind = self.kind
        if life.cpu_in_use > kind.cpu:
            self._record.note_break(
                'LIMIT',
                f'{start.name} brings it to {life.cpu_in_use} of {kind.cpu}',
            )
        if label is not None and label not in kind.labels:
            self._record.note_break(
                'ROUTE',
                f'{start.name} needs the label {label}, the worker has'
                f' {",".join(kind.labels)}',
            )

    def _stop_run(self, life: _Life, order: dict[str, Any]) -> Answer:
        task, attempt = order['task'], order['attempt']
        self._refuse(life, task, attempt)
        run = life.runs.get((task, attempt))
        if run is not None:
            self._end(life, run, 'stopped')
        return Answer(OK, {'clock_ms': life.clock_ms()})

    async def _hold(self, life: _Life, order: dict[str, Any]) -> Answer:
        self._extend(life, order.get('deadline_ms'))
        self._acknowledge(life, order['acked_seq'])
        deadline_s = time.monotonic() + order.get('wait_ms', 0) / _MS_PER_SECOND
        while not life.ends and time.monotonic() < deadline_s:
            await asyncio.sleep(_STEP_S)
        now_ms = self._record.now_ms()
        return Answer(
            OK,
            {
                'clock_ms': life.clock_ms(),
                'born': life.born_ms,
                'running': [
                    _running_row(run, now_ms) for run in life.runs.values()
                ],
                'finished': [row for row, _ in life.ends[:_ENDS_MAX_COUNT]],
            },
        )

    def _acknowledge(self, life: _Life, acked_seq: int) -> None:
        while life.ends and life.ends[0][0][0] <= acked_seq:
            start = life.ends.pop(0)[1]
            start.acknowledged_ms = self._record.now_ms()


def _running_row(run: _Run, now_ms: int) -> list[Any]:
    percent = _FULL_PERCENT
    if run.work_ms:
        done_ms = now_ms - run.start.at_ms
        percent = min(done_ms * _FULL_PERCENT // run.work_ms, _FULL_PERCENT - 1)
    return [run.start.task, run.start.attempt, '', percent, run.cpu]
