"""Sends the orders of a pool's owner to one worker.

An order starts, stops or paces a run, or requests a report. Reports are
requested by renewals, which the channel also sends without an order. A renewal
may extend all task leases of the worker, and the worker may hold its answer,
for at most `wait_ms`, until a run ends.
"""

import asyncio
from dataclasses import dataclass
from typing import Any, Final

from returns.result import Failure, Result, Success

from fuchsiarill.actor import Mailbox, handles
from fuchsiarill.clock import now_ms, sleep_ms
from fuchsiarill.cluster.spawning_actor import SpawningActor
from fuchsiarill.graphs.effects import (
    FenceIncarnation,
    PaceRun,
    RequestReport,
    StartRun,
    StopRun,
)
from fuchsiarill.graphs.fencing import FencingTokenSource
from fuchsiarill.graphs.lease_guard import LeaseGuard
from fuchsiarill.graphs.model import (
    NO_END,
    BornMs,
    EndSequence,
    StartOrder,
    WorkerReport,
)
from fuchsiarill.graphs.owner_messages import (
    OwnershipLost,
    RenewalFailed,
    RenewalSent,
    RestartSuspected,
    RunEndsDurable,
    StartAnswered,
    StopAnswered,
    WorkerReported,
)
from fuchsiarill.graphs.settings import GraphSettings
from fuchsiarill.graphs.worker_contact import ReportOutcome, WorkerContact
from fuchsiarill.ids import FencingToken
from fuchsiarill.ports.agents import (
    AgentAddress,
    AgentFailure,
    AgentPort,
    PaceOrder,
    RenewalOrder,
    StopOrder,
)

_RETRY_DELAY_MS: Final = 150
# Run ends become durable within a few store calls. The wait is bounded, since
# leases have to be renewed.
_DURABLE_WAIT_MAX_MS: Final = 500


@dataclass(frozen=True, slots=True)
class ChannelContext:
    """Parts of the owner that all its channels share."""

    settings: GraphSettings
    agents: AgentPort
    tokens: FencingTokenSource
    guard: LeaseGuard
    owner: Mailbox


class WorkerChannel(SpawningActor):
    """Connection of an owner to one worker of its pool."""

    def __init__(self, agent: AgentAddress, context: ChannelContext) -> None:
        """Create the channel; `start` starts the renewals."""
        super().__init__(f'channel {agent.worker}')
        self.agent = agent
        self._context = context
        self._contact = WorkerContact(
            agent.worker, context.tokens, context.settings.task_lease
        )
        self._reported_end = NO_END
        self._durable_end = NO_END
        self._ends_durable_event = asyncio.Event()
        # The last report lacked some ends.
        self._has_more_ends = False
        # The last report listed ends, which the worker keeps.
        self._lists_ends = False
        self._starts_in_progress_count = 0
        # Orders that have been taken, and whose calls have not begun.
        self._unsent_starts: list[StartRun] = []
        # A report requested before this time may lack an end that has the
        # number of a durable one; `None` while nothing tells of that.
        self._start_unconfirmed_ms: int | None = None
        # When a start has got no answer last; `None` once a report requested
        # since then has come. A later incarnation may execute the start, and
        # then a renewal, so that none extends leases meanwhile.
        self._start_unanswered_ms: int | None = None

    def start(self) -> None:
        """Run the actor, and the renewals in a task of their own."""
        super().start()
        self._stop_if_exhausted()
        self._tasks.append(
            asyncio.create_task(self._renew_forever(), name=self.name),
        )

    async def stop(self) -> None:
        """Cancel the calls; tell the owner which starts have not been sent."""
        await super().stop()
        while len(self.mailbox):
            message = await self.mailbox.receive()
            if isinstance(message, StartRun):
                self._unsent_starts.append(message)
        for start in self._unsent_starts:
            self._context.owner.send(
                _start_answered(start, AgentFailure.NOT_SENT)
            )
        self._unsent_starts.clear()

    def snapshot(self) -> dict[str, Any]:
        """Return the state for a dump."""
        return {
            **super().snapshot(),
            'address': self.agent.address,
            'durable_end': self._durable_end,
            'seen_end': self._reported_end,
            'contact': self._contact.state.value,
            'token': str(self._contact.token),
            'has_more_ends': self._has_more_ends,
        }

    @handles(StartRun)
    async def on_start(self, message: StartRun) -> None:
        """Send a start order."""
        self._unsent_starts.append(message)
        self.spawn(self._send_start(message))

    @handles(StopRun)
    async def on_stop(self, message: StopRun) -> None:
        """Send a stop order."""
        self.spawn(self._send_stop(message))

    @handles(PaceRun)
    async def on_pace(self, message: PaceRun) -> None:
        """Send a pace order; if it is lost, the next one corrects the pace."""
        self.spawn(self._send_pace(message))

    @handles(RequestReport)
    async def on_request_report(self, message: RequestReport) -> None:
        """Request a report at once, even while the worker holds a renewal."""
        self.spawn(self._request_report())

    @handles(FenceIncarnation)
    async def on_fence(self, message: FenceIncarnation) -> None:
        """Call a listed incarnation under a token of its own, at once."""
        self._contact.incarnation_listed(message.born_ms)
        self.spawn(self._request_report())

    @handles(RunEndsDurable)
    async def on_ends_durable(self, message: RunEndsDurable) -> None:
        """Let the worker discard run ends, unless it has restarted since."""
        if message.born_ms == self._contact.born_ms:
            self._durable_end = max(self._durable_end, message.sequence)
            self._ends_durable_event.set()

    async def _request_report(self) -> None:
        await self._send_renewal(wait_ms=0)

    async def _renew_forever(self) -> None:
        wait_ms = 0
        while True:
            if not self._context.guard.may_send_orders():
                await sleep_ms(_RETRY_DELAY_MS)
                continue
            if await self._send_renewal(wait_ms):
                wait_ms = self._context.settings.task_lease.renewal_wait_ms
                await self._wait_for_durable_ends()
                continue
            wait_ms = 0
            await sleep_ms(_RETRY_DELAY_MS)

    async def _wait_for_durable_ends(self) -> None:
        """Wait until all reported run ends are durable, up to a limit.

        The next renewal then lets the worker discard them.
        """
        deadline_ms = now_ms() + _DURABLE_WAIT_MAX_MS
        while self._durable_end < self._reported_end:
            remaining_ms = deadline_ms - now_ms()
            if remaining_ms <= 0:
                # Undiscarded ends make the next renewal return at once anyway.
                return
            self._ends_durable_event.clear()
            try:
                async with asyncio.timeout(remaining_ms / 1000):
                    await self._ends_durable_event.wait()
            except TimeoutError:
                return

    async def _send_renewal(self, wait_ms: int) -> bool:
        """Renew the leases; returns whether a report has been applied.

        Repeats the renewal with a new token if another incarnation answers.
        """
        while True:
            token = self._contact.token
            requested_ms = now_ms()
            call_result = await self._call_renewal(wait_ms)
            if isinstance(call_result, Failure):
                if not self._contact.is_outdated(token):
                    self._contact.call_failed()
                    self._handle_failure(call_result.failure())
                return False
            report = call_result.unwrap()
            former_born_ms = self._contact.born_ms
            outcome = self._contact.apply_report(report, token)
            if outcome is ReportOutcome.UNFENCED:
                self._report_restart()
                wait_ms = 0
                continue
            if outcome is ReportOutcome.FENCED:
                self._apply_report(report, requested_ms, former_born_ms)
                self._context.owner.send(
                    WorkerReported(
                        self.agent.worker, report, token, requested_ms
                    ),
                )
            return outcome is ReportOutcome.FENCED

    async def _call_renewal(
        self, wait_ms: int
    ) -> Result[WorkerReport, AgentFailure]:
        if self._has_more_ends or self._durable_end < self._reported_end:
            wait_ms = 0
        extends_leases = (
            self._contact.is_confirmed and self._start_unanswered_ms is None
        )
        order = RenewalOrder(
            self._contact.token,
            self._acknowledged_end(),
            self._lease_expiry_ms() if extends_leases else None,
            wait_ms if extends_leases else 0,
        )
        if order.expiry_ms is not None:
            self._context.owner.send(RenewalSent(self.agent.worker))
        return await self._context.agents.renew(
            self.agent,
            order,
            self._context.settings.calls.worker_timeout_ms,
        )

    def _acknowledged_end(self) -> EndSequence:
        """Return up to which number the worker may discard its run ends.

        The numbers begin anew in each incarnation. A worker that may have
        restarted and run a task since its last report keeps all ends, since it
        would discard one that no report has listed.
        """
        if not self._contact.is_confirmed or self._starts_in_progress_count:
            return NO_END
        if self._start_unconfirmed_ms is not None:
            return NO_END
        # A renewal may be executed by a later incarnation, so none repeats an
        # acknowledgement that the worker has got.
        return self._durable_end if self._lists_ends else NO_END

    def _apply_report(
        self, report: WorkerReport, requested_ms: int, former_born_ms: BornMs
    ) -> None:
        if report.born_ms != former_born_ms:
            self._reported_end = NO_END
            self._durable_end = NO_END
        self._has_more_ends = report.has_more_ends
        self._lists_ends = bool(report.ended)
        unconfirmed_ms = self._start_unconfirmed_ms
        if unconfirmed_ms is not None and unconfirmed_ms <= requested_ms:
            self._start_unconfirmed_ms = None
        unanswered_ms = self._start_unanswered_ms
        if unanswered_ms is not None and unanswered_ms <= requested_ms:
            self._start_unanswered_ms = None
        for end in report.ended:
            self._reported_end = EndSequence(
                max(self._reported_end, end.sequence)
            )

    def _handle_failure(self, failure: AgentFailure) -> None:
        if failure is AgentFailure.FENCED:
            self._context.owner.send(
                OwnershipLost(f'{self.agent.worker} has a later epoch'),
            )
        self._context.owner.send(RenewalFailed(self.agent.worker, failure))

    def _report_restart(self) -> None:
        """Tell the owner of an incarnation that is not fenced yet."""
        self._context.owner.send(RestartSuspected(self.agent.worker))
        self._stop_if_exhausted()

    def _stop_if_exhausted(self) -> None:
        if self._context.tokens.is_exhausted:
            self._context.owner.send(
                OwnershipLost('the fencing tokens of the epoch are used up'),
            )

    def _lease_expiry_ms(self) -> int | None:
        """Return the expiry of leases renewed now, by the worker's clock.

        Returns `None`, so that no lease is extended, until the worker has
        answered the last renewal: otherwise the owner could never know that
        the leases of its runs have expired. A process that may have lost the
        pool extends no lease either, since the next owner counts on its end.
        """
        if not self._contact.is_confirmed:
            return None
        if not self._context.guard.may_send_orders():
            return None
        task_lease = self._context.settings.task_lease
        return self._contact.expiry_ms(task_lease.duration_ms)

    async def _send_start(self, message: StartRun) -> None:
        self._unsent_starts.remove(message)
        failure: AgentFailure | None = AgentFailure.UNKNOWN
        try:
            failure = await self._order_start(message)
        finally:
            # Also if the channel is replaced before the answer.
            self._context.owner.send(_start_answered(message, failure))

    async def _order_start(self, message: StartRun) -> AgentFailure | None:
        expiry_ms = self._lease_expiry_ms()
        if expiry_ms is None:
            return AgentFailure.NOT_SENT
        token = self._contact.token
        order = StartOrder(
            message.task,
            message.attempt,
            message.payload,
            token,
            expiry_ms,
            message.checkpoint,
            message.ticket,
        )
        self._context.owner.send(RenewalSent(self.agent.worker))
        earliest_clock_ms = self._contact.earliest_clock_ms
        self._starts_in_progress_count += 1
        try:
            call_result = await self._context.agents.start(
                self.agent,
                order,
                self._context.settings.calls.worker_timeout_ms,
            )
        finally:
            self._starts_in_progress_count -= 1
        match call_result:
            case Success(clock_ms):
                # An answer that a report has overtaken is of an earlier time.
                if clock_ms < self._contact.reported_clock_ms:
                    self._start_unconfirmed_ms = now_ms()
                if not self._apply_answer(token, clock_ms, earliest_clock_ms):
                    return AgentFailure.UNKNOWN
            case Failure(AgentFailure() as failure):
                if failure is AgentFailure.UNKNOWN:
                    self._start_unconfirmed_ms = now_ms()
                    self._start_unanswered_ms = now_ms()
                is_news = not self._contact.is_outdated(token)
                if failure is AgentFailure.FENCED and is_news:
                    self._handle_failure(failure)
                return failure
        return None

    def _apply_answer(
        self, token: FencingToken, clock_ms: int, earliest_clock_ms: int
    ) -> bool:
        """Return whether the incarnation that was called has answered.

        The first answer of another one triggers a renewal with a new token.
        """
        present_token = self._contact.token
        if self._contact.order_answered(token, clock_ms, earliest_clock_ms):
            return True
        if self._contact.is_outdated(present_token):
            self._report_restart()
            self.spawn(self._request_report())
        return False

    async def _send_stop(self, message: StopRun) -> None:
        if not self._context.guard.may_send_orders():
            return
        token = self._contact.token
        earliest_clock_ms = self._contact.earliest_clock_ms
        call_result = await self._context.agents.stop(
            self.agent,
            StopOrder(message.task, message.attempt, token),
            self._context.settings.calls.worker_timeout_ms,
        )
        failure = None
        match call_result:
            case Success(clock_ms):
                self._apply_answer(token, clock_ms, earliest_clock_ms)
            case Failure(AgentFailure() as call_failure):
                failure = call_failure
        self._context.owner.send(
            StopAnswered(
                self.agent.worker,
                message.task,
                message.attempt,
                failure,
            ),
        )

    async def _send_pace(self, message: PaceRun) -> None:
        if not self._context.guard.may_send_orders():
            return
        token = self._contact.token
        earliest_clock_ms = self._contact.earliest_clock_ms
        call_result = await self._context.agents.pace(
            self.agent,
            PaceOrder(message.task, message.attempt, message.percent, token),
            self._context.settings.calls.worker_timeout_ms,
        )
        if isinstance(call_result, Success):
            self._apply_answer(token, call_result.unwrap(), earliest_clock_ms)


def _start_answered(
    start: StartRun, failure: AgentFailure | None
) -> StartAnswered:
    return StartAnswered(start.worker, start.task, start.attempt, failure)
