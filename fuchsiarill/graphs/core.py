"""Decisions about one pool: jobs, workers and runs; no I/O.

The owner feeds in what it learns, with the runtime clock in `now_ms`, and
carries out the effects that `take_effects` returns.
"""

from collections import Counter
from collections.abc import Iterable

from fuchsiarill import events
from fuchsiarill.graphs import decision_round, reports, worker_suspension
from fuchsiarill.graphs.effects import Effect, RequestReport
from fuchsiarill.graphs.job_actions import step_job
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
from fuchsiarill.graphs.run_actions import extend_leases, step_run
from fuchsiarill.graphs.runs import Run
from fuchsiarill.graphs.settings import TaskLeaseSettings
from fuchsiarill.graphs.state import PoolState
from fuchsiarill.graphs.states import (
    AvailabilityEvent,
    AvailabilityState,
    JobPhaseEvent,
    RunEvent,
    RunState,
)
from fuchsiarill.graphs.ticking import TICKS
from fuchsiarill.graphs.worker_table import WorkerView
from fuchsiarill.ids import Epoch, JobId, WorkerId
from fuchsiarill.ports.agents import AgentFailure

# A worker that answers like this may take nothing more for now.
_SILENCING = frozenset(
    (
        AgentFailure.UNHEALTHY,
        AgentFailure.NOT_SENT,
        AgentFailure.CONNECTION_REFUSED,
        AgentFailure.OTHER_WORKER,
    ),
)


class GraphCore:
    """What the owner of a pool knows, and what follows from it."""

    def __init__(
        self,
        pool: PoolId,
        epoch: Epoch,
        leases: TaskLeaseSettings,
        term: int,
    ) -> None:
        """Start an owner's term; `term` counts the owners of the pool."""
        self.state = PoolState(pool, epoch, leases)
        self._term = term

    def configure(self, config: GraphConfig) -> None:
        """Take over the configuration for jobs that come from now on."""
        self.state.config = config
        for entry in self.state.jobs.values():
            policy = config.queues.get(entry.graph.queue)
            if policy is not None:
                entry.policy = policy
        self.state.free_version += 1

    def add_job(
        self,
        graph: JobGraph,
        progress: JobProgress,
        now_ms: int,
        *,
        is_inherited: bool,
    ) -> None:
        """Take over an accepted job; a known one is ignored."""
        if graph.job in self.state.jobs:
            return
        expected_ms = tuple(
            self.state.run_times.expected_ms(graph.queue, step)
            for step in graph.steps
        )
        policy = self._policy(graph)
        entry = JobEntry(graph, policy, progress, now_ms, expected_ms)
        entry.is_inherited = is_inherited
        if is_inherited:
            entry.attempt_floor = (self._term - 1) * ATTEMPTS_PER_TERM
        self.state.jobs[graph.job] = entry
        if not entry.is_active:
            return
        if graph.schedule is None:
            entry.open_occurrence(0)
        if entry.is_complete:
            step_job(self.state, entry, JobPhaseEvent.ALL_SUCCEEDED, now_ms)

    def cancel_job(self, job: JobId, now_ms: int) -> None:
        """Cancel a job and stop what runs of it."""
        entry = self.state.jobs.get(job)
        if entry is not None:
            step_job(self.state, entry, JobPhaseEvent.CANCEL_SEEN, now_ms)

    def remove_job(self, job: JobId) -> None:
        """Drop a settled job."""
        self.state.jobs.pop(job, None)

    def update_workers(
        self, entries: Iterable[WorkerEntry], now_ms: int
    ) -> None:
        """Take over the directory's entries of the pool."""
        for worker in self.state.workers.list_entries(entries):
            view = self.state.workers.find(worker)
            if view is not None and view.born_ms:
                self._reborn(view, now_ms)
        self.state.free_version += 1

    def add_inherited_worker(
        self,
        worker: WorkerId,
        address: str,
        lease_expiry_ms: int,
    ) -> None:
        """Note a worker to which an owner before may have given work."""
        view = self.state.workers.add(worker, address)
        view.is_recorded = True
        view.lease_expiry_ms = max(view.lease_expiry_ms, lease_expiry_ms)

    def record_workers(self, workers: Iterable[WorkerId]) -> None:
        """Note that workers stand in the durable fleet record."""
        for worker in workers:
            view = self.state.workers.find(worker)
            if view is not None:
                view.is_recorded = True
        self.state.free_version += 1

    def renewal_sent(self, worker: WorkerId, now_ms: int) -> None:
        """Note that everything on a worker may run for one more lease."""
        view = self.state.workers.find(worker)
        if view is not None:
            extend_leases(self.state, view, now_ms)

    def worker_reported(
        self,
        worker: WorkerId,
        report: WorkerReport,
        requested_ms: int,
        now_ms: int,
    ) -> None:
        """Take a report into account."""
        view = self.state.workers.find(worker)
        if view is None:
            return
        reports.apply_report(self.state, view, report, requested_ms, now_ms)
        self.state.free_version += 1

    def worker_failed(
        self,
        worker: WorkerId,
        failure: AgentFailure,
        now_ms: int,
    ) -> None:
        """Note that a renewal got no report."""
        view = self.state.workers.find(worker)
        if view is None:
            return
        before = view.availability
        self.state.workers.step(view, AvailabilityEvent.WENT_SILENT)
        if before is not view.availability:
            events.emit(
                events.WORKER_UNCONFIRMED,
                worker=worker,
                failure=failure.value,
                runs=len(view.runs),
            )
        if _has_ended(view, failure):
            view.lease_expiry_ms = now_ms

    def start_answered(
        self,
        worker: WorkerId,
        task: TaskKey,
        attempt: int,
        failure: AgentFailure | None,
        now_ms: int,
    ) -> None:
        """Take the outcome of an order to start into account."""
        run = self._find_run(worker, task, attempt)
        if run is None:
            return
        if failure is None:
            if run.state is RunState.STARTING and run.listed_from_ms is None:
                run.listed_from_ms = now_ms
            step_run(self.state, run, RunEvent.CONFIRMED, now_ms)
            return
        if failure is AgentFailure.UNKNOWN:
            step_run(self.state, run, RunEvent.UNANSWERED, now_ms)
            return
        self._refused(run, failure, now_ms)

    def stop_answered(
        self,
        worker: WorkerId,
        task: TaskKey,
        attempt: int,
        failure: AgentFailure | None,
        now_ms: int,
    ) -> None:
        """Take the outcome of an order to stop into account."""
        run = self._find_run(worker, task, attempt)
        if run is None or failure is not None:
            return
        run.is_stop_answered = True
        run.listed_from_ms = now_ms
        self.state.effects.append(RequestReport(worker))

    def advice_received(
        self,
        step: StepKey,
        asked: dict[WorkerId, BornMs],
        granted: dict[WorkerId, Ticket],
        expiry_ms: int,
    ) -> None:
        """Take over tickets for a step.

        What was asked of a former life of a worker says nothing of this one.
        """
        asked = {
            worker: born_ms
            for worker, born_ms in asked.items()
            if self._is_same_incarnation(worker, born_ms)
        }
        self.state.tickets.advised(step, asked, granted, expiry_ms)
        events.emit(
            events.STEP_ADVISED,
            job=step.job,
            step=f'{step.occurrence}.{step.step}',
            asked=len(asked),
            granted=len(granted),
            workers=','.join(sorted(granted)),
        )
        self._unblock(step)

    def advice_failed(self, step: StepKey, now_ms: int) -> None:
        """Note that an ask for advice got no answer."""
        self.state.tickets.unanswered(step, now_ms)
        self._unblock(step)

    def tick(self, now_ms: int) -> None:
        """Do what time alone brings."""
        for name in TICKS:
            TICKS.lookup(name)(self.state, now_ms)
        self.state.free_version += 1

    def decide(self, now_ms: int) -> None:
        """Start what can start."""
        decision_round.decide(self.state, now_ms)

    def take_effects(self) -> list[Effect]:
        """Return and drop the effects of the calls so far."""
        effects = self.state.effects
        self.state.effects = []
        return effects

    def take_dirty(self) -> set[JobId]:
        """Return and drop the jobs whose progress has changed."""
        dirty = self.state.dirty
        self.state.dirty = set()
        return dirty

    def pending_counts(self) -> dict[QueueId, int]:
        """Return for each queue the jobs of which nothing has started."""
        counts: Counter[QueueId] = Counter()
        for entry in self.state.jobs.values():
            if entry.is_active and not entry.progress.has_started:
                counts[entry.graph.queue] += 1
        return dict(counts)

    def _is_same_incarnation(self, worker: WorkerId, born_ms: BornMs) -> bool:
        view = self.state.workers.find(worker)
        return view is not None and view.born_ms == born_ms

    def _policy(self, graph: JobGraph) -> QueuePolicy:
        """Return the queue's policy; a removed queue's jobs still run."""
        config = self.state.config
        policy = config.queues.get(graph.queue) if config else None
        if policy is not None:
            return policy
        return QueuePolicy(graph.queue, '', '', graph.pool, 0)

    def _find_run(
        self,
        worker: WorkerId,
        task: TaskKey,
        attempt: int,
    ) -> Run | None:
        view = self.state.workers.find(worker)
        return None if view is None else view.runs.get((task, attempt))

    def _refused(self, run: Run, failure: AgentFailure, now_ms: int) -> None:
        events.emit(
            events.START_REFUSED,
            job=run.task.job,
            task=run.task.label,
            attempt=run.attempt,
            worker=run.worker,
            failure=failure.value,
        )
        if failure is AgentFailure.TICKET_INVALID:
            self.state.tickets.refuse(run.task.step_key, run.worker)
        view = self.state.workers.find(run.worker)
        if view is not None and failure is AgentFailure.UNHEALTHY:
            worker_suspension.record_failure(view, run.task, now_ms)
        if view is not None and failure in _SILENCING:
            self.state.workers.step(view, AvailabilityEvent.WENT_SILENT)
        reports.drop_run(self.state, run, RunEvent.REFUSED, now_ms)

    def _reborn(self, view: WorkerView, now_ms: int) -> None:
        if view.entry is None or view.entry.born_ms <= view.born_ms:
            return
        reports.apply_restart(self.state, view, now_ms)
        view.born_ms = view.entry.born_ms
        self.state.workers.step(view, AvailabilityEvent.WENT_SILENT)

    def _unblock(self, step: StepKey) -> None:
        found = self.state.find_unfinished_step(step)
        if found is not None:
            found.blocked_version = -1


def _has_ended(view: WorkerView, failure: AgentFailure) -> bool:
    """Tell whether a failure proves that the life of the worker is over."""
    if failure is AgentFailure.OTHER_WORKER:
        return True
    # A worker that left has withdrawn its entry and closed its port. A closed
    # port alone proves nothing: a broken link can reset connections too.
    has_left = (
        view.availability is AvailabilityState.LEAVING and not view.is_listed
    )
    return has_left and failure is AgentFailure.CONNECTION_REFUSED
