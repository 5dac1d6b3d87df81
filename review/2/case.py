"""A job that lasts fails whatever it starts; other jobs have to run."""

import os
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

import asyncio  # noqa: E402

from stand_in.cell import SERVICE, Cell, run_case  # noqa: E402
from stand_in.record import Record  # noqa: E402
from stand_in.worker import Kind  # noqa: E402

# As many workers as `design-studio` of the site file has.
_WORKERS_COUNT = 7
_CPU = 32000
_MEM_MB = 128000
_KIND = Kind(SERVICE, 'pour-hall', ('a', 'r0-1'), _CPU, _MEM_MB)
# As `cure-watch`: tasks that last. They fail soon after each start.
_LASTING = {
    'count': 6,
    'cpu': 1000,
    'mem_mb': 100,
    'est_runtime_ms': 400,
    'long_running': True,
}
_POISON_SPEC = {'ms': 200, 'cpu': 1000, 'how': 'failed'}
_SOUND_SPEC = {'cpu': 1000}
# As `batch-cost`, one step of it.
_BATCH = {'count': 11, 'cpu': 6600, 'mem_mb': 100, 'est_runtime_ms': 4500}
_BATCH_SPEC = {'ms': 4500, 'cpu': 6600}
_JOBS_COUNT = 19
_JOBS_INTERVAL_S = 2
_FINISH_S = 14
_CHECKED_MS = 20000
_QUIET_MS = 3000
_CHECK_S = 0.1
# With TROUBLE=0 the case does the same without the disruption.
_IS_TROUBLED = os.environ.get('TROUBLE', '1') != '0'


async def _case(record: Record) -> None:
    kinds = [_KIND for _ in range(_WORKERS_COUNT)]
    async with Cell(record, 3, kinds) as cell:
        spec = _POISON_SPEC if _IS_TROUBLED else _SOUND_SPEC
        await cell.submit([_LASTING], spec)
        jobs: list[str] = []
        for _ in range(_JOBS_COUNT):
            job = await cell.submit([_BATCH], _BATCH_SPEC)
            if job is not None:
                jobs.append(job)
            await asyncio.sleep(_JOBS_INTERVAL_S)
        record.note('the traffic has ended')
        await asyncio.sleep(_FINISH_S)
        await _check(cell, jobs)


async def _check(cell: Cell, jobs: list[str]) -> None:
    """Look for jobs with nothing running for 3 s although there is room."""
    record = cell.record
    active_ms = dict.fromkeys(jobs, record.now_ms())
    broken: set[str] = set()
    end_ms = record.now_ms() + _CHECKED_MS
    while record.now_ms() < end_ms:
        now_ms = record.now_ms()
        active_ms.update((job, now_ms) for job in jobs if _is_active(cell, job))
        broken.update(
            job for job in jobs if now_ms - active_ms[job] > _QUIET_MS
        )
        await asyncio.sleep(_CHECK_S)
    for job in sorted(broken):
        state = await cell.state_of(job)
        record.note(
            f'BROKEN LOST: {job} has nothing running for 3 s, with under half'
            f' of the capacity in use; {len(record.done_tasks(job))} of'
            f' {_BATCH["count"]} tasks are done, shown as {state}'
        )


def _is_active(cell: Cell, job: str) -> bool:
    """Tell whether a job runs, is done, or may wait: half of the room is used.

    A task needs less than a quarter of a worker, so there is room for it twice
    over while less is used.
    """
    in_use = sum(worker.cpu_in_use for worker in cell.workers)
    if 2 * in_use >= _CPU * _WORKERS_COUNT:
        return True
    if cell.record.running_count(job):
        return True
    return len(cell.record.done_tasks(job)) == _BATCH['count']


if __name__ == '__main__':
    sys.exit(run_case(_case, Path(__file__).parent))
