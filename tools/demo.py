"""Runs a small cell, kills the owner under load and counts job outcomes.

The exit status is 0 only when no job was lost, no task doubled, no worker
overcommitted, no refused job ran and no cancelled job still runs.
"""

import argparse
import asyncio
import sys
import tempfile
from dataclasses import dataclass
from functools import partial
from pathlib import Path
from typing import Any, Final

from fuchsiarill.clock import MS_PER_SECOND, sleep_ms
from fuchsiarill.ports.thread_pool import BoundedThreadPool
from tools.caller import Caller, SubmittedJob, clock_ms
from tools.cell import Cell
from tools.demo_load import DemoCustomer, make_jobs
from tools.demo_table import (
    fault_rows,
    job_rows,
    last_line,
    takeover_row,
    wait_row,
)
from tools.deployment import EXAMPLES, load_deployment
from tools.processes import end_on_signals
from tools.tally import Tally, count_outcomes, group_runs_by_task

_RUN_MAX_MS: Final = 45_000
_BATCH_COUNT: Final = 8
_BATCH_PAUSE_MS: Final = 400
_KILL_AFTER_MS: Final = 3_000
_POLL_INTERVAL_MS: Final = 500
_CANCEL_EVERY: Final = 11
_CALLERS_PER_CUSTOMER: Final = 2
_THREADS_COUNT: Final = 8
_FAILED_STATUS: Final = 1


@dataclass(frozen=True, slots=True)
class _LoadShare:
    caller: Caller
    jobs: list[dict[str, Any]]


class Demo:
    """One run of the load against a cell that is ready."""

    def __init__(self, cell: Cell) -> None:
        """Create the callers of each customer and divide its jobs."""
        self._cell = cell
        self._thread_pool = BoundedThreadPool(
            'demo', _THREADS_COUNT, _THREADS_COUNT
        )
        self._started_at_ms = clock_ms()
        self._killed_at_ms = 0
        self._store_before = cell.control(cell.store_url)
        self._load_shares: list[_LoadShare] = []
        urls = list(cell.entry_urls.values())
        for number, customer in enumerate(cell.deployment.customers):
            jobs = make_jobs(DemoCustomer(customer, number, seed=number))
            for part in range(_CALLERS_PER_CUSTOMER):
                first = (number + 2 * part) % len(urls)
                caller = Caller(
                    cell.deployment.tokens[customer],
                    urls[first:] + urls[:first],
                )
                own_jobs = jobs[part::_CALLERS_PER_CUSTOMER]
                self._load_shares.append(_LoadShare(caller, own_jobs))

    @property
    def submitted_jobs(self) -> list[SubmittedJob]:
        """Return the jobs that all callers submitted."""
        return [
            job
            for share in self._load_shares
            for job in share.caller.submitted_jobs
        ]

    async def run(self) -> Tally:
        """Submit the jobs, kill the owner, wait until settled, and report."""
        try:
            async with asyncio.timeout(_RUN_MAX_MS / MS_PER_SECOND):
                await asyncio.gather(
                    self._kill_owner(),
                    *map(self._submit_jobs, self._load_shares),
                )
        except TimeoutError:
            _print_line(
                'callers still wait for answers after the maximum run time'
            )
        counted = await self._wait_settled()
        self._print(counted)
        return counted

    async def _submit_jobs(self, share: _LoadShare) -> None:
        sent_count = 0
        for first in range(0, len(share.jobs), _BATCH_COUNT):
            batch = share.jobs[first : first + _BATCH_COUNT]
            for job in await self._call(partial(share.caller.submit, batch)):
                sent_count += 1
                if job.is_accepted and sent_count % _CANCEL_EVERY == 0:
                    await self._call(partial(share.caller.cancel, job))
            await sleep_ms(_BATCH_PAUSE_MS)

    async def _kill_owner(self) -> None:
        await sleep_ms(_KILL_AFTER_MS)
        owner = self._cell.owner()
        if owner is None:
            raise RuntimeError('no process owns the partition')
        self._cell.processes.kill(owner)
        self._killed_at_ms = clock_ms()
        _print_line(f'killed {owner}, the owner of the partition')

    async def _wait_settled(self) -> Tally:
        while True:
            counted = count_outcomes(
                self.submitted_jobs, self._cell.worker_logs()
            )
            spent_ms = clock_ms() - self._started_at_ms
            if counted.is_settled or spent_ms > _RUN_MAX_MS:
                return counted
            await sleep_ms(_POLL_INTERVAL_MS)

    async def _call(self, request: Any) -> Any:
        future = self._thread_pool.run(request)
        if future is None:
            raise RuntimeError(
                'no idle thread: there are more callers than threads'
            )
        return await asyncio.wrap_future(future)

    def _print(self, counted: Tally) -> None:
        runs = group_runs_by_task(self._cell.worker_logs())
        for row in job_rows(self.submitted_jobs, counted):
            _print_line(row)
        _print_line(wait_row('urgent', self.submitted_jobs, runs))
        _print_line(wait_row('normal', self.submitted_jobs, runs))
        _print_line(takeover_row(runs, self._killed_at_ms))
        _print_line(self._store_row())
        for fault in fault_rows(counted):
            _print_line(fault)

    def _store_row(self) -> str:
        after = self._cell.control(self._cell.store_url)
        spent_s = (clock_ms() - self._started_at_ms) / MS_PER_SECOND
        rates = []
        for kind in ('reads', 'writes'):
            count = after[f'{kind}_count'] - self._store_before[f'{kind}_count']
            rates.append(f'{count / spent_s:.0f} {kind}/s')
        return f'store: {", ".join(rates)}'


def _print_line(line: str) -> None:
    print(line, flush=True)


def main() -> int:
    """Run the demo on the cell of one deployment; returns the exit status."""
    parser = argparse.ArgumentParser(prog='tools.demo')
    parser.add_argument('--deployment', default='frostwick')
    options = parser.parse_args()
    end_on_signals()
    deployment = load_deployment(EXAMPLES / f'{options.deployment}-hosts.yaml')
    configuration = (EXAMPLES / deployment.configuration).read_text()
    with tempfile.TemporaryDirectory(prefix='fuchsiarill-demo-') as folder:
        with Cell(deployment, configuration, Path(folder)) as cell:
            _print_line(
                f'{options.deployment}: {len(cell.entries)} workers, '
                f'{len(cell.entry_urls)} entry processes are ready',
            )
            counted = asyncio.run(Demo(cell).run())
    _print_line(last_line(counted))
    return 0 if counted.is_good else _FAILED_STATUS


if __name__ == '__main__':
    sys.exit(main())
