"""Decisions about one pool: jobs, workers and runs; no I/O.

The pool's owner, the process elected for it, passes in worker reports, answers
to its calls and durable records, with the runtime clock in `now_ms`, and
executes the effects that `take_effects` returns.
"""

from collections import Counter
from collections.abc import Iterable

from fuchsiarill import events, graph_events
from fuchsiarill.graphs import (
    ceiling_limits,
    customer_order,
    decision_round,
    incarnations,
    reports,
    start_windows,
    worker_crashes,
    worker_suspension,
)
from fuchsiarill.graphs.effects import Effect, RequestReport
from fuchsiarill.graphs.fencing import BORN_UNKNOWN_MS
from fuchsiarill.graphs.job_actions import apply_job_event
from fuchsiarill.graphs.job_entries import ATTEMPTS_PER_TERM, JobEntry
from fuchsiarill.graphs.model import (
    BornMs,
    GraphConfig,
    JobGraph,
    PoolId,
    QueueId,
    QueuePolicy,
    StepKey,
    TaskKey,
    Ticket,
    WorkerEntry,
    WorkerReport,
)
from fuchsiarill.graphs.progress import JobProgress
from fuchsiarill.graphs.run_actions import apply_run_event, extend_leases
from fuchsiarill.graphs.runs import Run
from fuchsiarill.graphs.settings import TaskLeaseSettings
from fuchsiarill.graphs.state import PoolState
from fuchsiarill.graphs.states import (
    AvailabilityEvent,
    JobPhaseEvent,
    RunEvent,
    RunState,
)
from fuchsiarill.graphs.ticking import TICK_ACTIONS
from fuchsiarill.graphs.worker_ends import proves_end
from fuchsiarill.ids import Epoch, FencingToken, JobId, WorkerId
from fuchsiarill.ports.agents import AgentFailure

# After a start that failed for one of these reasons, the worker gets no new run
# until it has reported again.
_AVAILABILITY_FAILURES = frozenset(
    (
        AgentFailure.UNHEALTHY,
        AgentFailure.NOT_SENT,
        AgentFailure.CONNECTION_REFUSED,
        AgentFailure.OTHER_WORKER,
        # Its capacity has shrunk, which its directory entry does not show yet.
        AgentFailure.NO_ROOM,
    ),
)


class GraphCore:
    """State of a pool and the decisions of its owner."""

    def __init__(
        self,
        pool: PoolId,
        epoch: Epoch,
        leases: TaskLeaseSettings,
        term: int,
    ) -> None:
        """Create the state of a new owner; its term has number `term` >= 1."""
        self.state = PoolState(pool, epoch, leases)
        self._term = term

    def configure(self, config: GraphConfig) -> None:
        """Apply a configuration.

        Known jobs get the new policy of their queue, or keep the old one if
        the queue has been removed.
        """
        self.state.config = config
        self.state.ceilings.configure(config)
        for entry in self.state.jobs.values():
            policy = config.queues.get(entry.graph.queue)
            if policy is not None:
                entry.policy = policy
        self.state.room_changes.add_all()

    def add_job(
        self,
        graph: JobGraph,
        progress: JobProgress,
        now_ms: int,
        *,
        is_inherited: bool,
    ) -> None:
        """Add an accepted job; a known job is ignored.

        `is_inherited` tells that the job was accepted before this owner was
        elected.
        """
        if graph.job in self.state.jobs:
            return
        expected_ms = tuple(
            self.state.run_times.expected_ms(graph.queue, step, graph.customer)
            for step in graph.steps
        )
        policy = self._policy(graph)
        entry = JobEntry(graph, policy, progress, now_ms, expected_ms)
        entry.is_inherited = is_inherited
        if is_inherited:
            start_windows.log_inherited(self.state, entry, now_ms)
            self.state.ceilings.add_inherited(graph.customer)
            entry.attempt_floor = (self._term - 1) * ATTEMPTS_PER_TERM
        self.state.jobs[graph.job] = entry
        if not entry.is_active:
            return
        if not is_inherited:
            entry.is_beyond_rate = customer_order.is_beyond_rate(
                self.state, graph, now_ms
            )
        self.state.active_jobs[graph.job] = entry
        if graph.schedule is None:
            entry.open_occurrence(0)
        if entry.is_complete:
            apply_job_event(
                self.state, entry, JobPhaseEvent.ALL_SUCCEEDED, now_ms
            )

    def cancel_job(self, job: JobId, now_ms: int) -> None:
        """Cancel a job and stop its runs."""
        entry = self.state.jobs.get(job)
        if entry is not None:
            apply_job_event(
                self.state, entry, JobPhaseEvent.CANCEL_SEEN, now_ms
            )

    def remove_job(self, job: JobId) -> None:
        """Remove a job that has reached its final phase."""
        self.state.jobs.pop(job, None)

    def update_workers(
        self, entries: Iterable[WorkerEntry], now_ms: int
    ) -> None:
        """Apply the complete list of the pool's entries in the directory."""
        listed = list(entries)
        for view in self.state.workers.update_entries(listed, now_ms):
            incarnations.apply_listed(self.state, view, now_ms)
        worker_crashes.apply_entries(self.state, listed, now_ms)
        self.state.room_changes.add_all()

    def add_inherited_worker(
        self,
        worker: WorkerId,
        address: str,
        lease_expiry_ms: int,
        recorded_born_ms: BornMs = BORN_UNKNOWN_MS,
    ) -> None:
        """Add a worker on which a previous owner may have started runs.

        Task leases granted by that owner expire at `lease_expiry_ms` at the
        latest, unless late calls act on another incarnation than the recorded
        one.
        """
        view = self.state.workers.add(worker, address)
        view.is_recorded = True
        view.recorded_born_ms = recorded_born_ms
        view.set_expiry(max(view.lease_expiry_ms, lease_expiry_ms))

    def record_workers(self, workers: Iterable[WorkerId]) -> None:
        """Mark workers as contained in the durable fleet record."""
        for worker in workers:
            view = self.state.workers.find(worker)
            if view is not None and not view.is_recorded:
                view.is_recorded = True
                self.state.room_changes.add(worker)

    def renewal_sent(self, worker: WorkerId, now_ms: int) -> None:
        """Extend a worker's task leases: a renewal or start is being sent."""
        view = self.state.workers.find(worker)
        if view is not None:
            extend_leases(self.state, view, now_ms)

    def worker_reported(
        self,
        worker: WorkerId,
        report: WorkerReport,
        token: FencingToken,
        requested_ms: int,
        now_ms: int,
    ) -> None:
        """Apply the report that answers the renewal sent at `requested_ms`.

        A report that answers an older token than a report before is ignored:
        its incarnation may have ended. A channel that has been replaced may
        have received it.
        """
        view = self.state.workers.find(worker)
        if view is None or token < view.token:
            return
        if token > view.token:
            incarnations.settle_suspicion(view)
        view.token = token
        could_receive_runs = worker_suspension.can_receive_runs(view, now_ms)
        reports.apply_report(self.state, view, report, requested_ms, now_ms)
        if not could_receive_runs and worker_suspension.can_receive_runs(
            view, now_ms
        ):
            self.state.room_changes.add(worker)

    def restart_suspected(self, worker: WorkerId, now_ms: int) -> None:
        """Expect late calls on an incarnation that is not fenced yet."""
        view = self.state.workers.find(worker)
        if view is not None:
            incarnations.suspect_restart(self.state, view, now_ms)

    def worker_failed(
        self,
        worker: WorkerId,
        failure: AgentFailure,
        now_ms: int,
    ) -> None:
        """Mark a ready worker as unconfirmed after a `RenewalFailed` message.

        The task leases of any worker are taken as expired at once if the
        failure proves that the worker process has ended.
        """
        view = self.state.workers.find(worker)
        if view is None:
            return
        previous_availability = view.availability
        self.state.workers.apply_event(view, AvailabilityEvent.WENT_SILENT)
        if previous_availability is not view.availability:
            events.emit(
                graph_events.WORKER_UNCONFIRMED,
                worker=worker,
                failure=failure.value,
                runs=len(view.runs),
            )
        if view.silent_since_ms is None:
            view.silent_since_ms = now_ms
        if proves_end(failure):
            reports.end_worker(self.state, view, now_ms)

    def start_answered(
        self,
        worker: WorkerId,
        task: TaskKey,
        attempt: int,
        failure: AgentFailure | None,
        now_ms: int,
    ) -> None:
        """Apply the outcome of a start order.

        The order has started the run if `failure` is `None`.
        """
        run = self._find_run(worker, task, attempt)
        if run is None:
            return
        run.is_start_pending = False
        if failure is None:
            start_windows.close_window(run)
            run.is_start_confirmed = True
            self.state.record_start(task.job)
            if run.state is RunState.STARTING and run.visible_since_ms is None:
                run.visible_since_ms = now_ms
            apply_run_event(self.state, run, RunEvent.CONFIRMED, now_ms)
            return
        if failure is AgentFailure.UNKNOWN:
            start_windows.start_timed_out(self.state, run, now_ms)
            apply_run_event(self.state, run, RunEvent.UNANSWERED, now_ms)
            return
        self._handle_refusal(run, failure, now_ms)

    def stop_answered(
        self,
        worker: WorkerId,
        task: TaskKey,
        attempt: int,
        failure: AgentFailure | None,
        now_ms: int,
    ) -> None:
        """Apply the outcome of a stop order; request a report on success.

        After a failure a periodic action repeats the order.
        """
        run = self._find_run(worker, task, attempt)
        if run is None or failure is not None:
            return
        run.is_stop_answered = True
        run.visible_since_ms = now_ms
        self.state.effects.append(RequestReport(worker))

    def advice_received(
        self,
        step: StepKey,
        requested: dict[WorkerId, BornMs],
        granted: dict[WorkerId, Ticket],
        expiry_ms: int,
        now_ms: int,
    ) -> None:
        """Store the answer of the advice service for a step.

        The answer allows the workers in `granted` and denies the other workers
        in `requested`. Workers that have restarted since the request are
        ignored: the answer does not hold for the new incarnation.
        """
        named_count = len(requested)
        waited_ms = self.state.tickets.pending_ms(step, now_ms)
        requested = {
            worker: born_ms
            for worker, born_ms in requested.items()
            if self._is_same_incarnation(worker, born_ms)
        }
        self.state.tickets.store_answer(step, requested, granted, expiry_ms)
        events.emit(
            graph_events.STEP_ADVISED,
            job=step.job,
            step=f'{step.occurrence}.{step.step}',
            asked=len(requested),
            granted=len(granted),
            named=named_count,
            waited_ms=waited_ms,
            workers=','.join(sorted(granted)),
        )
        self._unblock_step(step)

    def advice_failed(self, step: StepKey, now_ms: int) -> None:
        """Allow a new request for advice after a request that failed."""
        self.state.tickets.request_failed(step, now_ms)
        self._unblock_step(step)

    def tick(self, now_ms: int) -> None:
        """Run all periodic actions."""
        for name in TICK_ACTIONS:
            TICK_ACTIONS.lookup(name)(self.state, now_ms)

    def decide(self, now_ms: int) -> None:
        """Place waiting units, which are tasks or gangs, and start them."""
        decision_round.decide(self.state, now_ms)
        ceiling_limits.review_claims(self.state, now_ms)

    def take_effects(self) -> list[Effect]:
        """Return and clear the effects of the calls so far."""
        effects = self.state.effects
        self.state.effects = []
        return effects

    def take_dirty(self) -> set[JobId]:
        """Return and clear the set of jobs whose progress has changed."""
        dirty = self.state.dirty
        self.state.dirty = set()
        return dirty

    def pending_counts(self) -> dict[QueueId, int]:
        """Return per queue the number of active jobs without a started task."""
        counts: Counter[QueueId] = Counter()
        for entry in self.state.jobs.values():
            if entry.is_active and not entry.progress.has_started:
                counts[entry.graph.queue] += 1
        return dict(counts)

    def _is_same_incarnation(self, worker: WorkerId, born_ms: BornMs) -> bool:
        view = self.state.workers.find(worker)
        return view is not None and view.born_ms == born_ms

    def _policy(self, graph: JobGraph) -> QueuePolicy:
        """Return the queue's policy, or that of the acceptance of the job.

        Jobs of a removed queue still run. A process may accept a job of a new
        queue before the owner has the configuration with the queue. A job
        without a recorded policy gets a default.
        """
        config = self.state.config
        policy = config.queues.get(graph.queue) if config else None
        if policy is not None:
            return policy
        if graph.accepted_policy is not None:
            return graph.accepted_policy
        return QueuePolicy(graph.queue, '', '', graph.pool, 0)

    def _find_run(
        self,
        worker: WorkerId,
        task: TaskKey,
        attempt: int,
    ) -> Run | None:
        view = self.state.workers.find(worker)
        return None if view is None else view.runs.get((task, attempt))

    def _handle_refusal(
        self, run: Run, failure: AgentFailure, now_ms: int
    ) -> None:
        events.emit(
            graph_events.START_REFUSED,
            job=run.task.job,
            task=run.task.label,
            attempt=run.attempt,
            worker=run.worker,
            failure=failure.value,
        )
        if failure is AgentFailure.TICKET_INVALID:
            self.state.tickets.discard_ticket(run.task.step_key, run.worker)
        view = self.state.workers.find(run.worker)
        if view is not None and failure is AgentFailure.UNHEALTHY:
            worker_suspension.record_failure(view, run.task, now_ms)
        if view is not None and failure in _AVAILABILITY_FAILURES:
            self.state.workers.apply_event(view, AvailabilityEvent.WENT_SILENT)
        reports.end_unreported_run(self.state, run, RunEvent.REFUSED, now_ms)

    def _unblock_step(self, step: StepKey) -> None:
        step_entry = self.state.find_unfinished_step(step)
        if step_entry is not None:
            step_entry.wait.is_due = True
