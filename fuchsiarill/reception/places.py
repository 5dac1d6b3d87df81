"""Which connections a listener keeps when too many are open.

Handles hundreds of clients that are slow, idle or do not read: a new client
takes the place of the one that has waited longest, and when memory is short the
largest request goes. A request that has been handed on is never dropped.
"""

from collections import Counter
from collections.abc import Iterator
from typing import Final, Generic, Protocol, TypeVar

from fuchsiarill.connection_limits import ConnectionLimits
from fuchsiarill.reception.refusals import Limit
from fuchsiarill.reception.states import ClientState

# A request that was handed on is answered.
_KEPT_STATES: Final = frozenset((ClientState.SERVING, ClientState.CLOSED))


class PlacedConnection(Protocol):
    """What is known of a connection."""

    address: str
    state: ClientState
    # When the connection entered its state.
    since_ms: int
    # Memory of its request and its response, as last counted.
    counted_bytes: int


_Placed = TypeVar('_Placed', bound=PlacedConnection)


class Places(Generic[_Placed]):
    """The connections of one listener, and the memory of their requests."""

    def __init__(
        self, limits: ConnectionLimits, connections_max_count: int
    ) -> None:
        """Allow `connections_max_count` connections, within `limits`."""
        self.held_bytes = 0
        self._limits = limits
        self._max_count = connections_max_count
        ratio = limits.address_connections_max_ratio
        self._address_max_count = max(1, int(connections_max_count * ratio))
        self._placed: set[_Placed] = set()
        self._counts: Counter[str] = Counter()

    def __len__(self) -> int:
        return len(self._placed)

    def __iter__(self) -> Iterator[_Placed]:
        return iter(tuple(self._placed))

    @property
    def is_full(self) -> bool:
        """Return whether no further connection has a place."""
        return len(self._placed) >= self._max_count

    @property
    def is_memory_short(self) -> bool:
        """Return whether all requests together take too much memory."""
        return self.held_bytes > self._limits.memory_max_bytes

    def limit_met_by(
        self, address: str, free_descriptors_count: int
    ) -> Limit | None:
        """Return the limit that a new connection from `address` meets."""
        if free_descriptors_count < self._limits.descriptors_reserved_count:
            return Limit.DESCRIPTORS
        if self.is_full:
            return Limit.CONNECTIONS
        if self._counts[address] >= self._address_max_count:
            return Limit.ADDRESS_CONNECTIONS
        return None

    def add(self, connection: _Placed) -> None:
        """Give a connection a place."""
        self._placed.add(connection)
        self._counts[connection.address] += 1

    def remove(self, connection: _Placed) -> None:
        """Free the place and the memory of a connection."""
        self._placed.remove(connection)
        self.count(connection, 0)
        self._counts[connection.address] -= 1
        if not self._counts[connection.address]:
            self._counts.pop(connection.address)

    def count(self, connection: _Placed, held_bytes: int) -> None:
        """Set the memory of a connection's request and response."""
        self.held_bytes += held_bytes - connection.counted_bytes
        connection.counted_bytes = held_bytes

    def longest_waiting(self, limit: Limit, address: str) -> _Placed | None:
        """Return the connection to close for a new one from `address`."""
        return min(
            (
                placed
                for placed in self._placed
                if placed.state not in _KEPT_STATES
                and (
                    limit is not Limit.ADDRESS_CONNECTIONS
                    or placed.address == address
                )
            ),
            key=lambda placed: placed.since_ms,
            default=None,
        )

    def largest(self) -> _Placed | None:
        """Return the connection to close when memory is short."""
        return max(
            (
                placed
                for placed in self._placed
                if placed.counted_bytes and placed.state not in _KEPT_STATES
            ),
            key=lambda placed: placed.counted_bytes,
            default=None,
        )
