"""The link to one worker: sends commands, renews leases, reports.

The link owns the exchanges with its worker; at most one is in progress, so
reports arrive in the order of the exchanges.
"""

from typing import Final

from returns.result import Success

from fuchsiarill.actor import Actor, Mailbox, handles
from fuchsiarill.clock import now_ms
from fuchsiarill.ids import AttemptId, Epoch
from fuchsiarill.owner.messages import (
    SendCommand,
    SendStart,
    StartWithheld,
    Tick,
    WorkerReported,
    WorkerSilent,
)
from fuchsiarill.ports.workers import WorkerPort
from fuchsiarill.workers import (
    Exchange,
    HostEntry,
    StartCommand,
    TaskCommand,
    TaskOutcome,
    WorkerReport,
)

_ENDED: Final = frozenset(TaskOutcome) - {TaskOutcome.RUNNING}


class WorkerLink(Actor):
    """Talks to one worker on behalf of one owner."""

    def __init__(
        self,
        entry: HostEntry,
        epoch: Epoch,
        port: WorkerPort,
        owner: Mailbox,
        lease_ms: int,
    ) -> None:
        """Create the link; nothing is sent before the first tick."""
        super().__init__(f'worker link {entry.worker_id}')
        self._entry = entry
        self._epoch = epoch
        self._port = port
        self._owner = owner
        self._lease_ms = lease_ms
        self._starts: list[SendStart] = []
        self._commands: list[TaskCommand] = []
        self._renewals: tuple[AttemptId, ...] = ()
        self._acknowledged: tuple[AttemptId, ...] = ()
        self._clock_offset_ms: int | None = None

    @handles(SendStart)
    async def on_start(self, message: SendStart) -> None:
        """Send a start with the next exchange, which begins at once."""
        self._starts.append(message)
        self._exchange_soon()

    @handles(SendCommand)
    async def on_command(self, message: SendCommand) -> None:
        """Send a command with the next exchange, which begins at once."""
        command = message.command
        self._commands.append(TaskCommand(command.kind, command.attempt_id))
        self._exchange_soon()

    @handles(Tick)
    async def on_tick(self, message: Tick) -> None:
        """Exchange with the worker once."""
        request = Exchange(
            epoch=self._epoch,
            lease_ms=self._lease_ms,
            starts=self._take_starts(),
            commands=tuple(self._commands),
            renewals=self._renewals,
            acknowledged=self._acknowledged,
        )
        self._commands.clear()
        answer = await self._port.exchange(self._entry.address, request)
        match answer:
            case Success(report):
                self._note(report)
            case _:
                self._owner.send(WorkerSilent(self._entry.worker_id))

    def _exchange_soon(self) -> None:
        if not len(self.mailbox):
            self.mailbox.send(Tick())

    def _take_starts(self) -> tuple[StartCommand, ...]:
        sent: list[StartCommand] = []
        current_ms = now_ms()
        for item in self._starts:
            if self._clock_offset_ms is None:
                self._owner.send(StartWithheld(item.start.attempt_id))
                continue
            if current_ms >= item.send_before_ms:
                self._owner.send(StartWithheld(item.start.attempt_id))
                continue
            sent.append(
                StartCommand(
                    attempt_id=item.start.attempt_id,
                    reserved=item.start.reserved,
                    run_time_ms=item.start.run_time_ms,
                    payload=item.start.payload,
                    start_before_worker_clock_ms=item.send_before_ms
                    + self._clock_offset_ms,
                ),
            )
        self._starts.clear()
        return tuple(sent)

    def _note(self, report: WorkerReport) -> None:
        # The report was made before now, so its clock reading less the time
        # of its arrival is at most the true offset: deadlines come out early.
        self._clock_offset_ms = report.worker_clock_ms - now_ms()
        self._renewals = tuple(
            task.attempt_id
            for task in report.tasks
            if task.outcome is TaskOutcome.RUNNING
        )
        self._acknowledged = tuple(
            task.attempt_id for task in report.tasks if task.outcome in _ENDED
        )
        self._owner.send(WorkerReported(report))
