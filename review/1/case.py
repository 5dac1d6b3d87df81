"""The store is down for seconds while many short tasks end on one worker."""

import os
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

import asyncio  # noqa: E402

from stand_in.cell import SERVICE, Cell, run_case  # noqa: E402
from stand_in.record import Record, starts_after_done  # noqa: E402
from stand_in.worker import Kind  # noqa: E402

_CPU = 32000
_MEM_MB = 128000
_SLOTS = 1000
_KIND = Kind(SERVICE, 'pour-hall', ('a', 'r0-1'), _CPU, _MEM_MB, slots=_SLOTS)
_JOBS_COUNT = 20
_WORK_MS = 3500
_TASK = {'count': 40, 'cpu': 40, 'mem_mb': 100, 'est_runtime_ms': _WORK_MS}
_SPEC = {'ms': _WORK_MS, 'cpu': 40}
_TASKS_COUNT = 800
# One job each 50 ms: 800 tasks a second.
_JOBS_INTERVAL_S = 0.05
# `platform_down`, busy, of the site file.
_OUTAGE_S = 4.2
_WAIT_S = 60
_SHOWN_COUNT = 20
# With TROUBLE=0 the case does the same without the disruption.
_IS_TROUBLED = os.environ.get('TROUBLE', '1') != '0'


async def _submit_jobs(cell: Cell) -> list[str]:
    jobs: list[str] = []
    for _ in range(_JOBS_COUNT):
        job = await cell.submit([_TASK], _SPEC)
        if job is not None:
            jobs.append(job)
        await asyncio.sleep(_JOBS_INTERVAL_S)
    return jobs


async def _case(record: Record) -> None:
    async with Cell(record, 3, [_KIND, _KIND]) as cell:
        jobs = await _submit_jobs(cell)

        await cell.wait_for(
            lambda: len(record.starts) >= _TASKS_COUNT, 'all tasks run'
        )
        if _IS_TROUBLED:
            record.note('the store is down: 503 to all calls')
            await cell.store.go_down(_OUTAGE_S)
            record.note('the store is back')
        await cell.wait_until_done(jobs, _WAIT_S)
    _judge(record)


def _judge(record: Record) -> None:
    broken = starts_after_done(record.starts)
    record.note(f'{len(record.starts)} starts of {_TASKS_COUNT} tasks')
    record.note(f'{len(broken)} starts after an acknowledged end `done`')
    for earlier, start in broken[:_SHOWN_COUNT]:
        record.note(
            f'BROKEN TWICE: {earlier.name} ended {earlier.how} at'
            f' {earlier.ended_ms}, acknowledged at {earlier.acknowledged_ms};'
            f' {start.name} began at {start.at_ms}'
        )


if __name__ == '__main__':
    sys.exit(run_case(_case, Path(__file__).parent))
