"""The owner of a pool.

Passes reports, answers and records to the `GraphCore`, which decides, and
executes the effects that it returns.
"""

from collections.abc import Callable
from dataclasses import replace
from typing import Any, Final

from fuchsiarill import events, graph_events
from fuchsiarill.actor import handles
from fuchsiarill.clock import now_ms, sleep_ms
from fuchsiarill.cluster.spawning_actor import SpawningActor
from fuchsiarill.graphs import incarnations, keys
from fuchsiarill.graphs import owner_messages as messages
from fuchsiarill.graphs.advice import AdviceRequest, OwnerStopped
from fuchsiarill.graphs.advice_requests import choose_workers
from fuchsiarill.graphs.ceiling_reports import observe_customers
from fuchsiarill.graphs.claim_answers import apply_claims_answer
from fuchsiarill.graphs.claim_keeper import ClaimsAnswered, create_keeper
from fuchsiarill.graphs.core import GraphCore
from fuchsiarill.graphs.core_dump import dump_core
from fuchsiarill.graphs.directory import WorkerDirectory
from fuchsiarill.graphs.effects import (
    FenceIncarnation,
    ListClaims,
    PaceRun,
    RequestAdvice,
    RequestReport,
    StartRun,
    StopRun,
    WriteClaims,
)
from fuchsiarill.graphs.fencing import FencingTokenSource
from fuchsiarill.graphs.job_loading import load_jobs
from fuchsiarill.graphs.load_publisher import LoadPublisher
from fuchsiarill.graphs.model import AdvicePolicy, BornMs
from fuchsiarill.graphs.owner_context import OwnerContext, Term
from fuchsiarill.graphs.pool_channels import Order, PoolChannels
from fuchsiarill.graphs.prefix_watch import (
    PrefixChanged,
    PrefixListed,
    PrefixWatcher,
    PrefixWatchSettings,
    StoreReachabilityChanged,
)
from fuchsiarill.graphs.progress_saver import ProgressSaver
from fuchsiarill.graphs.record_writer import RecordWriter
from fuchsiarill.graphs.run_time_records import restore_run_times, unix_ms
from fuchsiarill.graphs.start_windows import has_open_starts
from fuchsiarill.graphs.worker_channel import ChannelContext
from fuchsiarill.ids import JobId, Revision, WorkerId
from fuchsiarill.ports.key_value import KvItem
from fuchsiarill.registry import Registry

_TICK_INTERVAL_MS: Final = 100
_HANDOVER_CHECK_INTERVAL_MS: Final = 10
# Batches the reads of worker entries, which heartbeats rewrite continuously.
_DIRECTORY_PAUSE_MS: Final = 150

_EffectHandler = Callable[['PoolOwner', Any], None]

EFFECT_HANDLERS: Final[Registry[type, _EffectHandler]] = Registry(
    'effects of an owner'
)


class PoolOwner(SpawningActor):
    """Owns one pool for one term, which begins with an election."""

    def __init__(
        self, term: Term, context: OwnerContext, loaded: messages.PoolRecords
    ) -> None:
        """Create the owner from the jobs and records in the store."""
        super().__init__(f'owner {term.pool}')
        settings = context.settings
        self._term = term
        self._context = context
        self._fleet = replace(
            loaded.fleet, term=loaded.fleet.term + 1, owner=term.owner
        )
        self.core = GraphCore(
            term.pool, term.epoch, settings.task_lease, self._fleet.term
        )
        self.core.state.previous_owner_stop_ms = loaded.previous_owner_stop_ms
        self.core.configure(term.config)
        restore_run_times(self.core.state, loaded.run_times, now_ms())
        self._directory = WorkerDirectory(term.pool, context.ports.documents)
        self._writer = RecordWriter(
            context.ports.store,
            (keys.owner_key(term.pool), Revision(term.epoch)),
            settings.calls.store_timeout_ms,
            self.mailbox,
        )
        self._writer.add_revisions(loaded.revisions)
        self._claim_keeper = create_keeper(term, context, self.mailbox)
        self._store_writers = (self._writer, self._claim_keeper)
        self._load_publisher = LoadPublisher(
            self.core, settings.load, context.metrics.load
        )
        self._saver = ProgressSaver(
            self.core,
            self._writer.mailbox,
            self._fleet,
            settings.retention,
            self._load_publisher,
        )
        self.channels = PoolChannels(
            self.core,
            ChannelContext(
                settings,
                context.ports.agents,
                FencingTokenSource(term.epoch),
                term.guard,
                self.mailbox,
            ),
            self.spawn,
        )
        self._watchers = self._make_watchers(loaded.jobs_revision)
        self._is_decision_due = False
        self._apply_jobs(loaded.jobs, loaded.progress)

    def start(self) -> None:
        """Contact the workers in the fleet record and start to decide."""
        super().start()
        self.tick_every(_TICK_INTERVAL_MS, messages.PoolTick())
        for writer in self._store_writers:
            writer.start()
        for member in self._fleet.members:
            self.core.add_inherited_worker(
                member.worker,
                member.address,
                self._prior_lease_expiry_ms(),
                member.born_ms,
            )
            self.channels.open_channel(member.worker, member.address)
        self._saver.save_fleet()
        for watcher in self._watchers:
            watcher.start()
        self._report_takeover()

    async def stop(self) -> None:
        """Stop the watches, the channels and the record writer."""
        self._context.metrics.forget_pool(self._term.pool)
        for watcher in self._watchers:
            await watcher.stop()
        await self.channels.stop()
        for writer in self._store_writers:
            await writer.stop()
        self._load_publisher.stop()
        self._context.advisor.send(OwnerStopped(self.mailbox))
        await super().stop()

    def snapshot(self) -> dict[str, Any]:
        """Return the state for a dump."""
        return {
            **super().snapshot(),
            'pool': self._term.pool,
            'epoch': self._term.epoch,
            'channels': self.channels.snapshot(),
            'core': dump_core(self.core),
            'load': self._load_publisher.snapshot(),
        }

    @handles(messages.ConfigInForce)
    async def on_config(self, message: messages.ConfigInForce) -> None:
        """Apply a configuration."""
        self.core.configure(message.config)
        self._schedule_decision()

    @handles(PrefixListed)
    async def on_listed(self, message: PrefixListed) -> None:
        """Apply a full list, read at the start or after a gap in the watch."""
        if message.prefix == self._context.ports.documents.workers_prefix:
            self._directory.replace(message.items)
            self._update_workers()
            return
        self._apply_jobs(message.items, ())

    @handles(PrefixChanged)
    async def on_changed(self, message: PrefixChanged) -> None:
        """Apply changes of worker entries, jobs and cancellations."""
        if message.prefix == self._context.ports.documents.workers_prefix:
            if self._directory.apply_changes(message.items):
                self._update_workers()
            return
        self._apply_jobs(message.items, ())

    @handles(StoreReachabilityChanged)
    async def on_reachability_changed(
        self, message: StoreReachabilityChanged
    ) -> None:
        """Tell the core whether the directory is read.

        The watches recover from outages of the store by themselves.
        """
        if message.prefix != self._context.ports.documents.workers_prefix:
            return
        incarnations.apply_reachability(
            self.core.state, is_directory_lost=message.is_unreachable
        )

    @handles(messages.WorkerReported)
    async def on_reported(self, message: messages.WorkerReported) -> None:
        """Apply a worker's report."""
        view = self.core.state.workers.find(message.worker)
        for end in message.report.ended:
            if view is not None and end.sequence > view.seen_end:
                self._context.metrics.count_run_end(end.kind)
        self.core.worker_reported(
            message.worker,
            message.report,
            message.token,
            message.requested_ms,
            now_ms(),
        )
        self._schedule_decision()

    @handles(messages.RenewalSent)
    async def on_renewal_sent(self, message: messages.RenewalSent) -> None:
        """Record that the leases on a worker are extended."""
        self.core.renewal_sent(message.worker, now_ms())

    @handles(messages.RestartSuspected)
    async def on_restart_suspected(
        self, message: messages.RestartSuspected
    ) -> None:
        """Record that late calls may act on a later incarnation."""
        self.core.restart_suspected(message.worker, now_ms())

    @handles(messages.RenewalFailed)
    async def on_renewal_failed(self, message: messages.RenewalFailed) -> None:
        """Apply a failed renewal, or a start that met a later epoch."""
        self.core.worker_failed(message.worker, message.failure, now_ms())

    @handles(messages.StartAnswered)
    async def on_start_answered(self, message: messages.StartAnswered) -> None:
        """Apply the outcome of a start order."""
        if message.failure is not None:
            self._schedule_decision()
        self.core.start_answered(
            message.worker,
            message.task,
            message.attempt,
            message.failure,
            now_ms(),
        )

    @handles(messages.StopAnswered)
    async def on_stop_answered(self, message: messages.StopAnswered) -> None:
        """Apply the outcome of a stop order."""
        self.core.stop_answered(
            message.worker,
            message.task,
            message.attempt,
            message.failure,
            now_ms(),
        )
        self._schedule_decision()

    @handles(messages.ChooseAdvisedWorkers)
    async def on_choose_workers(
        self, message: messages.ChooseAdvisedWorkers
    ) -> None:
        """Choose the workers of a call of the advice service."""
        incarnations: dict[WorkerId, BornMs] = {}
        if self._term.guard.may_send_orders():
            incarnations = choose_workers(
                self.core.state, message.step, now_ms()
            )
        message.reply.answer(incarnations)

    @handles(messages.AdviceAnswered)
    async def on_advice_answered(
        self, message: messages.AdviceAnswered
    ) -> None:
        """Apply tickets, or the failure of a request for advice."""
        if message.tickets is None:
            self.core.advice_failed(message.step, now_ms())
        else:
            policy = self._advice_policy(message.step.job)
            validity_ms = 0 if policy is None else policy.validity_ms
            self.core.advice_received(
                message.step,
                message.incarnations,
                message.tickets,
                now_ms() + validity_ms,
                now_ms(),
            )
        self._schedule_decision()

    @handles(messages.RecordsSaved)
    async def on_saved(self, message: messages.RecordsSaved) -> None:
        """Let workers discard run ends that are durable."""
        self._saver.mark_saved(message.request)
        for processed in message.request.processed_ends:
            self.channels.confirm_durable_ends(processed)
        if message.request.fleet_workers:
            self.core.record_workers(message.request.fleet_workers)
        self._schedule_decision()

    @handles(ClaimsAnswered)
    async def on_claims_answered(self, message: ClaimsAnswered) -> None:
        """Apply the outcome of a call for the claims of the pool."""
        apply_claims_answer(self.core.state, message.answer, now_ms())
        self._schedule_decision()

    @handles(messages.OwnershipLost)
    async def on_ownership_lost(self, message: messages.OwnershipLost) -> None:
        """Send no more orders, and tell the tenure to step down."""
        self._term.guard.revoke()
        self._context.tenure.send(message)

    @handles(messages.PoolTick)
    async def on_tick(self, message: messages.PoolTick) -> None:
        """Advance timers; remove unlisted workers without runs or leases."""
        now = now_ms()
        # The wall clock may jump, so its offset is computed at each tick.
        self.core.state.unix_offset_ms = unix_ms() - now
        self.core.tick(now)
        is_any_removed = self.channels.remove_unlisted_workers(now)
        if is_any_removed or self._saver.is_fleet_outdated():
            self._saver.save_fleet()
        observe_customers(self.core.state, self._context.metrics, now)
        for score in self.core.state.run_times.take_scores():
            self._context.metrics.observe_run_time(score)
        self._schedule_decision()

    @handles(messages.Decide)
    async def on_decide(self, message: messages.Decide) -> None:
        """Run a decision round, execute its effects and save the records.

        Without valid ownership no round runs, but queued effects are executed.
        """
        self._is_decision_due = False
        if self._term.guard.may_send_orders():
            self.core.decide(now_ms())
        for effect in self.core.take_effects():
            EFFECT_HANDLERS.lookup(type(effect))(self, effect)
        self._save_records()

    async def hand_over(self, timeout_ms: int) -> None:
        """Send no more orders; wait up to `timeout_ms` to save all progress.

        Starts that are under way may get no answer, which is recorded then.
        """
        self._term.guard.revoke()
        deadline_ms = now_ms() + timeout_ms
        while now_ms() < deadline_ms:
            self._save_records()
            if not self._saver.is_saving and not has_open_starts(
                self.core.state
            ):
                return
            await sleep_ms(_HANDOVER_CHECK_INTERVAL_MS)

    def observe_start(self, start: StartRun) -> None:
        """Record the time from the arrival of a job here to this start."""
        entry = self.core.state.jobs.get(start.task.job)
        if entry is not None:
            wait_ms = now_ms() - entry.accepted_ms
            self._context.metrics.observe_wait(entry.graph.queue, wait_ms)
            self._load_publisher.count_start(start.task, now_ms())

    def request_advice(self, request: RequestAdvice) -> None:
        """Send a request for advice to the advisor of the process."""
        policy = self._advice_policy(request.step.job)
        if policy is None:
            return
        self._context.advisor.send(
            AdviceRequest(
                request,
                policy,
                self.mailbox,
            ),
        )

    def send_claims_call(self, call: ListClaims | WriteClaims) -> None:
        """Let the keeper of the claims make a call of the store."""
        self._claim_keeper.mailbox.send(call)

    def _report_takeover(self) -> None:
        self._context.metrics.takeovers.inc()
        events.emit(
            graph_events.POOL_LOADED,
            pool=self._term.pool,
            epoch=self._term.epoch,
            jobs=len(self.core.state.jobs),
            workers=len(self._fleet.members),
            term=self._fleet.term,
        )

    def _advice_policy(self, job: JobId) -> AdvicePolicy | None:
        entry = self.core.state.jobs.get(job)
        return None if entry is None else entry.policy.advice

    def _prior_lease_expiry_ms(self) -> int:
        """Return until when task leases of the previous owner may last."""
        state = self.core.state
        return state.previous_owner_stop_ms + state.leases.longest_allowed_ms

    def _make_watchers(self, revision: Revision) -> tuple[PrefixWatcher, ...]:
        wait_ms = self._context.settings.watch_wait_ms
        timeout_ms = self._context.settings.calls.store_timeout_ms
        jobs = PrefixWatchSettings(
            keys.jobs_prefix(self._term.pool),
            wait_ms,
            timeout_ms,
            after_revision=revision,
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

    def _apply_jobs(
        self, job_items: tuple[KvItem, ...], progress_items: tuple[KvItem, ...]
    ) -> None:
        load_jobs(self.core, job_items, progress_items, now_ms())
        self._schedule_decision()

    def _update_workers(self) -> None:
        entries = self._directory.entries()
        self.core.update_workers(entries, now_ms())
        self.channels.update(entries)
        if any(not view.is_recorded for view in self.core.state.workers):
            self._saver.save_fleet()
        self._schedule_decision()

    def _schedule_decision(self) -> None:
        if not self._is_decision_due:
            self._is_decision_due = True
            self.mailbox.send(messages.Decide())

    def _save_records(self) -> None:
        for processed in self._saver.save():
            self.channels.confirm_durable_ends(processed)


@EFFECT_HANDLERS.register(StartRun)
def _send_start(owner: PoolOwner, effect: StartRun) -> None:
    owner.observe_start(effect)
    owner.channels.send_order(effect)


@EFFECT_HANDLERS.register(StopRun)
@EFFECT_HANDLERS.register(PaceRun)
@EFFECT_HANDLERS.register(RequestReport)
@EFFECT_HANDLERS.register(FenceIncarnation)
def _send_order(owner: PoolOwner, effect: Order) -> None:
    owner.channels.send_order(effect)


@EFFECT_HANDLERS.register(RequestAdvice)
def _request_advice(owner: PoolOwner, effect: RequestAdvice) -> None:
    owner.request_advice(effect)


@EFFECT_HANDLERS.register(ListClaims)
@EFFECT_HANDLERS.register(WriteClaims)
def _call_for_claims(
    owner: PoolOwner, effect: ListClaims | WriteClaims
) -> None:
    owner.send_claims_call(effect)
