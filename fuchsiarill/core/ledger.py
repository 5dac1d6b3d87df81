"""The durable part of a partition's state, computed from its journal.

`LedgerImage` applies records in journal order and yields the fewest records
that give the same image, which form a snapshot of the journal. `restore` builds
the state of a new owner from an image.
"""

from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, field
from typing import Any, Final

from fuchsiarill import records
from fuchsiarill.core.recovery import OUTAGE_EVIDENCE_VALID_MS
from fuchsiarill.core.resource_accounting import reserve_attempt
from fuchsiarill.core.state import CoreState
from fuchsiarill.core.steps import step_job
from fuchsiarill.ids import NO_EPOCH, AttemptId, Epoch, JobId, ProcessId, TaskId
from fuchsiarill.job import Attempt, Execution, JobRecord, JobSpec
from fuchsiarill.registry import Registry
from fuchsiarill.states import AttemptState, JobEvent, JobState

# Jobs that have ended are kept for repeated submissions and late queries;
# the limit bounds the memory of an owner and the size of a journal snapshot.
ENDED_MAX_COUNT: Final = 20_000
# A worker measures its leases with its own clock, which may run 1% slow.
_CLOCK_RATE: Final = 1.01


@dataclass(slots=True)
class JobImage:
    """Durable state of one job."""

    spec: JobSpec
    outputs: dict[int, str] = field(default_factory=dict)
    intents: dict[AttemptId, records.StartIntended] = field(
        default_factory=dict
    )
    cancel_requested: bool = False
    end_state: JobState | None = None


@dataclass(slots=True)
class LedgerImage:
    """Durable state of one partition."""

    epoch: Epoch = NO_EPOCH
    process: ProcessId = ProcessId('')
    task_lease_ms: int = 0
    jobs: dict[JobId, JobImage] = field(default_factory=dict)
    ended: dict[JobId, None] = field(default_factory=dict)

    def apply(self, record: records.Record) -> None:
        """Fold one record.

        For a job that is not in the image, only `JobAccepted` has an effect.
        """
        _FOLDS.lookup(type(record))(self, record)

    def compacted(self) -> Iterator[records.Record]:
        """Yield the fewest records that fold to this image."""
        yield records.EpochOpened(self.epoch, self.process, self.task_lease_ms)
        # Jobs that have ended come in the order in which they ended.
        for job_id in self.ended:
            yield from _records_of(job_id, self.jobs[job_id])
        for live_id, image in self.jobs.items():
            if image.end_state is None:
                yield from _records_of(live_id, image)

    def evict_ended_jobs(self) -> None:
        """Evict the jobs that ended first, down to the limit."""
        while len(self.ended) > ENDED_MAX_COUNT:
            oldest_id = next(iter(self.ended))
            self.ended.pop(oldest_id)
            self.jobs.pop(oldest_id)


_Fold = Callable[[LedgerImage, Any], None]
_FOLDS: Final[Registry[type, _Fold]] = Registry('folds of records')


def fold(journal: Iterable[records.Record]) -> LedgerImage:
    """Return the image of records in journal order."""
    image = LedgerImage()
    for record in journal:
        image.apply(record)
    image.evict_ended_jobs()
    return image


def restore(
    state: CoreState, journal: Iterable[records.Record], now_ms: int
) -> None:
    """Restore the state of a new owner; `state` must be newly created.

    Until the recovery ends, no task is started that may already run.
    """
    image = fold(journal)
    lease_ms = max(image.task_lease_ms, state.config.policies.task_lease_ms)
    state.recovery.is_open = image.epoch != NO_EPOCH
    state.recovery.ends_at_ms = now_ms + lapse_bound_ms(
        lease_ms + OUTAGE_EVIDENCE_VALID_MS,
    )
    for job_id, job_image in image.jobs.items():
        _restore_job(state, job_id, job_image, now_ms)


def lapse_bound_ms(lease_ms: int) -> int:
    """Return the longest duration of a lease by the clock of the owner."""
    return int(lease_ms * _CLOCK_RATE)


def task_of(attempt_id: AttemptId) -> TaskId:
    """Return the task id that an attempt id contains."""
    return TaskId(attempt_id.rpartition('@')[0])


def job_of(task_id: TaskId) -> JobId:
    """Return the job id that a task id contains."""
    return JobId(task_id.rpartition('/')[0])


def position_of(task_id: TaskId) -> int:
    """Return the position of a task within its job."""
    return int(task_id.rpartition('/')[2])


def _restore_job(
    state: CoreState,
    job_id: JobId,
    image: JobImage,
    now_ms: int,
) -> None:
    job = JobRecord(
        job_id=job_id,
        spec=image.spec,
        accepted_at_ms=now_ms,
        state=image.end_state or JobState.ACCEPTING,
        waiting=[],
        results=dict(image.outputs),
        acceptance_number=len(state.jobs) + 1,
    )
    state.jobs[job_id] = job
    key = (image.spec.customer, image.spec.idempotency_key)
    state.job_by_key[key] = job_id
    state.jobs_count = len(state.jobs)
    if image.end_state is not None:
        state.ended.append((now_ms, job_id))
        return
    for intent in image.intents.values():
        _restore_intent(state, job, intent)
    if image.cancel_requested:
        _restore_cancelled(state, job, now_ms)
        return
    _restore_waiting(state, job, now_ms)


def _restore_intent(
    state: CoreState,
    job: JobRecord,
    intent: records.StartIntended,
) -> None:
    attempt = Attempt(
        attempt_id=intent.attempt_id,
        task_id=task_of(intent.attempt_id),
        job_id=job.job_id,
        worker_id=intent.worker_id,
        reserved=job.spec.task_size,
        state=AttemptState.POSSIBLY_RUNNING,
        placed_at_ms=job.accepted_at_ms,
        lease_ends_at_ms=state.recovery.ends_at_ms,
    )
    reserve_attempt(state, job, attempt)
    state.unrenewed[attempt.attempt_id] = None
    state.recovery.intents[attempt.attempt_id] = intent.incarnation


def _restore_cancelled(state: CoreState, job: JobRecord, now_ms: int) -> None:
    job.state = JobState.CANCELLING
    for attempt in job.attempts.values():
        attempt.state = AttemptState.STOPPING
    if job.attempts:
        return
    if job.spec.execution is Execution.AT_MOST_ONCE:
        step_job(state, job, JobEvent.ALL_STOPPED, now_ms)
        return
    # Starts of idempotent tasks are not recorded, so workers may still report
    # running tasks of the job.
    state.recovery.cancelled_jobs[job.job_id] = None


def _restore_waiting(state: CoreState, job: JobRecord, now_ms: int) -> None:
    occupied_positions = set(job.results)
    occupied_positions.update(
        position_of(attempt.task_id) for attempt in job.attempts.values()
    )
    open_positions = [
        position
        for position in range(job.spec.tasks_count)
        if position not in occupied_positions
    ]
    if job.spec.execution is Execution.AT_MOST_ONCE:
        # No owner sends the start of an at-most-once task before the intent is
        # committed, so the tasks without an intent do not run.
        job.waiting.extend(open_positions)
    elif open_positions and state.recovery.is_open:
        state.recovery.deferred[job.job_id] = set(open_positions)
    step_job(state, job, JobEvent.COMMITTED, now_ms)
    if len(job.results) == job.spec.tasks_count:
        step_job(state, job, JobEvent.ALL_SUCCEEDED, now_ms)


@_FOLDS.register(records.EpochOpened)
def _fold_epoch(image: LedgerImage, record: records.EpochOpened) -> None:
    image.epoch = max(image.epoch, record.epoch)
    image.process = record.process
    image.task_lease_ms = max(image.task_lease_ms, record.task_lease_ms)


@_FOLDS.register(records.TaskLeaseRaised)
def _fold_lease(image: LedgerImage, record: records.TaskLeaseRaised) -> None:
    image.task_lease_ms = max(image.task_lease_ms, record.task_lease_ms)


@_FOLDS.register(records.JobAccepted)
def _fold_accepted(image: LedgerImage, record: records.JobAccepted) -> None:
    image.jobs.setdefault(record.job_id, JobImage(record.spec))


@_FOLDS.register(records.StartIntended)
def _fold_intent(image: LedgerImage, record: records.StartIntended) -> None:
    job = image.jobs.get(record.job_id)
    if job is not None:
        job.intents[record.attempt_id] = record


@_FOLDS.register(records.StartWithdrawn)
def _fold_withdrawn(image: LedgerImage, record: records.StartWithdrawn) -> None:
    job = image.jobs.get(record.job_id)
    if job is not None:
        job.intents.pop(record.attempt_id, None)


@_FOLDS.register(records.TaskFinished)
def _fold_finished(image: LedgerImage, record: records.TaskFinished) -> None:
    job = image.jobs.get(record.job_id)
    if job is None:
        return
    job.outputs.setdefault(record.position, record.output)
    for attempt_id in tuple(job.intents):
        if position_of(task_of(attempt_id)) == record.position:
            job.intents.pop(attempt_id)


@_FOLDS.register(records.CancelRequested)
def _fold_cancel(image: LedgerImage, record: records.CancelRequested) -> None:
    job = image.jobs.get(record.job_id)
    if job is not None:
        job.cancel_requested = True


@_FOLDS.register(records.JobEnded)
def _fold_ended(image: LedgerImage, record: records.JobEnded) -> None:
    job = image.jobs.get(record.job_id)
    if job is None or job.end_state is not None:
        return
    job.end_state = record.state
    job.intents.clear()
    image.ended[record.job_id] = None


def _records_of(job_id: JobId, image: JobImage) -> Iterator[records.Record]:
    yield records.JobAccepted(job_id, image.spec)
    yield from image.intents.values()
    for position, output in image.outputs.items():
        yield records.TaskFinished(job_id, position, output)
    if image.cancel_requested:
        yield records.CancelRequested(job_id)
    if image.end_state is not None:
        yield records.JobEnded(job_id, image.end_state)
