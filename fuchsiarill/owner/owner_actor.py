"""The actor that owns a partition.

It passes events to the `PartitionCore`, which contains the scheduling logic,
and executes the effects that the core returns. A decision is one scheduling
round of the core; it places waiting tasks.
"""

from collections.abc import Callable
from functools import partial
from typing import Any, Final

from fuchsiarill import events
from fuchsiarill.actor import Actor, Mailbox, Reply, handles
from fuchsiarill.clock import now_ms
from fuchsiarill.core.effects import (
    CommandTask,
    JobSettled,
    PersistRecord,
    StartTask,
)
from fuchsiarill.core.partition import PartitionCore
from fuchsiarill.core.state import CoreState
from fuchsiarill.ids import AttemptId
from fuchsiarill.job import Execution, Urgency
from fuchsiarill.owner import messages
from fuchsiarill.owner.decision_times import DecisionTimes
from fuchsiarill.owner.durability import Durability
from fuchsiarill.owner.job_requests import JobRequests
from fuchsiarill.owner.worker_link import LinkParameters
from fuchsiarill.owner.worker_links import (
    WorkerLinkPorts,
    WorkerLinks,
    hosts_of_partition,
)
from fuchsiarill.ports.workers import WorkerPort
from fuchsiarill.records import TaskLeaseRaised
from fuchsiarill.registry import Registry
from fuchsiarill.settings import ProcessSettings
from fuchsiarill.workers import TaskOutcome

EffectHandler = Callable[['OwnerActor', Any], None]

EFFECT_HANDLERS: Final[Registry[type, EffectHandler]] = Registry('effects')
_DECISION_INTERVAL_MS: Final = 100
# Number of consecutive messages that may be handled without a decision while
# further messages wait. A burst of reports from all workers of a partition then
# needs only a few decisions.
_DEFERRALS_MAX_COUNT: Final = 64


class OwnerActor(Actor):
    """Owns the core and the worker links of a partition."""

    def __init__(
        self,
        core: PartitionCore,
        settings: ProcessSettings,
        worker_port: WorkerPort,
        journal: Mailbox,
        campaign: Mailbox,
    ) -> None:
        """Create the owner; it sends no starts before `OwnershipDeadline`."""
        super().__init__(f'owner {core.state.partition}')
        policies = core.state.config.policies
        self.core = core
        self.settings = settings
        self.durability = Durability(journal)
        self.requests = JobRequests(
            core,
            self.durability,
            settings.http.request_timeout_ms,
        )
        self.worker_links = WorkerLinks(
            WorkerLinkPorts(worker_port, self.mailbox),
            LinkParameters(
                core.state.epoch,
                policies.task_lease_ms,
                policies.exchange_interval_ms,
                settings.workers.silent_after_ms,
            ),
        )
        self.decision_times = DecisionTimes()
        self.owned_until_ms = 0
        self.outage_until_ms = 0
        self.finish_reply: Reply[bool] | None = None
        self._longest_lease_ms = policies.task_lease_ms
        self._campaign = campaign
        self._deposed_message: messages.Deposed | None = None
        self._messages_since_decision_count = 0

    def start(self) -> None:
        """Run the actor and make a decision at each interval."""
        super().start()
        self.tick_every(_DECISION_INTERVAL_MS, messages.Tick())

    async def stop(self) -> None:
        """Stop the actor, answer all waiting clients and stop the links."""
        await super().stop()
        self.requests.abandon()
        await self.worker_links.stop()

    def snapshot(self) -> dict[str, Any]:
        """Return the state for a dump."""
        return super().snapshot() | {
            'epoch': self.core.state.epoch,
            'deadline_ms': self.owned_until_ms,
            'restricted': self.core.state.restricted,
            'waiting_for_commit_count': (
                self.requests.waiters.commit_waiters_count
            ),
            'waiting_for_end_count': self.requests.waiters.end_waiters_count,
            'decision_times': self.decision_times.snapshot(),
            'durability': self.durability.snapshot(),
            'core': self.core.snapshot(),
            'links': self.worker_links.snapshot(),
        }

    @handles(messages.SubmitJobs)
    async def on_submit(self, message: messages.SubmitJobs) -> None:
        """Admit a batch and answer once all of it is durable."""
        if self._deposed_message is not None:
            self.requests.close()
        self._update_restriction()
        self.requests.submit(message)
        self._decide_or_defer()

    @handles(messages.QueryJob)
    async def on_query(self, message: messages.QueryJob) -> None:
        """Answer with the job's state at its end or when the wait expires."""
        self.requests.query(message)

    @handles(messages.CancelJob)
    async def on_cancel(self, message: messages.CancelJob) -> None:
        """Cancel a job if it belongs to the customer."""
        self.requests.cancel(message)
        self._decide_or_defer()

    @handles(messages.ListJobs)
    async def on_list(self, message: messages.ListJobs) -> None:
        """List jobs of a customer, most recently accepted first."""
        self.requests.list_jobs(message)

    @handles(messages.ExplainJob)
    async def on_explain(self, message: messages.ExplainJob) -> None:
        """Explain what a job waits for if it belongs to the customer."""
        self.requests.explain(message)

    @handles(messages.HostsListed)
    async def on_hosts(self, message: messages.HostsListed) -> None:
        """Apply a new host list and create links to new workers."""
        entries = hosts_of_partition(message.entries, self.core.state)
        self.core.hosts_listed(entries, now_ms())
        self.worker_links.update_hosts(entries, self.core.state)
        self._decide_or_defer()

    @handles(messages.WorkerReported)
    async def on_report(self, message: messages.WorkerReported) -> None:
        """Apply a report; its outcomes are acknowledged once durable."""
        report = message.report
        self.core.worker_reported(report, now_ms(), message.requested_at_ms)
        self.core.leases_extended(report.worker_id, message.lease_ends_at_ms)
        ended_attempts = tuple(
            task.attempt_id
            for task in report.tasks
            if task.outcome is not TaskOutcome.RUNNING
        )
        if ended_attempts:
            self.durability.call_after_commit(
                self.core.state.sequence,
                # If the mailbox of the link is full, the acknowledgement is
                # dropped. The worker's next report repeats the outcomes.
                partial(
                    self.worker_links.send,
                    report.worker_id,
                    messages.OutcomesCommitted(ended_attempts),
                ),
            )
        self._decide_or_defer()

    @handles(messages.WorkerSilent)
    async def on_silent(self, message: messages.WorkerSilent) -> None:
        """Treat a worker as unreachable."""
        events.emit(events.WORKER_UNREACHABLE, worker=message.worker_id)
        self.core.leases_extended(message.worker_id, message.lease_ends_at_ms)
        self.core.worker_silent(message.worker_id, now_ms())
        self._decide_or_defer()

    @handles(messages.StartWithheld)
    async def on_withheld(self, message: messages.StartWithheld) -> None:
        """Withdraw an attempt whose start was not sent."""
        self.core.start_withheld(message.attempt_id, now_ms())
        self._decide_or_defer()

    @handles(messages.Committed)
    async def on_committed(self, message: messages.Committed) -> None:
        """Apply a commit and answer the clients that waited for it."""
        current_ms = now_ms()
        for sequence in self.durability.record_commit(
            message.sequence, current_ms
        ):
            self.core.committed(sequence, current_ms)
        self.requests.waiters.answer_committed(message.sequence)
        self._update_restriction()
        self._decide_or_defer()

    @handles(messages.OwnershipDeadline)
    async def on_deadline(self, message: messages.OwnershipDeadline) -> None:
        """Extend the time until which this process owns the partition."""
        self.owned_until_ms = message.deadline_ms
        self.requests.owned_until_ms = message.deadline_ms
        self._update_restriction()
        self._update_renewal_limit()

    @handles(messages.StoreOutageConfirmed)
    async def on_outage(self, message: messages.StoreOutageConfirmed) -> None:
        """Continue to renew task leases while no process can take over."""
        self.outage_until_ms = message.until_ms
        self._update_renewal_limit()

    @handles(messages.ConfigChanged)
    async def on_config(self, message: messages.ConfigChanged) -> None:
        """Apply a newer configuration; a longer lease must first be durable."""
        self.core.configure(message.config, now_ms())
        policies = message.config.policies
        change = messages.LeaseChanged(
            policies.task_lease_ms,
            policies.exchange_interval_ms,
        )
        if change.task_lease_ms > self._longest_lease_ms:
            # A longer lease must be in the journal before a worker gets it, so
            # that the next owner waits for leases of this length to lapse.
            self._longest_lease_ms = change.task_lease_ms
            sequence = self.core.state.persist(
                TaskLeaseRaised(change.task_lease_ms),
            )
            self.durability.call_after_commit(
                sequence,
                partial(self.worker_links.change_lease, change),
            )
        else:
            self.worker_links.change_lease(change)
        self._decide_or_defer()

    @handles(messages.Deposed)
    async def on_deposed(self, message: messages.Deposed) -> None:
        """Start no more tasks; the campaign stops this owner."""
        self._deposed_message = message
        self._campaign.send(message)

    @handles(messages.FinishWork)
    async def on_finish(self, message: messages.FinishWork) -> None:
        """Accept and place no more jobs.

        Replies once all records are durable and no client waits for a commit.
        """
        self.finish_reply = message.reply
        self.requests.close()
        self.decide_and_execute()

    @handles(messages.ContinueDecision)
    async def on_continue(self, message: messages.ContinueDecision) -> None:
        """Continue a decision that reached its step limit."""
        self._decide_or_defer()

    @handles(messages.Tick)
    async def on_tick(self, message: messages.Tick) -> None:
        """Process time-outs, then make a decision."""
        current_ms = now_ms()
        if self._deposed_message is not None:
            # The campaign's full mailbox may have refused the first message.
            self._campaign.send(self._deposed_message)
        self.core.expire_leases(current_ms)
        await self.worker_links.stop_unlisted_links(self.core.state)
        self.requests.expire_waits()
        self._update_restriction()
        self.decide_and_execute()

    def decide_and_execute(self) -> None:
        """Place waiting tasks; execute the effects, the journal records last.

        Once deposed or asked to finish, the owner places no tasks.
        """
        self._messages_since_decision_count = 0
        if self._deposed_message is None and self.finish_reply is None:
            with self.decision_times.measure():
                has_more_steps = self.core.decide(now_ms())
            if has_more_steps:
                self.mailbox.send(messages.ContinueDecision())
        records: list[PersistRecord] = []
        for effect in self.core.take_effects():
            if isinstance(effect, PersistRecord):
                records.append(effect)
            else:
                EFFECT_HANDLERS.lookup(type(effect))(self, effect)
        self.durability.append(records, now_ms())
        self._finish_if_done()

    def _decide_or_defer(self) -> None:
        """Make a decision, unless waiting messages can share a later one."""
        if (
            len(self.mailbox)
            and self._messages_since_decision_count < _DEFERRALS_MAX_COUNT
        ):
            self._messages_since_decision_count += 1
            return
        self.decide_and_execute()

    def _update_renewal_limit(self) -> None:
        until_ms = max(self.owned_until_ms, self.outage_until_ms)
        self.worker_links.allow_renewals(messages.RenewalsAllowed(until_ms))

    def _update_restriction(self) -> None:
        """Restrict the core to urgent idempotent jobs or lift the restriction.

        The restriction applies while ownership is not confirmed, or while
        records have waited without any commit for the time-out of a store call.
        """
        current_ms = now_ms()
        lag_limit_ms = self.settings.store.call_timeout_ms
        must_restrict = current_ms >= self.owned_until_ms
        if self.durability.lag_ms(current_ms) >= lag_limit_ms:
            must_restrict = True
        if must_restrict and not self.core.state.restricted:
            self.core.restrict(current_ms)
            self.requests.waiters.answer_early()
        elif self.core.state.restricted and not must_restrict:
            self.core.unrestrict(current_ms)

    def _finish_if_done(self) -> None:
        if self.finish_reply is None:
            return
        if self.requests.waiters.commit_waiters_count:
            return
        if self.durability.is_committed(self.core.state.sequence):
            self.finish_reply.answer(True)


@EFFECT_HANDLERS.register(StartTask)
def _send_start(owner: OwnerActor, effect: StartTask) -> None:
    send_before_ms = owner.owned_until_ms
    if _may_start_without_store(owner.core.state, effect.attempt_id):
        # If another process has taken over, a worker that has seen the newer
        # epoch refuses the start.
        send_before_ms = max(send_before_ms, owner.outage_until_ms)
    message = messages.SendStart(effect, send_before_ms)
    if not owner.worker_links.send(effect.worker_id, message):
        owner.core.start_withheld(effect.attempt_id, now_ms())


@EFFECT_HANDLERS.register(CommandTask)
def _send_command(owner: OwnerActor, effect: CommandTask) -> None:
    owner.worker_links.send(effect.worker_id, messages.SendCommand(effect))


@EFFECT_HANDLERS.register(JobSettled)
def _answer_end_waiters(owner: OwnerActor, effect: JobSettled) -> None:
    owner.requests.answer_end_waiters(effect.job_id)


def _may_start_without_store(state: CoreState, attempt_id: AttemptId) -> bool:
    """Return whether a start is permitted while the store is unreachable."""
    attempt = state.attempts.get(attempt_id)
    if attempt is None or not state.restricted:
        return False
    spec = state.jobs[attempt.job_id].spec
    if spec.urgency is not Urgency.URGENT:
        return False
    return spec.execution is Execution.IDEMPOTENT
