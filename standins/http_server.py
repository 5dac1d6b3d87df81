"""The JSON-over-HTTP server of the stand-ins.

Each connection is a task that owns its socket, applies the injected faults
(`stand_in.Faults`) and passes calls to the stand-in as messages. Supports only
HTTP/1.1 with keep-alive and bodies with a `Content-Length`.
"""

import asyncio
import signal
from dataclasses import dataclass
from typing import Final

from fuchsiarill.actor import Reply
from fuchsiarill.clock import sleep_ms
from standins.stand_in import CONTROL_PATH, Call, StandIn, StandInReply

# Room for a value of 1 MB, escaped as JSON, and its key.
_BODY_MAX_BYTES: Final = 2_500_000
_HEADER_MAX_BYTES: Final = 16_384
# Longer than the longest watch that a client requests.
_REPLY_TIMEOUT_MS: Final = 300_000
_LOOPBACK: Final = '127.0.0.1'


@dataclass(frozen=True, slots=True)
class _Request:
    path: str
    body: bytes
    is_last: bool


class _Connection:
    """Serves one connection until either side closes it."""

    def __init__(
        self,
        stand_in: StandIn,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        stand_in.connections_opened_count += 1
        self._serial = stand_in.connections_opened_count
        self._stand_in = stand_in
        self._reader = reader
        self._writer = writer

    async def serve(self) -> None:
        try:
            await self._serve_requests()
        except (asyncio.IncompleteReadError, asyncio.LimitOverrunError):
            return
        except (ConnectionError, ValueError):
            return
        except asyncio.CancelledError:
            # The process is shutting down. `asyncio.streams` would log the
            # cancellation if it were raised further.
            return
        finally:
            self._writer.close()

    async def _serve_requests(self) -> None:
        while True:
            request = await self._read()
            reply = await self._obtain_reply(request)
            if reply is None or reply.is_lost:
                return
            self._writer.write(
                b'HTTP/1.1 %d stand-in\r\n'
                b'Content-Type: application/json\r\n'
                b'Content-Length: %d\r\n\r\n' % (reply.status, len(reply.body)),
            )
            self._writer.write(reply.body)
            await self._writer.drain()
            if request.is_last:
                return

    async def _read(self) -> _Request:
        head = await self._reader.readuntil(b'\r\n\r\n')
        lines = head.decode('latin-1').split('\r\n')
        headers = {}
        for line in lines[1:]:
            name, _, text = line.partition(':')
            headers[name.lower()] = text.strip()
        length = int(headers.get('content-length', 0))
        if length > _BODY_MAX_BYTES:
            raise ValueError('body too large')
        return _Request(
            path=lines[0].split(' ')[1],
            body=await self._reader.readexactly(length),
            is_last=headers.get('connection', '').lower() == 'close',
        )

    async def _obtain_reply(self, request: _Request) -> StandInReply | None:
        if request.path != CONTROL_PATH and not await self._apply_faults():
            return None
        reply: Reply[StandInReply] = Reply()
        call = Call(request.path, request.body, reply)
        if not self._stand_in.mailbox.send(call):
            return StandInReply(503, b'{}')
        return await reply.wait(_REPLY_TIMEOUT_MS)

    async def _apply_faults(self) -> bool:
        """Apply the faults; return whether the call may be handled."""
        stand_in = self._stand_in
        if self._serial <= stand_in.faults.last_silent_serial:
            await self._reader.read()
            return False
        if stand_in.faults.slow_ms:
            await sleep_ms(stand_in.faults.slow_ms)
        await stand_in.resumed.wait()
        return not stand_in.faults.is_down


class Listener:
    """Accepts connections to one stand-in, up to its limit."""

    def __init__(self, stand_in: StandIn, port: int) -> None:
        """Prepare to listen on a loopback port; `start` opens it."""
        self._stand_in = stand_in
        self._port = port
        self._open_count = 0

    async def start(self) -> asyncio.Server:
        """Open the port; port 0 selects a free one."""
        return await asyncio.start_server(
            self._accept,
            _LOOPBACK,
            self._port,
            limit=_HEADER_MAX_BYTES,
        )

    async def _accept(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        limit = self._stand_in.connections_max
        if limit is not None and self._open_count >= limit:
            writer.close()
            return
        self._open_count += 1
        try:
            await _Connection(self._stand_in, reader, writer).serve()
        finally:
            self._open_count -= 1


async def serve_until_stopped(stand_ins: list[tuple[StandIn, int]]) -> None:
    """Run stand-ins on their ports until SIGTERM or SIGINT."""
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopping.set)
    for stand_in, port in stand_ins:
        stand_in.start()
        await Listener(stand_in, port).start()
    await stopping.wait()
