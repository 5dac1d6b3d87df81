"""The daemon `fuchsiarilld`: reads settings, starts the actors, waits.

Every entry host runs the same program; which partitions it owns is decided
by the campaigns.
"""

import argparse
import asyncio
import signal
from pathlib import Path

import capnp
from returns.result import Success

from fuchsiarill import events
from fuchsiarill.cell_config import CellConfig, parse_config
from fuchsiarill.clock import sleep_ms
from fuchsiarill.cluster.peer_server import serve_peers
from fuchsiarill.front.bridge import Bridge
from fuchsiarill.front.http_front import HttpFront
from fuchsiarill.ids import StoreKey
from fuchsiarill.owner.campaign import Campaign, Ports
from fuchsiarill.owner.messages import Tick
from fuchsiarill.ports.http_client import HttpClient
from fuchsiarill.ports.http_ports import HttpHostList, HttpStore, HttpWorkers
from fuchsiarill.routing import Router, partitions_of
from fuchsiarill.settings import ProcessSettings, load_settings

_CONFIG_KEY = StoreKey('config/current')
_CONFIG_RETRY_MS = 500
_CLIENT_THREADS_COUNT = 32
_CLIENT_CALLS_MAX_COUNT = 512
_REQUESTS_MAX_COUNT = 64


def run() -> None:
    """Run the daemon until SIGTERM or SIGINT."""
    parser = argparse.ArgumentParser(prog='fuchsiarilld')
    parser.add_argument('--config', type=Path, required=True)
    parser.add_argument('--check', action='store_true')
    options = parser.parse_args()
    settings = load_settings(options.config).unwrap()
    if options.check:
        return
    events.configure_logging(settings.log_format, settings.log_level)
    asyncio.run(_main(settings))


async def _main(settings: ProcessSettings) -> None:
    async with capnp.kj_loop():
        await _serve(settings)


async def _serve(settings: ProcessSettings) -> None:
    loop = asyncio.get_running_loop()
    stopping = _stop_signal(loop)
    client = HttpClient(_CLIENT_THREADS_COUNT, _CLIENT_CALLS_MAX_COUNT)
    ports = _ports(settings, client)
    config = await _first_config(ports)
    router = Router(settings.peers)
    router.start()
    campaigns = _start_campaigns(settings, config, ports, router)
    front = HttpFront(
        settings.http,
        Bridge(loop, _REQUESTS_MAX_COUNT),
        router.mailbox,
        config,
    )
    server = await serve_peers(router.mailbox, settings.peers)
    front.start()
    events.emit(
        events.PROCESS_STARTED,
        process=settings.process,
        failure_domain=settings.failure_domain,
    )
    await stopping.wait()
    await loop.run_in_executor(None, front.stop)
    server.close()
    await asyncio.gather(*(campaign.stop() for campaign in campaigns))
    client.close()


def _stop_signal(loop: asyncio.AbstractEventLoop) -> asyncio.Event:
    stopping = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopping.set)
    return stopping


def _ports(settings: ProcessSettings, client: HttpClient) -> Ports:
    return Ports(
        HttpStore(settings.store, client),
        HttpHostList(settings.host_list, client),
        HttpWorkers(settings.workers, client),
    )


async def _first_config(ports: Ports) -> CellConfig:
    while True:
        match await ports.store.get(_CONFIG_KEY):
            case Success(found) if found.value is not None:
                return parse_config(found.value).unwrap()
        await sleep_ms(_CONFIG_RETRY_MS)


def _start_campaigns(
    settings: ProcessSettings,
    config: CellConfig,
    ports: Ports,
    router: Router,
) -> list[Campaign]:
    campaigns = []
    for partition in partitions_of(config, settings.region):
        campaign = Campaign(
            settings,
            partition,
            config,
            ports,
            router.mailbox,
        )
        campaign.start()
        campaign.mailbox.send(Tick())
        campaign.tick_every(settings.store.owner_renew_interval_ms, Tick())
        campaigns.append(campaign)
    return campaigns


if __name__ == '__main__':
    run()
