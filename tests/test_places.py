"""Which connections a listener gives up when too many are open."""

from dataclasses import dataclass
from typing import Final

from hypothesis import given
from hypothesis import strategies as st

from fuchsiarill.connection_limits import ConnectionLimits
from fuchsiarill.reception.places import Places
from fuchsiarill.reception.refusals import Limit
from fuchsiarill.reception.states import ClientState

_LIMITS: Final = ConnectionLimits(
    memory_max_bytes=1_000,
    address_connections_max_ratio=0.5,
    descriptors_reserved_count=10,
)


@dataclass(eq=False)
class _Connection:
    address: str = 'a'
    state: ClientState = ClientState.HEAD
    since_ms: int = 0
    counted_bytes: int = 0


def _places(*connections: _Connection) -> Places[_Connection]:
    places: Places[_Connection] = Places(_LIMITS, 4)
    for connection in connections:
        places.add(connection)
    return places


def test_longest_wait_makes_way() -> None:
    """Guards against old connections that keep new callers out."""
    served = _Connection(state=ClientState.SERVING)
    oldest = _Connection('b', since_ms=1)
    same_address = _Connection(since_ms=2)
    places = _places(served, same_address, oldest, _Connection('b', since_ms=3))
    assert places.limit_met_by('c', 100) is Limit.CONNECTIONS
    assert places.longest_waiting(Limit.CONNECTIONS, 'c') is oldest
    places.remove(oldest)
    assert places.limit_met_by('b', 100) is None
    assert places.limit_met_by('a', 100) is Limit.ADDRESS_CONNECTIONS
    assert places.limit_met_by('b', 9) is Limit.DESCRIPTORS
    found = places.longest_waiting(Limit.ADDRESS_CONNECTIONS, 'a')
    assert found is same_address


def test_served_requests_stay() -> None:
    """Guards against a request that is dropped after it was handed on."""
    served = [_Connection(state=ClientState.SERVING) for _ in range(4)]
    places = _places(*served)
    places.count(served[0], 2_000)
    assert places.is_memory_short
    assert places.largest() is None
    assert places.longest_waiting(Limit.CONNECTIONS, 'b') is None


@given(st.lists(st.integers(0, 600), min_size=1, max_size=4))
def test_memory_is_bounded(sizes: list[int]) -> None:
    """Guards against memory that is counted wrongly, or not given back."""
    connections = [_Connection() for _ in sizes]
    places = _places(*connections)
    for connection, size in zip(connections, sizes, strict=True):
        places.count(connection, 1)
        places.count(connection, size)
    while places.is_memory_short:
        largest = places.largest()
        assert largest is not None
        kept_max = max(placed.counted_bytes for placed in places)
        assert largest.counted_bytes == kept_max
        places.remove(largest)
    assert places.held_bytes == sum(placed.counted_bytes for placed in places)
    for placed in places:
        places.remove(placed)
    assert not places.held_bytes
