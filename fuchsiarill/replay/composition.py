"""The actors of one process, wired as the daemon wires them."""

import asyncio
from dataclasses import dataclass
from functools import partial
from typing import Any

from returns.result import Failure, Success

from fuchsiarill import codes, texts
from fuchsiarill.actor import Actor, Reply, handles
from fuchsiarill.answers import JobAnswer, refused
from fuchsiarill.cell_config import CellConfig, parse_config
from fuchsiarill.clock import sleep_ms
from fuchsiarill.ids import PartitionId, StoreKey
from fuchsiarill.owner import messages
from fuchsiarill.owner.campaign import Campaign, Ports
from fuchsiarill.ports.http_client import CallFailure
from fuchsiarill.refusal import refuse
from fuchsiarill.replay.fake_workers import FakeWorker, ProcessWorkers
from fuchsiarill.replay.fakes import (
    FakeHostList,
    FakeStore,
    ProcessHostList,
    ProcessStore,
)
from fuchsiarill.replay.network import Endpoint, Network
from fuchsiarill.replay.seen import SeenLog
from fuchsiarill.routing import Route, Router, answer_all, partitions_of
from fuchsiarill.settings import PeerSettings, ProcessSettings
from fuchsiarill.states import PartitionEvent

CONFIG_KEY = StoreKey('config/current')
_CONFIG_RETRY_MS = 500
_DRAIN_CHECK_MS = 20

JobMessage = messages.SubmitJobs | messages.AskJob | messages.CancelJob


@dataclass(frozen=True, slots=True)
class Surroundings:
    """Everything outside of a process that it can reach.

    `listeners` maps the peer address of a process to how calls reach it.
    """

    log: SeenLog
    network: Network
    store: FakeStore
    host_list: FakeHostList
    workers: dict[str, FakeWorker]
    listeners: dict[str, Any]


class PeerCalls(Actor):
    """Passes messages to the owner of a partition in another process.

    Takes the place of `PeerLink`, with its deadlines and refusals.
    """

    def __init__(
        self,
        source: Endpoint,
        surroundings: Surroundings,
        partition: PartitionId,
        address: str,
        settings: PeerSettings,
    ) -> None:
        """Call the process that listens at `address`."""
        super().__init__(f'peer link {address}')
        self._source = source
        self._surroundings = surroundings
        self._partition = partition
        self._address = address
        self._settings = settings
        self._calls: set[asyncio.Task[None]] = set()

    @handles(messages.SubmitJobs)
    async def on_submit(self, message: messages.SubmitJobs) -> None:
        """Submit a batch remotely."""
        self._spawn(message, partial(messages.SubmitJobs, message.specs), 0)

    @handles(messages.AskJob)
    async def on_ask(self, message: messages.AskJob) -> None:
        """Query remotely."""
        build = partial(messages.AskJob, message.query)
        self._spawn(message, build, message.query.wait_ms)

    @handles(messages.CancelJob)
    async def on_cancel(self, message: messages.CancelJob) -> None:
        """Cancel remotely."""
        self._spawn(message, partial(messages.CancelJob, message.cancel), 0)

    def _spawn(self, message: JobMessage, build: Any, wait_ms: int) -> None:
        call = asyncio.create_task(self._call(message, build, wait_ms))
        self._calls.add(call)
        call.add_done_callback(self._calls.discard)

    async def _call(
        self,
        message: JobMessage,
        build: Any,
        wait_ms: int,
    ) -> None:
        listener = self._surroundings.listeners[self._address]
        answer = await self._surroundings.network.ask(
            self._source,
            listener.endpoint,
            listener.post(partial(self._route, build)),
            self._settings.call_timeout_ms + wait_ms,
        )
        match answer:
            case Success(received):
                message.reply.answer(received)
            case Failure(CallFailure.NOT_SENT):
                answer_all(message, self._unavailable())
            case _:
                answer_all(message, self._uncertain())

    def _route(self, build: Any, reply: Reply[Any]) -> Route:
        return Route(self._partition, build(reply), hops_left=0)

    def _unavailable(self) -> JobAnswer:
        return refused(
            refuse(
                codes.OWNER_UNAVAILABLE,
                texts.OWNER_UNAVAILABLE,
                partition=self._partition,
                retry_after_ms=self._settings.call_timeout_ms,
            ),
        )

    def _uncertain(self) -> JobAnswer:
        return refused(
            refuse(
                codes.OUTCOME_UNCERTAIN,
                texts.OUTCOME_UNCERTAIN,
                partition=self._partition,
            ),
        )


class Composition:
    """The running actors of one process."""

    def __init__(
        self,
        settings: ProcessSettings,
        endpoint: Endpoint,
        surroundings: Surroundings,
    ) -> None:
        """Create the router; `start` waits for the configuration."""
        self.settings = settings
        self.endpoint = endpoint
        self.surroundings = surroundings
        self.ports = Ports(
            ProcessStore(
                settings.store,
                surroundings.network,
                endpoint,
                surroundings.store,
            ),
            ProcessHostList(
                settings.host_list,
                surroundings.network,
                endpoint,
                surroundings.host_list,
            ),
            ProcessWorkers(
                settings.workers,
                surroundings.network,
                endpoint,
                surroundings.workers,
            ),
        )
        self.router = Router(
            settings.peers,
            partial(PeerCalls, endpoint, surroundings),
        )
        self.campaigns: list[Campaign] = []
        self._starting: asyncio.Task[None] | None = None

    def accept(self, message: Route) -> bool:
        """Hand a call to the router."""
        return self.router.mailbox.send(message)

    def start(self) -> None:
        """Run the actors."""
        self._starting = asyncio.create_task(self._start())

    async def drain(self) -> None:
        """Finish what callers wait for, hand over, and stop."""
        network = self.surroundings.network
        for campaign in self.campaigns:
            await campaign.step(PartitionEvent.HANDOVER_ASKED)
        while network.calls_to(self.endpoint):
            await sleep_ms(_DRAIN_CHECK_MS)

    async def _start(self) -> None:
        config = await self._first_config()
        self.router.start()
        store = self.settings.store
        for partition in partitions_of(config, self.settings.region):
            campaign = Campaign(
                self.settings,
                partition,
                config,
                self.ports,
                self.router.mailbox,
            )
            campaign.start()
            campaign.mailbox.send(messages.Tick())
            campaign.tick_every(
                store.owner_renew_interval_ms,
                messages.Tick(),
            )
            self.campaigns.append(campaign)

    async def _first_config(self) -> CellConfig:
        while True:
            match await self.ports.store.get(CONFIG_KEY):
                case Success(found) if found.value is not None:
                    return parse_config(found.value).unwrap()
            await sleep_ms(_CONFIG_RETRY_MS)


def compose(
    settings: ProcessSettings,
    endpoint: Endpoint,
    surroundings: Surroundings,
) -> Composition:
    """Create the actors of a process and run them."""
    composition = Composition(settings, endpoint, surroundings)
    composition.start()
    return composition
