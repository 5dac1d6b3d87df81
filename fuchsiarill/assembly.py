"""Connects the actors of one process.

The daemon and the simulation of a cell in `replay` both use `Assembly`.
"""

import random
from dataclasses import dataclass, replace

from returns.result import Success

from fuchsiarill.actor import Actor
from fuchsiarill.cell_config import CellConfig
from fuchsiarill.cluster.config_change import ConfigParser
from fuchsiarill.cluster.config_distribution import ConfigDistributor
from fuchsiarill.cluster.directory import ProcessDirectory
from fuchsiarill.cluster.member_table import MemberDetail
from fuchsiarill.cluster.membership import Membership
from fuchsiarill.cluster.owner_link import OwnerLink
from fuchsiarill.cluster.peers import RpcPeers
from fuchsiarill.ids import PartitionId
from fuchsiarill.owner.campaign import Campaign
from fuchsiarill.owner.claims import OwnerLocated, parse_claim
from fuchsiarill.owner.keys import owner_key
from fuchsiarill.owner.messages import Tick
from fuchsiarill.owner.partition_service import Ports
from fuchsiarill.ports.store_health import HealthTrackingStore
from fuchsiarill.process import Process, ProcessContext
from fuchsiarill.process_messages import Receivers
from fuchsiarill.routing import Router
from fuchsiarill.settings import PeerSettings, ProcessSettings


@dataclass(frozen=True, slots=True)
class Environment:
    """Identity, settings and outside dependencies of a process."""

    settings: ProcessSettings
    own_detail: MemberDetail
    ports: Ports
    peers: RpcPeers
    config_parser: ConfigParser
    random_source: random.Random


class Assembly:
    """The actors of a process, except its front end."""

    def __init__(
        self,
        environment: Environment,
        extra_actors: tuple[Actor, ...] = (),
    ) -> None:
        """Create the actors.

        The `Process` actor checks `extra_actors` for failures too.
        """
        settings = environment.settings
        store = HealthTrackingStore(environment.ports.store)
        self._settings = settings
        self._ports = replace(environment.ports, store=store)
        self._peers = environment.peers
        self.membership = Membership(
            settings.membership,
            environment.own_detail,
            ProcessDirectory(store),
            environment.peers,
            environment.random_source,
        )
        store.changed = self.membership.update_store_state
        self.config_actor = ConfigDistributor(
            settings.config,
            store,
            environment.peers,
            environment.config_parser,
            environment.random_source,
        )
        self.router = Router(
            settings.peers, self._create_owner_link, self._look_up_owner
        )
        own_actors = (
            self.membership,
            self.config_actor,
            self.config_actor.source,
            self.router,
        )
        self.process = Process(
            settings,
            ProcessContext(
                self.membership.mailbox,
                (*extra_actors, *own_actors),
                environment.peers,
                self._ports.host_list,
            ),
            self._open_campaign,
        )
        self.receivers = Receivers(
            self.router.mailbox,
            self.membership.mailbox,
            self.config_actor.mailbox,
            self.process.mailbox,
        )

    def attach_front(self, front: Actor) -> tuple[Actor, ...]:
        """Connect the front end.

        Returns the actors that the caller must start, in this order.
        """
        self.process.front = front
        self.router.membership = self.membership.mailbox
        self.config_actor.membership = self.membership.mailbox
        self.config_actor.subscribers.extend(
            (front.mailbox, self.process.mailbox)
        )
        self.membership.subscribers.extend(
            (
                self.config_actor.mailbox,
                self.router.mailbox,
                self.process.mailbox,
            ),
        )
        return (
            self.router,
            self.process,
            front,
            self.membership,
            self.config_actor,
        )

    def _create_owner_link(
        self,
        partition: PartitionId,
        address: str,
        settings: PeerSettings,
    ) -> Actor:
        return OwnerLink(
            partition,
            address,
            settings,
            self._peers,
            self.router.mailbox,
        )

    async def _look_up_owner(
        self, partition: PartitionId
    ) -> OwnerLocated | None:
        """Read the owner key; `None` when the store does not answer."""
        match await self._ports.store.get(owner_key(partition)):
            case Success(item):
                return OwnerLocated(partition, parse_claim(item), mailbox=None)
        return None

    def _open_campaign(
        self,
        partition: PartitionId,
        config: CellConfig,
    ) -> Campaign:
        campaign = Campaign(
            self._settings,
            partition,
            config,
            self._ports,
            self.router.mailbox,
        )
        campaign.start()
        campaign.mailbox.send(Tick())
        campaign.tick_every(
            self._settings.store.owner_renew_interval_ms,
            Tick(),
        )
        return campaign
