"""Maps jobs to partitions, and forwards messages to partition owners.

An owner in another process is reached through a link, the actor that makes the
calls to it. A message is parked, that is kept in the router, while the owner of
its partition is looked up.
"""

import zlib
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any, Final

from fuchsiarill import codes, texts
from fuchsiarill.actor import Actor, Mailbox, handles
from fuchsiarill.answers import JobAnswer, JobExplanation, refusal_answer
from fuchsiarill.cell_config import CellConfig
from fuchsiarill.clock import sleep_ms
from fuchsiarill.cluster.membership import MembershipChanged, PartitionsOwned
from fuchsiarill.cluster.spawning_actor import SpawningActor
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

_PARKED_MESSAGES_MAX_COUNT: Final = 256
_RETRY_AFTER_MS: Final = 500
# Longer than the deadline of any call except a query that waits for a job end.
_LINK_STOP_DELAY_MS: Final = 10_000


@dataclass(frozen=True, slots=True)
class OwnerRoute:
    """Where to send messages for the owner of a partition.

    `link` is `None` if the owner is in this process or not known.
    """

    location: OwnerLocated
    link: Actor | None


@dataclass(frozen=True, slots=True)
class ForwardToOwner:
    """Requests that a message is forwarded to the owner of a partition.

    The router itself answers `message` when no owner is known or the mailbox of
    the owner or its link is full. A call from another process has no
    `hops_left`: two processes with stale routes must not forward the call to
    each other in a loop.
    """

    partition: PartitionId
    message: 'JobMessage'
    hops_left: int = 1


@dataclass(frozen=True, slots=True)
class RouteStale:
    """`address` did not serve a call as the owner of the partition."""

    partition: PartitionId
    address: str


@dataclass(frozen=True, slots=True)
class OwnerLookedUp:
    """Result of a lookup; `location` is `None` if the store did not answer."""

    partition: PartitionId
    location: OwnerLocated | None


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
    """Tracks the owner of each partition and forwards messages to it."""

    def __init__(
        self,
        settings: PeerSettings,
        create_link: Callable[[PartitionId, str, PeerSettings], Actor],
        look_up_owner: OwnerLookUp | None = None,
    ) -> None:
        """Start with no owner known.

        `create_link` creates links to owners in other processes;
        `look_up_owner` reads the owner key when a route is missing or stale.
        """
        super().__init__('router')
        self.membership: Mailbox | None = None
        self._settings = settings
        self._create_link = create_link
        self._look_up_owner = look_up_owner
        self._routes: dict[PartitionId, OwnerRoute] = {}
        self._lookups: set[PartitionId] = set()
        self._parked_messages: list[ForwardToOwner] = []

    @handles(OwnerLocated)
    async def on_located(self, message: OwnerLocated) -> None:
        """Record the location of an owner if the location is new.

        Parked messages for the partition are then forwarded or refused.
        """
        route = self._routes.get(message.partition)
        if route is not None and route.location == message:
            return
        if route is not None and route.link is not None:
            self.spawn(self._stop_link_later(route.link))
        link = None
        if message.mailbox is None and message.claim is not None:
            link = self._create_link(
                message.partition,
                message.claim.peer_address,
                self._settings,
            )
            link.start()
        self._routes[message.partition] = OwnerRoute(message, link)
        self._publish_owned_partitions()
        self._release_parked(message.partition)

    @handles(ForwardToOwner)
    async def on_route(self, message: ForwardToOwner) -> None:
        """Forward a message, park it during a lookup, or refuse it."""
        route = self._routes.get(message.partition)
        if route is not None and self._forward_message(route, message):
            return
        if message.hops_left and self._start_lookup(message.partition):
            self._park_message(message)
            return
        answer_all(message.message, _unavailable_answer(message.partition))

    @handles(RouteStale)
    async def on_stale(self, message: RouteStale) -> None:
        """Look the owner up again, unless the route has changed already."""
        route = self._routes.get(message.partition)
        claim = None if route is None else route.location.claim
        if claim is not None and claim.peer_address == message.address:
            self._start_lookup(message.partition)

    @handles(OwnerLookedUp)
    async def on_looked_up(self, message: OwnerLookedUp) -> None:
        """Use the owner that was read, unless this process is the owner."""
        self._lookups.discard(message.partition)
        route = self._routes.get(message.partition)
        is_owned_here = route is not None and route.location.mailbox is not None
        if message.location is not None and not is_owned_here:
            await self.on_located(message.location)
        self._release_parked(message.partition)

    @handles(MembershipChanged)
    async def on_view(self, message: MembershipChanged) -> None:
        """Take owners from gossip for partitions without a known claim."""
        for member in message.members:
            if member.detail.process == message.own or not member.reachable:
                continue
            claim = OwnerClaim(
                process=member.detail.process,
                peer_address=member.detail.address,
            )
            for partition in member.detail.partitions:
                if self._claim_of(partition) is None:
                    await self.on_located(OwnerLocated(partition, claim, None))

    async def stop(self) -> None:
        """Stop the router and its links."""
        await super().stop()
        for route in self._routes.values():
            if route.link is not None:
                await route.link.stop()

    def snapshot(self) -> dict[str, Any]:
        """Return the state for a dump."""
        return {
            **super().snapshot(),
            'owners': {
                partition: _owner_of(route)
                for partition, route in self._routes.items()
            },
            'parked_count': len(self._parked_messages),
            'links': [
                route.link.snapshot()
                for route in self._routes.values()
                if route.link is not None
            ],
        }

    def _claim_of(self, partition: PartitionId) -> OwnerClaim | None:
        route = self._routes.get(partition)
        return None if route is None else route.location.claim

    def _forward_message(
        self, route: OwnerRoute, message: ForwardToOwner
    ) -> bool:
        mailbox = route.location.mailbox
        if mailbox is None and route.link is not None and message.hops_left:
            mailbox = route.link.mailbox
        if mailbox is None:
            return False
        if not mailbox.send(message.message):
            answer_all(message.message, _overloaded_answer())
        return True

    def _start_lookup(self, partition: PartitionId) -> bool:
        """Look the owner up unless a lookup is in progress already.

        Returns `False` without `look_up_owner`.
        """
        if self._look_up_owner is None:
            return False
        if partition not in self._lookups:
            self._lookups.add(partition)
            self.spawn(self._read_owner(self._look_up_owner, partition))
        return True

    async def _read_owner(
        self, look_up_owner: OwnerLookUp, partition: PartitionId
    ) -> None:
        location = await look_up_owner(partition)
        self.mailbox.send(OwnerLookedUp(partition, location))

    def _park_message(self, message: ForwardToOwner) -> None:
        if len(self._parked_messages) >= _PARKED_MESSAGES_MAX_COUNT:
            answer_all(message.message, _overloaded_answer())
            return
        self._parked_messages.append(message)

    def _release_parked(self, partition: PartitionId) -> None:
        """Forward or refuse the messages parked for a partition."""
        messages_to_release = [
            parked_message
            for parked_message in self._parked_messages
            if parked_message.partition == partition
        ]
        self._parked_messages = [
            parked_message
            for parked_message in self._parked_messages
            if parked_message.partition != partition
        ]
        route = self._routes.get(partition)
        for released_message in messages_to_release:
            if route is None or not self._forward_message(
                route, released_message
            ):
                answer_all(
                    released_message.message, _unavailable_answer(partition)
                )

    async def _stop_link_later(self, link: Actor) -> None:
        """Stop a link after a delay in which its calls in progress end."""
        try:
            await sleep_ms(_LINK_STOP_DELAY_MS)
        finally:
            await link.stop()

    def _publish_owned_partitions(self) -> None:
        if self.membership is None:
            return
        owned_partitions = sorted(
            partition
            for partition, route in self._routes.items()
            if route.location.mailbox is not None
        )
        self.membership.send(PartitionsOwned(tuple(owned_partitions)))


def answer_all(message: JobMessage, answer: JobAnswer) -> None:
    """Answer each request in a message with the same answer."""
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
    claim = route.location.claim
    return None if claim is None else claim.process


def _unavailable_answer(partition: PartitionId) -> JobAnswer:
    return refusal_answer(
        refuse(
            codes.OWNER_UNAVAILABLE,
            texts.OWNER_UNAVAILABLE,
            partition=partition,
            retry_after_ms=_RETRY_AFTER_MS,
        ),
    )


def _overloaded_answer() -> JobAnswer:
    return refusal_answer(
        refuse(
            codes.OVERLOADED,
            texts.OVERLOADED,
            retry_after_ms=_RETRY_AFTER_MS,
        ),
    )
