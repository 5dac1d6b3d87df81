"""What the tests with real processes share.

Waiting is by polling a condition, with a deadline far above what is usual,
so that a slow machine does not change the verdict.
"""

import json
from typing import Any

from fuchsiarill.ids import ProcessId, WorkerId
from standins.worker_log import LogKind, LogLine
from tools.caller import Caller, JobNote
from tools.cell import Cell
from tools.processes import wait_until
from tools.tally import Run, Tally, runs_of, tally

_SIZE = {'processors_milli': 1000, 'memory_mb': 500}


def job(key: str, run_time_ms: int = 300, **changes: Any) -> dict[str, Any]:
    """Return the body of a small batch job."""
    body = {
        'idempotency_key': key,
        'task_size': _SIZE,
        'run_time_ms': run_time_ms,
        'payload': json.dumps({'declared': _SIZE}),
    }
    return body | changes


def service(key: str) -> dict[str, Any]:
    """Return the body of a service with one replica."""
    return job(key, 0, workload='service')


class Harness:
    """A cell with callers, and the questions that tests ask of it."""

    def __init__(self, cell: Cell) -> None:
        """Start with no caller."""
        self.cell = cell
        self._callers: list[Caller] = []

    def owner(self) -> ProcessId:
        """Return the owner of the partition; there must be one."""
        wait_until(lambda: self.cell.owner() is not None, 'no owner')
        found = self.cell.owner()
        assert found is not None
        return found

    def others(self, process: ProcessId) -> list[ProcessId]:
        """Return all entry processes but one."""
        return [name for name in self.cell.entry_urls if name != process]

    def wait_other_owner(self, process: ProcessId) -> ProcessId:
        """Wait until a process other than this one owns the partition."""
        wait_until(
            lambda: self.cell.owner() not in {None, process},
            f'nobody took over from {process}',
        )
        return self.owner()

    def caller(self, *processes: ProcessId) -> Caller:
        """Return a caller that turns to these processes in turn."""
        urls = [self.cell.entry_urls[name] for name in processes]
        made = Caller(
            self.cell.deployment.tokens['desk'],
            urls or list(self.cell.entry_urls.values()),
            give_up_after_s=60,
        )
        self._callers.append(made)
        return made

    def tally(self) -> Tally:
        """Count what became of the jobs of all callers."""
        notes = [note for caller in self._callers for note in caller.notes]
        return tally(notes, self.cell.worker_logs())

    def wait_settled(self) -> None:
        """Wait until all jobs came to their end, then check all promises."""
        wait_until(lambda: self.tally().is_settled, 'jobs are still open')
        self.check()

    def check(self) -> None:
        """Check that nothing was lost, doubled or overcommitted."""
        counted = self.tally()
        assert counted.is_good, counted

    def runs(self, note: JobNote) -> list[Run]:
        """Return the runs of the first task of a job."""
        all_runs = runs_of(self.cell.worker_logs())
        return [
            run
            for task, of_task in all_runs.items()
            if task == f'{note.job_id}/0'
            for run in of_task
        ]

    def wait_running(self, note: JobNote) -> Run:
        """Wait until the first task of a job runs."""
        wait_until(
            lambda: any(not run.outcome for run in self.runs(note)),
            f'{note.job_id} does not run',
        )
        return self.runs(note)[-1]

    def refusals(self) -> list[LogLine]:
        """Return all starts that workers refused."""
        return [
            line
            for lines in self.cell.worker_logs().values()
            for line in lines
            if line.kind is LogKind.REFUSED
        ]

    def control_workers(self, **settings: Any) -> dict[WorkerId, Any]:
        """Set faults of all workers; returns their states."""
        return {
            worker: self.cell.control(self.cell.worker_url(worker), **settings)
            for worker in self.cell.entries
        }
