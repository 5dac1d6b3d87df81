"""Stand-in for a worker: runs tasks under leases, timed by its own clock.

It does not enforce its capacity, but logs the size of each task, so that
overcommitment by the scheduler can be detected. Controls besides the common
ones: while `fail_starts` is true, all tasks that are started fail;
`hold_starts` delays exchanges with start commands, as a slow network would,
until it is set to false, `hold_exchanges` all exchanges; `restart` begins the
next incarnation, which executes the exchanges that were delayed before.
"""

import argparse
import asyncio
import uuid
from collections.abc import Callable
from dataclasses import dataclass
from importlib import resources
from pathlib import Path
from typing import Any, Final

from fuchsiarill.actor import handles
from fuchsiarill.clock import MS_PER_SECOND, now_ms
from fuchsiarill.ids import NO_EPOCH, AttemptId, IncarnationId, TaskId
from fuchsiarill.ports.http_ports import EXCHANGES, REPORTS
from fuchsiarill.registry import Registry
from fuchsiarill.resources import NO_RESOURCES, Resources
from fuchsiarill.state_chart import parse_chart
from fuchsiarill.workers import (
    CommandKind,
    Exchange,
    StartCommand,
    TaskCommand,
    TaskOutcome,
    TaskReport,
    WorkerReport,
)
from standins.http_server import serve_until_stopped
from standins.stand_in import Call, Control, Route, StandIn, StandInReply
from standins.task import Task, TaskEvent, TaskState, real_load
from standins.worker_log import LogKind, LogLine, WorkerLog
from standins.worker_settings import (
    WorkerDefinition,
    WorkerProcessSettings,
    load_worker_settings,
)

_FAILING_RUN_TIME_MS: Final = 5

ROUTES: Final[Registry[str, Route]] = Registry('worker routes')
CONTROLS: Final[Registry[str, Control]] = Registry('worker controls')


@dataclass(frozen=True, slots=True)
class TaskDue:
    """The run time or the lease of a task may have ended."""

    attempt_id: AttemptId


class WorkerStandIn(StandIn):
    """Runs the tasks of one worker and reports on them."""

    routes = ROUTES
    controls = CONTROLS

    def __init__(
        self,
        worker: WorkerDefinition,
        settings: WorkerProcessSettings,
    ) -> None:
        """Start without tasks, and log the capacity."""
        super().__init__(f'worker stand-in {worker.worker_id}')
        self.worker = worker
        self.settings = settings
        self.incarnation = _new_incarnation()
        self.fails_starts = False
        self.holds_starts = False
        self.holds_exchanges = False
        self.held: list[Call] = []
        self.highest_epoch = NO_EPOCH
        self.tasks: dict[AttemptId, Task] = {}
        self.checkpoints_ms: dict[TaskId, int] = {}
        self._received: set[AttemptId] = set()
        self._clock_zero_ms = -worker.clock_offset_ms
        self._log = WorkerLog(
            settings.log_folder / f'{worker.worker_id}.jsonl',
        )
        self.connections_max = worker.connections_count
        self._log.write(
            LogLine(
                now_ms(),
                worker.worker_id,
                LogKind.READY,
                reserved=worker.capacity.as_resources(),
            ),
        )

    @property
    def clock_ms(self) -> int:
        """Return the time of the worker's clock, which may be offset."""
        return now_ms() - self._clock_zero_ms

    @property
    def running_count(self) -> int:
        """Return the number of running tasks."""
        return sum(
            task.state is TaskState.RUNNING for task in self.tasks.values()
        )

    def snapshot(self) -> dict[str, Any]:
        """Add the tasks that run or whose outcome is not acknowledged."""
        return super().snapshot() | {
            'worker': self.worker.worker_id,
            'highest_epoch': self.highest_epoch,
            'held_count': len(self.held),
            'tasks': {
                attempt_id: task.state.value
                for attempt_id, task in self.tasks.items()
            },
        }

    @handles(TaskDue)
    async def on_due(self, message: TaskDue) -> None:
        """End a task whose run time or lease is over, or check it later."""
        task = self.tasks.get(message.attempt_id)
        if task is None or task.state is not TaskState.RUNNING:
            return
        current_ms = now_ms()
        if task.ends_at_ms is not None and task.ends_at_ms <= current_ms:
            ending = TaskEvent.FAULTED if task.fails else TaskEvent.COMPLETED
            self.step(task, ending)
        elif task.lease_ends_at_ms <= current_ms:
            self.step(task, TaskEvent.LEASE_LAPSED, 'lease lapsed')
        else:
            self.schedule_due_check(task)

    def carry_out(self, request: Exchange) -> None:
        """Carry out an exchange, or refuse all of it.

        An old epoch is refused, and an exchange for another incarnation.
        """
        if request.epoch < self.highest_epoch:
            self._refuse_all(request, 'epoch')
            return
        self.highest_epoch = request.epoch
        if request.incarnation != self.incarnation:
            self._refuse_all(request, 'incarnation')
            return
        for attempt_id in request.acknowledged:
            self._drop_acknowledged(attempt_id)
        for command in request.commands:
            self._execute_command(command)
        lease_ends_at_ms = (
            request.lease_until_worker_clock_ms + self._clock_zero_ms
        )
        for attempt_id in request.renewals:
            task = self.tasks.get(attempt_id)
            if task is not None:
                task.renew(lease_ends_at_ms)
        for start in request.starts:
            self._start(start, lease_ends_at_ms)

    def restart(self) -> None:
        """Begin the next incarnation without tasks; its clock begins anew."""
        for task in self.tasks.values():
            if task.state is TaskState.RUNNING:
                self.log(LogKind.END, task, 'worker restarted')
        self.tasks.clear()
        self.checkpoints_ms.clear()
        self._received.clear()
        self.highest_epoch = NO_EPOCH
        self.incarnation = _new_incarnation()
        self._clock_zero_ms = now_ms()

    def step(self, task: Task, event: TaskEvent, detail: str = '') -> None:
        """Apply an event of the chart and run its actions."""
        transition = TASK_CHART.step(task.state, event)
        if transition is None:
            return
        task.state = transition.target
        for action in transition.actions:
            TASK_ACTIONS.lookup(action)(self, task, detail)

    def schedule_due_check(self, task: Task) -> None:
        """Send this worker a message when the task or its lease ends."""
        asyncio.get_running_loop().call_at(
            task.due_at_ms / MS_PER_SECOND,
            self.mailbox.send,
            TaskDue(task.start.attempt_id),
        )

    def log(self, kind: LogKind, task: Task, detail: str) -> None:
        """Write a line about a task to the log."""
        self._log_line(kind, task.start, task.real, detail)

    def report(self) -> WorkerReport:
        """Return the running tasks and the unacknowledged outcomes."""
        return WorkerReport(
            self.worker.worker_id,
            self.highest_epoch,
            self.clock_ms,
            tuple(self._report_of(task) for task in self.tasks.values()),
            self.incarnation,
        )

    def _refuse_all(self, request: Exchange, reason: str) -> None:
        for start in request.starts:
            self._log_line(LogKind.REFUSED, start, NO_RESOURCES, reason)

    def _start(self, start: StartCommand, lease_ends_at_ms: int) -> None:
        if start.attempt_id in self._received:
            return
        self._received.add(start.attempt_id)
        real = real_load(self.settings.deviation, start)
        run_time_ms = real.run_time_ms
        if self.fails_starts:
            run_time_ms = _FAILING_RUN_TIME_MS
        task = Task(
            start,
            real.size,
            TASK_CHART.initial,
            started_at_ms=now_ms(),
            ends_at_ms=None,
            lease_ends_at_ms=lease_ends_at_ms,
            fails=self.fails_starts,
        )
        if run_time_ms:
            checkpointed_ms = self.checkpoints_ms.get(task.task_id, 0)
            task.ends_at_ms = now_ms() + max(1, run_time_ms - checkpointed_ms)
        reason = self._find_refusal_reason(start)
        self.tasks[start.attempt_id] = task
        if reason is not None:
            self.step(task, TaskEvent.TURNED_AWAY, reason)
            return
        self.step(task, TaskEvent.ADMITTED)
        self.schedule_due_check(task)

    def _find_refusal_reason(self, start: StartCommand) -> str | None:
        if self.clock_ms > start.start_before_worker_clock_ms:
            return 'late'
        # Each running task occupies one connection of the worker.
        if self.running_count >= self.worker.connections_count:
            return 'connections'
        return None

    def _execute_command(self, command: TaskCommand) -> None:
        task = self.tasks.get(command.attempt_id)
        if task is None or task.state is not TaskState.RUNNING:
            return
        COMMANDS.lookup(command.kind)(self, task)
        self.log(LogKind.COMMAND, task, command.kind.value)

    def _drop_acknowledged(self, attempt_id: AttemptId) -> None:
        task = self.tasks.get(attempt_id)
        if task is not None and task.state is not TaskState.RUNNING:
            self.tasks.pop(attempt_id)

    def _report_of(self, task: Task) -> TaskReport:
        until_ms = task.ended_at_ms or now_ms()
        elapsed_ms = until_ms - task.started_at_ms
        is_ended = task.state is not TaskState.RUNNING
        if not is_ended and not task.is_measured:
            task.is_measured = elapsed_ms >= self.settings.usage_lag_ms
            if task.is_measured:
                self.log(LogKind.MEASURED, task, '')
        return TaskReport(
            attempt_id=task.start.attempt_id,
            outcome=TaskOutcome(task.state.value),
            reserved=task.start.reserved,
            used=task.real if task.is_measured or is_ended else NO_RESOURCES,
            run_time_ms=elapsed_ms,
            output=task.start.payload,
        )

    def _log_line(
        self,
        kind: LogKind,
        start: StartCommand,
        real: Resources,
        detail: str,
    ) -> None:
        self._log.write(
            LogLine(
                now_ms(),
                self.worker.worker_id,
                kind,
                start.attempt_id,
                start.reserved,
                real,
                detail,
            ),
        )


def _new_incarnation() -> IncarnationId:
    return IncarnationId(uuid.uuid4().hex)


@ROUTES.register('/v1/exchange')
def _exchange(worker: WorkerStandIn, call: Call) -> StandInReply | None:
    request = EXCHANGES.validate_json(call.body)
    must_hold = worker.holds_starts and bool(request.starts)
    if must_hold or worker.holds_exchanges:
        worker.held.append(call)
        return None
    worker.carry_out(request)
    report = worker.report()
    return StandInReply(200, REPORTS.dump_json(report))


@CONTROLS.register('fail_starts')
def _fail_starts(worker: WorkerStandIn, setting: bool) -> None:
    worker.fails_starts = setting


@CONTROLS.register('hold_starts')
def _hold_starts(worker: WorkerStandIn, setting: bool) -> None:
    worker.holds_starts = setting
    if not setting:
        _release_held(worker)


@CONTROLS.register('hold_exchanges')
def _hold_exchanges(worker: WorkerStandIn, setting: bool) -> None:
    worker.holds_exchanges = setting
    if not setting:
        _release_held(worker)


def _release_held(worker: WorkerStandIn) -> None:
    held = worker.held
    worker.held = []
    for call in held:
        reply = _exchange(worker, call)
        if reply is not None:
            call.reply.answer(reply)


@CONTROLS.register('restart')
def _restart(worker: WorkerStandIn, setting: bool) -> None:
    if setting:
        worker.restart()


TaskAction = Callable[[WorkerStandIn, Task, str], None]
TASK_ACTIONS: Final[Registry[str, TaskAction]] = Registry('task actions')


@TASK_ACTIONS.register('log_start')
def _log_start(worker: WorkerStandIn, task: Task, detail: str) -> None:
    worker.log(LogKind.START, task, detail)


@TASK_ACTIONS.register('log_refused')
def _log_refused(worker: WorkerStandIn, task: Task, detail: str) -> None:
    task.ended_at_ms = now_ms()
    worker.log(LogKind.REFUSED, task, detail)


@TASK_ACTIONS.register('log_end')
def _log_end(worker: WorkerStandIn, task: Task, detail: str) -> None:
    task.ended_at_ms = now_ms()
    worker.log(LogKind.END, task, detail or task.state.value)


CommandHandler = Callable[[WorkerStandIn, Task], None]
COMMANDS: Final[Registry[CommandKind, CommandHandler]] = Registry('commands')


@COMMANDS.register(CommandKind.STOP)
def _stop(worker: WorkerStandIn, task: Task) -> None:
    worker.step(task, TaskEvent.STOP_ASKED)


@COMMANDS.register(CommandKind.CHECKPOINT)
def _checkpoint(worker: WorkerStandIn, task: Task) -> None:
    # A later attempt of the task on this worker resumes at this run time.
    worker.checkpoints_ms[task.task_id] = now_ms() - task.started_at_ms


@COMMANDS.register(CommandKind.THROTTLE)
def _throttle(worker: WorkerStandIn, task: Task) -> None:
    task.throttle(now_ms())


TASK_CHART: Final = parse_chart(
    'task',
    resources.files('standins.charts').joinpath('task.yaml').read_text(),
    TaskState,
    TaskEvent,
    TASK_ACTIONS,
)


async def _main(settings: WorkerProcessSettings) -> None:
    await serve_until_stopped(
        [
            (WorkerStandIn(worker, settings), worker.port)
            for worker in settings.workers
        ],
    )


def main() -> None:
    """Serve the workers of a settings file until SIGTERM or SIGINT."""
    parser = argparse.ArgumentParser(prog='standins.worker')
    parser.add_argument('--config', type=Path, required=True)
    options = parser.parse_args()
    asyncio.run(_main(load_worker_settings(options.config)))


if __name__ == '__main__':
    main()
