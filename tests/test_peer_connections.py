"""Connections to the listener for peers stay within their limits."""

import asyncio
import socket
import struct
from collections.abc import Awaitable, Callable
from functools import partial
from typing import Any, Final

import capnp
from prometheus_client import CollectorRegistry

from fuchsiarill.cluster.job_encoding import SCHEMA
from fuchsiarill.cluster.peer_connections import PeerConnections
from fuchsiarill.connection_limits import PeerLimits
from fuchsiarill.reception.observation import (
    ReceptionMetrics,
    ReceptionObserver,
)

_LIMITS: Final = PeerLimits(connections_max_count=3, message_max_words=4_096)


class _DumpServer(SCHEMA.Peer.Server):  # type: ignore[misc]
    async def dump(self, _context: Any, **_extra: Any) -> None:
        _context.results.state = 'state'


async def _serve(connections: PeerConnections, stream: Any) -> None:
    await connections.serve(stream, _DumpServer())


def _run(
    scenario: Callable[[int, CollectorRegistry], Awaitable[None]],
) -> None:
    async def main() -> None:
        registry = CollectorRegistry()
        observer = ReceptionObserver('peers', ReceptionMetrics(registry))
        connections = PeerConnections(_LIMITS, observer)
        with socket.socket() as probe:
            probe.bind(('127.0.0.1', 0))
            port = probe.getsockname()[1]
        async with capnp.kj_loop():
            server = await capnp.AsyncIoStream.create_server(
                partial(_serve, connections), '127.0.0.1', port
            )
            await scenario(port, registry)
            server.close()

    asyncio.run(main())


async def _dump(port: int) -> str:
    stream = await capnp.AsyncIoStream.create_connection('127.0.0.1', port)
    client = capnp.TwoPartyClient(stream)
    peer = client.bootstrap().cast_as(SCHEMA.Peer)
    answer = await asyncio.wait_for(peer.dump(), 30)
    state = str(answer.state)
    client.close()
    stream.close()
    return state


async def _until_closed(port: int, sent: bytes) -> None:
    reader, writer = await asyncio.open_connection('127.0.0.1', port)
    writer.write(sent)
    async with asyncio.timeout(30):
        await reader.read()
    writer.close()


def _refusals(registry: CollectorRegistry, limit: str) -> float | None:
    return registry.get_sample_value(
        'fuchsiarill_listener_refusals_total',
        {'listener': 'peers', 'limit': limit},
    )


def test_message_above_the_limit() -> None:
    """Guards against a peer message for which all memory is allocated."""

    async def scenario(port: int, registry: CollectorRegistry) -> None:
        # A table of one segment of 4,097 words, and one of many segments.
        await _until_closed(port, struct.pack('<II', 0, 4_097))
        await _until_closed(port, struct.pack('<II', 100_000, 1) * 1_000)
        # One segment that is no message.
        await _until_closed(port, struct.pack('<II', 0, 8) + b'\xff' * 64)
        assert await _dump(port) == 'state'

    _run(scenario)


def test_connections_beyond_the_limit() -> None:
    """Guards against peer connections that use up the descriptors."""

    async def scenario(port: int, registry: CollectorRegistry) -> None:
        held = [
            await asyncio.open_connection('127.0.0.1', port) for _ in range(3)
        ]
        await _until_closed(port, b'')
        assert _refusals(registry, 'connections') == 1
        for _, writer in held:
            writer.close()
            await writer.wait_closed()
        for _ in range(100):
            await asyncio.sleep(0.01)
            if not registry.get_sample_value(
                'fuchsiarill_listener_connections', {'listener': 'peers'}
            ):
                break
        assert await _dump(port) == 'state'

    _run(scenario)
