"""The simulated systems outside of a process and its ports to them."""

from dataclasses import dataclass

from fuchsiarill.cluster.member_table import MemberDetail
from fuchsiarill.owner.partition_service import Ports
from fuchsiarill.replay.fake_host_list import FakeHostList, ProcessHostList
from fuchsiarill.replay.fake_store import FakeStore, ProcessStore
from fuchsiarill.replay.fake_workers import FakeWorker, ProcessWorkers
from fuchsiarill.replay.network import Endpoint, Network
from fuchsiarill.replay.observations import ObservationLog
from fuchsiarill.replay.peer_calls import Listener
from fuchsiarill.settings import ProcessSettings


@dataclass(frozen=True, slots=True)
class SimulatedEnvironment:
    """The systems outside of a process that it can call.

    `listeners` maps peer addresses to the processes that accept calls there.
    """

    log: ObservationLog
    network: Network
    store: FakeStore
    host_list: FakeHostList
    workers: dict[str, FakeWorker]
    listeners: dict[str, Listener]
    seed: int


def process_ports(
    settings: ProcessSettings,
    endpoint: Endpoint,
    environment: SimulatedEnvironment,
) -> Ports:
    """Return the ports of a process, which call from its endpoint."""
    network = environment.network
    return Ports(
        ProcessStore(settings.store, network, endpoint, environment.store),
        ProcessHostList(
            settings.host_list,
            network,
            endpoint,
            environment.host_list,
        ),
        ProcessWorkers(
            settings.workers,
            network,
            endpoint,
            environment.workers,
        ),
    )


def own_detail(settings: ProcessSettings, incarnation: int) -> MemberDetail:
    """Return the member detail that one incarnation publishes."""
    return MemberDetail(
        settings.process,
        settings.region,
        settings.failure_domain,
        f'{settings.peers.host}:{settings.peers.port}',
        incarnation=incarnation,
    )
