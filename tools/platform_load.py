"""Callers of a cell on the emulated platform, and what became of their jobs."""

import random
import threading
import time
from dataclasses import dataclass, field
from enum import Enum
from typing import Any, Final

from tools.platform_cell import PlatformCell

_TRY_COUNT: Final = 8
_PAUSE_S: Final = 0.25
_ACCEPTED: Final = frozenset((200, 202))
_REFUSED: Final = frozenset((400, 404, 413, 429, 503))
_SETTLE_S: Final = 40.0
_POLL_S: Final = 0.5
_GONE: Final = 410
_FINAL_STATES: Final = frozenset(('done', 'failed', 'cancelled'))
_ID_DIGITS: Final = 16
_SIZES: Final = ((1000, 500, 0), (2000, 1000, 0), (3000, 2000, 0))


class Fate(Enum):
    """What became of a job, as its caller and the workers saw it."""

    FINISHED = 'finished'
    CANCELLED = 'cancelled'
    REFUSED = 'refused'
    LOST = 'lost'
    # No answer was certain, and nothing of it is known.
    UNKNOWN = 'unknown'


@dataclass(slots=True)
class Job:
    """A job and what its caller knows of it."""

    name: str
    document: dict[str, Any]
    is_acknowledged: bool = False
    # Every try was refused for certain.
    is_refused: bool = False
    is_cancelled: bool = False
    state: str = ''

    @property
    def is_final(self) -> bool:
        """Tell whether nothing more happens to the job."""
        return self.is_refused or self.state in _FINAL_STATES

    @property
    def fate(self) -> Fate:
        """Return what became of the job."""
        if self.state == 'done':
            return Fate.FINISHED
        if self.state == 'cancelled' and self.is_cancelled:
            return Fate.CANCELLED
        if self.is_refused:
            return Fate.REFUSED
        return Fate.LOST if self.is_acknowledged else Fate.UNKNOWN


@dataclass(slots=True)
class Load:
    """Jobs that one thread hands in at random daemons."""

    cell: PlatformCell
    seed: int
    jobs: list[Job] = field(default_factory=list)
    stopping: threading.Event = field(default_factory=threading.Event)

    def run(self, jobs_count: int, gap_s: float, cancel_every: int) -> None:
        """Hand jobs in, one after the other; cancel some of them."""
        draw = random.Random(self.seed)
        for number in range(jobs_count):
            if self.stopping.is_set():
                return
            job = Job(self._name(draw), _document(draw))
            self.jobs.append(job)
            self._submit(job, draw)
            if job.is_acknowledged and number % cancel_every == 1:
                self._cancel(job, draw)
            time.sleep(gap_s)

    def look(self) -> bool:
        """Ask for the states of all jobs; tells whether all are final."""
        draw = random.Random(self.seed)
        for open_job in self.jobs:
            if not open_job.is_final:
                self._look_up(open_job, draw)
        return all(
            known.is_final for known in self.jobs if known.is_acknowledged
        )

    def _look_up(self, job: Job, draw: random.Random) -> None:
        daemon = self._daemon(draw)
        status, document = self.cell.call(daemon, 'GET', job.name)
        if status in _ACCEPTED:
            job.state = str(document['state'])
        elif status == _GONE:
            job.state = 'gone'

    def _submit(self, job: Job, draw: random.Random) -> None:
        job.is_refused = True
        for _ in range(_TRY_COUNT):
            status, _document = self.cell.call(
                self._daemon(draw),
                'POST',
                job.name,
                job.document,
            )
            if status in _ACCEPTED:
                job.is_acknowledged = True
                job.is_refused = False
                return
            if status not in _REFUSED:
                job.is_refused = False
            time.sleep(_PAUSE_S)

    def _cancel(self, job: Job, draw: random.Random) -> None:
        for _ in range(_TRY_COUNT):
            status, _document = self.cell.call(
                self._daemon(draw),
                'DELETE',
                job.name,
            )
            if status in _ACCEPTED:
                job.is_cancelled = True
                return
            time.sleep(_PAUSE_S)

    def _daemon(self, draw: random.Random) -> str:
        return draw.choice(list(self.cell.daemons))

    def _name(self, draw: random.Random) -> str:
        return f'{draw.getrandbits(4 * _ID_DIGITS):0{_ID_DIGITS}x}'


def start_loads(
    cell: PlatformCell,
    seeds: range,
    *options: float,
) -> tuple[list[Load], list[threading.Thread]]:
    """Start a load for each seed; `options` are those of `Load.run`."""
    loads = [Load(cell, seed) for seed in seeds]
    threads = [
        threading.Thread(target=load.run, args=options) for load in loads
    ]
    for thread in threads:
        thread.start()
    return loads, threads


def settle(loads: list[Load]) -> None:
    """Wait until all jobs are final, or for a limited time."""
    ends_at_s = time.monotonic() + _SETTLE_S
    while time.monotonic() < ends_at_s:
        if all([load.look() for load in loads]):
            return
        time.sleep(_POLL_S)


def _document(draw: random.Random) -> dict[str, Any]:
    """Return a job of one or two steps whose tasks tell their size."""
    size = draw.choice(_SIZES)
    duration_ms = draw.choice((100, 400, 1500))
    spec = (
        f'{{"duration_ms": {duration_ms}, "size": {list(size)}, '
        f'"fails": {int(not draw.randrange(10))}}}'
    )
    row: dict[str, Any] = {
        'cpu': size[0],
        'mem_mb': size[1],
        'gpu': size[2],
        'est_runtime_ms': duration_ms,
    }
    phases = [row | {'count': draw.randrange(1, 4)}]
    if draw.randrange(2):
        phases.append(row | {'count': 1, 'after': [0]})
    return {'spec': spec, 'phases': phases}
