"""Serves stand-ins in the event loop of a test."""

import asyncio
import json
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any

from fuchsiarill.ports.http_client import HttpClient
from standins.http_server import Listener
from standins.stand_in import StandIn


class Served:
    """A stand-in that is being served, with its URL and a client."""

    def __init__(self, port: int, client: HttpClient) -> None:
        """Derive address and URL from the port."""
        self.address = f'127.0.0.1:{port}'
        self.url = f'http://{self.address}'
        self.client = client

    async def control(self, **settings: Any) -> dict[str, Any]:
        """Set faults; returns the state of the stand-in."""
        response_result = await self.client.post(
            f'{self.url}/control',
            json.dumps(settings).encode(),
            5_000,
        )
        state: dict[str, Any] = json.loads(response_result.unwrap().body)
        return state


@asynccontextmanager
async def serving(
    stand_in: StandIn,
    threads_count: int = 4,
    in_progress_max: int = 8,
) -> AsyncIterator[Served]:
    """Serve a stand-in on a free port."""
    stand_in.start()
    server = await Listener(stand_in, 0).start()
    client = HttpClient(threads_count, in_progress_max)
    try:
        yield Served(server.sockets[0].getsockname()[1], client)
    finally:
        client.close()
        await _close(stand_in, server)


async def _close(stand_in: StandIn, server: asyncio.Server) -> None:
    server.close()
    await stand_in.stop()
