"""The router forwards messages to owners, or refuses them without an owner."""

import asyncio
from collections.abc import Callable
from typing import Any

from fuchsiarill import codes
from fuchsiarill.actor import Actor, Mailbox, Reply
from fuchsiarill.answers import JobAnswer, JobQuery
from fuchsiarill.clock import run_paused, sleep_ms
from fuchsiarill.cluster.member_table import (
    NO_GENERATION,
    Beat,
    Member,
    MemberDetail,
)
from fuchsiarill.cluster.membership import MembershipChanged, PartitionsOwned
from fuchsiarill.ids import (
    CustomerId,
    FailureDomain,
    JobId,
    PartitionId,
    ProcessId,
    RegionId,
)
from fuchsiarill.owner.claims import OwnerClaim, OwnerLocated
from fuchsiarill.owner.messages import QueryJob
from fuchsiarill.routing import ForwardToOwner, Router, RouteStale
from fuchsiarill.settings import PeerSettings

_PARTITION = PartitionId('rajkot.0')


class _Links:
    """Creates links that only collect their messages."""

    def __init__(self) -> None:
        self.actors: dict[str, Actor] = {}

    def connect(
        self,
        partition: PartitionId,
        address: str,
        settings: PeerSettings,
    ) -> Actor:
        self.actors[address] = Actor(f'link {address}')
        self.actors[address].start = lambda: None  # type: ignore[method-assign]
        return self.actors[address]

    def counts(self) -> dict[str, int]:
        return {name: len(link.mailbox) for name, link in self.actors.items()}


class _Store:
    """Looks owners up in 50 ms; without an answer while `address` is `None`."""

    def __init__(self, address: str | None) -> None:
        self.address = address
        self.reads_count = 0

    async def look_up(self, partition: PartitionId) -> OwnerLocated | None:
        self.reads_count += 1
        await sleep_ms(50)
        if self.address is None:
            return None
        return _location(self.address)


def _location(address: str, mailbox: Mailbox | None = None) -> OwnerLocated:
    claim = OwnerClaim(process=ProcessId(address), peer_address=address)
    return OwnerLocated(_PARTITION, claim, mailbox)


def _run(
    store: _Store,
    scenario: Callable[[Router, _Links], Any],
) -> None:
    async def main() -> None:
        links = _Links()
        router = Router(PeerSettings(port=0), links.connect, store.look_up)
        router.start()
        await scenario(router, links)
        await router.stop()

    run_paused(main())


async def _route(router: Router, hops_left: int = 1) -> Reply[JobAnswer]:
    reply: Reply[JobAnswer] = Reply()
    query = QueryJob(JobQuery(CustomerId('a'), JobId('rajkot.0-1')), reply)
    router.mailbox.send(ForwardToOwner(_PARTITION, query, hops_left))
    await asyncio.sleep(0)
    return reply


def test_message_waits_for_the_owner_to_be_looked_up() -> None:
    """Guards against a refusal by a process that has just started."""
    store = _Store('other')

    async def scenario(router: Router, links: _Links) -> None:
        for _ in range(3):
            await _route(router)
        await sleep_ms(100)
        assert links.counts() == {'other': 3}
        assert store.reads_count == 1

    _run(store, scenario)


def test_message_is_refused_without_a_store_answer() -> None:
    """Guards against a caller that waits until its own time-out."""
    store = _Store(None)

    async def scenario(router: Router, links: _Links) -> None:
        reply = await _route(router)
        assert (await reply.wait(100)).code is codes.OWNER_UNAVAILABLE

    _run(store, scenario)


def test_call_of_another_process_is_not_forwarded() -> None:
    """Guards against a call that two stale routes forward in a loop."""
    store = _Store('other')

    async def scenario(router: Router, links: _Links) -> None:
        router.mailbox.send(_location('other'))
        reply = await _route(router, hops_left=0)
        assert (await reply.wait(100)).code is codes.OWNER_UNAVAILABLE
        assert links.counts() == {'other': 0}

    _run(store, scenario)


def test_stale_route_is_replaced_once() -> None:
    """Guards against a stale route that is kept, or a store read per report."""
    store = _Store('new')

    async def scenario(router: Router, links: _Links) -> None:
        router.mailbox.send(_location('old'))
        for _ in range(5):
            router.mailbox.send(RouteStale(_PARTITION, 'old'))
        await sleep_ms(100)
        router.mailbox.send(RouteStale(_PARTITION, 'old'))
        await _route(router)
        assert links.counts() == {'old': 0, 'new': 1}
        assert store.reads_count == 1

    _run(store, scenario)


def test_owner_here_is_published_and_not_replaced() -> None:
    """Guards against an old owner key that replaces the local owner."""
    store = _Store('old')

    async def scenario(router: Router, links: _Links) -> None:
        owner = Mailbox()
        router.membership = Mailbox()
        await _route(router)
        router.mailbox.send(_location('here', owner))
        await sleep_ms(100)
        assert len(owner) == 1
        published = await router.membership.receive()
        assert published == PartitionsOwned((_PARTITION,))
        assert not links.actors

    _run(store, scenario)


def test_owner_is_learnt_from_gossip() -> None:
    """Guards against a store read for each partition of another region."""
    store = _Store(None)
    detail = MemberDetail(
        ProcessId('other'),
        RegionId('rajkot'),
        FailureDomain('pour-hall'),
        'other',
        incarnation=1,
        partitions=(_PARTITION,),
    )
    member = Member(detail, Beat(detail.key, 1, NO_GENERATION, 0), 0)

    async def scenario(router: Router, links: _Links) -> None:
        router.mailbox.send(MembershipChanged((member,), ProcessId('own')))
        await _route(router)
        await sleep_ms(1)
        assert links.counts() == {'other': 1}
        assert not store.reads_count

    _run(store, scenario)
