"""Runs the emulator until SIGTERM or SIGINT.

Each scheduler process uses a separate store port, so that a fault can affect
the store calls of this process only. All ports serve the same routes; the
workers' entries have the address of the first port.
"""

import argparse
import asyncio
import signal

from standins.emulator.cell import EmulatedCell
from standins.emulator.http_endpoint import LOOPBACK, HttpEndpoint


async def _serve(
    workers_count: int, customers_count: int, ports: list[int]
) -> None:
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopping.set)
    cell = EmulatedCell(workers_count, len(ports), customers_count)
    for port, path in zip(ports, cell.store_paths, strict=True):
        HttpEndpoint(cell, port, path, loop).start()
    address = f'{LOOPBACK}:{ports[0]}'
    cell_task = asyncio.create_task(cell.run(address))
    await stopping.wait()
    cell_task.cancel()


def main() -> None:
    """Parse the options and serve until SIGTERM or SIGINT."""
    parser = argparse.ArgumentParser(prog='standins.emulator')
    parser.add_argument('--workers', type=int, default=6)
    parser.add_argument('--customers', type=int, default=0)
    parser.add_argument('--ports', type=int, nargs='+', required=True)
    options = parser.parse_args()
    asyncio.run(_serve(options.workers, options.customers, options.ports))


if __name__ == '__main__':
    main()
