"""The owner of a pool: feeds the decisions and carries out their effects."""

import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Final

from returns.result import Failure

from fuchsiarill import events
from fuchsiarill.actor import Actor, Mailbox, handles
from fuchsiarill.clock import now_ms, sleep_ms
from fuchsiarill.cluster.spawning import SpawningActor
from fuchsiarill.graphs import owner_messages as messages
from fuchsiarill.graphs import records
from fuchsiarill.graphs.advice import AdviceAsked
from fuchsiarill.graphs.core import GraphCore
from fuchsiarill.graphs.directory import WorkerDirectory
from fuchsiarill.graphs.effects import (
    AskAdvice,
    Effect,
    LookAt,
    PaceRun,
    StartRun,
    StopRun,
)
from fuchsiarill.graphs.feeds import (
    Changed,
    FeedSettings,
    FeedState,
    Listed,
    PrefixFeed,
    list_all,
)
from fuchsiarill.graphs.lease_guard import LeaseGuard
from fuchsiarill.graphs.model import GraphConfig, PoolId, QueueId
from fuchsiarill.graphs.ports import GraphPorts
from fuchsiarill.graphs.progress import JobProgress
from fuchsiarill.graphs.record_writer import RecordWriter
from fuchsiarill.graphs.settings import GraphSettings
from fuchsiarill.graphs.worker_channel import ChannelContext, WorkerChannel
from fuchsiarill.ids import Epoch, JobId, Revision, StoreKey, WorkerId
from fuchsiarill.ports.agents import AgentAddress, AgentFailure
from fuchsiarill.ports.key_value import KvItem
from fuchsiarill.registry import Registry

_TICK_MS: Final = 100
_LOAD_RETRY_MS: Final = 100
# Heartbeats change entries all the time; they are read in batches.
_DIRECTORY_PAUSE_MS: Final = 150
# The counts of waiting jobs may be 2 s old.
_PENDING_INTERVAL_MS: Final = 700
# An unlisted worker without runs is forgotten after this time, in which an
# entry that lapsed with the store comes back.
_UNLISTED_MS: Final = 3000
_NS_PER_MS: Final = 1_000_000


@dataclass(frozen=True, slots=True)
class Term:
    """One ownership of a pool."""

    pool: PoolId
    epoch: Epoch
    guard: LeaseGuard
    config: GraphConfig


@dataclass(frozen=True, slots=True)
class OwnerContext:
    """What an owner needs of its process."""

    settings: GraphSettings
    ports: GraphPorts
    advisor: Mailbox
    tenure: Mailbox


_Carrier = Callable[['PoolOwner', Any], None]

EFFECTS: Final[Registry[type, _Carrier]] = Registry('effects of an owner')


class PoolOwner(SpawningActor):
    """Owns one pool for one term."""

    def __init__(self, term: Term, context: OwnerContext) -> None:
        """Create the owner; `start` loads what earlier owners left."""
        super().__init__(f'owner {term.pool}')
        self._term = term
        self._context = context
        self._core: GraphCore | None = None
        self._directory = WorkerDirectory(term.pool, context.ports.directory)
        fence = (records.owner_key(term.pool), Revision(term.epoch))
        self._writer = RecordWriter(
            context.ports.store,
            fence,
            context.settings.calls.store_timeout_ms,
            self.mailbox,
        )
        self._channels: dict[WorkerId, WorkerChannel] = {}
        self._feeds: list[Actor] = []
        self._config = term.config
        self._is_decision_due = False
        self._is_saving = False
        self._fleet = records.FleetRecord()
        self._unlisted_ms: dict[WorkerId, int] = {}
        self._pending: dict[QueueId, int] = {}
        self._pending_ms = 0

    @property
    def core(self) -> GraphCore | None:
        """Return the decisions, when the pool has been loaded."""
        return self._core

    def start(self) -> None:
        """Run the actor and load the pool."""
        super().start()
        self.tick_every(_TICK_MS, messages.PoolTick())
        self._writer.start()
        self.spawn(self._load())

    async def stop(self) -> None:
        """End all that the owner has started."""
        for actor in (*self._feeds, *self._channels.values(), self._writer):
            await actor.stop()
        await super().stop()

    def snapshot(self) -> dict[str, Any]:
        """Return the state for a dump."""
        snapshot = {
            **super().snapshot(),
            'pool': self._term.pool,
            'epoch': self._term.epoch,
            'channels': [
                channel.snapshot() for channel in self._channels.values()
            ],
        }
        if self._core is not None:
            snapshot['core'] = dump_core(self._core)
        return snapshot

    @handles(messages.PoolLoaded)
    async def on_loaded(self, message: messages.PoolLoaded) -> None:
        """Begin to decide."""
        self._fleet = records.FleetRecord(
            message.fleet.term + 1,
            message.fleet.members,
        )
        core = GraphCore(
            self._term.pool,
            self._term.epoch,
            self._context.settings.task_lease,
            self._fleet.term,
        )
        self._core = core
        core.configure(self._config)
        self._writer.know(message.revisions)
        self._take_jobs(message.jobs, message.progress)
        ownership = self._context.settings.ownership
        leases = self._context.settings.task_lease
        lapse_ms = now_ms() + ownership.lease_ttl_ms + leases.wake_ms
        lapse_ms += int(leases.duration_ms * (1 + leases.clock_slowness))
        for member in self._fleet.members:
            core.expect_worker(member.worker, member.address, lapse_ms)
            self._open_channel(member.worker, member.address)
        self._save_fleet()
        self._follow(message.jobs_revision)
        events.emit(
            events.POOL_LOADED,
            pool=self._term.pool,
            epoch=self._term.epoch,
            jobs=len(message.jobs),
            workers=len(self._fleet.members),
            term=self._fleet.term,
        )

    @handles(messages.ConfigInForce)
    async def on_config(self, message: messages.ConfigInForce) -> None:
        """Take over a configuration."""
        self._config = message.config
        if self._core is not None:
            self._core.configure(message.config)
            self._plan_decision()

    @handles(Listed)
    async def on_listed(self, message: Listed) -> None:
        """Take over a whole list after a gap."""
        if message.prefix == self._context.ports.directory.workers_prefix:
            self._directory.replace(message.items)
            self._list_workers()
        else:
            self._take_jobs(message.items, ())

    @handles(Changed)
    async def on_changed(self, message: Changed) -> None:
        """Take over changes of the directory, or what callers ask."""
        if message.prefix == self._context.ports.directory.workers_prefix:
            if self._directory.change(message.items):
                self._list_workers()
        else:
            self._take_jobs(message.items, ())

    @handles(FeedState)
    async def on_feed_state(self, message: FeedState) -> None:
        """Feeds recover by themselves."""

    @handles(messages.Reported)
    async def on_reported(self, message: messages.Reported) -> None:
        """Take over a report."""
        if self._core is None:
            return
        self._core.worker_reported(
            message.worker,
            message.report,
            message.asked_ms,
            now_ms(),
        )
        self._plan_decision()

    @handles(messages.RenewalSent)
    async def on_renewal_sent(self, message: messages.RenewalSent) -> None:
        """Note that leases of a worker have been extended."""
        if self._core is not None:
            self._core.renewal_sent(message.worker, now_ms())

    @handles(messages.RenewalFailed)
    async def on_renewal_failed(self, message: messages.RenewalFailed) -> None:
        """Note that a worker does not answer."""
        if self._core is not None:
            self._core.worker_failed(message.worker, message.failure, now_ms())

    @handles(messages.StartAnswered)
    async def on_start_answered(self, message: messages.StartAnswered) -> None:
        """Take over the outcome of a start."""
        if self._core is None:
            return
        if message.failure is not None:
            self._plan_decision()
        self._core.start_answered(
            message.worker,
            message.task,
            message.attempt,
            message.failure,
            now_ms(),
        )

    @handles(messages.StopAnswered)
    async def on_stop_answered(self, message: messages.StopAnswered) -> None:
        """Take over the outcome of a stop."""
        if self._core is None:
            return
        self._core.stop_answered(
            message.worker,
            message.task,
            message.attempt,
            message.failure,
            now_ms(),
        )
        self._plan_decision()

    @handles(messages.Advised)
    async def on_advised(self, message: messages.Advised) -> None:
        """Take over tickets."""
        if self._core is None:
            return
        now = now_ms()
        if message.granted is None:
            self._core.advice_failed(message.step, now)
        else:
            self._core.advised(
                message.step,
                message.asked,
                message.granted,
                now + self._validity_ms(message.step.job),
            )
        self._plan_decision()

    @handles(messages.RecordsSaved)
    async def on_saved(self, message: messages.RecordsSaved) -> None:
        """Let workers forget ends that are durable."""
        self._is_saving = False
        for seen in message.saved.ends:
            self._ends_durable(seen)
        if self._core is not None and message.saved.fleet_workers:
            self._core.record_workers(message.saved.fleet_workers)
        self._plan_decision()

    @handles(messages.OwnershipRefuted)
    async def on_refuted(self, message: messages.OwnershipRefuted) -> None:
        """Stop at once: a later owner is at work."""
        self._term.guard.revoke()
        self._context.tenure.send(message)

    @handles(messages.PoolTick)
    async def on_tick(self, message: messages.PoolTick) -> None:
        """Do what time brings."""
        if self._core is None:
            return
        now = now_ms()
        # The time of day may jump, so it is read anew each time.
        unix_ms = time.time_ns() // _NS_PER_MS
        self._core.state.unix_offset_ms = unix_ms - now
        self._core.tick(now)
        self._forget_workers(now)
        self._plan_decision()

    @handles(messages.Decide)
    async def on_decide(self, message: messages.Decide) -> None:
        """Decide, and carry out what follows."""
        self._is_decision_due = False
        if self._core is None:
            return
        if self._term.guard.may_order():
            self._core.decide(now_ms())
        for effect in self._core.take_effects():
            EFFECTS.lookup(type(effect))(self, effect)
        self._save()

    async def hand_over(self, timeout_ms: int) -> None:
        """Order nothing more, and wait until all progress is durable."""
        self._term.guard.revoke()
        deadline_ms = now_ms() + timeout_ms
        while now_ms() < deadline_ms:
            self._save()
            if not self._is_saving:
                return
            await sleep_ms(_TICK_MS // 10)

    def carry_order(self, order: StartRun | StopRun | PaceRun | LookAt) -> None:
        """Send an order to the channel of its worker."""
        channel = self._channels.get(order.worker)
        if channel is not None:
            channel.mailbox.send(order)
        elif isinstance(order, StartRun):
            self.mailbox.send(
                messages.StartAnswered(
                    order.worker,
                    order.task,
                    order.attempt,
                    AgentFailure.NOT_SENT,
                ),
            )

    def ask_advice(self, ask: AskAdvice) -> None:
        """Send an ask to the advisor of the process."""
        if self._core is None:
            return
        asked = {}
        for worker in ask.workers:
            view = self._core.state.workers.find(worker)
            if view is not None:
                asked[worker] = view.born_ms
        self._context.advisor.send(
            AdviceAsked(ask, asked, self.mailbox, lambda: self._is_wanted(ask)),
        )

    def _is_wanted(self, ask: AskAdvice) -> bool:
        if self._core is None or not self._term.guard.may_order():
            return False
        entry = self._core.state.jobs.get(ask.step.job)
        if entry is None or not entry.is_active:
            return False
        step = entry.steps.get((ask.step.occurrence, ask.step.step))
        return step is not None and bool(step.waiting)

    def _validity_ms(self, job: JobId) -> int:
        entry = self._core.state.jobs.get(job) if self._core else None
        if entry is None or entry.policy.advice is None:
            return 0
        return entry.policy.advice.validity_ms

    async def _load(self) -> None:
        """Read the pool's records until all have been read."""
        pool = self._term.pool
        store = self._context.ports.store
        timeout_ms = self._context.settings.calls.store_timeout_ms
        while True:
            fleet = await store.get(records.fleet_key(pool), timeout_ms)
            jobs = await list_all(store, records.jobs_prefix(pool), timeout_ms)
            progress = await list_all(
                store,
                records.progress_prefix(pool),
                timeout_ms,
            )
            pending = await store.get(records.pending_key(pool), timeout_ms)
            if not any(
                isinstance(answer, Failure)
                for answer in (fleet, jobs, progress, pending)
            ):
                break
            await sleep_ms(_LOAD_RETRY_MS)
        fleet_item = fleet.unwrap()
        job_items, revision = jobs.unwrap()
        progress_items, _ = progress.unwrap()
        known = (fleet_item, pending.unwrap(), *progress_items)
        self.mailbox.send(
            messages.PoolLoaded(
                _fleet(fleet_item),
                job_items,
                revision,
                progress_items,
                {item.key: item.revision for item in known},
            ),
        )

    def _follow(self, jobs_revision: Revision) -> None:
        settings = self._context.settings
        timeout_ms = settings.calls.store_timeout_ms
        feeds = (
            FeedSettings(
                records.jobs_prefix(self._term.pool),
                settings.watch_wait_ms,
                timeout_ms,
                after=jobs_revision,
            ),
            FeedSettings(
                self._context.ports.directory.workers_prefix,
                settings.watch_wait_ms,
                timeout_ms,
                pause_ms=_DIRECTORY_PAUSE_MS,
            ),
        )
        for feed_settings in feeds:
            feed = PrefixFeed(
                feed_settings,
                self._context.ports.store,
                self.mailbox,
            )
            self._feeds.append(feed)
            feed.start()

    def _take_jobs(
        self,
        items: tuple[KvItem, ...],
        progress_items: tuple[KvItem, ...],
    ) -> None:
        if self._core is None:
            return
        progress = {
            records.job_of_progress(item.key): item.value
            for item in progress_items
        }
        now = now_ms()
        cancelled: list[JobId] = []
        for item in items:
            if item.value is None:
                continue
            job = records.job_of_key(item.key)
            if records.is_cancel(item.key):
                cancelled.append(job)
                continue
            saved = progress.get(job)
            self._core.add_job(
                records.decode_graph(self._term.pool, job, item.value),
                records.decode_progress(saved) if saved else JobProgress(),
                now,
                is_inherited=item.created < self._term.epoch,
            )
        for job in cancelled:
            self._core.cancel_job(job, now)
        self._plan_decision()

    def _list_workers(self) -> None:
        if self._core is None:
            return
        entries = self._directory.entries()
        self._core.list_workers(entries, now_ms())
        for entry in entries:
            channel = self._channels.get(entry.worker)
            if channel is None or channel.agent.address != entry.address:
                self._open_channel(entry.worker, entry.address)
        if any(not view.is_recorded for view in self._core.state.workers):
            self._save_fleet()
        self._plan_decision()

    def _open_channel(self, worker: WorkerId, address: str) -> None:
        former = self._channels.pop(worker, None)
        if former is not None:
            self.spawn(former.stop())
        channel = WorkerChannel(
            AgentAddress(worker, address),
            ChannelContext(
                self._context.settings,
                self._context.ports.agents,
                self._term.epoch,
                self._term.guard,
                self.mailbox,
            ),
        )
        self._channels[worker] = channel
        channel.start()

    def _forget_workers(self, now: int) -> None:
        """Drop workers that are neither listed nor run anything."""
        if self._core is None:
            return
        forgotten = []
        for view in self._core.state.workers:
            if view.is_listed or view.runs or now <= view.lapse_ms:
                channel = self._channels.get(view.worker)
                if view.is_listed or view.runs or channel is None:
                    self._unlisted_ms.pop(view.worker, None)
                    continue
                # Without renewals everything there lapses for certain.
                since_ms = self._unlisted_ms.setdefault(view.worker, now)
                if now - since_ms > _UNLISTED_MS:
                    self.spawn(self._channels.pop(view.worker).stop())
                continue
            forgotten.append(view.worker)
        for worker in forgotten:
            self._core.state.workers.remove(worker)
            former = self._channels.pop(worker, None)
            if former is not None:
                self.spawn(former.stop())
        if forgotten:
            self._save_fleet()

    def _save_fleet(self) -> None:
        """Have the workers recorded before any of them is given work."""
        if self._core is None:
            return
        members = tuple(
            records.FleetMember(view.worker, view.address)
            for view in self._core.state.workers
        )
        self._fleet = records.FleetRecord(self._fleet.term, members)
        key = records.fleet_key(self._term.pool)
        self._writer.mailbox.send(
            messages.SaveRecords(
                {key: records.encode_fleet(self._fleet)},
                fleet_workers=tuple(member.worker for member in members),
            ),
        )

    def _plan_decision(self) -> None:
        if not self._is_decision_due:
            self._is_decision_due = True
            self.mailbox.send(messages.Decide())

    def _save(self) -> None:
        """Make what has changed durable, one message at a time."""
        if self._is_saving or self._core is None:
            return
        core = self._core
        saved = {
            records.progress_key(self._term.pool, job): records.encode_progress(
                core.state.jobs[job].progress,
            )
            for job in core.take_dirty()
            if job in core.state.jobs
        }
        ends = tuple(
            messages.SeenEnds(view.worker, view.born_ms, view.seen_end)
            for view in core.state.workers
            if view.seen_end > view.durable_end
        )
        saved.update(self._pending_record(core))
        deletes = self._forget_jobs(core)
        if not saved and not deletes:
            for seen in ends:
                self._ends_durable(seen)
            return
        self._is_saving = True
        self._writer.mailbox.send(
            messages.SaveRecords(saved, deletes, ends),
        )

    def _pending_record(self, core: GraphCore) -> dict[StoreKey, bytes]:
        now = now_ms()
        if now - self._pending_ms < _PENDING_INTERVAL_MS:
            return {}
        self._pending_ms = now
        counts = core.pending_counts()
        if counts == self._pending:
            return {}
        self._pending = counts
        key = records.pending_key(self._term.pool)
        return {key: records.encode_pending(counts)}

    def _forget_jobs(self, core: GraphCore) -> tuple[StoreKey, ...]:
        """Drop jobs that ended long ago; returns their keys."""
        retention_ms = self._context.settings.retention.settled_job_ms
        oldest_ms = now_ms() - retention_ms
        keys: list[StoreKey] = []
        for entry in list(core.state.jobs.values()):
            if entry.is_active or entry.settled_ms > oldest_ms:
                continue
            core.forget_job(entry.job)
            keys.extend(
                (
                    records.graph_key(self._term.pool, entry.job),
                    records.cancel_key(self._term.pool, entry.job),
                    records.progress_key(self._term.pool, entry.job),
                ),
            )
        return tuple(keys)

    def _ends_durable(self, seen: messages.SeenEnds) -> None:
        view = (
            self._core.state.workers.find(seen.worker) if self._core else None
        )
        if view is None or view.born_ms != seen.born_ms:
            return
        view.durable_end = max(view.durable_end, seen.sequence)
        channel = self._channels.get(seen.worker)
        if channel is not None:
            channel.mailbox.send(
                messages.EndsDurable(seen.born_ms, seen.sequence),
            )


@EFFECTS.register(StartRun)
@EFFECTS.register(StopRun)
@EFFECTS.register(PaceRun)
@EFFECTS.register(LookAt)
def _carry_order(
    owner: PoolOwner,
    effect: StartRun | StopRun | PaceRun | LookAt,
) -> None:
    owner.carry_order(effect)


@EFFECTS.register(AskAdvice)
def _ask_advice(owner: PoolOwner, effect: AskAdvice) -> None:
    owner.ask_advice(effect)


def _fleet(item: KvItem) -> records.FleetRecord:
    if item.value is None:
        return records.FleetRecord()
    return records.decode_fleet(item.value)


def dump_core(core: GraphCore) -> dict[str, Any]:
    """Return the decisions' state for a dump."""
    state = core.state
    return {
        'jobs_count': len(state.jobs),
        'waiting_units_count': sum(
            len(step.waiting)
            for entry in state.jobs.values()
            if entry.is_active
            for step in entry.steps.values()
        ),
        'is_inheritance_settled': state.is_inheritance_settled,
        'workers': [
            {
                'worker': view.worker,
                'standing': view.standing.value,
                'is_listed': view.is_listed,
                'is_recorded': view.is_recorded,
                'runs_count': len(view.runs),
                'free': view.free.as_tuple(),
                'suspended_until_ms': view.suspended_until_ms,
            }
            for view in state.workers
        ],
    }
