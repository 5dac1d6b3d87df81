"""Stand-in of a worker, as a process of its own.

A task is a timer: it succeeds after its run time, with its payload as
output. One process can serve several workers, each on a port of its own.
"""

import argparse
import json
import threading
import time
from dataclasses import dataclass

from fuchsiarill.ids import NO_EPOCH, AttemptId, WorkerId
from fuchsiarill.ports.http_ports import EXCHANGES, REPORTS
from fuchsiarill.workers import (
    CommandKind,
    Exchange,
    StartCommand,
    TaskOutcome,
    TaskReport,
    WorkerReport,
)
from standins.http_server import JsonServer, StandInReply


@dataclass(slots=True)
class _Task:
    start: StartCommand
    outcome: TaskOutcome
    ends_at_ms: float | None
    lease_ends_at_ms: float


class WorkerStandIn:
    """The tasks of one worker."""

    def __init__(self, worker_id: WorkerId) -> None:
        """Start with no tasks."""
        self._worker_id = worker_id
        self._lock = threading.Lock()
        self._highest_epoch = NO_EPOCH
        self._tasks: dict[AttemptId, _Task] = {}

    def exchange(self, body: bytes) -> StandInReply:
        """Carry out one exchange."""
        request = EXCHANGES.validate_json(body)
        with self._lock:
            self._advance()
            if request.epoch >= self._highest_epoch:
                self._highest_epoch = request.epoch
                self._carry_out(request)
            return StandInReply(200, REPORTS.dump_json(self._report()))

    def _carry_out(self, request: Exchange) -> None:
        lease_ends_at_ms = _now_ms() + request.lease_ms
        for attempt_id in request.acknowledged:
            self._tasks.pop(attempt_id, None)
        for start in request.starts:
            self._start(start, lease_ends_at_ms)
        for attempt_id in request.renewals:
            held = self._tasks.get(attempt_id)
            if held is not None:
                held.lease_ends_at_ms = lease_ends_at_ms
        for command in request.commands:
            task = self._tasks.get(command.attempt_id)
            if task is None or command.kind is not CommandKind.STOP:
                continue
            if task.outcome is TaskOutcome.RUNNING:
                task.outcome = TaskOutcome.STOPPED

    def _start(self, start: StartCommand, lease_ends_at_ms: float) -> None:
        if start.attempt_id in self._tasks:
            return
        late = _now_ms() > start.start_before_worker_clock_ms
        ends_at_ms = None
        if start.run_time_ms:
            ends_at_ms = _now_ms() + start.run_time_ms
        self._tasks[start.attempt_id] = _Task(
            start,
            TaskOutcome.REFUSED if late else TaskOutcome.RUNNING,
            ends_at_ms,
            lease_ends_at_ms,
        )
        event = 'refused' if late else 'started'
        line = {'event': event, 'attempt': start.attempt_id}
        print(json.dumps(line), flush=True)  # noqa: T201, WPS421

    def _advance(self) -> None:
        current_ms = _now_ms()
        for task in self._tasks.values():
            if task.outcome is not TaskOutcome.RUNNING:
                continue
            if task.ends_at_ms is not None and current_ms >= task.ends_at_ms:
                task.outcome = TaskOutcome.SUCCEEDED
                continue
            if current_ms >= task.lease_ends_at_ms:
                task.outcome = TaskOutcome.STOPPED

    def _report(self) -> WorkerReport:
        return WorkerReport(
            self._worker_id,
            self._highest_epoch,
            int(_now_ms()),
            tuple(
                TaskReport(
                    attempt_id=attempt_id,
                    outcome=task.outcome,
                    reserved=task.start.reserved,
                    run_time_ms=task.start.run_time_ms,
                    output=task.start.payload,
                )
                for attempt_id, task in self._tasks.items()
            ),
        )


def _now_ms() -> float:
    return time.monotonic() * 1000


def main() -> None:
    """Serve one worker."""
    parser = argparse.ArgumentParser(prog='standins.worker')
    parser.add_argument('--port', type=int, required=True)
    parser.add_argument('--worker', type=WorkerId, required=True)
    options = parser.parse_args()
    worker = WorkerStandIn(options.worker)
    JsonServer(
        options.port,
        {'/v1/exchange': worker.exchange},
        threads_count=4,
    ).serve()


if __name__ == '__main__':
    main()
