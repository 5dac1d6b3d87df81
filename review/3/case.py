"""Workers crash again and again under sound jobs."""

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

import asyncio  # noqa: E402
import random  # noqa: E402

from stand_in.cell import SERVICE, Cell, run_case  # noqa: E402
from stand_in.record import Record  # noqa: E402
from stand_in.worker import Kind  # noqa: E402

# As many workers as `order-desk` of the site file has.
_WORKERS_COUNT = 18
_CPU = 32000
_MEM_MB = 128000
_KIND = Kind(SERVICE, 'pour-hall', ('a', 'r0-1'), _CPU, _MEM_MB)
# `srv_crash` on a share of 0.14, rounded down.
_CRASHED_AT_ONCE_COUNT = 2
_DOWN_S = 0.8
_UP_S = 0.2
_ROUNDS_COUNT = 40
# As `quote-calc`: 6 tasks of 0.7 s on 3 cores each.
_PHASE = {'count': 6, 'cpu': 3000, 'mem_mb': 100, 'est_runtime_ms': 700}
_SPEC = {'ms': 700, 'cpu': 3000}
_JOBS_COUNT = 400
_JOBS_INTERVAL_S = 0.09
_FINISH_S = 14


async def _crash_in_rounds(cell: Cell) -> None:
    for _ in range(_ROUNDS_COUNT):
        crashed = random.sample(cell.workers, _CRASHED_AT_ONCE_COUNT)
        for worker in crashed:
            worker.crash()
        await asyncio.sleep(_DOWN_S)
        for worker in crashed:
            await worker.start(cell.store)
        await asyncio.sleep(_UP_S)


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
        if cell.is_troubled:
            await _crash_in_rounds(cell)
        jobs = await submitting
        record.note('the traffic has ended')
        await asyncio.sleep(_FINISH_S)
        states = {job: await cell.state_of(job) for job in jobs}
    for job, state in states.items():
        if state != 'done':
            _note_state(record, job, state)


def _note_state(record: Record, job: str, state: str) -> None:
    ends = [start.how for start in record.starts_of(job)]
    mark = 'BROKEN LOST: ' if state == 'failed' else ''
    record.note(
        f'{mark}{job} is shown as {state}; {len(ends)} runs,'
        f' {ends.count("failed")} ended `failed`,'
        f' {ends.count("lost")} were lost with their workers'
    )


if __name__ == '__main__':
    sys.exit(run_case(_case, Path(__file__).parent))
