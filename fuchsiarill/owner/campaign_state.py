"""The parts of a campaign's state: its lease, its plan and its helpers."""

import asyncio
from collections.abc import Mapping

from fuchsiarill.actor import Mailbox
from fuchsiarill.clock import MS_PER_SECOND, now_ms
from fuchsiarill.ids import ProcessId
from fuchsiarill.owner import campaign_messages, messages
from fuchsiarill.owner.claims import HeldLease
from fuchsiarill.owner.journal_reader import JournalRead
from fuchsiarill.owner.late_requests import refuse_late_requests
from fuchsiarill.owner.lease_renewer import LeaseRenewer
from fuchsiarill.owner.owner_watch import OwnerWatch
from fuchsiarill.owner.partition_service import PartitionService
from fuchsiarill.owner.takeover import Takeover


class Lease:
    """The store lease of this process and the deadline that follows from it."""

    def __init__(self) -> None:
        """Start without a lease."""
        self.held: HeldLease | None = None
        self.deadline_ms = 0
        self._timer: asyncio.TimerHandle | None = None

    def has(self, token: str) -> bool:
        """Tell whether the lease in hand is that of the claim."""
        return self.held is not None and self.held.token == token

    def extend(self, deadline_ms: int, campaign: Mailbox) -> None:
        """Set the deadline and tell the campaign when it passes."""
        self.cancel()
        self.deadline_ms = deadline_ms
        self._timer = asyncio.get_running_loop().call_later(
            max(0, deadline_ms - now_ms() + 1) / MS_PER_SECOND,
            campaign.send,
            campaign_messages.DeadlinePassed(),
        )

    def cancel(self) -> None:
        """Stop the timer."""
        if self._timer is not None:
            self._timer.cancel()


class ElectionTimer:
    """When this process claims the partition next."""

    def __init__(self) -> None:
        """Start without a plan."""
        self.loads: Mapping[ProcessId, int] = {}
        self.is_leaving = False
        self._not_before_ms = 0
        self._timer: asyncio.TimerHandle | None = None

    def pause(self, pause_ms: int) -> None:
        """Claim nothing for some time."""
        self._not_before_ms = now_ms() + pause_ms

    def plan(self, delay_ms: float, campaign: Mailbox) -> None:
        """Claim after the delay, unless that is planned already."""
        if self._timer is not None:
            return
        due_ms = max(delay_ms, self._not_before_ms - now_ms())
        self._timer = asyncio.get_running_loop().call_later(
            due_ms / MS_PER_SECOND,
            self._due,
            campaign,
        )

    def cancel(self) -> None:
        """Drop the plan."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _due(self, campaign: Mailbox) -> None:
        self._timer = None
        campaign.send(campaign_messages.ElectionDue())


class Helpers:
    """The actors that work for a campaign, as its state needs them."""

    def __init__(self) -> None:
        """Start with none running."""
        self.watch: OwnerWatch | None = None
        self.renewer: LeaseRenewer | None = None
        self.takeover: Takeover | None = None
        self.serving: PartitionService | None = None
        self.journal: JournalRead | None = None
        self.is_finished = True
        self._config: messages.ConfigChanged | None = None
        self._closing: set[asyncio.Task[None]] = set()

    def set_deadline(self, deadline_ms: int) -> None:
        """Pass the deadline on."""
        if self.takeover is not None:
            self.takeover.mailbox.send(messages.OwnershipDeadline(deadline_ms))
        if self.serving is not None:
            self.serving.set_deadline(deadline_ms)

    def configure(self, message: messages.ConfigChanged) -> None:
        """Pass a newer configuration to the owner."""
        self._config = message
        self.repeat_config()

    def repeat_config(self) -> None:
        """Pass on a configuration that a full mailbox has refused."""
        if self.serving is None or self._config is None:
            return
        if self.serving.notify_owner(self._config):
            self._config = None

    def fault(self) -> str | None:
        """Return why a helper has ended by itself, if one has."""
        faults = (
            helper.fault()
            for helper in (self.watch, self.renewer, self.serving)
            if helper is not None
        )
        return next(filter(None, faults), None)

    async def end(self) -> None:
        """Stop all helpers and answer nobody any more."""
        await self.stop()
        for closing in tuple(self._closing):
            closing.cancel()
        await asyncio.gather(*self._closing, return_exceptions=True)

    async def stop(self) -> None:
        """Stop all helpers."""
        for helper in (self.watch, self.renewer, self.takeover, self.serving):
            if helper is not None:
                await helper.stop()
        if self.serving is not None:
            self._refuse_callers(self.serving)
        self.watch = None
        self.renewer = None
        self.takeover = None
        self.serving = None
        self.journal = None
        self._config = None

    def _refuse_callers(self, serving: PartitionService) -> None:
        refusing = refuse_late_requests(
            serving.owner.mailbox, serving.partition
        )
        closing = asyncio.create_task(refusing)
        self._closing.add(closing)
        closing.add_done_callback(self._closing.discard)
