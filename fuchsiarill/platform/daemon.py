"""Entry point of the daemon on the users' platform.

The platform fills in the template `deploy/settings.yaml`, so this project
defines the format. An environment variable holds the path of the filled-in
file.
"""

import asyncio
import json
import os
import selectors
import signal
import sys
import time
from functools import lru_cache, partial
from http import HTTPStatus
from pathlib import Path
from typing import Any, Final

import capnp
from returns.result import Failure

from fuchsiarill import events, graph_events
from fuchsiarill.cluster.peer_connections import PeerConnections
from fuchsiarill.codes import ExitStatus
from fuchsiarill.collector import raise_gc_thresholds
from fuchsiarill.connection_limits import (
    ConnectionLimits,
    GrantedLimits,
    inner_connections_max_count,
)
from fuchsiarill.graphs.front import Front
from fuchsiarill.graphs.listener import (
    Listener,
    ListenerSettings,
    Request,
    Response,
)
from fuchsiarill.graphs.metrics import GraphMetrics, ObservedStore
from fuchsiarill.graphs.model import RequestLimits
from fuchsiarill.graphs.peers import serve_graph_peers
from fuchsiarill.graphs.ports import (
    BusyTrackingAdvisor,
    DocumentLayout,
    GraphPorts,
)
from fuchsiarill.graphs.process import GetDump, GraphProcess
from fuchsiarill.graphs.settings import GraphSettings, load_graph_settings
from fuchsiarill.ids import StoreKey
from fuchsiarill.log_setup import log_to_sink
from fuchsiarill.log_sink import JsonLineSink
from fuchsiarill.platform.advice_client import PlatformAdvisor
from fuchsiarill.platform.callers import CallerRequestHandler
from fuchsiarill.platform.documents import read_config, read_worker
from fuchsiarill.platform.store_client import PlatformStore
from fuchsiarill.platform.worker_client import PlatformWorkers
from fuchsiarill.ports.http_client import HttpClient
from fuchsiarill.reception.observation import ReceptionObserver

_SETTINGS_VARIABLE: Final = 'FUCHSIARILL_NODE_FILE'
_CALLS_IN_PROGRESS_MAX_COUNT: Final = 2000
_POLL_INTERVAL_S: Final = 0.05
# 20 polls of 50 ms: requests in progress get one second to finish.
_FINISH_POLLS_COUNT: Final = 20
# Of the listeners for the load balancer and for operators.
_INNER_THREADS_COUNT: Final = 2


class BootTimeLoop(asyncio.SelectorEventLoop):
    """Event loop whose clock includes the time the machine is suspended.

    The monotonic clock stops during a suspension. With it, an owner would treat
    a lease as valid that expired while the machine was suspended.
    """

    def __init__(self) -> None:
        """Use the default selector."""
        super().__init__(selectors.DefaultSelector())

    def time(self) -> float:
        """Return the time since boot in seconds, suspensions included."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)


def run() -> None:
    """Run the daemon until SIGTERM or SIGINT, or until an actor has died."""
    # Signals can arrive before the loop runs.
    for signal_number in (signal.SIGHUP, signal.SIGTERM, signal.SIGINT):
        signal.signal(
            signal_number,
            _ignore_reload
            if signal_number is signal.SIGHUP
            else _exit_on_signal,
        )
    path = Path(os.environ.get(_SETTINGS_VARIABLE, ''))
    settings = _load_settings_or_exit(path)
    raise_gc_thresholds()
    sink = JsonLineSink()
    log_to_sink(sink, settings.log_level)
    with asyncio.Runner(loop_factory=BootTimeLoop) as runner:
        runner.run(_main(settings, path, sink))


def _load_settings_or_exit(path: Path) -> GraphSettings:
    load_result = load_graph_settings(path)
    if isinstance(load_result, Failure):
        sys.stderr.write('\n'.join((*load_result.failure(), '')))
        sys.exit(ExitStatus.BAD_REQUEST.value)
    return load_result.unwrap()


def _ignore_reload(signal_number: int, frame: Any) -> None:
    """Ignore a reload before the loop runs: the start reads the settings."""


def _exit_on_signal(signal_number: int, frame: Any) -> None:
    sys.exit(0)


async def _main(
    settings: GraphSettings,
    path: Path,
    sink: JsonLineSink,
) -> None:
    async with capnp.kj_loop():
        await _serve(settings, path, sink)


async def _serve(
    settings: GraphSettings,
    path: Path,
    sink: JsonLineSink,
) -> None:
    """Run the daemon, then exit the process; does not return."""
    metrics = GraphMetrics()
    client = HttpClient(
        settings.calls.threads_max_count,
        _CALLS_IN_PROGRESS_MAX_COUNT,
        settings.calls.waits_max_count,
    )
    store = PlatformStore(settings.outside.store, client)
    ports = GraphPorts(
        ObservedStore(store, metrics),
        PlatformWorkers(client),
        BusyTrackingAdvisor(PlatformAdvisor(settings.outside.advice, client)),
        DocumentLayout(
            StoreKey('op/config'),
            'op/',
            'servers/',
            read_config,
            read_worker,
        ),
    )
    process = GraphProcess(settings, ports, metrics)
    _handle_signals(process, path, settings)
    await serve_graph_peers(
        settings.listen.peers,
        ports,
        settings.calls.advice_timeout_ms,
        PeerConnections(
            settings.peer_connections,
            ReceptionObserver('peers', metrics.reception),
        ),
    )
    process.start()
    listeners = _create_listeners(settings, process, metrics)
    for listener in listeners:
        listener.start()
    await _wait_for_end(process, listeners[0])
    events.emit(events.PROCESS_STOPPED, process=settings.process)
    sink.flush()
    # Closing the listeners takes seconds, in which requests would be read but
    # not answered.
    os._exit(process.exit_status or 0)


async def _wait_for_end(process: GraphProcess, listener: Listener) -> None:
    """Wait until the process ends, then finish requests in progress."""
    while process.exit_status is None:
        await asyncio.sleep(_POLL_INTERVAL_S)
        listener.is_draining = process.front.view.is_draining
    await _finish_requests(listener)


async def _finish_requests(listener: Listener) -> None:
    """Wait until no request is in progress, for at most one second."""
    for _ in range(_FINISH_POLLS_COUNT):
        if not listener.in_progress_count:
            break
        await asyncio.sleep(_POLL_INTERVAL_S)
    # A request leaves the count before its response has been sent.
    await asyncio.sleep(_POLL_INTERVAL_S)


def _create_listeners(
    settings: GraphSettings,
    process: GraphProcess,
    metrics: GraphMetrics,
) -> tuple[Listener, ...]:
    handler = CallerRequestHandler(process.front, metrics)
    max_count = settings.front.connections_max_count
    inner_limits = settings.connections.for_inner_listener()
    inner = ListenerSettings(
        _INNER_THREADS_COUNT,
        inner_connections_max_count(max_count),
        lambda: inner_limits,
    )
    return (
        Listener(
            settings.listen.callers,
            ListenerSettings(
                settings.front.threads_count,
                max_count,
                partial(_caller_limits, process.front),
            ),
            handler.answer,
            ReceptionObserver('callers', metrics.reception),
        ),
        Listener(
            settings.listen.readiness,
            inner,
            partial(_answer_readiness, process.front),
            ReceptionObserver('readiness', metrics.reception),
        ),
        Listener(
            settings.listen.metrics,
            inner,
            partial(_serve_diagnostics, process, metrics),
            ReceptionObserver('metrics', metrics.reception),
        ),
    )


def _caller_limits(front: Front) -> ConnectionLimits:
    """Return the limits of the settings, changed for those of the operators."""
    config = front.view.config
    granted = RequestLimits() if config is None else config.limits
    return _changed_limits(front.settings.connections, granted)


@lru_cache(maxsize=4)
def _changed_limits(
    limits: ConnectionLimits, granted: RequestLimits
) -> ConnectionLimits:
    return limits.for_clients(
        GrantedLimits(
            granted.header_max_bytes,
            granted.body_max_bytes,
            granted.header_timeout_ms,
            granted.idle_timeout_ms,
        ),
    )


def _answer_readiness(front: Front, request: Request) -> Response:
    """Answer the readiness check of the platform's load balancer."""
    if request.path != '/readyz':
        return Response(HTTPStatus.NOT_FOUND)
    if front.view.is_ready:
        return Response(HTTPStatus.OK)
    return Response(HTTPStatus.SERVICE_UNAVAILABLE)


def _serve_diagnostics(
    process: GraphProcess,
    metrics: GraphMetrics,
    request: Request,
) -> Response:
    """Serve metrics and the state dump."""
    if request.path == '/metrics':
        return Response(
            HTTPStatus.OK,
            metrics.render(),
            'text/plain; version=0.0.4',
        )
    if request.path == '/dump':
        state = process.front.ask_actor(process.mailbox, GetDump)
        return Response(HTTPStatus.OK, json.dumps(state, default=str).encode())
    return Response(HTTPStatus.NOT_FOUND)


def _handle_signals(
    process: GraphProcess,
    path: Path,
    settings: GraphSettings,
) -> None:
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, process.drain)
    loop.add_signal_handler(signal.SIGHUP, _check_settings, path, settings)


def _check_settings(path: Path, settings: GraphSettings) -> None:
    """Check the settings file; changes take effect at the next start."""
    load_result = load_graph_settings(path)
    if isinstance(load_result, Failure):
        events.emit(
            graph_events.DOCUMENT_UNREADABLE,
            key=str(path),
            revision=0,
            problem='; '.join(load_result.failure()),
        )
        return
    events.emit(
        graph_events.SETTINGS_RELOADED,
        is_changed=load_result.unwrap() != settings,
    )


if __name__ == '__main__':
    run()
