"""Simulation of an owner's channel to a worker, and of calls in transit.

Calls that depend on the incarnation, which are starts and renewals with an
expiry, are sent only while the present incarnation is known to be fenced: it
has answered a renewal with a token that no such call carried before.
"""

from dataclasses import dataclass, replace

from fuchsiarill.graphs.effects import StartRun, StopRun
from fuchsiarill.graphs.model import BornMs, WorkerReport
from fuchsiarill.graphs.settings import TaskLeaseSettings
from fuchsiarill.ids import FencingToken, WorkerId

_LEASE_MS = TaskLeaseSettings().duration_ms


@dataclass(frozen=True, slots=True)
class StartCall:
    """A start order with the channel's token and the expiry of its lease."""

    order: StartRun
    token: FencingToken
    expiry_ms: int

    @property
    def worker(self) -> WorkerId:
        """Return the worker that the call is meant for."""
        return self.order.worker


@dataclass(frozen=True, slots=True)
class StopCall:
    """A stop order with the channel's token."""

    order: StopRun
    token: FencingToken

    @property
    def worker(self) -> WorkerId:
        """Return the worker that the call is meant for."""
        return self.order.worker


@dataclass(frozen=True, slots=True)
class RenewalCall:
    """A renewal; without an expiry it extends no leases."""

    worker: WorkerId
    token: FencingToken
    expiry_ms: int | None


Call = StartCall | StopCall | RenewalCall


@dataclass(frozen=True, slots=True)
class CallInTransit:
    """A call and the time at which a worker executes it.

    The incarnation that runs then executes it, also behind a cut if the call
    was accepted before the cut.
    """

    due_ms: int
    call: Call
    is_accepted: bool
    # The owner has taken the call as failed when it is executed.
    has_timed_out: bool = False


@dataclass(slots=True)
class SimulatedChannel:
    """What an owner knows of a worker when it sends a call."""

    token: FencingToken
    born_ms: int = 0
    # The present incarnation, as far as known, has answered a renewal with a
    # token that no call to a former incarnation carried.
    is_fenced: bool = False
    # The worker has answered the last renewal.
    is_confirmed: bool = False
    # Worker's clock minus the runtime clock in the last report.
    clock_offset_ms: int = 0
    reported_clock_ms: int = 0
    # A start has got no answer since the last report.
    has_unanswered_start: bool = False
    # When the renewal that has got no answer is taken as failed.
    pending_until_ms: int | None = None

    def expiry_ms(self, now_ms: int) -> int | None:
        """Return the expiry of a lease that a call sent now extends.

        Returns `None` while no such call is sent.
        """
        if not self.is_fenced or not self.is_confirmed:
            return None
        return now_ms + self.clock_offset_ms + _LEASE_MS

    def renewal_expiry_ms(self, now_ms: int) -> int | None:
        """Return the same for a renewal, which waits for unanswered starts."""
        return None if self.has_unanswered_start else self.expiry_ms(now_ms)

    def incarnation_seen(self, born_ms: int) -> None:
        """Take a higher token if the directory lists another incarnation."""
        if born_ms != self.born_ms:
            self.restart_seen()

    def clock_seen(self, clock_ms: int) -> bool:
        """Take a higher token if the clock of an answer has begun anew.

        Returns whether it has.
        """
        if clock_ms >= self.reported_clock_ms:
            return False
        self.restart_seen()
        return True

    def restart_seen(self) -> None:
        """Take a higher token, unless no call has used the present one."""
        if not self.is_fenced:
            return
        self.token = replace(self.token, sequence=self.token.sequence + 1)
        self.is_fenced = False
        # Nothing is known of the clock of the incarnation that runs now.
        self.reported_clock_ms = 0
        # The renewal with the new token does not wait for this one.
        self.pending_until_ms = None

    def report_received(self, report: WorkerReport, now_ms: int) -> bool:
        """Tell whether the report is that of a fenced incarnation.

        The first report of another incarnation is not, if it answers a renewal
        with a token that calls to the former incarnation may carry.
        """
        self.is_confirmed = True
        self.has_unanswered_start = False
        if self.is_fenced and report.born_ms != self.born_ms:
            self.restart_seen()
            return False
        self.born_ms = BornMs(report.born_ms)
        self.is_fenced = True
        self.clock_offset_ms = report.clock_ms - now_ms
        self.reported_clock_ms = report.clock_ms
        return True

    def renewal_failed(self) -> None:
        """Extend no leases until a renewal is answered."""
        self.is_confirmed = False
        self.pending_until_ms = None
