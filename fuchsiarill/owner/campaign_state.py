"""Parts of a campaign's state: lease, election timer and child actors."""

import asyncio
from collections.abc import Mapping

from fuchsiarill.actor import Mailbox
from fuchsiarill.clock import MS_PER_SECOND, now_ms
from fuchsiarill.ids import ProcessId
from fuchsiarill.owner import campaign_messages, messages
from fuchsiarill.owner.claims import HeldLease
from fuchsiarill.owner.journal_reader import JournalContents
from fuchsiarill.owner.late_requests import refuse_late_requests
from fuchsiarill.owner.lease_renewer import LeaseRenewer
from fuchsiarill.owner.owner_watch import OwnerWatch
from fuchsiarill.owner.partition_service import PartitionService
from fuchsiarill.owner.takeover import Takeover


class Lease:
    """The store lease of this process and the ownership deadline.

    Until the deadline the process is certain to own the partition, since the
    store still holds its lease.
    """

    def __init__(self) -> None:
        """Start without a lease."""
        self.held_lease: HeldLease | None = None
        self.deadline_ms = 0
        self._deadline_timer: asyncio.TimerHandle | None = None

    def matches(self, token: str) -> bool:
        """Return whether the held lease belongs to the claim with `token`."""
        return self.held_lease is not None and self.held_lease.token == token

    def extend(self, deadline_ms: int, campaign: Mailbox) -> None:
        """Set the deadline; `DeadlinePassed` is sent once it has passed."""
        self.cancel()
        self.deadline_ms = deadline_ms
        self._deadline_timer = asyncio.get_running_loop().call_later(
            max(0, deadline_ms - now_ms() + 1) / MS_PER_SECOND,
            campaign.send,
            campaign_messages.DeadlinePassed(),
        )

    def cancel(self) -> None:
        """Cancel the timer of the deadline."""
        if self._deadline_timer is not None:
            self._deadline_timer.cancel()


class ElectionTimer:
    """Timer for the next claim of the partition by this process.

    `loads` is the number of partitions that each live, serving process of the
    region owns. Once `is_withdrawn` is set, the process makes no further claim.
    """

    def __init__(self) -> None:
        """Start without a scheduled claim."""
        self.loads: Mapping[ProcessId, int] = {}
        self.is_withdrawn = False
        self._not_before_ms = 0
        self._claim_timer: asyncio.TimerHandle | None = None

    def pause(self, pause_ms: int) -> None:
        """Let claims scheduled from now on wait for at least `pause_ms`."""
        self._not_before_ms = now_ms() + pause_ms

    def schedule(self, delay_ms: float, campaign: Mailbox) -> None:
        """Schedule a claim after the delay unless one is already scheduled."""
        if self._claim_timer is not None:
            return
        effective_delay_ms = max(delay_ms, self._not_before_ms - now_ms())
        self._claim_timer = asyncio.get_running_loop().call_later(
            effective_delay_ms / MS_PER_SECOND,
            self._expire,
            campaign,
        )

    def cancel(self) -> None:
        """Cancel the scheduled claim."""
        if self._claim_timer is not None:
            self._claim_timer.cancel()
            self._claim_timer = None

    def _expire(self, campaign: Mailbox) -> None:
        self._claim_timer = None
        campaign.send(campaign_messages.ElectionDue())


class ChildActors:
    """The child actors of a campaign; its actions start and stop them.

    `journal` holds the contents that the takeover has read. After a handover
    `is_work_finished` tells whether the owner finished its work in time.
    """

    def __init__(self) -> None:
        """Start without a child actor."""
        self.owner_watch: OwnerWatch | None = None
        self.renewer: LeaseRenewer | None = None
        self.takeover: Takeover | None = None
        self.service: PartitionService | None = None
        self.journal: JournalContents | None = None
        self.is_work_finished = True
        self._config: messages.ConfigChanged | None = None
        self._refusal_tasks: set[asyncio.Task[None]] = set()

    def set_deadline(self, deadline_ms: int) -> None:
        """Forward the ownership deadline to the takeover and the owner."""
        if self.takeover is not None:
            self.takeover.mailbox.send(messages.OwnershipDeadline(deadline_ms))
        if self.service is not None:
            self.service.set_deadline(deadline_ms)

    def configure(self, message: messages.ConfigChanged) -> None:
        """Forward a newer configuration to the owner."""
        self._config = message
        self.resend_config()

    def resend_config(self) -> None:
        """Send the owner a configuration that it has not received yet."""
        if self.service is None or self._config is None:
            return
        if self.service.notify_owner(self._config):
            self._config = None

    def fault(self) -> str | None:
        """Return the error that ended a child actor, if any.

        A takeover is not checked, since it reports its own failure.
        """
        errors = (
            child.fault()
            for child in (self.owner_watch, self.renewer, self.service)
            if child is not None
        )
        return next(filter(None, errors), None)

    async def shut_down(self) -> None:
        """Stop all child actors and no longer refuse late requests."""
        await self.stop()
        for refusal_task in tuple(self._refusal_tasks):
            refusal_task.cancel()
        await asyncio.gather(*self._refusal_tasks, return_exceptions=True)

    async def stop(self) -> None:
        """Stop all child actors; late requests are still refused."""
        for child in (
            self.owner_watch,
            self.renewer,
            self.takeover,
            self.service,
        ):
            if child is not None:
                await child.stop()
        if self.service is not None:
            self._refuse_late_requests(self.service)
        self.owner_watch = None
        self.renewer = None
        self.takeover = None
        self.service = None
        self.journal = None
        self._config = None

    def _refuse_late_requests(self, service: PartitionService) -> None:
        coroutine = refuse_late_requests(
            service.owner.mailbox, service.partition
        )
        refusal_task = asyncio.create_task(coroutine)
        self._refusal_tasks.add(refusal_task)
        refusal_task.add_done_callback(self._refusal_tasks.discard)
