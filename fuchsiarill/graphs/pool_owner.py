"""The owner of a pool: feeds the decisions and carries out their effects."""

import time
from collections.abc import Callable
from dataclasses import replace
from typing import Any, Final

from fuchsiarill import events
from fuchsiarill.actor import handles
from fuchsiarill.clock import now_ms, sleep_ms
from fuchsiarill.cluster.spawning import SpawningActor
from fuchsiarill.graphs import keys
from fuchsiarill.graphs import owner_messages as messages
from fuchsiarill.graphs.advice import AdviceRequest
from fuchsiarill.graphs.core import GraphCore
from fuchsiarill.graphs.core_dump import dump_core
from fuchsiarill.graphs.directory import WorkerDirectory
from fuchsiarill.graphs.effects import (
    PaceRun,
    RequestAdvice,
    RequestReport,
    StartRun,
    StopRun,
)
from fuchsiarill.graphs.job_loading import load_jobs
from fuchsiarill.graphs.owner_context import OwnerContext, Term
from fuchsiarill.graphs.pool_channels import Order, PoolChannels
from fuchsiarill.graphs.prefix_watch import (
    PrefixChanged,
    PrefixListed,
    PrefixWatcher,
    PrefixWatchSettings,
    PrefixWatchState,
)
from fuchsiarill.graphs.progress_saver import ProgressSaver
from fuchsiarill.graphs.record_writer import RecordWriter
from fuchsiarill.graphs.worker_channel import ChannelContext
from fuchsiarill.ids import JobId, Revision
from fuchsiarill.ports.key_value import KvItem
from fuchsiarill.registry import Registry

_TICK_MS: Final = 100
_HAND_OVER_CHECK_MS: Final = 10
# Heartbeats change entries all the time; they are read in batches.
_DIRECTORY_PAUSE_MS: Final = 150
_NS_PER_MS: Final = 1_000_000


_Carrier = Callable[['PoolOwner', Any], None]

EFFECTS: Final[Registry[type, _Carrier]] = Registry('effects of an owner')


class PoolOwner(SpawningActor):
    """Owns one pool for one term."""

    def __init__(
        self,
        term: Term,
        context: OwnerContext,
        loaded: messages.PoolLoaded,
    ) -> None:
        """Take over what earlier owners left."""
        super().__init__(f'owner {term.pool}')
        settings = context.settings
        self._term = term
        self._context = context
        self._fleet = replace(
            loaded.fleet,
            term=loaded.fleet.term + 1,
            owner=term.owner,
        )
        self._is_former_over = loaded.is_previous_owner_inactive
        self.core = GraphCore(
            term.pool,
            term.epoch,
            settings.task_lease,
            self._fleet.term,
        )
        self.core.configure(term.config)
        self._directory = WorkerDirectory(term.pool, context.ports.documents)
        self._writer = RecordWriter(
            context.ports.store,
            (keys.owner_key(term.pool), Revision(term.epoch)),
            settings.calls.store_timeout_ms,
            self.mailbox,
        )
        self._writer.add_revisions(loaded.revisions)
        self._saver = ProgressSaver(
            self.core,
            self._writer.mailbox,
            self._fleet,
            settings.retention,
        )
        self.channels = PoolChannels(
            self.core,
            ChannelContext(
                settings,
                context.ports.agents,
                term.epoch,
                term.guard,
                self.mailbox,
            ),
            self.spawn,
        )
        self._feeds = self._make_feeds(loaded.jobs_revision)
        self._is_decision_due = False
        self._take_jobs(loaded.jobs, loaded.progress)

    def start(self) -> None:
        """Ask the workers of the owner before, and begin to decide."""
        super().start()
        self.tick_every(_TICK_MS, messages.PoolTick())
        self._writer.start()
        for member in self._fleet.members:
            self.core.add_inherited_worker(
                member.worker,
                member.address,
                now_ms() + self._longest_leases_ms(),
            )
            self.channels.open(member.worker, member.address)
        self._saver.save_fleet()
        for feed in self._feeds:
            feed.start()
        self._note_takeover()

    async def stop(self) -> None:
        """End all that the owner has started."""
        for feed in self._feeds:
            await feed.stop()
        await self.channels.stop()
        await self._writer.stop()
        await super().stop()

    def snapshot(self) -> dict[str, Any]:
        """Return the state for a dump."""
        return {
            **super().snapshot(),
            'pool': self._term.pool,
            'epoch': self._term.epoch,
            'channels': self.channels.snapshot(),
            'core': dump_core(self.core),
        }

    @handles(messages.ConfigInForce)
    async def on_config(self, message: messages.ConfigInForce) -> None:
        """Take over a configuration."""
        self.core.configure(message.config)
        self._plan_decision()

    @handles(PrefixListed)
    async def on_listed(self, message: PrefixListed) -> None:
        """Take over a whole list after a gap."""
        if message.prefix == self._context.ports.documents.workers_prefix:
            self._directory.replace(message.items)
            self._list_workers()
            return
        self._take_jobs(message.items, ())

    @handles(PrefixChanged)
    async def on_changed(self, message: PrefixChanged) -> None:
        """Take over changes of the directory, or what callers ask."""
        if message.prefix == self._context.ports.documents.workers_prefix:
            if self._directory.change(message.items):
                self._list_workers()
            return
        self._take_jobs(message.items, ())

    @handles(PrefixWatchState)
    async def on_watch_state(self, message: PrefixWatchState) -> None:
        """Feeds recover by themselves."""

    @handles(messages.WorkerReported)
    async def on_reported(self, message: messages.WorkerReported) -> None:
        """Take over a report."""
        view = self.core.state.workers.find(message.worker)
        for end in message.report.ended:
            if view is not None and end.sequence > view.seen_end:
                self._context.metrics.ended(end.kind)
        self.core.worker_reported(
            message.worker,
            message.report,
            message.requested_ms,
            now_ms(),
        )
        self._plan_decision()

    @handles(messages.RenewalSent)
    async def on_renewal_sent(self, message: messages.RenewalSent) -> None:
        """Note that leases of a worker have been extended."""
        self.core.renewal_sent(message.worker, now_ms())

    @handles(messages.RenewalFailed)
    async def on_renewal_failed(self, message: messages.RenewalFailed) -> None:
        """Note that a worker does not answer."""
        self.core.worker_failed(message.worker, message.failure, now_ms())

    @handles(messages.StartAnswered)
    async def on_start_answered(self, message: messages.StartAnswered) -> None:
        """Take over the outcome of a start."""
        if message.failure is not None:
            self._plan_decision()
        self.core.start_answered(
            message.worker,
            message.task,
            message.attempt,
            message.failure,
            now_ms(),
        )

    @handles(messages.StopAnswered)
    async def on_stop_answered(self, message: messages.StopAnswered) -> None:
        """Take over the outcome of a stop."""
        self.core.stop_answered(
            message.worker,
            message.task,
            message.attempt,
            message.failure,
            now_ms(),
        )
        self._plan_decision()

    @handles(messages.AdviceAnswered)
    async def on_advised(self, message: messages.AdviceAnswered) -> None:
        """Take over tickets."""
        if message.granted is None:
            self.core.advice_failed(message.step, now_ms())
        else:
            self.core.advice_received(
                message.step,
                message.asked,
                message.granted,
                now_ms() + self._validity_ms(message.step.job),
            )
        self._plan_decision()

    @handles(messages.RecordsSaved)
    async def on_saved(self, message: messages.RecordsSaved) -> None:
        """Let workers forget ends that are durable."""
        self._saver.saved(message.saved)
        for seen in message.saved.ends:
            self.channels.ends_durable(seen)
        if message.saved.fleet_workers:
            self.core.record_workers(message.saved.fleet_workers)
        self._plan_decision()

    @handles(messages.OwnershipRefuted)
    async def on_refuted(self, message: messages.OwnershipRefuted) -> None:
        """Stop at once: a later owner is at work."""
        self._term.guard.revoke()
        self._context.tenure.send(message)

    @handles(messages.PoolTick)
    async def on_tick(self, message: messages.PoolTick) -> None:
        """Do what time brings."""
        now = now_ms()
        # The time of day may jump, so it is read anew each time.
        self.core.state.unix_offset_ms = time.time_ns() // _NS_PER_MS - now
        self.core.tick(now)
        if self.channels.remove_gone_workers(now):
            self._saver.save_fleet()
        self._plan_decision()

    @handles(messages.Decide)
    async def on_decide(self, message: messages.Decide) -> None:
        """Decide, and carry out what follows."""
        self._is_decision_due = False
        if self._term.guard.may_order():
            self.core.decide(now_ms())
        for effect in self.core.take_effects():
            EFFECTS.lookup(type(effect))(self, effect)
        self._save()

    async def hand_over(self, timeout_ms: int) -> None:
        """Order nothing more, and wait until all progress is durable."""
        self._term.guard.revoke()
        deadline_ms = now_ms() + timeout_ms
        while now_ms() < deadline_ms:
            self._save()
            if not self._saver.is_saving:
                return
            await sleep_ms(_HAND_OVER_CHECK_MS)

    def observe_start(self, start: StartRun) -> None:
        """Measure how long a job has waited for a start."""
        entry = self.core.state.jobs.get(start.task.job)
        if entry is not None:
            wait_ms = now_ms() - entry.accepted_ms
            self._context.metrics.waited(entry.graph.queue, wait_ms)

    def ask_advice(self, ask: RequestAdvice) -> None:
        """Send an ask to the advisor of the process."""
        asked = {}
        for worker in ask.workers:
            view = self.core.state.workers.find(worker)
            if view is not None:
                asked[worker] = view.born_ms
        self._context.advisor.send(
            AdviceRequest(
                ask, asked, self.mailbox, lambda: self._is_wanted(ask)
            ),
        )

    def _note_takeover(self) -> None:
        self._context.metrics.takeovers.inc()
        events.emit(
            events.POOL_LOADED,
            pool=self._term.pool,
            epoch=self._term.epoch,
            jobs=len(self.core.state.jobs),
            workers=len(self._fleet.members),
            term=self._fleet.term,
        )

    def _is_wanted(self, ask: RequestAdvice) -> bool:
        entry = self.core.state.jobs.get(ask.step.job)
        if entry is None or not entry.is_active:
            return False
        step = self.core.state.find_unfinished_step(ask.step)
        if step is None or not step.waiting:
            return False
        return self._term.guard.may_order()

    def _validity_ms(self, job: JobId) -> int:
        entry = self.core.state.jobs.get(job)
        if entry is None or entry.policy.advice is None:
            return 0
        return entry.policy.advice.validity_ms

    def _longest_leases_ms(self) -> int:
        """Return for how long leases of the owner before may last."""
        leases = self._context.settings.task_lease
        longest_ms = leases.longest_ms
        if not self._is_former_over:
            longest_ms += self._context.settings.ownership.lease_ttl_ms
        return longest_ms

    def _make_feeds(self, jobs_revision: Revision) -> tuple[PrefixWatcher, ...]:
        wait_ms = self._context.settings.watch_wait_ms
        timeout_ms = self._context.settings.calls.store_timeout_ms
        jobs = PrefixWatchSettings(
            keys.jobs_prefix(self._term.pool),
            wait_ms,
            timeout_ms,
            after=jobs_revision,
        )
        workers = PrefixWatchSettings(
            self._context.ports.documents.workers_prefix,
            wait_ms,
            timeout_ms,
            pause_ms=_DIRECTORY_PAUSE_MS,
        )
        store = self._context.ports.store
        return (
            PrefixWatcher(jobs, store, self.mailbox),
            PrefixWatcher(workers, store, self.mailbox),
        )

    def _take_jobs(
        self,
        found: tuple[KvItem, ...],
        progress_found: tuple[KvItem, ...],
    ) -> None:
        load_jobs(self.core, found, progress_found, now_ms())
        self._plan_decision()

    def _list_workers(self) -> None:
        entries = self._directory.entries()
        self.core.update_workers(entries, now_ms())
        self.channels.follow(entries)
        if any(not view.is_recorded for view in self.core.state.workers):
            self._saver.save_fleet()
        self._plan_decision()

    def _plan_decision(self) -> None:
        if not self._is_decision_due:
            self._is_decision_due = True
            self.mailbox.send(messages.Decide())

    def _save(self) -> None:
        for seen in self._saver.save():
            self.channels.ends_durable(seen)


@EFFECTS.register(StartRun)
def _send_start(owner: PoolOwner, effect: StartRun) -> None:
    owner.observe_start(effect)
    owner.channels.send_order(effect)


@EFFECTS.register(StopRun)
@EFFECTS.register(PaceRun)
@EFFECTS.register(RequestReport)
def _send_order(owner: PoolOwner, effect: Order) -> None:
    owner.channels.send_order(effect)


@EFFECTS.register(RequestAdvice)
def _ask_advice(owner: PoolOwner, effect: RequestAdvice) -> None:
    owner.ask_advice(effect)
