"""Actor for the lifecycle of a process, with states of `charts/process.yaml`.

For each partition of its region it starts a campaign, the actor that competes
for its ownership. It drains the process on request, and ends it when one of its
actors has failed.
"""

import asyncio
import json
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Final

from returns.result import Failure, Result, Success

from fuchsiarill import codes, events, texts
from fuchsiarill.actor import Actor, Mailbox, Reply, handles
from fuchsiarill.cell_config import CellConfig
from fuchsiarill.clock import sleep_ms
from fuchsiarill.cluster.member_table import Member
from fuchsiarill.cluster.membership import (
    LeaveCluster,
    MembershipChanged,
    StateChanged,
)
from fuchsiarill.cluster.peer_port import PeerPort
from fuchsiarill.cluster.spawning_actor import SpawningActor
from fuchsiarill.front.front_actor import StopFront
from fuchsiarill.ids import PartitionId, ProcessId
from fuchsiarill.owner.campaign import Campaign
from fuchsiarill.owner.campaign_messages import CandidatesUpdated
from fuchsiarill.owner.messages import (
    ConfigChanged,
    HandOver,
    StoreOutageConfirmed,
    Tick,
)
from fuchsiarill.ports.host_list import HostListPort
from fuchsiarill.process_measures import host_rows, sum_measures
from fuchsiarill.process_messages import (
    DrainRequested,
    ForwardDump,
    GetDump,
    GetHosts,
    GetMeasures,
)
from fuchsiarill.refusal import Refusal, refuse
from fuchsiarill.routing import partitions_of
from fuchsiarill.settings import ProcessSettings
from fuchsiarill.state_chart import load_chart
from fuchsiarill.states import ProcessEvent, ProcessState

PROCESS_CHART: Final = load_chart('process', ProcessState, ProcessEvent)

_ACTOR_CHECK_INTERVAL_MS: Final = 1_000


@dataclass(frozen=True, slots=True)
class ProcessContext:
    """The other actors of the process, and the ports that it calls directly."""

    membership: Mailbox
    actors: tuple[Actor, ...]
    peers: PeerPort
    host_list: HostListPort


class Process(SpawningActor):
    """Advances the process chart and owns the campaigns."""

    def __init__(
        self,
        settings: ProcessSettings,
        context: ProcessContext,
        open_campaign: Callable[[PartitionId, CellConfig], Campaign],
    ) -> None:
        """Start without configuration and without campaigns."""
        super().__init__('process')
        self.state = PROCESS_CHART.initial
        self.front: Actor | None = None
        self.ended = asyncio.Event()
        self.has_failed = False
        self._settings = settings
        self._context = context
        self._open_campaign = open_campaign
        self._config: CellConfig | None = None
        self._campaigns: dict[PartitionId, Campaign] = {}
        self._addresses: dict[ProcessId, str] = {}
        self._candidate_loads: dict[ProcessId, int] = {}

    def start(self) -> None:
        """Run the actor; checks the others for failures at an interval."""
        super().start()
        self.tick_every(_ACTOR_CHECK_INTERVAL_MS, Tick())

    async def stop(self) -> None:
        """Stop the campaigns at once; leases not handed over expire."""
        await super().stop()
        stop_calls = [campaign.stop() for campaign in self._campaigns.values()]
        await asyncio.gather(*stop_calls)

    @handles(ConfigChanged)
    async def on_config(self, message: ConfigChanged) -> None:
        """Start campaigns for new partitions; forward the configuration."""
        self._config = message.config
        for campaign in self._campaigns.values():
            campaign.mailbox.send(message)
        if self.state in _ENDING_STATES:
            return
        for partition in partitions_of(message.config, self._settings.region):
            if partition not in self._campaigns:
                self._campaigns[partition] = self._open_campaign(
                    partition,
                    message.config,
                )
                self._campaigns[partition].mailbox.send(
                    CandidatesUpdated(self._candidate_loads),
                )
        self._apply_event(ProcessEvent.CONFIGURED)

    @handles(MembershipChanged)
    async def on_view(self, message: MembershipChanged) -> None:
        """Forward candidates for ownership and store outages to campaigns."""
        self._addresses = {
            member.detail.process: member.detail.address
            for member in message.members
        }
        candidate_loads = {
            member.detail.process: len(member.detail.partitions)
            for member in message.members
            if self._is_candidate(member)
        }
        if message.outage_until_ms:
            outage = StoreOutageConfirmed(message.outage_until_ms)
            for notified_campaign in self._campaigns.values():
                notified_campaign.mailbox.send(outage)
        if candidate_loads == self._candidate_loads:
            return
        self._candidate_loads = candidate_loads
        for campaign in self._campaigns.values():
            campaign.mailbox.send(CandidatesUpdated(candidate_loads))

    @handles(DrainRequested)
    async def on_drain(self, message: DrainRequested) -> None:
        """Drain once, within the times of `DrainSettings`."""
        if self.state is ProcessState.DRAINING:
            return
        events.emit(events.PROCESS_DRAINING, process=self._settings.process)
        self._apply_event(ProcessEvent.DRAIN_ASKED)
        self.spawn(self._run_drain())

    @handles(Tick)
    async def on_tick(self, message: Tick) -> None:
        """End the process if an actor has failed: its state is lost."""
        for actor in self._actors():
            error = actor.fault()
            if error is None:
                continue
            events.emit(events.ACTOR_DIED, actor=actor.name, error=error)
            self.has_failed = True
            self.ended.set()

    @handles(GetDump)
    async def on_dump(self, message: GetDump) -> None:
        """Return the state of every actor."""
        message.reply.answer(self._dump())

    @handles(ForwardDump)
    async def on_forward(self, message: ForwardDump) -> None:
        """Return the dump of this process or of the requested peer."""
        if message.process in {None, self._settings.process}:
            message.reply.answer(Success(self._dump()))
            return
        self.spawn(self._forward_dump(message))

    @handles(GetHosts)
    async def on_hosts(self, message: GetHosts) -> None:
        """Answer with the host list, without blocking the actor."""
        self.spawn(self._read_hosts(message))

    @handles(GetMeasures)
    async def on_measures(self, message: GetMeasures) -> None:
        """Return the measures that the metrics export."""
        actor_states = [actor.snapshot() for actor in self._actors()]
        message.reply.answer(sum_measures(actor_states))

    def _actors(self) -> tuple[Actor, ...]:
        fronts = () if self.front is None else (self.front,)
        return (*self._context.actors, *fronts, *self._campaigns.values())

    def _is_candidate(self, member: Member) -> bool:
        """Return whether a process may become owner of local partitions."""
        detail = member.detail
        is_in_region = detail.region == self._settings.region
        is_serving = detail.state is ProcessState.SERVING
        return is_in_region and is_serving and member.reachable

    def _dump(self) -> str:
        state = {
            'process': self._settings.process,
            'region': self._settings.region,
            'failure_domain': self._settings.failure_domain,
            'state': self.state.value,
            'actors': [actor.snapshot() for actor in self._actors()],
        }
        return json.dumps(state, default=str)

    def _apply_event(self, event: ProcessEvent) -> None:
        transition = PROCESS_CHART.step(self.state, event)
        if transition is None:
            return
        self.state = transition.target
        state_change = StateChanged(transition.target)
        self._context.membership.send(state_change)
        if self.front is not None:
            self.front.mailbox.send(state_change)
        if transition.target is ProcessState.SERVING:
            events.emit(
                events.PROCESS_STARTED,
                process=self._settings.process,
                failure_domain=self._settings.failure_domain,
            )

    async def _run_drain(self) -> None:
        """Drain the process in the steps that `DrainSettings` limits.

        Wait for the load balancer, hand over the partitions, finish open
        requests, leave the cluster.
        """
        drain = self._settings.drain
        await sleep_ms(drain.notice_ms)
        await asyncio.gather(
            *(
                _request_and_wait(
                    campaign.mailbox, HandOver, drain.hand_over_ms
                )
                for campaign in self._campaigns.values()
            ),
        )
        if self.front is not None:
            await _request_and_wait(
                self.front.mailbox,
                lambda reply: StopFront(drain.answers_ms, reply),
                2 * drain.answers_ms,
            )
        await _request_and_wait(
            self._context.membership, LeaveCluster, drain.leave_ms
        )
        self._apply_event(ProcessEvent.DRAINED)
        self.ended.set()

    async def _forward_dump(self, message: ForwardDump) -> None:
        address = self._addresses.get(message.process or ProcessId(''))
        if address is None:
            message.reply.answer(
                Failure(
                    refuse(
                        codes.UNKNOWN_PROCESS,
                        texts.UNKNOWN_PROCESS,
                        process=message.process,
                    ),
                ),
            )
            return
        dump_result = await self._context.peers.dump(address)
        answer: Result[str, Refusal] = dump_result.alt(
            lambda failure: refuse(
                codes.PROCESS_UNREACHABLE,
                texts.PROCESS_UNREACHABLE,
                process=message.process,
            ),
        )
        message.reply.answer(answer)

    async def _read_hosts(self, message: GetHosts) -> None:
        fetch_result = await self._context.host_list.fetch()
        if isinstance(fetch_result, Failure):
            message.reply.answer(None)
            return
        draining = () if self._config is None else self._config.draining_workers
        message.reply.answer(host_rows(fetch_result.unwrap(), draining))


_ENDING_STATES: Final = frozenset(
    (ProcessState.DRAINING, ProcessState.STOPPED),
)


async def _request_and_wait(
    mailbox: Mailbox,
    build_message: Callable[[Reply[Any]], object],
    timeout_ms: int,
) -> None:
    """Send a message and wait for its reply; a time-out is ignored."""
    reply: Reply[Any] = Reply()
    mailbox.send(build_message(reply))
    try:
        await reply.wait(timeout_ms)
    except TimeoutError:
        return
