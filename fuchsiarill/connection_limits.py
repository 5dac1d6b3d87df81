"""Limits of what connections, requests and all of them together may use.

The defaults are above everything that the platform grants its clients: heads
of 16,384 bytes within 3,000 ms, bodies of 262,144 bytes, 15,000 ms between
requests, and a link of 5 Mbit/s. The smallest machine has 160 MB of memory and
1,638 descriptors.
"""

from dataclasses import dataclass
from typing import Annotated, Final, Self

from pydantic import BaseModel, ConfigDict, Field

_PositiveInt = Annotated[int, Field(gt=0)]
# The readiness check and the metrics are read by a few clients only, and their
# requests have no body.
_INNER_CONNECTIONS_MAX_COUNT: Final = 32
_INNER_BODY_MAX_BYTES: Final = 4_096
# Two state dumps of a large cell.
_INNER_MEMORY_MAX_BYTES: Final = 32_000_000
# For the method and the version, or the name of a header.
_LINE_SPARE_BYTES: Final = 1_024
# A client counts its idle time from a response that takes a while to arrive.
_IDLE_SPARE_MS: Final = 5_000


class ConnectionLimits(BaseModel):
    """Limits of one listener; sizes include the ends of lines."""

    model_config = ConfigDict(extra='forbid', frozen=True)

    # A client may use all of its 16,384 bytes for one line, beside the method
    # and the version.
    request_line_max_bytes: _PositiveInt = 17_408
    # The same for one header, with a long name.
    header_max_bytes: _PositiveInt = 17_408
    # Twice what clients may use, however the ends of lines are counted.
    headers_max_bytes: _PositiveInt = 32_768
    # 16,384 bytes hold at most 4,096 headers, of four bytes each.
    headers_max_count: _PositiveInt = 4_096
    # Nothing reads trailers; as much as clients may use for headers.
    trailers_max_bytes: _PositiveInt = 16_384
    # The store takes no larger value, so no larger job can be recorded.
    body_max_bytes: _PositiveInt = 1_048_576
    # A chunk size has at most 8 digits; the rest is for its extensions.
    chunk_line_max_bytes: _PositiveInt = 1_024
    # The largest body of a client in chunks of one byte has five bytes of
    # framing for each.
    chunk_framing_max_bytes: _PositiveInt = 1_500_000
    # From the first byte of a head to its end; clients take up to 3,000 ms.
    head_ms: _PositiveInt = 5_000
    # From the end of the head to the end of the body; at 5 Mbit/s a body of
    # 4 MB takes 6,400 ms.
    body_ms: _PositiveInt = 10_000
    # Between requests, and before the first; clients keep connections for
    # 15,000 ms.
    idle_ms: _PositiveInt = 20_000
    # From a response until the client has read it; at 5 Mbit/s a state dump of
    # 10 MB takes 16,000 ms.
    response_ms: _PositiveInt = 30_000
    # How long, and for how many bytes, a client that was refused may go on
    # sending. A connection that is closed earlier loses the response.
    linger_ms: _PositiveInt = 1_000
    linger_max_bytes: _PositiveInt = 1_048_576
    # Callers behind one address may take two thirds of the connections.
    address_connections_max_ratio: Annotated[float, Field(gt=0, le=1)] = 0.67
    # Received and not answered, or answered and not read, in all connections
    # together: a tenth of the memory of the smallest machine.
    memory_max_bytes: _PositiveInt = 16_000_000
    # Left for files and calls to outside systems when a connection is accepted.
    descriptors_reserved_count: _PositiveInt = 64

    @property
    def head_max_bytes(self) -> int:
        """Return the limit of the request line and the headers together."""
        return self.request_line_max_bytes + self.headers_max_bytes

    def for_inner_listener(self) -> Self:
        """Return the limits of a listener for operators.

        It takes descriptors that are reserved from callers.
        """
        return self.model_copy(
            update={
                'body_max_bytes': _INNER_BODY_MAX_BYTES,
                'memory_max_bytes': _INNER_MEMORY_MAX_BYTES,
                'descriptors_reserved_count': (
                    self.descriptors_reserved_count // 2
                ),
            },
        )

    def for_clients(self, granted: 'GrantedLimits') -> Self:
        """Return limits above what operators grant the clients.

        Bodies end at what is granted, since larger ones are refused anyway.
        """
        line_bytes = granted.headers_bytes + _LINE_SPARE_BYTES
        return self.model_copy(
            update={
                'request_line_max_bytes': max(
                    self.request_line_max_bytes, line_bytes
                ),
                'header_max_bytes': max(self.header_max_bytes, line_bytes),
                'headers_max_bytes': max(
                    self.headers_max_bytes, 2 * granted.headers_bytes
                ),
                'body_max_bytes': min(self.body_max_bytes, granted.body_bytes),
                'head_ms': max(self.head_ms, 2 * granted.head_ms),
                'idle_ms': max(self.idle_ms, granted.idle_ms + _IDLE_SPARE_MS),
            },
        )


@dataclass(frozen=True, slots=True)
class GrantedLimits:
    """What operators grant each client by their configuration."""

    headers_bytes: int
    body_bytes: int
    head_ms: int
    idle_ms: int


class PeerLimits(BaseModel):
    """Limits of the listener for the other processes of the system."""

    model_config = ConfigDict(extra='forbid', frozen=True)

    # Cells have up to 200 processes; most connect only while they call.
    connections_max_count: _PositiveInt = 128
    # 16 MB: a transaction of 32 entries of half a megabyte each.
    message_max_words: _PositiveInt = 2_097_152


def inner_connections_max_count(connections_max_count: int) -> int:
    """Return how many connections a listener for operators may have."""
    return min(connections_max_count, _INNER_CONNECTIONS_MAX_COUNT)
