"""Calls of an owner to simulated workers.

Start orders arrive a step later, perhaps at a restarted worker; orders to
unreachable workers get no answer. Calls to a worker can be delayed for seconds:
such a call gets no answer, and the incarnation that runs then executes it.
"""

from dataclasses import dataclass

from fuchsiarill.graphs.effects import FenceIncarnation, StartRun, StopRun
from fuchsiarill.graphs.model import EndKind, Ticket, WorkerEntry
from fuchsiarill.ids import Epoch, FencingToken, WorkerId
from fuchsiarill.ports.agents import AgentFailure
from tests.graph_owner import Owner
from tests.simulated_channel import (
    Call,
    CallInTransit,
    RenewalCall,
    SimulatedChannel,
    StartCall,
    StopCall,
)
from tests.simulated_worker import SimulatedWorker

STEP_MS = 50
_CALL_TIMEOUT_MS = 350
# The time-out of a call, and the time for which a worker may hold its answer to
# a renewal.
RENEWAL_TIMEOUT_MS = 1350


@dataclass(frozen=True, slots=True)
class Grant:
    """A ticket that the advice service has granted to an incarnation."""

    worker: str
    born_ms: int
    expiry_ms: int


class SimulatedCalls:
    """An owner's core, simulated workers and the calls to them."""

    def __init__(self, *names: str) -> None:
        """Create live workers."""
        self.owner = Owner(*names)
        self.workers = {
            name: SimulatedWorker(name, born_ms=1) for name in names
        }
        # Epoch of the owner's tokens.
        self.epoch = Epoch(1)
        self.channels: dict[str, SimulatedChannel] = {}
        self.calls_in_transit: list[CallInTransit] = []
        # Calls to these workers are executed after so much time.
        self.delays_ms: dict[str, int] = {}
        # Share by which the clocks of later incarnations run slow.
        self.clock_slowness: float = 0
        # Time after which their runs with an expired lease end.
        self.lapse_delay_ms = 0
        # Start orders without an answer, with the time at which they time out.
        self.unanswered_starts: list[tuple[int, StartRun]] = []
        self.grants: dict[Ticket, Grant] = {}

    @property
    def now_ms(self) -> int:
        """Return the runtime clock."""
        return self.owner.now_ms

    def channel(self, name: str) -> SimulatedChannel:
        """Return the owner's channel to a worker."""
        new_channel = SimulatedChannel(FencingToken(self.epoch))
        return self.channels.setdefault(name, new_channel)

    def apply_directory(self, entries: list[WorkerEntry]) -> None:
        """Pass a directory to the owner."""
        self.owner.core.update_workers(entries, self.now_ms)
        self.owner.core.record_workers([row.worker for row in entries])

    def replace_incarnation(self, name: str) -> None:
        """Restart a worker under its id without an entry in the directory.

        The owner learns of the restart from the worker, or from the next
        directory.
        """
        self.workers[name] = SimulatedWorker(
            name,
            born_ms=self.now_ms,
            clock_slowness=self.clock_slowness,
            lapse_delay_ms=self.lapse_delay_ms,
        )

    def silence_renewal(self, name: str) -> None:
        """Leave the pending renewal to a worker without an answer."""
        timeout_ms = self.now_ms + RENEWAL_TIMEOUT_MS
        self.channel(name).pending_until_ms = timeout_ms

    def _send_start(self, order: StartRun) -> None:
        channel = self.channel(order.worker)
        expiry_ms = channel.expiry_ms(self.now_ms)
        if expiry_ms is None:
            self._answer_start(order, AgentFailure.NOT_SENT)
            return
        self.owner.core.renewal_sent(order.worker, self.now_ms)
        call = StartCall(order, channel.token, expiry_ms)
        if not self._delay(call):
            self.calls_in_transit.append(
                CallInTransit(self.now_ms + STEP_MS, call, is_accepted=False)
            )
            return
        if self.calls_in_transit[-1].has_timed_out:
            timeout_ms = self.now_ms + _CALL_TIMEOUT_MS
            self.unanswered_starts.append((timeout_ms, order))

    def _delay(self, call: Call) -> bool:
        """Delay a call that a worker accepts; returns whether it is delayed."""
        delay_ms = self.delays_ms.get(call.worker)
        if delay_ms is None or not self.workers[call.worker].is_reachable:
            return False
        self.calls_in_transit.append(
            CallInTransit(
                self.now_ms + delay_ms,
                call,
                is_accepted=True,
                has_timed_out=delay_ms >= _CALL_TIMEOUT_MS,
            )
        )
        return True

    def _execute_due_calls(self) -> None:
        due = [
            row for row in self.calls_in_transit if row.due_ms <= self.now_ms
        ]
        self.calls_in_transit = [
            row for row in self.calls_in_transit if row.due_ms > self.now_ms
        ]
        for row in due:
            worker = self.workers[row.call.worker]
            match row.call:
                case StartCall():
                    self._execute_start(worker, row, row.call)
                case StopCall():
                    self._execute_stop(worker, row.call)
                case RenewalCall():
                    self._execute_renewal(worker, row.call)

    def _execute_start(
        self, worker: SimulatedWorker, transit: CallInTransit, call: StartCall
    ) -> None:
        failure: AgentFailure | None = AgentFailure.UNKNOWN
        is_executed = transit.is_accepted or worker.is_reachable
        if is_executed:
            failure = self._deliver_start(worker, call)
        if transit.has_timed_out:
            return
        if not worker.is_reachable or worker.loses_answers:
            timeout_ms = self.now_ms + _CALL_TIMEOUT_MS
            self.unanswered_starts.append((timeout_ms, call.order))
            return
        self._check_clock(worker)
        channel = self.channel(worker.name)
        if failure is None and call.token != channel.token:
            # Another incarnation may have answered.
            failure = AgentFailure.UNKNOWN
        self._answer_start(call.order, failure)

    def _check_clock(self, worker: SimulatedWorker) -> None:
        """Tell the owner if a later incarnation has answered an order."""
        clock_ms = worker.clock_ms(self.now_ms)
        if self.channel(worker.name).clock_seen(clock_ms):
            self.owner.core.restart_suspected(
                WorkerId(worker.name), self.now_ms
            )

    def _answer_start(
        self, order: StartRun, failure: AgentFailure | None
    ) -> None:
        self.owner.core.start_answered(
            order.worker, order.task, order.attempt, failure, self.now_ms
        )

    def _deliver_start(
        self, worker: SimulatedWorker, call: StartCall
    ) -> AgentFailure | None:
        """Execute a start order; returns why it is refused, if it is."""
        order = call.order
        if not worker.admits(call.token):
            return AgentFailure.FENCED
        if order.attempt <= worker.refused_attempts.get(order.task, 0):
            # Its expiry applies to the other runs all the same.
            worker.extend_leases(call.expiry_ms, self.now_ms)
            return AgentFailure.SUPERSEDED
        if call.expiry_ms < worker.clock_ms(self.now_ms):
            return AgentFailure.EXPIRED
        if self._has_invalid_ticket(worker, order):
            return AgentFailure.TICKET_INVALID
        worker.extend_leases(call.expiry_ms, self.now_ms)
        self._start_run(worker, order)
        return None

    def _has_invalid_ticket(
        self, worker: SimulatedWorker, order: StartRun
    ) -> bool:
        """Tell whether a ticket has expired or is of another incarnation."""
        if order.ticket is None:
            return False
        grant = self.grants.get(order.ticket)
        return (
            grant is None
            or grant.worker != worker.name
            or grant.born_ms != worker.born_ms
            or grant.expiry_ms < self.now_ms
        )

    def _fence(self, order: FenceIncarnation) -> None:
        """Renew under a new token if the directory lists a restart."""
        self.channel(order.worker).incarnation_seen(order.born_ms)
        self._send_renewal(self.workers[order.worker])

    def _send_stop(self, order: StopRun) -> None:
        call = StopCall(order, self.channel(order.worker).token)
        worker = self.workers[order.worker]
        if self._delay(call) or not worker.is_reachable:
            return
        self._execute_stop(worker, call)
        if worker.loses_answers:
            return
        self._check_clock(worker)
        self.owner.core.stop_answered(
            order.worker,
            order.task,
            order.attempt,
            None,
            self.now_ms,
        )

    def _execute_stop(self, worker: SimulatedWorker, call: StopCall) -> None:
        if not worker.admits(call.token):
            return
        order = call.order
        worker.refuse(order.task, order.attempt)
        if (order.task, order.attempt) in worker.runs:
            worker.end((order.task, order.attempt), EndKind.STOPPED)

    def _renew(self, worker: SimulatedWorker) -> None:
        """Send the next renewal, unless one is pending."""
        channel = self.channel(worker.name)
        if channel.pending_until_ms is None:
            self._send_renewal(worker)
        elif channel.pending_until_ms <= self.now_ms:
            self._fail_renewal(worker)

    def _send_renewal(self, worker: SimulatedWorker) -> None:
        name = WorkerId(worker.name)
        core = self.owner.core
        channel = self.channel(name)
        if not worker.is_reachable:
            self._fail_renewal(worker)
            return
        call = RenewalCall(
            name, channel.token, channel.renewal_expiry_ms(self.now_ms)
        )
        if call.expiry_ms is not None:
            core.renewal_sent(name, self.now_ms)
        if self._delay(call):
            if channel.pending_until_ms is None:
                self.silence_renewal(name)
            return
        self._execute_renewal(worker, call)
        report = worker.report(self.now_ms)
        if not channel.report_received(report, self.now_ms):
            core.restart_suspected(name, self.now_ms)
            return
        self._record_ends(worker)
        core.worker_reported(
            name, report, call.token, self.now_ms - 1, self.now_ms
        )
        worker.unreported_ends.clear()

    def _fail_renewal(self, worker: SimulatedWorker) -> None:
        self.channel(worker.name).renewal_failed()
        self.owner.core.worker_failed(
            WorkerId(worker.name), AgentFailure.UNKNOWN, self.now_ms
        )

    def _execute_renewal(
        self, worker: SimulatedWorker, call: RenewalCall
    ) -> None:
        if worker.admits(call.token) and call.expiry_ms is not None:
            worker.extend_leases(call.expiry_ms, self.now_ms)

    def _time_out_starts(self) -> None:
        timed_out_starts = [
            order
            for at_ms, order in self.unanswered_starts
            if at_ms <= self.now_ms
        ]
        self.unanswered_starts = [
            row for row in self.unanswered_starts if row[0] > self.now_ms
        ]
        for order in timed_out_starts:
            self.channel(order.worker).has_unanswered_start = True
            self._answer_start(order, AgentFailure.UNKNOWN)

    def _start_run(self, worker: SimulatedWorker, order: StartRun) -> None:
        raise NotImplementedError

    def _record_ends(self, worker: SimulatedWorker) -> None:
        raise NotImplementedError
