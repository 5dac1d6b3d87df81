"""Which partition a job belongs to, and the actor that finds its owner."""

import zlib
from collections.abc import Callable
from dataclasses import dataclass

from fuchsiarill import codes, texts
from fuchsiarill.actor import Actor, handles
from fuchsiarill.answers import JobAnswer, refused
from fuchsiarill.cell_config import CellConfig
from fuchsiarill.cluster.peer_link import PeerLink
from fuchsiarill.ids import (
    CustomerId,
    JobId,
    PartitionId,
    RackId,
    RegionId,
)
from fuchsiarill.owner import messages
from fuchsiarill.owner.claims import OwnerFound
from fuchsiarill.refusal import refuse
from fuchsiarill.settings import PeerSettings


@dataclass(frozen=True, slots=True)
class OwnerRoute:
    """Where to send messages for the owner of a partition."""

    found: OwnerFound
    link: Actor | None


@dataclass(frozen=True, slots=True)
class Route:
    """Pass a message to the owner of a partition.

    `message` is one of `SubmitJobs`, `AskJob` and `CancelJob`; its reply is
    answered here when no owner is known. A call of another process has no
    `hops_left`: two processes with stale routes must not pass it to and fro.
    """

    partition: PartitionId
    message: messages.SubmitJobs | messages.AskJob | messages.CancelJob
    hops_left: int = 1


def partitions_of(config: CellConfig, region: RegionId) -> list[PartitionId]:
    """Return the partitions of a region in a fixed order."""
    for candidate in config.regions:
        if candidate.name == region:
            return [
                PartitionId(f'{region}.{index}')
                for index in range(candidate.partitions_count)
            ]
    return []


def partition_of_key(
    config: CellConfig,
    customer: CustomerId,
    idempotency_key: str,
) -> PartitionId | None:
    """Return the partition of a job; `None` for an unknown customer."""
    contract = config.contract_of(customer)
    if contract is None:
        return None
    partitions = partitions_of(config, contract.region)
    digest = zlib.crc32(f'{customer}\n{idempotency_key}'.encode())
    return partitions[digest % len(partitions)]


def partition_of_job(job_id: JobId) -> PartitionId:
    """Return the partition that is part of every job id."""
    return PartitionId(job_id.rpartition('-')[0])


def partition_of_rack(
    config: CellConfig,
    region: RegionId,
    rack: RackId,
) -> PartitionId | None:
    """Return the partition of a rack; `None` for an unknown region."""
    partitions = partitions_of(config, region)
    if not partitions:
        return None
    return partitions[zlib.crc32(rack.encode()) % len(partitions)]


class Router(Actor):
    """Knows the owner of each partition and passes messages to it."""

    def __init__(
        self,
        settings: PeerSettings,
        connect: Callable[[PartitionId, str, PeerSettings], Actor] = PeerLink,
    ) -> None:
        """Start with no owner known; `connect` creates links to peers."""
        super().__init__('router')
        self._settings = settings
        self._connect = connect
        self._routes: dict[PartitionId, OwnerRoute] = {}

    @handles(OwnerFound)
    async def on_found(self, message: OwnerFound) -> None:
        """Note where the owner of a partition is."""
        known = self._routes.get(message.partition)
        if known is not None and known.found == message:
            return
        if known is not None and known.link is not None:
            await known.link.stop()
        link = None
        if message.mailbox is None and message.claim is not None:
            link = self._connect(
                message.partition,
                message.claim.peer_address,
                self._settings,
            )
            link.start()
        self._routes[message.partition] = OwnerRoute(message, link)

    @handles(Route)
    async def on_route(self, message: Route) -> None:
        """Pass a message on, or answer that no owner is known."""
        route = self._routes.get(message.partition)
        if route is not None and self._pass_on(route, message):
            return
        unavailable = refused(
            refuse(
                codes.OWNER_UNAVAILABLE,
                texts.OWNER_UNAVAILABLE,
                partition=message.partition,
                retry_after_ms=self._settings.call_timeout_ms,
            ),
        )
        answer_all(message.message, unavailable)

    def _pass_on(self, route: OwnerRoute, message: Route) -> bool:
        if route.found.mailbox is not None:
            return route.found.mailbox.send(message.message)
        if route.link is not None and message.hops_left:
            return route.link.mailbox.send(message.message)
        return False


def answer_all(
    message: messages.SubmitJobs | messages.AskJob | messages.CancelJob,
    answer: JobAnswer,
) -> None:
    """Give the same answer to everything that a message asks."""
    if isinstance(message, messages.SubmitJobs):
        message.reply.answer((answer,) * len(message.specs))
        return
    message.reply.answer(answer)
