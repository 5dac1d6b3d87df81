"""Tells whether a process may still act as the owner of a pool."""

from fuchsiarill.clock import now_ms


class LeaseGuard:
    """Deadline of an ownership, by the runtime clock.

    The tenure moves the deadline; others read it right before each order.
    The daemon's clock counts the time for which a machine was suspended.
    """

    def __init__(self, deadline_ms: int) -> None:
        """Start with the deadline that the first lease gives."""
        self._deadline_ms = deadline_ms
        self._is_revoked = False

    @property
    def deadline_ms(self) -> int:
        """Return until when the ownership is certain."""
        return self._deadline_ms

    def extend(self, deadline_ms: int) -> None:
        """Take a renewal into account."""
        self._deadline_ms = max(self._deadline_ms, deadline_ms)

    def revoke(self) -> None:
        """End the permission for good."""
        self._is_revoked = True

    def may_order(self) -> bool:
        """Tell whether an order may leave now."""
        return not self._is_revoked and now_ms() < self._deadline_ms
