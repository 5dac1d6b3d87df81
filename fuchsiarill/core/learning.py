"""Learns the size and the run time of each job class from usage reports.

If an attempt uses more than its reservation, the reservation is raised if its
worker has free capacity. Otherwise that attempt is throttled, checkpointed or
stopped, never other attempts.
"""

from typing import Final

from fuchsiarill.core.effects import CommandTask
from fuchsiarill.core.estimate import Estimate
from fuchsiarill.core.requeue import request_stop
from fuchsiarill.core.resource_accounting import resize_attempt
from fuchsiarill.core.sizes import (
    SAMPLES_MIN_COUNT,
    estimate_of,
    has_enough_samples,
)
from fuchsiarill.core.state import CoreState
from fuchsiarill.job import (
    Attempt,
    Execution,
    JobSpec,
    StopReason,
    Workload,
)
from fuchsiarill.resources import Resources, higher_of
from fuchsiarill.states import AttemptState
from fuchsiarill.workers import CommandKind, TaskReport

# Margins above the largest usage of a class and above that of one attempt.
# Few samples may all be small ones, so a class with few has a wider margin: 23%
# with three samples, 5% with as many as are kept.
SIZE_MARGIN_RATIO: Final = 1.03
_FEW_SAMPLES_MARGIN_RATIO: Final = 0.6
ATTEMPT_MARGIN_RATIO: Final = 1.02
_RUN_TIME_PERCENTILE: Final = 0.95
# From this many run times on, an estimate is updated only at every fourth usage
# sample; the estimated size also if a peak exceeds that size.
_DEFERRED_UPDATES_MIN_COUNT: Final = 16
_SAMPLES_PER_UPDATE_COUNT: Final = 4
# Usage lags: the first reports of a task may not show its full size.
_USAGE_REPORTS_MIN_COUNT: Final = 3
# Learned sizes are rounded up to this many binary digits, so that classes of
# similar usage have equal sizes and a failed search for a worker is not
# repeated for each of them.
_SIZE_BITS_COUNT: Final = 6


def record_usage(
    state: CoreState,
    attempt: Attempt,
    report: TaskReport,
    now_ms: int,
) -> None:
    """Apply the measured usage of a running attempt.

    Adapts the reservation of the attempt, and adds its peak once as a sample to
    the estimate of its class.
    """
    usage = report.used
    if attempt.state is not AttemptState.RUNNING or not _has_usage(usage):
        return
    attempt.usage_reports_count += 1
    if not usage.fits_in(attempt.peak):
        attempt.peak = higher_of(attempt.peak, _estimated_amounts(usage))
    if not attempt.peak.fits_in(attempt.reserved):
        _grow_or_handle_overuse(state, attempt, now_ms)
        return
    if not state.config.policies.learn_sizes:
        return
    spec = state.jobs[attempt.job_id].spec
    if attempt.usage_reports_count == _USAGE_REPORTS_MIN_COUNT:
        _add_peak(estimate_of(state, spec), attempt.peak)
    if attempt.usage_reports_count >= _USAGE_REPORTS_MIN_COUNT:
        _shrink_reservation(state, attempt, spec, now_ms)


def learn_from_success(
    state: CoreState,
    attempt: Attempt,
    report: TaskReport | None,
) -> None:
    """Add run time and usage of a succeeded attempt to its class's estimate."""
    spec = state.jobs[attempt.job_id].spec
    estimate = estimate_of(state, spec)
    if report is not None and report.run_time_ms:
        estimate.run_times_ms.append(report.run_time_ms)
        if not _may_defer_update(estimate):
            estimate.run_time_ms = _run_time_percentile(
                list(estimate.run_times_ms)
            )
    if report is not None and _has_usage(report.used):
        attempt.usage_reports_count += 1
        attempt.peak = higher_of(attempt.peak, _estimated_amounts(report.used))
    if attempt.usage_reports_count:
        _add_peak(estimate, attempt.peak)


def _has_usage(usage: Resources) -> bool:
    return usage.processors_milli > 0 or usage.memory_mb > 0


def _estimated_amounts(usage: Resources) -> Resources:
    # Accelerators and slots are reserved as declared; only the others are
    # estimated.
    return Resources(usage.processors_milli, usage.memory_mb)


def _add_peak(estimate: Estimate, peak: Resources) -> None:
    estimate.peaks.append(peak)
    estimate.samples_count += 1
    if _may_defer_update(estimate) and peak.fits_in(estimate.size):
        return
    samples_count = len(estimate.peaks)
    ratio = SIZE_MARGIN_RATIO + _FEW_SAMPLES_MARGIN_RATIO / samples_count
    processors_milli = max(peak.processors_milli for peak in estimate.peaks)
    memory_mb = max(peak.memory_mb for peak in estimate.peaks)
    size = Resources(
        _apply_margin(processors_milli, ratio),
        _apply_margin(memory_mb, ratio),
    )
    if size != estimate.size or len(estimate.peaks) <= SAMPLES_MIN_COUNT:
        estimate.size = size
        estimate.version += 1


def _may_defer_update(estimate: Estimate) -> bool:
    """Tell whether the estimate need not be updated for this sample."""
    if len(estimate.run_times_ms) < _DEFERRED_UPDATES_MIN_COUNT:
        return False
    return bool(estimate.samples_count % _SAMPLES_PER_UPDATE_COUNT)


def _run_time_percentile(run_times_ms: list[int]) -> int:
    run_times_ms.sort()
    return run_times_ms[round((len(run_times_ms) - 1) * _RUN_TIME_PERCENTILE)]


def _apply_margin(amount: int, ratio: float) -> int:
    amount_with_margin = int(amount * ratio)
    rounding_step = 1 << max(
        amount_with_margin.bit_length() - _SIZE_BITS_COUNT, 0
    )
    return -(-amount_with_margin // rounding_step) * rounding_step


def _shrink_reservation(
    state: CoreState,
    attempt: Attempt,
    spec: JobSpec,
    now_ms: int,
) -> None:
    """Reduce a reservation to the peak of the attempt and a margin.

    That is done at most once for each version of the estimate of its class.
    """
    estimate = estimate_of(state, spec)
    if attempt.sized_version == estimate.version or not has_enough_samples(
        estimate
    ):
        return
    attempt.sized_version = estimate.version
    reduced_size = _usage_with_margin(attempt)
    if reduced_size != attempt.reserved and reduced_size.fits_in(
        attempt.reserved
    ):
        resize_attempt(state, attempt, reduced_size, now_ms)


def _usage_with_margin(attempt: Attempt) -> Resources:
    return Resources(
        _apply_margin(attempt.peak.processors_milli, ATTEMPT_MARGIN_RATIO),
        _apply_margin(attempt.peak.memory_mb, ATTEMPT_MARGIN_RATIO),
        attempt.reserved.accelerators_count,
        attempt.reserved.slots_count,
    )


def _grow_or_handle_overuse(
    state: CoreState, attempt: Attempt, now_ms: int
) -> None:
    size_with_margin = higher_of(attempt.reserved, _usage_with_margin(attempt))
    minimum_size = higher_of(attempt.reserved, attempt.peak)
    worker = state.workers.get(attempt.worker_id)
    for size in (size_with_margin, minimum_size):
        increase = size - attempt.reserved
        if worker is not None and increase.fits_in(worker.free):
            resize_attempt(state, attempt, size, now_ms)
            return
    if not attempt.is_overuse_handled:
        attempt.is_overuse_handled = True
        _handle_overuse(state, attempt, now_ms)


def _handle_overuse(state: CoreState, attempt: Attempt, now_ms: int) -> None:
    """Throttle, checkpoint or stop an attempt that exceeds its reservation.

    Throttles if only the processors are exceeded. If memory is, stops the
    attempt for a restart, in a batch after a request for a checkpoint. If a
    restart is not allowed or would not help, only requests a checkpoint.
    """
    spec = state.jobs[attempt.job_id].spec
    if attempt.peak.memory_mb <= attempt.reserved.memory_mb:
        _send_command(state, attempt, CommandKind.THROTTLE)
        return
    # An at-most-once task may not be restarted; it keeps running after the
    # checkpoint. Without learning, a restarted task would reserve the same
    # size and be stopped again.
    at_most_once = spec.execution is Execution.AT_MOST_ONCE
    if at_most_once or not state.config.policies.learn_sizes:
        _send_command(state, attempt, CommandKind.CHECKPOINT)
        return
    _add_peak(estimate_of(state, spec), attempt.peak)
    if spec.workload is Workload.BATCH:
        _send_command(state, attempt, CommandKind.CHECKPOINT)
    request_stop(state, attempt, StopReason.OVERUSE, now_ms)


def _send_command(
    state: CoreState,
    attempt: Attempt,
    kind: CommandKind,
) -> None:
    state.effects.append(
        CommandTask(attempt.worker_id, attempt.attempt_id, kind),
    )
