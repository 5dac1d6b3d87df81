"""Runs the emulator until SIGTERM or SIGINT.

Each process of the scheduler gets a port of its own for the store, so that
its path can fail alone. The first port serves workers and advice too.
"""

import argparse
import asyncio
import signal

from standins.emulator.cell import EmulatedCell
from standins.emulator.http_endpoint import LOOPBACK, HttpEndpoint


async def _serve(workers_count: int, ports: list[int]) -> None:
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopping.set)
    cell = EmulatedCell(workers_count, len(ports))
    for port, path in zip(ports, cell.doors, strict=True):
        HttpEndpoint(cell, port, path, loop).start()
    address = f'{LOOPBACK}:{ports[0]}'
    running = asyncio.create_task(cell.run(address))
    await stopping.wait()
    running.cancel()


def main() -> None:
    """Serve until SIGTERM or SIGINT."""
    parser = argparse.ArgumentParser(prog='standins.emulator')
    parser.add_argument('--workers', type=int, default=6)
    parser.add_argument('--ports', type=int, nargs='+', required=True)
    options = parser.parse_args()
    asyncio.run(_serve(options.workers, options.ports))


if __name__ == '__main__':
    main()
