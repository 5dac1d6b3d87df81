"""Which partition a job belongs to, and the actor that finds its owner."""

import zlib
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any, Final

from fuchsiarill import codes, texts
from fuchsiarill.actor import Actor, Mailbox, handles
from fuchsiarill.answers import JobAnswer, JobExplanation, refused
from fuchsiarill.cell_config import CellConfig
from fuchsiarill.clock import sleep_ms
from fuchsiarill.cluster.membership import PartitionsOwned, ViewChanged
from fuchsiarill.cluster.spawning import SpawningActor
from fuchsiarill.ids import (
    CustomerId,
    JobId,
    PartitionId,
    ProcessId,
    RackId,
    RegionId,
)
from fuchsiarill.owner import messages
from fuchsiarill.owner.claims import OwnerClaim, OwnerLocated
from fuchsiarill.refusal import refuse
from fuchsiarill.settings import PeerSettings

JobMessage = (
    messages.SubmitJobs
    | messages.QueryJob
    | messages.CancelJob
    | messages.ListJobs
    | messages.ExplainJob
)
OwnerLookUp = Callable[[PartitionId], Awaitable[OwnerLocated | None]]

_PARKED_MAX_COUNT: Final = 256
_RETRY_AFTER_MS: Final = 500
# Longer than the deadline of any call but a query that waits.
_RETIRE_AFTER_MS: Final = 10_000


@dataclass(frozen=True, slots=True)
class OwnerRoute:
    """Where to send messages for the owner of a partition."""

    found: OwnerLocated
    link: Actor | None


@dataclass(frozen=True, slots=True)
class Route:
    """Pass a message to the owner of a partition.

    The reply of `message` is answered here when no owner is known. A call of
    another process has no `hops_left`: two processes with stale routes must
    not pass it to and fro.
    """

    partition: PartitionId
    message: 'JobMessage'
    hops_left: int = 1


@dataclass(frozen=True, slots=True)
class RouteStale:
    """The owner was not found at this address."""

    partition: PartitionId
    address: str


@dataclass(frozen=True, slots=True)
class OwnerLookedUp:
    """The owner key was read; `None` when the store did not answer."""

    partition: PartitionId
    found: OwnerLocated | None


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


class Router(SpawningActor):
    """Knows the owner of each partition and passes messages to it."""

    def __init__(
        self,
        settings: PeerSettings,
        connect: Callable[[PartitionId, str, PeerSettings], Actor],
        look_up: OwnerLookUp | None = None,
    ) -> None:
        """Start with no owner known.

        `connect` creates links to owners in other processes; `look_up` reads
        the owner key when a route is missing or stale.
        """
        super().__init__('router')
        self.membership: Mailbox | None = None
        self._settings = settings
        self._connect = connect
        self._look_up = look_up
        self._routes: dict[PartitionId, OwnerRoute] = {}
        self._looking: set[PartitionId] = set()
        self._parked: list[Route] = []

    @handles(OwnerLocated)
    async def on_found(self, message: OwnerLocated) -> None:
        """Note where the owner of a partition is."""
        known = self._routes.get(message.partition)
        if known is not None and known.found == message:
            return
        if known is not None and known.link is not None:
            self.spawn(self._retire(known.link))
        link = None
        if message.mailbox is None and message.claim is not None:
            link = self._connect(
                message.partition,
                message.claim.peer_address,
                self._settings,
            )
            link.start()
        self._routes[message.partition] = OwnerRoute(message, link)
        self._publish_owned()
        self._release(message.partition)

    @handles(Route)
    async def on_route(self, message: Route) -> None:
        """Pass a message on, or answer that no owner is known."""
        route = self._routes.get(message.partition)
        if route is not None and self._pass_on(route, message):
            return
        if message.hops_left and self._refresh(message.partition):
            self._park(message)
            return
        answer_all(message.message, _unavailable(message.partition))

    @handles(RouteStale)
    async def on_stale(self, message: RouteStale) -> None:
        """Look where the owner is now."""
        route = self._routes.get(message.partition)
        claim = None if route is None else route.found.claim
        if claim is not None and claim.peer_address == message.address:
            self._refresh(message.partition)

    @handles(OwnerLookedUp)
    async def on_looked(self, message: OwnerLookedUp) -> None:
        """Use a route that was looked up, unless the owner is here."""
        self._looking.discard(message.partition)
        route = self._routes.get(message.partition)
        is_here = route is not None and route.found.mailbox is not None
        if message.found is not None and not is_here:
            await self.on_found(message.found)
        self._release(message.partition)

    @handles(ViewChanged)
    async def on_view(self, message: ViewChanged) -> None:
        """Learn owners from gossip where the campaigns of no one tell."""
        for member in message.members:
            if member.detail.process == message.own or not member.reachable:
                continue
            claim = OwnerClaim(
                process=member.detail.process,
                peer_address=member.detail.address,
            )
            for partition in member.detail.partitions:
                if self._claim_of(partition) is None:
                    await self.on_found(OwnerLocated(partition, claim, None))

    async def stop(self) -> None:
        """Stop the links too."""
        await super().stop()
        for route in self._routes.values():
            if route.link is not None:
                await route.link.stop()

    def snapshot(self) -> dict[str, Any]:
        """Return the state for a dump."""
        return {
            **super().snapshot(),
            'owners': {
                partition: _owner_of(known)
                for partition, known in self._routes.items()
            },
            'parked_count': len(self._parked),
            'links': [
                known.link.snapshot()
                for known in self._routes.values()
                if known.link is not None
            ],
        }

    def _claim_of(self, partition: PartitionId) -> OwnerClaim | None:
        route = self._routes.get(partition)
        return None if route is None else route.found.claim

    def _pass_on(self, route: OwnerRoute, message: Route) -> bool:
        receiver = route.found.mailbox
        if receiver is None and route.link is not None and message.hops_left:
            receiver = route.link.mailbox
        if receiver is None:
            return False
        if not receiver.send(message.message):
            answer_all(message.message, _overloaded())
        return True

    def _refresh(self, partition: PartitionId) -> bool:
        """Start to look an owner up; `False` when there is no way to."""
        if self._look_up is None:
            return False
        if partition not in self._looking:
            self._looking.add(partition)
            self.spawn(self._look(self._look_up, partition))
        return True

    async def _look(self, look_up: OwnerLookUp, partition: PartitionId) -> None:
        found = await look_up(partition)
        self.mailbox.send(OwnerLookedUp(partition, found))

    def _park(self, message: Route) -> None:
        if len(self._parked) >= _PARKED_MAX_COUNT:
            answer_all(message.message, _overloaded())
            return
        self._parked.append(message)

    def _release(self, partition: PartitionId) -> None:
        """Pass on, or refuse, what waited for the owner of a partition."""
        waiting = [one for one in self._parked if one.partition == partition]
        self._parked = [
            one for one in self._parked if one.partition != partition
        ]
        route = self._routes.get(partition)
        for one in waiting:
            if route is None or not self._pass_on(route, one):
                answer_all(one.message, _unavailable(partition))

    async def _retire(self, link: Actor) -> None:
        """Stop a link once the calls in progress have their answers."""
        try:
            await sleep_ms(_RETIRE_AFTER_MS)
        finally:
            await link.stop()

    def _publish_owned(self) -> None:
        if self.membership is None:
            return
        owned = sorted(
            partition
            for partition, known in self._routes.items()
            if known.found.mailbox is not None
        )
        self.membership.send(PartitionsOwned(tuple(owned)))


def answer_all(message: JobMessage, answer: JobAnswer) -> None:
    """Give the same answer to everything that a message asks."""
    match message:
        case messages.SubmitJobs():
            message.reply.answer((answer,) * len(message.specs))
        case messages.ListJobs():
            message.reply.answer((answer,))
        case messages.ExplainJob():
            message.reply.answer(JobExplanation(answer))
        case _:
            message.reply.answer(answer)


def _owner_of(route: OwnerRoute) -> ProcessId | None:
    claim = route.found.claim
    return None if claim is None else claim.process


def _unavailable(partition: PartitionId) -> JobAnswer:
    return refused(
        refuse(
            codes.OWNER_UNAVAILABLE,
            texts.OWNER_UNAVAILABLE,
            partition=partition,
            retry_after_ms=_RETRY_AFTER_MS,
        ),
    )


def _overloaded() -> JobAnswer:
    return refused(
        refuse(
            codes.OVERLOADED,
            texts.OVERLOADED,
            retry_after_ms=_RETRY_AFTER_MS,
        ),
    )
