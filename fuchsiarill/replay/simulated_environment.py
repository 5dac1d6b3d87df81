"""What a process reaches outside of itself, and how."""

from dataclasses import dataclass

from fuchsiarill.cluster.member_table import MemberDetail
from fuchsiarill.owner.partition_service import Ports
from fuchsiarill.replay.fake_host_list import FakeHostList, ProcessHostList
from fuchsiarill.replay.fake_workers import FakeWorker, ProcessWorkers
from fuchsiarill.replay.fakes import FakeStore, ProcessStore
from fuchsiarill.replay.network import Endpoint, Network
from fuchsiarill.replay.peer_calls import Listener
from fuchsiarill.replay.seen import SeenLog
from fuchsiarill.settings import ProcessSettings


@dataclass(frozen=True, slots=True)
class SimulatedEnvironment:
    """Everything outside of a process that it can reach.

    `listeners` maps the peer address of a process to how calls reach it.
    """

    log: SeenLog
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
    """Return the ports of one process."""
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
    """Return what others are told of one life of a process."""
    return MemberDetail(
        settings.process,
        settings.region,
        settings.failure_domain,
        f'{settings.peers.host}:{settings.peers.port}',
        incarnation=incarnation,
    )
