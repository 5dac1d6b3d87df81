"""What the channel to a worker knows of the incarnation that it calls.

A worker may restart under its id, and a call without an answer may be executed
later, by an incarnation for which it was not meant. That incarnation has seen
no fencing token and its clock has begun anew, so that an expiry on the former
clock is too late there. One rule covers all calls: those that depend on the
incarnation (starts, and renewals that extend leases or acknowledge ends) are
sent only after it has answered a renewal with a fencing token of its own. That
answer lists what earlier calls have started, and no earlier call has an effect
after it.

The same token tells which incarnation is the present one: that which has
answered the newest token. Its start time, `born_ms`, tells it apart from others
and orders nothing, since the time of day of its host may be set back, and since
an entry in the directory or a report may be older than what is known.
"""

from collections.abc import Callable
from enum import Enum
from typing import Final

from fuchsiarill import events, graph_events
from fuchsiarill.clock import now_ms
from fuchsiarill.graphs.fencing import BORN_UNKNOWN_MS, FencingTokenSource
from fuchsiarill.graphs.model import BornMs, WorkerReport
from fuchsiarill.graphs.settings import TaskLeaseSettings
from fuchsiarill.graphs.states import ContactEvent, ContactState
from fuchsiarill.ids import FencingToken, WorkerId
from fuchsiarill.registry import Registry
from fuchsiarill.state_chart import load_chart

# Both clocks are read in whole milliseconds.
_ROUNDING_MS: Final = 2


class ReportOutcome(Enum):
    """Whether a report is of an incarnation that earlier calls can't reach."""

    FENCED = 'fenced'
    # The call that it answers was sent before the present token was taken.
    OUTDATED = 'outdated'
    # The incarnation has not answered a call with a token of its own.
    UNFENCED = 'unfenced'


class WorkerContact:
    """Contact of one channel to a worker, across incarnations of it."""

    def __init__(
        self,
        worker: WorkerId,
        tokens: FencingTokenSource,
        leases: TaskLeaseSettings,
    ) -> None:
        """Take a token; the worker has not been called yet."""
        self.state = _CHART.initial
        self.token = tokens.take()
        self.born_ms = BORN_UNKNOWN_MS
        # The worker's clock in the last report, which came at `_reported_ms`.
        self.reported_clock_ms = 0
        self._reported_ms = now_ms()
        self._worker = worker
        self._tokens = tokens
        self._clock_rate_min = 1 - leases.clock_slowness
        # Worker's clock minus the runtime clock.
        self._clock_offset_ms = 0

    @property
    def is_confirmed(self) -> bool:
        """Return whether calls that depend on the incarnation may be sent."""
        return self.state is ContactState.CONFIRMED

    @property
    def earliest_clock_ms(self) -> int:
        """Return the lowest clock with which a call sent now is answered.

        An incarnation that started after the last report has a lower clock.
        """
        passed_ms = now_ms() - self._reported_ms - _ROUNDING_MS
        return self.reported_clock_ms + int(passed_ms * self._clock_rate_min)

    def expiry_ms(self, duration_ms: int) -> int:
        """Return when leases renewed now expire, by the worker's clock."""
        return now_ms() + self._clock_offset_ms + duration_ms

    def is_outdated(self, token: FencingToken) -> bool:
        """Tell whether another incarnation may have answered a call."""
        return token != self.token

    def apply_report(
        self, report: WorkerReport, token: FencingToken
    ) -> ReportOutcome:
        """Apply a report that answers a renewal with `token`."""
        if self.is_outdated(token):
            return ReportOutcome.OUTDATED
        if report.born_ms != self.born_ms:
            # The chart ignores this in `unfenced`, where no call with the
            # present token depends on the incarnation.
            self._apply_event(ContactEvent.OTHER_INCARNATION)
            if self.is_outdated(token):
                return ReportOutcome.UNFENCED
        self._apply_fenced(report)
        return ReportOutcome.FENCED

    def call_failed(self) -> None:
        """Note that a renewal got no report."""
        self._apply_event(ContactEvent.CALL_FAILED)

    def incarnation_listed(self, born_ms: BornMs) -> None:
        """Note an incarnation in the directory."""
        if born_ms != self.born_ms:
            self._apply_event(ContactEvent.OTHER_INCARNATION)

    def order_answered(
        self, token: FencingToken, clock_ms: int, earliest_clock_ms: int
    ) -> bool:
        """Check which incarnation has answered an order.

        `earliest_clock_ms` is that of the time when the order was sent.
        Returns whether the incarnation that it was meant for has answered.
        """
        if self.is_outdated(token):
            return False
        if clock_ms >= earliest_clock_ms:
            return True
        events.emit(
            graph_events.ORDER_MISDIRECTED,
            worker=self._worker,
            clock_ms=clock_ms,
            earliest_clock_ms=earliest_clock_ms,
        )
        self._apply_event(ContactEvent.OTHER_INCARNATION)
        return False

    def take_token(self) -> None:
        """Take a higher token, which later calls carry."""
        self.token = self._tokens.take()
        # Nothing is known of the clock of the incarnation that is called now.
        self.reported_clock_ms = 0
        self._reported_ms = now_ms()

    def _apply_fenced(self, report: WorkerReport) -> None:
        if self.state is ContactState.UNFENCED and self.born_ms:
            events.emit(
                graph_events.INCARNATION_FENCED,
                worker=self._worker,
                born_ms=report.born_ms,
                previous_born_ms=self.born_ms,
                epoch=self.token.epoch,
                sequence=self.token.sequence,
                running=len(report.running),
                ended=len(report.ended),
            )
        self.born_ms = report.born_ms
        self._apply_event(ContactEvent.ANSWERED)
        # The delay of the report makes the offset too low, which shortens the
        # leases. An older, larger offset would lengthen them beyond
        # `longest_ms` on a worker whose clock is slow.
        self._clock_offset_ms = report.clock_ms - now_ms()
        if report.clock_ms >= self.reported_clock_ms:
            self.reported_clock_ms = report.clock_ms
            self._reported_ms = now_ms()

    def _apply_event(self, event: ContactEvent) -> None:
        transition = _CHART.step(self.state, event)
        if transition is None:
            return
        self.state = transition.target
        for action in transition.actions:
            CONTACT_ACTIONS.lookup(action)(self)


_Action = Callable[[WorkerContact], None]

CONTACT_ACTIONS: Final[Registry[str, _Action]] = Registry('contact actions')

CONTACT_ACTIONS.register('take_token')(WorkerContact.take_token)

_CHART: Final = load_chart(
    'worker_contact', ContactState, ContactEvent, CONTACT_ACTIONS
)
