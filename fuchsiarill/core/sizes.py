"""Reserved size and expected run time of a task."""

from typing import Final

from fuchsiarill.core.accounts import Group
from fuchsiarill.core.estimate import Estimate
from fuchsiarill.core.state import CoreState
from fuchsiarill.job import JobSpec, Workload
from fuchsiarill.resources import Resources, higher_of

# Declared sizes and run times are wrong by up to this factor. A class with too
# few samples reserves for the worst case, so that no host is overcommitted
# before usage is reported.
DECLARED_ERROR_RATIO: Final = 4
# From this many samples on, the learned size replaces the declared one.
SAMPLES_MIN_COUNT: Final = 3
RUN_TIME_MARGIN_RATIO: Final = 1.25
# Clients choose the names of job classes, so the number of estimates is
# limited; the oldest are evicted.
_ESTIMATES_MAX_COUNT: Final = 10_000
# Factors on the declared size: the first one applies, except that for a gang
# they are tried in order until the gang fits.
_DECLARED_SIZE_MARGINS: Final = (DECLARED_ERROR_RATIO, 2, 1)


def size_of(state: CoreState, spec: JobSpec) -> Resources:
    """Return the size to reserve for one task of a job."""
    if not state.config.policies.learn_sizes:
        return spec.task_size
    estimate = state.estimates.get((spec.customer, spec.job_class))
    if estimate is None:
        return _size_from_declaration(state, spec)
    if not has_enough_samples(estimate):
        # Few samples may raise the size but not lower it.
        learned_size = _with_declared_counts(spec, estimate.size)
        size = _size_from_declaration(state, spec)
        return _cap_size(state, spec, higher_of(size, learned_size))
    return _cap_size(state, spec, _with_declared_counts(spec, estimate.size))


def group_size(state: CoreState, group: Group) -> Resources:
    """Return the size to reserve for one task of a group; it is cached."""
    version = (group.estimate.version, state.sizes_version)
    if group.size_version != version:
        group.size = size_of(state, group.spec)
        group.size_version = version
    return group.size


def group_size_at_once(state: CoreState, group: Group) -> Resources:
    """Return the capacity that must be free to start a job of a group."""
    size = group_size(state, group)
    return size.times(group.spec.tasks_count) if group.is_gang else size


def estimate_of(state: CoreState, spec: JobSpec) -> Estimate:
    """Return the estimate of a job's class, creating it if needed."""
    key = (spec.customer, spec.job_class)
    estimate = state.estimates.get(key)
    if estimate is None:
        estimate = Estimate()
        state.estimates[key] = estimate
        if len(state.estimates) > _ESTIMATES_MAX_COUNT:
            state.estimates.pop(next(iter(state.estimates)))
    return estimate


def run_time_of(state: CoreState, spec: JobSpec) -> int | None:
    """Return the expected run time in ms; `None` if unlimited or unknown."""
    if spec.workload is Workload.SERVICE:
        return None
    estimate = state.estimates.get((spec.customer, spec.job_class))
    if estimate is not None and estimate.run_time_ms:
        return int(estimate.run_time_ms * RUN_TIME_MARGIN_RATIO)
    return spec.run_time_ms * DECLARED_ERROR_RATIO or None


def has_enough_samples(estimate: Estimate) -> bool:
    """Tell whether there are enough samples to replace the declared size.

    One task can add several samples.
    """
    return len(estimate.peaks) >= SAMPLES_MIN_COUNT


def total_copies_count(state: CoreState, size: Resources) -> int:
    """Return how many tasks of a size fit on all listed workers when empty."""
    return sum(
        count * copies_in(capacity, size)
        for capacity, count in state.capacities.items()
    )


def copies_in(available: Resources, size: Resources) -> int:
    """Return how many tasks of a size fit into `available`."""
    copies_counts = [
        available_amount // task_amount
        for available_amount, task_amount in zip(
            available.as_tuple(), size.as_tuple(), strict=True
        )
        if task_amount
    ]
    return max(min(copies_counts, default=0), 0)


def _size_from_declaration(state: CoreState, spec: JobSpec) -> Resources:
    for margin in _DECLARED_SIZE_MARGINS:
        declared = spec.task_size
        size_with_margin = Resources(
            declared.processors_milli * margin,
            declared.memory_mb * margin,
            declared.accelerators_count,
            declared.slots_count,
        )
        size = _cap_size(state, spec, size_with_margin)
        if spec.workload is not Workload.GANG:
            return size
        # A gang that fits only with a smaller margin must be able to start.
        if _gang_fits(state, spec, size):
            return size
    return spec.task_size


def _gang_fits(state: CoreState, spec: JobSpec, size: Resources) -> bool:
    account = state.accounts.get(spec.customer)
    if account is not None and account.contract is not None:
        if not size.times(spec.tasks_count).fits_in(account.quota):
            return False
    return total_copies_count(state, size) >= spec.tasks_count


def _with_declared_counts(spec: JobSpec, learned_size: Resources) -> Resources:
    # Accelerators and slots are counted exactly, never estimated.
    return Resources(
        learned_size.processors_milli,
        learned_size.memory_mb,
        spec.task_size.accelerators_count,
        spec.task_size.slots_count,
    )


def _cap_size(state: CoreState, spec: JobSpec, size: Resources) -> Resources:
    account = state.accounts.get(spec.customer)
    if account is not None and account.contract is not None:
        size = _clamp_size(size, account.quota, spec.task_size)
    fitting_capacities = [
        capacity
        for capacity in state.capacities
        if spec.task_size.fits_in(capacity)
    ]
    if not fitting_capacities:
        return size
    largest = max(fitting_capacities, key=_processors_and_memory)
    return _clamp_size(size, largest, spec.task_size)


def _processors_and_memory(capacity: Resources) -> tuple[int, int]:
    return (capacity.processors_milli, capacity.memory_mb)


def _clamp_size(
    size: Resources,
    limit: Resources,
    declared_size: Resources,
) -> Resources:
    return Resources(
        min(
            size.processors_milli,
            _effective_limit(limit, declared_size).processors_milli,
        ),
        min(size.memory_mb, _effective_limit(limit, declared_size).memory_mb),
        size.accelerators_count,
        size.slots_count,
    )


def _effective_limit(limit: Resources, declared_size: Resources) -> Resources:
    # A declared size above the limit is not reduced, so that the job waits and
    # the reason can be explained.
    return limit if declared_size.fits_in(limit) else declared_size
