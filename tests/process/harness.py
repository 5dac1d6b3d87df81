"""Harness of the tests with real processes.

The harness waits by polling conditions. The time limits are far above the
usual wait, so that no test fails because the machine is slow.
"""

import json
from typing import Any

from fuchsiarill.ids import ProcessId, WorkerId
from standins.worker_log import LogKind, LogLine
from tools.caller import Caller, SubmittedJob
from tools.cell import Cell
from tools.processes import wait_until
from tools.tally import Run, Tally, count_outcomes, group_runs_by_task

_SIZE = {'processors_milli': 1000, 'memory_mb': 500}


def job(key: str, run_time_ms: int = 300, **changes: Any) -> dict[str, Any]:
    """Return the request body of a batch job with one small task."""
    body = {
        'idempotency_key': key,
        'task_size': _SIZE,
        'run_time_ms': run_time_ms,
        'payload': json.dumps({'declared': _SIZE}),
    }
    return body | changes


def service(key: str) -> dict[str, Any]:
    """Return the request body of a service with one replica."""
    return job(key, 0, workload='service')


class Harness:
    """A cell with its callers, and queries about its state and logs."""

    def __init__(self, cell: Cell) -> None:
        """Start without callers."""
        self.cell = cell
        self._callers: list[Caller] = []

    def owner(self) -> ProcessId:
        """Wait until the partition has an owner, and return it."""
        wait_until(
            lambda: self.cell.owner() is not None,
            'the partition has no owner',
        )
        found = self.cell.owner()
        assert found is not None
        return found

    def other_processes(self, process: ProcessId) -> list[ProcessId]:
        """Return all entry processes except one."""
        return [name for name in self.cell.entry_urls if name != process]

    def wait_for_new_owner(self, process: ProcessId) -> ProcessId:
        """Wait until another process owns the partition, and return it."""
        wait_until(
            lambda: self.cell.owner() not in {None, process},
            f'no process took over from {process}',
        )
        return self.owner()

    def caller(self, *processes: ProcessId) -> Caller:
        """Return a caller that uses these processes in turn, all by default."""
        urls = [self.cell.entry_urls[name] for name in processes]
        new_caller = Caller(
            self.cell.deployment.tokens['desk'],
            urls or list(self.cell.entry_urls.values()),
            give_up_after_s=60,
        )
        self._callers.append(new_caller)
        return new_caller

    def tally(self) -> Tally:
        """Count the outcomes of the jobs of all callers."""
        submitted_jobs = [
            submitted_job
            for caller in self._callers
            for submitted_job in caller.submitted_jobs
        ]
        return count_outcomes(submitted_jobs, self.cell.worker_logs())

    def wait_settled(self) -> None:
        """Wait until all jobs are settled, then check all guarantees."""
        wait_until(lambda: self.tally().is_settled, 'not all jobs are settled')
        self.check()

    def check(self) -> None:
        """Check that no guarantee was violated; see `Tally.is_good`."""
        counted = self.tally()
        assert counted.is_good, counted

    def runs(self, submitted_job: SubmittedJob) -> list[Run]:
        """Return the runs of the first task of a job."""
        all_runs = group_runs_by_task(self.cell.worker_logs())
        return [
            run
            for task, task_runs in all_runs.items()
            if task == f'{submitted_job.job_id}/0'
            for run in task_runs
        ]

    def wait_running(self, submitted_job: SubmittedJob) -> Run:
        """Wait until the first task of a job runs, and return its last run."""
        wait_until(
            lambda: any(not run.outcome for run in self.runs(submitted_job)),
            f'{submitted_job.job_id} is not running',
        )
        return self.runs(submitted_job)[-1]

    def refusals(self) -> list[LogLine]:
        """Return the log lines of all starts that workers refused."""
        return [
            line
            for lines in self.cell.worker_logs().values()
            for line in lines
            if line.kind is LogKind.REFUSED
        ]

    def control_workers(self, **settings: Any) -> dict[WorkerId, Any]:
        """Set faults on all workers and return their states."""
        return {
            worker: self.cell.control(self.cell.worker_url(worker), **settings)
            for worker in self.cell.entries
        }
