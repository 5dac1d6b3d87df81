"""Fake of a worker, and the `WorkerPort` that calls it.

A task is a timer that holds a lease. The fake follows the rules that the
system relies on: it refuses exchanges of a lower epoch or for another
incarnation and starts after their deadline, and stops a task whose lease has
expired.
"""

import asyncio
from dataclasses import dataclass
from functools import partial
from typing import Any, Final

from returns.result import Failure, Result, Success

from fuchsiarill.actor import Actor, Reply, handles
from fuchsiarill.clock import MS_PER_SECOND, now_ms
from fuchsiarill.ids import NO_EPOCH, AttemptId, IncarnationId, WorkerId
from fuchsiarill.ports.http_client import CallFailure
from fuchsiarill.ports.workers import ExchangeFailure
from fuchsiarill.replay.network import Endpoint, Network
from fuchsiarill.replay.observations import ObservationKind, ObservationLog
from fuchsiarill.resources import NO_RESOURCES, Resources
from fuchsiarill.settings import WorkerSettings
from fuchsiarill.workers import (
    CommandKind,
    Exchange,
    HostEntry,
    StartCommand,
    TaskCommand,
    TaskOutcome,
    TaskReport,
    WorkerReport,
)

# Real workers measure usage over a window: a report shows no usage of a task
# that has run for less than this time.
_USAGE_LAG_MS: Final = 2_000
_FAILS_AFTER_MS: Final = 50
# Clocks of workers differ, so that a trace fails if the system confuses them;
# any value works.
_CLOCK_STEP_MS: Final = 1_000_000


@dataclass(frozen=True, slots=True)
class TaskProfile:
    """Actual behaviour of a job's tasks: usage, run time and failures.

    Usage depends on the declared size, never on the reserved size. The
    next `fails_count` runs fail.
    """

    used: Resources = NO_RESOURCES
    run_time_factor: float = 1
    fails_count: int = 0


@dataclass(frozen=True, slots=True)
class ExchangeRequested:
    """One exchange as it arrives at the worker."""

    request: Exchange
    process: str
    reply: Reply[Any]


@dataclass(eq=False, slots=True)
class _Task:
    start: StartCommand
    started_at_ms: int
    used: Resources
    outcome: TaskOutcome = TaskOutcome.RUNNING
    lease_ends_at_ms: float = 0
    is_due: bool = False


class FakeWorker(Actor):
    """One worker with its tasks, its clock and the highest epoch seen."""

    def __init__(
        self,
        log: ObservationLog,
        entry: HostEntry,
        number: int,
        profiles: dict[str, TaskProfile],
    ) -> None:
        """Create a worker without tasks; `profiles` has payloads as keys."""
        super().__init__(entry.worker_id)
        self.endpoint = Endpoint(entry.worker_id, entry.failure_domain)
        self.fails_all = False
        self.size_factor = 1.0
        self.run_time_factor = 1.0
        self.clock_rate = 1.0
        self.is_paused = False
        self._log = log
        self._clock_offset_ms = number * _CLOCK_STEP_MS
        self._profiles = profiles
        self._attempts: dict[AttemptId, _Task] = {}
        self._queued: list[ExchangeRequested] = []
        self._highest_epoch = NO_EPOCH
        self._restarts_count = 0

    @handles(ExchangeRequested)
    async def on_exchange(self, message: ExchangeRequested) -> None:
        """Execute an exchange, or queue it while the host is paused."""
        if self.is_paused:
            self._queued.append(message)
            return
        if not self.endpoint.refusing:
            self._apply_exchange(message)

    def runs(self, key: str) -> bool:
        """Return whether a task of the job with this payload runs here."""
        return any(
            task.start.payload == key and task.outcome is TaskOutcome.RUNNING
            for task in self._attempts.values()
        )

    def crash(self) -> None:
        """End all tasks and lose all state, including the highest epoch."""
        self.endpoint.refusing = True
        for task in tuple(self._attempts.values()):
            self._end_task(task, TaskOutcome.STOPPED, 'worker died')
        self._attempts.clear()
        self._queued.clear()
        self._highest_epoch = NO_EPOCH

    def restart(self) -> None:
        """Accept exchanges again, with a monotonic clock that restarts."""
        self.endpoint.refusing = False
        self._clock_offset_ms -= now_ms()
        self._restarts_count += 1

    def pause(self) -> None:
        """Freeze the host: exchanges are queued and tasks do not finish."""
        self.is_paused = True

    def resume(self) -> None:
        """Finish the tasks that are due and execute the queued exchanges.

        Leases expire during the pause, so some tasks have ended already.
        """
        self.is_paused = False
        for task in tuple(self._attempts.values()):
            if task.is_due:
                self._complete(task)
        queued = self._queued
        self._queued = []
        for message in queued:
            self._apply_exchange(message)

    def _apply_exchange(self, message: ExchangeRequested) -> None:
        request = message.request
        refusal_reason = self._find_refusal_reason(request)
        self._highest_epoch = max(self._highest_epoch, request.epoch)
        if refusal_reason is not None:
            for refused_start in request.starts:
                self._refuse(refused_start, message, refusal_reason)
            message.reply.answer(self._report())
            return
        for attempt_id in request.acknowledged:
            self._attempts.pop(attempt_id, None)
        lease_ms = (
            request.lease_until_worker_clock_ms - self._clock_ms()
        ) / self.clock_rate
        for start in request.starts:
            self._start_task(start, message)
            self._renew(start.attempt_id, lease_ms)
        for attempt_id in request.renewals:
            self._renew(attempt_id, lease_ms)
        for command in request.commands:
            self._apply_command(command)
        message.reply.answer(self._report())

    def _start_task(
        self, start: StartCommand, message: ExchangeRequested
    ) -> None:
        if start.attempt_id in self._attempts:
            return
        profile = self._profiles.get(start.payload, TaskProfile())
        used = scaled(profile.used, self.size_factor)
        task = _Task(start, now_ms(), used)
        self._attempts[start.attempt_id] = task
        if self._is_late(start):
            task.outcome = TaskOutcome.REFUSED
            self._refuse(start, message, 'start_before')
            return
        self._log.record(
            ObservationKind.TASK_STARTED,
            self.name,
            **task_details(start),
            epoch=message.request.epoch,
            process=message.process,
            reserved=start.reserved.as_tuple(),
            used=used.as_tuple(),
        )
        if self._consume_failure(start.payload, profile):
            self._schedule(_FAILS_AFTER_MS, self._fail, task)
            return
        if start.run_time_ms:
            factor = profile.run_time_factor * self.run_time_factor
            self._schedule(start.run_time_ms * factor, self._complete, task)

    def _find_refusal_reason(self, request: Exchange) -> str | None:
        """Return why nothing of an exchange may be executed, if so."""
        if self._is_stale(request):
            return 'epoch'
        if request.incarnation != self._incarnation:
            return 'incarnation'
        return None

    def _is_stale(self, request: Exchange) -> bool:
        return request.epoch < self._highest_epoch

    def _is_late(self, start: StartCommand) -> bool:
        return self._clock_ms() > start.start_before_worker_clock_ms

    def _consume_failure(self, payload: str, profile: TaskProfile) -> bool:
        """Return whether a run fails, and count its failure."""
        if self.fails_all:
            return True
        if profile.fails_count:
            remaining = TaskProfile(
                profile.used,
                profile.run_time_factor,
                profile.fails_count - 1,
            )
            self._profiles[payload] = remaining
            return True
        return False

    def _refuse(
        self,
        start: StartCommand,
        message: ExchangeRequested,
        reason: str,
    ) -> None:
        self._log.record(
            ObservationKind.START_REFUSED,
            self.name,
            **task_details(start),
            epoch=message.request.epoch,
            process=message.process,
            reason=reason,
        )

    def _renew(self, attempt_id: AttemptId, lease_ms: float) -> None:
        task = self._attempts.get(attempt_id)
        if task is None or task.outcome is not TaskOutcome.RUNNING:
            return
        lease_ends_at_ms = now_ms() + lease_ms
        if lease_ends_at_ms <= task.lease_ends_at_ms:
            return
        task.lease_ends_at_ms = lease_ends_at_ms
        self._schedule(lease_ms, self._check_lease, task)

    def _check_lease(self, task: _Task) -> None:
        if now_ms() >= int(task.lease_ends_at_ms):
            self._end_task(task, TaskOutcome.STOPPED, 'lease lapsed')

    def _apply_command(self, command: TaskCommand) -> None:
        task = self._attempts.get(command.attempt_id)
        if task is None or task.outcome is not TaskOutcome.RUNNING:
            return
        self._log.record(
            ObservationKind.TASK_COMMANDED,
            self.name,
            **task_details(task.start),
            command=command.kind.value,
        )
        if command.kind is CommandKind.STOP:
            self._end_task(task, TaskOutcome.STOPPED, 'stopped')
        if command.kind is CommandKind.THROTTLE:
            task.used = task.start.reserved
            self._log.record(
                ObservationKind.TASK_RESIZED,
                self.name,
                **task_details(task.start),
                used=task.used.as_tuple(),
            )

    def _complete(self, task: _Task) -> None:
        if self.is_paused:
            task.is_due = True
            return
        self._end_task(task, TaskOutcome.SUCCEEDED, 'succeeded')

    def _fail(self, task: _Task) -> None:
        self._end_task(task, TaskOutcome.FAILED, 'failed')

    def _end_task(self, task: _Task, outcome: TaskOutcome, reason: str) -> None:
        if task.outcome is not TaskOutcome.RUNNING:
            return
        task.outcome = outcome
        self._log.record(
            ObservationKind.TASK_ENDED,
            self.name,
            **task_details(task.start),
            reserved=task.start.reserved.as_tuple(),
            reason=reason,
        )

    def _report(self) -> WorkerReport:
        return WorkerReport(
            WorkerId(self.name),
            self._highest_epoch,
            int(self._clock_ms()),
            tuple(_report_of(task) for task in self._attempts.values()),
            self._incarnation,
        )

    @property
    def _incarnation(self) -> IncarnationId:
        return IncarnationId(f'{self.name} {self._restarts_count}')

    def _clock_ms(self) -> float:
        return now_ms() * self.clock_rate + self._clock_offset_ms

    def _schedule(self, delay_ms: float, run: Any, task: _Task) -> None:
        asyncio.get_running_loop().call_later(
            delay_ms / MS_PER_SECOND,
            run,
            task,
        )


class ProcessWorkers:
    """`WorkerPort` of one process."""

    def __init__(
        self,
        settings: WorkerSettings,
        network: Network,
        source: Endpoint,
        workers: dict[str, FakeWorker],
    ) -> None:
        """Call `workers`, a mapping by address, from the endpoint `source`."""
        self._settings = settings
        self._network = network
        self._source = source
        self._workers = workers

    async def exchange(
        self,
        address: str,
        request: Exchange,
    ) -> Result[WorkerReport, ExchangeFailure]:
        """Send an exchange to a worker and return its report."""
        worker = self._workers[address]
        build_request = partial(ExchangeRequested, request, self._source.name)
        answer = await self._network.call(
            self._source,
            worker.endpoint,
            lambda reply: worker.mailbox.send(build_request(reply)),
            self._settings.call_timeout_ms,
        )
        match answer:
            case Success(report):
                return Success(report)
            case Failure(CallFailure.NOT_SENT):
                return Failure(ExchangeFailure.NOT_SENT)
            case _:
                return Failure(ExchangeFailure.NO_ANSWER)


def task_details(start: StartCommand) -> dict[str, Any]:
    """Return the log details that identify a task.

    The payload is the key of the job in the trace.
    """
    task, _, _ = start.attempt_id.rpartition('@')
    return {
        'attempt': start.attempt_id,
        'key': start.payload,
        'position': int(task.rpartition('/')[2]),
    }


def output_of(key: str, position: int) -> str:
    """Return the output of a task, which is unique to it."""
    return f'{key} {position}'


def _report_of(task: _Task) -> TaskReport:
    used = NO_RESOURCES
    has_ended = task.outcome is not TaskOutcome.RUNNING
    if has_ended or now_ms() - task.started_at_ms >= _USAGE_LAG_MS:
        used = task.used
    output = ''
    if task.outcome is TaskOutcome.SUCCEEDED:
        details = task_details(task.start)
        output = output_of(task.start.payload, details['position'])
    return TaskReport(
        attempt_id=task.start.attempt_id,
        outcome=task.outcome,
        reserved=task.start.reserved,
        used=used,
        run_time_ms=now_ms() - task.started_at_ms,
        output=output,
    )


def scaled(size: Resources, factor: float) -> Resources:
    """Return a size with processors and memory multiplied by `factor`."""
    return Resources(
        int(size.processors_milli * factor),
        int(size.memory_mb * factor),
        size.accelerators_count,
        size.slots_count,
    )
