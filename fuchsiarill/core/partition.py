"""The decisions of one partition, composed.

`PartitionCore` takes what the owner has learned, with the time, and gives out
effects. It does no I/O, so a replay drives it as the owner actor does.
"""

import hashlib
from collections.abc import Iterable
from functools import partial
from typing import Any

from returns.result import Failure, Result, Success

from fuchsiarill import codes, texts
from fuchsiarill.cell_config import CellConfig
from fuchsiarill.core import adoption, ledger
from fuchsiarill.core.attempt_actions import step_attempt
from fuchsiarill.core.effects import Effect, StartTask
from fuchsiarill.core.job_actions import step_job
from fuchsiarill.core.placement import PLACEMENTS
from fuchsiarill.core.state import CoreState, WorkerView
from fuchsiarill.core.worker_actions import step_worker
from fuchsiarill.ids import (
    AttemptId,
    Epoch,
    JobId,
    PartitionId,
    WorkerId,
    attempt_id,
    task_id,
)
from fuchsiarill.job import (
    Attempt,
    Execution,
    JobRecord,
    JobSpec,
    Urgency,
)
from fuchsiarill.records import JobAccepted, Record, StartIntended
from fuchsiarill.refusal import Refusal, refuse
from fuchsiarill.states import (
    AttemptEvent,
    AttemptState,
    JobEvent,
    JobState,
    WorkerEvent,
    WorkerState,
)
from fuchsiarill.workers import (
    HostEntry,
    HostState,
    TaskOutcome,
    TaskReport,
    WorkerReport,
)

_EVENT_OF_OUTCOME = {
    TaskOutcome.RUNNING: AttemptEvent.CONFIRMED,
    TaskOutcome.SUCCEEDED: AttemptEvent.SUCCEEDED,
    TaskOutcome.FAILED: AttemptEvent.FAILED,
    TaskOutcome.STOPPED: AttemptEvent.STOPPED,
    TaskOutcome.REFUSED: AttemptEvent.REFUSED,
}
_JOB_DIGEST_CHARACTERS = 20
_LAPSING = frozenset((AttemptState.POSSIBLY_RUNNING, AttemptState.STOPPING))


def job_id_of(partition: PartitionId, spec: JobSpec) -> JobId:
    """Return the id that a submission always gets, whoever owns it."""
    identity = f'{spec.customer}\n{spec.idempotency_key}'
    digest = hashlib.sha256(identity.encode()).hexdigest()
    return JobId(f'{partition}-{digest[:_JOB_DIGEST_CHARACTERS]}')


def _is_urgent_idempotent(spec: JobSpec) -> bool:
    if spec.urgency is not Urgency.URGENT:
        return False
    return spec.execution is Execution.IDEMPOTENT


class PartitionCore:
    """All decisions about the jobs and the workers of one partition."""

    def __init__(
        self,
        partition: PartitionId,
        epoch: Epoch,
        config: CellConfig,
    ) -> None:
        """Start with no jobs and no workers."""
        self.state = CoreState(partition, epoch, config)

    def configure(self, config: CellConfig, now_ms: int) -> None:
        """Put a newer configuration in force, also for queued jobs."""
        self.state.config = config

    def restore(self, records: Iterable[Record], now_ms: int) -> None:
        """Take over the journal of older owners, before anything else."""
        ledger.restore(self.state, records, now_ms)

    def submit(self, spec: JobSpec, now_ms: int) -> Result[JobId, Refusal]:
        """Admit a job; it is durable once its record is committed."""
        contract = self.state.config.contract_of(spec.customer)
        if contract is None:
            return Failure(
                refuse(
                    codes.UNKNOWN_CUSTOMER,
                    texts.UNKNOWN_CUSTOMER,
                    field='customer',
                    customer=spec.customer,
                ),
            )
        key = (spec.customer, spec.idempotency_key)
        known = self.state.job_by_key.get(key)
        if known is not None:
            return self._repeated(known, spec)
        if self.state.restricted and not (
            contract.volatile_accept and _is_urgent_idempotent(spec)
        ):
            return Failure(
                refuse(codes.STORE_UNAVAILABLE, texts.STORE_UNAVAILABLE),
            )
        job = JobRecord(
            job_id=job_id_of(self.state.partition, spec),
            spec=spec,
            accepted_at_ms=now_ms,
            state=JobState.ACCEPTING,
            waiting=list(range(spec.tasks_count)),
            volatile=self.state.restricted,
        )
        self.state.jobs[job.job_id] = job
        self.state.job_by_key[key] = job.job_id
        self.state.persist(
            JobAccepted(job.job_id, spec),
            None if job.volatile else partial(self._accepted, job),
        )
        if job.volatile:
            self._accepted(job, now_ms)
        return Success(job.job_id)

    def cancel(self, job_id: JobId, now_ms: int) -> bool:
        """Cancel a job; returns `False` when it has its final state."""
        job = self.state.jobs[job_id]
        return step_job(self.state, job, JobEvent.CANCEL_ASKED, now_ms)

    def committed(self, sequence: int, now_ms: int) -> None:
        """Note that the record with this sequence number is durable."""
        follow_up = self.state.after_commit.pop(sequence, None)
        if follow_up is not None:
            follow_up(now_ms)

    def hosts_listed(self, entries: tuple[HostEntry, ...], now_ms: int) -> None:
        """Take over what the host list says."""
        for entry in entries:
            worker = self.state.workers.get(entry.worker_id)
            if worker is None:
                worker = WorkerView(entry, WorkerState.UNSEEN)
                self.state.workers[entry.worker_id] = worker
                adoption.worker_listed(self.state, worker)
            worker.entry = entry
            event = WorkerEvent.LISTED_LIVE
            if entry.state is HostState.LEAVING:
                event = WorkerEvent.LISTED_LEAVING
            step_worker(self.state, worker, event, now_ms)
        self.state.recovery.hosts_known = True

    def worker_reported(
        self,
        report: WorkerReport,
        now_ms: int,
        asked_at_ms: int | None = None,
    ) -> None:
        """Take over what a worker says of its attempts."""
        worker = self.state.workers.get(report.worker_id)
        if worker is None:
            return
        worker.reported_at_ms = now_ms
        step_worker(self.state, worker, WorkerEvent.REPORTED, now_ms)
        adoption.adopt(self.state, worker, report, now_ms)
        for task in report.tasks:
            self._task_reported(task, now_ms)

    def worker_silent(self, worker_id: WorkerId, now_ms: int) -> None:
        """Note that a worker has not answered for too long."""
        worker = self.state.workers[worker_id]
        step_worker(self.state, worker, WorkerEvent.WENT_SILENT, now_ms)

    def leases_extended(self, worker_id: WorkerId, ends_at_ms: int) -> None:
        """Note until when a worker may run what it was told to run."""
        adoption.leases_extended(self.state, worker_id, ends_at_ms)

    def lapse(self, now_ms: int) -> None:
        """Give up attempts on silent workers whose leases have ended."""
        for attempt in tuple(self.state.attempts.values()):
            if attempt.lease_ends_at_ms > now_ms:
                continue
            if attempt.state in _LAPSING:
                event = AttemptEvent.LEASE_LAPSED
                step_attempt(self.state, attempt, event, now_ms)

    def start_withheld(self, attempt_id: AttemptId, now_ms: int) -> None:
        """Place a task again whose start was never sent."""
        attempt = self.state.attempts.get(attempt_id)
        if attempt is not None:
            step_attempt(self.state, attempt, AttemptEvent.REFUSED, now_ms)

    def restrict(self, now_ms: int) -> None:
        """Start only urgent idempotent work from now on."""
        self.state.restricted = True

    def unrestrict(self, now_ms: int) -> None:
        """Start all work again."""
        self.state.restricted = False

    def explain(self, job_id: JobId, now_ms: int) -> dict[str, Any]:
        """Say what a job waits for."""
        job = self.state.jobs[job_id]
        return {'state': job.state.value}

    def snapshot(self) -> dict[str, Any]:
        """Return plain values that describe the state, for a dump."""
        return {'jobs_count': len(self.state.jobs)}

    def decide(self, now_ms: int) -> None:
        """Place what can be placed now."""
        adoption.advance_recovery(self.state, now_ms)
        for job_id in tuple(self.state.queue):
            job = self.state.jobs[job_id]
            if self.state.restricted and not _is_urgent_idempotent(job.spec):
                continue
            while job.waiting and self._place_one(job, now_ms):
                job.waiting.pop(0)
            if not job.waiting:
                self.state.queue.pop(job_id, None)

    def take_effects(self) -> list[Effect]:
        """Return and clear the effects asked for since the last call."""
        taken = self.state.effects
        self.state.effects = []
        return taken

    def _accepted(self, job: JobRecord, now_ms: int) -> None:
        adoption.hold_accepted(self.state, job)
        step_job(self.state, job, JobEvent.COMMITTED, now_ms)

    def _repeated(
        self,
        known: JobId,
        spec: JobSpec,
    ) -> Result[JobId, Refusal]:
        if self.state.jobs[known].spec == spec:
            return Success(known)
        return Failure(
            refuse(
                codes.KEY_CONFLICT,
                texts.KEY_CONFLICT,
                field='idempotency_key',
                key=spec.idempotency_key,
                job=known,
            ),
        )

    def _task_reported(self, task: TaskReport, now_ms: int) -> None:
        attempt = self.state.attempts.get(task.attempt_id)
        if attempt is None:
            return
        event = _EVENT_OF_OUTCOME[task.outcome]
        step_attempt(self.state, attempt, event, now_ms, task)

    def _place_one(self, job: JobRecord, now_ms: int) -> bool:
        contract = self.state.config.contract_of(job.spec.customer)
        if contract is None:
            return False
        policy = PLACEMENTS.lookup(contract.placement)
        worker = policy(self.state, job.spec.task_size)
        if worker is None:
            return False
        self.state.attempts_count += 1
        task = task_id(job.job_id, job.waiting[0])
        attempt = Attempt(
            attempt_id=attempt_id(
                task,
                self.state.epoch,
                self.state.attempts_count,
            ),
            task_id=task,
            job_id=job.job_id,
            worker_id=worker.entry.worker_id,
            reserved=job.spec.task_size,
            state=AttemptState.PLACED,
            placed_at_ms=now_ms,
            lease_ends_at_ms=now_ms,
        )
        self.state.attempts[attempt.attempt_id] = attempt
        job.attempts[attempt.attempt_id] = attempt
        worker.attempts.add(attempt.attempt_id)
        worker.reserved += attempt.reserved
        self._start_when_allowed(job, attempt, now_ms)
        return True

    def _start_when_allowed(
        self,
        job: JobRecord,
        attempt: Attempt,
        now_ms: int,
    ) -> None:
        if job.spec.execution is Execution.IDEMPOTENT:
            self._start(attempt, now_ms)
            return
        intent = StartIntended(
            job.job_id,
            attempt.attempt_id,
            attempt.worker_id,
            self.state.workers[attempt.worker_id].incarnation,
        )
        self.state.persist(intent, partial(self._start, attempt))

    def _start(self, attempt: Attempt, now_ms: int) -> None:
        if not step_attempt(self.state, attempt, AttemptEvent.SENT, now_ms):
            return
        spec = self.state.jobs[attempt.job_id].spec
        self.state.effects.append(
            StartTask(
                worker_id=attempt.worker_id,
                attempt_id=attempt.attempt_id,
                reserved=attempt.reserved,
                run_time_ms=spec.run_time_ms,
                payload=spec.payload,
            ),
        )
