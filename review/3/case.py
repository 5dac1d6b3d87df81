"""A worker loses power; one that runs what it was to run crashes next."""

import os
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

import asyncio  # noqa: E402
from collections import Counter  # noqa: E402

from stand_in.cell import SERVICE, Cell, run_case  # noqa: E402
from stand_in.record import Record  # noqa: E402
from stand_in.worker import Kind, Worker  # noqa: E402

# One of 22 at a time; a dark `srv_crash` has a share of 0.046 in the site file.
_WORKERS_COUNT = 22
_CPU = 32000
_MEM_MB = 128000
_KIND = Kind(SERVICE, 'pour-hall', ('a', 'r0-1'), _CPU, _MEM_MB)
# The dark `srv_crash` of the site file lasts 3.7 s.
_DOWN_S = 1.5
_CALM_S = 2
_ROUNDS_COUNT = 7
# A first run of a task that was ordered once before, and has just begun.
_YOUNG_MS = (60, 250)
_LOOK_MS = 3000
_LOOK_S = 0.01
_RECENT_COUNT = 300
# As `quote-calc`, 6 tasks of 0.7 s, but of fewer cores.
_PHASE = {'count': 6, 'cpu': 300, 'mem_mb': 100, 'est_runtime_ms': 700}
_SPEC = {'ms': 700, 'cpu': 300}
_JOBS_COUNT = 600
_JOBS_INTERVAL_S = 0.07
_FINISH_S = 14
# With TROUBLE=0 the case does the same without the disruption.
_IS_TROUBLED = os.environ.get('TROUBLE', '1') != '0'


async def _crash_in_rounds(cell: Cell) -> None:
    for _ in range(_ROUNDS_COUNT):
        await asyncio.sleep(_CALM_S)
        busiest = max(cell.workers, key=lambda worker: worker.cpu_in_use)
        await _crash(cell, busiest, is_dark=True)
        second = await _find_second(cell)
        if second is not None:
            await _crash(cell, second, is_dark=False)


async def _crash(cell: Cell, worker: Worker, *, is_dark: bool) -> None:
    worker.crash(is_dark=is_dark)
    await asyncio.sleep(_DOWN_S)
    await worker.start(cell.store)


async def _find_second(cell: Cell) -> Worker | None:
    """Return a worker on which a task begins whose first order was lost."""
    end_ms = cell.record.now_ms() + _LOOK_MS
    while cell.record.now_ms() < end_ms:
        names = _lost_order_workers(cell.record)
        if names:
            return next(row for row in cell.workers if row.name in names)
        await asyncio.sleep(_LOOK_S)
    return None


def _lost_order_workers(record: Record) -> list[str]:
    now_ms = record.now_ms()
    begun = Counter(start.task for start in record.starts)
    shortest_ms, longest_ms = _YOUNG_MS
    return [
        start.worker
        for start in record.starts[-_RECENT_COUNT:]
        if start.attempt > 1
        and begun[start.task] == 1
        and start.ended_ms is None
        and shortest_ms <= now_ms - start.at_ms <= longest_ms
    ]


async def _submit_jobs(cell: Cell) -> list[str]:
    jobs: list[str] = []
    for _ in range(_JOBS_COUNT):
        job = await cell.submit([_PHASE], _SPEC)
        if job is not None:
            jobs.append(job)
        await asyncio.sleep(_JOBS_INTERVAL_S)
    return jobs


async def _case(record: Record) -> None:
    kinds = [_KIND for _ in range(_WORKERS_COUNT)]
    async with Cell(record, 3, kinds) as cell:
        submitting = asyncio.create_task(_submit_jobs(cell))
        if _IS_TROUBLED:
            await _crash_in_rounds(cell)
        jobs = await submitting
        record.note('the traffic has ended')
        await asyncio.sleep(_FINISH_S)
        states = {job: await cell.state_of(job) for job in jobs}
    for job, state in states.items():
        if state != 'done':
            _note_state(record, job, state)


def _note_state(record: Record, job: str, state: str) -> None:
    """Note a job that is not done, and whether the pages allow it.

    A task may be given up if two workers have crashed under it.
    """
    starts = record.starts_of(job)
    lost = Counter(start.task for start in starts if start.how == 'lost')
    crashes_count = max(lost.values(), default=0)
    failed_count = sum(start.how == 'failed' for start in starts)
    is_allowed = state != 'failed' or crashes_count > 1
    mark = '' if is_allowed else 'BROKEN LOST: '
    record.note(
        f'{mark}{job} is shown as {state}; {len(starts)} runs,'
        f' {failed_count} ended `failed`; at most {crashes_count} workers'
        ' have crashed under one of its tasks'
    )


if __name__ == '__main__':
    sys.exit(run_case(_case, Path(__file__).parent))
