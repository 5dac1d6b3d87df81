"""Renews the store lease of an owner, independently of its other work."""

from returns.result import Failure, Success

from fuchsiarill.actor import Actor, Mailbox, handles
from fuchsiarill.clock import now_ms, sleep_ms
from fuchsiarill.owner.campaign_messages import LeaseRenewed, OwnershipLost
from fuchsiarill.owner.claims import HeldLease
from fuchsiarill.owner.messages import Tick
from fuchsiarill.owner.store_calls import backoff_ms
from fuchsiarill.ports.store import StoreFailure, StorePort


class LeaseRenewer(Actor):
    """Renews one lease at an interval, or after a back-off on failure."""

    def __init__(
        self,
        store: StorePort,
        lease: HeldLease,
        interval_ms: int,
        campaign: Mailbox,
    ) -> None:
        """Renew `lease` and report the outcomes to `campaign`."""
        super().__init__('lease renewer')
        self._store = store
        self._lease = lease
        self._interval_ms = interval_ms
        self._campaign = campaign
        self._failures_count = 0

    def start(self) -> None:
        """Run the actor; the first renewal comes after the interval."""
        super().start()
        self.mailbox.send(Tick())

    @handles(Tick)
    async def on_tick(self, message: Tick) -> None:
        """Wait, renew once and, unless the lease is lost, tick again."""
        delay_ms: float = self._interval_ms
        if self._failures_count:
            delay_ms = backoff_ms(self._lease.lease_id, self._failures_count)
        await sleep_ms(delay_ms)
        requested_at_ms = now_ms()
        match await self._store.renew_lease(self._lease.lease_id):
            case Success(_):
                self._failures_count = 0
                self._campaign.send(
                    LeaseRenewed(self._lease.token, requested_at_ms),
                )
            case Failure(StoreFailure.LEASE_UNKNOWN):
                self._campaign.send(OwnershipLost(self._lease.token))
                return
            case _:
                self._failures_count += 1
        self.mailbox.send(Tick())
