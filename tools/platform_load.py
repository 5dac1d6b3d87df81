"""Callers of a cell on the emulated platform, and outcomes of their jobs."""

import json
import random
import threading
import time
from dataclasses import dataclass, field
from enum import Enum
from itertools import cycle
from typing import Any, Final

from standins.emulator.cell import ADVISED_PREFIX, QUEUE_PREFIX
from tools.platform_cell import PlatformCell

_ATTEMPTS_MAX_COUNT: Final = 8
_RETRY_PAUSE_S: Final = 0.25
_ACCEPTED: Final = frozenset((200, 202))
_REFUSED: Final = frozenset((400, 401, 404, 413, 429, 503))
_SETTLE_TIMEOUT_S: Final = 40.0
_POLL_INTERVAL_S: Final = 0.5
_GONE: Final = 410
_FINAL_STATES: Final = frozenset(('done', 'failed', 'cancelled'))
_UNFINISHED_STATES: Final = frozenset(('queued', 'running', 'failed'))
# A deadly task never ends by itself before it crashes its worker.
_DEADLY_DURATION_MS: Final = 1500
# With `None` the worker crashes before it answers the start.
_CRASH_DELAYS_MS: Final = (None, 50, 500)
# Two runs of a task that overlap after a lease of 6 s are seen.
_LONG_MIN_MS: Final = 10_000
_LONG_MAX_MS: Final = 14_000
_LONG_SIZE: Final = (250, 125, 0)
_GANG_TASKS_COUNT: Final = 3
_ID_DIGITS: Final = 16
_SIZES: Final = ((1000, 500, 0), (2000, 1000, 0), (3000, 2000, 0))


class Outcome(Enum):
    """Outcome of a job, from the answers that its caller got."""

    FINISHED = 'finished'
    CANCELLED = 'cancelled'
    REFUSED = 'refused'
    LOST = 'lost'
    # A job with a deadly task that was shown as failed or did not end.
    UNFINISHED = 'unfinished'
    # No attempt was acknowledged, but not all attempts were refused.
    UNKNOWN = 'unknown'


@dataclass(slots=True)
class Job:
    """A job and the answers that its caller got."""

    name: str
    document: dict[str, Any]
    # Prefix of its queue.
    prefix: str = QUEUE_PREFIX
    # One of its tasks crashes each worker that starts it.
    is_deadly: bool = False
    is_acknowledged: bool = False
    # Every attempt to submit was answered by a refusal.
    is_refused: bool = False
    # The cancellation was acknowledged.
    is_cancelled: bool = False
    # State in the last answer to a query; `gone` after status 410.
    state: str = ''

    @property
    def path(self) -> str:
        """Return the path of the calls for the job."""
        return self.prefix + self.name

    @property
    def is_final(self) -> bool:
        """Tell whether the state of the job can no longer change."""
        return self.is_refused or self.state in _FINAL_STATES

    @property
    def outcome(self) -> Outcome:
        """Classify the job.

        An acknowledged job is lost unless it is done or was cancelled at the
        request of its caller. A job with a deadly task can't be done.
        """
        if self.state == 'done':
            return Outcome.FINISHED
        if self.state == 'cancelled' and self.is_cancelled:
            return Outcome.CANCELLED
        if self.is_refused:
            return Outcome.REFUSED
        if self.is_deadly and self.state in _UNFINISHED_STATES:
            return Outcome.UNFINISHED
        return Outcome.LOST if self.is_acknowledged else Outcome.UNKNOWN


@dataclass(frozen=True, slots=True)
class LoadSettings:
    """How many jobs each caller submits, and how.

    One job in `cancel_every` is cancelled, one in `deadly_every` has a deadly
    task, one in `long_every` runs longer than leases last, one in
    `advised_every` is in the queue with an advice policy, and one in
    `gang_every` begins with a gang; 0 stands for none.
    """

    jobs_count: int
    interval_s: float
    cancel_every: int
    deadly_every: int = 0
    long_every: int = 0
    advised_every: int = 0
    gang_every: int = 0


@dataclass(slots=True)
class CallerLoad:
    """Jobs that one thread submits to daemons chosen at random."""

    cell: PlatformCell
    seed: int
    jobs: list[Job] = field(default_factory=list)
    stopping: threading.Event = field(default_factory=threading.Event)
    # The customer of all jobs, if the cell has customers.
    customer: str | None = None

    def run(self, settings: LoadSettings) -> None:
        """Submit jobs one after the other until all are or it is stopped."""
        random_source = random.Random(self.seed)
        for number in range(settings.jobs_count):
            if self.stopping.is_set():
                return
            job = self._create_job(number, settings, random_source)
            self.jobs.append(job)
            self._submit(job, random_source)
            if job.is_acknowledged and _is_chosen(
                number, settings.cancel_every
            ):
                self._cancel(job, random_source)
            time.sleep(settings.interval_s)

    def poll_states(self) -> bool:
        """Query open jobs; tells whether all acknowledged ones are final.

        Jobs with a deadly task are left out, since they may never end.
        """
        random_source = random.Random(self.seed)
        for open_job in self.jobs:
            if not open_job.is_final:
                self._query(open_job, random_source)
        return all(
            job.is_final
            for job in self.jobs
            if job.is_acknowledged and not job.is_deadly
        )

    def _create_job(
        self,
        number: int,
        settings: LoadSettings,
        random_source: random.Random,
    ) -> Job:
        job = Job(self._name(random_source), _document(random_source))
        if _is_chosen(number, settings.long_every):
            _make_long(job, random_source)
        if _is_chosen(number, settings.deadly_every):
            _make_deadly(job, random_source)
        if _is_chosen(number, settings.advised_every):
            _make_advised(job)
        if _is_chosen(number, settings.gang_every):
            _make_gang(job)
        _name_customer(job, self.customer)
        return job

    def _query(self, job: Job, random_source: random.Random) -> None:
        daemon = self._daemon(random_source)
        status, document = self.cell.call(
            daemon, 'GET', job.path, customer=self.customer
        )
        if status in _ACCEPTED:
            job.state = str(document['state'])
        elif status == _GONE:
            job.state = 'gone'

    def _submit(self, job: Job, random_source: random.Random) -> None:
        job.is_refused = True
        for _ in range(_ATTEMPTS_MAX_COUNT):
            status, _document = self.cell.call(
                self._daemon(random_source),
                'POST',
                job.path,
                job.document,
                self.customer,
            )
            if status in _ACCEPTED:
                job.is_acknowledged = True
                job.is_refused = False
                return
            if status not in _REFUSED:
                job.is_refused = False
            time.sleep(_RETRY_PAUSE_S)

    def _cancel(self, job: Job, random_source: random.Random) -> None:
        for _ in range(_ATTEMPTS_MAX_COUNT):
            status, _document = self.cell.call(
                self._daemon(random_source),
                'DELETE',
                job.path,
                customer=self.customer,
            )
            if status in _ACCEPTED:
                job.is_cancelled = True
                return
            time.sleep(_RETRY_PAUSE_S)

    def _daemon(self, random_source: random.Random) -> str:
        return random_source.choice(list(self.cell.daemons))

    def _name(self, random_source: random.Random) -> str:
        return f'{random_source.getrandbits(4 * _ID_DIGITS):0{_ID_DIGITS}x}'


def start_loads(
    cell: PlatformCell,
    settings_by_seed: dict[int, LoadSettings],
) -> tuple[list[CallerLoad], list[threading.Thread]]:
    """Start a caller in a thread for each seed.

    The callers belong to the customers of the cell in turn.
    """
    loads = [CallerLoad(cell, seed) for seed in settings_by_seed]
    for caller, customer in zip(loads, cycle(cell.customers), strict=False):
        caller.customer = customer
    threads = [
        threading.Thread(target=load.run, args=[settings_by_seed[load.seed]])
        for load in loads
    ]
    for thread in threads:
        thread.start()
    return loads, threads


def wait_for_final_states(loads: list[CallerLoad]) -> None:
    """Poll until acknowledged jobs are final or a time-out has passed."""
    deadline_s = time.monotonic() + _SETTLE_TIMEOUT_S
    while time.monotonic() < deadline_s:
        if all([load.poll_states() for load in loads]):
            return
        time.sleep(_POLL_INTERVAL_S)


def _document(random_source: random.Random) -> dict[str, Any]:
    """Return a job of one or two steps; the spec states the task size."""
    size = random_source.choice(_SIZES)
    duration_ms = random_source.choice((100, 400, 1500))
    spec = (
        f'{{"duration_ms": {duration_ms}, "size": {list(size)}, '
        f'"fails": {int(not random_source.randrange(10))}}}'
    )
    phase: dict[str, Any] = {
        'cpu': size[0],
        'mem_mb': size[1],
        'gpu': size[2],
        'est_runtime_ms': duration_ms,
    }
    phases = [phase | {'count': random_source.randrange(1, 4)}]
    if random_source.randrange(2):
        phases.append(phase | {'count': 1, 'after': [0]})
    return {'spec': spec, 'phases': phases}


def _is_chosen(number: int, every: int) -> bool:
    return bool(every) and number % every == 1


def _make_long(job: Job, random_source: random.Random) -> None:
    """Let the job have one step of a few small, long tasks."""
    duration_ms = random_source.randint(_LONG_MIN_MS, _LONG_MAX_MS)
    job.document['spec'] = json.dumps(
        {'duration_ms': duration_ms, 'size': list(_LONG_SIZE)}
    )
    job.document['phases'] = [
        {
            'cpu': _LONG_SIZE[0],
            'mem_mb': _LONG_SIZE[1],
            'gpu': _LONG_SIZE[2],
            'est_runtime_ms': duration_ms,
            'count': random_source.randint(1, 2),
        }
    ]


def _make_deadly(job: Job, random_source: random.Random) -> None:
    """Make one task of the first step crash each worker that starts it."""
    first_phase = job.document['phases'][0]
    behaviour = json.loads(job.document['spec']) | {
        'duration_ms': _DEADLY_DURATION_MS,
        'deadly_task': [0, random_source.randrange(first_phase['count'])],
    }
    after_ms = random_source.choice(_CRASH_DELAYS_MS)
    if after_ms is not None:
        behaviour['crash_after_ms'] = after_ms
    job.document['spec'] = json.dumps(behaviour)
    job.is_deadly = True


def _make_gang(job: Job) -> None:
    """Let the tasks of the first step start together."""
    job.document['phases'][0] |= {'count': _GANG_TASKS_COUNT, 'gang': True}


def _make_advised(job: Job) -> None:
    """Let workers start the tasks of a job only with tickets."""
    behaviour = json.loads(job.document['spec']) | {'needs_ticket': True}
    job.document['spec'] = json.dumps(behaviour)
    job.prefix = ADVISED_PREFIX


def _name_customer(job: Job, customer: str | None) -> None:
    """Let workers know whose ceiling the tasks of a job count for."""
    if customer is None:
        return
    behaviour = json.loads(job.document['spec']) | {'customer': customer}
    job.document['spec'] = json.dumps(behaviour)
