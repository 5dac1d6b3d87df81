"""The daemon `fuchsiarilld`: reads settings, runs the actors.

Every entry host runs the same program. For each partition a campaign, the
actor that competes for its ownership, decides whether this process owns it.
"""

import argparse
import asyncio
import random
import signal
import sys
import time
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from functools import partial
from pathlib import Path

import capnp
from returns.result import Failure, Result

from fuchsiarill import events
from fuchsiarill.actor import Actor
from fuchsiarill.assembly import Assembly, Environment
from fuchsiarill.cell_config import CellConfig, parse_config
from fuchsiarill.cluster.config_change import ConfigParser
from fuchsiarill.cluster.member_table import MemberDetail
from fuchsiarill.cluster.peer_server import serve_peers
from fuchsiarill.cluster.peers import Peers, RpcPeers
from fuchsiarill.codes import ExitStatus
from fuchsiarill.collector import raise_gc_thresholds
from fuchsiarill.front.bridge import Bridge
from fuchsiarill.front.front_actor import FrontActor
from fuchsiarill.front.http_front import HttpFront
from fuchsiarill.front.metrics import CountingStore, Metrics
from fuchsiarill.log_setup import log_to_stderr
from fuchsiarill.owner.partition_service import Ports
from fuchsiarill.ports.http_client import HttpClient
from fuchsiarill.ports.http_ports import HttpHostList, HttpStore, HttpWorkers
from fuchsiarill.process import Process
from fuchsiarill.process_messages import DrainRequested, Receivers
from fuchsiarill.refusal import Refusal
from fuchsiarill.reception.observation import ReceptionObserver
from fuchsiarill.settings import ProcessSettings, load_settings

_CLIENT_THREADS_COUNT = 32
_CALLS_IN_PROGRESS_MAX_COUNT = 512
_NS_PER_MS = 1_000_000


def run() -> None:
    """Run the daemon until SIGTERM or SIGINT drains it or an actor fails."""
    parser = argparse.ArgumentParser(prog='fuchsiarilld')
    parser.add_argument('--config', type=Path, required=True)
    parser.add_argument('--check', action='store_true')
    options = parser.parse_args()
    load_result = load_settings(options.config)
    if isinstance(load_result, Failure):
        sys.stderr.write('\n'.join((*load_result.failure(), '')))
        sys.exit(ExitStatus.BAD_REQUEST.value)
    if options.check:
        return
    settings = load_result.unwrap()
    raise_gc_thresholds()
    log_to_stderr(settings.log_format, settings.log_level)
    sys.exit(asyncio.run(_main(settings)))


async def _main(settings: ProcessSettings) -> int:
    async with capnp.kj_loop():
        return await _serve(settings)


@dataclass(frozen=True, slots=True)
class _Daemon:
    """The actors of a process, connected with each other."""

    process: Process
    receivers: Receivers
    actors: tuple[Actor, ...]


async def _serve(settings: ProcessSettings) -> int:
    """Run all actors until the process ends; returns the exit status."""
    client = HttpClient(_CLIENT_THREADS_COUNT, _CALLS_IN_PROGRESS_MAX_COUNT)
    parser_pool = ThreadPoolExecutor(1, 'config-parser')
    metrics = Metrics()
    ports = Ports(
        CountingStore(HttpStore(settings.store, client), metrics),
        HttpHostList(settings.host_list, client),
        HttpWorkers(settings.workers, client),
    )
    config_parser = partial(_parse_in_thread, parser_pool)
    daemon = _create_daemon(settings, ports, metrics, config_parser)
    server = await serve_peers(
        daemon.receivers,
        settings.peers,
        ReceptionObserver('peers', metrics.reception),
    )
    for actor in daemon.actors:
        actor.start()
    _drain_on_signals(daemon.process)
    await daemon.process.ended.wait()
    server.close()
    for actor_to_stop in daemon.actors:
        await actor_to_stop.stop()
    client.close()
    parser_pool.shutdown(wait=False)
    events.emit(events.PROCESS_STOPPED, process=settings.process)
    return int(daemon.process.has_failed)


def _create_daemon(
    settings: ProcessSettings,
    ports: Ports,
    metrics: Metrics,
    config_parser: ConfigParser,
) -> _Daemon:
    peers = Peers(settings.peers)
    assembly = Assembly(
        Environment(
            settings,
            _own_member_detail(settings),
            ports,
            RpcPeers(peers.mailbox, settings.peers),
            config_parser,
            random.Random(),
        ),
        extra_actors=(peers,),
    )
    front = _create_front(settings, assembly.receivers, metrics)
    actors = (peers, *assembly.attach_front(front))
    return _Daemon(assembly.process, assembly.receivers, actors)


def _create_front(
    settings: ProcessSettings,
    receivers: Receivers,
    metrics: Metrics,
) -> FrontActor:
    bridge = Bridge(
        asyncio.get_running_loop(),
        settings.http.requests_max_count,
        settings.http.waits_max_count,
    )
    front = HttpFront(settings.http, bridge, receivers, metrics)
    return FrontActor(front, receivers.membership)


def _own_member_detail(settings: ProcessSettings) -> MemberDetail:
    return MemberDetail(
        settings.process,
        settings.region,
        settings.failure_domain,
        f'{settings.peers.host}:{settings.peers.port}',
        # Distinguishes the runs of one process. If the clock was set back,
        # membership raises the value above that of the earlier run, which
        # membership learns from the other processes.
        incarnation=time.time_ns() // _NS_PER_MS,
    )


async def _parse_in_thread(
    threads: ThreadPoolExecutor,
    text: str,
) -> Result[CellConfig, tuple[Refusal, ...]]:
    """Parse in a thread.

    A large document would block the event loop for tens of milliseconds.
    """
    loop = asyncio.get_running_loop()
    return await loop.run_in_executor(threads, parse_config, text)


def _drain_on_signals(process: Process) -> None:
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(
            signal_number, process.mailbox.send, DrainRequested()
        )


if __name__ == '__main__':
    run()
