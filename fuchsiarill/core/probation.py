"""Probation of workers on which tasks fail that succeed elsewhere.

A failure is attributed to a worker that is not on probation only if the same
job, or its class, has succeeded on another worker. On probation, every failure
is attributed to the worker, and it gets only tasks that are cheap to repeat:
one at first, and twice as many at once after each success.

A job that fails on several workers that seem sound is to blame itself. Its
failures are withdrawn from the workers. As faulty workers fail the same jobs,
such a worker does not seem sound until a task has succeeded there, and one
more failure begins its probation again.
"""

from functools import partial
from typing import Final

from fuchsiarill.core import avoidance
from fuchsiarill.core.resource_accounting import mark_released, refresh_index
from fuchsiarill.core.sizes import estimate_of
from fuchsiarill.core.state import CoreState
from fuchsiarill.core.steps import step_worker
from fuchsiarill.core.timers import call_at
from fuchsiarill.core.worker_view import WorkerView
from fuchsiarill.ids import WorkerId
from fuchsiarill.job import Attempt, JobRecord
from fuchsiarill.states import WorkerEvent, WorkerState

# Consecutive successes that end the probation.
PROBES_NEEDED_COUNT: Final = 4
# Delay before tasks are placed again, doubled with each failure on probation.
PROBE_DELAY_FIRST_MS: Final = 2_000
PROBE_DELAY_MAX_MS: Final = 300_000
# It is unlikely that this many workers began to be faulty at one time.
_WITNESSES_TO_BLAME_COUNT: Final = 3
_DOUBLINGS_MAX_COUNT: Final = 8


def record_failure(state: CoreState, attempt: Attempt, now_ms: int) -> None:
    """Attribute a failure to the worker if the class succeeded elsewhere.

    On probation, every failure is attributed to the worker. Failures of a class
    that has succeeded on no worker may make the class avoid the worker.
    """
    job = state.jobs[attempt.job_id]
    estimate = estimate_of(state, job.spec)
    estimate.failed_count += 1
    worker = state.workers.get(attempt.worker_id)
    if worker is None:
        return
    if not estimate.succeeded_on:
        avoidance.record_class_failure(state, job.spec, worker, now_ms)
    if job.is_to_blame or _blame_if_seen_widely(state, job, worker, now_ms):
        return
    succeeded_elsewhere = estimate.succeeded_on - {attempt.worker_id}
    if succeeded_elsewhere or worker.state is WorkerState.PROBATION:
        _attribute_failure(state, worker, job, now_ms)


def record_success(state: CoreState, attempt: Attempt, now_ms: int) -> None:
    """Reset the failures attributed to the worker.

    If the class had succeeded on no worker but those on which the job failed,
    one failure is attributed to each of these, except the worker of `attempt`.
    """
    job = state.jobs[attempt.job_id]
    estimate = estimate_of(state, job.spec)
    had_succeeded_elsewhere = bool(estimate.succeeded_on - job.failed_on)
    estimate.record_success_on(attempt.worker_id)
    if not had_succeeded_elsewhere:
        others = job.failed_on - {attempt.worker_id}
        _attribute_failures(state, others, job, now_ms)
    clear_blame(job)
    worker = state.workers.get(attempt.worker_id)
    if worker is None:
        return
    worker.attributed_failures.clear()
    worker.is_unproven = False
    if worker.state is WorkerState.PROBATION:
        _record_probe_success(state, worker, now_ms)


def clear_blame(job: JobRecord) -> None:
    """Take a job as sound: one of its tasks has succeeded or run for long."""
    job.failure_witnesses.clear()
    job.is_to_blame = False


def _blame_if_seen_widely(
    state: CoreState, job: JobRecord, worker: WorkerView, now_ms: int
) -> bool:
    """Blame a job for its failures if enough sound workers have seen them.

    Withdraws its failures from all workers. Returns whether it is to blame.
    """
    if worker.state is WorkerState.READY and not worker.is_unproven:
        job.failure_witnesses.add(worker.worker_id)
    if len(job.failure_witnesses) < _WITNESSES_TO_BLAME_COUNT:
        return False
    job.is_to_blame = True
    for other in state.workers.values():
        if other.attributed_failures.pop(job.job_id, 0):
            other.is_unproven = True
            _end_probation_without_cause(state, other, now_ms)
    return True


def _end_probation_without_cause(
    state: CoreState, worker: WorkerView, now_ms: int
) -> None:
    """End a probation that the remaining failures do not justify."""
    allowed_count = state.config.policies.probation_failures_count
    if worker.attributed_failures_count >= allowed_count:
        return
    step_worker(state, worker, WorkerEvent.FAILURES_WITHDRAWN, now_ms)


def _attribute_failures(
    state: CoreState, worker_ids: set[WorkerId], job: JobRecord, now_ms: int
) -> None:
    for worker_id in sorted(worker_ids):
        worker = state.workers.get(worker_id)
        if worker is not None:
            _attribute_failure(state, worker, job, now_ms)


def _attribute_failure(
    state: CoreState, worker: WorkerView, job: JobRecord, now_ms: int
) -> None:
    """Attribute a failure; `probation_failures_count` of them start probation.

    One is enough on an unproven worker. A failure on probation delays the next
    task of the worker instead.
    """
    worker.attributed_failures[job.job_id] += 1
    if worker.state is WorkerState.PROBATION:
        _delay_probe(state, worker, now_ms)
        return
    allowed_count = state.config.policies.probation_failures_count
    is_failing = worker.attributed_failures_count >= allowed_count
    if not is_failing and not worker.is_unproven:
        return
    if step_worker(state, worker, WorkerEvent.FAILING, now_ms):
        worker.probe_failures_count = 0
        _delay_probe(state, worker, now_ms)


def _delay_probe(state: CoreState, worker: WorkerView, now_ms: int) -> None:
    worker.probes_count = 0
    doublings = min(worker.probe_failures_count, _DOUBLINGS_MAX_COUNT)
    delay_ms = min(PROBE_DELAY_FIRST_MS << doublings, PROBE_DELAY_MAX_MS)
    worker.probe_failures_count += 1
    worker.probe_after_ms = now_ms + delay_ms
    refresh_index(state, worker, now_ms)
    call_at(state, worker.probe_after_ms, partial(_allow_probe, state, worker))


def _allow_probe(state: CoreState, worker: WorkerView, now_ms: int) -> None:
    refresh_index(state, worker, now_ms)
    mark_released(state, worker)


def _record_probe_success(
    state: CoreState,
    worker: WorkerView,
    now_ms: int,
) -> None:
    worker.probes_count += 1
    if worker.probes_count >= PROBES_NEEDED_COUNT:
        step_worker(state, worker, WorkerEvent.PROVED_GOOD, now_ms)
        worker.probes_count = 0
    _allow_probe(state, worker, now_ms)
