"""An agent whose behaviour a test sets, and a channel to it."""

from dataclasses import dataclass, field
from typing import Final

from returns.result import Failure, Result, Success

from fuchsiarill.actor import Mailbox
from fuchsiarill.clock import now_ms, sleep_ms
from fuchsiarill.graphs.effects import (
    StartRun,
)
from fuchsiarill.graphs.fencing import FencingTokenSource
from fuchsiarill.graphs.lease_guard import LeaseGuard
from fuchsiarill.graphs.model import (
    NO_CHECKPOINT,
    BornMs,
    StartOrder,
    WorkerReport,
)
from fuchsiarill.graphs.worker_channel import ChannelContext, WorkerChannel
from fuchsiarill.ids import (
    NO_TOKEN,
    Epoch,
    FencingToken,
    WorkerId,
)
from fuchsiarill.ports.agents import (
    AgentAddress,
    AgentFailure,
    PaceOrder,
    RenewalOrder,
    StopOrder,
)
from tests.graph_cell import settings_of
from tests.graph_owner import ended, task


WORKER: Final = WorkerId('w0')
FOREVER_MS: Final = 10**9
_DELAY_MS: Final = 5


@dataclass(slots=True)
class ScriptedAgent:
    """An agent whose incarnation, clock and lost answers a test sets."""

    born_ms: BornMs = BornMs(1)
    started_ms: int = 0
    # Clock rate of the worker relative to the runtime clock.
    clock_rate: float = 1.0
    ends_count: int = 0
    ends_page_count: int = 500
    reports_count: int = 0
    loses_start_answers: bool = False
    token: FencingToken = NO_TOKEN
    discarded_end: int = 0
    loses_reports: bool = False
    # Delays of the next reports after their renewals have been executed.
    report_delays_ms: list[int] = field(default_factory=list)
    renewals: list[tuple[int, RenewalOrder]] = field(default_factory=list)

    def clock_ms(self) -> int:
        """Return the time since the start of the incarnation."""
        return int((now_ms() - self.started_ms) * self.clock_rate)

    def restart(self) -> None:
        """Begin an incarnation without run ends."""
        self._begin(self.born_ms + 1)

    def restart_set_back(self) -> None:
        """Begin an incarnation whose start time is below that of the former."""
        self._begin(self.born_ms - 1)

    async def start(
        self, agent: AgentAddress, order: StartOrder, timeout_ms: int
    ) -> Result[int, AgentFailure]:
        """Execute a start."""
        await sleep_ms(_DELAY_MS)
        if order.token < self.token:
            return Failure(AgentFailure.FENCED)
        if self.loses_start_answers:
            await sleep_ms(timeout_ms)
            return Failure(AgentFailure.UNKNOWN)
        return Success(self.clock_ms())

    async def stop(
        self, agent: AgentAddress, order: StopOrder, timeout_ms: int
    ) -> Result[int, AgentFailure]:
        """Execute a stop."""
        return Success(self.clock_ms())

    async def pace(
        self, agent: AgentAddress, order: PaceOrder, timeout_ms: int
    ) -> Result[int, AgentFailure]:
        """Execute a change of pace."""
        return Success(self.clock_ms())

    async def renew(
        self, agent: AgentAddress, order: RenewalOrder, timeout_ms: int
    ) -> Result[WorkerReport, AgentFailure]:
        """Answer after `wait_ms` with all ends that are not acknowledged."""
        self.renewals.append((now_ms(), order))
        await sleep_ms(_DELAY_MS + order.wait_ms)
        if order.token < self.token:
            return Failure(AgentFailure.FENCED)
        self.token = order.token
        if self.loses_reports:
            return Failure(AgentFailure.UNKNOWN)
        self.reports_count += 1
        self.discarded_end = max(self.discarded_end, order.acknowledged)
        rows = tuple(
            ended(task('a', position=sequence), sequence)
            for sequence in range(self.discarded_end + 1, self.ends_count + 1)
        )
        page = rows[: self.ends_page_count]
        report = WorkerReport(
            self.clock_ms(),
            self.born_ms,
            (),
            page,
            has_more_ends=len(rows) >= self.ends_page_count,
        )
        if self.report_delays_ms:
            await sleep_ms(self.report_delays_ms.pop(0))
        return Success(report)

    def _begin(self, born_ms: int) -> None:
        self.born_ms = BornMs(born_ms)
        self.started_ms = now_ms()
        self.ends_count = 0
        self.discarded_end = 0
        self.token = NO_TOKEN


def open_channel(
    agent: ScriptedAgent,
    guard: LeaseGuard | None = None,
    owner: Mailbox | None = None,
    tokens: FencingTokenSource | None = None,
) -> WorkerChannel:
    """Start a channel to the agent.

    `owner` receives its messages.
    """
    context = ChannelContext(
        settings_of('p0'),
        agent,
        tokens or FencingTokenSource(Epoch(1)),
        guard or LeaseGuard(FOREVER_MS),
        Mailbox() if owner is None else owner,
    )
    channel = WorkerChannel(AgentAddress(WORKER, 'w0:1'), context)
    channel.start()
    return channel


def start_order() -> StartRun:
    """Return the order of a start."""
    return StartRun(WORKER, task('b'), 1, '', NO_CHECKPOINT, None)
