"""The link to one worker: sends commands, renews leases, forwards reports.

An exchange is one request to the worker and the report that it returns. At most
one is in progress, so that reports arrive in the order of the exchanges.
"""

from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass, field, replace
from typing import Any

from returns.result import Failure, Result, Success

from fuchsiarill.actor import Actor, Mailbox, handles
from fuchsiarill.clock import now_ms
from fuchsiarill.core.ledger import lapse_bound_ms
from fuchsiarill.ids import (
    NO_INCARNATION,
    AttemptId,
    Epoch,
    IncarnationId,
)
from fuchsiarill.owner import messages
from fuchsiarill.owner.exchange_pacer import ExchangePacer
from fuchsiarill.owner.expectations import Expectations, SentStart
from fuchsiarill.ports.workers import ExchangeFailure, WorkerPort
from fuchsiarill.workers import (
    CommandKind,
    Exchange,
    HostEntry,
    StartCommand,
    TaskCommand,
    WorkerReport,
)


@dataclass(frozen=True, slots=True)
class LinkParameters:
    """Parameters of a link.

    `restored_starts` holds the unresolved at-most-once starts that older owners
    may have sent to the worker, each with the incarnation that the worker had
    at that time. `workers_count` is the number of links that share the owner's
    call rate. No lease is renewed from `renew_until_ms` on, unless a
    `RenewalsAllowed` message changes this time.
    """

    epoch: Epoch
    task_lease_ms: int
    exchange_interval_ms: int
    silent_after_ms: int
    workers_count: int = 1
    renew_until_ms: int = 0
    restored_starts: Mapping[AttemptId, IncarnationId] = field(
        default_factory=dict
    )


@dataclass(frozen=True, slots=True)
class AddressChanged:
    """The worker is listed at another address."""

    address: str


class WorkerLink(Actor):
    """Exchanges commands and reports with one worker for one owner.

    A worker is silent when its exchanges have failed for `silent_after_ms`.
    """

    def __init__(
        self,
        entry: HostEntry,
        link_parameters: LinkParameters,
        port: WorkerPort,
        owner: Mailbox,
    ) -> None:
        """Create the link; `start` triggers the first exchange."""
        super().__init__(f'worker link {entry.worker_id}')
        self._worker_id = entry.worker_id
        self._address = entry.address
        self._link_parameters = link_parameters
        self._port = port
        self._owner = owner
        self._pacer = ExchangePacer(
            entry.worker_id,
            link_parameters.exchange_interval_ms,
            link_parameters.workers_count,
            self._send_tick,
        )
        self._pending_starts: list[messages.SendStart] = []
        self._pending_commands: dict[tuple[AttemptId, CommandKind], None] = {}
        self._pending_acknowledgements: set[AttemptId] = set()
        self._expectations = Expectations(link_parameters.restored_starts)
        self._contact = _ContactState(link_parameters.task_lease_ms)
        self._renew_until_ms = link_parameters.renew_until_ms
        self._outbox: deque[object] = deque()

    def start(self) -> None:
        """Run the actor and trigger the first exchange."""
        super().start()
        self._pacer.request_tick()

    async def stop(self) -> None:
        """Stop the exchanges."""
        self._pacer.cancel()
        await super().stop()

    def snapshot(self) -> dict[str, Any]:
        """Return the state for a dump."""
        return super().snapshot() | {
            'address': self._address,
            'running_count': len(self._expectations.running),
            'unanswered_starts_count': self._expectations.unresolved_count,
            'starts_waiting_count': len(self._pending_starts),
            'commands_waiting_count': len(self._pending_commands),
            'failing_since_ms': self._contact.failing_since_ms,
            'silent': self._contact.is_silent,
        }

    @handles(messages.SendStart)
    async def on_start(self, message: messages.SendStart) -> None:
        """Queue a start and trigger an exchange."""
        self._pending_starts.append(message)
        self._pacer.request_tick()

    @handles(messages.SendCommand)
    async def on_command(self, message: messages.SendCommand) -> None:
        """Queue a command and trigger an exchange."""
        command = message.command
        self._pending_commands[(command.attempt_id, command.kind)] = None
        self._pacer.request_tick()

    @handles(messages.OutcomesCommitted)
    async def on_outcomes_committed(
        self, message: messages.OutcomesCommitted
    ) -> None:
        """Queue the acknowledgement of outcomes for the next exchange."""
        self._pending_acknowledgements.update(message.attempt_ids)

    @handles(messages.LeaseChanged)
    async def on_lease_changed(self, message: messages.LeaseChanged) -> None:
        """Set the lease length and the longest interval between exchanges."""
        self._contact.task_lease_ms = message.task_lease_ms
        self._pacer.interval_max_ms = message.exchange_interval_ms

    @handles(messages.RenewalsAllowed)
    async def on_renewals_allowed(
        self, message: messages.RenewalsAllowed
    ) -> None:
        """Set the time until which task leases may be renewed."""
        self._renew_until_ms = message.until_ms

    @handles(AddressChanged)
    async def on_address_changed(self, message: AddressChanged) -> None:
        """Use the new address from the next exchange on, which is due now.

        The attempts that were sent to the former address stay expected: only a
        report of the worker or the end of their leases resolves them.
        """
        self._address = message.address
        self._pacer.request_tick()

    @handles(messages.Tick)
    async def on_tick(self, message: messages.Tick) -> None:
        """Perform one exchange with the worker and schedule the next."""
        self._pacer.tick_started()
        requested_at_ms = now_ms()
        request = self._build_request(requested_at_ms)
        exchange_result = await self._exchange(request)
        match exchange_result:
            case Success(report) if (
                report.highest_epoch > self._link_parameters.epoch
            ):
                self._queue_for_owner(
                    messages.Deposed('a worker knows a newer owner')
                )
            case Success(report):
                self._pacer.adapt_interval(request, report)
                self._on_report(request, report, requested_at_ms)
            case Failure(failure):
                self._on_failure(request, failure, requested_at_ms)
        self._flush_outbox()
        if self._pending_starts:
            self._pacer.request_tick()
        else:
            self._pacer.schedule_tick()

    async def _exchange(
        self, request: Exchange
    ) -> Result[WorkerReport, ExchangeFailure]:
        """Perform an exchange; only a report of this worker counts.

        While the host list lags, another worker may have the address. It
        executes nothing of an exchange that names an incarnation of this one.
        """
        exchange_result = await self._port.exchange(self._address, request)
        match exchange_result:
            case Success(report) if report.worker_id != self._worker_id:
                return Failure(ExchangeFailure.NOT_SENT)
            case _:
                return exchange_result

    def _send_tick(self) -> bool:
        return self.mailbox.send(messages.Tick())

    def _build_request(self, requested_at_ms: int) -> Exchange:
        # A silent worker gets no renewals, so that its leases lapse. An owner
        # that may have been replaced sends none, because the next owner waits
        # for these leases to lapse.
        renewals: tuple[AttemptId, ...] = ()
        may_renew = requested_at_ms < self._renew_until_ms
        if may_renew and not self._contact.is_silent:
            renewals = tuple(sorted(self._expectations.running))
        lease_until_ms = requested_at_ms + self._contact.task_lease_ms
        return Exchange(
            epoch=self._link_parameters.epoch,
            lease_until_worker_clock_ms=lease_until_ms
            + self._contact.offset_ms,
            starts=self._prepare_starts(requested_at_ms, lease_until_ms),
            commands=tuple(
                TaskCommand(kind, attempt_id)
                for attempt_id, kind in self._pending_commands
            ),
            renewals=renewals,
            acknowledged=tuple(sorted(self._pending_acknowledgements)),
            incarnation=self._contact.incarnation,
        )

    def _prepare_starts(
        self, requested_at_ms: int, lease_until_ms: int
    ) -> tuple[StartCommand, ...]:
        start_commands: list[StartCommand] = []
        has_contact = self._contact.has_report_since(
            requested_at_ms - self._link_parameters.silent_after_ms,
        )
        for pending in self._pending_starts:
            start = pending.start
            if not has_contact or requested_at_ms >= pending.send_before_ms:
                self._queue_for_owner(messages.StartWithheld(start.attempt_id))
                continue
            # A start is not executed once its lease would have expired.
            start_before_ms = min(pending.send_before_ms, lease_until_ms)
            command = StartCommand(
                attempt_id=start.attempt_id,
                reserved=start.reserved,
                run_time_ms=start.run_time_ms,
                payload=start.payload,
                start_before_worker_clock_ms=(
                    start_before_ms + self._contact.offset_ms
                ),
            )
            sent_start = SentStart(
                self._contact.incarnation,
                command.start_before_worker_clock_ms,
            )
            self._expectations.expect(start.attempt_id, sent_start)
            start_commands.append(command)
        self._pending_starts.clear()
        return tuple(start_commands)

    def _on_report(
        self,
        request: Exchange,
        report: WorkerReport,
        requested_at_ms: int,
    ) -> None:
        self._contact.record_leases(request)
        self._contact.record_report(report)
        if report.incarnation == request.incarnation:
            self._on_executed(request)
        else:
            self._withhold(request.starts)
        missing_outcomes = self._expectations.apply_report(report)
        complete_report = replace(report, tasks=report.tasks + missing_outcomes)
        message = messages.WorkerReported(
            complete_report,
            requested_at_ms,
            self._contact.lease_ends_at_ms,
        )
        self._flush_outbox()
        # A report may be dropped, since the next one repeats it. Missing
        # attempts are reported only once and must not be dropped.
        if missing_outcomes or self._outbox:
            self._queue_for_owner(message)
        else:
            self._owner.send(message)

    def _on_executed(self, request: Exchange) -> None:
        for command in request.commands:
            self._pending_commands.pop((command.attempt_id, command.kind), None)
        self._pending_acknowledgements.difference_update(request.acknowledged)

    def _withhold(self, starts: tuple[StartCommand, ...]) -> None:
        """Report starts of which it is certain that they never take effect."""
        for start in starts:
            self._expectations.withdraw(start.attempt_id)
            self._queue_for_owner(messages.StartWithheld(start.attempt_id))

    def _on_failure(
        self,
        request: Exchange,
        failure: ExchangeFailure,
        requested_at_ms: int,
    ) -> None:
        if failure is ExchangeFailure.NOT_SENT:
            self._withhold(request.starts)
        else:
            self._contact.record_leases(request)
        silent_after_ms = self._link_parameters.silent_after_ms
        if self._contact.record_failure(requested_at_ms, silent_after_ms):
            self._queue_for_owner(
                messages.WorkerSilent(
                    self._worker_id,
                    self._contact.lease_ends_at_ms,
                ),
            )

    def _queue_for_owner(self, message: object) -> None:
        self._outbox.append(message)

    def _flush_outbox(self) -> None:
        while self._outbox and self._owner.send(self._outbox[0]):
            self._outbox.popleft()


class _ContactState:
    """Last contact with the worker, its clock offset and its last lease end.

    The clock offset is the worker's clock minus the owner's clock.
    """

    def __init__(self, task_lease_ms: int) -> None:
        self.task_lease_ms = task_lease_ms
        self.lease_ends_at_ms = 0
        self.failing_since_ms: int | None = None
        self.is_silent = False
        self.incarnation = NO_INCARNATION
        self.offset_ms = 0
        self._last_report_at_ms: int | None = None

    def has_report_since(self, not_before_ms: int) -> bool:
        """Tell whether the worker reported at `not_before_ms` or later."""
        if self._last_report_at_ms is None:
            return False
        return self._last_report_at_ms >= not_before_ms

    def record_report(self, report: WorkerReport) -> None:
        """Update the clock offset and the incarnation from a report.

        The worker read its clock before now, so the difference is at most the
        true offset, and a time limit derived from it is never too late. Tasks
        of an older owner may hold leases that it granted just before.
        """
        current_ms = now_ms()
        self._last_report_at_ms = current_ms
        self.offset_ms = report.worker_clock_ms - current_ms
        self._extend_bound(current_ms + lapse_bound_ms(self.task_lease_ms))
        self.incarnation = report.incarnation
        self.failing_since_ms = None
        self.is_silent = False

    def record_leases(self, request: Exchange) -> None:
        """Record the leases that an exchange grants whenever it is executed.

        Must precede `record_report`: the leases end at a time that was derived
        from the report before. The worker's clock may run slow since then.
        """
        if self._last_report_at_ms is None:
            return
        if not request.renewals and not request.starts:
            return
        ends_at_ms = request.lease_until_worker_clock_ms - self.offset_ms
        since_report_ms = ends_at_ms - self._last_report_at_ms
        self._extend_bound(
            self._last_report_at_ms + lapse_bound_ms(since_report_ms)
        )

    def record_failure(
        self, requested_at_ms: int, silent_after_ms: int
    ) -> bool:
        """Record a failed exchange; `True` if the worker just became silent."""
        if self.failing_since_ms is None:
            self.failing_since_ms = requested_at_ms
        if self.is_silent or now_ms() - self.failing_since_ms < silent_after_ms:
            return False
        self.is_silent = True
        return True

    def _extend_bound(self, ends_at_ms: int) -> None:
        self.lease_ends_at_ms = max(self.lease_ends_at_ms, ends_at_ms)
