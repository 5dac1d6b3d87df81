"""Entry point to the decisions of one partition.

`PartitionCore` is given events and the time by the owner of the partition, and
returns effects. It does no I/O, so a replay (a simulation of the cell) can use
it in the same way as the owner actor.
"""

import hashlib
from collections.abc import Iterable
from functools import partial
from typing import Any

from returns.result import Failure, Result, Success

from fuchsiarill import codes, texts
from fuchsiarill.cell_config import CellConfig
from fuchsiarill.core import attempt_actions, job_actions, worker_actions
from fuchsiarill.core.admission import admit
from fuchsiarill.core.adoption import (
    advance_recovery,
    defer_accepted,
    may_be_volatile,
)
from fuchsiarill.core.decision_round import decide
from fuchsiarill.core.effects import Effect
from fuchsiarill.core.explain import Explanation, explain
from fuchsiarill.core.hosts import apply_draining, apply_host_list
from fuchsiarill.core.leases import expire_leases, extend_leases
from fuchsiarill.core.ledger import restore
from fuchsiarill.core.ordering import apply_ageing
from fuchsiarill.core.quotas import account_of, apply_contracts
from fuchsiarill.core.reports import apply_report
from fuchsiarill.core.snapshot import dump_state
from fuchsiarill.core.state import CoreState
from fuchsiarill.core.steps import (
    load_charts,
    step_attempt,
    step_job,
    step_worker,
)
from fuchsiarill.core.wait_queue import unblock_all
from fuchsiarill.ids import AttemptId, Epoch, JobId, PartitionId, WorkerId
from fuchsiarill.job import JobRecord, JobSpec
from fuchsiarill.records import JobAccepted, Record
from fuchsiarill.refusal import Refusal, refuse
from fuchsiarill.states import AttemptEvent, JobEvent, JobState, WorkerEvent
from fuchsiarill.workers import HostEntry, WorkerReport

# The modules whose import registers the actions of the charts.
ACTION_MODULES = (attempt_actions, job_actions, worker_actions)
_JOB_DIGEST_CHARACTERS_COUNT = 20


def job_id_of(partition: PartitionId, spec: JobSpec) -> JobId:
    """Return the job id of a submission, which is the same for every owner."""
    identity = f'{spec.customer}\n{spec.idempotency_key}'
    digest = hashlib.sha256(identity.encode()).hexdigest()
    return JobId(f'{partition}-{digest[:_JOB_DIGEST_CHARACTERS_COUNT]}')


class PartitionCore:
    """Decides about the jobs and the workers of one partition."""

    def __init__(
        self,
        partition: PartitionId,
        epoch: Epoch,
        config: CellConfig,
    ) -> None:
        """Create the state without jobs and workers."""
        load_charts()
        self.state = CoreState(partition, epoch, config)
        # Jitter differs between partitions, and a replay repeats it.
        self.state.jitter.seed(f'{partition} {epoch}')
        self._apply_config()

    def restore(self, journal: Iterable[Record], now_ms: int) -> None:
        """Restore the state from the journal; must be the first call."""
        restore(self.state, journal, now_ms)

    def configure(self, config: CellConfig, now_ms: int) -> None:
        """Apply a newer configuration, to queued jobs as well."""
        self.state.config = config
        self._apply_config()
        apply_draining(self.state, now_ms)
        unblock_all(self.state)

    def submit(self, spec: JobSpec, now_ms: int) -> Result[JobId, Refusal]:
        """Admit a job; it is durable once its record is committed.

        A repeated submission returns the id of the existing job, or a refusal
        if the submissions differ. A job accepted while ownership is not
        confirmed is `volatile` and can start before the commit.
        """
        existing_id = self.state.job_by_key.get(
            (spec.customer, spec.idempotency_key),
        )
        if existing_id is not None:
            return self._handle_repeated(existing_id, spec)
        refusal = admit(self.state, spec, now_ms)
        if refusal is not None:
            return Failure(refusal)
        job = self._new_job(spec, now_ms)
        record = JobAccepted(job.job_id, spec)
        on_commit = partial(self._handle_accepted, job)
        self.state.persist_for(job, record, now_ms, on_commit)
        return Success(job.job_id)

    def cancel(self, job_id: JobId, now_ms: int) -> bool:
        """Cancel a job; `False` if it has ended or is being cancelled."""
        job = self.state.jobs[job_id]
        was_accepting = job.state is JobState.ACCEPTING
        if not step_job(self.state, job, JobEvent.CANCEL_ASKED, now_ms):
            return False
        if was_accepting:
            account_of(self.state, job.spec.customer).accepting_count -= 1
        return True

    def committed(self, sequence: int, now_ms: int) -> None:
        """Run the follow-up of the record `sequence`, which is durable now."""
        follow_up = self.state.after_commit.pop(sequence, None)
        if follow_up is not None:
            follow_up(now_ms)

    def hosts_listed(self, entries: tuple[HostEntry, ...], now_ms: int) -> None:
        """Add, update and remove workers by the host list."""
        apply_host_list(self.state, entries, now_ms)

    def worker_reported(
        self,
        report: WorkerReport,
        now_ms: int,
        requested_at_ms: int | None = None,
    ) -> None:
        """Apply the report of a worker about its attempts.

        `requested_at_ms` is the time at which the request was sent that the
        report answers.
        """
        worker = self.state.workers.get(report.worker_id)
        if worker is None:
            return
        if requested_at_ms is None:
            requested_at_ms = now_ms
        apply_report(self.state, worker, report, now_ms, requested_at_ms)

    def worker_silent(self, worker_id: WorkerId, now_ms: int) -> None:
        """Handle a worker whose exchanges have failed for `silent_after_ms`."""
        worker = self.state.workers.get(worker_id)
        if worker is not None:
            step_worker(self.state, worker, WorkerEvent.WENT_SILENT, now_ms)

    def leases_extended(self, worker_id: WorkerId, ends_at_ms: int) -> None:
        """Extend leases on a worker to `ends_at_ms`; later ends are kept."""
        extend_leases(self.state, worker_id, ends_at_ms)

    def start_withheld(self, attempt_id: AttemptId, now_ms: int) -> None:
        """Withdraw an attempt whose start was not sent and never will be."""
        attempt = self.state.attempts.get(attempt_id)
        if attempt is not None:
            step_attempt(self.state, attempt, AttemptEvent.WITHDRAWN, now_ms)

    def restrict(self, now_ms: int) -> None:
        """Start only urgent idempotent jobs from now on.

        Jobs that may be volatile no longer wait for the commit of their
        acceptance.
        """
        self.state.restricted = True
        for job in tuple(self.state.jobs.values()):
            if job.state is not JobState.ACCEPTING:
                continue
            if may_be_volatile(self.state, job.spec):
                job.volatile = True
                self._handle_accepted(job, now_ms)

    def unrestrict(self, now_ms: int) -> None:
        """Start all jobs again, as ownership is confirmed."""
        self.state.restricted = False
        unblock_all(self.state)

    def expire_leases(self, now_ms: int) -> None:
        """Handle unrenewed attempts whose leases have ended."""
        expire_leases(self.state, now_ms)

    def decide(self, now_ms: int) -> bool:
        """Advance the recovery, and place the tasks that can be placed now.

        The number of steps is bounded; returns `True` if the bound was reached,
        so that the owner calls again after its other messages.
        """
        advance_recovery(self.state, now_ms)
        return decide(self.state, now_ms)

    def take_effects(self) -> list[Effect]:
        """Return and clear the effects requested since the last call."""
        effects = self.state.effects
        self.state.effects = []
        return effects

    def explain(self, job_id: JobId, now_ms: int) -> Explanation:
        """Return why a job waits; raises `KeyError` for an unknown job."""
        return explain(self.state, self.state.jobs[job_id], now_ms)

    def snapshot(self) -> dict[str, Any]:
        """Return the state as plain values, for the dump of a process."""
        return dump_state(self.state)

    def _apply_config(self) -> None:
        apply_ageing(self.state)
        apply_contracts(self.state)

    def _new_job(self, spec: JobSpec, now_ms: int) -> JobRecord:
        self.state.jobs_count += 1
        job = JobRecord(
            job_id=job_id_of(self.state.partition, spec),
            spec=spec,
            accepted_at_ms=now_ms,
            state=JobState.ACCEPTING,
            waiting=list(range(spec.tasks_count)),
            acceptance_number=self.state.jobs_count,
            volatile=self.state.restricted,
        )
        self.state.jobs[job.job_id] = job
        key = (spec.customer, spec.idempotency_key)
        self.state.job_by_key[key] = job.job_id
        account_of(self.state, spec.customer).accepting_count += 1
        return job

    def _handle_accepted(self, job: JobRecord, now_ms: int) -> None:
        defer_accepted(self.state, job)
        if step_job(self.state, job, JobEvent.COMMITTED, now_ms):
            account_of(self.state, job.spec.customer).accepting_count -= 1

    def _handle_repeated(
        self,
        existing_id: JobId,
        spec: JobSpec,
    ) -> Result[JobId, Refusal]:
        if self.state.jobs[existing_id].spec == spec:
            return Success(existing_id)
        return Failure(
            refuse(
                codes.KEY_CONFLICT,
                texts.KEY_CONFLICT,
                field='idempotency_key',
                key=spec.idempotency_key,
                job=existing_id,
            ),
        )
