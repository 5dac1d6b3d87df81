"""Guard that limits how long a process may act as the owner of a pool."""

from fuchsiarill.clock import now_ms


class LeaseGuard:
    """Time until which an owner may send orders, by the runtime clock.

    The tenure extends this deadline after each renewal of the lease. Senders
    check it right before each order; without permission, a report that is
    requested out of turn extends no lease. The daemon's clock keeps running
    while the machine is suspended, so the deadline passes in a suspension as
    well.
    """

    def __init__(self, deadline_ms: int) -> None:
        """Create with the deadline that the new lease allows."""
        self._deadline_ms = deadline_ms
        self._is_revoked = False

    @property
    def deadline_ms(self) -> int:
        """Return the time until which the ownership is certain."""
        return self._deadline_ms

    def extend(self, deadline_ms: int) -> None:
        """Move the deadline forward after a renewal, never back."""
        self._deadline_ms = max(self._deadline_ms, deadline_ms)

    def revoke(self) -> None:
        """Refuse all orders from now on; this can't be undone."""
        self._is_revoked = True

    def may_send_orders(self) -> bool:
        """Return whether an order may be sent now."""
        return not self._is_revoked and now_ms() < self._deadline_ms
