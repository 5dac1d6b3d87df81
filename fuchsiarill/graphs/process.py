"""One process that serves job graphs: its actors, start and drain.

The control keys in the store list the owner of each pool and the peer address
of each process; every process watches them and the configuration.
"""

import time
from collections.abc import Iterable
from dataclasses import dataclass, replace
from typing import Any, Final

from returns.result import Success

from fuchsiarill import events, graph_events
from fuchsiarill.actor import Actor, Mailbox, Reply, handles
from fuchsiarill.clock import now_ms, sleep_ms
from fuchsiarill.cluster.spawning_actor import SpawningActor
from fuchsiarill.graphs import keys, records
from fuchsiarill.graphs.advice import Advisor
from fuchsiarill.graphs.front import Front
from fuchsiarill.graphs.handover import Handover, LargerProcessesListed
from fuchsiarill.graphs.intake import Intake
from fuchsiarill.graphs.listed_processes import ListedProcesses
from fuchsiarill.graphs.load_gate import LoadContext
from fuchsiarill.graphs.metrics import GraphMetrics
from fuchsiarill.graphs.model import GraphConfig, PoolId
from fuchsiarill.graphs.owner_context import OwnerContext
from fuchsiarill.graphs.owner_messages import ConfigInForce
from fuchsiarill.graphs.peer_links import PeerLinks, PeersListed
from fuchsiarill.graphs.ports import DocumentError, GraphPorts
from fuchsiarill.graphs.prefix_watch import (
    PrefixChanged,
    PrefixListed,
    PrefixWatcher,
    PrefixWatchSettings,
    StoreReachabilityChanged,
)
from fuchsiarill.graphs.relayed_store import RelayedStore
from fuchsiarill.graphs.settings import GraphSettings
from fuchsiarill.graphs.tenure import Tenure
from fuchsiarill.graphs.states import TenureState
from fuchsiarill.graphs.tenure_messages import (
    Candidate,
    Drain,
    OtherPools,
    OwnerKeySeen,
)
from fuchsiarill.ids import ABSENT, Epoch, Revision
from fuchsiarill.ports.key_value import KvItem, KvTransaction, KvWrite

# Interval of the checks of the actors, and of the attempts to publish the
# address of the process.
_CHECK_INTERVAL_MS: Final = 500
# Time allowed for each handover in a drain. After one time-out, the drain
# waits for no further handover.
_HANDOVER_TIMEOUT_MS: Final = 2500


@dataclass(frozen=True, slots=True)
class DrainProcess:
    """Request to hand the owned pools over and end the process."""


@dataclass(frozen=True, slots=True)
class GetDump:
    """Request for the state of all actors."""

    reply: Reply[dict[str, Any]]


@dataclass(frozen=True, slots=True)
class _CheckActors:
    """Periodic tick: check the actors."""


class GraphProcess(SpawningActor):
    """Connects the actors of one process and supervises them."""

    def __init__(
        self,
        settings: GraphSettings,
        ports: GraphPorts,
        metrics: GraphMetrics,
        links: PeerLinks | None = None,
    ) -> None:
        """Create the actors; `start` runs them.

        `ports` has a store client without a relay; the relay is added here.
        """
        super().__init__('process')
        self._links = links or PeerLinks()
        ports = replace(ports, store=RelayedStore(ports.store, self._links))
        self._settings = settings
        self._ports = ports
        self._metrics = metrics
        self._incarnation = f'{time.time_ns():x}'
        self._advisor = Advisor(
            settings.process,
            ports.advisor,
            self._links,
            settings.calls.advice_timeout_ms,
        )
        self._intake = Intake(ports.store, settings, metrics.load)
        self.front = Front(settings, self._intake.mailbox)
        self._tenures: dict[PoolId, Tenure] = {}
        self._handover = Handover(
            settings.machine, self._links, self._tenures.values
        )
        self._owner_items: dict[PoolId, KvItem] = {}
        self._listed = ListedProcesses(settings.process)
        self._control_revision = Revision(0)
        self._config: GraphConfig | None = None
        self._watchers = tuple(
            self._create_watcher(prefix) for prefix in self._watched_prefixes()
        )
        self._unreachable_prefixes: set[str] = set()
        self._is_draining = False
        self._is_address_published = False
        self.exit_status: int | None = None

    @property
    def intake(self) -> Mailbox:
        """Return the mailbox for requests of callers."""
        return self._intake.mailbox

    def start(self) -> None:
        """Run all actors."""
        super().start()
        self.tick_every(_CHECK_INTERVAL_MS, _CheckActors())
        for actor in (
            self._links,
            self._advisor,
            self._intake,
            self._handover,
            *self._watchers,
        ):
            actor.start()
        events.emit(
            events.PROCESS_STARTED,
            process=self._settings.process,
            failure_domain=self._settings.failure_domain,
        )

    def drain(self) -> None:
        """Start to hand the owned pools over; the process then ends."""
        self.mailbox.send(DrainProcess())

    async def stop(self) -> None:
        """Stop all actors."""
        for actor in self._actors():
            await actor.stop()
        await super().stop()

    @handles(PrefixListed)
    async def on_listed(self, message: PrefixListed) -> None:
        """Apply a full list of control keys or of the configuration."""
        if message.prefix == keys.CONTROL_PREFIX:
            self._control_revision = message.revision
            self._owner_items.clear()
            self._listed.clear()
            self._apply_control_items(message.items)
            if not self._is_address_published:
                self._is_address_published = True
                self.spawn(self._publish_address())
            for pool, tenure in self._tenures.items():
                if pool not in self._owner_items:
                    tenure.mailbox.send(
                        OwnerKeySeen(self._absent_owner_item(pool))
                    )
            return
        self._apply_config_items(message.items)

    @handles(PrefixChanged)
    async def on_changed(self, message: PrefixChanged) -> None:
        """Apply changes of control keys or of the configuration."""
        if message.prefix == keys.CONTROL_PREFIX:
            self._apply_control_items(message.items)
            return
        self._apply_config_items(message.items)

    @handles(StoreReachabilityChanged)
    async def on_reachability_changed(
        self, message: StoreReachabilityChanged
    ) -> None:
        """Report not ready to the load balancer during a store outage."""
        if message.is_unreachable:
            self._unreachable_prefixes.add(message.prefix)
        else:
            self._unreachable_prefixes.discard(message.prefix)
        self._update_front_view(is_store_lost=bool(self._unreachable_prefixes))
        self._inform_intake()

    @handles(DrainProcess)
    async def on_drain(self, message: DrainProcess) -> None:
        """Hand owned pools over, answer open requests, then end."""
        if self._is_draining:
            return
        self._is_draining = True
        events.emit(events.PROCESS_DRAINING, process=self._settings.process)
        self._update_front_view(is_draining=True)
        self.spawn(self._drain())

    @handles(GetDump)
    async def on_dump(self, message: GetDump) -> None:
        """Return the state of the actors of the process and its owners."""
        message.reply.answer(
            {
                'process': self._settings.process,
                'incarnation': self._incarnation,
                'generation': self._config and self._config.generation,
                'actors': [actor.snapshot() for actor in self._actors()],
            },
        )

    @handles(_CheckActors)
    async def on_check(self, message: _CheckActors) -> None:
        """Count owned pools; end the process if an actor has died.

        Checks the actors that `_actors` returns, which do not include the
        writer, the watchers and the channels of an owner.
        """
        owned_tenures = [
            tenure for tenure in self._tenures.values() if tenure.is_owner
        ]
        self._metrics.owned.set(len(owned_tenures))
        for actor in self._actors():
            error = actor.fault()
            if error is not None:
                events.emit(
                    events.ACTOR_DIED,
                    actor=actor.name,
                    error=error,
                )
                self.exit_status = 1

    def _watched_prefixes(self) -> tuple[str, ...]:
        return (keys.CONTROL_PREFIX, self._ports.documents.config_prefix)

    def _create_watcher(self, prefix: str) -> PrefixWatcher:
        settings = PrefixWatchSettings(
            prefix,
            self._settings.watch_wait_ms,
            self._settings.calls.store_timeout_ms,
        )
        return PrefixWatcher(settings, self._ports.store, self.mailbox)

    def _actors(self) -> Iterable[Actor]:
        owners = [
            tenure.owner
            for tenure in self._tenures.values()
            if tenure.owner is not None
        ]
        services = (self._links, self._advisor, self._intake, self._handover)
        return (*services, *self._watchers, *self._tenures.values(), *owners)

    def _update_front_view(self, **changes: Any) -> None:
        self.front.view = replace(self.front.view, **changes)

    def _inform_intake(self) -> None:
        """Tell the intake what admission by load depends on."""
        context = LoadContext(
            {
                pool: Epoch(item.revision)
                for pool, item in self._owner_items.items()
                if item.value is not None
            },
            self.front.view.is_store_lost,
            len(self._listed.peers) + 1,
            bool(self._config and self._config.contracts),
        )
        self._intake.mailbox.send(context)

    def _apply_config_items(self, items: Iterable[KvItem]) -> None:
        for item in items:
            if item.key != self._ports.documents.config_key:
                continue
            if item.value is None:
                self._apply_config_revision(item)
                continue
            self._apply_config(item, item.value)

    def _apply_config(self, item: KvItem, content: bytes) -> None:
        try:
            config = self._ports.documents.read_config(content)
        except DocumentError as error:
            events.emit(
                graph_events.DOCUMENT_UNREADABLE,
                key=item.key,
                revision=item.revision,
                problem=str(error),
            )
            self._apply_config_revision(item)
            return
        config = replace(config, revision=item.revision)
        if self._config and config.generation <= self._config.generation:
            self._apply_config_revision(item)
            return
        self._config = config
        self._metrics.generation.set(config.generation)
        self._update_front_view(config=config)
        self._inform_intake()
        events.emit(events.CONFIG_IN_FORCE, generation=config.generation)
        for tenure in self._tenures.values():
            tenure.mailbox.send(ConfigInForce(config))
        for pool in config.pools:
            if pool not in self._tenures:
                self._open_tenure(pool, config)

    def _apply_config_revision(self, item: KvItem) -> None:
        """Note a document that does not come into force.

        Claims on ceilings are raised only under the present revision.
        """
        if self._config is None or item.revision <= self._config.revision:
            return
        revision = ABSENT if item.value is None else item.revision
        self._config = replace(self._config, revision=revision)
        for tenure in self._tenures.values():
            tenure.mailbox.send(ConfigInForce(self._config))

    def _open_tenure(self, pool: PoolId, config: GraphConfig) -> None:
        tenure = Tenure(
            pool,
            config,
            Candidate(
                OwnerContext(
                    self._settings,
                    self._ports,
                    self._advisor.mailbox,
                    self.mailbox,
                    self._metrics,
                ),
                self._incarnation,
                self._count_other_pools,
                self._listed.count_later,
            ),
        )
        self._tenures[pool] = tenure
        tenure.start()
        if self._control_revision:
            owner_item = self._owner_items.get(
                pool, self._absent_owner_item(pool)
            )
            tenure.mailbox.send(OwnerKeySeen(owner_item))

    def _count_other_pools(self, pool: PoolId) -> OtherPools:
        """Count pools that are owned, or campaigned for before `pool`."""
        others = [
            tenure for tenure in self._tenures.values() if tenure.pool != pool
        ]
        return OtherPools(
            sum(tenure.is_elected for tenure in others),
            sum(
                tenure.state is TenureState.CAMPAIGNING and tenure.pool < pool
                for tenure in others
            ),
        )

    def _absent_owner_item(self, pool: PoolId) -> KvItem:
        key = keys.owner_key(pool)
        return KvItem(key, None, self._control_revision)

    def _apply_control_items(self, items: Iterable[KvItem]) -> None:
        previous_peers = dict(self._listed.peers)
        for item in items:
            process = keys.listed_process(item.key)
            if process is not None:
                self._listed.apply_item(process, item)
                continue
            pool = keys.owned_pool(item.key)
            if pool is None:
                continue
            self._owner_items[pool] = item
            tenure = self._tenures.get(pool)
            if tenure is not None:
                tenure.mailbox.send(OwnerKeySeen(item))
        self._inform_intake()
        # Sent once for all items: a process that is missing from a partial
        # list would lose its link and the calls on it.
        peers = self._listed.peers
        if peers != previous_peers:
            self._links.mailbox.send(PeersListed(self._listed.addresses()))
            self._handover.mailbox.send(LargerProcessesListed(peers))

    async def _publish_address(self) -> None:
        """Publish the peer address of this process in the store."""
        key = keys.process_key(self._settings.process)
        record = records.ProcessRecord(
            self._settings.listen.peers, self._settings.machine.is_small
        )
        write = KvWrite(key, records.encode_process(record))
        while not self._is_draining:
            commit_result = await self._ports.store.commit(
                KvTransaction(writes=(write,)),
                self._settings.calls.store_timeout_ms,
            )
            if isinstance(commit_result, Success):
                return
            await sleep_ms(_CHECK_INTERVAL_MS)

    async def _withdraw_address(self) -> None:
        key = keys.process_key(self._settings.process)
        await self._ports.store.commit(
            KvTransaction(deletes=(key,)),
            self._settings.calls.store_timeout_ms,
        )

    async def _drain(self) -> None:
        started_ms = now_ms()
        replies: list[Reply[None]] = []
        for tenure in self._tenures.values():
            reply: Reply[None] = Reply()
            tenure.mailbox.send(Drain(reply))
            replies.append(reply)
        for reply in replies:
            try:
                await reply.wait(_HANDOVER_TIMEOUT_MS)
            except TimeoutError:
                break
        await self._withdraw_address()
        drain_ms = self._settings.front.drain_ms
        await sleep_ms(max(0, drain_ms - (now_ms() - started_ms)))
        self.exit_status = 0
